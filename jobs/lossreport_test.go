package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// What a lost run was concluded from was not reported, so a wrong conclusion could not be traced.
func TestLossReports(t *testing.T) {
	for rule, lose := range map[LossRule]func(b *testbed, start Start){
		LostAbsent: func(b *testbed, _ Start) { b.answerPoll(0) },
		LostRestarted: func(b *testbed, start Start) {
			b.answerPoll(0, ListedRun{Task: start.Task, Run: start.Run})
			b.born, b.clock = 2, 5
			b.answerPoll(0)
		},
		LostReplaced: func(b *testbed, _ Start) {
			b.cell.SetEndpoints(b.now, []Profile{{ID: "e9", Machine: "m" + endpointName(0), Born: 9}})
			b.cell.ApplyListing(b.now, Listing{Endpoint: "e9", AskedAt: b.now, Born: 9, Clock: 5})
		},
		LostExpired: func(b *testbed, _ Start) {
			b.advance(7 * time.Second)
			b.planAndStore()
		},
		LostMisdirected: func(b *testbed, start Start) {
			b.cell.Cancel(b.now, firstID)
			b.cell.StopAnswered(b.now, b.cell.Stops(b.now)[0], OtherIncarnation, 0)
		},
	} {
		Convey("A report tells the rule by which a run counts as lost, and its inputs: "+string(rule), t, func() {
			b := newTestbed(1)
			b.submit(firstID, batchStep(1, 100))
			start := b.planAndAccept()[0]
			b.advance(100 * time.Millisecond)
			lose(b, start)
			losses, count := b.cell.TakeLosses()
			So(count, ShouldEqual, 1)
			So(losses, ShouldHaveLength, 1)
			So(losses[0].Rule, ShouldEqual, rule)
			So(losses[0].Task, ShouldEqual, start.Task)
			So(losses[0].Endpoint, ShouldEqual, endpointName(0))
			So(losses[0].Born, ShouldEqual, 1)
			So(losses[0].OrderedFor, ShouldBeGreaterThanOrEqualTo, 100*time.Millisecond)
			So(losses[0].ConnectedFor, ShouldEqual, -1)
			_, count = b.cell.TakeLosses()
			So(count, ShouldEqual, 0)
		})
	}
	Convey("Of a run that is listed after it counted as lost, the rule is known", t, func() {
		b := newTestbed(2)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndAccept()[0]
		b.advance(100 * time.Millisecond)
		i := 0
		if start.Endpoint == endpointName(1) {
			i = 1
		}
		b.answerPoll(i)
		b.advance(100 * time.Millisecond)
		stops := b.answerPoll(i, ListedRun{Task: start.Task, Run: start.Run})
		So(stops, ShouldHaveLength, 1)
		origin := b.cell.OrphanOrigin(b.now, stops[0])
		So(origin.Rule, ShouldEqual, LostAbsent)
		So(origin.LostFor, ShouldEqual, 100*time.Millisecond)
		So(origin.LastRun, ShouldEqual, 1)
		So(b.cell.OrphanOrigin(b.now, Stop{Endpoint: "e7", Task: start.Task, Run: 1}).Rule, ShouldBeEmpty)
		So(b.cell.OrphanOrigin(b.now, Stop{Endpoint: "e7", Task: "unknown", Run: 1}), ShouldResemble, OrphanOrigin{})
	})
}
