package store_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 4 * time.Second

func TestSession(t *testing.T) {
	Convey("A session is valid while its lease is renewed, and acquires a new lease after an expiry", t, func() {
		s := keyvalue.New()
		var mu sync.Mutex
		granted, expired := 0, 0
		session := store.NewSession(store.SessionConfig{
			Client: s.Client(nil), TTL: time.Second,
			OnGrant:   func(store.Lease) { mu.Lock(); granted++; mu.Unlock() },
			OnExpiry:  func(store.Lease) { mu.Lock(); expired++; mu.Unlock() },
			OnFailure: func(error) {},
			OnSuccess: func() {},
		})
		So(session.IsValid(), ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go session.Run(ctx)
		So(await.Until(waitTimeout, session.IsValid), ShouldBeTrue)
		time.Sleep(1500 * time.Millisecond)
		So(session.IsValid(), ShouldBeTrue)
		s.SetDown(true)
		downSince := time.Now()
		So(await.Until(waitTimeout, func() bool { return !session.IsValid() }), ShouldBeTrue)
		So(time.Since(downSince), ShouldBeLessThan, time.Second)
		s.ExpireLeases()
		s.SetDown(false)
		So(await.Until(waitTimeout, session.IsValid), ShouldBeTrue)
		mu.Lock()
		defer mu.Unlock()
		So(granted, ShouldEqual, 2)
		So(expired, ShouldEqual, 1)
	})
}

func TestWatch(t *testing.T) {
	Convey("A watch delivers every change, across an outage and a compaction of the history", t, func() {
		s := keyvalue.New()
		s.Put("a/1", []byte("one"))
		var mu sync.Mutex
		view := make(map[string]string)
		apply := func(items []store.Item) {
			for _, item := range items {
				if item.IsRemoved {
					delete(view, item.Key)
				} else {
					view[item.Key] = string(item.Value)
				}
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go store.Watch(ctx, store.WatchConfig{
			Client: s.Client(nil), Prefix: "a/",
			OnSnapshot: func(items []store.Item) { mu.Lock(); clear(view); apply(items); mu.Unlock() },
			OnChange:   func(items []store.Item) { mu.Lock(); apply(items); mu.Unlock() },
			OnFailure:  func(error) {}, OnSuccess: func() {},
		})
		hasValue := func(key, value string) func() bool {
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				return view[key] == value
			}
		}
		So(await.Until(waitTimeout, hasValue("a/1", "one")), ShouldBeTrue)
		s.Put("a/2", []byte("two"))
		So(await.Until(waitTimeout, hasValue("a/2", "two")), ShouldBeTrue)
		s.SetDown(true)
		s.Remove("a/1")
		s.Put("a/3", []byte("three"))
		s.Compact()
		s.SetDown(false)
		So(await.Until(waitTimeout, hasValue("a/3", "three")), ShouldBeTrue)
		So(await.Until(waitTimeout, hasValue("a/1", "")), ShouldBeTrue)
	})
}

func TestConflictItem(t *testing.T) {
	Convey("A conflict tells the state of each key of its conditions", t, func() {
		conflict := &store.ConflictError{Items: []store.Item{
			{Key: "a", Value: []byte("one"), Revision: 5, Lease: 2}, {Key: "a/b"}, {Key: "b", Revision: 7},
		}}
		for name, c := range map[string]struct {
			key     string
			want    store.Item
			isFound bool
		}{
			"first":                  {"a", store.Item{Key: "a", Value: []byte("one"), Revision: 5, Lease: 2}, true},
			"last":                   {"b", store.Item{Key: "b", Revision: 7}, true},
			"does not exist":         {"a/b", store.Item{Key: "a/b"}, true},
			"not in a condition":     {"c", store.Item{}, false},
			"only a prefix of a key": {"a/", store.Item{}, false},
		} {
			Convey(name, func() {
				item, isFound := conflict.Item(c.key)
				So(isFound, ShouldEqual, c.isFound)
				So(item, ShouldResemble, c.want)
			})
		}
	})
	Convey("A conflict without items tells nothing", t, func() {
		_, isFound := (&store.ConflictError{}).Item("a")
		So(isFound, ShouldBeFalse)
	})
}

// TestReadEndsAtEmptyPage guards against a read that returns some of the keys as if they were
// all.
func TestReadEndsAtEmptyPage(t *testing.T) {
	Convey("An empty page that is not the last one is an error", t, func() {
		client := keyvalue.New().Client(nil)
		pages := []store.Page{{Items: []store.Item{{Key: "a"}}, HasMore: true}, {HasMore: true}}
		client.Range = func(context.Context, string, string, bool) (page store.Page, err error) {
			page, pages = pages[0], pages[1:]
			return page, nil
		}
		_, _, err := client.ReadAll(context.Background(), "", false)
		So(err, ShouldNotBeNil)
	})
}
