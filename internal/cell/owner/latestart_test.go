package owner

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// doubtfulEndpoint is an endpoint that answers no starts and does not carry them out.
type doubtfulEndpoint struct {
	mu      sync.Mutex
	address netip.AddrPort
	born    int64
	clock   int64
	// isDown makes the endpoint refuse connections.
	isDown bool
	// starts counts the starts, refused the polls that were refused, and answered those that were not, of this incarnation.
	starts, refused, answered int
	// stopped are the stops of this incarnation.
	stopped []jobs.Stop
}

func newDoubtfulEndpoint() *doubtfulEndpoint {
	return &doubtfulEndpoint{address: netip.MustParseAddrPort("127.0.0.1:1"), born: 1}
}

func (e *doubtfulEndpoint) client() *endpoint.Client {
	return &endpoint.Client{
		Start: func(context.Context, endpoint.Target, endpoint.Epoch, jobs.Start) endpoint.Receipt {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.starts++
			return endpoint.Receipt{Answer: jobs.Unanswered}
		},
		Stop: func(_ context.Context, target endpoint.Target, _ endpoint.Epoch, stop jobs.Stop) endpoint.Receipt {
			e.mu.Lock()
			defer e.mu.Unlock()
			receipt := e.receipt(target)
			if receipt.Answer == jobs.Accepted {
				e.stopped = append(e.stopped, stop)
			}
			return receipt
		},
		Poll: func(_ context.Context, target endpoint.Target, _ endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
			e.mu.Lock()
			defer e.mu.Unlock()
			receipt := e.receipt(target)
			if receipt.Answer == jobs.Accepted {
				e.answered++
			} else {
				e.refused++
			}
			return jobs.Listing{Endpoint: target.ID, Born: e.born, Clock: e.clock}, receipt
		},
	}
}

// receipt returns the result of a call. The caller holds e.mu.
func (e *doubtfulEndpoint) receipt(target endpoint.Target) endpoint.Receipt {
	if e.isDown || target.Address != e.address {
		return endpoint.Receipt{Answer: jobs.ConnectionRefused}
	}
	e.clock++
	return endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

// list makes an owner know the endpoint by discovery.
func (e *doubtfulEndpoint) list(o *Owner) {
	o.SetEndpoints([]endpoint.Registration{{
		Profile: jobs.Profile{ID: "i-1", Capacity: jobs.Size{CPU: 4000, Memory: 4000}, Born: e.born}, Address: e.address,
	}})
}

// count returns a counter.
func (e *doubtfulEndpoint) count(counter *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *counter
}

// crash makes the endpoint refuse connections.
func (e *doubtfulEndpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown = true
}

// restart starts another incarnation.
func (e *doubtfulEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown, e.born, e.clock, e.answered, e.stopped = false, e.born+1, 0, 0, nil
}

func (e *doubtfulEndpoint) stopCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.stopped)
}

// loseStart makes an owner know the endpoint and order a start there that counts as lost. The job is cancelled, so there is no other one.
func (e *doubtfulEndpoint) loseStart(o *Owner) {
	e.list(o)
	So(submitTo(o, "000000000000000a"), ShouldBeNil)
	So(await.Until(waitTimeout, func() bool { return e.count(&e.starts) == 1 }), ShouldBeTrue)
	_, err := o.Cancel(context.Background(), Lookup{ID: "000000000000000a"})
	So(err, ShouldBeNil)
	So(await.Until(waitTimeout, func() bool { return e.stopCount() > 0 }), ShouldBeTrue)
	polls := e.count(&e.answered)
	So(await.Until(waitTimeout, func() bool { return e.count(&e.answered) > polls+2 }), ShouldBeTrue)
	So(e.count(&e.starts), ShouldEqual, 1)
}

// An endpoint that discovery had dropped was called again only once it was listed, so that its next incarnation carried out a start
// that was still under way (TWICE, review/11).
func TestUnlistedEndpointIsNotCalled(t *testing.T) {
	const waited = 300 * time.Millisecond
	Convey("An endpoint that is down and not listed is called until it is up, and told at once not to carry out what may come late", t, func() {
		e := newDoubtfulEndpoint()
		o, _ := newOwnerWith(t, func(config *Config) { config.Endpoints = e.client() })
		e.loseStart(o)
		e.crash()
		o.SetEndpoints(nil)
		time.Sleep(waited)
		before := e.count(&e.refused)
		time.Sleep(waited)
		So(e.count(&e.refused)-before, ShouldBeBetween, int(waited/(5*minRestartGap)), int(waited/minRestartGap)+1)
		e.restart()
		So(await.Until(waitTimeout, func() bool { return e.stopCount() > 0 }), ShouldBeTrue)
		So(e.stopped[0].Run, ShouldEqual, 1)
		So(e.stopped[0].Born, ShouldEqual, 2)
	})
	Convey("The next owner calls it too, where it was listed last", t, func() {
		e := newDoubtfulEndpoint()
		o, s := newOwnerWith(t, func(config *Config) { config.Endpoints = e.client() })
		e.loseStart(o)
		e.crash()
		o.Stop()
		e.restart()
		config := newConfig(t, s)
		config.Endpoints = e.client()
		next := New(config)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = next.Run()
		}()
		defer func() {
			next.Stop()
			<-ended
		}()
		So(await.Until(waitTimeout, next.IsServing), ShouldBeTrue)
		next.SetEndpoints(nil)
		So(await.Until(waitTimeout, func() bool { return e.count(&e.answered) > 0 }), ShouldBeTrue)
	})
	for name, answer := range map[string]jobs.Answer{"has seen a later owner": jobs.Fenced, "has another ID": jobs.OtherIncarnation} {
		Convey("An owner goes on, and calls no more, when the endpoint at the address "+name, t, func() {
			e := newDoubtfulEndpoint()
			o, _ := newOwnerWith(t, func(config *Config) {
				client := e.client()
				poll := client.Poll
				client.Poll = func(ctx context.Context, target endpoint.Target, p endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
					listing, receipt := poll(ctx, target, p)
					if listing.Born > 1 {
						receipt.Answer = answer
					}
					return listing, receipt
				}
				config.Endpoints = client
			})
			e.loseStart(o)
			e.crash()
			o.SetEndpoints(nil)
			time.Sleep(waited)
			e.restart()
			So(await.Until(waitTimeout, func() bool { return e.count(&e.answered) > 0 }), ShouldBeTrue)
			time.Sleep(waited)
			So(o.IsServing(), ShouldBeTrue)
			So(e.count(&e.answered), ShouldEqual, 1)
		})
	}
}
