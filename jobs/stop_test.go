package jobs

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerTimeout is the time after which an order counts as not answered.
const answerTimeout = 450 * time.Millisecond

// doubtfulStart is a long-running task whose start was not answered, on an endpoint that has
// not listed its run.
type doubtfulStart struct {
	*testbed
	start Start
	// endpoint is the number of the endpoint of start.
	endpoint int
}

// newDoubtfulStart returns a cell of two endpoints with a step of long-running tasks that are
// listed as serving, except for the last one, whose start is doubtful.
func newDoubtfulStart(tasks int) *doubtfulStart {
	d := &doubtfulStart{testbed: newTestbed(2)}
	step := longRunningStep(tasks)
	step.AntiAffinity = 1
	d.submit(firstID, step)
	starts := d.planAndStore()
	d.advance(answerTimeout)
	for i, s := range starts {
		if i < tasks-1 {
			d.cell.StartAnswered(d.now, s, Reply{Answer: Accepted, Clock: d.clock})
			continue
		}
		d.start = s
		d.cell.StartAnswered(d.now, s, Reply{Answer: Unanswered})
		for k := range 2 {
			if endpointName(k) == s.Endpoint {
				d.endpoint = k
			}
		}
	}
	d.advance(100 * time.Millisecond)
	d.listOthers()
	d.answerPoll(d.endpoint)
	return d
}

// listOthers lists the other task at work, if there is one, on the other endpoint.
func (d *doubtfulStart) listOthers() {
	i := 1 - d.endpoint
	var rows []ListedRun
	for name, r := range d.cell.endpoints[endpointName(i)].runs {
		rows = append(rows, ListedRun{Task: name, Run: r.number, Percent: 100})
	}
	d.answerPoll(i, rows...)
}

// listRun lists the run of the doubtful start.
func (d *doubtfulStart) listRun(percent int) {
	d.answerPoll(d.endpoint, ListedRun{Task: d.start.Task, Run: d.start.Run, Percent: percent})
}

// stopsWithin returns the stops ordered within a time while the run is listed at work and no
// stop is answered, and the starts.
func (d *doubtfulStart) stopsWithin(duration time.Duration) (stops []Stop, starts []Start) {
	for end := d.now.Add(duration); d.now.Before(end); d.advance(100 * time.Millisecond) {
		d.listOthers()
		d.listRun(100)
		starts = append(starts, d.planAndStore()...)
		stops = append(stops, d.cell.Stops(d.now)...)
	}
	return stops, starts
}

// A start was carried out late, and the stop of the run that had not been listed was repeated
// while the task was at work.
func TestDoubtfulStartStoppedAtWork(t *testing.T) {
	unanswered := func(d *doubtfulStart, s Stop) {
		d.advance(answerTimeout)
		d.cell.StopAnswered(d.now, s, Unanswered, 0)
	}
	for name, c := range map[string]struct {
		// settle is called with the stop that was ordered before the run is listed.
		settle func(d *doubtfulStart, s Stop)
		// isStopped reports that the stop has to be repeated.
		isStopped bool
	}{
		"a stop without an answer":               {settle: unanswered},
		"a stop whose answer is not known yet":   {settle: func(*doubtfulStart, Stop) {}},
		"a stop that could not be delivered":     {settle: func(d *doubtfulStart, s Stop) { d.cell.StopAnswered(d.now, s, Refused, 0) }},
		"a stop that was accepted":               {settle: func(d *doubtfulStart, s Stop) { d.cell.StopAnswered(d.now, s, Accepted, d.clock) }, isStopped: true},
		"a job that is cancelled before":         {settle: func(d *doubtfulStart, _ Stop) { d.cell.Cancel(d.now, firstID) }, isStopped: true},
		"a task that is done by an earlier run":  {settle: func(d *doubtfulStart, _ Stop) { d.cell.complete(d.now, d.cell.findTask(d.start.Task)) }, isStopped: true},
		"a run that is not the current one":      {settle: func(d *doubtfulStart, _ Stop) { d.cell.findTask(d.start.Task).run = nil }, isStopped: true},
		"a run that is to be stopped in any way": {settle: func(d *doubtfulStart, _ Stop) { d.cell.stopRun(d.cell.findTask(d.start.Task).run, "a test") }, isStopped: true},
	} {
		Convey("A run that was to be stopped as not carried out is listed after "+name, t, func() {
			d := newDoubtfulStart(1)
			stops := d.cell.Stops(d.now)
			So(stops, ShouldHaveLength, 1)
			c.settle(d, stops[0])
			d.advance(100 * time.Millisecond)
			d.listRun(20)
			stops, starts := d.stopsWithin(5 * time.Second)
			So(starts, ShouldBeEmpty)
			So(len(stops) > 0, ShouldEqual, c.isStopped)
		})
	}
	Convey("A stop that is accepted after the run was listed counts", t, func() {
		d := newDoubtfulStart(1)
		stop := d.cell.Stops(d.now)[0]
		d.advance(10 * time.Millisecond)
		d.listRun(20)
		So(d.cell.findTask(d.start.Task).run.isStopping, ShouldBeFalse)
		d.cell.StopAnswered(d.now, stop, Accepted, d.clock-5)
		So(d.cell.findTask(d.start.Task).run.isStopping, ShouldBeTrue)
	})
	Convey("A stop that had to wait until the run was listed is not sent", t, func() {
		d := newDoubtfulStart(1)
		stop := d.cell.Stops(d.now)[0]
		So(d.cell.IsStopCurrent(stop), ShouldBeTrue)
		d.listRun(20)
		So(d.cell.IsStopCurrent(stop), ShouldBeFalse)
		d.cell.Cancel(d.now, firstID)
		So(d.cell.IsStopCurrent(stop), ShouldBeTrue)
		So(d.cell.IsStopCurrent(Stop{Endpoint: stop.Endpoint, Task: stop.Task, Run: stop.Run - 1}), ShouldBeTrue)
	})
	Convey("The stop is not repeated while the endpoint does not list its runs", t, func() {
		d := newDoubtfulStart(1)
		stop := d.cell.Stops(d.now)[0]
		d.cell.PollFailed(d.now, d.start.Endpoint, Unanswered)
		d.advance(2 * time.Second)
		So(d.cell.Stops(d.now), ShouldBeEmpty)
		So(d.cell.IsStopCurrent(stop), ShouldBeFalse)
		d.answerPoll(d.endpoint)
		So(d.cell.Stops(d.now), ShouldHaveLength, 1)
		d.cell.PollFailed(d.now, d.start.Endpoint, Unanswered)
		d.cell.Cancel(d.now, firstID)
		d.advance(time.Second)
		So(d.cell.Stops(d.now), ShouldHaveLength, 1)
	})
	Convey("The stop of a task that is not long-running is repeated also while the endpoint does not list its runs", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		b.cell.StartAnswered(b.now, b.planAndStore()[0], Reply{Answer: Unanswered})
		b.advance(100 * time.Millisecond)
		b.answerPoll(0)
		stop := b.cell.Stops(b.now)[0]
		b.cell.PollFailed(b.now, endpointName(0), Unanswered)
		b.advance(time.Second)
		So(b.cell.IsStopCurrent(stop), ShouldBeTrue)
		So(b.cell.Stops(b.now), ShouldHaveLength, 1)
	})
	for name, list := range map[string]func(d *doubtfulStart){
		"ended by a late stop": func(d *doubtfulStart) { d.listEnd(d.endpoint, d.start.Task, d.start.Run, Stopped) },
		"gone":                 func(d *doubtfulStart) { d.answerPoll(d.endpoint) },
	} {
		Convey("A task whose run was kept and is then "+name+" is placed again at once", t, func() {
			d := newDoubtfulStart(1)
			unanswered(d, d.cell.Stops(d.now)[0])
			d.listRun(20)
			d.advance(100 * time.Millisecond)
			d.listOthers()
			list(d)
			starts := d.planAndStore()
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Run, ShouldEqual, d.start.Run+1)
		})
	}
}

