package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A grant had strayed to the next incarnation over a connection that outlived the restart, and the next owner
// did not know of it: it counted a usual grant, and the task ran twice.
func TestNextOwnerForgetsStrayGrant(t *testing.T) {
	longest, usual := DefaultBounds().longestGrant(), 6*time.Second
	// takeOver replaces the cell by that of the next owner, with the records since the state before or with
	// a snapshot.
	takeOver := func(b *testbed, before Snapshot, records []Record) {
		b.cell = New(Config{Bounds: DefaultBounds(), Inherited: b.now})
		b.cell.Restore(b.now, before)
		for _, r := range records {
			b.cell.Apply(b.now, r)
		}
		b.cell.FinishRestore()
		b.setEndpoints(1, false)
	}
	for name, c := range map[string]struct {
		// formerBorn is that of the listing that shows the restart, orderedBorn the incarnation that
		// the run was placed on.
		formerBorn, orderedBorn int64
		// nextFormerBorn is that of the listing after that one.
		nextFormerBorn int64
		isBound        bool
		change         func(b *testbed, before Snapshot, records []Record)
		isLong         bool
	}{
		"connection that outlives the restart, records":  {formerBorn: 1, orderedBorn: 2, isLong: true, change: takeOver},
		"connection that outlives the restart, snapshot": {formerBorn: 1, orderedBorn: 2, isLong: true, change: func(b *testbed, _ Snapshot, _ []Record) { takeOver(b, b.cell.Snapshot(), nil) }},
		"two takeovers": {formerBorn: 1, orderedBorn: 2, isLong: true, change: func(b *testbed, before Snapshot, records []Record) {
			takeOver(b, before, records)
			b.advance(2 * time.Second)
			takeOver(b, b.cell.Snapshot(), nil)
		}},
		"a hand-over": {formerBorn: 1, orderedBorn: 2, isLong: true, change: func(b *testbed, _ Snapshot, _ []Record) {
			state := b.cell.HandoverSnapshot(b.now)
			takeOver(b, state, nil)
			b.cell.InheritGrants(b.now, state.Silent)
		}},
		"once such a grant lasts no longer": {formerBorn: 1, orderedBorn: 2, change: func(b *testbed, _ Snapshot, _ []Record) {
			b.advance(longest - DefaultBounds().Grant)
			b.answerPoll(0, ListedRun{Task: firstID + ".0.0.0", Run: 2, Percent: 100})
			b.planAndStore()
			takeOver(b, b.cell.Snapshot(), nil)
		}},
		"connection that is found after the restart, records":     {isBound: true, nextFormerBorn: 1, orderedBorn: 2, isLong: true, change: takeOver},
		"connection that is found after the restart, snapshot":    {isBound: true, nextFormerBorn: 1, orderedBorn: 2, isLong: true, change: func(b *testbed, _ Snapshot, _ []Record) { takeOver(b, b.cell.Snapshot(), nil) }},
		"connection that is found after the restart, no takeover": {isBound: true, nextFormerBorn: 1, orderedBorn: 2, isLong: true, change: func(*testbed, Snapshot, []Record) {}},
		"connection of the next incarnation, no takeover":         {isBound: true, nextFormerBorn: 2, orderedBorn: 2, change: func(*testbed, Snapshot, []Record) {}},
		"connection of the next incarnation":                      {formerBorn: 2, orderedBorn: 2, change: takeOver},
		"new connection":                                          {orderedBorn: 2, change: takeOver},
		"start that has reached the next incarnation":             {orderedBorn: 1, isLong: true, change: takeOver},
	} {
		Convey("A run on a silent endpoint lasts as long as its grant, whoever owns the cell: "+name, t, func() {
			b := newTestbed(1)
			b.advance(600 * time.Second)
			b.answerPoll(0)
			b.submit(firstID, longRunningStep(1))
			start := b.planAndAccept()[0]
			if c.orderedBorn == 2 {
				b.advance(100 * time.Millisecond)
				b.answerPoll(0, ListedRun{Task: start.Task, Run: 1, Percent: 100})
			}
			b.cell.NextPoll(b.now, endpointName(0))
			before := b.cell.Snapshot()
			b.born, b.clock = 2, 20
			b.advance(100 * time.Millisecond)
			l := Listing{Endpoint: endpointName(0), AskedAt: b.now, Born: 2, FormerBorn: c.formerBorn, IsBound: c.isBound, Clock: b.clock}
			if c.orderedBorn == 1 {
				l.Running = []ListedRun{{Task: start.Task, Run: 1, Percent: 100}}
			}
			b.cell.ApplyListing(b.now, l)
			b.cell.Plan(b.now, b.now)
			batch := b.cell.TakeBatch()
			for _, s := range b.cell.ConfirmStored(b.now, batch) {
				b.advance(time.Millisecond)
				b.cell.StartAnswered(b.now, s, Reply{Answer: Accepted, Clock: b.clock})
				start = s
			}
			b.advance(200 * time.Millisecond)
			b.cell.ApplyListing(b.now, Listing{
				Endpoint: endpointName(0), AskedAt: b.now, Born: 2, FormerBorn: c.nextFormerBorn, IsBound: c.isBound, Clock: b.clock,
				Running: []ListedRun{{Task: start.Task, Run: start.Run, Percent: 100}},
			})
			c.change(b, before, append(batch.Records, b.cell.TakeBatch().Records...))
			if c.isLong {
				So(timeUntilLost(b), ShouldBeBetween, longest-3*time.Second, longest+time.Second)
			} else {
				So(timeUntilLost(b), ShouldBeLessThan, usual)
			}
		})
	}
}
