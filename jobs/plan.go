package jobs

import (
	"cmp"
	"time"
)

const (
	// inheritedGrantSlack is added to the longest time that a grant of an earlier
	// owner can last, to allow for error in that owner's estimate of the endpoint's
	// clock.
	inheritedGrantSlack = 500 * time.Millisecond
	// maxStartDelay is how long after its order an unanswered start may still be
	// carried out by a restarted endpoint. Starts have been seen 12 s late.
	maxStartDelay = 30 * time.Second
	// relistDelay is how long an endpoint that is up may be missing from service discovery
	// after the store was away. One that is missing for longer is gone.
	relistDelay = 2 * time.Second
	// holdDelay is how long a job must be blocked before an endpoint is kept free
	// for one of its tasks.
	holdDelay = 400 * time.Millisecond
	// maxHoldTime is how long an endpoint is kept free for a task. Most runs end
	// sooner, after which the task has room.
	maxHoldTime = 4 * time.Second
)

// Plan removes runs that can no longer exist, begins due occurrences, stops stalled
// runs and places waiting tasks. The results are returned by TakeBatch and Stops. The
// wall clock only determines which occurrences of timed jobs are due.
func (c *Cell) Plan(now, wall time.Time) {
	c.plannedAt = now
	c.expireRuns(now)
	c.beginDueOccurrences(wall)
	if now.Sub(c.runsCheckedAt) >= runCheckInterval {
		c.runsCheckedAt = now
		c.stopStalled(now)
		c.evacuateDraining(now)
		c.migrateEvacuated(now)
	}
	c.refreshEstimates(now)
	for _, j := range c.active {
		j.rank = c.rank(now, j)
	}
	c.sortActive(func(a, b *job) int { return a.rank.compare(b.rank) })
	c.orderByShare(now)
	clear(c.wanted)
	clear(c.units)
	p := c.newPlacer(now)
	p.countStarts()
	p.requiredLabels = c.requiredLabels()
	p.quarantine = c.newQuarantine(len(p.candidates))
	c.isLongRunningBlocked = false
	for _, j := range c.active {
		p.placeJob(j)
		c.isLongRunningBlocked = c.isLongRunningBlocked || j.IsLongRunning() && !j.blockedSince.IsZero()
	}
	p.speculate()
	p.releaseUnusedHolds()
	p.releaseLimitHolds()
}

// rankKey is the scheduling order of jobs, lowest first: class, then priority, then
// slack. Class 0 are long-running jobs, 1 jobs that can still meet their objective,
// 2 late jobs, 3 jobs too late to be worth anything.
type rankKey struct {
	class    int
	priority int
	// slack is the time left before the job must begin in class 1, and the time by
	// which it misses its objective in classes 2 and 3.
	slack time.Duration
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(cmp.Compare(k.class, o.class), cmp.Compare(k.priority, o.priority), cmp.Compare(k.slack, o.slack))
}

// lateFactor is the multiple of its objective after which a job's result is
// worthless.
const lateFactor = 3

func (c *Cell) rank(now time.Time, j *job) rankKey {
	if j.IsLongRunning() {
		return rankKey{class: 0, priority: j.Priority}
	}
	criticalPath := c.orderingPath(j)
	slack := j.due.Sub(now) - criticalPath
	switch {
	case slack >= 0:
		return rankKey{class: 1, priority: j.Priority, slack: slack}
	case now.Add(criticalPath).Sub(j.arrived) < lateFactor*j.due.Sub(j.arrived):
		return rankKey{class: 2, priority: j.Priority, slack: -slack}
	default:
		return rankKey{class: 3, priority: j.Priority, slack: -slack}
	}
}

