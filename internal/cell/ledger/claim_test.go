package ledger

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// A claim waited for all claims before it to be met, also if there was enough for it beside what they lacked.
func TestClaimWaitsBehindAnotherResource(t *testing.T) {
	ceiling := jobs.Size{CPU: 10, Memory: 10, GPUs: 2}
	for name, c := range map[string]struct {
		// others are the allocations of the other cells.
		others map[string]allocation
		// unit is what the cell waits to start, has its allocation.
		unit, has, gets jobs.Size
		isClaimed       bool
	}{
		"another resource": {
			others: map[string]allocation{
				"a": {Size: jobs.Size{CPU: 2, GPUs: 1}, Claim: &claim{Size: jobs.Size{CPU: 2, GPUs: 2}, Since: 1}},
				"b": {Size: jobs.Size{CPU: 1, GPUs: 1}},
			},
			unit: jobs.Size{CPU: 6, Memory: 3}, gets: jobs.Size{CPU: 6, Memory: 3},
		},
		"enough for both": {
			others: map[string]allocation{
				"a": {Claim: &claim{Size: jobs.Size{CPU: 4, Memory: 8}, Since: 1}}, "b": {Size: jobs.Size{Memory: 4}},
			},
			unit: jobs.Size{CPU: 6}, gets: jobs.Size{CPU: 6},
		},
		"what the other lacks": {
			others: map[string]allocation{
				"a": {Claim: &claim{Size: jobs.Size{CPU: 5, Memory: 8}, Since: 1}}, "b": {Size: jobs.Size{Memory: 4}},
			},
			unit: jobs.Size{CPU: 6}, isClaimed: true,
		},
		"what the other lacks, of what the cell has": {
			others: map[string]allocation{"a": {Size: jobs.Size{CPU: 3}, Claim: &claim{Size: jobs.Size{CPU: 9}, Since: 1}}},
			unit:   jobs.Size{CPU: 2}, has: jobs.Size{CPU: 7}, isClaimed: true,
		},
		"a younger claim": {
			others: map[string]allocation{"a": {Claim: &claim{Size: jobs.Size{CPU: 6}, Since: 9}}},
			unit:   jobs.Size{CPU: 6}, gets: jobs.Size{CPU: 6},
		},
	} {
		Convey("A claim is met if that leaves what the claims before it lack: "+name, t, func() {
			row := map[string]allocation{"own": {Size: c.has, Claim: &claim{Size: c.unit, Since: 5}}}
			for cell, a := range c.others {
				row[cell] = a
			}
			contention := contend(row, ceiling, "own", func(string, *claim) bool { return false })
			next, _ := contention.resolve(position{
				ceiling: ceiling, reach: ceiling, current: row["own"], revision: 10,
				need: jobs.Need{Wanted: c.unit, Units: []jobs.Size{c.unit}},
			}, maxSize(c.has, c.unit))
			So(next.Size, ShouldResemble, c.gets)
			So(next.Claim != nil, ShouldEqual, c.isClaimed)
		})
	}
}

// A cell kept what it had for a claim that the others passed over, so that they waited for it all the same.
func TestPassedOverClaimKeepsItsPart(t *testing.T) {
	ceiling := jobs.Size{CPU: 10}
	for name, isPassedOver := range map[string]bool{"that counts": false, "that is passed over": true} {
		Convey("A cell with a claim gives way to a younger one: the claim of a cell "+name, t, func() {
			own := allocation{Size: jobs.Size{CPU: 7}, Claim: &claim{Size: jobs.Size{CPU: 9}, Since: 1}}
			row := map[string]allocation{
				"own": own, "late": {Size: jobs.Size{CPU: 3}}, "other": {Claim: &claim{Size: jobs.Size{CPU: 4}, Since: 2}},
			}
			contention := contend(row, ceiling, "own", func(cell string, _ *claim) bool { return isPassedOver && cell == "own" })
			next, _ := contention.resolve(position{
				ceiling: ceiling, reach: ceiling, current: own, revision: 10,
				need: jobs.Need{Wanted: jobs.Size{CPU: 9}, Units: []jobs.Size{{CPU: 9}}},
			}, own.Size)
			So(next.CPU < own.CPU, ShouldEqual, isPassedOver)
		})
	}
}

// Cells claimed sizes, and gave way to claims, that no allocation could meet.
func TestReach(t *testing.T) {
	limit := jobs.Size{CPU: 10}
	for name, c := range map[string]struct {
		row   map[string]allocation
		reach int64
	}{
		"nothing":            {map[string]allocation{}, 10},
		"runs that end soon": {map[string]allocation{"a": {Size: jobs.Size{CPU: 6}}}, 10},
		"long-running tasks": {map[string]allocation{"a": {
			Size: jobs.Size{CPU: 6}, LongRunning: jobs.Size{CPU: 3}, Staying: jobs.Size{CPU: 4},
		}}, 7},
		"runs that stay while half of the limit is in use": {map[string]allocation{"a": {Size: jobs.Size{CPU: 6}, Staying: jobs.Size{CPU: 4}}}, 10},
		"runs that stay while less is in use":              {map[string]allocation{"a": {Size: jobs.Size{CPU: 4}, Staying: jobs.Size{CPU: 4}}}, 6},
		"runs that stay while less is in use beside what is kept for a claim": {map[string]allocation{"a": {
			Size: jobs.Size{CPU: 9}, Staying: jobs.Size{CPU: 4}, Claim: &claim{Size: jobs.Size{CPU: 10}, Used: jobs.Size{CPU: 4}},
		}}, 6},
		"a cell without an owner": {map[string]allocation{"lost": {Size: jobs.Size{CPU: 6}}}, 4},
	} {
		Convey("What can be started next is what the limit leaves beside "+name, t, func() {
			l := New(nil, discardLog())
			l.IsOwned = func(cell string) bool { return cell != "lost" }
			l.stored = allocations{"a": c.row}
			l.watchClaims()
			So(l.reachOf(c.row, ceilingOf(limit)).CPU, ShouldEqual, c.reach)
		})
	}
}
