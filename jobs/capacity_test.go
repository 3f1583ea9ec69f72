package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// shrinkTo lists the only endpoint of a testbed with another capacity.
func (b *testbed) shrinkTo(cpu int64) {
	b.cell.SetEndpoints(b.now, []Profile{{
		ID: endpointName(0), Machine: "me0", Labels: []string{"a"}, Capacity: Size{CPU: cpu, Memory: 4000}, Born: b.born,
	}})
}

// Tasks that were placed before the capacity of their endpoint shrank were started on it all the same.
func TestStartsAfterCapacityShrank(t *testing.T) {
	Convey("A task is not started if its endpoint has shrunk since it was placed, and is started once there is room", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(3, 1000))
		b.cell.Plan(b.now, b.now)
		batch := b.cell.TakeBatch()
		b.shrinkTo(1500)
		starts := b.cell.ConfirmStored(b.now, batch)
		So(starts, ShouldHaveLength, 1)
		b.cell.StartAnswered(b.now, starts[0], Reply{Answer: Accepted, Clock: b.clock})
		b.advance(100 * time.Millisecond)
		b.answerPoll(0, ListedRun{Task: starts[0].Task, Run: starts[0].Run})
		So(b.planAndStore(), ShouldBeEmpty)
		b.shrinkTo(4000)
		So(b.planAndStore(), ShouldHaveLength, 2)
	})
	Convey("A start that waits for other orders is not sent if its endpoint has shrunk since", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(2, 1000))
		starts := b.planAndStore()
		So(starts, ShouldHaveLength, 2)
		b.shrinkTo(1500)
		So(b.cell.IsStartCurrent(starts[0]), ShouldBeFalse)
		b.cell.StartAnswered(b.now, starts[0], Reply{Answer: Refused})
		So(b.cell.IsStartCurrent(starts[1]), ShouldBeTrue)
	})
	Convey("What is being stopped counts until its end is listed, also on an endpoint that has shrunk", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 1000))
		start := b.planAndAccept()[0]
		b.shrinkTo(1500)
		b.cell.Cancel(b.now, firstID)
		b.planAndStore()
		So(b.cell.Stops(b.now), ShouldHaveLength, 1)
		b.submit(secondID, batchStep(1, 1000))
		So(b.planAndStore(), ShouldBeEmpty)
		b.advance(100 * time.Millisecond)
		b.listEnd(0, start.Task, start.Run, Stopped)
		So(b.planAndStore(), ShouldHaveLength, 1)
	})
	Convey("Nothing is stopped on an endpoint that has shrunk below what runs there", t, func() {
		b := newTestbed(1)
		b.submit(firstID, longRunningStep(4))
		starts := b.planAndAccept()
		So(starts, ShouldHaveLength, 4)
		b.shrinkTo(1000)
		b.planAndStore()
		So(b.cell.Stops(b.now), ShouldBeEmpty)
		for _, s := range starts {
			So(b.cell.endpoints[s.Endpoint].runs[s.Task], ShouldNotBeNil)
		}
	})
	Convey("A job that no endpoint can hold any more waits and does not fail, and new ones like it are told to come back", t, func() {
		b := newTestbed(1)
		b.shrinkTo(500)
		b.submit(firstID, batchStep(1, 1000))
		for range 100 {
			b.advance(100 * time.Millisecond)
			b.answerPoll(0)
			So(b.planAndStore(), ShouldBeEmpty)
		}
		state, _ := b.cell.Status(firstID)
		So(state, ShouldEqual, Queued)
		verdict := b.cell.Admit(b.now, &Job{ID: secondID, Queue: "q", Stretch: 1.6, Steps: []Step{batchStep(1, 1000)}})
		So(verdict.IsAccepted, ShouldBeFalse)
		So(verdict.RetryAfter, ShouldBeGreaterThan, 0)
		b.shrinkTo(4000)
		So(b.planAndStore(), ShouldHaveLength, 1)
	})
	Convey("A gang of which one member does not fit any more is started later as a whole", t, func() {
		b := newTestbed(1)
		step := batchStep(2, 1000)
		step.Gang = true
		b.submit(firstID, step)
		b.cell.Plan(b.now, b.now)
		batch := b.cell.TakeBatch()
		b.shrinkTo(1500)
		So(b.cell.ConfirmStored(b.now, batch), ShouldBeEmpty)
		b.shrinkTo(4000)
		So(b.planAndStore(), ShouldHaveLength, 2)
	})
	Convey("A held endpoint that has shrunk is not kept free for a task that will not fit", t, func() {
		b := newTestbed(1)
		b.submit(firstID, batchStep(1, 2000))
		b.planAndAccept()
		b.submit(secondID, longRunningStep(1))
		b.cell.jobs[secondID].Steps[0].Each = Size{CPU: 3000, Memory: 10}
		So(b.planAndStore(), ShouldBeEmpty)
		So(b.cell.endpoints[endpointName(0)].heldFor, ShouldNotBeNil)
		b.shrinkTo(2500)
		b.advance(100 * time.Millisecond)
		b.planAndStore()
		So(b.cell.endpoints[endpointName(0)].heldFor, ShouldBeNil)
	})
}

// An endpoint that had shrunk below its long-running work was subtracted from the throughput of the
// others, so that jobs were rejected for which these had room.
func TestShrunkEndpointLowersThroughputOfOthers(t *testing.T) {
	Convey("The throughput is that of the other endpoint", t, func() {
		b := newTestbed(2)
		step := longRunningStep(1)
		step.Each.CPU = 4000
		b.submit(firstID, step)
		full := b.planAndAccept()[0].Endpoint
		throughput := b.cell.throughput(b.now)
		So(throughput, ShouldBeGreaterThan, 0)
		var profiles []Profile
		for i := range 2 {
			p := Profile{ID: endpointName(i), Machine: "m" + endpointName(i), Labels: []string{"a"}, Capacity: Size{CPU: 4000, Memory: 4000}, Born: b.born}
			if p.ID == full {
				p.Capacity.CPU = 1000
			}
			profiles = append(profiles, p)
		}
		b.cell.SetEndpoints(b.now, profiles)
		So(b.cell.throughput(b.now), ShouldEqual, throughput)
	})
}
