package jobs

import (
	"slices"
	"time"
)

// maxIsolationWait is how long a job waits for isolated endpoints before a task under which
// a single endpoint has crashed is placed without isolation.
const maxIsolationWait = 2 * time.Second

// quarantine decides where tasks are placed under which endpoints have crashed. A crash
// leaves many suspects: the tasks that had just started on the endpoint, of which one may be
// the cause. If they were started together again, they would crash the next endpoint
// together, and the cause would never be found.
//
// So a suspect is started where nothing else has just started, and nothing else is started
// there until it has settled. After the first crash of a task, as many suspects share an
// endpoint as are needed to start all of them at once: a power failure makes suspects of many
// tasks without fault.
type quarantine struct {
	// suspectsPerEndpoint is how many tasks that were suspected once may share an endpoint,
	// not counting those that share the fate of another.
	suspectsPerEndpoint int
}

func (c *Cell) newQuarantine(endpoints int) quarantine {
	suspects := 0
	for _, j := range c.active {
		suspects += j.countWaitingSuspects()
	}
	return quarantine{suspectsPerEndpoint: max(1, (suspects+endpoints-1)/max(endpoints, 1))}
}

// countWaitingSuspects returns the number of suspect tasks of the job that wait for a place,
// not counting those that share the fate of another.
func (j *job) countWaitingSuspects() (count int) {
	if j.isOver() {
		return 0
	}
	hasShortLived := false
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.waiting {
				switch {
				case !t.isSuspect:
				case s.LongRunning:
					count++
				case !hasShortLived:
					hasShortLived = true
					count++
				}
			}
		}
	}
	return count
}

// isAllowed reports whether a task may be started on an endpoint now.
func (q quarantine) isAllowed(now time.Time, t *task, e *Endpoint) bool {
	if !t.isSuspect {
		return !slices.ContainsFunc(e.suspects, func(other *task) bool { return !t.sharesFate(other) })
	}
	return q.mayShare(t, e) && (q.isImpatient(now, t) || !e.hasFreshBeside(t))
}

// mayShare reports whether a suspect may share an endpoint with those that have not settled
// there.
func (q quarantine) mayShare(t *task, e *Endpoint) bool {
	for _, r := range e.runs {
		if r.task.isSuspect && !t.sharesFate(r.task) && !r.hasSettled() && (t.crashes() > 1 || r.task.crashes() > 1) {
			return false
		}
	}
	return e.hasSuspectSharing(t) || t.mustBeBackSoon() || len(e.suspects) < q.suspectsPerEndpoint
}

// mustBeBackSoon reports whether a suspect does not wait for an endpoint of its own: a
// long-running task after its first crash.
func (t *task) mustBeBackSoon() bool { return t.step.LongRunning && t.crashes() <= 1 }

// isImpatient reports whether a suspect need not be isolated from tasks that are none, or has
// waited for too long.
func (q quarantine) isImpatient(now time.Time, t *task) bool {
	since := t.step.occurrence.job.blockedSince
	hasWaited := t.crashes() <= 1 && !since.IsZero() && now.Sub(since) >= maxIsolationWait
	return hasWaited || t.mustBeBackSoon()
}

// hasFreshBeside reports whether tasks that are not suspect and do not share the fate of t
// have just started on the endpoint.
func (e *Endpoint) hasFreshBeside(t *task) bool {
	for _, r := range e.runs {
		if !r.task.isSuspect && !t.sharesFate(r.task) && !r.hasSettled() {
			return true
		}
	}
	return false
}

// hasSuspectSharing reports whether a suspect that shares the fate of t has not settled on the
// endpoint.
func (e *Endpoint) hasSuspectSharing(t *task) bool {
	return slices.ContainsFunc(e.suspects, t.sharesFate)
}

// updateSuspects updates suspects from the runs of the endpoint.
func (e *Endpoint) updateSuspects() {
	e.suspects = e.suspects[:0]
	for _, r := range e.runs {
		if r.task.isSuspect && !r.hasSettled() {
			e.addSuspect(r.task)
		}
	}
}

func (e *Endpoint) addSuspect(t *task) {
	if !e.hasSuspectSharing(t) {
		e.suspects = append(e.suspects, t)
	}
}

// isUnderSuspicion reports whether a suspect task has just started on the endpoint, or waits
// until it may be started there.
func (e *Endpoint) isUnderSuspicion() bool {
	if e.heldFor != nil && e.heldFor.isSuspect {
		return true
	}
	for _, r := range e.runs {
		if r.task.isSuspect && r.task.run == r && r.phase != placed {
			return true
		}
	}
	return false
}
