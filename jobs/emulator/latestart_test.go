package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// A start without an answer was carried out by the next incarnation of an idle endpoint that discovery had dropped: the cell had forgotten
// the endpoint, and called that incarnation only once it was listed. The task had been done elsewhere (TWICE, review/11).
func TestForgottenEndpointCarriesOutLateStart(t *testing.T) {
	// changeDelay is the time from the crash to the change of the owner: the endpoint is not listed any more, and still
	// down at the takeover.
	const changeDelay = delistDelay + 500*time.Millisecond
	changes := map[string]func(w *World){
		"none":                             func(*World) {},
		"killed":                           func(w *World) { w.KillOwner() },
		"taken over at once":               func(w *World) { w.Takeover() },
		"taken over twice":                 func(w *World) { w.Takeover(); w.After(500*time.Millisecond, w.Takeover) },
		"handed over":                      func(w *World) { w.HandOver() },
		"handed over, and then taken over": func(w *World) { w.HandOver(); w.After(time.Second, w.Takeover) },
	}
	for name, c := range map[string]struct{ late, crash, down, register time.Duration }{
		"soon after the restart":     {late: 8700 * time.Millisecond, crash: 3800 * time.Millisecond, down: 4500 * time.Millisecond, register: 750 * time.Millisecond},
		"before it is listed":        {late: 9300 * time.Millisecond, crash: 3800 * time.Millisecond, down: 4500 * time.Millisecond, register: 1500 * time.Millisecond},
		"at the longest usual delay": {late: 11800 * time.Millisecond, crash: 6300 * time.Millisecond, down: 4500 * time.Millisecond, register: 1400 * time.Millisecond},
	} {
		for change, changeOwner := range changes {
			Convey(fmt.Sprintf("A task that is done is not started by an endpoint that is back under its ID: %s, owner %s", name, change), t, func() {
				w := New(Config{
					Endpoints: 3, Capacity: jobs.Size{CPU: 8000, Memory: 8000}, MaxGrant: maxGrant, HoldsLateOrders: true, HoldsDirectOrders: true,
					Work: func(*World, string) (time.Duration, bool) { return 800 * time.Millisecond, false },
				})
				w.Advance(time.Second)
				w.SetFaults(Faults{LateOrders: 1, OrderDelay: c.late})
				w.Submit(jobs.Job{ID: lateID, Queue: "q", Attempts: 3, Stretch: 1.6, Spec: "s", Steps: []jobs.Step{{Count: 1, Each: jobs.Size{CPU: 500, Memory: 100}}}})
				w.Advance(2 * planInterval)
				w.SetFaults(Faults{})
				w.Advance(c.crash - 2*planInterval)
				So(w.oracle.acknowledged[lateID+".0.0.0"], ShouldBeTrue)
				e := w.endpoints[0]
				e.registerDelay = c.register
				e.Crash(c.down)
				w.Advance(changeDelay)
				changeOwner(w)
				w.Advance(20 * time.Second)
				So(e.incarnation, ShouldEqual, 2)
				So(w.Violations(), ShouldBeEmpty)
			})
		}
	}
}

// lateID is the job of the late start.
const lateID = "0000000000000001"
