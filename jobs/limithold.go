package jobs

import "time"

const (
	// limitHoldDelay is how long a job must be blocked before the limit of its client account is kept
	// free for one of its tasks.
	limitHoldDelay = time.Second
	// maxLimitHold is how long that lasts at most, and how long after it there is none. Short-lived tasks that
	// run for longer leave the limit to others meanwhile.
	maxLimitHold = 10 * time.Second
	// maxIdleLimitHold is how long that lasts at most while the account has less than half of what it may use at work,
	// idleLimitHoldDelay how long after it there is none.
	maxIdleLimitHold   = 1500 * time.Millisecond
	idleLimitHoldDelay = 3 * time.Second
)

// limitHold keeps the limit of a client account free for a step that has room in the cell: what else the
// account starts leaves it the size of a task, or of a gang. Otherwise tasks that fit what is left of the
// limit would use up whatever becomes free.
type limitHold struct {
	step *step
	size Size
	// since is when the hold began, renewedAt the last planning pass in which the step needed it.
	since, renewedAt time.Time
	// busyAt is when the account last had half of what it may use in the cell at work, or the hold began.
	busyAt time.Time
}

// mayUseLimit reports whether the client account of a step may use another size for it: one within its
// limit that leaves others the size that the limit is kept free for.
func (c *Cell) mayUseLimit(s *step, size Size) bool {
	j := s.occurrence.job
	if h := c.limitHolds[j.Account]; h != nil && h.step != s {
		size = size.Plus(h.size)
	}
	return c.isWithinLimit(j, size)
}

// isLimitHoldDue reports whether the limit of its client account is kept free for a step, or may be: it
// has waited for long enough, and no other step has the hold.
func (p *placer) isLimitHoldDue(s *step) bool {
	j := s.occurrence.job
	if h := p.cell.limitHolds[j.Account]; h != nil {
		return h.step == s
	}
	return !j.blockedSince.IsZero() && p.now.Sub(j.blockedSince) >= limitHoldDelay && !p.now.Before(s.noLimitHoldBefore)
}

// holdLimit keeps the limit of its client account free for a step that has room but not enough of the
// limit, if the end of short-lived tasks can help.
func (p *placer) holdLimit(s *step, size Size) {
	c, account := p.cell, s.occurrence.job.Account
	if h := c.limitHolds[account]; h != nil {
		h.size, h.renewedAt = size, p.now
		return
	}
	if c.isHoldOfUse(account, size) {
		c.limitHolds[account] = &limitHold{step: s, size: size, since: p.now, renewedAt: p.now, busyAt: p.now}
	}
}

// endLimitHold ends the hold of a step that has started a task. Others have their turn before its next one.
func (p *placer) endLimitHold(s *step) {
	account := s.occurrence.job.Account
	if h := p.cell.limitHolds[account]; h != nil && h.step == s {
		delete(p.cell.limitHolds, account)
		s.noLimitHoldBefore = p.now.Add(limitHoldDelay)
	}
}

// releaseLimitHolds ends the holds whose steps did not need them in this pass, or have had them for too
// long.
func (p *placer) releaseLimitHolds() {
	for account, h := range p.cell.limitHolds {
		if p.cell.isHalfUsed(account) {
			h.busyAt = p.now
		}
		switch {
		case p.now.Sub(h.since) > maxLimitHold:
			h.step.noLimitHoldBefore = p.now.Add(maxLimitHold)
		case p.now.Sub(h.busyAt) > maxIdleLimitHold:
			h.step.noLimitHoldBefore = p.now.Add(idleLimitHoldDelay)
		case h.renewedAt.Equal(p.now):
			continue
		}
		delete(p.cell.limitHolds, account)
	}
}

// isHalfUsed reports whether a client account uses half of what it may in the cell, of some resource.
func (c *Cell) isHalfUsed(account string) bool {
	limit, _ := c.config.AccountLimit(account)
	used := c.used[account].Times(2)
	isHalf := func(used, limit int64) bool { return used > 0 && used >= limit }
	return isHalf(used.CPU, limit.CPU) || isHalf(used.Memory, limit.Memory) || isHalf(used.GPUs, limit.GPUs)
}
