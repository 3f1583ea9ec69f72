package units

import (
	"sync/atomic"
	"time"
)

// Permit represents one acquired unit. Its methods are safe for concurrent use.
type Permit struct {
	counter    *counter
	expiry     *atomic.Int64
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

// IsValid returns whether work may still start on the unit at the given time.
// It returns false if the loan has expired, or if the last tick of the ledger is
// older than its pause limit, for example because the process was paused.
func (p *Permit) IsValid(now time.Time) bool {
	return p.ledger.IsTickRecent(now) && p.ledger.isUnexpired(now, p.expiry)
}
