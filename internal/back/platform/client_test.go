package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	standin "gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const key = "/chicorypin/config"

func newClient(t *testing.T, timeout time.Duration) (*platform.Client, *standin.Server) {
	t.Helper()
	store := standin.NewServer()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return platform.NewClient(platform.Config{
		Endpoints: []netip.AddrPort{address}, List: address, Timeout: timeout,
	}), store
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	cases := map[string]func(c *platform.Client, store *standin.Server){
		"a swap succeeds on the version that was read and on no other": func(c *platform.Client, _ *standin.Server) {
			first, err := c.Swap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			_, err = c.Swap(ctx, key, 0, []byte("two"), 0)
			var conflict *platform.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(string(conflict.Current.Data), ShouldEqual, "one")
			So(conflict.Current.Version, ShouldEqual, first)
			_, err = c.Swap(ctx, key, first, []byte("three"), 0)
			So(err, ShouldBeNil)
		},
		"a write whose reply was lost counts, once": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{LostReplies: 1})
			written, err := c.Swap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			value, err := c.Get(ctx, key)
			So(err, ShouldBeNil)
			So(value.Version, ShouldEqual, written)
		},
		"an outage is an error and leaves nothing behind": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{Outage: true})
			_, err := c.Swap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldNotBeNil)
			So(store.Value(key), ShouldBeNil)
		},
		"a slow platform is given up on": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{DelayMilliseconds: 2000})
			_, err := c.Get(ctx, key)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		},
		"a key goes with its lease, and a lapsed lease is told": func(c *platform.Client, store *standin.Server) {
			lease, err := c.Grant(ctx, time.Second)
			So(err, ShouldBeNil)
			_, err = c.Swap(ctx, key, 0, []byte("one"), lease)
			So(err, ShouldBeNil)
			So(c.Renew(ctx, lease), ShouldBeNil)
			So(c.Revoke(ctx, lease), ShouldBeNil)
			So(store.Value(key), ShouldBeNil)
			var lapsed *platform.LeaseError
			So(errors.As(c.Renew(ctx, lease), &lapsed), ShouldBeTrue)
		},
		"a watch tells changes in order and ends with an outage": func(c *platform.Client, store *standin.Server) {
			_, revision, err := c.List(ctx, "/chicorypin/")
			So(err, ShouldBeNil)
			seen := make(chan platform.Change, 10)
			ended := make(chan error)
			go func() {
				ended <- c.Watch(ctx, "/chicorypin/", revision+1, func(changes []platform.Change) {
					for _, change := range changes {
						seen <- change
					}
				})
			}()
			_, err = c.Swap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			So(string((<-seen).Data), ShouldEqual, "one")
			So(c.Delete(ctx, key), ShouldBeNil)
			So((<-seen).Deleted, ShouldBeTrue)
			store.SetFaults(standin.Faults{Outage: true})
			So(<-ended, ShouldNotBeNil)
		},
		"each call is counted": func(c *platform.Client, store *standin.Server) {
			_, _ = c.Get(ctx, key)
			_, _ = c.Swap(ctx, key, 0, []byte("one"), 0)
			_, _ = c.Instances(ctx)
			So(c.Calls(), ShouldEqual, 3)
			So(store.Calls(), ShouldEqual, 3)
		},
		"the list tells live from leaving": func(c *platform.Client, store *standin.Server) {
			store.SetInstances([]standin.TargetGroup{
				{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{"instance": "a", "slots": "8", "state": "live"}},
				{Targets: []string{"127.0.0.1:2"}, Labels: map[string]string{"instance": "b", "slots": "x", "state": "leaving"}},
			})
			instances, err := c.Instances(ctx)
			So(err, ShouldBeNil)
			So(instances[0].Slots, ShouldEqual, 8)
			So(instances[0].Leaving, ShouldBeFalse)
			So(instances[1].Leaving, ShouldBeTrue)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, func() {
			c, store := newClient(t, 500*time.Millisecond)
			check(c, store)
		})
	}
}

func TestBudget(t *testing.T) {
	Convey("Calls above the budget wait, and fail when their time is over", t, func() {
		store := standin.NewServer()
		server := httptest.NewServer(store)
		defer server.Close()
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		c := platform.NewClient(platform.Config{
			Endpoints: []netip.AddrPort{address}, List: address, Timeout: 50 * time.Millisecond, Budget: 0.1, Burst: 3,
		})
		for range 10 {
			_, _ = c.Get(context.Background(), key)
		}
		So(store.Calls(), ShouldEqual, 3)
	})
}

func TestRetry(t *testing.T) {
	Convey("Failures are tried again, conflicts are not", t, func() {
		var calls atomic.Int32
		err := platform.Retry(context.Background(), func(context.Context) error {
			if calls.Add(1) < 4 {
				return &platform.StatusError{Status: 503}
			}
			return nil
		})
		So(err, ShouldBeNil)
		So(calls.Load(), ShouldEqual, 4)
		conflict := &platform.ConflictError{Key: key}
		So(platform.Retry(context.Background(), func(context.Context) error { return conflict }), ShouldEqual, conflict)
	})
}
