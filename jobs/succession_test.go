package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// succeed replaces the cell by that of the next owner, with a snapshot and the records since.
func (b *testbed) succeed(state Snapshot, records []Record, endpoints int) {
	b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
	b.cell.Restore(b.now, state)
	for _, r := range records {
		b.cell.Apply(b.now, r)
	}
	b.cell.FinishRestore()
	b.cell.InheritGrants(b.now, state.Silent)
	b.setEndpoints(endpoints, false)
}

// A run that had been listed to the next owner, and whose endpoint then fell silent before it got a grant of that owner,
// counted as over at once, though the grant of the owner before went on (TWICE).
func TestListedRunOfEarlierOwnerExpiresAtOnce(t *testing.T) {
	usual := DefaultBounds().Grant
	listRun := func(b *testbed) {
		b.answerPoll(0, ListedRun{Task: TaskName{Job: firstID}.String(), Run: 1, Percent: 100})
	}
	for name, c := range map[string]struct {
		// change is what happens after the takeover, until the endpoint falls silent.
		change func(b *testbed)
		// grantAt is how long after the takeover the last grant is given, 0 if the next owner gives none.
		grantAt time.Duration
	}{
		"lists it and falls silent while nothing can be stored": {change: func(b *testbed) {
			listRun(b)
			// The next poll waits until what the listing has changed is stored.
			b.advance(maxRenewalAge + 100*time.Millisecond)
		}},
		"lists it and falls silent as discovery shows another incarnation": {change: func(b *testbed) {
			listRun(b)
			b.born++
			b.setEndpoints(1, false)
			b.born--
		}},
		"lists it and is silent as the cell is handed over again": {change: func(b *testbed) {
			listRun(b)
			b.advance(maxRenewalAge + 100*time.Millisecond)
			b.succeed(b.cell.HandoverSnapshot(b.now), nil, 1)
		}},
		"has copied the list of its runs before and gets a grant of the next owner": {grantAt: 3 * time.Second, change: func(b *testbed) {
			b.advance(3 * time.Second)
			b.answerPoll(0)
		}},
	} {
		Convey("A run of an earlier owner lasts as long as the last grant of its endpoint if that "+name, t, func() {
			b := newTestbed(1)
			b.submit(firstID, longRunningStep(1))
			b.planAndAccept()
			b.advance(100 * time.Millisecond)
			listRun(b)
			b.cell.NextPoll(b.now, endpointName(0))
			b.succeed(b.cell.Snapshot(), nil, 1)
			inherited := b.now
			c.change(b)
			poll, _ := b.cell.NextPoll(b.now, endpointName(0))
			So(poll.Until > 0, ShouldEqual, c.grantAt > 0)
			timeUntilLost(b)
			So(b.now.Sub(inherited)-c.grantAt, ShouldBeBetween, usual, usual+time.Second)
		})
	}
}

// A grant was seen to have strayed after the state for the next owner was made, which said of the endpoint that the former
// incarnation's grant ends soon. The next owner took that end for the one of the grant that had strayed (TWICE).
func TestStrayGrantDuringHandoverIsCutShort(t *testing.T) {
	longest := DefaultBounds().longestGrant()
	for name, c := range map[string]struct {
		// isKnown reports that the owner knows of the restart before it hands over.
		isKnown bool
	}{
		"that also shows the restart":                          {},
		"of an incarnation that is known as the state is made": {isKnown: true},
	} {
		Convey("A run lasts as long as a stray grant that a listing during the hand-over shows, "+name, t, func() {
			b := newTestbed(1)
			b.advance(600 * time.Second)
			b.answerPoll(0)
			b.submit(firstID, longRunningStep(2))
			starts := b.planAndStore()
			b.cell.StartAnswered(b.now, starts[1], Reply{Answer: Accepted, Clock: b.clock})
			b.advance(450 * time.Millisecond)
			b.cell.StartAnswered(b.now, starts[0], Reply{Answer: Unanswered, IsBound: true})
			b.born, b.clock = 2, 20
			if c.isKnown {
				b.cell.ApplyListing(b.now, Listing{Endpoint: endpointName(0), AskedAt: b.now.Add(-time.Second), Born: 2, Clock: b.clock, IsBound: true, MayOmitEnds: true})
				b.cell.NextPoll(b.now, endpointName(0))
			}
			b.advance(maxRenewalAge + 100*time.Millisecond)
			b.cell.TakeBatch()
			state := b.cell.HandoverSnapshot(b.now)
			So(state.Silent, ShouldHaveLength, 1)
			b.advance(100 * time.Millisecond)
			b.cell.ApplyListing(b.now, Listing{
				Endpoint: endpointName(0), AskedAt: b.now, Born: 2, FormerBorn: 1, Clock: b.clock, IsBound: true,
				Running: []ListedRun{{Task: starts[0].Task, Run: 1, Percent: 100}},
			})
			b.succeed(state, b.cell.TakeBatch().Records, 1)
			So(timeUntilLost(b), ShouldBeBetween, longest-200*time.Millisecond, longest+time.Second)
		})
	}
}

