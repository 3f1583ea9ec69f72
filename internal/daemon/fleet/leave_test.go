package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// A cell whose takeover was confirmed while its entry was leaving was served by that entry
// and then left without an owner until the lease expired.
func TestTakeoverWhileLeavingIsHandedOver(t *testing.T) {
	Convey("A cell whose takeover is confirmed while the entry is leaving is released before the entry stops", t, func() {
		s := &system{t: t, store: keyvalue.New()}
		started, confirm := make(chan struct{}), make(chan struct{})
		s.wrapStore = func(_ *entry, client *store.Client) {
			commit := client.Commit
			client.Commit = func(ctx context.Context, change store.Change) (revision int64, err error) {
				revision, err = commit(ctx, change)
				if err == nil && len(change.Puts) > 0 && change.Puts[0].Key == "live/owner/red" {
					close(started)
					<-confirm
				}
				return revision, err
			}
		}
		s.startAll(1)
		<-started
		So(await.Until(5*time.Second, func() bool { return s.entries[0].daemon.ownerOf("blue") != nil }), ShouldBeTrue)
		stopped := make(chan struct{})
		go func() {
			s.entries[0].stop()
			close(stopped)
		}()
		So(await.Until(5*time.Second, func() bool { return strings.Contains(s.entries[0].logs.String(), "event=622") }), ShouldBeTrue)
		close(confirm)
		<-stopped
		_, isOwned := s.store.Get("live/owner/red")
		So(isOwned, ShouldBeFalse)
		_, isOwned = s.store.Get("live/owner/blue")
		So(isOwned, ShouldBeFalse)
	})
}

// Rolls that overlap stopped all entries at once, and each handed its cells over though nobody was
// there to take them: they had no owner for seconds.
func TestCellsHaveNoOwnerWhileAllEntriesLeave(t *testing.T) {
	Convey("Entries that leave together keep their cells until another entry is there that stays", t, func() {
		s := (&system{t: t, store: keyvalue.New(), stopSeconds: 4}).startAll(2)
		isOwned := func() bool {
			_, isRedOwned := s.store.Get("live/owner/red")
			_, isBlueOwned := s.store.Get("live/owner/blue")
			return isRedOwned && isBlueOwned
		}
		So(await.Until(5*time.Second, func() bool { return s.owner("red") >= 0 && s.owner("blue") >= 0 }), ShouldBeTrue)
		s.entries[0].cancel()
		s.entries[1].cancel()
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			So(isOwned(), ShouldBeTrue)
		}
		So(s.owner("red"), ShouldBeGreaterThanOrEqualTo, 0)
		s.startEntry("entry-2")
		So(await.Until(5*time.Second, func() bool { return s.owner("red") == 2 && s.owner("blue") == 2 }), ShouldBeTrue)
	})
	Convey("An entry that leaves alone hands its cells over when its time is up", t, func() {
		s := (&system{t: t, store: keyvalue.New(), stopSeconds: 1}).startAll(1)
		So(await.Until(5*time.Second, func() bool { return s.owner("red") == 0 }), ShouldBeTrue)
		startedAt := time.Now()
		s.entries[0].stop()
		So(time.Since(startedAt), ShouldBeLessThan, time.Second)
		_, isOwned := s.store.Get("live/owner/red")
		So(isOwned, ShouldBeFalse)
	})
}
