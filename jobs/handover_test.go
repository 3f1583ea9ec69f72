package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each owner began the wait for the grant of a silent endpoint anew, so tasks on it stayed without
// a run for as long as owners handed the cell over to each other.
func TestHandoversKeepTaskWithoutRun(t *testing.T) {
	// handOver replaces the cell by that of the next owner.
	handOver := func(b *testbed) {
		state := b.cell.HandoverSnapshot(b.now)
		b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
		b.cell.Restore(b.now, state)
		b.cell.FinishRestore()
		b.cell.InheritGrants(b.now, state.Silent)
		b.setEndpoints(2, false)
	}
	Convey("A task of an endpoint that is gone is placed again once its grant is over, whoever owns the cell by then", t, func() {
		b := newTestbed(2)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		waited, placed := time.Duration(0), []Start(nil)
		for ; waited < 20*time.Second && len(placed) == 0; waited += 100 * time.Millisecond {
			b.advance(100 * time.Millisecond)
			if waited%(2*time.Second) == 0 {
				handOver(b)
			}
			for i := range 2 {
				b.cell.NextPoll(b.now, endpointName(i))
				if endpointName(i) != start.Endpoint {
					b.answerPoll(i)
				}
			}
			placed = b.planAndStore()
		}
		So(placed, ShouldHaveLength, 1)
		So(placed[0].Endpoint, ShouldNotEqual, start.Endpoint)
		So(waited, ShouldBeGreaterThan, DefaultBounds().Grant)
		// A long-running task must run again within 9 s.
		So(waited, ShouldBeLessThan, 8*time.Second)
	})
}

// A grant that was extended after the next owner had got its end let a task run twice.
func TestHandedOverGrantsAreExtended(t *testing.T) {
	// newSilent returns a cell with a long-running task on a silent endpoint, and its start.
	newSilent := func() (*testbed, Start, int) {
		b := newTestbed(2)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		lost := 0
		if start.Endpoint == endpointName(1) {
			lost = 1
		}
		for range 15 {
			b.advance(100 * time.Millisecond)
			b.cell.NextPoll(b.now, start.Endpoint)
			b.answerPoll(1 - lost)
		}
		return b, start, lost
	}
	Convey("Only endpoints with runs that do not answer are told of, with the rest of their grants", t, func() {
		b, start, _ := newSilent()
		state := b.cell.HandoverSnapshot(b.now)
		So(state.Silent, ShouldHaveLength, 1)
		So(state.Silent[0].Endpoint, ShouldEqual, start.Endpoint)
		So(state.Silent[0].Born, ShouldEqual, 1)
		left := time.Duration(state.Silent[0].LeftMilliseconds) * time.Millisecond
		expiry := b.cell.endpoints[start.Endpoint].grantExpiry(DefaultBounds())
		So(left, ShouldBeBetweenOrEqual, expiry.Sub(b.now), expiry.Sub(b.now)+time.Second)
	})
	Convey("An endpoint that answers after the snapshot gets no grant and no start from this owner", t, func() {
		b, start, lost := newSilent()
		b.cell.HandoverSnapshot(b.now)
		before := b.cell.endpoints[start.Endpoint].grantUntil
		b.advance(100 * time.Millisecond)
		b.answerPoll(lost, ListedRun{Task: start.Task, Run: start.Run, Percent: 100})
		b.advance(100 * time.Millisecond)
		poll, _ := b.cell.NextPoll(b.now, start.Endpoint)
		So(poll.IsNeeded, ShouldBeTrue)
		So(poll.Until, ShouldEqual, 0)
		So(b.cell.endpoints[start.Endpoint].isSchedulable(b.now), ShouldBeFalse)
		So(b.cell.endpoints[start.Endpoint].grantUntil, ShouldEqual, before)
	})
	for name, c := range map[string]struct {
		// told changes what the next owner is told, and prepare its cell.
		told    func(silent []SilentEndpoint) []SilentEndpoint
		prepare func(b *testbed)
		// isEarly reports that the task may be placed as soon as the told time is over.
		isEarly bool
	}{
		"with what the snapshot says":           {isEarly: true},
		"without":                               {told: func([]SilentEndpoint) []SilentEndpoint { return nil }},
		"of another incarnation":                {told: func(silent []SilentEndpoint) []SilentEndpoint { silent[0].Born++; return silent }},
		"of an incarnation before the last one": {prepare: func(b *testbed) { b.born = 2; b.setEndpoints(2, false) }},
	} {
		Convey("The task of a silent endpoint is placed by the next owner, told of the grants "+name, t, func() {
			b, start, lost := newSilent()
			state := b.cell.HandoverSnapshot(b.now)
			left := time.Duration(state.Silent[0].LeftMilliseconds) * time.Millisecond
			silent := state.Silent
			if c.told != nil {
				silent = c.told(silent)
			}
			b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
			b.cell.Restore(b.now, state)
			b.cell.FinishRestore()
			b.cell.InheritGrants(b.now, silent)
			b.setEndpoints(2, false)
			if c.prepare != nil {
				c.prepare(b)
			}
			waited := time.Duration(0)
			for placed := []Start(nil); len(placed) == 0 && waited < 10*time.Second; waited += 50 * time.Millisecond {
				b.advance(50 * time.Millisecond)
				b.cell.NextPoll(b.now, start.Endpoint)
				b.answerPoll(1 - lost)
				placed = b.planAndStore()
			}
			if c.isEarly {
				So(waited, ShouldBeBetweenOrEqual, left, left+200*time.Millisecond)
			} else {
				So(waited, ShouldBeGreaterThan, DefaultBounds().Grant+inheritedGrantSlack)
			}
		})
	}
}

