package fleet

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

func TestWavesAfterInterruptedWatch(t *testing.T) {
	Convey("A wave that was removed while the watch was interrupted is dropped, and the others keep the time they were first seen", t, func() {
		s := newSystem(t, 1)
		d := s.entries[0].daemon
		// The daemon's own first read of the keys would drop the waves of the test.
		So(await.Until(5*time.Second, func() bool { return d.setup.Load() != nil }), ShouldBeTrue)
		first, second := store.Item{Key: "op/wave/1", Revision: 1000}, store.Item{Key: "op/wave/2", Revision: 1001}
		d.replaceOperatorKeys([]store.Item{first, second})
		So(d.currentWaves(), ShouldHaveLength, 2)
		d.mu.Lock()
		seen := d.waves[second.Key].wave.FirstSeen
		d.mu.Unlock()
		d.replaceOperatorKeys([]store.Item{second})
		So(d.currentWaves(), ShouldHaveLength, 1)
		So(d.currentWaves()[0].FirstSeen, ShouldEqual, seen)
	})
}

func TestStoreWithoutRelay(t *testing.T) {
	Convey("Without the setting, an entry that loses the store for a moment neither reports relayed calls nor gives its cells away", t, func() {
		s := newSystem(t, 2)
		owners := func() (cells int) {
			for _, e := range s.entries {
				cells += len(e.daemon.currentOwners())
			}
			return cells
		}
		for end := time.Now().Add(10 * time.Second); owners() < 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			continue
		}
		So(owners(), ShouldEqual, 2)
		for _, e := range s.entries {
			e.setDisconnected(true)
		}
		time.Sleep(sessionTTL / 2)
		for _, e := range s.entries {
			e.setDisconnected(false)
		}
		time.Sleep(sessionTTL / 2)
		So(owners(), ShouldEqual, 2)
		for _, e := range s.entries {
			So(e.daemon.storePath, ShouldBeNil)
			So(strings.Contains(e.logs.String(), "calls to the store go through a peer"), ShouldBeFalse)
			So(strings.Contains(e.logs.String(), "cell handed over"), ShouldBeFalse)
		}
	})
}
