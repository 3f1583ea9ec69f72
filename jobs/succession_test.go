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
