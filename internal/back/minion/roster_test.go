package minion

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/units"
)

// TestLastSlotLentWhilePicking guards against a crash of the pick, which cut the
// connection of the caller.
func TestLastSlotLentWhilePicking(t *testing.T) {
	Convey("Given the last free slot is lent while a minion is picked, none is picked", t, func() {
		now := time.Unix(1_000_000, 0)
		lend := func() {}
		ledger := units.NewLedger(units.Config{Self: "entry", Now: func() time.Time {
			lend()
			return now
		}})
		ledger.SetShare("worker", 1)
		r := NewRoster(logrus.NewEntry(logrus.New()))
		r.Replace(map[string][]*Minion{"rota": {{Name: "worker", Slots: ledger.Account("worker"), Capacity: 1}}})

		// The account reads its time after its limit, so the first read of the free
		// slots still counts the slot.
		lend = func() { ledger.SetShare("worker", 0) }
		m, permit := r.Pick(now, "rota", "")
		So(m, ShouldBeNil)
		So(permit, ShouldBeNil)
	})
}