// expireRuns removes the runs of unresponsive endpoints once their grants have
// expired, when they certainly have ended.
func (c *Cell) expireRuns(now time.Time) {
	for _, e := range c.endpoints {
		c.settleStrayGrant(now, e)
		c.settleOpenStarts(now, e)
		if e.isEmpty() || e.isReached && now.Sub(e.lastContact) < maxContactAge && !e.isPartitioned(now) {
			continue
		}
		if now.After(c.latestOrphanEnd(e)) {
			c.clearOrphans(e)
		}
		for _, r := range sortedRuns(e) {
			if r.phase != placed {
				c.expireRun(now, r)
			}
		}
		if e.isForgettable(now) {
			delete(c.endpoints, e.ID)
		}
	}
}

// expireRun removes a run of an unresponsive endpoint if its grant has expired. The task of a
// speculative one may be placed before that.
func (c *Cell) expireRun(now time.Time, r *run) {
	if now.After(c.latestRunEnd(r)) {
		c.suspectInherited(now, r)
		c.loseRun(now, r, LostExpired)
		return
	}
	if !r.task.step.Speculative || r.task.run != r || !r.mayHaveCopy() {
		return
	}
	// A speculative task may have several copies at a time, so a new one need not wait for the
	// grant to expire. Whether the endpoint has crashed may never be known, as the next owner
	// knows only the copy.
	c.blame(now, r, false)
	r.task.run = nil
	if r.task.needsRun() {
		r.task.step.waiting = append(r.task.step.waiting, r.task)
	}
}

// mayHaveCopy reports whether a speculative task may be started again although a run of it
// may exist on a silent endpoint. If the run has just started there, it is first to be known
// whether the endpoint has crashed.
func (r *run) mayHaveCopy() bool { return r.hasSettled() || r.endpoint.hasCrashed }

// latestRunEnd returns the time by which a run has certainly ended if its endpoint
// never answers again.
func (c *Cell) latestRunEnd(r *run) time.Time {
	e := r.endpoint
	// An answer with an earlier clock alone shows no restart, as answers overtake each other.
	isRestarted := !e.registeredRestartAt.IsZero()
	switch {
	case r.orderedAt.IsZero():
		// An earlier owner has ordered it. This one may have given the endpoint no grant yet, or one for other runs.
		return later(c.inheritedRunEnd(e), c.grantEnd(e))
	case isRestarted && !r.isIncarnationKnown && !e.isListed && r.isSentBefore(e.listedSince):
		// Only through a forwarder can the start have reached a later incarnation than the one
		// that has ended. That one is gone, or cut off from discovery, too.
		return later(e.delistedAt.Add(relistDelay), r.orderedAt.Add(c.usualGrant()))
	case e.grantUntil == 0 || isRestarted && !r.isIncarnationKnown:
		// An incarnation that has not listed its runs may have carried the start out.
		return r.orderedAt.Add(maxStartDelay)
	default:
		return c.grantEnd(e)
	}
}

// isSentBefore reports whether the start of a run was sent on a connection that was open at a
// time.
func (r *run) isSentBefore(at time.Time) bool {
	return !r.connectedAt.IsZero() && !r.connectedAt.After(at)
}

// usualGrant returns the longest time that a grant lasts on the incarnation of an endpoint
// that it was meant for.
func (c *Cell) usualGrant() time.Duration {
	b := c.config.Bounds
	return time.Duration(float64(b.Grant)/(1-b.ClockSlack)) + inheritedGrantSlack
}

// inheritedRunEnd returns the time by which the runs of earlier owners have certainly ended
// on an endpoint that never answers again.
func (c *Cell) inheritedRunEnd(e *Endpoint) time.Time {
	end := c.config.Inherited.Add(c.usualGrant())
	if !e.inheritedEnd.IsZero() && e.inheritedEnd.Before(end) {
		end = e.inheritedEnd
	}
	return later(end, e.strayGrantEnd)
}

// grantEnd returns the time by which the runs that this owner has ordered on an endpoint have
// certainly ended if it never answers again, zero if the present incarnation has no grant of
// this owner.
func (c *Cell) grantEnd(e *Endpoint) (end time.Time) {
	if e.grantUntil > 0 {
		end = e.grantExpiry(c.config.Bounds)
	}
	if end = later(end, e.strayGrantEnd); end.IsZero() {
		return end
	}
	return end.Add(inheritedGrantSlack)
}

