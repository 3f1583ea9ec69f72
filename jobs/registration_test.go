package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A late registration of an incarnation that this owner never knew ended the runs of the present one.
func TestStaleRegistrationStartsTaskTwice(t *testing.T) {
	Convey("A task is not placed again because of a late registration with a later start time", t, func() {
		b := newTestbed(1)
		b.born = 600
		b.advance(100 * time.Millisecond)
		b.setEndpoints(1, false)
		b.answerPoll(0)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		for range 5 {
			b.advance(100 * time.Millisecond)
			b.setEndpoints(1, false)
			b.answerPoll(0, ListedRun{Task: start.Task, Run: 1, Percent: 100})
		}
		b.advance(100 * time.Millisecond)
		b.born = 900
		b.setEndpoints(1, false)
		b.born = 600
		So(b.cell.endpoints[endpointName(0)].runs, ShouldHaveLength, 1)
	})
}

// An endpoint that discovery showed to have restarted got starts and grants for the clock of its
// earlier incarnation, which last far longer on the clock of the next one.
func TestRegisteredRestartGetsEarlierGrants(t *testing.T) {
	newRestarted := func() *testbed {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndAccept()[0]
		b.advance(100 * time.Millisecond)
		b.answerPoll(0, ListedRun{Task: start.Task, Run: start.Run})
		b.advance(100 * time.Millisecond)
		b.born, b.clock = 2, 5
		b.setEndpoints(1, false)
		return b
	}
	Convey("A poll of an endpoint that has restarted by discovery extends no grant before it has listed its runs", t, func() {
		b := newRestarted()
		poll, _ := b.cell.NextPoll(b.now, endpointName(0))
		So(poll.IsUrgent, ShouldBeTrue)
		So(poll.Until, ShouldEqual, 0)
	})
	Convey("Nothing is started on an endpoint that has restarted by discovery before it has listed its runs", t, func() {
		b := newTestbed(1)
		b.advance(100 * time.Millisecond)
		b.answerPoll(0)
		b.advance(100 * time.Millisecond)
		b.born, b.clock = 2, 5
		b.setEndpoints(1, false)
		b.submit(firstID, batchStep(1, 100))
		So(b.planAndStore(), ShouldBeEmpty)
		b.answerPoll(0)
		So(b.planAndStore(), ShouldHaveLength, 1)
	})
}

// A listing of an earlier incarnation that was asked for before discovery showed a restart hid the
// restart, so that ends of the next incarnation were acknowledged unseen.
func TestEarlierListingHidesRestart(t *testing.T) {
	Convey("A listing that was asked for before discovery showed a restart does not deny it", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndAccept()[0]
		b.advance(300 * time.Millisecond)
		b.listEnd(0, start.Task, 1, Done)
		b.planAndStore()
		asked := b.now
		ended := []ListedEnd{{Number: 1, End: End{Task: start.Task, Run: 1, Outcome: Done}}}
		b.advance(300 * time.Millisecond)
		b.born = 2
		b.setEndpoints(1, false)
		b.cell.ApplyListing(b.now, Listing{Endpoint: endpointName(0), AskedAt: asked, Born: 1, Clock: b.clock - 50, Ended: ended})
		poll, _ := b.cell.NextPoll(b.now, endpointName(0))
		So(poll.Seen, ShouldEqual, 0)
		So(poll.IsUrgent, ShouldBeTrue)
	})
}
