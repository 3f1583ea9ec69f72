package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/units"
)

const silentHolder = "entry-1.00000000"

func TestSliceOfASilentHolder(t *testing.T) {
	cases := map[string]struct {
		// isListed tells whether the platform's list has the holder's instance,
		// isReplaced whether another process runs on that instance.
		isListed      bool
		isReplaced    bool
		silence       time.Duration
		isStillHolder bool
	}{
		"a lapsed lease alone frees nothing, however long":        {isListed: true, silence: 24 * time.Hour, isStillHolder: true},
		"an instance that is gone may still have work running":    {silence: 10 * time.Second, isStillHolder: true},
		"when its work must have ended the slice is free":         {silence: 2 * time.Minute},
		"a process that was replaced may still have work running": {isListed: true, isReplaced: true, silence: 10 * time.Second, isStillHolder: true},
		"when its work must have ended that slice is free too":    {isListed: true, isReplaced: true, silence: 2 * time.Minute},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			e := newScaledEntry(t, scales["quarter"])
			now := e.Now()
			e.state.members[silentHolder].lastHeartbeat = now.Add(-heartbeatTimeout)
			e.state.listedInstances = map[string]platform.Instance{
				"entry-0": {Name: "entry-0", Pool: platform.EntryPool},
			}
			if c.isListed {
				e.state.listedInstances["entry-1"] = platform.Instance{Name: "entry-1", Pool: platform.EntryPool}
			}
			if c.isReplaced {
				m := e.state.member("entry-1.11111111")
				m.Name, m.Centre, m.isRegistered = "entry-1", "centre-1", true
			}
			e.recordGoneHolders(now)
			later := now.Add(c.silence)
			e.recordGoneHolders(later)
			_, isHolder := e.desiredHolders(later)[silentHolder]
			So(isHolder, ShouldEqual, c.isStillHolder)
		})
	}
}

func TestLastToApplyUsesGainedUnitsAtOnce(t *testing.T) {
	Convey("Given a table by which this entry alone holds everything, it uses all units once it has settled", t, func() {
		e := newScaledEntry(t, scales["quarter"])
		account := e.teams.Account("team-01")
		So(account.Held(), ShouldEqual, 100)
		next := TableDocument{
			ID:      "next",
			Tables:  append(e.state.barrier.Tables(), units.NewEqualTable(2, []string{e.id})),
			Holders: map[string]Holder{e.id: {Name: "entry-0", Centre: "centre-0"}},
		}
		e.applyTable(encode(t, next), 2)
		So(e.state.inForce.Table, ShouldEqual, 2)
		So(account.Held(), ShouldEqual, 200)
	})
}
