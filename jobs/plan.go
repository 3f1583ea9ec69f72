package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// inheritSlack is added to the time that grants of earlier owners may last,
	// for the error of their view of endpoints' clocks.
	inheritSlack = 500 * time.Millisecond
	// lateStart bounds how late a start without an answer may be carried out on
	// another life of its endpoint; starts were seen 12 s late.
	lateStart = 30 * time.Second
	// holdAfter is how long a task finds no room before an endpoint is kept free
	// for it.
	holdAfter = 400 * time.Millisecond
)

// Plan decides what to start, stop and give up now. The wall clock says which
// occurrences of timed jobs are due.
func (c *Cell) Plan(now, wall time.Time) {
	c.expire(now)
	c.beginDue(wall)
	c.findStalled(now)
	c.leaveDraining(now)
	rank := make(map[*job]rankKey, len(c.active))
	for _, j := range c.active {
		rank[j] = c.rank(now, j)
	}
	c.sortActive(func(a, b *job) int { return rank[a].compare(rank[b]) })
	clear(c.wanted)
	p := c.newPlacer(now)
	for _, j := range c.active {
		p.placeJob(j)
	}
}

// rankKey orders jobs: long-running ones first, then those that can still reach
// their objective, then late ones, then the rest; within these by priority, 0
// first, and by the time left to begin.
type rankKey struct {
	class    int
	priority int
	slack    time.Duration
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(cmp.Compare(k.class, o.class), cmp.Compare(k.priority, o.priority), cmp.Compare(k.slack, o.slack))
}

// lateFactor is how many times its objective a job may take until it is worth
// nothing any more.
const lateFactor = 3

func (c *Cell) rank(now time.Time, j *job) rankKey {
	if j.IsLasting() {
		return rankKey{class: 0, priority: j.Priority}
	}
	chain := time.Duration(float64(c.chainLeft(j)) / widthFactor)
	slack := j.due.Sub(now) - chain
	switch {
	case slack >= 0:
		return rankKey{class: 1, priority: j.Priority, slack: slack}
	case now.Add(chain).Sub(j.arrived) < lateFactor*j.due.Sub(j.arrived):
		return rankKey{class: 2, priority: j.Priority, slack: -slack}
	default:
		return rankKey{class: 3, priority: j.Priority, slack: -slack}
	}
}

// expire gives up runs on endpoints that do not answer once nothing can run
// there any more.
func (c *Cell) expire(now time.Time) {
	for _, e := range c.endpoints {
		if len(e.runs) == 0 || e.isReached && now.Sub(e.contact) < contactLimit {
			continue
		}
		for _, r := range sortedRuns(e) {
			if r.phase == placed {
				continue
			}
			if now.After(c.runEnd(r)) {
				c.counts.Lost++
				c.gone(r)
				continue
			}
			if r.task.step.Speculative && r.task.run == r {
				// Copies are allowed, so the task need not wait.
				r.task.run = nil
				if !r.task.isDone && !r.task.step.occurrence.job.isOver() {
					r.task.step.waiting = append(r.task.step.waiting, r.task)
				}
			}
		}
		if len(e.runs) == 0 && !e.isListed {
			delete(c.endpoints, e.ID)
		}
	}
}

// runEnd returns when a run has surely ended if its endpoint never answers again.
func (c *Cell) runEnd(r *run) time.Time {
	b := c.config.Bounds
	if r.phase == inherited {
		longest := time.Duration(float64(b.Grant) / (1 - b.ClockSlack))
		return c.config.Inherited.Add(longest + inheritSlack)
	}
	if r.endpoint.until == 0 {
		return r.ordered.Add(lateStart)
	}
	return r.endpoint.grantEnd(b).Add(inheritSlack)
}

// beginDue begins the occurrences whose time has come.
func (c *Cell) beginDue(wall time.Time) {
	for _, j := range c.active {
		if j.Times == 0 || j.isOver() {
			continue
		}
		for j.next < j.Times {
			due := j.First.Add(time.Duration(j.next) * j.Interval)
			if wall.Before(due) {
				break
			}
			c.begin(j, j.next)
		}
	}
}

