package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A long-running task waited for up to maxProbeDelay, or behind short-lived probes, while all
// endpoints with room were suspect.
func TestSuspectEndpointsKeepTaskWaiting(t *testing.T) {
	// maxWait is how long a task may wait for a place.
	const maxWait = 3 * time.Second
	// newSuspects returns a cell whose endpoints are suspect for maxProbeDelay.
	newSuspects := func(endpoints int) *testbed {
		b := newTestbed(endpoints)
		for i := range endpoints {
			e := b.cell.endpoints[endpointName(i)]
			e.suspectUntil, e.failedProbes, e.consecutiveFailures = b.now.Add(maxProbeDelay), 4, suspectThreshold
		}
		return b
	}
	// play advances for a duration, answers the polls that are needed and calls step every
	// 100 ms.
	play := func(b *testbed, endpoints int, duration time.Duration, step func()) {
		for end := b.now.Add(duration); b.now.Before(end); {
			b.advance(100 * time.Millisecond)
			for i := range endpoints {
				if poll, _ := b.cell.NextPoll(b.now, endpointName(i)); !poll.IsNeeded {
					continue
				}
				var running []ListedRun
				for _, r := range sortedRuns(b.cell.endpoints[endpointName(i)]) {
					running = append(running, ListedRun{Task: r.task.name, Run: r.number, Percent: 1})
				}
				b.answerPoll(i, running...)
			}
			step()
		}
	}
	for name, endpoints := range map[string]int{"one endpoint": 1, "two endpoints": 2} {
		Convey("A long-running task is placed though all are suspect: "+name, t, func() {
			b := newSuspects(endpoints)
			b.submit(firstID, longRunningStep(3))
			count := 0
			play(b, endpoints, maxWait, func() { count += len(b.planAndAccept()) })
			So(count, ShouldEqual, 3)
		})
	}
	Convey("A long-running task is placed though all have been suspect and idle for a while", t, func() {
		b := newSuspects(1)
		play(b, 1, 3*time.Second, func() { b.planAndAccept() })
		b.submit(firstID, longRunningStep(3))
		count := 0
		play(b, 1, maxWait, func() { count += len(b.planAndAccept()) })
		So(count, ShouldEqual, 3)
	})
	Convey("A long-running task does not wait for the probe of a suspect endpoint", t, func() {
		b := newSuspects(1)
		b.submit("000000000000000c", batchStep(1, 100))
		play(b, 1, maxProbeDelay+time.Second, func() { b.planAndAccept() })
		So(b.cell.endpoints[endpointName(0)].runs, ShouldHaveLength, 1)
		b.submit(firstID, longRunningStep(1))
		count := 0
		play(b, 1, maxWait, func() { count += len(b.planAndAccept()) })
		So(count, ShouldEqual, 1)
	})
	Convey("A long-running task waits for an endpoint that is about to have room rather than take a suspect one", t, func() {
		b := newSuspects(2)
		b.cell.endpoints[endpointName(1)].recordSuccess()
		b.submit("000000000000000c", batchStep(1, 4000))
		busy := b.planAndAccept()
		So(busy, ShouldHaveLength, 1)
		b.submit(firstID, longRunningStep(1))
		play(b, 2, time.Second/2, func() { So(b.planAndAccept(), ShouldBeEmpty) })
		b.listEnd(1, busy[0].Task, busy[0].Run, Done)
		starts := b.planAndAccept()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Endpoint, ShouldEqual, endpointName(1))
	})
	Convey("Short-lived work waits for the probe delay", t, func() {
		b := newSuspects(2)
		b.submit("000000000000000c", batchStep(1, 100))
		play(b, 2, maxProbeDelay-time.Second, func() { So(b.planAndAccept(), ShouldBeEmpty) })
	})
	Convey("A task that fails there at once is started again once a second, and delays no probe", t, func() {
		b := newSuspects(1)
		until := b.cell.endpoints[endpointName(0)].suspectUntil
		b.submit(firstID, longRunningStep(1))
		count := 0
		play(b, 1, 5*time.Second, func() {
			for _, s := range b.planAndStore() {
				count++
				if count%2 == 0 {
					b.cell.StartAnswered(b.now, s, Reply{Answer: Unhealthy, Clock: b.clock})
					continue
				}
				b.cell.StartAnswered(b.now, s, Reply{Answer: Accepted, Clock: b.clock})
				b.advance(10 * time.Millisecond)
				b.listEnd(0, s.Task, s.Run, Failed)
			}
		})
		So(count, ShouldBeBetweenOrEqual, 3, 5)
		So(b.cell.endpoints[endpointName(0)].suspectUntil, ShouldEqual, until)
	})
}
