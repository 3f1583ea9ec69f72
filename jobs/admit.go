package jobs

import "time"

// Verdict is the decision whether to accept a job.
type Verdict struct {
	IsAccepted bool
	// RetryAfter is how long the submitter should wait before trying again, if the job
	// is not accepted.
	RetryAfter time.Duration
	// Reason says why the job is not accepted; it is returned to the submitter.
	Reason string
}

// Constants of admission.
const (
	// usableShare is the share of the processors that placement fills on average.
	// The rest is lost to remainders in which no waiting task fits.
	usableShare = 0.9
	// minRetry keeps rejected submitters from returning in the same burst.
	minRetry = 500 * time.Millisecond
	maxRetry = 5 * time.Second
	// maxHeldTasks is how many tasks and steps the jobs of a cell may have. Each takes some 200 to 450 bytes, and a
	// single job may have MaxTasks.
	maxHeldTasks = MaxTasks + MaxTasks/2
)

// Admit decides whether to accept a job, without adding it. Bursts may ask for
// several times the capacity of the cell: a job that cannot meet its objective
// behind the accepted ones is rejected with the time after which it could be
// accepted, while its submitter can still act on that. Submitters of rejected jobs
// return, and the objective counts from their first attempt: a job that is too late for
// it is accepted only while it takes no room from others. Long-running and timed jobs are accepted
// unless the limit of their client account can never hold one of their tasks, or the cell holds too many; known jobs always.
func (c *Cell) Admit(now time.Time, spec *Job) Verdict {
	if c.jobs[spec.ID] != nil {
		return Verdict{IsAccepted: true}
	}
	if reason := c.exceededLimit(spec); reason != "" {
		return Verdict{RetryAfter: maxRetry, Reason: reason}
	}
	if spec.IsLongRunning() || spec.Times > 0 {
		return Verdict{IsAccepted: true}
	}
	j := &job{Job: *spec}
	isCounted := c.arrivals.add(now, spec.ID, c.remainingWork(j))
	j.arrived = c.arrivals.firstAttempt(now, spec.ID)
	if !c.fitsAnywhere(j) {
		return Verdict{RetryAfter: maxRetry, Reason: "no endpoint is large enough"}
	}
	if !c.canBeAdvised(j) {
		return Verdict{RetryAfter: maxRetry, Reason: "tickets for so large a gang cannot be valid at the same time"}
	}
	load := c.currentLoad(now)
	if load.throughput == 0 {
		return Verdict{RetryAfter: maxRetry, Reason: "no endpoint is up"}
	}
	criticalPath := c.remainingCriticalPath(j)
	slack := c.objective(j) - criticalPath - now.Sub(j.arrived)
	if wait := load.adviceWait; j.Advised && wait > max(slack, 0)+estimateSlack {
		if isCounted {
			// More machines would not start it earlier.
			c.arrivals.removeLast()
		}
		return Verdict{RetryAfter: min(max(wait-slack, minRetry), maxRetry), Reason: "advice for the queue takes too long to start in time"}
	}
	wait := c.waitByShare(now, j, time.Duration(load.backlog/load.throughput*float64(time.Second)))
	if slack >= 0 && wait <= slack+estimateSlack || load.waiting <= load.throughput*maxLateWait.Seconds() {
		return Verdict{IsAccepted: true}
	}
	retryAfter := c.retryByShare(now, j, min(max(wait-slack, minRetry), maxRetry))
	return Verdict{RetryAfter: retryAfter, Reason: "the queue is too long to end in time"}
}

// exceededLimit returns the reason if a limit keeps a job from being accepted now, whatever its objective, empty if none does.
func (c *Cell) exceededLimit(spec *Job) (reason string) {
	switch {
	case !c.fitsAccount(spec):
		return "a task or gang is larger than the limit of the client account"
	case c.heldTasks+c.heldSteps > 0 && c.heldTasks+c.heldSteps+spec.tasksPerOccurrence()+len(spec.Steps) > maxHeldTasks:
		return "the cell holds too many tasks"
	}
	return ""
}

// estimateSlack is the expected wait beyond a job's slack that is still accepted,
// since the estimates of backlog and run times are off by as much.
const estimateSlack = 300 * time.Millisecond

// maxLateWait is the expected wait up to which jobs that cannot meet their objective are
// accepted. It is the time in which freed capacity is assigned again, so such a wait does
// not mean that work is held up.
const maxLateWait = 100 * time.Millisecond

// maxLoadAge is how long measured load is used for admission. Measuring it visits
// every job and run, which a large cell cannot afford for each of the hundreds of jobs
// that are submitted in a second of a burst.
const maxLoadAge = 100 * time.Millisecond