// NextDue returns when the next occurrence of a timed job is due on the wall
// clock, zero if there is none.
func (c *Cell) NextDue() (next time.Time) {
	for _, j := range c.active {
		if j.Times == 0 || j.isOver() || j.next >= j.Times {
			continue
		}
		due := j.First.Add(time.Duration(j.next) * j.Interval)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// Limits of a run's progress.
const (
	// stallAfter is how long the progress of a run may stand still.
	stallAfter = 1500 * time.Millisecond
	// stallSlow is the limit for tasks that may have to wait: those that fill, for
	// processors, and members of a gang, for each other.
	stallSlow = 5 * time.Second
	// longestRun is the longest kind of task that is watched: within stallAfter it
	// moves by whole percents.
	longestRun = 60 * time.Second
)

func (s *step) stallLimit() time.Duration {
	if s.Fills || s.Gang {
		return stallSlow
	}
	return stallAfter
}

// findStalled stops runs that make no progress on an endpoint, so that they run
// elsewhere.
func (c *Cell) findStalled(now time.Time) {
	for _, e := range c.endpoints {
		if !e.isReached || now.Sub(e.contact) > idleLook {
			continue
		}
		for _, r := range e.runs {
			s := r.task.step
			if r.phase != running || r.isStopping || s.LongRunning || now.Sub(r.moved) < s.stallLimit() {
				continue
			}
			if c.runTime(s.occurrence.job.Queue, s.number, s.Step) > longestRun {
				continue
			}
			r.task.avoid = e.ID
			e.strike(now)
			c.stop(r, "no progress")
		}
	}
}

// leaveDraining moves long-running tasks off endpoints that leave. They end with
// the endpoint anyway, so it is better to lose them while their steps can spare
// them.
func (c *Cell) leaveDraining(now time.Time) {
	for _, e := range c.endpoints {
		if !e.IsDraining {
			continue
		}
		for _, r := range sortedRuns(e) {
			if r.task.step.LongRunning && r.phase == running && !r.isStopping && c.maySpare(now, r) {
				c.stop(r, "the endpoint leaves")
			}
		}
	}
}

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
		if e.held != nil && (e.held.run != nil || e.held.step.occurrence.job.isOver() || e.held.isDone) {
			e.held = nil
		}
		if e.canTake(now) && e.isTrusted(now) {
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
		p.most = max(p.most, e.room().CPU)
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
		if !reserved.Fits(e.room()) || !p.suits(t, e) {
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
	if e.held != nil && e.held != t && !s.LongRunning {
		return false
	}
	if e.runs[t.name] != nil || !e.suspect.IsZero() && !e.isProbeFree() {
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
	free := e.room().CPU - reserved.CPU
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
	if !e.suspect.IsZero() {
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
		if e.held == t {
			return
		}
		if e.held != nil {
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
		best.held = t
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
	if e.held == t {
		e.held = nil
	}
	p.c.starts = append(p.c.starts, r)
	p.c.records = append(p.c.records, Record{Put: &Placement{Task: t.name, Run: number, Endpoint: e.ID, Born: e.born}})
	if e.room().CPU+r.reserved.CPU >= p.most {
		p.measure()
	}
}

// placeGang places all members of a gang at once, or none.
func (p *placer) placeGang(s *step) (isWhole bool) {
	number := 0
	isClear := true
	for _, t := range s.tasks {
		number = max(number, t.number)
		isClear = isClear && t.run == nil
		if p.now.Before(t.notBefore) {
			return false
		}
	}
	if !isClear {
		// A gang starts as a whole, so the rest of the last run has to end.
		for _, t := range s.tasks {
			if t.run != nil && t.run.phase != placed {
				p.c.stop(t.run, "another member of the gang ended")
			}
		}
		return false
	}
	if !p.allows(s.occurrence.job, s.Each.Times(int64(len(s.tasks)))) {
		return false
	}
	chosen := p.chooseGang(s)
	if chosen == nil {
		return false
	}
	s.waiting = s.waiting[:0]
	for i, t := range s.tasks {
		p.place(t, chosen[i], number+1)
	}
	return true
}

// chooseGang finds endpoints for all members, on one rack if there is one where
// they fit, else on any.
func (p *placer) chooseGang(s *step) []*Endpoint {
	racks := []string{""}
	for _, e := range p.free {
		if !slices.Contains(racks, e.Rack) {
			racks = append(racks, e.Rack)
		}
	}
	for _, rack := range append(racks[1:], "") {
		chosen := make([]*Endpoint, 0, len(s.tasks))
		taken := make(map[*Endpoint]Size)
		members := make(map[*Endpoint]int)
		for _, t := range s.tasks {
			for _, e := range p.free {
				room := e.room().Minus(taken[e])
				isApart := s.AntiAffinity > 0 && e.countOf(s)+members[e] >= s.AntiAffinity
				if rack != "" && e.Rack != rack || isApart || !s.Reserved().Fits(room) || !p.suits(t, e) {
					continue
				}
				chosen = append(chosen, e)
				taken[e] = taken[e].Plus(s.Reserved())
				members[e]++
				break
			}
		}
		if len(chosen) == len(s.tasks) {
			return chosen
		}
	}
	return nil
}
