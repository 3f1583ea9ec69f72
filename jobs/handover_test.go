package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each owner began the wait for the grant of a silent endpoint anew, so tasks on it stayed without
// a run for as long as owners handed the cell over to each other.
func TestHandoversKeepTaskWithoutRun(t *testing.T) {
	// handOver replaces the cell by that of the next owner.
	handOver := func(b *testbed) {
		state := b.cell.Snapshot()
		b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
		b.cell.Restore(b.now, state)
		b.cell.FinishRestore()
		b.setEndpoints(2, false)
	}
	Convey("A task of an endpoint that is gone is placed again once its grant is over, whoever owns the cell by then", t, func() {
		b := newTestbed(2)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		waited, placed := time.Duration(0), []Start(nil)
		for ; waited < 20*time.Second && len(placed) == 0; waited += 100 * time.Millisecond {
			b.advance(100 * time.Millisecond)
			if waited%(2*time.Second) == 0 {
				handOver(b)
			}
			for i := range 2 {
				b.cell.NextPoll(b.now, endpointName(i))
				if endpointName(i) != start.Endpoint {
					b.answerPoll(i)
				}
			}
			placed = b.planAndStore()
		}
		So(placed, ShouldHaveLength, 1)
		So(placed[0].Endpoint, ShouldNotEqual, start.Endpoint)
		So(waited, ShouldBeGreaterThan, DefaultBounds().Grant)
		// A long-running task must run again within 9 s.
		So(waited, ShouldBeLessThan, 8*time.Second)
	})
}
