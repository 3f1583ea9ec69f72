package jobs

import (
	"cmp"
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
	p.releaseHeld()
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
	if j.IsLongRunning() {
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
		if len(e.runs) == 0 || e.isReached && now.Sub(e.lastContact) < maxContactAge && !e.isPartitioned(now) {
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
	if r.endpoint.grantUntil == 0 {
		return r.ordered.Add(lateStart)
	}
	return r.endpoint.grantExpiry(b).Add(inheritSlack)
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
		if !e.isReached || now.Sub(e.lastContact) > idlePollInterval {
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
			e.recordFailure(now)
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