// Guards against planned work that takes a task away while a stop that was revoked may still
// end another one of its step.
func TestPlannedWorkDespiteUnansweredStop(t *testing.T) {
	Convey("Planned work waits until a stop without an answer cannot end another task of the step any more", t, func() {
		d := newDoubtfulStart(2)
		stop := d.cell.Stops(d.now)[0]
		d.advance(answerTimeout)
		d.cell.StopAnswered(d.now, stop, Unanswered, 0)
		d.listOthers()
		d.listRun(100)
		d.setEndpoints(3, false)
		d.answerPoll(2)
		evacuate := func() []Stop {
			d.listOthers()
			d.listRun(100)
			d.answerPoll(2)
			d.cell.Evacuate(d.now, endpointName(1-d.endpoint), d.now.Add(time.Second), true)
			return d.cell.Stops(d.now)
		}
		d.advance(10 * time.Second)
		So(evacuate(), ShouldBeEmpty)
		d.advance(20 * time.Second)
		So(evacuate(), ShouldHaveLength, 1)
	})
}

// A wide job ended on an endpoint faster than it lists ends. Runs whose ends it had not listed yet
// seemed to make no progress and were stopped, each again and again: 4,000 stops a second, behind
// which the starts of long-running tasks waited until their grants had run out (LOST, review/1 beside
// load).
func TestOmittedEndsAreStopped(t *testing.T) {
	// play lists the end of the first of three runs on an endpoint for some seconds, and beside it what
	// running returns. It returns how often each run is ordered to stop.
	play := func(isCancelled bool, running func(starts []Start) []ListedRun) (stops map[string]int) {
		b := newTestbed(1)
		b.submit(firstID, batchStep(3, 100))
		starts := b.planAndAccept()
		So(starts, ShouldHaveLength, 3)
		if isCancelled {
			b.cell.Cancel(b.now, firstID)
		}
		stops = make(map[string]int)
		for range 40 {
			b.advance(100 * time.Millisecond)
			b.cell.ApplyListing(b.now, Listing{
				Endpoint: endpointName(0), AskedAt: b.now, Born: b.born, Clock: b.clock, Running: running(starts), MayOmitEnds: true,
				Ended: []ListedEnd{{Number: 1, End: End{Task: starts[0].Task, Run: 1, Outcome: Done}}},
			})
			b.planAndStore()
			for _, stop := range b.cell.Stops(b.now) {
				stops[stop.Task]++
			}
		}
		return stops
	}
	none := func([]Start) []ListedRun { return nil }
	Convey("Runs that are not listed are not stopped for lack of progress while ends may be omitted", t, func() {
		So(play(false, none), ShouldBeEmpty)
	})
	Convey("Runs that are listed without progress are", t, func() {
		stops := play(false, func(starts []Start) []ListedRun { return []ListedRun{{Task: starts[1].Task, Run: 1, Percent: 5}} })
		So(stops, ShouldHaveLength, 1)
	})
	Convey("A stop is not repeated while the end of its run may be omitted", t, func() {
		for task, count := range play(true, none) {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
	Convey("It is while the run is listed", t, func() {
		stops := play(true, func(starts []Start) []ListedRun { return []ListedRun{{Task: starts[1].Task, Run: 1, Percent: 5}} })
		So(slices.Max(slices.Collect(maps.Values(stops))), ShouldBeGreaterThan, 3)
	})
}
