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
		Addresses: []netip.AddrPort{address}, ListAddress: address, Timeout: timeout,
	}), store
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	cases := map[string]func(c *platform.Client, store *standin.Server){
		"a swap succeeds only on the current version": func(c *platform.Client, _ *standin.Server) {
			firstVersion, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			_, err = c.CompareAndSwap(ctx, key, 0, []byte("two"), 0)
			var conflict *platform.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(string(conflict.Current.Data), ShouldEqual, "one")
			So(conflict.Current.Version, ShouldEqual, firstVersion)
			_, err = c.CompareAndSwap(ctx, key, firstVersion, []byte("three"), 0)
			So(err, ShouldBeNil)
		},
		"a write with a lost reply succeeds and is made once": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{LostReplies: 1})
			newVersion, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			value, err := c.Get(ctx, key)
			So(err, ShouldBeNil)
			So(value.Version, ShouldEqual, newVersion)
		},
		"a swap during an outage fails and writes nothing": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{Outage: true})
			_, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldNotBeNil)
			So(store.Value(key), ShouldBeNil)
		},
		"a call to a slow platform times out": func(c *platform.Client, store *standin.Server) {
			store.SetFaults(standin.Faults{DelayMilliseconds: 2000})
			_, err := c.Get(ctx, key)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		},
		"a key is deleted with its lease, and renewing an expired lease fails": func(c *platform.Client, store *standin.Server) {
			lease, err := c.Grant(ctx, time.Second)
			So(err, ShouldBeNil)
			_, err = c.CompareAndSwap(ctx, key, 0, []byte("one"), lease)
			So(err, ShouldBeNil)
			So(c.Renew(ctx, lease), ShouldBeNil)
			So(c.Revoke(ctx, lease), ShouldBeNil)
			So(store.Value(key), ShouldBeNil)
			var expired *platform.LeaseExpiredError
			So(errors.As(c.Renew(ctx, lease), &expired), ShouldBeTrue)
		},
		"a watch reports changes in order and ends with an outage": func(c *platform.Client, store *standin.Server) {
			_, revision, err := c.List(ctx, "/chicorypin/")
			So(err, ShouldBeNil)
			received := make(chan platform.Change, 10)
			watchError := make(chan error)
			go func() {
				watchError <- c.Watch(ctx, "/chicorypin/", revision+1, func(changes []platform.Change) {
					for _, change := range changes {
						received <- change
					}
				})
			}()
			_, err = c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
			So(err, ShouldBeNil)
			So(string((<-received).Data), ShouldEqual, "one")
			So(c.Delete(ctx, key), ShouldBeNil)
			So((<-received).IsDeleted, ShouldBeTrue)
			store.SetFaults(standin.Faults{Outage: true})
			So(<-watchError, ShouldNotBeNil)
		},
		"each call is counted": func(c *platform.Client, store *standin.Server) {
			_, _ = c.Get(ctx, key)
			_, _ = c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
			_, _ = c.Instances(ctx)
			So(c.Calls(), ShouldEqual, 3)
			So(store.Calls(), ShouldEqual, 3)
		},
		"the list distinguishes live and leaving instances": func(c *platform.Client, store *standin.Server) {
			store.SetInstances([]standin.TargetGroup{
				{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{"instance": "a", "slots": "8", "state": "live"}},
				{Targets: []string{"127.0.0.1:2"}, Labels: map[string]string{"instance": "b", "slots": "x", "state": "leaving"}},
			})
			instances, err := c.Instances(ctx)
			So(err, ShouldBeNil)
			So(instances[0].Slots, ShouldEqual, 8)
			So(instances[0].IsLeaving, ShouldBeFalse)
			So(instances[1].IsLeaving, ShouldBeTrue)
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
	Convey("Calls in excess of the budget wait, and fail at their timeout", t, func() {
		store := standin.NewServer()
		server := httptest.NewServer(store)
		defer server.Close()
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		c := platform.NewClient(platform.Config{
			Addresses: []netip.AddrPort{address}, ListAddress: address, Timeout: 50 * time.Millisecond, CallsPerSecond: 0.1, Burst: 3,
		})
		for range 10 {
			_, _ = c.Get(context.Background(), key)
		}
		So(store.Calls(), ShouldEqual, 3)
	})
}

func TestRetry(t *testing.T) {
	Convey("Failures are retried, conflicts are not", t, func() {
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
