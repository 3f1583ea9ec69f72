package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/cell/journal"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 5 * time.Second

// newConfig returns the configuration of the owner of a cell in a store.
func newConfig(t *testing.T, s *keyvalue.Store) Config {
	const key = "live/owner/red"
	revision, err := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{
		Cell: "red", Store: s.Client(nil), Endpoints: &endpoint.Client{}, Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, IsStoreUp: func() bool { return true },
		Bounds: jobs.DefaultBounds(), OwnedSince: boot.Now(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
	}
}

// newOwner returns a running owner of an empty cell and the store behind it.
func newOwner(t *testing.T) (*Owner, *keyvalue.Store) {
	return newOwnerWith(t, func(*Config) {})
}

// newOwnerWith is newOwner with a configuration that modify has changed.
func newOwnerWith(t *testing.T, modify func(config *Config)) (*Owner, *keyvalue.Store) {
	s := keyvalue.New()
	config := newConfig(t, s)
	modify(&config)
	o := New(config)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := o.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		o.Stop()
		<-ended
	})
	for !o.IsServing() {
		time.Sleep(time.Millisecond)
	}
	return o, s
}

func TestPrepareHandover(t *testing.T) {
	Convey("PrepareHandover returns as soon as the state is stored, even if polls keep arriving", t, func() {
		o, s := newOwner(t)
		verdict, err := o.Submit(context.Background(), jobs.Job{
			ID: "000000000000000a", Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}},
		})
		So(err, ShouldBeNil)
		So(verdict.IsAccepted, ShouldBeTrue)
		// With many endpoints, a new poll result always arrives while earlier ones
		// still wait to be stored.
		pollingCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for pollingCtx.Err() == nil {
				o.post(func() { o.onStored = append(o.onStored, func(error) {}) })
				time.Sleep(100 * time.Microsecond)
			}
		}()
		handoverCtx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		startedAt := time.Now()
		o.PrepareHandover(handoverCtx)
		// The write in progress and that of the snapshot take one cycle each.
		So(time.Since(startedAt), ShouldBeLessThan, 10*minCycleGap)
		_, isStored := s.Get("cell/red/state")
		So(isStored, ShouldBeTrue)
	})
}

func TestOwnerOfIncompleteState(t *testing.T) {
	Convey("An owner of a cell whose log is incomplete serves nothing, keeps the cell for a time and ends at once when stopped", t, func() {
		s := keyvalue.New()
		s.Put("cell/red/log/000000000001", []byte(`{"cancel":"000000000000000a"}`))
		o := New(newConfig(t, s))
		ended := make(chan error, 1)
		go func() { ended <- o.Run() }()
		select {
		case <-ended:
			t.Fatal("the owner gave the cell up at once")
		case <-time.After(100 * time.Millisecond):
		}
		So(o.IsServing(), ShouldBeFalse)
		o.Stop()
		So(errors.Is(<-ended, journal.ErrIncomplete), ShouldBeTrue)
	})
}

// snapshotGate holds the snapshots of a cell back until release is closed. Once the first
// is stored, all later writes are refused.
type snapshotGate struct {
	// started is closed when the first snapshot is to be written.
	started, release chan struct{}
	opening          sync.Once
	isStored         atomic.Bool
	// refused counts the writes after that.
	refused atomic.Int32
}

func newSnapshotGate() *snapshotGate {
	return &snapshotGate{started: make(chan struct{}), release: make(chan struct{})}
}

// open releases the snapshots.
func (g *snapshotGate) open() { g.opening.Do(func() { close(g.release) }) }

// install puts the gate in front of the commits of a client.
func (g *snapshotGate) install(client *store.Client) {
	commit := client.Commit
	client.Commit = func(ctx context.Context, change store.Change) (int64, error) {
		if g.isStored.Load() {
			g.refused.Add(1)
			return 0, store.ErrRefused
		}
		if !slices.ContainsFunc(change.Puts, func(p store.Put) bool { return p.Key == "cell/red/state" }) {
			return commit(ctx, change)
		}
		close(g.started)
		<-g.release
		defer g.isStored.Store(true)
		return commit(context.WithoutCancel(ctx), change)
	}
}

