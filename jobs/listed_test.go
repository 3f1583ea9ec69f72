package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A run that its endpoint listed was stopped and started again at once, beside the first run, as the
// cell had inferred that the endpoint could not have it.
func TestListedRunStartedTwice(t *testing.T) {
	// restart starts the next incarnation of the endpoint that has the run.
	restart := func(b *testbed) { b.born, b.clock = b.born+1, 5 }
	discover := func(b *testbed) {
		restart(b)
		b.setEndpoints(1, false)
	}
	for name, c := range map[string]struct {
		// reply answers the start, which is sent on a connection that was open when the
		// endpoint was last asked for a listing.
		reply func(b *testbed) Reply
		// restart starts the next incarnation of the endpoint, if the case has one.
		restart func(b *testbed)
		// isLate reports that the reply is known only after the restart.
		isLate bool
	}{
		"accepted on a kept connection, then a listing of the next incarnation": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: 2} },
			restart: restart,
		},
		"accepted on a kept connection, then the next incarnation in discovery": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: 2} },
			restart: discover,
		},
		"accepted after the restart on a kept connection": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: 2} },
			restart: restart, isLate: true,
		},
		"accepted on a kept connection after discovery showed the next incarnation": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: 2} },
			restart: discover, isLate: true,
		},
		"not answered on a kept connection, then a listing of the next incarnation": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Unanswered} },
			restart: restart,
		},
		"not answered on a kept connection, then the next incarnation in discovery": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Unanswered} },
			restart: discover,
		},
		"not answered until discovery showed the next incarnation": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Unanswered} },
			restart: discover, isLate: true,
		},
		"accepted with a clock that goes on over the restart": {
			reply:   func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: b.clock} },
			restart: restart,
		},
		"accepted by an endpoint that does not restart": {
			reply: func(b *testbed) Reply { return Reply{Answer: Accepted, Clock: b.clock} },
		},
	} {
		Convey("A task is not started again while its run is listed; its start was "+name, t, func() {
			b := newTestbed(1)
			opened := b.now
			b.advance(200 * time.Millisecond)
			b.answerPoll(0)
			b.advance(200 * time.Millisecond)
			b.submit(firstID, batchStep(1, 100))
			start := b.planAndStore()[0]
			reply := c.reply(b)
			reply.ConnectedAt = opened
			if !c.isLate {
				b.cell.StartAnswered(b.now, start, reply)
			}
			b.advance(time.Millisecond)
			if c.restart != nil {
				c.restart(b)
			}
			So(b.planAndStore(), ShouldBeEmpty)
			if c.isLate {
				b.cell.StartAnswered(b.now, start, reply)
				So(b.planAndStore(), ShouldBeEmpty)
			}
			b.advance(5 * time.Millisecond)
			So(b.answerPoll(0, ListedRun{Task: start.Task, Run: start.Run}), ShouldBeEmpty)
			So(b.planAndStore(), ShouldBeEmpty)
			So(b.cell.Stops(b.now), ShouldBeEmpty)
			b.advance(500 * time.Millisecond)
			b.listEnd(0, start.Task, start.Run, Done)
			b.planAndStore()
			state, _ := b.cell.Status(firstID)
			So(state, ShouldEqual, Completed)
		})
	}
	Convey("A listing that was asked for before the start was answered shows no run gone, whatever its clock", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		asked := b.now
		start := b.planAndStore()[0]
		b.advance(time.Millisecond)
		b.cell.StartAnswered(b.now, start, Reply{Answer: Accepted, Clock: b.clock})
		b.advance(time.Millisecond)
		// The list was copied before the run began, and the clock read after that.
		b.cell.ApplyListing(b.now, Listing{Endpoint: endpointName(0), AskedAt: asked, Born: b.born, Clock: b.clock})
		So(b.planAndStore(), ShouldBeEmpty)
	})
	Convey("A task is not started while an endpoint lists a run of it that this owner does not know", t, func() {
		for name, step := range map[string]Step{
			"of a single task": batchStep(1, 100), "of a long-running task": longRunningStep(1),
			"of a member of a gang": {Count: 2, Each: Size{CPU: 100, Memory: 10}, Gang: true},
		} {
			b := newTestbed(2)
			b.submit(firstID, step)
			task := TaskName{Job: firstID}.String()
			b.advance(100 * time.Millisecond)
			stops := b.answerPoll(1, ListedRun{Task: task, Run: 7})
			SoMsg(name, stops, ShouldHaveLength, 1)
			SoMsg(name, b.planAndStore(), ShouldBeEmpty)
			b.cell.StopAnswered(b.now, stops[0], Accepted, b.clock)
			SoMsg(name, b.planAndStore(), ShouldBeEmpty)
			b.advance(60 * time.Millisecond)
			b.answerPoll(1, ListedRun{Task: task, Run: 7})
			SoMsg(name, b.planAndStore(), ShouldBeEmpty)
			b.advance(60 * time.Millisecond)
			b.listEnd(1, task, 7, Stopped)
			starts := b.planAndStore()
			SoMsg(name, starts, ShouldHaveLength, step.Count)
			SoMsg(name, starts[0].Run, ShouldEqual, 8)
		}
	})
}

// A listing that was asked for before the last one, by the poller of an earlier address, hid an
// orphan, as it had a later clock.
func TestOlderListingHidesOrphan(t *testing.T) {
	Convey("A listing that was asked for before the last one is ignored, whatever its clock", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		b.advance(100 * time.Millisecond)
		asked := b.now
		b.advance(10 * time.Millisecond)
		b.answerPoll(0, ListedRun{Task: TaskName{Job: firstID}.String(), Run: 7})
		b.advance(time.Millisecond)
		b.cell.ApplyListing(b.now, Listing{Endpoint: endpointName(0), AskedAt: asked, Born: b.born, Clock: b.clock})
		So(b.planAndStore(), ShouldBeEmpty)
	})
}

// A task was started beside an orphan on an endpoint that had restarted and then fell silent, as
// no grant of this owner to the incarnation is known.
func TestOrphanOfRestartedEndpointExpiresAtOnce(t *testing.T) {
	Convey("An orphan on an endpoint that falls silent keeps its task from being started for the length of a grant", t, func() {
		b := newTestbed(2)
		b.advance(20 * time.Second)
		b.answerPoll(0)
		b.born, b.clock = 2, 5
		b.submit(firstID, batchStep(1, 100))
		// A late start of a run that counts as lost was carried out by the next incarnation.
		b.answerPoll(1, ListedRun{Task: TaskName{Job: firstID}.String(), Run: 7})
		b.answerPoll(0)
		So(b.planAndStore(), ShouldBeEmpty)
		for passed := time.Duration(0); passed < DefaultBounds().Grant; passed += 100 * time.Millisecond {
			b.advance(100 * time.Millisecond)
			b.cell.PollFailed(b.now, endpointName(1), Unanswered)
			b.answerPoll(0)
			SoMsg(passed.String(), b.planAndStore(), ShouldBeEmpty)
		}
	})
}
