package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/fairshare"
)

// accountLoad is the short-lived work of a client account.
type accountLoad struct {
	jobs int
	// used, within and total are the sizes of fairshare.Demand.
	used, within, total Size
	// withinWork, work and waiting are those of Demand.WithinBacklog, Backlog and Waiting, in
	// shares times seconds.
	withinWork, work, waiting float64
	// entitlement is that of the last update, ahead the size of the jobs that come before
	// the next one in updateStandings.
	entitlement fairshare.Entitlement
	ahead       Size
}

// updateShares passes the demand of all accounts to the shares. Without weights it passes
// none, so there is no contention.
func (c *Cell) updateShares(now time.Time) {
	if c.config.AccountWeight == nil {
		return
	}
	c.shareUnits = unitsOf(c.shareCapacity(now))
	for _, load := range c.accountLoads {
		*load = accountLoad{}
	}
	for _, j := range c.active {
		if j.isOver() || j.IsLongRunning() {
			continue
		}
		if j.load == nil {
			j.load = c.accountLoad(j.Account)
		}
		c.addLoad(j)
	}
	maps.DeleteFunc(c.accountLoads, func(_ string, load *accountLoad) bool { return load.jobs == 0 })
	c.shares.Update(now, c.shareDemands())
	for account, load := range c.accountLoads {
		load.entitlement = c.shares.Entitlement(account)
	}
}

// accountLoad returns the load of an account that has jobs.
func (c *Cell) accountLoad(account string) *accountLoad {
	load := c.accountLoads[account]
	if load == nil {
		load = &accountLoad{}
		c.accountLoads[account] = load
	}
	return load
}

// shareCapacity returns what the endpoints that take new runs have for short-lived work, less
// what placement leaves free on average.
func (c *Cell) shareCapacity(now time.Time) (total Size) {
	for _, e := range c.endpoints {
		if e.isSchedulable(now) {
			total = total.Plus(e.Capacity.Minus(e.longRunningUsage()))
		}
	}
	usable := func(amount int64) int64 { return max(int64(float64(amount)*usableShare), 0) }
	return Size{CPU: usable(total.CPU), Memory: usable(total.Memory), GPUs: max(total.GPUs, 0)}
}

// addLoad adds a job to the load of its account. Waiting tasks of jobs that cannot meet their
// objective do not count: they get what room is left.
func (c *Cell) addLoad(j *job) {
	load, present := j.load, c.present(j)
	load.jobs++
	load.used = load.used.Plus(present.used)
	j.need = present.used.Plus(present.waiting)
	if j.rank.class > 1 {
		present = presentLoad{used: present.used}
	}
	need := present.used.Plus(present.waiting)
	load.total = load.total.Plus(need)
	load.work += present.work * unfinishedShare
	load.waiting += present.waitingWork
	if !j.isBeyondRate {
		load.within = load.within.Plus(need)
		load.withinWork += present.work * unfinishedShare
	}
}

// presentLoad is the load of a job.
type presentLoad struct {
	// used is what its runs reserve, waiting what its tasks need that could run now and have
	// no run.
	used, waiting Size
	// work is the unfinished work of all tasks, waitingWork that of those in waiting, in
	// shares of the cell times seconds.
	work, waitingWork float64
}

func (c *Cell) present(j *job) (load presentLoad) {
	// Most jobs have a single occurrence, and a look-up takes less time than an iteration.
	if o := j.occurrences[0]; o != nil && len(j.occurrences) == 1 {
		c.addPresent(&load, j, o)
		return load
	}
	for _, o := range j.occurrences {
		c.addPresent(&load, j, o)
	}
	return load
}

