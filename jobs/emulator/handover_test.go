package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// TestHandoversRunTasksTwice guards against tasks that are placed again while a run that an
// earlier owner or an earlier incarnation of an endpoint had started goes on.
func TestHandoversRunTasksTwice(t *testing.T) {
	// play hands the cell over again and again beside faults and returns the world.
	play := func(seed uint64) *World {
		w := New(Config{
			Seed: seed, Endpoints: 4, PerRack: 2, Capacity: jobs.Size{CPU: 8000, Memory: 8000},
			Work: func(*World, string) (time.Duration, bool) { return 0, false },
		})
		w.Advance(500 * time.Millisecond)
		draw := func(limit time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(limit))) }
		for number := range 60 {
			if number < 4 {
				w.Submit(jobs.Job{
					ID: fmt.Sprintf("%016x", number), Queue: "q", Attempts: 3, Stretch: 3,
					Steps: []jobs.Step{{Count: 5, Each: jobs.Size{CPU: 500, Memory: 100}, LongRunning: true, MaxUnavailable: 1}},
				})
			}
			if number%20 == 10 {
				share := func() float64 { return float64(w.random.IntN(4)) / 10 }
				w.SetFaults(Faults{LostAnswers: share(), LateOrders: share(), LostCommits: share(), LateAnswers: share()})
			}
			e := w.endpoints[w.random.IntN(len(w.endpoints))]
			switch w.random.IntN(10) {
			case 0, 1:
				if seed%2 == 0 {
					e.Partition(1200*time.Millisecond + draw(2*time.Second))
					break
				}
				e.Crash(time.Millisecond + draw(3*time.Second))
			case 2:
				e.Partition(draw(12 * time.Second))
			case 3:
				// Silent for long enough to be told of, and back before its grant is over.
				e.Partition(1200*time.Millisecond + draw(1500*time.Millisecond))
			case 4:
				e.PartitionOwner()
			case 5:
				w.KillOwner()
			default:
				w.HandOver()
			}
			w.Advance(draw(1500 * time.Millisecond))
		}
		return w
	}
	Convey("Beside hand-overs, restarts, cuts and late orders no task runs twice", t, func() {
		for seed := range uint64(handoverSeeds) {
			SoMsg(fmt.Sprintf("seed %d", seed), play(seed).Violations(), ShouldBeEmpty)
		}
	})
}

// handoverSeeds is the number of seeds that TestHandoversRunTasksTwice plays.
const handoverSeeds = 120
