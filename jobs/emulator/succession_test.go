package emulator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A run of an earlier owner counted as over at once if the store went down as its endpoint had just answered the first poll of the
// next owner, and the endpoint was cut off before the second one.
func TestNextOwnerForgetsGrantOfListedRun(t *testing.T) {
	for name, changeOwner := range ownerChanges {
		Convey("A task runs once if its endpoint is cut off while nothing can be stored after the owner changed: "+name, t, func() {
			for wait := time.Duration(0); wait < 3*time.Second; wait += 20 * time.Millisecond {
				w, job := newServingWorld()
				w.Submit(job)
				w.Advance(7 * time.Second)
				e := runningEndpoint(w)
				changeOwner(w, e)
				w.Advance(wait)
				w.StopStore(1500 * time.Millisecond)
				w.Advance(500 * time.Millisecond)
				e.Partition(20 * time.Second)
				w.Advance(14 * time.Second)
				SoMsg(wait.String(), w.Violations(), ShouldBeEmpty)
			}
		})
	}
}
