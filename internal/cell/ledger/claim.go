package ledger

import (
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// claimPasses and busyClaimPasses are the numbers of passes for which other cells give
	// way to a claim of a turn: 1.8 s while less than half of the limit is allocated, as
	// tasks must not wait for longer than 3 s then, otherwise 9 s.
	claimPasses     = 6
	busyClaimPasses = 30
	// deferralPasses is for how many passes a claim is passed over after that: 3 s. It doubles
	// each time, up to maxDeferrals times.
	deferralPasses = 10
	maxDeferrals   = 4
	// grantPasses is for how many passes a cell may keep what it has just got until it has
	// started work with it. Cells are planned at least once in each pass.
	grantPasses = 2
)

// allocation is what a cell may use of a limit.
type allocation struct {
	jobs.Size
	// LongRunning is what the cell's long-running tasks use of it, Staying what its runs use that will not end soon, those among
	// them. No other cell can get that.
	LongRunning jobs.Size `json:"lasting,omitzero"`
	Staying     jobs.Size `json:"staying,omitzero"`
	// Claim is nil unless the cell waits for more.
	Claim *claim `json:"claim,omitempty"`
}

// allocations holds the allocations of all cells, by client account and cell.
type allocations map[string]map[string]allocation

// claim is a cell's request for a part of a limit that the other cells use.
type claim struct {
	// Size is the allocation with which the cell can start its next work.
	Size jobs.Size `json:"size"`
	// Since is the revision of the document before the one with the claim.
	Since int64 `json:"since"`
	// Used is what the cell used of the limit when Size was set.
	Used jobs.Size `json:"used,omitzero"`
}

// isOlder reports whether a claim of a cell is met before the claim of another one.
func (c *claim) isOlder(cell string, other *claim, otherCell string) bool {
	if other == nil {
		return true
	}
	return c.Since < other.Since || c.Since == other.Since && cell < otherCell
}

// eachResource applies f to each resource of two sizes.
func eachResource(a, b jobs.Size, f func(a, b int64) int64) jobs.Size {
	return jobs.Size{CPU: f(a.CPU, b.CPU), Memory: f(a.Memory, b.Memory), GPUs: f(a.GPUs, b.GPUs)}
}

// minSize returns the minimum of each resource.
func minSize(a, b jobs.Size) jobs.Size {
	return eachResource(a, b, func(a, b int64) int64 { return min(a, b) })
}

// maxSize returns the maximum of each resource.
func maxSize(a, b jobs.Size) jobs.Size {
	return eachResource(a, b, func(a, b int64) int64 { return max(a, b) })
}

// divided returns a size divided by a number.
func divided(size jobs.Size, divisor int64) jobs.Size {
	return jobs.Size{CPU: size.CPU / divisor, Memory: size.Memory / divisor, GPUs: size.GPUs / divisor}
}

// ceilingOf returns a limit with unbounded in place of the resources that have none.
func ceilingOf(limit jobs.Size) jobs.Size {
	return eachResource(limit, jobs.Size{}, func(limit, _ int64) int64 {
		if limit == 0 {
			return unbounded
		}
		return limit
	})
}

// nextUnit returns the size that a cell has to be able to add to its use to start something;
// isWaiting is false if it waits for nothing within reach.
func nextUnit(need jobs.Need, reach jobs.Size) (unit jobs.Size, isWaiting bool) {
	for _, unit := range need.Units {
		if unit.Fits(reach) {
			return unit, true
		}
	}
	return jobs.Size{}, false
}

// contention is what one cell has to know of the others that share a limit.
type contention struct {
	// free is what the allocations leave of the limit, negative where they exceed it.
	free jobs.Size
	// share is the part of the limit that each cell has which holds or claims some of it.
	share jobs.Size
	// owed is what the claims of other cells lack, owedBefore the part of it that goes before
	// the claim of this cell.
	owed, owedBefore jobs.Size
	// isTurn reports that the oldest of the claims in owed is for more than a share.
	isTurn bool
}

// hasClaims reports whether some cell claims a part of an account's limit.
func hasClaims(row map[string]allocation) bool {
	for _, a := range row {
		if a.Claim != nil {
			return true
		}
	}
	return false
}

