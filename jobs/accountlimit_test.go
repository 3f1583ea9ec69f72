package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A job with a task that the limit of its client account can never hold was accepted and never started (LOST).
func TestTaskLargerThanLimitIsAccepted(t *testing.T) {
	longRunning, gang, wide := longRunningStep(1), batchStep(3, 100), batchStep(3, 100)
	longRunning.Each.CPU, gang.Gang = 300, true
	cases := map[string]struct {
		steps      []Step
		account    string
		isAccepted bool
	}{
		"a task that fits":           {steps: []Step{batchStep(1, 250)}, account: "a", isAccepted: true},
		"many that fit in turn":      {steps: []Step{wide}, account: "a", isAccepted: true},
		"a larger task":              {steps: []Step{batchStep(1, 100), batchStep(1, 300)}, account: "a"},
		"a larger long-running task": {steps: []Step{longRunning}, account: "a"},
		"a larger gang":              {steps: []Step{gang}, account: "a"},
		"no account":                 {steps: []Step{batchStep(1, 300)}, isAccepted: true},
		"an account without a limit": {steps: []Step{batchStep(1, 300)}, account: "b", isAccepted: true},
	}
	for name, tc := range cases {
		Convey("A job is rejected at once if its account's limit can never hold a task: "+name, t, func() {
			b := newTestbed(1)
			b.cell.config.AccountTotal = func(account string) Size {
				if account == "a" {
					return Size{CPU: 250}
				}
				return Size{}
			}
			job := Job{ID: firstID, Queue: "q", Account: tc.account, Attempts: 2, Steps: tc.steps}
			verdict := b.cell.Admit(b.now, &job)
			So(verdict.IsAccepted, ShouldEqual, tc.isAccepted)
			So(verdict.RetryAfter > 0, ShouldEqual, !tc.isAccepted)
			// A job that is known stays accepted, although the limit was lowered.
			b.cell.Submit(b.now, job)
			So(b.cell.Admit(b.now, &job).IsAccepted, ShouldBeTrue)
		})
	}
}

// Small tasks of an account kept a large one of the same cell from fitting its limit for as long as they arrived (LOST).
func TestSmallTasksKeepLargeOneFromLimit(t *testing.T) {
	large := batchStep(1, 800)
	gang := batchStep(4, 200)
	gang.Gang = true
	lasting := longRunningStep(1)
	lasting.Each.CPU = 800
	cases := map[string]struct {
		large Step
		// longRunning is the size of a long-running task of the account that never ends.
		longRunning int64
		isStarted   bool
	}{
		"a large task":        {large: large, isStarted: true},
		"a gang":              {large: gang, isStarted: true},
		"a long-running task": {large: lasting, isStarted: true},
		"a task beside what never leaves it room": {large: large, longRunning: 300},
	}
	for name, tc := range cases {
		Convey("The limit is kept free for what has waited for it, if that can help: "+name, t, func() {
			b := newTestbed(4)
			b.cell.config.AccountLimit = func(account string) (Size, bool) { return Size{CPU: 1000, Memory: 1000}, account == "a" }
			number := 0
			submit := func(step Step) string {
				number++
				b.cell.Submit(b.now, Job{ID: jobID(number), Queue: "q", Account: "a", Attempts: 2, Stretch: 1.6, Target: time.Second, Steps: []Step{step}})
				return jobID(number)
			}
			if tc.longRunning > 0 {
				step := longRunningStep(1)
				step.Each.CPU = tc.longRunning
				submit(step)
				b.planAndAccept()
			}
			startedAt := make(map[string]time.Time)
			ends := make([]int64, 4)
			id, isStarted, smallStarts := "", false, 0
			for i := range 200 {
				for _, s := range b.planAndAccept() {
					startedAt[s.Task] = b.now
					if task, _ := ParseTaskName(s.Task); task.Job == id {
						isStarted = true
					} else {
						smallStarts++
					}
				}
				b.advance(100 * time.Millisecond)
				for e := range ends {
					listing := Listing{Endpoint: endpointName(e), AskedAt: b.now, Born: b.born, Clock: b.clock}
					for _, r := range sortedRuns(b.cell.endpoints[endpointName(e)]) {
						if !r.task.step.LongRunning && b.now.Sub(startedAt[r.task.name]) >= 500*time.Millisecond {
							ends[e]++
							listing.Ended = append(listing.Ended, ListedEnd{Number: ends[e], End: End{Task: r.task.name, Run: r.number, Outcome: Done}})
						} else {
							listing.Running = append(listing.Running, ListedRun{Task: r.task.name, Run: r.number, Percent: i % 100})
						}
					}
					b.cell.ApplyListing(b.now, listing)
				}
				// By then small tasks use all of the limit, and end one after the other.
				if i == 20 {
					id = submit(tc.large)
				}
				submit(batchStep(1, 200))
			}
			So(isStarted, ShouldEqual, tc.isStarted)
			// The others go on.
			So(smallStarts, ShouldBeGreaterThan, 20)
		})
	}
}

