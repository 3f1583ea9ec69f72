package units

import (
	"sync/atomic"
	"time"
)

// Permit represents one acquired unit. Its methods are safe for concurrent use.
type Permit struct {
	counter *counter
	// loan is the loan of the unit, nil if the member owns it. lapses is what the loan
	// had counted when the unit was acquired.
	loan       *loan
	lapses     uint64
	ledger     *Ledger
	isReleased atomic.Bool
}

// Release returns the unit. Call it when the work is known to have ended or the
// maximum run time has passed. Repeated calls have no effect.
func (p *Permit) Release() {
	if p.isReleased.CompareAndSwap(false, true) {
		p.counter.release()
	}
}

// IsValid returns whether work that runs for at most maxRunTime may still start on the
// unit at the given time. It returns false if the loan does not cover that run time or has
// expired, even if it was renewed later, since the lender may have used the unit meanwhile.
// It also returns false if the last tick of the ledger is older than its pause limit, for
// example because the process was paused.
func (p *Permit) IsValid(now time.Time, maxRunTime time.Duration) bool {
	return p.ledger.IsTickRecent(now) && (p.loan == nil || p.isCovered(now, maxRunTime))
}

// isCovered returns whether the loan allows work on the unit to start.
func (p *Permit) isCovered(now time.Time, maxRunTime time.Duration) bool {
	// The expiry is read first, since it is set after the other two.
	return p.ledger.isUnexpired(now, &p.loan.expiry) && p.loan.lapses.Load() == p.lapses &&
		int64(maxRunTime) <= p.loan.maxRunTime.Load()
}
