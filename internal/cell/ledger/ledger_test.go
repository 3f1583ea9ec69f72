package ledger

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func limits(cpu int64) *setup.Setup {
	return &setup.Setup{
		Pools:    []setup.Pool{{Name: "c0"}, {Name: "c1"}, {Name: "c2"}},
		Accounts: map[string]setup.Account{"a": {Name: "a", Limit: jobs.Size{CPU: cpu}}},
	}
}

// own makes an owner of a cell in the store.
func own(s *keyvalue.Store, cell string) store.Condition {
	revision, _ := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: "owner/" + cell}}})
	return store.Condition{Key: "owner/" + cell, Revision: revision}
}

func TestLedger(t *testing.T) {
	Convey("A cell that needs more gets what the others leave", t, func() {
		s := keyvalue.New()
		one, two := New(s.Client(nil), quiet()), New(s.Client(nil), quiet())
		one.SetSetup(limits(1000))
		two.SetSetup(limits(1000))
		first := Cell{Name: "c0", Condition: own(s, "c0"), Needs: map[string]jobs.Need{"a": {Wanted: jobs.Size{CPU: 600}}}}
		second := Cell{Name: "c1", Condition: own(s, "c1"), Needs: map[string]jobs.Need{"a": {Wanted: jobs.Size{CPU: 900}}}}
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		part, _ := one.Entitled("c0", "a")
		So(part.CPU, ShouldEqual, 700)
		part, _ = two.Entitled("c1", "a")
		So(part.CPU, ShouldEqual, 300)
		first.Needs = map[string]jobs.Need{"a": {Used: jobs.Size{CPU: 100}}}
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		part, _ = two.Entitled("c1", "a")
		So(part.CPU, ShouldEqual, 800)
	})
	Convey("Without having read the document a cell may use nothing", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), quiet())
		l.SetSetup(limits(1000))
		part, isBounded := l.Entitled("c0", "a")
		So(isBounded, ShouldBeTrue)
		So(part.CPU, ShouldEqual, 0)
	})
	Convey("A resource without a limit is not bounded", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), quiet())
		l.SetSetup(limits(1000))
		So(l.Balance(context.Background(), []Cell{{Name: "c0", Condition: own(s, "c0")}}), ShouldBeNil)
		part, _ := l.Entitled("c0", "a")
		So(part.Memory, ShouldEqual, unbounded)
	})
}

// TestPartsNeverExceedLimits plays entries that own cells in turn, with needs
// that come and go, lost answers and changed limits. What all cells use, each
// within the part that it is entitled to, stays within the highest limit that
// any entry may still go by.
func TestPartsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := keyvalue.New()
		entries := []*Ledger{New(s.Client(nil), quiet()), New(s.Client(nil), quiet())}
		limit, highest := int64(1000), int64(1000)
		for _, l := range entries {
			l.SetSetup(limits(limit))
		}
		owner := map[string]int{}
		conditions := map[string]store.Condition{}
		used, wanted := map[string]int64{}, map[string]int64{}
		take := func(cell string, entry int) {
			owner[cell], conditions[cell] = entry, own(s, cell)
		}
		for i := range 3 {
			take(fmt.Sprintf("c%d", i), i%2)
		}
		cell := func(t *rapid.T) string { return fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "cell")) }
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) { take(cell(t), rapid.IntRange(0, 1).Draw(t, "entry")) },
			"want": func(t *rapid.T) { wanted[cell(t)] = rapid.Int64Range(0, 1200).Draw(t, "wanted") },
			"end":  func(t *rapid.T) { used[cell(t)] = 0 },
			"run": func(t *rapid.T) {
				c := cell(t)
				part, _ := entries[owner[c]].Entitled(c, "a")
				used[c] = max(used[c], min(part.CPU, wanted[c]))
			},
			"lose": func(t *rapid.T) {
				isLost := rapid.Bool().Draw(t, "lost")
				s.Lose(func(store.Change) bool { return isLost })
			},
			"limit": func(t *rapid.T) {
				limit = rapid.Int64Range(500, 1500).Draw(t, "limit")
				highest = max(highest, limit)
				for _, l := range entries {
					l.SetSetup(limits(limit))
				}
			},
			"balance": func(t *rapid.T) {
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				var cells []Cell
				for c, at := range owner {
					if at == entry {
						needs := map[string]jobs.Need{"a": {Used: jobs.Size{CPU: used[c]}, Wanted: jobs.Size{CPU: max(wanted[c]-used[c], 0)}}}
						cells = append(cells, Cell{Name: c, Condition: conditions[c], Needs: needs})
					}
				}
				// Failures leave the parts as they are or lower.
				_ = entries[entry].Balance(context.Background(), cells)
			},
			"": func(t *rapid.T) {
				if sum := used["c0"] + used["c1"] + used["c2"]; sum > highest {
					t.Fatalf("%d of %d are used: %v", sum, highest, used)
				}
			},
		})
	})
}
