package fleet

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
)

func TestWavesAfterInterruptedWatch(t *testing.T) {
	Convey("A wave that was removed while the watch was interrupted is dropped, and the others keep the time they were first seen", t, func() {
		d := newSystem(t, 1).entries[0].daemon
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