// measuredLoad is the load of the cell at a time.
type measuredLoad struct {
	at time.Time
	// throughput is in core-seconds per second, backlog in core-seconds. The work of
	// jobs accepted since at is included in backlog.
	throughput, backlog float64
	// waiting is the work of all ready tasks without a run, in core-seconds. The work of
	// jobs accepted since at is included.
	waiting float64
	// adviceWait is how long a step would wait for its call for advice. The steps of jobs accepted
	// since at are included.
	adviceWait time.Duration
}

// currentLoad returns the load, measured at most maxLoadAge ago.
func (c *Cell) currentLoad(now time.Time) measuredLoad {
	if c.load.throughput == 0 || now.Sub(c.load.at) > maxLoadAge {
		c.load = measuredLoad{at: now, throughput: c.throughput(now), backlog: c.backlog(now), waiting: c.waitingWork(), adviceWait: c.adviceWait(now)}
	}
	return c.load
}

// fitsAccount reports whether each task of a job, and each gang as a whole, fits the limit of its client
// account when that has nothing else running.
func (c *Cell) fitsAccount(spec *Job) bool {
	if c.config.AccountTotal == nil || spec.Account == "" {
		return true
	}
	total := c.config.AccountTotal(spec.Account)
	fits := func(needed, limit int64) bool { return limit == 0 || needed <= limit }
	for i := range spec.Steps {
		s := &spec.Steps[i]
		size := s.Each
		if s.Gang {
			size = size.Times(int64(s.Count))
		}
		if !fits(size.CPU, total.CPU) || !fits(size.Memory, total.Memory) || !fits(size.GPUs, total.GPUs) {
			return false
		}
	}
	return true
}

// fitsAnywhere reports whether each step of a job fits on some known endpoint that is not
// evacuated when that is empty. It returns true if no endpoint is known.
func (c *Cell) fitsAnywhere(j *job) bool {
	if !c.hasEndpoints() {
		return true
	}
	for i := range j.Steps {
		isFound := false
		for _, e := range c.endpoints {
			if !e.isEvacuated && !e.isRemembered() && j.Steps[i].Reserved().Fits(e.Capacity) {
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

// throughput returns the processors that are usable for short-lived work, in
// core-seconds per second: those of healthy endpoints, less what long-running tasks
// reserve.
func (c *Cell) throughput(now time.Time) float64 {
	cores := 0.0
	for _, e := range c.endpoints {
		if !e.isListed || e.IsDraining || e.isEvacuated || e.isUnresponsive || now.Before(e.cordonUntil) || !e.suspectUntil.IsZero() || now.Sub(e.lastContact) > 2*idlePollInterval {
			continue
		}
		free := float64(max(e.Capacity.CPU-e.longRunningUsage().CPU, 0)) / 1000
		if e.isCold(now) {
			free *= coldShare
		}
		cores += free
	}
	return cores * usableShare
}

// backlog returns the work, in core-seconds, that a new job would wait for: the remaining
// work of accepted short-lived jobs that can still meet their objective, and that of the
// running tasks of late ones. Their waiting tasks give way to a new job.
func (c *Cell) backlog(now time.Time) float64 {
	work := 0.0
	for _, j := range c.active {
		switch {
		case j.isOver() || j.IsLongRunning():
		case c.rank(now, j).class > 1:
			work += c.runningWork(j) * runningShare
		default:
			work += c.remainingWork(j) * unfinishedShare
		}
	}
	return work
}

// runningWork returns the work, in core-seconds, of the tasks of a job that have a run.
func (c *Cell) runningWork(j *job) float64 {
	return c.sumWork(j, func(s *step) int { return s.tasksLeft - s.givenUp - len(s.waiting) })
}

// waitingWork returns the work, in core-seconds, of the tasks that could run now and have
// no run.
func (c *Cell) waitingWork() float64 {
	work := 0.0
	for _, j := range c.active {
		if !j.isOver() && !j.IsLongRunning() {
			work += c.sumWork(j, func(s *step) int { return len(s.waiting) })
		}
	}
	return work
}

// sumWork returns the work, in core-seconds, of a number of tasks of each ready step of a job.
func (c *Cell) sumWork(j *job, count func(s *step) int) float64 {
	work := 0.0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if n := count(s); s.isReady && n > 0 {
				work += float64(n) * float64(s.Reserved().CPU) / 1000 * c.runTime(j, s.number).Seconds()
			}
		}
	}
	return work
}

// unfinishedShare is the average share of work left in unfinished tasks. It is below
// 1 since the running ones are half done on average.
const unfinishedShare = 0.8

// runningShare is the average share of work left in running tasks.
const runningShare = 0.5