// pendingCallbacks returns the number of callbacks that wait for the next write.
func (o *Owner) pendingCallbacks() (count int) {
	_ = o.runInLoop(context.Background(), func() { count = len(o.onStored) })
	return count
}

// isWriteStarted reports whether a write is in progress.
func (o *Owner) isWriteStarted() (isWriting bool) {
	_ = o.runInLoop(context.Background(), func() { isWriting = o.isWriting })
	return isWriting
}

// Requests that arrived during the final snapshot of a handover were answered as stored.
func TestRequestDuringFinalSnapshotIsNotConfirmed(t *testing.T) {
	Convey("A cancellation that the final snapshot does not contain is not confirmed with it", t, func() {
		gate := newSnapshotGate()
		o, _ := newOwnerWith(t, func(config *Config) { gate.install(config.Store) })
		t.Cleanup(gate.open)
		_, err := o.Submit(context.Background(), jobs.Job{
			ID: "000000000000000a", Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}},
		})
		So(err, ShouldBeNil)
		isPrepared := make(chan struct{})
		go func() {
			defer close(isPrepared)
			o.PrepareHandover(context.Background())
		}()
		<-gate.started
		cancelled := make(chan error, 1)
		go func() {
			_, err := o.Cancel(context.Background(), Lookup{ID: "000000000000000a"})
			cancelled <- err
		}()
		So(await.Until(waitTimeout, func() bool { return o.pendingCallbacks() == 1 }), ShouldBeTrue)
		gate.open()
		<-isPrepared
		o.Stop()
		So(<-cancelled, ShouldEqual, ErrIndeterminate)
	})
}

// endingEndpoint is an endpoint with two runs, the first of which ends as done when ended
// is closed. A poll with a wait is held open until then, also beyond its time limit: an
// answer without the end would leave its poller waiting for the next write.
type endingEndpoint struct {
	mu     sync.Mutex
	clock  int64
	starts []jobs.Start
	ended  chan struct{}
	// released is closed at the end of the test.
	released chan struct{}
	// held counts the polls that are held open, listed those answered with the end.
	held, listed int
	// acknowledged is the highest end that was acknowledged.
	acknowledged int64
}

func newEndingEndpoint() *endingEndpoint {
	return &endingEndpoint{ended: make(chan struct{}), released: make(chan struct{})}
}

// client returns a client of the endpoint.
func (e *endingEndpoint) client() *endpoint.Client {
	return &endpoint.Client{Start: e.startRun, Poll: e.poll}
}

func (e *endingEndpoint) startRun(_ context.Context, _ endpoint.Target, _ endpoint.Epoch, order jobs.Start) endpoint.Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock++
	e.starts = append(e.starts, order)
	return endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

func (e *endingEndpoint) poll(_ context.Context, target endpoint.Target, poll endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acknowledged = max(e.acknowledged, poll.Seen)
	if len(e.starts) == 2 && poll.Wait > 0 {
		e.held++
		e.mu.Unlock()
		select {
		case <-e.ended:
		case <-e.released:
		}
		e.mu.Lock()
		e.held--
	}
	e.clock++
	listing := jobs.Listing{Endpoint: target.ID, Born: 1, Clock: e.clock}
	for i, start := range e.starts {
		if i == 0 && e.isEnded() {
			e.listed++
			listing.Ended = []jobs.ListedEnd{{Number: 1, End: jobs.End{Task: start.Task, Run: start.Run, Outcome: jobs.Done}}}
			continue
		}
		listing.Running = append(listing.Running, jobs.ListedRun{Task: start.Task, Run: start.Run})
	}
	return listing, endpoint.Receipt{Answer: jobs.Accepted, Clock: e.clock}
}

func (e *endingEndpoint) isEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// registration returns the endpoint's entry in discovery with an address.
func (e *endingEndpoint) registration(address string) []endpoint.Registration {
	return []endpoint.Registration{{
		Address: netip.MustParseAddrPort(address), Pool: "red",
		Profile: jobs.Profile{ID: "e", Machine: "m", Capacity: jobs.Size{CPU: 1000, Memory: 1000}, Born: 1},
	}}
}

// isPollHeld reports whether a poll is held open.
func (e *endingEndpoint) isPollHeld() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held > 0
}

