package ledger

import "gitlab.com/chicorypin/chicorypin/jobs"

// Reach returns the largest size that a client account can start next in some cell, when runs have ended that will.
func (l *Ledger) Reach(account string) jobs.Size {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachOf(l.stored[account], ceilingOf(l.accounts[account].Limit))
}

// reachOf returns the largest size that a cell can start next under a limit once runs have ended: all that end by themselves, or those
// that will end soon while less than half of the limit is in use, as tasks must not wait for others for long then. Cells
// without an owner give nothing back.
func (l *Ledger) reachOf(row map[string]allocation, ceiling jobs.Size) jobs.Size {
	isBusy, reach := isHalfUsed(row, ceiling), ceiling
	for cell, a := range row {
		switch {
		case l.unowned[cell]:
			reach = reach.Minus(limited(a.Size, ceiling))
		case isBusy:
			reach = reach.Minus(limited(a.LongRunning, ceiling))
		default:
			reach = reach.Minus(limited(a.Staying, ceiling))
		}
	}
	return maxSize(reach, jobs.Size{})
}

// isHalfUsed reports whether the cells use half of a limit, as far as the document tells.
func isHalfUsed(row map[string]allocation, ceiling jobs.Size) bool {
	used := jobs.Size{}
	for _, a := range row {
		used = used.Plus(limited(a.used(), ceiling))
	}
	return !used.Fits(divided(ceiling, 2))
}

// used returns what a cell uses of its allocation, as far as the document tells.
func (a allocation) used() jobs.Size {
	if a.Claim == nil {
		return a.Size
	}
	return minSize(a.Size, a.Claim.Used)
}

// updateUnowned finds out which cells have no owner. The caller holds l.mu.
func (l *Ledger) updateUnowned() {
	clear(l.unowned)
	if l.IsOwned == nil {
		return
	}
	isChecked := make(map[string]bool)
	for _, row := range l.stored {
		for cell := range row {
			if isChecked[cell] {
				continue
			}
			isChecked[cell] = true
			if !l.IsOwned(cell) {
				l.unowned[cell] = true
			}
		}
	}
}
