package homes

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// Each request about a job that nobody knows read from the store, so that many of them took the connections on which the lease of
// the entry is renewed.
func TestRefreshTakesAllConnectionsToTheStore(t *testing.T) {
	Convey("Calls that wait share a read that begins after each of them", t, func() {
		s := keyvalue.New()
		client := *s.Client(nil)
		var reads, now, most atomic.Int64
		get := client.Get
		client.Get = func(ctx context.Context, key string) (store.Item, error) {
			reads.Add(1)
			most.Store(max(most.Load(), now.Add(1)))
			defer now.Add(-1)
			time.Sleep(20 * time.Millisecond)
			return get(ctx, key)
		}
		h := New(&client, discardLog())
		var calls conc.WaitGroup
		for range 200 {
			calls.Go(func() {
				if err := h.Refresh(context.Background()); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		So(most.Load(), ShouldEqual, 1)
		So(reads.Load(), ShouldBeLessThan, 100)
		before := reads.Load()
		So(h.Refresh(context.Background()), ShouldBeNil)
		So(reads.Load(), ShouldEqual, before+1)
	})
	Convey("A call ends with its context", t, func() {
		s := keyvalue.New()
		s.SetDelay(time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(New(s.Client(nil), discardLog()).Refresh(ctx), ShouldNotBeNil)
	})
}
