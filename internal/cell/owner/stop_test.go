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

// lateEndpoint is an endpoint that answers no starts and carries them all out once isStarted is
// set. Stops are held open until the end of the test or until released is closed, and then not
// answered.
type lateEndpoint struct {
	mu        sync.Mutex
	clock     int64
	starts    []jobs.Start
	isStarted bool
	// listed counts the polls that were answered with the runs, stops the stops received.
	listed, stops int
	released      chan struct{}
}

// client returns a client of the endpoint.
func (e *lateEndpoint) client() *endpoint.Client {
	return &endpoint.Client{Start: e.startRun, Stop: e.stopRun, Poll: e.poll}
}

func (e *lateEndpoint) startRun(_ context.Context, _ endpoint.Target, _ endpoint.Epoch, order jobs.Start) endpoint.Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, order)
	return endpoint.Receipt{Answer: jobs.Unanswered}
}

func (e *lateEndpoint) stopRun(context.Context, endpoint.Target, endpoint.Epoch, jobs.Stop) endpoint.Receipt {
	e.mu.Lock()
	e.stops++
	e.mu.Unlock()
	<-e.released
	return endpoint.Receipt{Answer: jobs.Unanswered}
}

func (e *lateEndpoint) poll(_ context.Context, target endpoint.Target, _ endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock++
	listing := jobs.Listing{Endpoint: target.ID, Born: 1, Clock: e.clock}
	if e.isStarted {
		e.listed++
		for _, start := range e.starts {
			listing.Running = append(listing.Running, jobs.ListedRun{Task: start.Task, Run: start.Run, Percent: 100})
		}
	}
	return listing, endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

// carryOut carries the starts out.
func (e *lateEndpoint) carryOut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isStarted = true
}

// counts returns the numbers of polls that were answered with the runs and of stops.
func (e *lateEndpoint) counts() (listed, stops int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed, e.stops
}

// A stop that waited for others to the same endpoint was sent although its run, which had not
// been listed when the stop was ordered, had been listed at work since.
func TestQueuedStopOfListedRunIsSent(t *testing.T) {
	Convey("A stop of a run that was not listed is not sent if the run is listed while the stop is queued", t, func() {
		e := &lateEndpoint{released: make(chan struct{})}
		release := sync.OnceFunc(func() { close(e.released) })
		o, _ := newOwnerWith(t, func(config *Config) { config.Endpoints = e.client() })
		t.Cleanup(release)
		o.SetEndpoints([]endpoint.Registration{{
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Pool: "red",
			Profile: jobs.Profile{ID: "e", Machine: "m", Capacity: jobs.Size{CPU: 1000, Memory: 1000}, Born: 1},
		}})
		So(await.Until(waitTimeout, func() bool {
			// The job is rejected until the endpoint has answered a poll.
			verdict, err := o.Submit(context.Background(), jobs.Job{
				ID: "000000000000000a", Queue: "q", Attempts: 1,
				Steps: []jobs.Step{{Count: maxOrdersPerEndpoint + 1, Each: jobs.Size{CPU: 100, Memory: 10}, LongRunning: true}},
			})
			return err == nil && verdict.IsAccepted
		}), ShouldBeTrue)
		So(await.Until(waitTimeout, func() bool {
			_, stops := e.counts()
			return stops == maxOrdersPerEndpoint
		}), ShouldBeTrue)
		e.carryOut()
		// A poll is sent once the listing before has been applied.
		isListedAgain := func(polls int) func() bool {
			listed, _ := e.counts()
			return func() bool {
				now, _ := e.counts()
				return now >= listed+polls
			}
		}
		So(await.Until(waitTimeout, isListedAgain(2)), ShouldBeTrue)
		release()
		So(await.Until(waitTimeout, isListedAgain(5)), ShouldBeTrue)
		_, stops := e.counts()
		So(stops, ShouldEqual, maxOrdersPerEndpoint)
	})
}
