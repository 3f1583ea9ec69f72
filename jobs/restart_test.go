package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A long-running task whose start was not listed yet when its endpoint restarted stayed without
// a run for half a minute if the endpoint was not heard of again.
func TestRestartKeepsTaskWithoutRun(t *testing.T) {
	// A listing is asked for a second after a connection was opened, and the start is
	// ordered half a second after that.
	type order struct {
		start           Start
		listed, earlier time.Time
	}
	newOrder := func(b *testbed) order {
		o := order{earlier: b.now}
		b.advance(time.Second)
		o.listed = b.now
		b.answerPoll(0)
		b.answerPoll(1)
		b.advance(500 * time.Millisecond)
		b.submit(firstID, longRunningStep(1))
		o.start = b.planAndStore()[0]
		return o
	}
	// restart makes discovery list a new incarnation of all endpoints; the one that was not
	// chosen also lists its runs.
	restart := func(b *testbed, o order) {
		b.advance(300 * time.Millisecond)
		b.born, b.clock = 2, 5
		b.setEndpoints(2, false)
		for i := range 2 {
			if endpointName(i) != o.start.Endpoint {
				b.answerPoll(i)
			}
		}
	}
	for name, c := range map[string]struct {
		reply func(b *testbed, o order) Reply
		// isLate reports that the reply is known only after the restart, canRun that the
		// restarted endpoint may have the run.
		isLate, canRun bool
	}{
		"accepted with a clock of the listed incarnation": {
			reply: func(b *testbed, _ order) Reply { return Reply{Answer: Accepted, Clock: b.clock} },
		},
		"accepted on a connection that the listed incarnation had": {
			reply: func(_ *testbed, o order) Reply {
				return Reply{Answer: Accepted, Clock: 400, ConnectedAt: o.earlier}
			},
		},
		"accepted with a clock that a later incarnation can have": {
			reply:  func(_ *testbed, _ order) Reply { return Reply{Answer: Accepted, Clock: 400} },
			canRun: true,
		},
		"not answered on a connection that the listed incarnation had": {
			reply: func(_ *testbed, o order) Reply { return Reply{Answer: Unanswered, ConnectedAt: o.earlier} },
		},
		"not answered on a connection opened after the listing": {
			reply: func(_ *testbed, o order) Reply {
				return Reply{Answer: Unanswered, ConnectedAt: o.listed.Add(time.Millisecond)}
			},
			canRun: true,
		},
		"not answered on an unknown connection": {
			reply:  func(*testbed, order) Reply { return Reply{Answer: Unanswered} },
			canRun: true,
		},
		"not answered until after the restart, on a connection of before": {
			reply:  func(_ *testbed, o order) Reply { return Reply{Answer: Unanswered, ConnectedAt: o.earlier} },
			isLate: true,
		},
		"accepted after the restart, on a connection of before": {
			reply: func(_ *testbed, o order) Reply {
				return Reply{Answer: Accepted, Clock: 2000, ConnectedAt: o.earlier}
			},
			isLate: true,
		},
		"not answered until after the restart, on an unknown connection": {
			reply:  func(*testbed, order) Reply { return Reply{Answer: Unanswered} },
			isLate: true, canRun: true,
		},
	} {
		Convey("A start "+name, t, func() {
			b := newTestbed(2)
			o := newOrder(b)
			reply := c.reply(b, o)
			if !c.isLate {
				b.cell.StartAnswered(b.now, o.start, reply)
			}
			restart(b, o)
			if c.isLate {
				So(b.planAndStore(), ShouldBeEmpty)
				b.cell.StartAnswered(b.now, o.start, reply)
			}
			starts := b.planAndStore()
			if c.canRun {
				So(starts, ShouldBeEmpty)
				return
			}
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Endpoint, ShouldNotEqual, o.start.Endpoint)
		})
	}
}
