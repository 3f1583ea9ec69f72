package jobs

import (
	"cmp"
	"slices"
	"time"
)

// placer places tasks in one pass.
type placer struct {
	cell       *Cell
	now        time.Time
	candidates []*Endpoint
	// maxFreeCPU is the maxFreeCPU processor time that any endpoint has free.
	maxFreeCPU int64
}

func (c *Cell) newPlacer(now time.Time) *placer {
	p := &placer{cell: c, now: now}
	for _, e := range c.endpoints {
		if e.held != nil && (e.held.run != nil || e.held.step.occurrence.job.isOver() || e.held.isDone) {
			e.held = nil
		}
		if e.canTake(now) && e.isTrusted(now) {
			p.candidates = append(p.candidates, e)
		}
	}
	slices.SortFunc(p.candidates, byEndpointID)
	p.updateMaxFreeCPU()
	return p
}

func (p *placer) updateMaxFreeCPU() {
	p.maxFreeCPU = 0
	for _, e := range p.candidates {
		p.maxFreeCPU = max(p.maxFreeCPU, e.room().CPU)
	}
}

// placeJob places what it can of a job.
func (p *placer) placeJob(j *job) {
	isBlocked := false
	for _, o := range j.sortedOccurrences() {
		for _, s := range o.steps {
			if !s.isReady || len(s.waiting) == 0 {
				continue
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

// sortedOccurrences returns the occurrences in their order.
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
	slices.SortFunc(all, func(a, b *occurrence) int { return cmp.Compare(a.lastRun, b.lastRun) })
	return all
}

func (p *placer) placeStep(s *step) (isWhole bool) {
	isFull := false
	waiting := s.waiting
	kept := make([]*task, 0, len(waiting))
	for i := len(waiting) - 1; i >= 0; i-- {
		t := waiting[i]
		if t.isDone {
			continue
		}
		if isFull || p.now.Before(t.notBefore) {
			kept = append(kept, t)
			continue
		}
		if !p.checkAccountLimit(s.occurrence.job, s.Each) {
			isFull = true
			kept = append(kept, t)
			continue
		}
		e := p.chooseEndpoint(t)
		if e == nil {
			isFull = true
			kept = append(kept, t)
			p.hold(t)
			continue
		}
		p.placeRun(t, e, t.number+1)
	}
	slices.Reverse(kept)
	s.waiting = kept
	return !isFull
}

// checkAccountLimit checks the limit of the job's client account.
func (p *placer) checkAccountLimit(j *job, size Size) bool {
	limit, isBounded := p.cell.config.Entitled(j.Account)
	if j.Account == "" || !isBounded {
		return true
	}
	if p.cell.used[j.Account].Plus(size).Fits(limit) {
		return true
	}
	p.cell.wanted[j.Account] = p.cell.wanted[j.Account].Plus(size)
	return false
}

// chooseEndpoint returns the endpoint where a task fits best, nil if there is none.
func (p *placer) chooseEndpoint(t *task) *Endpoint {
	s := t.step
	reserved := s.Reserved()
	if reserved.CPU > p.maxFreeCPU {
		return nil
	}
	var best *Endpoint
	var bestCost int64
	for _, e := range p.candidates {
		if !reserved.Fits(e.room()) || !p.isSuitable(t, e) {
			continue
		}
		if cost := p.placementCost(t, e, reserved); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// isSuitable checks what the step asks of an endpoint besides room.
func (p *placer) isSuitable(t *task, e *Endpoint) bool {
	s := t.step
	if e.held != nil && e.held != t && !s.LongRunning {
		return false
	}
	if e.runs[t.name] != nil || !e.suspect.IsZero() && !e.isProbeFree() {
		return false
	}
	if s.Requires != "" && !slices.Contains(e.Labels, s.Requires) {
		return false
	}
	if s.AntiAffinity > 0 && e.countRuns(s) >= s.AntiAffinity {
		return false
	}
	if s.occurrence.job.Advised {
		held, ok := s.tickets[e.ID]
		return ok && held.born == e.born && p.now.Before(held.until)
	}
	return true
}

func (e *Endpoint) countRuns(s *step) int {
	count := 0
	for _, r := range e.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// Costs of a placement, in thousandths of a core left free: the endpoint that is
// filled best is taken, since packed endpoints leave room for large tasks.
const (
	// costFar is more than any endpoint's room.
	costFar = 1 << 30
	// costAvoid is for the endpoint of the last failure, worse than being far.
	costAvoid = 1 << 31
	// costFull is for endpoints that have their share of long-running tasks.
	costFull = 1 << 24
	// costProbe keeps suspects for tasks that fit nowhere else or come first.
	costProbe = 1 << 20
)

// longRunningShare is the share of an endpoint that long-running tasks take before
// another endpoint is begun.
const longRunningShare = 0.6

// stepSpread is how many tasks of a long-running step share an endpoint where
// others have room: they leave it one after the other, a second each.
const stepSpread = 2

func (p *placer) placementCost(t *task, e *Endpoint, reserved Size) int64 {
	s := t.step
	free := e.room().CPU - reserved.CPU
	cost := free
	if s.LongRunning {
		cost = e.longRunningCost(reserved)
		if e.countRuns(s) >= stepSpread {
			cost += costFull
		}
	}
	if s.Affinity != "" && s.Affinity != e.Rack {
		cost += costFar
	}
	if t.avoidEndpoint == e.ID {
		cost += costAvoid
	}
	if !e.suspect.IsZero() {
		if s.LongRunning {
			cost += costFar
		}
		cost += costProbe
	}
	return cost
}

// longRunningCost gathers long-running tasks on few endpoints, so that the others
// can be switched off, up to a share that leaves room for their bursts.
func (e *Endpoint) longRunningCost(reserved Size) int64 {
	taken := reserved.CPU
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			taken += r.reserved.CPU
		}
	}
	if float64(taken) > longRunningShare*float64(e.Capacity.CPU) {
		return costFull + taken
	}
	return e.Capacity.CPU - taken
}

// hold keeps an endpoint free for a task that has found no room for a while.
func (p *placer) hold(t *task) {
	j := t.step.occurrence.job
	isLong := t.step.LongRunning || !j.blockedSince.IsZero() && p.now.Sub(j.blockedSince) > holdDelay
	if !isLong {
		return
	}
	var best *Endpoint
	held := 0
	for _, e := range p.candidates {
		if e.held == t {
			e.heldAt = p.now
			return
		}
		if e.held != nil {
			held++
			continue
		}
		if !t.step.Reserved().Fits(e.Capacity) || !p.isSuitable(t, e) {
			continue
		}
		if best == nil || e.used.CPU < best.used.CPU {
			best = e
		}
	}
	if best != nil && held <= len(p.candidates)/4 {
		best.held, best.heldAt = t, p.now
	}
}

// releaseUnusedHolds frees the endpoints whose tasks did not ask for them in this pass:
// they were placed elsewhere, or wait for something else than room, such as the
// limit of their client account.
func (p *placer) releaseUnusedHolds() {
	for _, e := range p.cell.endpoints {
		if e.held != nil && !e.heldAt.Equal(p.now) {
			e.held = nil
		}
	}
}

// placeRun decides on a run.
func (p *placer) placeRun(t *task, e *Endpoint, number int) {
	t.number = number
	r := &run{
		task: t, number: number, endpoint: e, born: e.born, phase: placed,
		reserved: t.step.Reserved(), pace: 100, sentPace: 100,
	}
	p.cell.attach(r)
	if e.held == t {
		e.held = nil
	}
	p.cell.starts = append(p.cell.starts, r)
	p.cell.records = append(p.cell.records, Record{Put: &Placement{Task: t.name, Run: number, Endpoint: e.ID, Born: e.born}})
	if e.room().CPU+r.reserved.CPU >= p.maxFreeCPU {
		p.updateMaxFreeCPU()
	}
}
