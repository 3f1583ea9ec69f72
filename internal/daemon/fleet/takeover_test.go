package fleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// TestAllocationOfRemovedCellIsLost guards against allocations that nobody can return, since
// their cell is not configured any more and its owner has ended.
func TestAllocationOfRemovedCellIsLost(t *testing.T) {
	Convey("A cell that was removed from the configuration gets an owner when another one needs its allocation", t, func() {
		s := newSystem(t, 2)
		So(s.submit(0, jobPath("open", 1)), ShouldBeTrue)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		So(await.Until(5*time.Second, func() bool {
			allocation, _ := s.entries[number].daemon.ledger.Allocation("blue", "team")
			return allocation.CPU > 0
		}), ShouldBeTrue)
		s.store.Put("op/config", []byte(configWithoutBlue))
		for _, e := range s.entries {
			So(await.Until(5*time.Second, func() bool { return len(e.daemon.setup.Load().Pools) == 1 }), ShouldBeTrue)
		}
		s.entries[number].stop()
		isAccepted := await.Until(8*time.Second, func() bool {
			status, _ := s.call(1-number, http.MethodPost, jobPath("quick", 2), wideJob)
			return status == http.StatusOK
		})
		So(isAccepted, ShouldBeTrue)
		So(await.Until(10*time.Second, func() bool { return s.owner("blue") == 1-number }), ShouldBeTrue)
		So(s.owner("red"), ShouldEqual, 1-number)
	})
}

// wideJob is a job whose tasks could use the whole limit of their account for seconds.
const wideJob = `{"spec":"s","steps":[{"n":1000,"each":{"cpu":500,"mem":10}}]}`

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
