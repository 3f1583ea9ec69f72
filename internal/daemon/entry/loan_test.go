package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/units"
)

// A lender counted the units of a killed borrower for 30 s after the loan, whatever the
// config said, and too briefly if only the borrower had a config with a longer run time.
func TestLentUnitsCountUntilTheBorrowersWorkMustHaveEnded(t *testing.T) {
	const renewal = 5 * time.Second
	cases := map[string]struct {
		// lender is the maximum run time in the config of the lender, first and
		// second those in the configs of the borrower at its two Wants.
		lender, first, second time.Duration
		// isLentUntil is when the units are free again, from the first Want.
		isLentUntil time.Duration
	}{
		"the maximum of the config bounds the work":                                         {3 * time.Second, 3 * time.Second, 3 * time.Second, renewal + units.DefaultTerm + 3*time.Second},
		"work of before a lower maximum may still run":                                      {3 * time.Second, 20 * time.Second, 3 * time.Second, units.DefaultTerm + 20*time.Second},
		"a cut-off borrower has an older maximum, which the restarted lender does not know": {3 * time.Second, time.Minute, time.Minute, renewal + units.DefaultTerm + time.Minute},
		"a higher maximum reaches the borrower first":                                       {3 * time.Second, 3 * time.Second, time.Minute, renewal + units.DefaultTerm + time.Minute},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			lender, borrower := newScaledEntry(t, scales["quarter"]), newScaledEntry(t, scales["quarter"])
			applyMaxRunTime(t, lender, c.lender)
			borrower.teams.SetPeers([]string{lender.id})
			start := lender.Now()
			for i, maxRunTime := range []time.Duration{c.first, c.second} {
				applyMaxRunTime(t, borrower, maxRunTime)
				borrower.teams.Account("team-01").SetWaiting(110 + i)
				wants := borrower.teams.Tick(start.Add(time.Duration(i) * renewal))
				So(wants, ShouldHaveLength, 1)
				received := decodeWant(borrower.id, lender.id, wantFrame(groupTeams, wants[0]).GetWant())
				_, isAnswered := lender.teams.ReceiveWant(start.Add(time.Duration(i)*renewal), received)
				So(isAnswered, ShouldBeTrue)
			}
			So(lentUnits(lender, start), ShouldEqual, 11)
			So(lentUnits(lender, start.Add(c.isLentUntil-time.Second)), ShouldEqual, 11)
			So(lentUnits(lender, start.Add(c.isLentUntil+time.Second)), ShouldEqual, 0)
		})
	}
}

// applyMaxRunTime puts a config with the given maximum run time in force at an entry.
func applyMaxRunTime(t *testing.T, e *Entry, maxRunTime time.Duration) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	parsed := scales["quarter"].document()
	parsed.MaxRunTime = document.Duration(maxRunTime)
	config, err := document.NewConfig(e.state.config.Revision, e.state.barrier.Limits(), parsed)
	if err != nil {
		t.Fatal(err)
	}
	e.applyConfig(encode(t, config), unversioned)
}

// lentUnits returns how many units of team-01 an entry counts as lent at the given time.
func lentUnits(e *Entry, now time.Time) (lent uint32) {
	e.teams.Tick(now)
	for _, account := range e.teams.Dump() {
		if account.Name == "team-01" {
			for _, count := range account.Lent {
				lent += count
			}
		}
	}
	return lent
}
