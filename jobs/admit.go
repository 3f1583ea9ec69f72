package jobs

import "time"

// Verdict says whether a job is taken.
type Verdict struct {
	IsAccepted bool
	// Retry is when to come back, if the job is not taken.
	Retry  time.Duration
	Reason string
}

// Admission constants.
const (
	// usableShare is the share of the processors that placement fills on average; the
	// rest is lost to tasks that do not fit into what is left of an endpoint.
	usableShare = 0.9
	// minRetry keeps those who come back from coming in the same burst.
	minRetry = 500 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Admit decides on a job at the door. It answers bursts that ask for several
// times what the cell holds: a job whose objective cannot be reached behind
// those already accepted is turned away with the time when it could be, while
// its submitter can still use the answer.
func (c *Cell) Admit(now time.Time, spec *Job) Verdict {
	if c.jobs[spec.ID] != nil || spec.IsLasting() || spec.Times > 0 {
		return Verdict{IsAccepted: true}
	}
	j := &job{Job: *spec, arrived: now}
	c.arrivals.add(now, spec.ID, c.remainingWork(j))
	if !c.fitsAnywhere(j) {
		return Verdict{Retry: maxRetry, Reason: "no endpoint is large enough"}
	}
	rate := c.throughput(now)
	if rate == 0 {
		return Verdict{Retry: maxRetry, Reason: "no endpoint is up"}
	}
	chain := c.remainingCriticalPath(j)
	slack := c.objective(j) - chain
	wait := time.Duration(c.backlog(now) / rate * float64(time.Second))
	if wait <= max(slack, 0)+estimateSlack {
		return Verdict{IsAccepted: true}
	}
	return Verdict{Retry: min(max(wait-slack, minRetry), maxRetry), Reason: "the queue is too long to end in time"}
}

// estimateSlack is accepted beyond the slack of a job, since estimates of backlog
// and run times are off by as much.
const estimateSlack = 500 * time.Millisecond

// fitsAnywhere tells whether each step fits an endpoint that is known. Cells
// without endpoints cannot tell.
func (c *Cell) fitsAnywhere(j *job) bool {
	if len(c.endpoints) == 0 {
		return true
	}
	for i := range j.Steps {
		isFound := false
		for _, e := range c.endpoints {
			if j.Steps[i].Reserved().Fits(e.Capacity) {
				isFound = true
				break
			}
		}
		if !isFound {
			return false
		}
	}
	return true
}

// throughput returns how many core-seconds the cell works off in a second beside its
// long-running tasks.
func (c *Cell) throughput(now time.Time) float64 {
	cores := 0.0
	for _, e := range c.endpoints {
		if !e.isListed || e.IsDraining || e.isSilent || now.Before(e.cordon) || !e.suspect.IsZero() || now.Sub(e.contact) > 2*idleLook {
			continue
		}
		free := e.Capacity.CPU
		for _, r := range e.runs {
			if r.task.step.LongRunning {
				free -= r.reserved.CPU
			}
		}
		cores += float64(free) / 1000
	}
	return cores * usableShare
}

// backlog returns the core-seconds of accepted work that has not ended.
func (c *Cell) backlog(now time.Time) float64 {
	work := 0.0
	for _, j := range c.active {
		if j.isOver() || j.IsLasting() || c.rank(now, j).class > 1 {
			continue
		}
		work += c.remainingWork(j) * unfinishedShare
	}
	return work
}

// unfinishedShare is the share of the work of unfinished tasks that is left on
// average: those at work are halfway through.
const unfinishedShare = 0.8
