package jobs

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A timed job of a few bytes whose occurrences were all due made the cell create the tasks of all of them at once, and
// the process ended.
func TestDueOccurrencesTakeAllMemory(t *testing.T) {
	for name, c := range map[string]struct {
		times, count, begun int
		interval            time.Duration
	}{
		"all at once":                      {times: 1 << 40, count: 1, begun: maxOpenTasks},
		"of several tasks":                 {times: math.MaxInt, count: 3000, begun: maxOpenTasks / 3000},
		"each larger than what is begun":   {times: 1000, count: maxOpenTasks + 1, begun: 1},
		"at times that cannot be counted":  {times: math.MaxInt, count: maxOpenTasks / 2, begun: 2, interval: math.MaxInt64 / 3},
		"few, far below what may be begun": {times: 5, count: 2, begun: 5},
	} {
		Convey("Occurrences begin up to a number of tasks that are not done, and the others later: "+name, t, func() {
			b := newTestbed(1)
			b.cell.Submit(b.now, Job{
				ID: firstID, Queue: "q", First: b.now.Add(-time.Hour), Interval: c.interval, Times: c.times,
				Steps: []Step{{Count: c.count, Each: Size{CPU: 100, Memory: 1}}},
			})
			if c.interval > 0 {
				b.cell.jobs[firstID].First = time.Unix(0, 0).AddDate(-1000, 0, 0)
			}
			b.cell.beginDueOccurrences(b.now)
			j := b.cell.jobs[firstID]
			So(j.occurrences, ShouldHaveLength, c.begun)
			if c.begun == c.times {
				return
			}
			for _, task := range j.occurrences[0].steps[0].tasks {
				b.cell.complete(b.now, task)
			}
			b.cell.beginDueOccurrences(b.now)
			So(j.occurrences, ShouldHaveLength, c.begun)
			So(j.nextOccurrence, ShouldEqual, c.begun+1)
		})
	}
}
