package emulator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The grant of an order without an answer reached the next incarnation of its endpoint behind a forwarder, and its connection
// was closed, so that no later listing showed that it had outlived the restart: the owner itself and the next ones counted
// a usual grant, and the run of an endpoint that was cut off went on beside its successor (TWICE).
func TestUnansweredGrantReachesNextIncarnation(t *testing.T) {
	playStrayCalls(t, strayCalls{
		setUp: func(c *Config) { c.HasForwarder = true },
		restart: func(w *World) {
			crashTwo(w, time.Millisecond)
			for _, e := range w.endpoints[:2] {
				e.LoseAnswers(300 * time.Millisecond)
			}
			w.Advance(300 * time.Millisecond)
		},
	})
}

// A call that was sent to an incarnation is carried out seconds later by the next one, which has listed its runs by then: nothing
// shows that its grant has strayed (TWICE).
func TestLateCallReachesNextIncarnation(t *testing.T) {
	playStrayCalls(t, strayCalls{
		setUp:   func(c *Config) { c.HoldsLateOrders, c.HoldsDirectOrders = true, true },
		faults:  Faults{LateOrders: 0.5},
		restart: func(w *World) { crashTwo(w, 30*time.Millisecond) },
	})
}

// strayCalls is a restart of endpoints with faults before it.
type strayCalls struct {
	setUp   func(c *Config)
	faults  Faults
	restart func(w *World)
}

// crashTwo restarts the first two endpoints.
func crashTwo(w *World, down time.Duration) {
	for _, e := range w.endpoints[:2] {
		e.Crash(down)
	}
}

// playStrayCalls plays the restart, and then each way in which the owner changes as the endpoints that have restarted are cut off.
func playStrayCalls(t *testing.T, s strayCalls) {
	const plays = 120
	for change, changeOwner := range ownerChanges {
		Convey("A long-running task runs once if its endpoint restarts and is cut off as the owner changes: "+change, t, func() {
			broken, last := 0, ""
			for seed := range uint64(plays) {
				w, job := newForwardedWorld(false)
				config := w.config
				config.Seed = seed + 1
				s.setUp(&config)
				w = New(config)
				w.Advance(time.Second)
				job.Steps[0].Count = 4
				w.Submit(job)
				w.Advance(6 * time.Second)
				w.SetFaults(s.faults)
				w.Advance(time.Second)
				s.restart(w)
				w.SetFaults(Faults{})
				w.Advance(time.Second + time.Duration(seed)*50*time.Millisecond)
				changeOwner(w, w.endpoints[0])
				for _, e := range w.endpoints {
					if e.incarnation > 1 {
						e.Partition(20 * time.Second)
					}
				}
				w.Advance(16 * time.Second)
				if found := w.Violations(); len(found) > 0 {
					broken++
					last = found[0]
				}
			}
			if broken > 0 {
				t.Logf("owner %s: %d of %d plays, e.g. %s", change, broken, plays, last)
			}
			So(broken, ShouldEqual, 0)
		})
	}
}
