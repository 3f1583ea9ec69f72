package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// TestCellServedAfterItsLeaseExpired guards against an entry that serves a cell whose
// ownership key was removed with the lease under which it was written, because the entry
// had another lease when the response to the takeover arrived.
func TestCellServedAfterItsLeaseExpired(t *testing.T) {
	Convey("A takeover is not used if its lease expires before its response arrives", t, func() {
		s := &system{t: t, store: keyvalue.New()}
		var isDelayed, isAnswered atomic.Bool
		s.wrapStore = func(e *entry, client *store.Client) {
			commit := client.Commit
			client.Commit = func(ctx context.Context, change store.Change) (revision int64, err error) {
				revision, err = commit(ctx, change)
				isTakeover := err == nil && len(change.Puts) > 0 && change.Puts[0].Key == "live/owner/red"
				if !isTakeover || !isDelayed.CompareAndSwap(false, true) {
					return revision, err
				}
				s.store.ExpireLeases()
				s.store.Put("live/owner/red", []byte(`{"name":"other","life":"other"}`))
				lease := change.Puts[0].Lease
				hasNewLease := await.Until(5*time.Second, func() bool {
					return e.daemon.session.IsValid() && e.daemon.session.Lease() != lease
				})
				isAnswered.Store(hasNewLease)
				return revision, err
			}
		}
		s.startAll(1)
		So(await.Until(8*time.Second, isAnswered.Load), ShouldBeTrue)
		d := s.entries[0].daemon
		So(await.Until(500*time.Millisecond, func() bool { return d.ownerOf("red") != nil }), ShouldBeFalse)
	})
}
