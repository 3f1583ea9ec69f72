package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// TestLateWritesStartEndedTasksAgain guards against an owner that begins with an older state
// than its predecessor has stored and so starts tasks again that have ended.
func TestLateWritesStartEndedTasksAgain(t *testing.T) {
	Convey("No task is started after its end was acknowledged although the store carries out unanswered writes late", t, func() {
		s := newSystem(t, 3)
		random := rand.New(rand.NewPCG(23, 1))
		// The first attempt at every other snapshot is late, so that it can be carried out
		// after the next snapshot.
		var snapshotAttempts atomic.Int64
		s.store.Defer(func(change store.Change) bool {
			if slices.ContainsFunc(change.Puts, func(p store.Put) bool { return p.Key == "cell/red/state" }) {
				return snapshotAttempts.Add(1)%attemptsPerLateSnapshot == 1
			}
			return random.IntN(4) == 0
		})
		// Large specs fill the log quickly, so that snapshots are frequent.
		body := fmt.Sprintf(`{"spec":%q,"steps":[{"n":3,"each":{"cpu":50,"mem":10}}]}`, strings.Repeat("x", 3900))
		var number, accepted atomic.Int64
		var isOver atomic.Bool
		var submitters conc.WaitGroup
		for i := range lateSubmitters {
			submitters.Go(func() {
				for !isOver.Load() {
					path := fmt.Sprintf("/quick/%016x", number.Add(1))
					if status, _ := s.call(i%3, http.MethodPost, path, body); status == http.StatusOK {
						accepted.Add(1)
					}
				}
			})
		}
		for range lateRounds {
			before := snapshotAttempts.Load()
			isSuperseded := await.Until(20*time.Second, func() bool {
				attempts := snapshotAttempts.Load()
				return attempts-before >= attemptsPerLateSnapshot && attempts%attemptsPerLateSnapshot == 0
			})
			So(isSuperseded, ShouldBeTrue)
			s.store.ApplyDeferred()
			// The owners lose their cells, and the next ones begin with the stored state.
			s.store.ExpireLeases()
		}
		isOver.Store(true)
		submitters.Wait()
		s.store.Defer(nil)
		So(await.Until(20*time.Second, func() bool { return s.workers.Running() == 0 && s.owner("red") >= 0 }), ShouldBeTrue)
		t.Logf("%d jobs accepted, %d tasks started", accepted.Load(), len(s.workers.Starts()))
		So(accepted.Load(), ShouldBeGreaterThan, 0)
		So(s.workers.Repeated(), ShouldBeEmpty)
	})
}

const (
	// lateRounds is the number of times writes are carried out late and the owners change.
	lateRounds = 4
	// attemptsPerLateSnapshot are the late attempt at a snapshot, its repetition and the
	// next snapshot.
	attemptsPerLateSnapshot = 3
	// lateSubmitters is the number of concurrent requests.
	lateSubmitters = 24
)