// addPresent adds an occurrence of a job to its load.
func (c *Cell) addPresent(load *presentLoad, j *job, o *occurrence) {
	for _, s := range o.steps {
		if s.tasksLeft == 0 {
			continue
		}
		each := s.Reserved()
		taskWork := each.dominantShare(c.shareUnits) * c.runTime(j, s.number).Seconds()
		load.work += float64(s.tasksLeft) * taskWork
		if !s.isReady {
			continue
		}
		count := min(len(s.waiting), s.tasksLeft-s.givenUp)
		load.waiting = load.waiting.Plus(each.Times(int64(count)))
		load.used = load.used.Plus(each.Times(int64(s.tasksLeft - s.givenUp - count)))
		load.waitingWork += float64(count) * taskWork
	}
}

// remainingShareWork estimates the work of a submitted job in shares of the cell times
// seconds.
func (c *Cell) remainingShareWork(j *job) (work float64) {
	for i := range j.Steps {
		s := &j.Steps[i]
		work += float64(s.Count) * s.Reserved().dominantShare(c.shareUnits) * c.runTime(j, i).Seconds()
	}
	return work
}

// shareUnits are the fractions of a capacity that the units of Size are. Multiplying by them
// takes less time than dividing by the capacity for each task.
type shareUnits struct{ cpu, memory, gpu float64 }

// unitsOf returns the units of a capacity. A unit of a resource that it does not have counts as
// all of it.
func unitsOf(capacity Size) shareUnits {
	fraction := func(amount int64) float64 { return 1 / float64(max(amount, 1)) }
	return shareUnits{cpu: fraction(capacity.CPU), memory: fraction(capacity.Memory), gpu: fraction(capacity.GPUs)}
}

// dominantShare returns the largest of the fractions that a size takes of a capacity.
func (s Size) dominantShare(units shareUnits) float64 {
	return max(float64(s.CPU)*units.cpu, float64(s.Memory)*units.memory, float64(s.GPUs)*units.gpu, 0)
}

// shareDemands returns the demand of all accounts, sorted by name, and nil if none has a
// weight. Jobs of no account are entitled to as much as all accounts together.
func (c *Cell) shareDemands() (demands []fairshare.Demand) {
	weights := 0.0
	for account, load := range c.accountLoads {
		d := fairshare.Demand{
			Account: account, Used: load.used.dominantShare(c.shareUnits), Within: load.within.dominantShare(c.shareUnits),
			Total: load.total.dominantShare(c.shareUnits), WithinBacklog: load.withinWork, Backlog: load.work, Waiting: load.waiting,
		}
		if account != "" {
			d.Weight = c.config.AccountWeight(account)
			weights += d.Weight
			if limit, isBounded := c.config.AccountLimit(account); isBounded {
				d.Total = max(min(d.Total, limit.dominantShare(c.shareUnits)), d.Used)
				d.Within = min(d.Within, d.Total)
			}
		}
		demands = append(demands, d)
	}
	if weights == 0 {
		return nil
	}
	slices.SortFunc(demands, func(a, b fairshare.Demand) int { return cmp.Compare(a.Account, b.Account) })
	if demands[0].Account == "" {
		demands[0].Weight = weights
	}
	return demands
}

// orderByShare sorts the active jobs, which are in the order of rankKey, by class and then by
// the standing of their accounts, while accounts contend for the cell.
func (c *Cell) orderByShare(now time.Time) {
	if c.config.AccountWeight == nil {
		return
	}
	c.updateShares(now)
	if !c.shares.IsContended() {
		for _, j := range c.active {
			j.standing = fairshare.WithinRate
		}
		return
	}
	c.updateStandings()
	c.orderByStanding()
}

// orderByStanding sorts jobs stably by class, then by standing. There are a dozen values, so
// the jobs are distributed by value, which takes less time than a sort.
func (c *Cell) orderByStanding() {
	const standings = int(fairshare.AboveShare) + 1
	value := func(j *job) int { return j.rank.class*standings + int(j.standing) }
	var starts [4*standings + 1]int
	for _, j := range c.active {
		starts[value(j)+1]++
	}
	for i := 1; i < len(starts); i++ {
		starts[i] += starts[i-1]
	}
	c.ordered = append(c.ordered[:0], c.active...)
	for _, j := range c.ordered {
		v := value(j)
		c.active[starts[v]] = j
		starts[v]++
	}
	clear(c.ordered)
}