// contend returns the contention for a cell. row holds the allocations of an account; claims
// for which isDeferred reports true do not count.
func contend(row map[string]allocation, ceiling jobs.Size, cell string, isDeferred func(cell string, c *claim) bool) (c contention) {
	contenders := int64(0)
	var oldest *claim
	oldestCell := ""
	own := row[cell].Claim
	if own != nil && isDeferred(cell, own) {
		own = nil // It comes after all others.
	}
	c.free = ceiling
	for name, a := range row {
		held := limited(a.Size, ceiling)
		c.free = c.free.Minus(held)
		if !held.IsZero() || a.Claim != nil || name == cell {
			contenders++
		}
		if name == cell || a.Claim == nil || a.Claim.Size.Fits(a.Size) || isDeferred(name, a.Claim) {
			continue
		}
		lacking := maxSize(a.Claim.Size.Minus(a.Size), jobs.Size{})
		c.owed = c.owed.Plus(lacking)
		if a.Claim.isOlder(name, own, cell) {
			c.owedBefore = c.owedBefore.Plus(lacking)
		}
		if oldest == nil || a.Claim.isOlder(name, oldest, oldestCell) {
			oldest, oldestCell = a.Claim, name
		}
	}
	c.share = divided(ceiling, max(contenders, 1))
	c.isTurn = oldest != nil && !oldest.Size.Fits(c.share)
	return c
}

// wholeUnits returns the largest multiple of a unit that fits a size.
func wholeUnits(unit, size jobs.Size) (whole jobs.Size) {
	if unit.IsZero() {
		return jobs.Size{}
	}
	count := eachResource(unit, size, func(unit, size int64) int64 {
		if unit == 0 {
			return unbounded
		}
		return max(size, 0) / unit
	})
	return unit.Times(min(count.CPU, count.Memory, count.GPUs))
}

// position is a cell's part of a limit while it is being adjusted.
type position struct {
	ceiling jobs.Size
	// reach is the largest size that the cell can start next (see reachOf).
	reach    jobs.Size
	current  allocation
	revision int64
	need     jobs.Need
	// floor is what the allocation is not lowered below.
	floor jobs.Size
	// isGranted reports that the cell has just got more and may not have used it yet.
	isGranted bool
}

// resolve changes a proposed allocation of a cell to what the claims of all cells allow. It
// returns the allocation with the claim of the cell, and the size up to which the cell may use it
// from now on, unbounded if it does not have to give way.
func (c contention) resolve(p position, proposed jobs.Size) (next allocation, bound jobs.Size) {
	unit, isWaiting := nextUnit(p.need, p.reach)
	own := wholeUnits(unit, c.share)
	target := p.need.Used.Plus(unit)
	if !own.IsZero() {
		// Within its share a cell gets all that it can use at once.
		target = maxSize(target, minSize(own, p.need.Used.Plus(p.need.Wanted)))
	}
	// Runs of the cell itself may have to end before the unit fits. Others give way meanwhile.
	target = minSize(target, p.ceiling)
	current, free := p.current.Size, maxSize(c.free, jobs.Size{})
	isFirst := isWaiting && c.owedBefore.IsZero()
	// A claim need not wait for older ones that lack something else.
	isNext := isWaiting && c.leavesOwed(unit, target, current.Plus(free))
	// What the claim may take beside the others.
	taken := jobs.Size{}
	if isFirst || isNext {
		taken = minSize(target, current.Plus(free))
	}
	bound = ceilingOf(jobs.Size{})
	switch {
	case c.owed.IsZero():
	case c.owed.Fits(free):
		// What the claims lack is there, and taken by none but their cells.
		proposed = minSize(proposed, maxSize(current.Plus(free.Minus(c.owed)), taken))
	default:
		bound = c.keep(p, target, own, isWaiting, isFirst || isNext)
		proposed = minSize(proposed, maxSize(maxSize(bound, p.floor), taken))
		proposed = maxSize(minSize(proposed, current), taken)
		proposed = maxSize(proposed, minSize(p.floor, current))
	}
	next.Size = withoutLimit(proposed, p.ceiling)
	bound = withoutLimit(bound, p.ceiling)
	isEntitled := own.IsZero() || p.need.Used.Plus(unit).Fits(own)
	if isWaiting && isEntitled && !target.Fits(next.Size) {
		next.Claim = &claim{Size: target, Since: p.revision, Used: p.need.Used}
		if p.current.Claim != nil {
			next.Claim.Since = p.current.Claim.Since
		}
	}
	return next, bound
}

