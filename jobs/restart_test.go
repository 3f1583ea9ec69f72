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
		b.answerOther(o.start)
	}
	for name, c := range map[string]struct {
		reply func(b *testbed, o order) Reply
		// isLate reports that the reply is known only after the restart, mayRun that the
		// restarted endpoint may have the run even if no connection outlives a restart.
		isLate, mayRun bool
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
			mayRun: true,
		},
		"not answered on a connection that the listed incarnation had": {
			reply: func(_ *testbed, o order) Reply { return Reply{Answer: Unanswered, ConnectedAt: o.earlier} },
		},
		"not answered on a connection opened after the listing": {
			reply: func(_ *testbed, o order) Reply {
				return Reply{Answer: Unanswered, ConnectedAt: o.listed.Add(time.Millisecond)}
			},
			mayRun: true,
		},
		"not answered on an unknown connection": {
			reply:  func(*testbed, order) Reply { return Reply{Answer: Unanswered} },
			mayRun: true,
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
			isLate: true, mayRun: true,
		},
	} {
		// newRestarted returns a cell whose chosen endpoint has restarted and not listed its
		// runs since.
		newRestarted := func() (b *testbed, o order) {
			b = newTestbed(2)
			o = newOrder(b)
			reply := c.reply(b, o)
			if !c.isLate {
				b.cell.StartAnswered(b.now, o.start, reply)
			}
			restart(b, o)
			So(b.planAndStore(), ShouldBeEmpty)
			if c.isLate {
				b.cell.StartAnswered(b.now, o.start, reply)
				So(b.planAndStore(), ShouldBeEmpty)
			}
			return b, o
		}
		Convey("A task runs again after three listings if the restarted endpoint does not list its run; the start was "+name, t, func() {
			b, o := newRestarted()
			var starts []Start
			for polls := 0; polls < 3 && len(starts) == 0; polls++ {
				b.advance(100 * time.Millisecond)
				b.answerPoll(0)
				b.answerPoll(1)
				for _, s := range b.cell.Stops(b.now) {
					b.cell.StopAnswered(b.now, s, Accepted, b.clock)
				}
				starts = b.planAndStore()
			}
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Run, ShouldEqual, o.start.Run+1)
		})
		Convey("A task runs again within 9 s if the restarted endpoint is gone, unless it may have the run; the start was "+name, t, func() {
			b, o := newRestarted()
			b.advance(time.Second)
			b.delist(o.start)
			var starts []Start
			for passed := time.Second; passed < 9*time.Second && len(starts) == 0; passed += 100 * time.Millisecond {
				b.advance(100 * time.Millisecond)
				b.answerOther(o.start)
				starts = b.planAndStore()
			}
			if c.mayRun {
				So(starts, ShouldBeEmpty)
				return
			}
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Endpoint, ShouldNotEqual, o.start.Endpoint)
		})
	}
}

// otherEndpoint returns the one of two endpoints that a start was not ordered on.
func otherEndpoint(start Start) int {
	if start.Endpoint == endpointName(0) {
		return 1
	}
	return 0
}

// answerOther applies a listing without runs of the endpoint that a start was not ordered on.
func (b *testbed) answerOther(start Start) { b.answerPoll(otherEndpoint(start)) }

// delist makes discovery list only the endpoint that a start was not ordered on.
func (b *testbed) delist(start Start) {
	id := endpointName(otherEndpoint(start))
	b.cell.SetEndpoints(b.now, []Profile{{ID: id, Machine: "m" + id, Labels: []string{"a"}, Capacity: Size{CPU: 4000, Memory: 4000}, Born: b.born}})
}

// A start that waited for others to be sent reached the next incarnation of its endpoint with a
// grant for the clock of the one before.
func TestQueuedStartReachesNextIncarnation(t *testing.T) {
	Convey("A start that is queued when its endpoint restarts is not sent", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndStore()[0]
		So(b.cell.IsStartCurrent(start), ShouldBeTrue)
		b.advance(100 * time.Millisecond)
		b.born, b.clock = 2, 5
		b.answerPoll(0)
		So(b.cell.IsStartCurrent(start), ShouldBeFalse)
	})
}

// A run that had reached a restarted endpoint through a forwarder counted as lost while its grant
// went on, as the endpoint, cut off from all, was missing from discovery for 2 s.
func TestDelistedEndpointHasRun(t *testing.T) {
	Convey("A task is not started again within the grant of a run that a restarted endpoint may have received", t, func() {
		b := newTestbed(2)
		opened := b.now
		b.advance(200 * time.Millisecond)
		b.answerPoll(0)
		b.answerPoll(1)
		b.advance(200 * time.Millisecond)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndStore()[0]
		ordered := b.now
		b.cell.StartAnswered(b.now, start, Reply{Answer: Unanswered, ConnectedAt: opened})
		b.advance(100 * time.Millisecond)
		b.born, b.clock = 2, 5
		b.setEndpoints(2, false)
		b.answerOther(start)
		b.advance(500 * time.Millisecond)
		b.delist(start)
		for b.now.Sub(ordered) < DefaultBounds().Grant {
			b.advance(100 * time.Millisecond)
			b.answerOther(start)
			SoMsg(b.now.Sub(ordered).String(), b.planAndStore(), ShouldBeEmpty)
		}
	})
}

// A task whose start was not answered waited for half a minute, as an answer that had been overtaken
// counted as a restart of the endpoint, which was then gone.
func TestOvertakenAnswerKeepsTaskWithoutRun(t *testing.T) {
	Convey("A task runs again when the grant has expired if only an overtaken answer speaks for a restart", t, func() {
		b := newTestbed(2)
		b.submit(firstID, batchStep(1, 100))
		start := b.planAndStore()[0]
		b.advance(100 * time.Millisecond)
		b.answerOther(start)
		b.cell.endpoints[start.Endpoint].recordContact(b.now, b.clock)
		b.cell.endpoints[start.Endpoint].recordContact(b.now, b.clock-50)
		b.cell.StartAnswered(b.now, start, Reply{Answer: Unanswered})
		var starts []Start
		passed := time.Duration(0)
		for ; passed < 9*time.Second && len(starts) == 0; passed += 100 * time.Millisecond {
			b.advance(100 * time.Millisecond)
			b.cell.PollFailed(b.now, start.Endpoint, Unanswered)
			b.answerOther(start)
			starts = b.planAndStore()
		}
		So(starts, ShouldHaveLength, 1)
		So(passed, ShouldBeGreaterThan, DefaultBounds().Grant)
	})
}