// The next owner did not know of runs that were not the current ones of their tasks, or counted those twice that an endpoint had had before.
func TestNextOwnerCountsUsage(t *testing.T) {
	task := TaskName{Job: firstID}.String()
	place := func(run, endpoint int) Record {
		return Record{Placement: &Placement{Task: task, Run: run, Endpoint: endpointName(endpoint), Born: 1}}
	}
	for name, c := range map[string]struct {
		step    Step
		records []Record
		// used is the processors that are in use on each endpoint.
		used []int64
	}{
		"a copy of a task beside its first run": {
			step: Step{Count: 1, Speculative: true}, records: []Record{place(1, 0), place(2, 1)}, used: []int64{100, 100},
		},
		"a copy on an endpoint whose first run has ended": {
			step: Step{Count: 1, Speculative: true}, records: []Record{place(1, 0), place(2, 1), place(3, 0)}, used: []int64{100, 100},
		},
		"the first run of a task whose copy is done": {
			step: Step{Count: 1, Speculative: true}, records: []Record{place(1, 0), place(2, 1), {End: &End{Task: task, Run: 2, Outcome: Done}}}, used: []int64{100, 0},
		},
		"the last run of a task of which an earlier one is done": {
			step: Step{Count: 1, Speculative: true}, records: []Record{place(1, 0), place(2, 1), {End: &End{Task: task, Run: 1, Outcome: Done}}}, used: []int64{100, 100},
		},
	} {
		Convey("The next owner counts what is in use: "+name, t, func() {
			b := newTestbed(2)
			c.step.Each = Size{CPU: 100, Memory: 10}
			// A second step keeps the job from being over.
			records := append([]Record{{Job: &Job{ID: firstID, Queue: "q", Account: "red", Steps: []Step{c.step, batchStep(1, 50)}}}}, c.records...)
			for _, way := range []string{"records", "snapshot", "snapshot of that"} {
				if way == "records" {
					b.succeed(Snapshot{}, records, 2)
				} else {
					b.succeed(b.cell.Snapshot(), nil, 2)
				}
				sum := int64(0)
				for i, cpu := range c.used {
					SoMsg(way, b.cell.endpoints[endpointName(i)].used.CPU, ShouldEqual, cpu)
					sum += cpu
				}
				SoMsg(way, b.cell.used["red"].CPU, ShouldEqual, sum)
			}
		})
	}
}

// The next owner took the runs that the one before had slowed for running at full speed, so they stayed slow, or stood still, for as long as
// nothing was to be slowed further.
func TestPacedRunStaysSlow(t *testing.T) {
	for name, c := range map[string]struct {
		// tails are the tail latencies that the endpoint lists after the takeover, where 100 ms are the target.
		tails []int
		// percents are the paces that are ordered for a run that stood still.
		percents []int
	}{
		"to full speed if the latency is low": {tails: []int{50, 50}, percents: []int{100}},
		"in steps if the latency is high":     {tails: []int{150, 50, 50}, percents: []int{25, 35, 45}},
		"not before the latency is low":       {tails: []int{70, 70, 50}, percents: []int{100}},
	} {
		Convey("A run that an earlier owner has slowed is sped up again, "+name, t, func() {
			b := newTestbed(1)
			serving, filling := longRunningStep(1), longRunningStep(1)
			serving.Target, filling.Fills = 100*time.Millisecond, true
			b.submit(firstID, serving)
			b.submit(secondID, filling)
			b.planAndAccept()
			percents := []int{}
			pace := func(tails ...int) {
				for _, tail := range tails {
					b.advance(paceInterval + time.Millisecond)
					b.answerPoll(0,
						ListedRun{Task: TaskName{Job: firstID}.String(), Run: 1, Percent: 100, Measurement: tail}, ListedRun{Task: TaskName{Job: secondID}.String(), Run: 1},
					)
					for _, p := range b.cell.Paces(b.now) {
						b.cell.PaceAnswered(p, Accepted)
						percents = append(percents, p.Percent)
					}
				}
			}
			pace(150, 150, 150, 150)
			So(percents, ShouldResemble, []int{25, 6, 1, 0})
			b.succeed(b.cell.Snapshot(), nil, 1)
			percents = nil
			pace(c.tails...)
			So(percents, ShouldResemble, c.percents)
		})
	}
}
