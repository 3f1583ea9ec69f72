package owner

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// slowEndpoint is an endpoint that carries out starts at once and answers none before released
// is closed.
type slowEndpoint struct {
	mu       sync.Mutex
	clock    int64
	starts   []jobs.Start
	polls    int
	released chan struct{}
}

// client returns a client of the endpoint.
func (e *slowEndpoint) client() *endpoint.Client {
	return &endpoint.Client{Start: e.startRun, Stop: e.stopRun, Poll: e.poll}
}

func (e *slowEndpoint) startRun(_ context.Context, _ endpoint.Target, _ endpoint.Epoch, order jobs.Start) endpoint.Receipt {
	e.mu.Lock()
	e.starts = append(e.starts, order)
	e.mu.Unlock()
	<-e.released
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

func (e *slowEndpoint) stopRun(context.Context, endpoint.Target, endpoint.Epoch, jobs.Stop) endpoint.Receipt {
	return endpoint.Receipt{Answer: jobs.Unanswered}
}

func (e *slowEndpoint) poll(_ context.Context, target endpoint.Target, _ endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock++
	e.polls++
	listing := jobs.Listing{Endpoint: target.ID, Born: 1, Clock: e.clock}
	for _, start := range e.starts {
		listing.Running = append(listing.Running, jobs.ListedRun{Task: start.Task, Run: start.Run, Percent: 100})
	}
	return listing, endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

// counts returns the numbers of starts and of polls.
func (e *slowEndpoint) counts() (starts, polls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts), e.polls
}

// A start that waited for others to the same endpoint was sent although the endpoint had shrunk since.
func TestQueuedStartIsSentToShrunkEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		cpu    int64
		starts int
	}{
		"has shrunk":     {cpu: 300, starts: maxOrdersPerEndpoint},
		"has not shrunk": {cpu: 1000, starts: maxOrdersPerEndpoint + 1},
	} {
		Convey("A queued start is sent or not if the endpoint "+name, t, func() {
			e := &slowEndpoint{released: make(chan struct{})}
			release := sync.OnceFunc(func() { close(e.released) })
			o, _ := newOwnerWith(t, func(config *Config) { config.Endpoints = e.client() })
			t.Cleanup(release)
			setCapacity := func(cpu int64) {
				o.SetEndpoints([]endpoint.Registration{{
					Address: netip.MustParseAddrPort("127.0.0.1:1"), Pool: "red",
					Profile: jobs.Profile{ID: "e", Machine: "m", Capacity: jobs.Size{CPU: cpu, Memory: 1000}, Born: 1},
				}})
			}
			setCapacity(1000)
			So(await.Until(waitTimeout, func() bool {
				// The job is rejected until the endpoint has answered a poll.
				verdict, err := o.Submit(context.Background(), jobs.Job{
					ID: "000000000000000a", Queue: "q", Attempts: 1,
					Steps: []jobs.Step{{Count: maxOrdersPerEndpoint + 1, Each: jobs.Size{CPU: 300, Memory: 10}, LongRunning: true}},
				})
				return err == nil && verdict.IsAccepted
			}), ShouldBeTrue)
			So(await.Until(waitTimeout, func() bool {
				starts, _ := e.counts()
				return starts == maxOrdersPerEndpoint
			}), ShouldBeTrue)
			setCapacity(c.cpu)
			release()
			_, polls := e.counts()
			So(await.Until(waitTimeout, func() bool {
				starts, now := e.counts()
				return starts >= c.starts && now >= polls+5
			}), ShouldBeTrue)
			starts, _ := e.counts()
			So(starts, ShouldEqual, c.starts)
		})
	}
}
