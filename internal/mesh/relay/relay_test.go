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

// rig is a path with two peers whose own paths can be cut.
type rig struct {
	store          *keyvalue.Store
	isCut          atomic.Bool
	cutPeers       [2]atomic.Bool
	isSilent       atomic.Bool
	directs, hops  atomic.Int64
	path           *Path
	servers        [2]*Server
	lostAfterwards atomic.Bool
}

func newRig() *rig {
	r := &rig{store: keyvalue.New()}
	own := r.store.Client(func() bool {
		r.directs.Add(1)
		return !r.isCut.Load()
	})
	for i := range r.servers {
		r.servers[i] = NewServer(r.store.Client(func() bool { return !r.cutPeers[i].Load() }))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	commit := own.Commit
	own.Commit = func(ctx context.Context, change store.Change) (int64, error) {
		if r.isSilent.Load() {
			<-ctx.Done()
			return 0, store.ErrUnanswered
		}
		return commit(ctx, change)
	}
	r.path = New(Config{
		Direct: own, Log: logrus.NewEntry(log),
		Peers: func() []netip.AddrPort { return []netip.AddrPort{firstPeer, secondPeer} },
		Call: func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error) {
			r.hops.Add(1)
			server := r.servers[0]
			if peer == secondPeer {
				server = r.servers[1]
			}
			response := server.Serve(ctx, request.GetRelay())
			if r.lostAfterwards.Load() {
				return nil, call.ErrOpen
			}
			return response, nil
		},
	})
	return r
}

func within(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	time.AfterFunc(2*limit, cancel)
	return ctx
}

func TestPaths(t *testing.T) {
	Convey("All calls give the same by either path", t, func() {
		for name, isCut := range map[string]bool{"directly": false, "through a peer": true} {
			r := newRig()
			r.isCut.Store(isCut)
			client := r.path.Client()
			lease, ttl, err := client.Grant(within(time.Second), time.Minute)
			So(err, ShouldBeNil)
			So(ttl, ShouldEqual, time.Minute)
			put := store.Change{If: []store.Condition{{Key: "a"}}, Puts: []store.Put{{Key: "a", Value: []byte("v"), Lease: lease}}}
			revision, err := client.Commit(within(time.Second), put)
			So(err, ShouldBeNil)
			_, err = client.Commit(within(time.Second), put)
			conflict, isConflict := errors.AsType[*store.ConflictError](err)
			So(isConflict, ShouldBeTrue)
			So(conflict.Items[0].Revision, ShouldEqual, revision)
			item, err := client.Get(within(time.Second), "a")
			So(err, ShouldBeNil)
			So(string(item.Value), ShouldEqual, "v")
			So(item.Lease, ShouldEqual, lease)
			page, err := client.Range(within(time.Second), "a", "", false)
			So(err, ShouldBeNil)
			So(page.Items, ShouldHaveLength, 1)
			page, err = client.Watch(within(time.Second), "a", 0, 100*time.Millisecond)
			So(err, ShouldBeNil)
			So(page.Items, ShouldHaveLength, 1)
			_, err = client.Renew(within(time.Second), lease)
			So(err, ShouldBeNil)
			So(client.Release(within(time.Second), lease), ShouldBeNil)
			_, err = client.Renew(within(time.Second), lease)
			SoMsg(name, errors.Is(err, store.ErrNotFound), ShouldBeTrue)
			_, err = client.Get(within(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
			So(r.hops.Load() > 0, ShouldEqual, isCut)
		}
	})
	Convey("While the own path is cut it is tried from time to time only, and used again once it works", t, func() {
		r := newRig()
		client := r.path.Client()
		r.isCut.Store(true)
		for range 20 {
			_, err := client.Get(within(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
		}
		So(r.directs.Load(), ShouldEqual, 1)
		r.isCut.Store(false)
		time.Sleep(shunLeast + 20*time.Millisecond)
		hops := r.hops.Load()
		for range 5 {
			_, err := client.Get(within(time.Second), "a")
			So(errors.Is(err, store.ErrNotFound), ShouldBeTrue)
		}
		So(r.hops.Load(), ShouldEqual, hops)
	})
	Convey("A peer that is cut off too hands nothing on; the next one is asked", t, func() {
		r := newRig()
		r.isCut.Store(true)
		r.cutPeers[0].Store(true)
		_, err := r.path.Client().Commit(within(time.Second), store.Change{Puts: []store.Put{{Key: "a"}}})
		So(err, ShouldBeNil)
	})
	Convey("In an outage of the store each call fails, and peers are left alone for a while", t, func() {
		r := newRig()
		r.store.SetDown(true)
		client := r.path.Client()
		for range 10 {
			_, err := client.Commit(within(time.Second), store.Change{Puts: []store.Put{{Key: "a"}}})
			So(errors.Is(err, store.ErrRefused), ShouldBeTrue)
		}
		So(r.hops.Load(), ShouldEqual, peersTried)
	})
	Convey("A call that was silent on the own path goes on through a peer in its time", t, func() {
		r := newRig()
		r.isSilent.Store(true)
		began := time.Now()
		_, err := r.path.Client().Commit(within(600*time.Millisecond), store.Change{Puts: []store.Put{{Key: "a"}}})
		So(err, ShouldBeNil)
		So(time.Since(began), ShouldBeBetween, 250*time.Millisecond, 600*time.Millisecond)
	})
	Convey("A call that may have been carried out stays open", t, func() {
		r := newRig()
		r.isCut.Store(true)
		r.lostAfterwards.Store(true)
		r.cutPeers[1].Store(true)
		_, err := r.path.Client().Commit(within(time.Second), store.Change{Puts: []store.Put{{Key: "a"}}})
		So(errors.Is(err, store.ErrUnanswered), ShouldBeTrue)
		_, isThere := r.store.Get("a")
		So(isThere, ShouldBeTrue)
	})
}

func TestServer(t *testing.T) {
	Convey("What cannot be read is refused, and no more calls are made at once than allowed", t, func() {
		s := keyvalue.New()
		server := NewServer(s.Client(nil))
		response := server.Serve(context.Background(), &wire.Relay{Verb: verbGet, Arguments: []byte("{")})
		So(response.GetOutcome(), ShouldEqual, call.Late)
		response = server.Serve(context.Background(), &wire.Relay{Verb: "other", Arguments: []byte("{}")})
		var a answer
		So(json.Unmarshal(response.GetAnswer(), &a), ShouldBeNil)
		So(a.Failure, ShouldEqual, failureRefused)
		for range relayedAtOnce {
			server.slots <- struct{}{}
		}
		response = server.Serve(context.Background(), &wire.Relay{Verb: verbGet, Arguments: []byte("{}")})
		So(response.GetOutcome(), ShouldEqual, call.Late)
	})
}
