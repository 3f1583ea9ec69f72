package minion

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

const (
	// A queue is moved this often, at this interval: longer than entries may take to apply a version.
	moveCount    = 7
	moveInterval = 2500 * time.Millisecond
	// repeatDelay is after what time a request comes again.
	repeatDelay = 3 * time.Second
	// killedEntry is killed between two moves and started again after entryDowntime.
	killedEntry   = 1
	entryDowntime = time.Second
)

// The jobs of a queue that was moved between two pools were answered 410, and requests that came again,
// or at two entries at once, ran them a second time (review/3).
func TestQueueMovesUnderSubmissions(t *testing.T) {
	Convey("No task runs twice while a queue moves and an entry is killed, and all jobs complete", t, FailureContinues, func() {
		s := newSystem(t, systemConfig{entries: 3, endpoints: 12, hasOtherPool: true, seed: 43})
		end := time.Now().Add(moveCount * moveInterval)
		var workers conc.WaitGroup
		workers.Go(func() {
			for i := range moveCount {
				s.configure(10+7*i, []string{otherPool, pool}[i%2])
				time.Sleep(moveInterval)
			}
		})
		workers.Go(func() {
			time.Sleep(moveCount * moveInterval / 2)
			s.entries[killedEntry].kill()
			time.Sleep(entryDowntime)
			if err := s.entries[killedEntry].start(); err != nil {
				t.Error(err)
			}
		})
		random := rand.New(rand.NewPCG(s.config.seed, 1))
		for ; time.Now().Before(end); time.Sleep(3 * submitInterval) {
			number, entry := random.Uint64(), random.IntN(len(s.entries))
			for i := range 2 {
				workers.Go(func() { s.submit((entry+i)%len(s.entries), number) })
			}
			workers.Go(func() {
				time.Sleep(repeatDelay)
				s.submit((entry+2)%len(s.entries), number)
			})
		}
		workers.Wait()
		s.expectRunsOnce()
		s.expectCompleted()
	})
}
