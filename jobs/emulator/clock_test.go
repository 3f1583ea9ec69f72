package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// TestRestartsWithSteppedClocks guards against endpoints that are not used after a restart, or
// whose runs are taken to be lost, because start times do not order their incarnations.
func TestRestartsWithSteppedClocks(t *testing.T) {
	Convey("Long-running tasks run, each once, while endpoints restart with wall clocks that were stepped", t, func() {
		const tasks = 6
		for seed := range uint64(40) {
			w := New(Config{
				Seed: seed, Endpoints: 3, PerRack: 3, Capacity: jobs.Size{CPU: 1000, Memory: 1000}, ClockStep: time.Minute,
				Work: func(*World, string) (time.Duration, bool) { return 0, false },
			})
			w.Advance(500 * time.Millisecond)
			id := fmt.Sprintf("%016x", 1)
			w.Submit(jobs.Job{ID: id, Queue: "q", Stretch: 3, Steps: []jobs.Step{{
				Count: tasks, Each: jobs.Size{CPU: 400, Memory: 100}, LongRunning: true, MaxUnavailable: 1,
			}}})
			w.Advance(time.Second)
			for range 10 {
				w.Advance(time.Duration(w.random.IntN(3000)) * time.Millisecond)
				if w.chance(0.2) {
					w.Takeover()
				}
				w.endpoints[w.random.IntN(3)].Crash(time.Duration(1+w.random.IntN(500)) * time.Millisecond)
			}
			// Only with all endpoints in use is there room for all tasks.
			w.Advance(8 * time.Second)
			SoMsg(fmt.Sprintf("seed %d", seed), w.Violations(), ShouldBeEmpty)
			for k := range tasks {
				task := jobs.TaskName{Job: id, Index: k}.String()
				SoMsg(fmt.Sprintf("seed %d, %s", seed, task), w.oracle.running[task], ShouldHaveLength, 1)
			}
		}
	})
}
