package jobs

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/fairshare"
)

// placer assigns waiting tasks to endpoints in one planning pass.
type placer struct {
	cell *Cell
	now  time.Time
	// candidates are the endpoints that may get new runs, suspects those that may get
	// only runs of long-running tasks, both sorted by ID.
	candidates, suspects []*Endpoint
	// maxFreeCPU is the largest free processor time of any candidate, in thousandths
	// of a core. Tasks that need more are rejected without a search.
	maxFreeCPU int64
	quarantine quarantine
	// requiredLabels are the labels that unfinished steps require. They matter only for
	// the choice of an endpoint.
	requiredLabels []string
	// startsLeft is how many starts may be added to those under way, hasNoStarts whether there are none.
	// Only passes that place runs count them (countStarts).
	startsLeft  int
	hasNoStarts bool
	// reaches holds the results of Config.AccountReach.
	reaches map[string]Size
	// hasWarm reports whether a candidate is not cold.
	hasWarm bool
	// assumesTickets makes steps of queues with advice suit all endpoints that the policy has not
	// denied, whether they have tickets or not.
	assumesTickets bool
}

func (c *Cell) newPlacer(now time.Time) *placer {
	p := &placer{cell: c, now: now}
	for _, e := range c.endpoints {
		e.updateSuspects()
		if e.heldFor != nil && (e.isEvacuated || e.heldFor.run != nil || !e.heldFor.needsRun() || !e.heldFor.step.Reserved().Fits(e.roomWhenIdle())) {
			e.heldFor = nil
		}
		switch {
		case !e.isSchedulable(now):
		case e.isTrusted(now):
			p.candidates = append(p.candidates, e)
		default:
			p.suspects = append(p.suspects, e)
		}
	}
	slices.SortFunc(p.candidates, byEndpointID)
	slices.SortFunc(p.suspects, byEndpointID)
	p.hasWarm = hasWarmEndpoint(now, p.candidates)
	p.updateMaxFreeCPU()
	return p
}

// requiredLabels returns the labels that the unfinished steps of active jobs require,
// each once.
func (c *Cell) requiredLabels() (labels []string) {
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.Requires != "" && s.tasksLeft > 0 && !slices.Contains(labels, s.Requires) {
					labels = append(labels, s.Requires)
				}
			}
		}
	}
	return labels
}

func (p *placer) updateMaxFreeCPU() {
	p.maxFreeCPU = 0
	for _, e := range p.candidates {
		p.maxFreeCPU = max(p.maxFreeCPU, e.available().CPU)
	}
}

// placeJob places as many waiting tasks of a job as possible, and records since
// when some could not be placed.
func (p *placer) placeJob(j *job) {
	isBlocked := false
	for _, o := range j.sortedOccurrences() {
		for _, s := range o.steps {
			if !s.isReady || len(s.waiting) == 0 {
				continue
			}
			if s.advice.waitingSince.IsZero() {
				s.advice.waitingSince = p.now
			}
			if s.Gang {
				isBlocked = !p.placeGang(s) || isBlocked
				continue
			}
			isBlocked = !p.placeStep(s) || isBlocked
		}
	}
	if !isBlocked {
		j.blockedSince = time.Time{}
	} else if j.blockedSince.IsZero() {
		j.blockedSince = p.now
	}
}

// sortedOccurrences returns the open occurrences, earliest first.
func (j *job) sortedOccurrences() []*occurrence {
	if len(j.occurrences) == 1 {
		for _, o := range j.occurrences {
			return []*occurrence{o}
		}
	}
	all := make([]*occurrence, 0, len(j.occurrences))
	for _, o := range j.occurrences {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *occurrence) int { return cmp.Compare(a.number, b.number) })
	return all
}

