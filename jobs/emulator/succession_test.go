package emulator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// A run of an earlier owner counted as over at once if the store went down as its endpoint had just answered the first poll of the
// next owner, and the endpoint was cut off before the second one.
func TestNextOwnerForgetsGrantOfListedRun(t *testing.T) {
	for name, changeOwner := range ownerChanges {
		Convey("A task runs once if its endpoint is cut off while nothing can be stored after the owner changed: "+name, t, func() {
			for wait := 10 * time.Millisecond; wait < 3*time.Second; wait += 20 * time.Millisecond {
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

// Of a speculative task that had been started again because its endpoint was silent, the state for the next owner named the copy only, so that the next
// owner did not count the first run against the limit of the client account.
func TestNextOwnerForgetsRunBesideCopy(t *testing.T) {
	for name, changeOwner := range ownerChanges {
		Convey("The runs of an account stay within its limit if its speculative tasks have copies as the owner changes: "+name, t, func() {
			w := New(Config{
				Endpoints: 3, Capacity: jobs.Size{CPU: 8000, Memory: 8000}, Limits: map[string]jobs.Size{"red": {CPU: 8000, Memory: 8000}},
				Work: func(*World, string) (time.Duration, bool) { return 20 * time.Second, false },
			})
			w.Advance(time.Second)
			job := jobs.Job{
				ID: "0000000000000001", Queue: "q", Account: "red", Attempts: 3, Stretch: 30,
				Steps: []jobs.Step{{Count: 4, Each: jobs.Size{CPU: 1000, Memory: 100}, Speculative: true}},
			}
			w.Submit(job)
			w.Advance(2 * time.Second)
			e := w.endpoints[0]
			So(e.runs, ShouldHaveLength, 4)
			e.Partition(20 * time.Second)
			w.Advance(1610 * time.Millisecond)
			So(w.endpoints[1].runs, ShouldHaveLength, 4)
			changeOwner(w, e)
			job.ID = "0000000000000002"
			for range 60 {
				w.Submit(job)
				w.Advance(50 * time.Millisecond)
			}
			w.Advance(14 * time.Second)
			So(w.Violations(), ShouldBeEmpty)
		})
	}
}
