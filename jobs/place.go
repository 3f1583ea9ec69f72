package jobs

import (
	"cmp"
	"slices"
	"time"
)

// placer places tasks in one pass.
type placer struct {
	c    *Cell
	now  time.Time
	free []*Endpoint
	// most is the most processor time that any endpoint has free.
	most int64
}

func (c *Cell) newPlacer(now time.Time) *placer {
	p := &placer{c: c, now: now}
	for _, e := range c.endpoints {
		if e.heldFor != nil && (e.heldFor.run != nil || e.heldFor.step.occurrence.job.isOver() || e.heldFor.isDone) {
			e.heldFor = nil
		}
		if e.isSchedulable(now) && e.isTrusted(now) {
			p.free = append(p.free, e)
		}
	}
	slices.SortFunc(p.free, byEndpointID)
	p.measure()
	return p
}

func (p *placer) measure() {
	p.most = 0
	for _, e := range p.free {
		p.most = max(p.most, e.available().CPU)
	}
}

// placeJob places what it can of a job.
func (p *placer) placeJob(j *job) {
	isBlocked := false
	for _, o := range j.ordered() {
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
		j.blocked = time.Time{}
	} else if j.blocked.IsZero() {
		j.blocked = p.now
	}
}

// ordered returns the occurrences in their order.
func (j *job) ordered() []*occurrence {
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
		if !p.allows(s.occurrence.job, s.Each) {
			isFull = true
			kept = append(kept, t)
			continue
		}
		e := p.choose(t)
		if e == nil {
			isFull = true
			kept = append(kept, t)
			p.hold(t)
			continue
		}
		p.place(t, e, t.number+1)
	}
	slices.Reverse(kept)
	s.waiting = kept
	return !isFull
}

// allows checks the limit of the job's client account.
func (p *placer) allows(j *job, size Size) bool {
	limit, isBounded := p.c.config.Entitled(j.Account)
	if j.Account == "" || !isBounded {
		return true
	}
	if p.c.used[j.Account].Plus(size).Fits(limit) {
		return true
	}
	p.c.wanted[j.Account] = p.c.wanted[j.Account].Plus(size)
	return false
}

// choose returns the endpoint where a task fits best, nil if there is none.
func (p *placer) choose(t *task) *Endpoint {
	s := t.step
	reserved := s.Reserved()
	if reserved.CPU > p.most {
		return nil
	}
	var best *Endpoint
	var bestCost int64
	for _, e := range p.free {
		if !reserved.Fits(e.available()) || !p.suits(t, e) {
			continue
		}
		if cost := p.cost(t, e, reserved); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// suits checks what the step asks of an endpoint besides room.
func (p *placer) suits(t *task, e *Endpoint) bool {
	s := t.step
	if e.heldFor != nil && e.heldFor != t && !s.LongRunning {
		return false
	}
	if e.runs[t.name] != nil || !e.suspectUntil.IsZero() && !e.isProbeSlotFree() {
		return false
	}
	if s.Requires != "" && !slices.Contains(e.Labels, s.Requires) {
		return false
	}
	if s.AntiAffinity > 0 && e.countOf(s) >= s.AntiAffinity {
		return false
	}
	if s.occurrence.job.Advised {
		held, ok := s.tickets[e.ID]
		return ok && held.born == e.born && p.now.Before(held.until)
	}
	return true
}

func (e *Endpoint) countOf(s *step) int {
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

// lastingShare is the share of an endpoint that long-running tasks take before
// another endpoint is begun.
const lastingShare = 0.6

// sameStep is how many tasks of a long-running step share an endpoint where
// others have room: they leave it one after the other, a second each.
const sameStep = 2

func (p *placer) cost(t *task, e *Endpoint, reserved Size) int64 {
	s := t.step
	free := e.available().CPU - reserved.CPU
	cost := free
	if s.LongRunning {
		cost = e.costLasting(reserved)
		if e.countOf(s) >= sameStep {
			cost += costFull
		}
	}
	if s.Affinity != "" && s.Affinity != e.Rack {
		cost += costFar
	}
	if t.avoid == e.ID {
		cost += costAvoid
	}
	if !e.suspectUntil.IsZero() {
		if s.LongRunning {
			cost += costFar
		}
		cost += costProbe
	}
	return cost
}

// costLasting gathers long-running tasks on few endpoints, so that the others
// can be switched off, up to a share that leaves room for their bursts.
func (e *Endpoint) costLasting(reserved Size) int64 {
	taken := reserved.CPU
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			taken += r.reserved.CPU
		}
	}
	if float64(taken) > lastingShare*float64(e.Capacity.CPU) {
		return costFull + taken
	}
	return e.Capacity.CPU - taken
}

// hold keeps an endpoint free for a task that has found no room for a while.
func (p *placer) hold(t *task) {
	j := t.step.occurrence.job
	isLong := t.step.LongRunning || !j.blocked.IsZero() && p.now.Sub(j.blocked) > holdAfter
	if !isLong {
		return
	}
	var best *Endpoint
	held := 0
	for _, e := range p.free {
		if e.heldFor == t {
			e.heldAt = p.now
			return
		}
		if e.heldFor != nil {
			held++
			continue
		}
		if !t.step.Reserved().Fits(e.Capacity) || !p.suits(t, e) {
			continue
		}
		if best == nil || e.used.CPU < best.used.CPU {
			best = e
		}
	}
	if best != nil && held <= len(p.free)/4 {
		best.heldFor, best.heldAt = t, p.now
	}
}

// releaseHeld frees the endpoints whose tasks did not ask for them in this pass:
// they were placed elsewhere, or wait for something else than room, such as the
// limit of their client account.
func (p *placer) releaseHeld() {
	for _, e := range p.c.endpoints {
		if e.heldFor != nil && !e.heldAt.Equal(p.now) {
			e.heldFor = nil
		}
	}
}

// place decides on a run.
func (p *placer) place(t *task, e *Endpoint, number int) {
	t.number = number
	r := &run{
		task: t, number: number, endpoint: e, born: e.born, phase: placed,
		reserved: t.step.Reserved(), pace: 100, sentPace: 100,
	}
	p.c.attach(r)
	if e.heldFor == t {
		e.heldFor = nil
	}
	p.c.starts = append(p.c.starts, r)
	p.c.records = append(p.c.records, Record{Placement: &Placement{Task: t.name, Run: number, Endpoint: e.ID, Born: e.born}})
	if e.available().CPU+r.reserved.CPU >= p.most {
		p.measure()
	}
}