// leavesOwed reports whether a cell that has or can get an available size can use target for a unit and leave what the claims
// before its own lack, in each resource that the unit takes.
func (c contention) leavesOwed(unit, target, available jobs.Size) bool {
	fits := func(unit, target, owed, available int64) bool { return unit == 0 || target+owed <= available }
	return fits(unit.CPU, target.CPU, c.owedBefore.CPU, available.CPU) &&
		fits(unit.Memory, target.Memory, c.owedBefore.Memory, available.Memory) &&
		fits(unit.GPUs, target.GPUs, c.owedBefore.GPUs, available.GPUs)
}

// keep returns what a cell keeps while the claims of others lack more than what is free. own is
// what it may have of its share, target what it needs for its own claim, which isMet reports to
// be there.
func (c contention) keep(p position, target, own jobs.Size, isWaiting, isMet bool) jobs.Size {
	switch {
	case isMet:
		return target
	case p.isGranted:
		return p.current.Size
	case isWaiting && !c.isTurn:
		return own
	}
	return jobs.Size{}
}

// limited returns a size without the resources that have no limit. What is allocated of those is
// no part of a limit.
func limited(size, ceiling jobs.Size) jobs.Size {
	return eachResource(size, ceiling, func(size, ceiling int64) int64 {
		if ceiling == unbounded {
			return 0
		}
		return size
	})
}

// withoutLimit returns a size with unbounded for the resources that have no limit.
func withoutLimit(size, ceiling jobs.Size) jobs.Size {
	return eachResource(size, ceiling, func(size, ceiling int64) int64 {
		if ceiling == unbounded {
			return unbounded
		}
		return size
	})
}

// patience records how long cells have given way to a claim.
type patience struct {
	since int64
	// passes counts the passes in which the claim was the oldest one, idlePasses the last of
	// them in which less than half of the limit was in use.
	passes, idlePasses int
	// deferredUntil is the pass until which the claim does not count, deferrals how often
	// that was so.
	deferredUntil, deferrals int
}

// isDeferred reports whether a claim does not count in a pass.
func (p patience) isDeferred(c *claim, pass int) bool {
	return p.since == c.Since && p.deferredUntil > pass
}

// update counts a pass in which a claim is the oldest one that is not met. isBusy reports that
// half of the limit is in use, at least.
func (p patience) update(c *claim, pass int, isBusy bool) patience {
	if p.since != c.Since {
		p = patience{since: c.Since}
	}
	p.passes++
	p.idlePasses++
	if isBusy {
		p.idlePasses = 0
	}
	if p.idlePasses > claimPasses || p.passes > busyClaimPasses {
		p.passes, p.idlePasses, p.deferredUntil = 0, 0, pass+deferralPasses<<min(p.deferrals, maxDeferrals)
		p.deferrals++
	}
	return p
}

// watchClaims begins a pass: it counts for how long the oldest claims in the document have not
// been met.
func (l *Ledger) watchClaims() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass++
	l.updateUnowned()
	watched := make(map[accountCell]patience, len(l.patience))
	for name, account := range l.accounts {
		row, ceiling := l.stored[name], ceilingOf(account.Limit)
		var oldest accountCell
		for cell, a := range row {
			if a.Claim == nil || a.Claim.Size.Fits(a.Size) || l.unowned[cell] {
				continue
			}
			key := accountCell{name, cell}
			if p, isWatched := l.patience[key]; isWatched {
				watched[key] = p
			}
			first := row[oldest.cell].Claim
			if !watched[key].isDeferred(a.Claim, l.pass) && (first == nil || a.Claim.isOlder(cell, first, oldest.cell)) {
				oldest = key
			}
		}
		if first := row[oldest.cell].Claim; first != nil {
			watched[oldest] = watched[oldest].update(first, l.pass, isHalfUsed(row, ceiling))
			if watched[oldest].isDeferred(first, l.pass) {
				event.LimitClaimPassedOver.Log(l.log, logrus.Fields{
					"account": name, "cell": oldest.cell, "claimed": first.Size, "since": first.Since, "allocated": limited(sumOf(row), ceiling),
				})
			}
		}
	}
	l.patience = watched
}
