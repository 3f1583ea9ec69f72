package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

var (
	firstPeer  = netip.MustParseAddrPort("10.0.0.1:1")
	secondPeer = netip.MustParseAddrPort("10.0.0.2:1")
)

// harness is a Path with two peers that relay for it. The direct path of each of the
// three to the store can be cut.
type harness struct {
	store       *keyvalue.Store
	isDirectCut atomic.Bool
	isPeerCut   [2]atomic.Bool
	// isDirectSilent makes commits on the direct path wait for the end of their context.
	isDirectSilent            atomic.Bool
	directCalls, relayedCalls atomic.Int64
	path                      *Path
	servers                   [2]*Server
	// isResponseLost drops the responses of peers after the calls were carried out.
	isResponseLost atomic.Bool
}

func newHarness() *harness {
	h := &harness{store: keyvalue.New()}
	direct := h.store.Client(func() bool {
		h.directCalls.Add(1)
		return !h.isDirectCut.Load()
	})
	for i := range h.servers {
		h.servers[i] = NewServer(h.store.Client(func() bool { return !h.isPeerCut[i].Load() }))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	commit := direct.Commit
	direct.Commit = func(ctx context.Context, change store.Change) (int64, error) {
		if h.isDirectSilent.Load() {
			<-ctx.Done()
			return 0, store.ErrIndeterminate
		}
		return commit(ctx, change)
	}
	h.path = New(Config{
		Direct: direct, Log: logrus.NewEntry(log),
		Peers: func() []netip.AddrPort { return []netip.AddrPort{firstPeer, secondPeer} },
		Call: func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error) {
			h.relayedCalls.Add(1)
			server := h.servers[0]
			if peer == secondPeer {
				server = h.servers[1]
			}
			response := server.Serve(ctx, request.GetRelay())
			if h.isResponseLost.Load() {
				return nil, call.ErrIndeterminate
			}
			return response, nil
		},
	})
	return h
}

// withTimeout returns a context with a deadline, cancelled some time after it.
func withTimeout(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	time.AfterFunc(2*limit, cancel)
	return ctx
}

func TestPaths(t *testing.T) {
	Convey("All calls have the same results directly and through a peer", t, func() {
		for name, isCut := range map[string]bool{"directly": false, "through a peer": true} {
			h := newHarness()
			h.isDirectCut.Store(isCut)
			client := h.path.Client()
			lease, ttl, err := client.Grant(withTimeout(time.Second), time.Minute)
			So(err, ShouldBeNil)
			So(ttl, ShouldEqual, time.Minute)
			put := store.Change{If: []store.Condition{{Key: "a"}}, Puts: []store.Put{{Key: "a", Value: []byte("v"), Lease: lease}}}
			revision, err := client.Commit(withTimeout(time.Second), put)
			So(err, ShouldBeNil)
			_, err = client.Commit(withTimeout(time.Second), put)
			conflict, isConflict := errors.AsType[*store.ConflictError](err)
			So(isConflict, ShouldBeTrue)
			So(conflict.Items[0].Revision, ShouldEqual, revision)
			item, err := client.Get(withTimeout(time.Second), "a")
			So(err, ShouldBeNil)
			So(string(item.Value), ShouldEqual, "v")
			So(item.Lease, ShouldEqual, lease)
			page, err := client.Range(withTimeout(time.Second), "a", "", false)
			So(err, ShouldBeNil)
			So(page.Items, ShouldHaveLength, 1)
			page, err = client.Watch(withTimeout(time.Second), "a", 0, 100*time.Millisecond)
			So(err, ShouldBeNil)
			So(page.Items, ShouldHaveLength, 1)
			_, err = client.Renew(withTimeout(time.Second), lease)
			So(err, ShouldBeNil)
			So(client.Release(withTimeout(time.Second), lease), ShouldBeNil)
			_, err = client.Renew(withTimeout(time.Second), lease)
			SoMsg(name, errors.Is(err, store.ErrNotFound), ShouldBeTrue)
			_, err = client.Get(withTimeout(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
			So(h.relayedCalls.Load() > 0, ShouldEqual, isCut)
		}
	})
	Convey("A direct path that is cut is retried only after the back-off, and used again once it works", t, func() {
		h := newHarness()
		client := h.path.Client()
		h.isDirectCut.Store(true)
		for range 20 {
			_, err := client.Get(withTimeout(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
		}
		So(h.directCalls.Load(), ShouldEqual, 1)
		h.isDirectCut.Store(false)
		time.Sleep(minBackoff + 20*time.Millisecond)
		relayedBefore := h.relayedCalls.Load()
		for range 5 {
			_, err := client.Get(withTimeout(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
		}
		So(h.relayedCalls.Load(), ShouldEqual, relayedBefore)
	})
	Convey("If the first peer has no connection to the store either, the next one is tried", t, func() {
		h := newHarness()
		h.isDirectCut.Store(true)
		h.isPeerCut[0].Store(true)
		_, err := h.path.Client().Commit(withTimeout(time.Second), store.Change{Puts: []store.Put{{Key: "a", Value: []byte("v")}}})
		So(err, ShouldBeNil)
	})
	Convey("In an outage of the store all calls fail, and no further peers are tried during the back-off", t, func() {
		h := newHarness()
		h.store.SetDown(true)
		client := h.path.Client()
		for range 10 {
			_, err := client.Commit(withTimeout(time.Second), store.Change{Puts: []store.Put{{Key: "a", Value: []byte("v")}}})
			So(errors.Is(err, store.ErrRefused), ShouldBeTrue)
		}
		So(h.relayedCalls.Load(), ShouldEqual, maxPeersPerCall)
	})
	Convey("A call without a response on the direct path is made through a peer before its deadline", t, func() {
		h := newHarness()
		h.isDirectSilent.Store(true)
		start := time.Now()
		_, err := h.path.Client().Commit(withTimeout(600*time.Millisecond), store.Change{Puts: []store.Put{{Key: "a", Value: []byte("v")}}})
		So(err, ShouldBeNil)
		So(time.Since(start), ShouldBeBetween, 250*time.Millisecond, 600*time.Millisecond)
	})
	Convey("A call that may have been carried out is reported as indeterminate", t, func() {
		h := newHarness()
		h.isDirectCut.Store(true)
		h.isResponseLost.Store(true)
		h.isPeerCut[1].Store(true)
		_, err := h.path.Client().Commit(withTimeout(time.Second), store.Change{Puts: []store.Put{{Key: "a", Value: []byte("v")}}})
		So(errors.Is(err, store.ErrIndeterminate), ShouldBeTrue)
		_, isStored := h.store.Get("a")
		So(isStored, ShouldBeTrue)
	})
}

func TestServer(t *testing.T) {
	Convey("Arguments that cannot be decoded, unknown verbs and calls above the limit are refused", t, func() {
		s := keyvalue.New()
		server := NewServer(s.Client(nil))
		response := server.Serve(context.Background(), &wire.Relay{Verb: verbGet, Arguments: []byte("{")})
		So(response.GetOutcome(), ShouldEqual, call.Unavailable)
		response = server.Serve(context.Background(), &wire.Relay{Verb: "other", Arguments: []byte("{}")})
		var a answer
		So(json.Unmarshal(response.GetAnswer(), &a), ShouldBeNil)
		So(a.Failure, ShouldEqual, failureRefused)
		for range maxConcurrentCalls {
			server.semaphore <- struct{}{}
		}
		response = server.Serve(context.Background(), &wire.Relay{Verb: verbGet, Arguments: []byte("{}")})
		So(response.GetOutcome(), ShouldEqual, call.Unavailable)
	})
}
