package units

import (
	"sync/atomic"
	"time"
)

// Permit is one unit in use.
type Permit struct {
	cell     *cell
	until    *atomic.Int64
	ledger   *Ledger
	released atomic.Bool
}

// Release gives the unit back. It is called once the work is known to have
// ended, or when the longest run time has passed. Later calls do nothing.
func (p *Permit) Release() {
	if p.released.CompareAndSwap(false, true) {
		p.cell.free()
	}
}

// IsValid returns whether work may still start on the unit at the given time.
// It is false after the loan has expired or the process was paused.
func (p *Permit) IsValid(now time.Time) bool {
	return p.ledger.IsAwake(now) && p.ledger.isBefore(now, p.until)
}