// placeStep places waiting tasks of a step until one finds no room, or too many starts are under
// way. It reports whether no task was held back for lack of room or by the client account's limit.
func (p *placer) placeStep(s *step) (isComplete bool) {
	if !p.hasStartsLeft(1) {
		return true
	}
	isBlocked := false
	waiting := s.waiting
	stillWaiting := make([]*task, 0, len(waiting))
	for i := len(waiting) - 1; i >= 0; i-- {
		t := waiting[i]
		if !t.needsRun() {
			continue
		}
		if isBlocked || !p.hasStartsLeft(1) || p.now.Before(t.notBefore) || p.cell.isOrphaned(t) {
			stillWaiting = append(stillWaiting, t)
			continue
		}
		if !p.checkAccountLimit(s, s.Each, func() bool { return p.assumingTickets().chooseEndpoint(t) != nil }) {
			isBlocked = true
			stillWaiting = append(stillWaiting, t)
			continue
		}
		e := p.chooseEndpoint(t)
		if e == nil {
			isBlocked = true
			stillWaiting = append(stillWaiting, t)
			p.hold(t)
			continue
		}
		p.placeRun(t, e, t.lastRun+1)
	}
	slices.Reverse(stillWaiting)
	s.waiting = stillWaiting
	return !isBlocked
}

// isWithinLimit reports whether the client account of a job may use another size.
func (c *Cell) isWithinLimit(j *job, size Size) bool {
	limit, isBounded := c.config.AccountLimit(j.Account)
	return j.Account == "" || !isBounded || c.used[j.Account].Plus(size).Fits(limit)
}

// checkAccountLimit reports whether the client account of a step may use another
// size. If not, and if it is reachable, the size is added to the account's unmet demand, and to its units if its limit
// alone keeps it from being used and hasRoom reports that there is room for it in the cell.
func (p *placer) checkAccountLimit(s *step, size Size, hasRoom func() bool) bool {
	c, j := p.cell, s.occurrence.job
	if c.mayUseLimit(s, size) {
		return true
	}
	if !p.isReachable(j.Account, size) {
		return false
	}
	c.wanted[j.Account] = c.wanted[j.Account].Plus(size)
	if c.isWithinLimit(j, size) {
		return false
	}
	units := c.units[j.Account]
	isUnit := len(units) < maxNeedUnits && !slices.Contains(units, size)
	isHold := p.isLimitHoldDue(s)
	if (isUnit || isHold) && hasRoom() {
		if isUnit {
			c.units[j.Account] = append(units, size)
		}
		if isHold {
			p.holdLimit(s, size)
		}
	}
	return false
}

// chooseEndpoint returns the suitable endpoint with the lowest placement cost, nil
// if there is none. Suspect endpoints without a free probe slot are a last resort.
func (p *placer) chooseEndpoint(t *task) *Endpoint {
	if t.step.Reserved().CPU <= p.maxFreeCPU {
		if e := p.cheapestEndpoint(t, p.candidates); e != nil {
			return e
		}
	}
	if p.mayUseSuspects(t) {
		return p.cheapestEndpoint(t, p.suspects)
	}
	return nil
}

// mayUseSuspects reports whether a task may be placed on suspect endpoints whose probe is
// delayed or under way. A long-running task that has found no other room for a while has
// more to gain there than to lose: if the endpoint still fails, the run ends early.
func (p *placer) mayUseSuspects(t *task) bool {
	since := t.step.occurrence.job.blockedSince
	return t.step.LongRunning && !since.IsZero() && p.now.Sub(since) >= suspectFallbackDelay && !p.now.Before(t.noSuspectBefore)
}

