package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// ownerChanges holds the ways in which the owner of an endpoint changes as that is cut off.
var ownerChanges = map[string]func(w *World, e *Endpoint){
	"none":                   func(*World, *Endpoint) {},
	"killed":                 func(w *World, _ *Endpoint) { w.KillOwner() },
	"taken over at once":     func(w *World, _ *Endpoint) { w.Takeover() },
	"handed over":            func(w *World, _ *Endpoint) { w.HandOver() },
	"handed over and killed": func(w *World, _ *Endpoint) { w.HandOver(); w.After(handoverDelay/2, w.KillOwner) },
	"killed twice":           func(w *World, _ *Endpoint) { w.KillOwner(); w.After(ownerLease+2*time.Second, w.KillOwner) },
	"taken over twice":       func(w *World, _ *Endpoint) { w.Takeover(); w.After(2*time.Second, w.Takeover) },
	"killed, and it restarts again": func(w *World, e *Endpoint) {
		w.KillOwner()
		w.After(2*time.Second, func() { e.Crash(30 * time.Millisecond) })
	},
	"handed over, and it restarts again": func(w *World, e *Endpoint) {
		w.HandOver()
		w.After(2*time.Second, func() { e.Crash(30 * time.Millisecond) })
	},
}

// The grant of an order that was meant for an endpoint's former incarnation lasted longer on the next one than the
// next owner counted: the run of an endpoint that was cut off went on beside its successor (TWICE, rotavert).
func TestNextOwnerCountsStrayGrantShort(t *testing.T) { playOwnerChanges(t, false) }

// The same where connections outlive the restart, so that the owner knows of the grant only when the endpoint
// has listed its runs.
func TestNextOwnerForgetsForwardedGrant(t *testing.T) { playOwnerChanges(t, true) }

func playOwnerChanges(t *testing.T, hasForwarder bool) {
	const step = 40 * time.Millisecond
	for change, changeOwner := range ownerChanges {
		for name, down := range map[string]time.Duration{"1 ms": time.Millisecond, "30 ms": 30 * time.Millisecond, "600 ms": 600 * time.Millisecond} {
			Convey(fmt.Sprintf("A task runs once if its endpoint was down for %s and is cut off as the owner changes: %s", name, change), t, func() {
				plays, broken := 0, 0
				last := ""
				for delay := down + 100*time.Millisecond; delay < down+3*time.Second; delay += step {
					for _, isCutFirst := range []bool{false, true} {
						w, job := newForwardedWorld(hasForwarder)
						w.Submit(job)
						w.Advance(7 * time.Second)
						e := runningEndpoint(w)
						e.Crash(down)
						w.Advance(delay)
						if e = runningEndpoint(w); e == nil {
							continue
						}
						cutOff(w, e, changeOwner, isCutFirst)
						w.Advance(14 * time.Second)
						plays++
						if found := w.Violations(); len(found) > 0 {
							broken++
							last = found[0]
						}
					}
				}
				if broken > 0 {
					t.Logf("down for %s, owner %s: %d of %d plays, e.g. %s", name, change, broken, plays, last)
				}
				So(broken, ShouldEqual, 0)
				So(plays, ShouldBeGreaterThan, 60)
			})
		}
	}
}

// A start for the former incarnation must not reach the next one just before the owner ends: nobody has then
// seen that its grant may have strayed.
func TestOwnerEndsBeforeListing(t *testing.T) { playUnseenRestarts(t, false) }

// The same over connections that outlive the restart: the start reaches the next incarnation, which is cut off
// before any owner has listed its runs. Its run goes on beside its successor (TWICE).
func TestOwnerEndsBeforeForwardedListing(t *testing.T) { playUnseenRestarts(t, true) }

func playUnseenRestarts(t *testing.T, hasForwarder bool) {
	const step = 10 * time.Millisecond
	for change, changeOwner := range ownerChanges {
		Convey("A task that is submitted as its endpoint restarts runs once if the owner changes at once: "+change, t, func() {
			plays, broken := 0, 0
			last := ""
			for _, wait := range []time.Duration{0, 40 * time.Millisecond} {
				for delay := step; delay < 300*time.Millisecond; delay += step {
					for _, isCutFirst := range []bool{false, true} {
						w, job := newForwardedWorld(hasForwarder)
						w.Advance(7*time.Second + wait)
						w.endpoints[0].Crash(time.Millisecond)
						w.Advance(2 * time.Millisecond)
						w.Submit(job)
						w.Advance(delay)
						e := runningEndpoint(w)
						if e == nil {
							continue
						}
						cutOff(w, e, changeOwner, isCutFirst)
						w.Advance(14 * time.Second)
						plays++
						if found := w.Violations(); len(found) > 0 {
							broken++
							last = found[0]
						}
					}
				}
			}
			if broken > 0 {
				t.Logf("owner %s: %d of %d plays, e.g. %s", change, broken, plays, last)
			}
			So(broken, ShouldEqual, 0)
			So(plays, ShouldBeGreaterThan, 60)
		})
	}
}

// A poll with a grant for the former incarnation may reach the next one over a connection that outlives the restart.
// If its answer is lost, the next poll uses another connection, and the owner does not know that the grant has
// strayed: the run of an endpoint that is cut off then goes on beside its successor (TWICE).
func TestUnansweredPollLeavesForwardedGrant(t *testing.T) { playUnansweredPolls(t, true) }

// The same without a forwarder: the poll ends with its connection.
func TestUnansweredPollLeavesGrant(t *testing.T) { playUnansweredPolls(t, false) }

func playUnansweredPolls(t *testing.T, hasForwarder bool) {
	const step = 100 * time.Millisecond
	for name, lost := range map[string]time.Duration{"none": 0, "for 300 ms": 300 * time.Millisecond, "for 600 ms": 600 * time.Millisecond} {
		Convey("A task runs once if its endpoint restarts, its answers are lost, and it is cut off later: answers lost "+name, t, func() {
			plays, broken := 0, 0
			last := ""
			for wait := time.Duration(0); wait < step; wait += 10 * time.Millisecond {
				for delay := step; delay < 3*time.Second; delay += step {
					w, job := newForwardedWorld(hasForwarder)
					w.Submit(job)
					w.Advance(7*time.Second + wait)
					e := runningEndpoint(w)
					e.LoseAnswers(lost)
					e.Crash(time.Millisecond)
					w.Advance(lost + delay)
					if e = runningEndpoint(w); e == nil || e.incarnation == 1 {
						continue
					}
					e.Partition(20 * time.Second)
					w.Advance(14 * time.Second)
					plays++
					if found := w.Violations(); len(found) > 0 {
						broken++
						last = found[0]
					}
				}
			}
			if broken > 0 {
				t.Logf("answers lost %s: %d of %d plays, e.g. %s", name, broken, plays, last)
			}
			So(broken, ShouldEqual, 0)
			So(plays, ShouldBeGreaterThan, 60)
		})
	}
}

// cutOff cuts an endpoint off and changes the owner, in either order.
func cutOff(w *World, e *Endpoint, changeOwner func(w *World, e *Endpoint), isCutFirst bool) {
	if isCutFirst {
		e.Partition(20 * time.Second)
		changeOwner(w, e)
		return
	}
	changeOwner(w, e)
	e.Partition(20 * time.Second)
}

// runningEndpoint returns the endpoint with the first run, nil if there is none.
func runningEndpoint(w *World) *Endpoint {
	for _, e := range w.endpoints {
		if len(e.runs) > 0 {
			return e
		}
	}
	return nil
}
