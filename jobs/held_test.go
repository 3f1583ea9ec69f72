package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each of some tens of accepted jobs of a few bytes had 100,000 tasks, whose state took all memory of the owner.
func TestAcceptedJobsTakeAllMemory(t *testing.T) {
	large := func(n int) Job {
		return Job{
			ID: fmt.Sprintf("%016x", n), Queue: "q", Attempts: 3, Stretch: 1.6,
			Steps: []Step{{Count: MaxTasks, LongRunning: true, Each: Size{CPU: 100, Memory: 1}}},
		}
	}
	Convey("Jobs are accepted until the cell holds too many tasks, and again once one has ended", t, func() {
		b := newTestbed(1)
		accepted := 0
		for n := range 30 {
			if job := large(n); b.cell.Admit(b.now, &job).IsAccepted {
				b.cell.Submit(b.now, job)
				accepted++
			}
		}
		So(accepted, ShouldEqual, maxHeldTasks/MaxTasks)
		So(b.cell.heldTasks, ShouldBeLessThanOrEqualTo, maxHeldTasks)
		refused, known := large(29), large(0)
		verdict := b.cell.Admit(b.now, &refused)
		So(verdict.Reason, ShouldEqual, "the cell holds too many tasks")
		So(verdict.RetryAfter, ShouldBeGreaterThan, 0)
		So(b.cell.Admit(b.now, &known).IsAccepted, ShouldBeTrue)
		b.cell.Cancel(b.now, known.ID)
		b.advance(DefaultBounds().longestGrant() + time.Second)
		b.cell.Forget(b.now)
		So(b.cell.heldTasks+b.cell.heldSteps, ShouldEqual, 0)
		state, isKnown := b.cell.Status(known.ID)
		So(isKnown, ShouldBeTrue)
		So(state, ShouldEqual, Running)
		b.cell.ConfirmStored(b.now, b.cell.TakeBatch())
		state, _ = b.cell.Status(known.ID)
		So(state, ShouldEqual, Cancelled)
		So(b.cell.Admit(b.now, &refused).IsAccepted, ShouldBeTrue)
	})
	for name, c := range map[string]struct {
		first time.Duration
		steps int
		count int
	}{
		"tasks of timed jobs that are due":     {time.Minute, 1, MaxTasks},
		"steps of timed jobs that are not due": {1000 * time.Hour, MaxSteps, 1},
	} {
		Convey("What the cell holds is bounded: "+name, t, func() {
			b := newTestbed(1)
			for n := range 200 {
				job := Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Attempts: 3, Stretch: 1.6, First: b.now.Add(c.first), Times: 1}
				for range c.steps {
					job.Steps = append(job.Steps, Step{Count: c.count, Each: Size{CPU: 100, Memory: 1}})
				}
				if b.cell.Admit(b.now, &job).IsAccepted {
					b.cell.Submit(b.now, job)
				}
			}
			b.cell.beginDueOccurrences(b.now.Add(2 * time.Minute))
			So(b.cell.heldTasks, ShouldBeLessThanOrEqualTo, maxHeldTasks)
			So(b.cell.heldSteps, ShouldBeLessThanOrEqualTo, maxHeldTasks)
		})
	}
	Convey("Ended jobs keep neither steps nor tasks", t, func() {
		b := newTestbed(1)
		b.submit(firstID, longRunningStep(20))
		b.cell.Cancel(b.now, firstID)
		b.cell.ConfirmStored(b.now, b.cell.TakeBatch())
		b.advance(DefaultBounds().longestGrant() + time.Second)
		b.cell.Forget(b.now)
		So(b.cell.jobs[firstID].Steps, ShouldBeEmpty)
		state, isKnown := b.cell.Status(firstID)
		So(isKnown, ShouldBeTrue)
		So(state, ShouldEqual, Cancelled)
		So(b.cell.Cancel(b.now, firstID), ShouldBeTrue)
		So(b.cell.Snapshot().Jobs, ShouldHaveLength, 1)
	})
	Convey("A job of any size is accepted in calm", t, func() {
		b := newTestbed(1)
		b.submit(firstID, longRunningStep(2000))
		job := large(7)
		So(b.cell.Admit(b.now, &job).IsAccepted, ShouldBeTrue)
	})
	Convey("The tasks of occurrences that have ended do not count", t, func() {
		b := newTestbed(1)
		b.cell.Submit(b.now, Job{ID: firstID, Queue: "q", First: b.now.Add(-time.Hour), Times: 20, Steps: []Step{{Count: 2, Each: Size{CPU: 100, Memory: 1}}}})
		b.cell.beginDueOccurrences(b.now)
		So(b.cell.heldTasks, ShouldEqual, 40)
		for _, task := range b.cell.jobs[firstID].occurrences[3].steps[0].tasks {
			b.cell.complete(b.now, task)
		}
		So(b.cell.heldTasks, ShouldEqual, 38)
		state := b.cell.Snapshot()
		next := New(Config{Bounds: DefaultBounds(), Inherited: b.now})
		next.Restore(b.now, state)
		So(next.heldTasks, ShouldEqual, 38)
	})
}
