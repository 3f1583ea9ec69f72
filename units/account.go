package units

import (
	"sync/atomic"
	"time"
)

// Account tracks the units of one resource that a member owns, has borrowed or
// has lent. Its exported methods are safe for concurrent use and lock-free.
type Account struct {
	name    string
	ledger  *Ledger
	owned   counter
	loans   atomic.Pointer[[]*loan]
	waiting atomic.Int64

	// The fields below are guarded by ledger.mu.

	// share is the number of units that the member owns, including lent ones.
	share uint32
	// demand is the number of units used and waiting; it decays after a peak.
	demand float64
	// lenders replaces Ledger.peers for this resource unless it is nil.
	lenders []string
	// lent holds the lendings by borrower.
	lent map[string]*lending
	// hints holds the spare units that each lender last reported.
	hints map[string]hint
}

// hint is the number of units that a lender reported as spare, and when the
// report was received.
type hint struct {
	spare uint32
	at    time.Time
}

// loan holds the units that this member has borrowed from one lender.
type loan struct {
	lender string
	units  counter
	// expiry is the end of the term, in nanoseconds since Ledger.created.
	expiry atomic.Int64
	// lapses counts the renewals that came after the expiry.
	lapses atomic.Uint64
	// maxRunTime is the maximum run time in the newest answered Want, in nanoseconds.
	// The lender counts the units for no longer after the expiry.
	maxRunTime atomic.Int64
	// lenderCount is the number of units that the lender counts as lent,
	// according to the last exchange of messages. It is guarded by ledger.mu.
	lenderCount uint32
}

// lending holds the units that one borrower may be using of this member's
// owned units.
type lending struct {
	units uint32
	want  uint32
	// unbacked is how many of the units the borrower holds from before a lapse although
	// this member has used or lent them again. It may not start work on them.
	unbacked uint32
	// expiry is the end of the term, until which the borrower may start work.
	expiry time.Time
	// end is the time after which no work of the borrower can be running on the
	// units. The lending ends earlier only if the borrower returns them.
	end time.Time
}

// Name returns the name of the resource.
func (a *Account) Name() string { return a.name }

// Acquire takes one free unit, owned units before borrowed ones. It returns nil
// if none is free or if the last tick of the ledger is older than its pause
// limit. The caller must release the permit.
func (a *Account) Acquire() *Permit {
	now := a.ledger.config.Now()
	if !a.ledger.IsTickRecent(now) {
		return nil
	}
	if a.owned.acquire() {
		return &Permit{counter: &a.owned, ledger: a.ledger}
	}
	for _, l := range *a.loans.Load() {
		if permit := a.acquireBorrowed(now, l); permit != nil {
			return permit
		}
	}
	return nil
}

// acquireBorrowed takes one unit of the loan. It returns nil if the loan is not
// usable or has no free unit.
func (a *Account) acquireBorrowed(now time.Time, l *loan) *Permit {
	// Read first, so that the permit is not valid if the loan lapses meanwhile.
	lapses := l.lapses.Load()
	if !a.ledger.isUsable(now, l) || !l.units.acquire() {
		return nil
	}
	// The loan may have expired between the check and the acquisition.
	if !a.ledger.isUsable(a.ledger.config.Now(), l) {
		l.units.release()
		return nil
	}
	return &Permit{counter: &l.units, loan: l, lapses: lapses, ledger: a.ledger}
}

// SetWaiting sets the number of additional units that could be used immediately
// if they were free. The next tick of the ledger requests them from lenders.
func (a *Account) SetWaiting(count int) { a.waiting.Store(int64(count)) }

// Used returns the number of owned and borrowed units in use by this member.
func (a *Account) Used() (used uint32) {
	_, used = a.owned.load()
	for _, l := range *a.loans.Load() {
		_, borrowed := l.units.load()
		used += borrowed
	}
	return used
}

// Held returns the number of units this member may use: the owned units that
// are not lent, and the borrowed ones. Loans that have expired but were not
// returned yet count.
func (a *Account) Held() (held uint32) {
	held, _ = a.owned.load()
	for _, l := range *a.loans.Load() {
		limit, _ := l.units.load()
		held += limit
	}
	return held
}

// Free returns the number of owned and borrowed units that are free now. It does
// not consider the pause limit, beyond which Acquire returns nil.
func (a *Account) Free() uint32 {
	limit, used := a.owned.load()
	free := saturatingSub(limit, used)
	now := a.ledger.config.Now()
	for _, l := range *a.loans.Load() {
		if a.ledger.isUsable(now, l) {
			limit, used = l.units.load()
			free += saturatingSub(limit, used)
		}
	}
	return free
}

// isSelfSufficient returns whether the account needs no planning in this tick:
// the owned units cover the demand, and nothing is lent or borrowed.
func (a *Account) isSelfSufficient() bool {
	limit, used := a.owned.load()
	return used <= limit && a.waiting.Load() == 0 && a.demand <= float64(limit) &&
		len(a.lent) == 0 && len(*a.loans.Load()) == 0
}

// lentTotal returns the number of units that borrowers may be using.
func (a *Account) lentTotal() (total uint32) {
	for _, l := range a.lent {
		total += l.units
	}
	return total
}