// newHeldLimit returns a cell with runs of an account, each of a fifth of its limit, and a large task that has waited for long enough to have
// the limit kept free for it.
func newHeldLimit(runs int, large int64) *testbed {
	b := newTestbed(4)
	b.cell.config.AccountLimit = func(account string) (Size, bool) { return Size{CPU: 1000, Memory: 1000}, account == "a" }
	submit := func(number int, step Step) {
		b.cell.Submit(b.now, Job{ID: jobID(number), Queue: "q", Account: "a", Attempts: 2, Stretch: 1.6, Target: time.Second, Steps: []Step{step}})
	}
	for i := range runs {
		submit(i+1, batchStep(1, 200))
	}
	b.planAndAccept()
	submit(10, batchStep(1, large))
	b.listRunning()
	b.advance(limitHoldDelay + 100*time.Millisecond)
	b.listRunning()
	submit(11, batchStep(1, 300))
	b.planAndAccept()
	return b
}

// listRunning lists the runs of all endpoints, and plans.
func (b *testbed) listRunning() {
	b.advance(100 * time.Millisecond)
	for i := range 4 {
		var rows []ListedRun
		for _, r := range sortedRuns(b.cell.endpoints[endpointName(i)]) {
			rows = append(rows, ListedRun{Task: r.task.name, Run: r.number, Percent: int(b.clock/100) % 100})
		}
		b.answerPoll(i, rows...)
	}
	b.planAndAccept()
}

// A cell asked for the size of another task than the one that its limit was kept free for, and could not start that one with what it got
// (LOST, review/14).
func TestLimitIsAskedForHeldBackTask(t *testing.T) {
	Convey("The size that the limit is kept free for is the first unit", t, func() {
		b := newHeldLimit(4, 900)
		So(b.cell.limitHolds, ShouldHaveLength, 1)
		// The later job comes first in scheduling order.
		b.cell.jobs[jobID(11)].Priority = -1
		b.planAndAccept()
		So(b.cell.Needs()["a"].Units, ShouldResemble, []Size{{CPU: 900, Memory: 10}, {CPU: 300, Memory: 10}})
	})
}

// The limit was kept free for a task for 10 s, whatever the account had at work (LOST, review/14).
func TestIdleLimitIsKeptFree(t *testing.T) {
	for name, c := range map[string]struct {
		runs   int
		isHeld bool
	}{
		"more than half of the limit at work": {runs: 4, isHeld: true},
		"less than half of it":                {runs: 2},
	} {
		Convey("The limit is kept free for a task for long only while the account has half of it at work: "+name, t, func() {
			b := newHeldLimit(c.runs, 900)
			So(b.cell.limitHolds, ShouldHaveLength, 1)
			So(b.cell.findTask(jobID(11)+".0.0.0").run, ShouldBeNil)
			for range (maxIdleLimitHold + 200*time.Millisecond) / (100 * time.Millisecond) {
				b.listRunning()
			}
			So(len(b.cell.limitHolds) == 1, ShouldEqual, c.isHeld)
			So(b.cell.findTask(jobID(11)+".0.0.0").run == nil, ShouldEqual, c.isHeld)
		})
	}
}

// Sizes that no allocation can hold beside what other cells use were asked for, and kept the limit from the others.
func TestUnreachableSizeIsAskedFor(t *testing.T) {
	Convey("What an account can't start while others use its limit is no unmet demand", t, func() {
		b := newHeldLimit(4, 900)
		b.cell.config.AccountReach = func(string) Size { return Size{CPU: 500, Memory: 1000} }
		b.advance(time.Second)
		b.planAndAccept()
		need := b.cell.Needs()["a"]
		So(need.Wanted, ShouldResemble, Size{CPU: 300, Memory: 10})
		So(need.Units, ShouldResemble, []Size{{CPU: 300, Memory: 10}})
		So(b.cell.limitHolds, ShouldBeEmpty)
	})
	Convey("Runs that have been at work for long, and those of long-running tasks, are told", t, func() {
		b := newHeldLimit(1, 200)
		b.submitLongRunning()
		b.planAndAccept()
		need := b.cell.Needs()["a"]
		So(need.LongRunning, ShouldResemble, Size{CPU: 100, Memory: 10})
		So(need.Staying, ShouldResemble, need.LongRunning)
		for range minStay / (100 * time.Millisecond) {
			b.listRunning()
		}
		So(b.cell.Needs()["a"].Staying.CPU, ShouldEqual, 800)
	})
}

// submitLongRunning submits a job of an account with a small long-running task.
func (b *testbed) submitLongRunning() {
	step := longRunningStep(1)
	step.Each.CPU = 100
	b.cell.Submit(b.now, Job{ID: jobID(20), Queue: "q", Account: "a", Attempts: 2, Stretch: 1.6, Steps: []Step{step}})
}
