package units

import (
	"math"
	"sync/atomic"
	"time"
)

// Account holds the units of one resource that a member owns or has borrowed.
// Its methods are safe for concurrent use and take no lock.
type Account struct {
	name    string
	ledger  *Ledger
	own     cell
	loans   atomic.Pointer[[]*loan]
	waiting atomic.Int64

	// The fields below are guarded by the mutex of the ledger.
	share   uint32
	demand  float64
	lenders []string
	lent    map[string]*lending
	// hints tell what each lender last said that it could spare.
	hints map[string]hint
}

// hint is what a lender could spare at a time.
type hint struct {
	spare uint32
	at    time.Time
}

// loan is what one lender lets this member use.
type loan struct {
	lender string
	units  cell
	// until is the end of the term in nanoseconds since the ledger's epoch.
	until atomic.Int64
	// told is how many units the lender counts as lent, as far as it was told;
	// the mutex of the ledger guards it.
	told uint32
}

// lending is what one borrower may be using of this member's units.
type lending struct {
	units uint32
	want  uint32
	until time.Time
}

// forever is the term of units that a member owns.
var forever = func() *atomic.Int64 {
	end := new(atomic.Int64)
	end.Store(math.MaxInt64)
	return end
}()

// Name returns the name of the resource.
func (a *Account) Name() string { return a.name }

// Acquire takes one unit, an own one first. It returns nil if none is free,
// or if the ledger has not been ticked for longer than its pause limit.
func (a *Account) Acquire() *Permit {
	now := a.ledger.config.Now()
	if !a.ledger.IsAwake(now) {
		return nil
	}
	if a.own.take() {
		return &Permit{cell: &a.own, until: forever, ledger: a.ledger}
	}
	for _, l := range *a.loans.Load() {
		if permit := a.borrow(now, l); permit != nil {
			return permit
		}
	}
	return nil
}

func (a *Account) borrow(now time.Time, l *loan) *Permit {
	if !a.ledger.isBefore(now, &l.until) || !l.units.take() {
		return nil
	}
	// The term may have ended between the check and the taking.
	if !a.ledger.isBefore(a.ledger.config.Now(), &l.until) {
		l.units.free()
		return nil
	}
	return &Permit{cell: &l.units, until: &l.until, ledger: a.ledger}
}

// SetWaiting tells how many units could be put to use at once if they were
// free. The ledger asks other members for them.
func (a *Account) SetWaiting(count int) { a.waiting.Store(int64(count)) }

// Used returns how many units are in use here, own and borrowed.
func (a *Account) Used() (used uint32) {
	_, used = a.own.load()
	for _, l := range *a.loans.Load() {
		_, borrowed := l.units.load()
		used += borrowed
	}
	return used
}

// Held returns how many units this member may use, own and borrowed.
func (a *Account) Held() (held uint32) {
	held, _ = a.own.load()
	for _, l := range *a.loans.Load() {
		limit, _ := l.units.load()
		held += limit
	}
	return held
}

// Free returns how many units Acquire could take now.
func (a *Account) Free() uint32 {
	limit, used := a.own.load()
	free := saturatingSub(limit, used)
	now := a.ledger.config.Now()
	for _, l := range *a.loans.Load() {
		if a.ledger.isBefore(now, &l.until) {
			limit, used = l.units.load()
			free += saturatingSub(limit, used)
		}
	}
	return free
}

// isQuiet returns whether there is nothing to trade: no demand that the own
// units do not cover, and nothing lent or borrowed.
func (a *Account) isQuiet() bool {
	limit, used := a.own.load()
	return used <= limit && a.waiting.Load() == 0 && a.demand <= float64(limit) &&
		len(a.lent) == 0 && len(*a.loans.Load()) == 0
}

// lentTotal returns how many units other members may be using.
func (a *Account) lentTotal() (total uint32) {
	for _, l := range a.lent {
		total += l.units
	}
	return total
}

// refresh makes the cap of the own units follow the share and the lendings.
func (a *Account) refresh() {
	a.own.setLimit(saturatingSub(a.share, a.lentTotal()))
}

// fits returns whether what is in use and lent lies within the share.
func (a *Account) fits(share uint32) bool {
	_, used := a.own.load()
	return used+a.lentTotal() <= share
}

// expire ends lendings whose borrower has been silent for the term and whose
// work has run out since.
func (a *Account) expire(now time.Time, longest time.Duration) {
	for borrower, l := range a.lent {
		if now.After(l.until.Add(longest)) {
			delete(a.lent, borrower)
		}
	}
	a.refresh()
}

// answer applies one item of a Want and returns what is lent from now on.
func (a *Account) answer(borrower string, item WantItem, until time.Time) LendItem {
	l := a.lent[borrower]
	if l == nil {
		l = &lending{}
		a.lent[borrower] = l
	}
	l.units, l.want, l.until = item.Hold, item.Want, until
	a.refresh()

	target, reserved := a.entitle(item.Want)
	units := target
	if target > item.Hold {
		extra := min(target-item.Hold, saturatingSub(a.freeOwn(), reserved))
		extra = a.own.cede(extra)
		l.units = item.Hold + extra
		units = l.units
	}
	if l.units == 0 && l.want == 0 {
		delete(a.lent, borrower)
	}
	return LendItem{Name: a.name, Units: units, Spare: saturatingSub(a.freeOwn(), reserved)}
}

// entitle divides the share by max-min fairness among the borrowers and the
// member itself. It returns what a borrower that wants so many units may have,
// and how many free units are kept for the member's own waiting work.
func (a *Account) entitle(want uint32) (target, reserved uint32) {
	if a.ledger.isWithdrawn {
		return 0, a.freeOwn()
	}
	_, used := a.own.load()
	claim := used + uint32(max(a.waiting.Load(), 0))
	claims := []uint32{claim}
	for _, l := range a.lent {
		claims = append(claims, max(l.want, l.units))
	}
	level := fairLevel(a.share, claims)
	return min(want, level), saturatingSub(min(claim, level), used)
}

func (a *Account) freeOwn() uint32 {
	limit, used := a.own.load()
	return saturatingSub(limit, used)
}

// loanFrom returns the loan of the lender, adding an empty one if there is none.
func (a *Account) loanFrom(lender string) *loan {
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

// dropLoans forgets loans without units, once their lenders know.
func (a *Account) dropLoans() {
	current := *a.loans.Load()
	next := make([]*loan, 0, len(current))
	for _, l := range current {
		if l.units.word.Load() != 0 || l.told > 0 {
			next = append(next, l)
		}
	}
	if len(next) < len(current) {
		a.loans.Store(&next)
	}
}

// fairLevel returns the largest level such that the claims, each cut to the
// level, add up to no more than total.
func fairLevel(total uint32, claims []uint32) uint32 {
	low, high := uint32(0), total
	for low < high {
		middle := high - (high-low)/2
		if cutSum(claims, middle) <= uint64(total) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func cutSum(claims []uint32, level uint32) (sum uint64) {
	for _, claim := range claims {
		sum += uint64(min(claim, level))
	}
	return sum
}

func saturatingSub(a, b uint32) uint32 {
	if a < b {
		return 0
	}
	return a - b
}
