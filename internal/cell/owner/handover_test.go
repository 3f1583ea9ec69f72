package owner

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(data)
}

// String returns the lines so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// silencedEndpoint is an endpoint that answers until it is silenced.
type silencedEndpoint struct {
	isSilent atomic.Bool

	mu     sync.Mutex
	clock  int64
	starts []jobs.Start
}

// receipt returns the result of a call, and counts the clock up.
func (e *silencedEndpoint) receipt() endpoint.Receipt {
	if e.isSilent.Load() {
		return endpoint.Receipt{Answer: jobs.Unanswered}
	}
	e.clock++
	return endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

func (e *silencedEndpoint) client() *endpoint.Client {
	return &endpoint.Client{
		Start: func(_ context.Context, _ endpoint.Target, _ endpoint.Epoch, order jobs.Start) endpoint.Receipt {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.starts = append(e.starts, order)
			return e.receipt()
		},
		Stop: func(context.Context, endpoint.Target, endpoint.Epoch, jobs.Stop) endpoint.Receipt {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.receipt()
		},
		Poll: func(_ context.Context, target endpoint.Target, _ endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
			e.mu.Lock()
			defer e.mu.Unlock()
			receipt := e.receipt()
			listing := jobs.Listing{Endpoint: target.ID, Born: 1, Clock: e.clock}
			for _, start := range e.starts {
				listing.Running = append(listing.Running, jobs.ListedRun{Task: start.Task, Run: start.Run, Percent: 100})
			}
			return listing, receipt
		},
	}
}

func (e *silencedEndpoint) startCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts)
}

// silenceTime is longer than an owner goes on extending the grant of a silent endpoint.
const silenceTime = 1500 * time.Millisecond

// runLogged runs an owner of the cell whose only endpoint is e, and writes its log lines to w.
func runLogged(t *testing.T, s *keyvalue.Store, e *silencedEndpoint, w *logBuffer) *Owner {
	config := newConfig(t, s)
	config.Endpoints = e.client()
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	config.Log = logrus.NewEntry(log)
	o := New(config)
	go func() { _ = o.Run() }()
	So(await.Until(waitTimeout, o.IsServing), ShouldBeTrue)
	return o
}

// submitTo submits a job with one long-running task.
func submitTo(o *Owner, id string) error {
	_, err := o.Submit(context.Background(), jobs.Job{
		ID: id, Queue: "q", Attempts: 1,
		Steps: []jobs.Step{{Count: 1, Each: jobs.Size{CPU: 500, Memory: 10}, LongRunning: true}},
	})
	return err
}

// submitLongRunning submits a job with a long-running task and waits until that runs on e.
func submitLongRunning(o *Owner, e *silencedEndpoint) {
	o.SetEndpoints([]endpoint.Registration{{
		Profile: jobs.Profile{ID: "i-1", Capacity: jobs.Size{CPU: 4000, Memory: 4000}, Born: 1},
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}})
	So(submitTo(o, "000000000000000a"), ShouldBeNil)
	So(await.Until(waitTimeout, func() bool { return e.startCount() == 1 }), ShouldBeTrue)
}

// The next owner did not learn for how long an endpoint had been silent.
func TestHandoverForgetsSilence(t *testing.T) {
	Convey("An owner that hands over tells the next one how long the grants of a silent endpoint last", t, func() {
		s := keyvalue.New()
		e := &silencedEndpoint{}
		first := runLogged(t, s, e, &logBuffer{})
		submitLongRunning(first, e)
		e.isSilent.Store(true)
		time.Sleep(silenceTime)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		first.PrepareHandover(ctx)
		first.Stop()

		log := &logBuffer{}
		second := runLogged(t, s, e, log)
		second.Stop()
		So(log.String(), ShouldContainSubstring, `"handover":true`)
	})
}

// What the owner stored after its final snapshot made the next one forget the silence again.
func TestLastRecordsForgetSilence(t *testing.T) {
	Convey("What is stored after the final snapshot does not outdate what it says of grants", t, func() {
		s := keyvalue.New()
		e := &silencedEndpoint{}
		first := runLogged(t, s, e, &logBuffer{})
		submitLongRunning(first, e)
		So(submitTo(first, "000000000000000b"), ShouldBeNil)
		e.isSilent.Store(true)
		time.Sleep(silenceTime)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		first.PrepareHandover(ctx)
		isKnown, err := first.Cancel(ctx, Lookup{ID: "000000000000000b"})
		So(err, ShouldBeNil)
		So(isKnown, ShouldBeTrue)
		first.Stop()

		log := &logBuffer{}
		second := runLogged(t, s, e, log)
		defer second.Stop()
		So(log.String(), ShouldContainSubstring, `"handover":true`)
		state, _, err := second.Status(ctx, Lookup{ID: "000000000000000b"})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, jobs.Cancelled)
	})
}