// updateOwnedLimit sets the limit of the owned units to the share minus the lent
// units.
func (a *Account) updateOwnedLimit() {
	a.owned.setLimit(saturatingSub(a.share, a.lentTotal()))
}

// excess returns by how many the owned units in use and lent exceed the share.
func (a *Account) excess() uint32 {
	_, used := a.owned.load()
	return saturatingSub(used+a.lentTotal(), a.share)
}

// fits returns whether the owned units in use plus the lent units are at most
// share.
func (a *Account) fits(share uint32) bool {
	_, used := a.owned.load()
	return used+a.lentTotal() <= share
}

// expireLendings removes what expired lendings claim beyond their units, and the lendings on
// whose units no work can be running any more.
func (a *Account) expireLendings(now time.Time) {
	for borrower, l := range a.lent {
		if now.After(l.expiry) {
			l.want = l.units
		}
		if l.units == 0 && l.want == 0 || now.After(l.end) {
			delete(a.lent, borrower)
		}
	}
	a.updateOwnedLimit()
}

// applyWantItem records what the borrower holds and wants, lends it more free
// units if it is entitled to them, and returns the item of the reply. Units in
// the reply may be fewer than the borrower holds; those stay counted as lent
// until a later Want reports that the borrower holds fewer. expiry is the end of the term,
// end the time after which no work can be running any more that the borrower starts
// after this Want.
func (a *Account) applyWantItem(borrower string, item WantItem, expiry, end time.Time) LendItem {
	l := a.lent[borrower]
	if l == nil {
		l = &lending{}
		a.lent[borrower] = l
	}
	unbacked := l.unbacked + saturatingSub(item.Hold, l.units)
	l.units, l.want, l.expiry = item.Hold, item.Want, expiry
	// Work that was started under an earlier, higher maximum run time may end later.
	if end.After(l.end) {
		l.end = end
	}
	a.updateOwnedLimit()

	l.unbacked = min(unbacked, item.Hold, a.excess())

	target, reserved := a.entitlement(item.Want)
	units := min(target, item.Hold-l.unbacked)
	if target > item.Hold {
		extra := min(target-item.Hold, saturatingSub(a.freeOwned(), reserved))
		extra = a.owned.shrink(extra) // fewer if units were acquired in the meantime
		l.units += extra
		units += extra
	}
	if l.units == 0 && l.want == 0 {
		delete(a.lent, borrower)
	}
	return LendItem{Name: a.name, Units: units, Spare: saturatingSub(a.freeOwned(), reserved)}
}

// entitlement divides the share among the borrowers and the member itself by
// max-min fairness. target is the number of units that a borrower that wants
// the given number may hold; reserved is the number of free units to keep for
// the member's own waiting work. If lending is stopped, target is 0 and all free
// units are reserved.
func (a *Account) entitlement(want uint32) (target, reserved uint32) {
	if a.ledger.isLendingStopped {
		return 0, a.freeOwned()
	}
	_, used := a.owned.load()
	claim := used + uint32(max(a.waiting.Load(), 0))
	claims := []uint32{claim}
	for _, l := range a.lent {
		claims = append(claims, max(l.want, l.units))
	}
	level := fairLevel(a.share, claims)
	return min(want, level), saturatingSub(min(claim, level), used)
}

// freeOwned returns the number of owned units that are neither lent nor in use.
func (a *Account) freeOwned() uint32 {
	limit, used := a.owned.load()
	return saturatingSub(limit, used)
}

// ensureLoan returns the loan from the lender and adds an empty one if there is
// none. The slice of loans is replaced, not changed, because it is read without
// a lock.
func (a *Account) ensureLoan(lender string) *loan {
	current := *a.loans.Load()
	for _, l := range current {
		if l.lender == lender {
			return l
		}
	}
	added := &loan{lender: lender}
	next := append(append(make([]*loan, 0, len(current)+1), current...), added)
	a.loans.Store(&next)
	return added
}

// dropEmptyLoans removes the loans that have no units, in use or free, and that
// their lenders no longer count as lent.
func (a *Account) dropEmptyLoans() {
	current := *a.loans.Load()
	next := make([]*loan, 0, len(current))
	for _, l := range current {
		if l.units.word.Load() != 0 || l.lenderCount > 0 {
			next = append(next, l)
		}
	}
	if len(next) < len(current) {
		a.loans.Store(&next)
	}
}

// fairLevel returns the largest level, at most total, such that the claims, each
// capped at the level, add up to at most total.
func fairLevel(total uint32, claims []uint32) uint32 {
	low, high := uint32(0), total
	for low < high {
		middle := high - (high-low)/2
		if cappedSum(claims, middle) <= uint64(total) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// cappedSum returns the sum of the claims, each capped at level.
func cappedSum(claims []uint32, level uint32) (sum uint64) {
	for _, claim := range claims {
		sum += uint64(min(claim, level))
	}
	return sum
}

// saturatingSub returns a-b, or 0 if b is greater than a.
func saturatingSub(a, b uint32) uint32 {
	if a < b {
		return 0
	}
	return a - b
}
