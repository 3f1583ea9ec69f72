package ledger

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// Cells that had been busy kept what they did not use any more, so that a task waited for good
// although its account used a small part of its limit.
func TestIdleCellsKeepLimit(t *testing.T) {
	const limit = 1000
	// maxPasses is how many passes a cell may wait: 2.7 s.
	const maxPasses = 9
	for name, c := range map[string]struct {
		cells int
		// peak is what each cell but the last used, one after the other, used what it still
		// uses, wanted what the last one waits for.
		peak, used, wanted int64
	}{
		"five cells that were busy in turn": {cells: 5, peak: 200, wanted: 500},
		"five cells, half in use":           {cells: 5, peak: 200, used: 120, wanted: 200},
		"ten idle cells":                    {cells: 10, wanted: 500},
	} {
		Convey("A cell gets what the others do not use any more: "+name, t, func() {
			s := keyvalue.New()
			entries, cells := make([]*Ledger, c.cells), make([]Cell, c.cells)
			for i := range entries {
				entries[i] = New(s.Client(nil), discardLog())
				entries[i].SetSetup(setupWithLimit(limit))
				cell := fmt.Sprintf("c%d", i)
				cells[i] = Cell{Name: cell, Condition: takeOwnership(s, cell), Needs: needsOf(0, 0)}
			}
			balance := func() {
				for i := range entries {
					So(entries[i].Balance(context.Background(), cells[i:i+1]), ShouldBeNil)
				}
			}
			last := c.cells - 1
			for i := range last {
				cells[i].Needs = needsOf(0, c.peak)
				balance()
				cells[i].Needs = needsOf(c.used, 0)
				balance()
			}
			cells[last].Needs = needsOf(0, c.wanted)
			passes := 0
			for ; passes < 100; passes++ {
				if allocation, _ := entries[last].Allocation(cells[last].Name, "a"); allocation.CPU >= c.wanted {
					break
				}
				balance()
			}
			So(passes, ShouldBeLessThanOrEqualTo, maxPasses)
		})
	}
}

// TestLoweredLimitKeepsTasksWaiting guards against a limit that is set or lowered and cannot be
// used for seconds, although less than half of it is in use.
func TestLoweredLimitKeepsTasksWaiting(t *testing.T) {
	const limit, wanted, maxPasses = 1000, 100, 9
	for name, earlier := range map[string]int64{"set": 0, "lowered": 10 * limit, "lowered a little": 1100} {
		for work, wants := range map[string]bool{"while all cells wait": true, "while one cell waits": false} {
			Convey("A cell gets what it needs of a limit that is "+name+" "+work, t, func() {
				s := keyvalue.New()
				entries, cells := make([]*Ledger, 5), make([]Cell, 5)
				for i := range entries {
					entries[i] = New(s.Client(nil), discardLog())
					entries[i].SetSetup(setupWithLimit(earlier))
					cell := fmt.Sprintf("c%d", i)
					cells[i] = Cell{Name: cell, Condition: takeOwnership(s, cell), Needs: needsOf(0, 80)}
				}
				balance := func() {
					for i := range entries {
						So(entries[i].Balance(context.Background(), cells[i:i+1]), ShouldBeNil)
					}
				}
				balance()
				for i := range entries {
					cells[i].Needs = needsOf(80, 0)
					if wants || i == 2 {
						cells[i].Needs = needsOf(80, wanted)
					}
				}
				balance()
				for _, l := range entries {
					l.SetSetup(setupWithLimit(limit))
				}
				passes := 0
				for ; passes < 100; passes++ {
					if allocation, _ := entries[2].Allocation("c2", "a"); allocation.CPU >= 80+wanted {
						break
					}
					balance()
				}
				So(passes, ShouldBeLessThanOrEqualTo, maxPasses)
			})
		}
	}
}