// endListings returns the number of polls that were answered with the end.
func (e *endingEndpoint) endListings() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed
}

// seen returns the highest end that was acknowledged.
func (e *endingEndpoint) seen() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acknowledged
}

// loadWith makes an owner start both runs and waits until a poll is held open.
func (e *endingEndpoint) loadWith(t *testing.T, o *Owner) {
	t.Cleanup(func() { close(e.released) })
	o.SetEndpoints(e.registration("127.0.0.1:1"))
	So(await.Until(waitTimeout, func() bool {
		// The job is rejected until the endpoint has answered a poll.
		verdict, err := o.Submit(context.Background(), jobs.Job{
			ID: "000000000000000a", Queue: "q", Attempts: 2, Steps: []jobs.Step{{Count: 2, Each: jobs.Size{CPU: 100, Memory: 10}}},
		})
		return err == nil && verdict.IsAccepted
	}), ShouldBeTrue)
	So(await.Until(waitTimeout, e.isPollHeld), ShouldBeTrue)
}

// Ends that were listed during the final snapshot of a handover were acknowledged.
func TestEndDuringFinalSnapshotIsNotAcknowledged(t *testing.T) {
	Convey("An end that the final snapshot does not contain is not acknowledged while its record is not stored", t, func() {
		gate, e := newSnapshotGate(), newEndingEndpoint()
		o, _ := newOwnerWith(t, func(config *Config) {
			gate.install(config.Store)
			config.Endpoints = e.client()
		})
		t.Cleanup(gate.open)
		e.loadWith(t, o)
		go o.PrepareHandover(context.Background())
		<-gate.started
		close(e.ended)
		So(await.Until(waitTimeout, func() bool { return e.endListings() > 0 }), ShouldBeTrue)
		So(await.Until(waitTimeout, func() bool { return o.pendingCallbacks() == 1 }), ShouldBeTrue)
		gate.open()
		// By then the next poll would have been sent.
		So(await.Until(waitTimeout, func() bool { return gate.refused.Load() > 5 }), ShouldBeTrue)
		So(e.seen(), ShouldEqual, 0)
	})
}

// The poller of an endpoint's new address acknowledged the ends that its predecessor had
// listed, before they were stored.
func TestMovedEndpointKeepsUnstoredEnds(t *testing.T) {
	Convey("A change of an endpoint's address acknowledges no end whose record is not stored", t, func() {
		e := newEndingEndpoint()
		o, s := newOwnerWith(t, func(config *Config) { config.Endpoints = e.client() })
		e.loadWith(t, o)
		s.SetDown(true)
		close(e.ended)
		So(await.Until(waitTimeout, func() bool { return o.isWriteStarted() }), ShouldBeTrue)
		o.SetEndpoints(e.registration("127.0.0.1:2"))
		So(await.Until(waitTimeout, func() bool { return e.endListings() > 1 }), ShouldBeTrue)
		So(e.seen(), ShouldEqual, 0)
		s.SetDown(false)
		So(await.Until(waitTimeout, func() bool { return e.seen() == 1 }), ShouldBeTrue)
	})
}

func TestUnstoredRecordsAreLogged(t *testing.T) {
	for name, isDown := range map[string]bool{"An owner that ends": false, "An owner that ends while the store is down": true} {
		Convey(name+" logs how many records are not stored, if any", t, func() {
			log := &bytes.Buffer{}
			o, s := newOwnerWith(t, func(config *Config) { config.Log.Logger.SetOutput(log) })
			_, err := o.Submit(context.Background(), jobs.Job{
				ID: "000000000000000a", Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}},
			})
			So(err, ShouldBeNil)
			s.SetDown(isDown)
			cancelled := make(chan struct{})
			go func() {
				defer close(cancelled)
				_, _ = o.Cancel(context.Background(), Lookup{ID: "000000000000000a"})
			}()
			if isDown {
				So(await.Until(waitTimeout, o.isWriteStarted), ShouldBeTrue)
			} else {
				<-cancelled
			}
			o.Stop()
			<-cancelled
			So(strings.Count(log.String(), "records that were not stored"), ShouldEqual, map[bool]int{false: 0, true: 1}[isDown])
			So(strings.Contains(log.String(), "records=1"), ShouldEqual, isDown)
		})
	}
}
