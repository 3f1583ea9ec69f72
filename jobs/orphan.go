package jobs

import "time"

// orphan is a run that an endpoint lists and that the cell does not have there: one of
// another owner, or one that counted as lost. Its room is reserved, and its task is not
// started until it has ended.
type orphan struct {
	ListedRun
	// task is nil if the cell does not know it.
	task *task
	// stopSentAt is when its stop was ordered last.
	stopSentAt time.Time
}

// replaceOrphans replaces the orphans of an endpoint by those in a listing and returns the
// stops to order now.
func (c *Cell) replaceOrphans(now time.Time, e *Endpoint, listed []ListedRun) (stops []Stop) {
	previous := e.orphans
	c.clearOrphans(e)
	for _, row := range listed {
		o := orphan{ListedRun: row, task: c.findTask(row.Task)}
		for _, p := range previous {
			if p.Task == row.Task && p.Run == row.Run {
				o.stopSentAt = p.stopSentAt
			}
		}
		if now.Sub(o.stopSentAt) >= stopRetryInterval {
			o.stopSentAt = now
			stops = append(stops, Stop{Endpoint: e.ID, Task: row.Task, Run: row.Run, Born: e.born, Reason: "not ordered by this owner"})
		}
		e.orphans = append(e.orphans, o)
		e.orphanUsage = e.orphanUsage.Plus(o.size(e))
		c.orphans[row.Task]++
	}
	return stops
}

// clearOrphans removes the orphans of an endpoint, which have ended or are listed again.
func (c *Cell) clearOrphans(e *Endpoint) {
	for _, o := range e.orphans {
		c.orphans[o.Task]--
		if c.orphans[o.Task] == 0 {
			delete(c.orphans, o.Task)
		}
	}
	e.orphans, e.orphanUsage = nil, Size{}
}

// size returns what an orphan takes: the size of its task, or the whole capacity of its
// endpoint if the task is not known.
func (o orphan) size(e *Endpoint) Size {
	if o.task == nil {
		return e.Capacity
	}
	return o.task.step.Reserved()
}

// isOrphaned reports whether an endpoint has an orphan of a task that must not run twice at a
// time.
func (c *Cell) isOrphaned(t *task) bool { return c.orphans[t.name] > 0 && !t.step.Speculative }

// latestOrphanEnd returns the time by which the orphans of an endpoint have certainly ended
// if it never answers again. Whose grant they have is not known: it may be that of an order to
// an earlier incarnation, carried out late.
func (c *Cell) latestOrphanEnd(e *Endpoint) time.Time {
	longest := e.lastContact.Add(c.config.Bounds.longestGrant() + inheritedGrantSlack)
	return later(later(c.inheritedRunEnd(e), c.grantEnd(e)), longest)
}

// isEmpty reports whether no run may be on the endpoint.
func (e *Endpoint) isEmpty() bool { return len(e.runs) == 0 && len(e.orphans) == 0 }

// locatedOrphan is the number of an orphan and its endpoint.
type locatedOrphan struct {
	number   int
	endpoint *Endpoint
}

// orphansOfWaitingTasks returns the last orphan of each task without a run that must not run
// twice at a time.
func (c *Cell) orphansOfWaitingTasks() map[*task]locatedOrphan {
	located := make(map[*task]locatedOrphan)
	for _, e := range c.endpoints {
		for _, o := range e.orphans {
			if t := o.task; t != nil && t.run == nil && t.needsRun() && !t.step.Speculative && o.Run > located[t].number {
				located[t] = locatedOrphan{number: o.Run, endpoint: e}
			}
		}
	}
	return located
}
