package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A long-running task that waited for a run which may exist was in no log line.
func TestUnresolvedRunsAreReported(t *testing.T) {
	restart := func(b *testbed) {
		b.born, b.clock = 2, 5
		b.setEndpoints(1, false)
	}
	for name, c := range map[string]struct {
		prepare func(b *testbed, start Start)
		state   string
		// most is the longest time after which the run may be said to count as ended.
		most time.Duration
	}{
		"whose start is not answered": {
			prepare: func(b *testbed, start Start) { b.cell.StartAnswered(b.now, start, Reply{Answer: Unanswered, Clock: 0}) },
			state:   "start not confirmed", most: 6 * time.Second,
		},
		"whose endpoint restarted before it listed it": {
			prepare: func(b *testbed, start Start) {
				b.cell.StartAnswered(b.now, start, Reply{Answer: Unanswered, Clock: 0})
				restart(b)
			},
			state: "start not confirmed", most: maxStartDelay,
		},
		"whose endpoint is silent": {
			prepare: func(b *testbed, start Start) {
				b.cell.StartAnswered(b.now, start, Reply{Answer: Accepted, Clock: b.clock})
				b.answerPoll(0, ListedRun{Task: start.Task, Run: 1, Percent: 100})
			},
			state: "endpoint is silent", most: 6 * time.Second,
		},
		"of an earlier owner": {
			prepare: func(b *testbed, _ Start) {
				state := b.cell.Snapshot()
				b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
				b.cell.Restore(b.now, state)
				b.cell.FinishRestore()
				b.setEndpoints(1, false)
			},
			state: "placed by an earlier owner", most: 6 * time.Second,
		},
		"that does not stop": {
			prepare: func(b *testbed, start Start) {
				b.cell.StartAnswered(b.now, start, Reply{Answer: Accepted, Clock: b.clock})
				b.cell.stopRun(b.cell.endpoints[endpointName(0)].runs[start.Task], "a test")
				b.cell.Stops(b.now)
			},
			state: "stopping: a test", most: 6 * time.Second,
		},
	} {
		Convey("A run "+name+" is reported after a delay, at intervals, with what is known", t, func() {
			b := newTestbed(1)
			b.submit(firstID, longRunningStep(1))
			start := b.planAndStore()[0]
			c.prepare(b, start)
			b.advance(unresolvedReportDelay - time.Millisecond)
			reports, _ := b.cell.UnresolvedRuns(b.now)
			So(reports, ShouldBeEmpty)
			b.advance(unresolvedReportInterval)
			reports, due := b.cell.UnresolvedRuns(b.now)
			So(due, ShouldEqual, 1)
			So(reports, ShouldHaveLength, 1)
			So(reports[0].Task, ShouldEqual, start.Task)
			So(reports[0].Run, ShouldEqual, 1)
			So(reports[0].Endpoint, ShouldEqual, endpointName(0))
			So(reports[0].State, ShouldEqual, c.state)
			So(reports[0].UnresolvedFor, ShouldBeGreaterThanOrEqualTo, unresolvedReportDelay)
			So(reports[0].ExpiresIn, ShouldBeLessThanOrEqualTo, c.most)
			b.advance(unresolvedReportInterval)
			reports, _ = b.cell.UnresolvedRuns(b.now)
			So(reports, ShouldBeEmpty)
			b.advance(unresolvedRepeatInterval)
			reports, _ = b.cell.UnresolvedRuns(b.now)
			So(reports, ShouldHaveLength, 1)
		})
	}
	Convey("Runs that are listed are not reported", t, func() {
		b := newTestbed(1)
		b.submit(firstID, longRunningStep(1))
		start := b.planAndAccept()[0]
		for range 10 {
			b.advance(time.Second)
			b.answerPoll(0, ListedRun{Task: start.Task, Run: 1, Percent: 100})
			reports, due := b.cell.UnresolvedRuns(b.now)
			So(reports, ShouldBeEmpty)
			So(due, ShouldEqual, 0)
		}
	})
	Convey("A set of reports is bounded and says how many are due", t, func() {
		b := newTestbed(1)
		b.submit(firstID, longRunningStep(5))
		b.planAndStore()
		b.advance(unresolvedReportDelay)
		reports, due := b.cell.UnresolvedRuns(b.now)
		So(reports, ShouldHaveLength, maxUnresolvedReports)
		So(due, ShouldEqual, 5)
	})
}