// The next owner started a task beside an orphan that was being stopped during the hand-over.
func TestHandoverForgetsOrphan(t *testing.T) {
	for name, isSilent := range map[string]bool{"answers later than others": false, "is silent": true} {
		Convey("The next owner starts no task of which an endpoint has an orphan that "+name, t, func() {
			b := newTestbed(2)
			b.submit(firstID, batchStep(1, 100))
			task := TaskName{Job: firstID}.String()
			b.advance(10 * time.Second)
			b.answerPoll(0)
			b.answerPoll(1, ListedRun{Task: task, Run: 7})
			So(b.planAndStore(), ShouldBeEmpty)
			if isSilent {
				b.advance(1500 * time.Millisecond)
				b.cell.PollFailed(b.now, endpointName(1), Unanswered)
			}
			final := b.cell.HandoverSnapshot(b.now)
			b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
			b.cell.Restore(b.now, final)
			b.cell.FinishRestore()
			b.cell.InheritGrants(b.now, final.Silent)
			b.setEndpoints(2, false)
			b.advance(60 * time.Millisecond)
			b.answerPoll(0)
			So(b.planAndStore(), ShouldBeEmpty)
			b.advance(60 * time.Millisecond)
			b.answerPoll(1, ListedRun{Task: task, Run: 7})
			So(b.planAndStore(), ShouldBeEmpty)
			b.advance(500 * time.Millisecond)
			b.listEnd(1, task, 7, Stopped)
			b.answerPoll(0)
			So(b.planAndStore(), ShouldHaveLength, 1)
		})
	}
}

// A run of an earlier owner was started again beside itself, as the endpoint had copied the list of
// its runs just before it began the run.
func TestFirstListingMissesInheritedRun(t *testing.T) {
	Convey("An inherited run is lost only if a listing does not contain it that was asked for after the first one", t, func() {
		b := newTestbed(2)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndStore()[0]
		state := b.cell.Snapshot()
		b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
		b.cell.Restore(b.now, state)
		b.cell.FinishRestore()
		b.setEndpoints(2, false)
		b.advance(20 * time.Millisecond)
		b.answerPoll(0)
		b.answerPoll(1)
		So(b.planAndStore(), ShouldBeEmpty)
		b.advance(60 * time.Millisecond)
		b.answerOther(start)
		run := 0
		if start.Endpoint == endpointName(1) {
			run = 1
		}
		b.answerPoll(run, ListedRun{Task: start.Task, Run: start.Run})
		So(b.planAndStore(), ShouldBeEmpty)
		So(b.cell.endpoints[start.Endpoint].orphans, ShouldBeEmpty)
	})
}