// updateStandings fills the share of each account with its jobs: those that have begun
// first, so that none stays half done, then those within the account's rate, then the others.
func (c *Cell) updateStandings() {
	var within, beyond []*job
	for _, j := range c.active {
		switch {
		case j.IsLongRunning():
		case j.hasBegun:
			c.updateStanding(j)
		case !j.isBeyondRate:
			within = append(within, j)
		default:
			beyond = append(beyond, j)
		}
	}
	for _, j := range within {
		c.updateStanding(j)
	}
	for _, j := range beyond {
		c.updateStanding(j)
	}
}

// updateStanding sets the standing of the next job of its account.
func (c *Cell) updateStanding(j *job) {
	j.standing = j.load.entitlement.Standing(!j.isBeyondRate, j.load.ahead.dominantShare(c.shareUnits))
	j.load.ahead = j.load.ahead.Plus(j.need)
}

// addShareBacklog counts a job that was accepted since the last planning pass.
func (c *Cell) addShareBacklog(j *job) {
	if c.config.AccountWeight != nil {
		c.shares.AddBacklog(j.Account, !j.isBeyondRate, c.remainingShareWork(j)*unfinishedShare)
	}
}

// waitByShare returns how long a submitted job will wait. queueWait is the wait behind all
// accepted jobs. Jobs within the rate of their account need not wait for those of accounts
// above their share, and while accounts contend, the others wait for their account's share.
func (c *Cell) waitByShare(now time.Time, j *job, queueWait time.Duration) time.Duration {
	if c.config.AccountWeight == nil {
		return queueWait
	}
	if now.Sub(c.shares.UpdatedAt()) > maxLoadAge {
		c.updateShares(now)
	}
	j.isBeyondRate = !c.isWithinRate(now, j)
	switch {
	case !c.shares.HasOthers(j.Account):
		return queueWait
	case !j.isBeyondRate:
		return min(queueWait, c.shares.Wait(j.Account, true))
	case c.shares.IsContended():
		return c.shares.Wait(j.Account, false)
	default:
		return queueWait
	}
}

// isWithinRate reports whether an attempt to submit a job is within the rate of its account,
// or an earlier one was.
func (c *Cell) isWithinRate(now time.Time, j *job) bool {
	if j.Account == "" {
		return true
	}
	attempts, isKnown := c.arrivals.attempts[j.ID]
	if isKnown && attempts.hasTakenRate {
		return true
	}
	attempts.hasTakenRate = c.shares.TakeRate(now, j.Account, c.config.AccountWeight(j.Account))
	attempts.isBeyondRate = !attempts.hasTakenRate
	c.arrivals.attempts[j.ID] = attempts
	return attempts.hasTakenRate
}

// rateRestored marks the restored jobs of each account beyond one second's worth of its rate.
// When they arrived is not stored, and a surge would otherwise count as within the rate of its
// account.
func (c *Cell) rateRestored() {
	if c.config.AccountWeight == nil {
		return
	}
	for _, j := range c.active {
		if !j.isOver() && !j.IsLongRunning() && j.Account != "" {
			j.isBeyondRate = !c.shares.TakeRate(c.config.Inherited, j.Account, c.config.AccountWeight(j.Account))
		}
	}
}

// retryByShare returns when the submitter of a rejected job should return: after queueRetry,
// which is that of waitByShare, or for work beyond the rate while accounts contend, after the
// submitters of its account that were rejected before.
func (c *Cell) retryByShare(now time.Time, j *job, queueRetry time.Duration) time.Duration {
	if c.config.AccountWeight == nil || !c.shares.IsContended() {
		return queueRetry
	}
	work := c.remainingShareWork(j)
	if j.arrived.Equal(now) {
		c.shares.AddRejected(j.Account, work)
	}
	if !j.isBeyondRate {
		return queueRetry
	}
	return c.shares.RetryAfter(now, j.Account, work, queueRetry, maxRetry)
}
