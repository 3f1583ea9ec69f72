package jobs

import "time"

// minStay is for how long a run has been at work when it is not expected to end soon.
const minStay = 3 * time.Second

// stayingUsage returns the sizes of the runs that will not end soon, and of those among them that are of long-running tasks, by client
// account.
func (c *Cell) stayingUsage() (staying, longRunning map[string]Size) {
	staying, longRunning = make(map[string]Size), make(map[string]Size)
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			s := r.task.step
			account := s.occurrence.job.Account
			if s.LongRunning {
				longRunning[account] = longRunning[account].Plus(s.Each)
			}
			if s.LongRunning || !r.confirmedAt.IsZero() && c.plannedAt.Sub(r.confirmedAt) >= minStay {
				staying[account] = staying[account].Plus(s.Each)
			}
		}
	}
	return staying, longRunning
}

// isReachable reports whether a client account can ever start a size under its limit while the runs go on that will not end soon. It is
// true if what other cells use is not known.
func (p *placer) isReachable(account string, size Size) bool {
	if p.cell.config.AccountReach == nil {
		return true
	}
	reach, isKnown := p.reaches[account]
	if !isKnown {
		reach = p.cell.config.AccountReach(account)
		if p.reaches == nil {
			p.reaches = make(map[string]Size)
		}
		p.reaches[account] = reach
	}
	return size.Fits(reach)
}

// isHoldOfUse reports whether the end of short-lived tasks can make room for a size under the limit of a client account. What
// isReachable knows is more than that.
func (c *Cell) isHoldOfUse(account string, size Size) bool {
	if c.config.AccountReach != nil {
		return true
	}
	limit, _ := c.config.AccountLimit(account)
	_, longRunning := c.stayingUsage()
	return size.Plus(longRunning[account]).Fits(limit)
}
