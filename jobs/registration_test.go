package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A late registration of an incarnation that this owner never knew ended the runs of the present one.
func TestStaleRegistrationStartsTaskTwice(t *testing.T) {
	Convey("A task is not placed again because of a late registration with a later start time", t, func() {
		b := newTestbed(1)
		b.born = 600
		b.advance(100 * time.Millisecond)
		b.setEndpoints(1, false)
		b.answerPoll(0)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		for range 5 {
			b.advance(100 * time.Millisecond)
			b.setEndpoints(1, false)
			b.answerPoll(0, ListedRun{Task: start.Task, Run: 1, Percent: 100})
		}
		b.advance(100 * time.Millisecond)
		b.born = 900
		b.setEndpoints(1, false)
		b.born = 600
		So(b.cell.endpoints[endpointName(0)].runs, ShouldHaveLength, 1)
	})
}
