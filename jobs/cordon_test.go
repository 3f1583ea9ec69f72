package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A long-running task waited for as long as planned work was tried on the only endpoint with room
// for it, which other long-running tasks could not leave.
func TestCordonsKeepTaskWaiting(t *testing.T) {
	const cordonDuration = 4 * time.Second
	// newCordoned returns a cell with two endpoints, of which the second is full, and a
	// long-running task that may be on the first, which is to be cordoned.
	newCordoned := func(isOccupied bool) *testbed {
		b := newTestbed(2)
		if isOccupied {
			b.cell.endpoints[endpointName(1)].cordonUntil = b.now.Add(time.Millisecond)
			b.submit(firstID, longRunningStep(1))
			So(b.planAndAccept(), ShouldHaveLength, 1)
			b.advance(10 * time.Millisecond)
		}
		b.cell.endpoints[endpointName(0)].cordonUntil = b.now.Add(time.Millisecond)
		b.submit("000000000000000c", batchStep(1, 4000))
		So(b.planAndAccept()[0].Endpoint, ShouldEqual, endpointName(1))
		b.advance(10 * time.Millisecond)
		return b
	}
	// play tries planned work on the first endpoint for a duration. It returns the starts and
	// the last load.
	play := func(b *testbed, duration time.Duration) (starts []Start, load Load) {
		for end := b.now.Add(duration); b.now.Before(end); {
			for range 2 {
				b.advance(100 * time.Millisecond)
				for i := range 2 {
					var running []ListedRun
					for _, r := range sortedRuns(b.cell.endpoints[endpointName(i)]) {
						running = append(running, ListedRun{Task: r.task.name, Run: r.number, Percent: int(b.clock/100) % 100})
					}
					b.answerPoll(i, running...)
				}
				starts = append(starts, b.planAndAccept()...)
			}
			load = b.cell.Evacuate(b.now, endpointName(0), b.now.Add(cordonDuration), true)
		}
		return starts, load
	}
	Convey("An endpoint that cannot be emptied takes a long-running task that has no other place", t, func() {
		b := newCordoned(true)
		_, load := play(b, 2*time.Second)
		So(load.LongRunningRuns, ShouldEqual, 1)
		b.submit(secondID, longRunningStep(1))
		starts, load := play(b, 3*time.Second)
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Endpoint, ShouldEqual, endpointName(0))
		So(load.LongRunningRuns, ShouldEqual, 2)
	})
	Convey("An endpoint is not cordoned while a long-running task has no other place", t, func() {
		b := newCordoned(false)
		b.cell.endpoints[endpointName(0)].cordonUntil = b.now.Add(2 * time.Second)
		b.submit(secondID, longRunningStep(1))
		for range 15 {
			b.advance(100 * time.Millisecond)
			b.answerPoll(0)
			b.planAndAccept()
		}
		So(b.cell.Evacuate(b.now, endpointName(0), b.now.Add(cordonDuration), true).IsKnown, ShouldBeFalse)
		starts, load := play(b, time.Second)
		So(starts, ShouldHaveLength, 1)
		So(load.LongRunningRuns, ShouldEqual, 1)
	})
	Convey("An endpoint that was reported to be empty stays cordoned, as an order may be under way", t, func() {
		b := newCordoned(false)
		So(b.cell.Evacuate(b.now, endpointName(0), b.now.Add(cordonDuration), true).Runs, ShouldEqual, 0)
		b.submit(secondID, longRunningStep(1))
		starts, load := play(b, 3*time.Second)
		So(starts, ShouldBeEmpty)
		So(load.IsKnown, ShouldBeTrue)
	})
	Convey("A task that waits for the limit of its account keeps no endpoint from being cordoned", t, func() {
		b := newCordoned(false)
		b.cell.config.AccountLimit = func(account string) (Size, bool) { return Size{}, account == "red" }
		b.cell.Submit(b.now, Job{ID: secondID, Queue: "q", Account: "red", Attempts: 2, Steps: []Step{longRunningStep(1)}})
		starts, _ := play(b, 2*time.Second)
		So(starts, ShouldBeEmpty)
		b.cell.endpoints[endpointName(0)].isReportedEmpty = false
		load := b.cell.Evacuate(b.now, endpointName(0), b.now.Add(cordonDuration), true)
		So(load.IsKnown, ShouldBeTrue)
		So(b.cell.endpoints[endpointName(0)].cordonUntil, ShouldEqual, b.now.Add(cordonDuration))
	})
}
