package jobs

import "time"

// Load is the number and size of the runs on an endpoint.
type Load struct {
	Endpoint string
	// IsKnown is false if the cell does not know the endpoint.
	IsKnown bool
	// Runs counts all runs, LongRunningRuns those of long-running tasks.
	Runs, LongRunningRuns int
	// CPU is what the runs reserve, in thousandths of a core.
	CPU int64
}

// Active returns the number of jobs that have not ended.
func (c *Cell) Active() int {
	count := 0
	for _, j := range c.active {
		if !j.isOver() {
			count++
		}
	}
	return count
}

// Finished returns the IDs of the jobs that ended with this batch.
func (b *Batch) Finished() []string {
	ids := make([]string, len(b.finished))
	for i, j := range b.finished {
		ids[i] = j.ID
	}
	return ids
}

// Evacuate cordons an endpoint until a time, unless it is cordoned for longer
// already, and returns its load. If isEvacuating is set, its long-running tasks are
// also stopped, so that they move elsewhere, as far as their steps allow it now and
// other endpoints have room for them.
func (c *Cell) Evacuate(now time.Time, id string, until time.Time, isEvacuating bool) Load {
	e := c.endpoints[id]
	if e == nil {
		return Load{Endpoint: id}
	}
	if until.After(e.cordonUntil) {
		e.cordonUntil = until
	}
	if isEvacuating {
		c.evacuate(now, e)
	}
	return e.load()
}

// evacuate stops long-running tasks on an endpoint that can run elsewhere now.
func (c *Cell) evacuate(now time.Time, e *Endpoint) {
	c.displace(now, []*Endpoint{e}, "evacuation for planned work", func(r *run) bool {
		return r.task.step.LongRunning && !r.isStopping && r.phase == running && c.isDisruptionAllowed(now, r)
	})
}

// displace stops the runs on some endpoints that may be stopped and whose tasks have room
// elsewhere. mayStop is called for one run after the other, and sees the stops before.
func (c *Cell) displace(now time.Time, endpoints []*Endpoint, why string, mayStop func(r *run) bool) {
	var p *placer
	pending := 0
	for _, e := range endpoints {
		for _, r := range sortedRuns(e) {
			if !mayStop(r) {
				continue
			}
			if p == nil {
				p, pending = c.newPlacer(now), c.displacedTasks()
			}
			// Without room elsewhere, also for the tasks that were displaced before, the task
			// would wait without a place and block the move of the other tasks of its step.
			if p.countPlaces(r.task, pending+1) > pending {
				c.stopRun(r, why)
				pending++
			} else {
				// A ticket may be all that is missing. It is to be there before the run is stopped.
				r.task.step.advice.displacedUntil = now.Add(displacementInterest)
			}
		}
	}
}

// displacementInterest is how long advice is requested for a step of which a task is to move. Callers of
// displace repeat it several times a second while that is so.
const displacementInterest = time.Second

// displacedTasks counts the long-running tasks that wait for a place or are being
// stopped, after which they will.
func (c *Cell) displacedTasks() (count int) {
	for _, j := range c.active {
		if j.isOver() || !j.IsLongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if s.LongRunning && s.isReady && (t.run == nil || t.run.isStopping) {
						count++
					}
				}
			}
		}
	}
	return count
}

// inheritedStopTime is how long after it acquired the cell an owner stops no tasks of
// steps with MaxUnavailable for planned work. Stops of the previous owner are not stored
// and may still be on their way: the tasks are listed as serving until they end.
const inheritedStopTime = 1500 * time.Millisecond

// maxStopDelay is how long after it was ordered a stop may still be carried out. Orders
// have been seen 12 s late.
const maxStopDelay = 15 * time.Second

// isDisruptionAllowed reports whether a long-running task may be stopped for planned
// work now: fewer than MaxUnavailable other tasks of its step are unavailable, or may
// become so by a stop that was ordered.
func (c *Cell) isDisruptionAllowed(now time.Time, r *run) bool {
	s := r.task.step
	if s.MaxUnavailable == 0 {
		return true
	}
	if now.Sub(c.config.Inherited) < inheritedStopTime {
		return false
	}
	unavailable := 0
	for _, t := range s.tasks {
		if t != r.task && !t.isServing(now) {
			unavailable++
		}
	}
	return unavailable < s.MaxUnavailable
}

// isServing reports whether a long-running task was listed at 100 percent recently, and no
// stop that was ordered can end it.
func (t *task) isServing(now time.Time) bool {
	r := t.run
	return r != nil && r.phase == running && !r.mayBeStopped(now) && r.percent >= 100 && now.Sub(t.lastServing) < 2*idlePollInterval
}

// mayBeStopped reports whether a run is to be stopped, or a stop that was revoked may still
// be carried out.
func (r *run) mayBeStopped(now time.Time) bool {
	return r.isStopping || !r.stopSentAt.IsZero() && now.Sub(r.stopSentAt) < maxStopDelay
}