// cheapestEndpoint returns the suitable one of some endpoints with the lowest placement
// cost, nil if there is none.
func (p *placer) cheapestEndpoint(t *task, endpoints []*Endpoint) *Endpoint {
	reserved := t.step.Reserved()
	var best *Endpoint
	var bestCost int64
	for _, e := range endpoints {
		if !reserved.Fits(e.available()) || !p.isSuitable(t, e) || !p.quarantine.isAllowed(p.now, t, e) {
			continue
		}
		if !t.step.LongRunning && !p.isWithinColdShare(e, reserved) {
			continue
		}
		if cost := p.placementCost(t, e, reserved); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// countPlaces returns how many tasks of the size of t the suitable endpoints have room
// for, up to a limit.
func (p *placer) countPlaces(t *task, limit int) (count int) {
	reserved := t.step.Reserved()
	for _, e := range p.candidates {
		if !p.isSuitable(t, e) {
			continue
		}
		for room := e.available(); reserved.Fits(room) && count < limit; room = room.Minus(reserved) {
			count++
		}
	}
	return count
}

// isSuitable reports whether an endpoint meets the requirements of a task other
// than free capacity.
func (p *placer) isSuitable(t *task, e *Endpoint) bool {
	s := t.step
	if e.heldFor != nil && e.heldFor != t && !s.LongRunning {
		return false
	}
	if e.runs[t.name] != nil || !e.suspectUntil.IsZero() && !e.isProbeSlotFree() && !p.mayUseSuspects(t) {
		return false
	}
	if s.Requires != "" && !slices.Contains(e.Labels, s.Requires) {
		return false
	}
	if s.AntiAffinity > 0 && e.countRuns(s) >= s.AntiAffinity {
		return false
	}
	return p.mayUse(s, e)
}

// countRuns returns the number of runs of a step on the endpoint, those that this owner
// did not order among them.
func (e *Endpoint) countRuns(s *step) int {
	count := 0
	for _, o := range e.orphans {
		if o.task != nil && o.task.step == s {
			count++
		}
	}
	for _, r := range e.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// Placement costs, in thousandths of a core. The base cost of short-lived tasks is
// the processor time left free, so that the fullest endpoint is chosen and others
// keep room for large tasks.
const (
	// costFar exceeds the free capacity of any endpoint.
	costFar = 1 << 30
	// costDowngraded, for endpoints that are slow or unreliable, exceeds costFar.
	costDowngraded = 1 << 31
	// costAvoid, for the endpoint of the task's last failure, exceeds all others.
	costAvoid = 1 << 33
	// costFull is for endpoints that have their share of long-running tasks, or
	// stepSpread tasks of the same step.
	costFull = 1 << 24
	// costProbe leaves suspect endpoints to tasks that find no room on a trusted
	// one, or only at a higher cost.
	costProbe = 1 << 20
	// costLabelled leaves endpoints with a label that some steps require to those
	// steps, as long as other endpoints have room. It exceeds the free capacity of
	// any endpoint.
	costLabelled = 1 << 18
)

// longRunningShare is the share of an endpoint's processors that long-running tasks
// may take before another endpoint is preferred.
const longRunningShare = 0.6

// stepSpread is how many tasks of a long-running step are placed on one endpoint
// while others have room. When an endpoint drains, its tasks of one step are
// restarted elsewhere one after the other, which takes a second each.
const stepSpread = 2

// placementCost rates an endpoint with enough room for a task; lower is better.
func (p *placer) placementCost(t *task, e *Endpoint, reserved Size) int64 {
	s := t.step
	cost := t.packingCost(e, reserved)
	if !s.LongRunning && e.performance.isDowngraded() {
		cost = p.downgradedCost(t, e, cost)
	}
	if s.Affinity != "" && s.Affinity != e.Rack {
		cost += costFar
	}
	if t.avoidEndpoint == e.ID {
		cost += costAvoid
	}
	if !s.LongRunning && e.isCold(p.now) {
		cost += costCold
	}
	if s.Requires == "" && p.hasRequiredLabel(e) {
		cost += costLabelled
	}
	if !e.suspectUntil.IsZero() {
		if s.LongRunning {
			cost += costFar
		}
		cost += costProbe
	}
	return cost
}

// packingCost rates an endpoint by the room that a task would leave there.
func (t *task) packingCost(e *Endpoint, reserved Size) int64 {
	switch {
	case t.isSuspect && e.hasSuspectSharing(t):
		// They need not be told apart.
		return 0
	case t.isSuspect:
		// Whatever runs there is lost if the task crashes the endpoint.
		return e.used.CPU
	case t.step.LongRunning && e.countRuns(t.step) >= stepSpread:
		return costFull + e.longRunningCost(reserved)
	case t.step.LongRunning:
		return e.longRunningCost(reserved)
	}
	return e.available().CPU - reserved.CPU
}

// hasRequiredLabel reports whether an endpoint has a label that some step requires.
func (p *placer) hasRequiredLabel(e *Endpoint) bool {
	return slices.ContainsFunc(p.requiredLabels, func(label string) bool { return slices.Contains(e.Labels, label) })
}

// longRunningCost rates an endpoint for a long-running task. It concentrates such
// tasks on few endpoints, so that the others can be switched off, but only up to
// longRunningShare, which leaves room for bursts.
func (e *Endpoint) longRunningCost(reserved Size) int64 {
	longRunning := reserved.CPU + e.longRunningUsage().CPU
	if float64(longRunning) > longRunningShare*float64(e.Capacity.CPU) {
		return costFull + longRunning
	}
	return e.Capacity.CPU - longRunning
}

// isHoldDue reports whether an endpoint may be held for a task that has found no room: at once
// for long-running tasks and suspects, after holdDelay for others.
func (p *placer) isHoldDue(t *task) bool {
	since := t.step.occurrence.job.blockedSince
	hasWaited := !since.IsZero() && p.now.Sub(since) > holdDelay
	return (t.step.LongRunning || t.isSuspect || hasWaited) && !p.now.Before(t.noHoldBefore) && !p.isAboveShare(t)
}

// isAboveShare reports whether a task is beyond the rate or share of its client account while
// accounts contend. Such tasks get what is left: endpoints held for them would be kept from
// the accounts within their share.
func (p *placer) isAboveShare(t *task) bool {
	return t.step.occurrence.job.standing != fairshare.WithinRate && !t.step.LongRunning
}

// hold reserves a whole endpoint for a task that has found no room. A held endpoint gets no
// other runs except long-running ones. It chooses the least used endpoint that is large enough
// once its short-lived work has ended, unless more than a quarter of the candidates
// are held already. A hold ends after maxHoldTime, so that other tasks do not wait
// for one that finds no room for another reason. A task that lacks a ticket has found room unless
// all endpoints are full that the policy may allow.
func (p *placer) hold(t *task) {
	if !p.isHoldDue(t) {
		return
	}
	p = p.assumingTickets()
	var best *Endpoint
	heldCount := 0
	for _, e := range p.candidates {
		if e.heldFor == t {
			if p.now.Sub(e.heldSince) > maxHoldTime {
				t.noHoldBefore = p.now.Add(maxHoldTime)
				return
			}
			e.heldAt = p.now
			return
		}
		if e.heldFor != nil {
			heldCount++
			continue
		}
		if !t.step.Reserved().Fits(e.roomWhenIdle()) || !p.isSuitable(t, e) {
			continue
		}
		if best == nil || e.used.CPU < best.used.CPU {
			best = e
		}
	}
	if best != nil && heldCount <= len(p.candidates)/4 && (!t.step.occurrence.job.Advised || p.chooseEndpoint(t) == nil) {
		best.heldFor, best.heldAt, best.heldSince = t, p.now, p.now
	}
}

// roomWhenIdle returns the capacity that is left once all short-lived runs have ended.
func (e *Endpoint) roomWhenIdle() Size {
	return e.Capacity.Minus(e.orphanUsage).Minus(e.longRunningUsage())
}

// longRunningUsage returns what the runs of long-running tasks reserve.
func (e *Endpoint) longRunningUsage() (usage Size) {
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			usage = usage.Plus(r.reserved)
		}
	}
	return usage
}

// releaseUnusedHolds releases the endpoints whose tasks did not renew the hold in
// this pass: they were placed elsewhere, or wait for something other than room, such
// as the limit of their client account.
func (p *placer) releaseUnusedHolds() {
	for _, e := range p.cell.endpoints {
		if e.heldFor != nil && !e.heldAt.Equal(p.now) {
			e.heldFor = nil
		}
	}
}

// placeRun places a run of a task on an endpoint. Its start is ordered once the
// placement record is stored.
func (p *placer) placeRun(t *task, e *Endpoint, number int) {
	t.lastRun = number
	p.startsLeft, p.hasNoStarts = p.startsLeft-1, false
	r := &run{
		task: t, number: number, endpoint: e, born: e.born, orderedBorn: e.born, phase: placed,
		reserved: t.step.Reserved(), pace: 100, sentPace: 100,
	}
	p.cell.attach(r)
	t.step.advice.unused = AdviceResult{}
	p.endLimitHold(t.step)
	if t.isSuspect {
		e.addSuspect(t)
	}
	if e.heldFor == t {
		e.heldFor = nil
	}
	p.cell.starts = append(p.cell.starts, r)
	p.cell.placed[t.step.occurrence.job.Account]++
	p.cell.records = append(p.cell.records, Record{Placement: &Placement{
		Task: t.name, Run: number, Endpoint: e.ID, Born: e.born, Suspicion: t.suspicion(),
	}})
	if e.available().CPU+r.reserved.CPU >= p.maxFreeCPU {
		p.updateMaxFreeCPU()
	}
}
