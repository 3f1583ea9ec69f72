package jobs

import (
	"cmp"
	"time"
)

const (
	// inheritedGrantSlack is added to the time that grants of earlier owners may last,
	// for the error of their view of endpoints' clocks.
	inheritedGrantSlack = 500 * time.Millisecond
	// maxStartDelay bounds how late a start without an answer may be carried out on
	// another life of its endpoint; starts were seen 12 s late.
	maxStartDelay = 30 * time.Second
	// holdDelay is how long a task finds no room before an endpoint is kept free
	// for it.
	holdDelay = 400 * time.Millisecond
)

// Plan decides what to start, stop and give up now. The wall clock says which
// occurrences of timed jobs are due.
func (c *Cell) Plan(now, wall time.Time) {
	c.expireRuns(now)
	c.beginDueOccurrences(wall)
	c.stopStalled(now)
	c.evacuateDraining(now)
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
	p.releaseUnusedHolds()
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
	chain := time.Duration(float64(c.remainingCriticalPath(j)) / stragglerFactor)
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

// expireRuns gives up runs on endpoints that do not answer once nothing can run
// there any more.
func (c *Cell) expireRuns(now time.Time) {
	for _, e := range c.endpoints {
		if len(e.runs) == 0 || e.isReached && now.Sub(e.contact) < contactLimit && !e.isCut(now) {
			continue
		}
		for _, r := range sortedRuns(e) {
			if r.phase == placed {
				continue
			}
			if now.After(c.latestRunEnd(r)) {
				c.counts.Lost++
				c.removeRun(r)
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

// latestRunEnd returns when a run has surely ended if its endpoint never answers again.
func (c *Cell) latestRunEnd(r *run) time.Time {
	b := c.config.Bounds
	if r.phase == inherited {
		longest := time.Duration(float64(b.Grant) / (1 - b.ClockSlack))
		return c.config.Inherited.Add(longest + inheritedGrantSlack)
	}
	if r.endpoint.until == 0 {
		return r.orderedAt.Add(maxStartDelay)
	}
	return r.endpoint.grantEnd(b).Add(inheritedGrantSlack)
}

// beginDueOccurrences begins the occurrences whose time has come.
func (c *Cell) beginDueOccurrences(wall time.Time) {
	for _, j := range c.active {
		if j.Times == 0 || j.isOver() {
			continue
		}
		for j.nextOccurrence < j.Times {
			due := j.First.Add(time.Duration(j.nextOccurrence) * j.Interval)
			if wall.Before(due) {
				break
			}
			c.beginOccurrence(j, j.nextOccurrence)
		}
	}
}

// NextDue returns when the next occurrence of a timed job is due on the wall
// clock, zero if there is none.
func (c *Cell) NextDue() (next time.Time) {
	for _, j := range c.active {
		if j.Times == 0 || j.isOver() || j.nextOccurrence >= j.Times {
			continue
		}
		due := j.First.Add(time.Duration(j.nextOccurrence) * j.Interval)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// Limits of a run's progress.
const (
	// stallTimeout is how long the progress of a run may stand still.
	stallTimeout = 1500 * time.Millisecond
	// contendedStallTimeout is the limit for tasks that may have to wait: those that fill, for
	// processors, and members of a gang, for each other.
	contendedStallTimeout = 5 * time.Second
	// maxWatchedRunTime is the longest kind of task that is watched: within stallAfter it
	// moves by whole percents.
	maxWatchedRunTime = 60 * time.Second
)

func (s *step) progressTimeout() time.Duration {
	if s.Fills || s.Gang {
		return contendedStallTimeout
	}
	return stallTimeout
}

// stopStalled stops runs that make no progress on an endpoint, so that they run
// elsewhere.
func (c *Cell) stopStalled(now time.Time) {
	for _, e := range c.endpoints {
		if !e.isReached || now.Sub(e.contact) > idleLook {
			continue
		}
		for _, r := range e.runs {
			s := r.task.step
			if r.phase != running || r.isStopping || s.LongRunning || now.Sub(r.progressedAt) < s.progressTimeout() {
				continue
			}
			if c.runTime(s.occurrence.job.Queue, s.number, s.Step) > maxWatchedRunTime {
				continue
			}
			r.task.avoidEndpoint = e.ID
			e.strike(now)
			c.stopRun(r, "no progress")
		}
	}
}

// evacuateDraining moves long-running tasks off endpoints that leave. They end with
// the endpoint anyway, so it is better to lose them while their steps can spare
// them.
func (c *Cell) evacuateDraining(now time.Time) {
	for _, e := range c.endpoints {
		if !e.IsDraining {
			continue
		}
		for _, r := range sortedRuns(e) {
			if r.task.step.LongRunning && r.phase == running && !r.isStopping && c.isDisruptionAllowed(now, r) {
				c.stopRun(r, "the endpoint leaves")
			}
		}
	}
}