// maxOpenTasks is how many tasks of a timed job's occurrences may have begun and not ended, unless a single occurrence has
// more. Further occurrences that are due begin as others end, and while the cell does not hold too many tasks.
const maxOpenTasks = 10_000

// mayBegin reports whether a further occurrence of a timed job may begin.
func (c *Cell) mayBegin(j *job) bool {
	tasks := j.tasksPerOccurrence()
	if c.heldTasks > 0 && c.heldTasks+tasks > maxHeldTasks {
		return false
	}
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*tasks <= maxOpenTasks
}

// beginDueOccurrences begins the occurrences of timed jobs that are due on the wall
// clock.
func (c *Cell) beginDueOccurrences(wall time.Time) {
	for _, j := range c.active {
		if j.Times == 0 || j.isOver() {
			continue
		}
		for j.nextOccurrence < j.Times && c.mayBegin(j) {
			due := j.First.Add(time.Duration(j.nextOccurrence) * j.Interval)
			if wall.Before(due) {
				break
			}
			c.beginOccurrence(j, j.nextOccurrence)
		}
	}
}

// NextDue returns the wall clock time at which the next occurrence of a timed job
// is due, the zero time if there is none.
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

// runCheckInterval is the minimum time between two checks of all runs. A large cell is
// planned 25 times a second, and the limits that are checked are far longer.
const runCheckInterval = 100 * time.Millisecond

// Limits on runs without progress.
const (
	// stallTimeout is how long the progress of a run may stay unchanged.
	stallTimeout = 1500 * time.Millisecond
	// contendedStallTimeout applies to tasks that may have to wait: filling tasks
	// for processor time, and members of a gang for each other. It also applies to runs on
	// a cold endpoint, which is slower.
	contendedStallTimeout = 5 * time.Second
	// maxWatchedRunTime is the longest estimated run time of tasks that are checked
	// for stalls. Longer tasks may take more than stallTimeout to advance by the
	// whole percent that is the resolution of progress.
	maxWatchedRunTime = 60 * time.Second
)

func (r *run) progressTimeout(now time.Time) time.Duration {
	if s := r.task.step; s.Fills || s.Gang || r.endpoint.isCold(now) {
		return contendedStallTimeout
	}
	return stallTimeout
}

// stopStalled stops runs that make no progress although their endpoint answers, so
// that their tasks are placed elsewhere.
func (c *Cell) stopStalled(now time.Time) {
	for _, e := range c.endpoints {
		if !e.isReached || e.hasCrashed || now.Sub(e.lastContact) > idlePollInterval {
			continue
		}
		for _, r := range e.runs {
			s := r.task.step
			if r.phase != running || r.isStopping || s.LongRunning || now.Sub(r.progressedAt) < r.progressTimeout(now) || r.mayHaveOmittedEnd() {
				continue
			}
			if c.runTime(s.occurrence.job, s.number) > maxWatchedRunTime {
				continue
			}
			r.task.avoidEndpoint = e.ID
			if !e.isCold(now) {
				c.recordPerformance(now, r, Failed)
				e.recordFailedRun(now, r.task)
			}
			c.stopRun(r, "no progress")
		}
	}
}

// evacuateDraining stops long-running tasks on draining endpoints, as far as their
// steps allow it now. They would end with the endpoint anyway, possibly several of
// one step at a time.
func (c *Cell) evacuateDraining(now time.Time) {
	for _, e := range c.endpoints {
		if !e.IsDraining {
			continue
		}
		for _, r := range sortedRuns(e) {
			if r.task.step.LongRunning && r.phase == running && !r.isStopping && c.isDisruptionAllowed(now, r) {
				c.stopRun(r, "endpoint is draining")
			}
		}
	}
}
