package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// TestQuickRestartsRepeatTasks guards against ends that are acknowledged to the wrong
// incarnation of an endpoint that restarts under its ID between two calls.
func TestQuickRestartsRepeatTasks(t *testing.T) {
	Convey("Endpoints that restart within milliseconds and end tasks as quickly run no task again that was done", t, func() {
		for seed := range uint64(60) {
			w := New(Config{
				Seed: seed, Endpoints: 2, PerRack: 2, Capacity: jobs.Size{CPU: 8000, Memory: 8000},
				Work: func(w *World, _ string) (time.Duration, bool) {
					return time.Duration(10+w.random.IntN(60)) * time.Millisecond, w.chance(0.03)
				},
			})
			w.Advance(500 * time.Millisecond)
			for number := range 200 {
				w.Submit(jobs.Job{
					ID: fmt.Sprintf("%016x", number), Queue: "q", Attempts: 3, Stretch: 3,
					Steps: []jobs.Step{{Count: 4, Each: jobs.Size{CPU: 500, Memory: 100}}},
				})
				w.Advance(time.Duration(w.random.IntN(120)) * time.Millisecond)
				if w.chance(0.2) {
					w.endpoints[w.random.IntN(2)].Crash(time.Duration(1+w.random.IntN(30)) * time.Millisecond)
				}
			}
			w.Advance(5 * time.Second)
			SoMsg(fmt.Sprintf("seed %d", seed), w.Violations(), ShouldBeEmpty)
		}
	})
}
