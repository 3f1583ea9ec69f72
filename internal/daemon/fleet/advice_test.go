package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// adviceService decides on one call at a time, as the platform's does for each machine that calls.
type adviceService struct {
	turn                   chan struct{}
	decisionTime, validity time.Duration
}

func (a *adviceService) advise(ctx context.Context, _ string, ids []string) (map[string]string, time.Duration, error) {
	select {
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	time.Sleep(a.decisionTime)
	<-a.turn
	tickets := make(map[string]string)
	for _, id := range ids {
		tickets[id] = "ticket"
	}
	return tickets, a.validity, nil
}

// After a burst, each call for advice waited behind so many others of its entry that its tickets had
// expired when they arrived; all steps asked again at once, and no job was ever started (LOST, review/4).
func TestAdviceExpiresBehindOtherCalls(t *testing.T) {
	Convey("Steps that wait for advice after a burst get it in turn and start", t, func() {
		service := &adviceService{turn: make(chan struct{}, 1), decisionTime: 60 * time.Millisecond, validity: 250 * time.Millisecond}
		s := (&system{t: t, store: keyvalue.New(), advise: service.advise}).startAll(2)
		s.configure(configAdvised)
		const burst = 40
		for id := range uint64(burst) {
			So(s.submit(int(id)%2, jobPath("quick", id+1)), ShouldBeTrue)
		}
		// Each of the 80 steps needs one call.
		end := time.Now().Add(2*burst*service.decisionTime + 5*time.Second)
		for id := range uint64(burst) {
			So(s.completes(int(id)%2, jobPath("quick", id+1), time.Until(end)), ShouldBeTrue)
		}
	})
}
