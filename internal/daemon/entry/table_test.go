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
		// listed tells whether the platform's list has the holder's instance,
		// replaced whether another process runs on that instance.
		listed   bool
		replaced bool
		silent   time.Duration
		keeps    bool
	}{
		"a lapsed lease alone frees nothing, however long":        {listed: true, silent: 24 * time.Hour, keeps: true},
		"an instance that is gone may still have work running":    {silent: 10 * time.Second, keeps: true},
		"when its work must have ended the slice is free":         {silent: 2 * time.Minute},
		"a process that was replaced may still have work running": {listed: true, replaced: true, silent: 10 * time.Second, keeps: true},
		"when its work must have ended that slice is free too":    {listed: true, replaced: true, silent: 2 * time.Minute},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			e := newScaledEntry(t, scales["quarter"])
			now := e.Now()
			e.state.members[silentHolder].lastHeartbeat = now.Add(-heartbeatTimeout)
			e.state.listedInstances = map[string]platform.Instance{
				"entry-0": {Name: "entry-0", Pool: platform.EntryPool},
			}
			if c.listed {
				e.state.listedInstances["entry-1"] = platform.Instance{Name: "entry-1", Pool: platform.EntryPool}
			}
			if c.replaced {
				m := e.state.member("entry-1.11111111")
				m.Name, m.Centre, m.isRegistered = "entry-1", "centre-1", true
			}
			e.recordGoneHolders(now)
			later := now.Add(c.silent)
			e.recordGoneHolders(later)
			_, keeps := e.desiredHolders(later)[silentHolder]
			So(keeps, ShouldEqual, c.keeps)
		})
	}
}

func TestGainIsUsedAtOnceByTheLastToSettle(t *testing.T) {
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
