package jobs

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/fairshare"
)

// Config configures a Cell.
type Config struct {
	Bounds Bounds
	// Inherited is when this owner acquired the cell, on the clock of the now
	// parameters. Grants of earlier owners end at most Bounds.Grant later, on the
	// endpoints' clocks. It is zero for a cell that never had an owner.
	Inherited time.Time
	// AccountLimit returns the limit on the total size of the runs that a client
	// account may have in this cell. A nil function bounds no account.
	AccountLimit func(account string) (limit Size, isBounded bool)
	// AccountReach returns the largest size that a client account can start next under its limit, here or in another cell, when
	// runs have ended that will. A nil function knows nothing of other cells.
	AccountReach func(account string) Size
	// AccountTotal returns the limit of a client account in all cells together; a field that is zero
	// sets none. A nil function bounds no account.
	AccountTotal func(account string) Size
	// AccountWeight returns the weight of a client account's share of the cell, 0 for an
	// account that gets what the others leave. A nil function, or weights that are all 0,
	// keep the order of jobs and admission independent of accounts.
	AccountWeight func(account string) (weight float64)
	// QueueAt returns the name of the queue that the configuration in force has at a path, empty if it has
	// none there, and the store revision of that configuration. A nil function knows of no queues.
	QueueAt func(path string) (name string, setup int64)
	// AdviceTerms returns what calls for advice of a queue cost. A nil function knows of none.
	AdviceTerms func(queue string) AdviceTerms
	// IsForecasting predicts run times by package forecast instead of by their mean.
	IsForecasting bool
}

// Cell holds the jobs, tasks and endpoints of one cell. It is not safe for
// concurrent use.
type Cell struct {
	config Config
	jobs   map[string]*job
	// heldTasks is the number of tasks of occurrences that have begun and are kept, heldSteps that of the steps of jobs
	// that are kept.
	heldTasks, heldSteps int
	active               []*job
	endpoints            map[string]*Endpoint
	// orphans counts the orphans on all endpoints by task.
	orphans map[string]int
	// used is the total size of each client account's runs, including those whose
	// start has not been sent yet.
	used map[string]Size

	// records, starts, finished, ends and applied collect decisions until the next
	// batch.
	records  []Record
	starts   []*run
	finished []*job
	ends     []RunEnd
	applied  []endMark
	// placed is the number of runs that were placed for each client account.
	placed map[string]int64
	// wanted is the size of the tasks that each client account could not start
	// in the last planning pass because of its limit.
	wanted map[string]Size
	// limitHolds holds the hold on the limit of each client account that has one.
	limitHolds map[string]*limitHold
	// units holds Need.Units by client account, as of the last planning pass.
	units map[string][]Size

	runTimes runTimes
	// kindSpeeds holds the means of the logarithms of the run times in seconds.
	kindSpeeds map[taskKind]*movingAverage
	arrivals   arrivals
	load       measuredLoad
	shares     fairshare.Shares
	// shareUnits are those of the capacity that shares are fractions of, as of the last update.
	shareUnits shareUnits
	// accountLoads holds the load of each account with short-lived jobs, as of the last update.
	accountLoads map[string]*accountLoad
	// ordered is a buffer of orderByStanding.
	ordered []*job
	// estimatesAt is when the estimates of the jobs were last outdated, estimateRound how
	// often.
	estimatesAt   time.Time
	estimateRound int
	counts        Counts
	// isLongRunningBlocked reports whether a long-running task found no place in the last
	// planning pass.
	isLongRunningBlocked bool
	// plannedAt is when Plan was called last.
	plannedAt time.Time
	// runsCheckedAt is when Plan last checked all runs.
	runsCheckedAt time.Time
	// blockedCheckedAt is when BlockedTasks last checked for blocked jobs.
	blockedCheckedAt time.Time
	// unresolvedCheckedAt is when UnresolvedRuns last checked for unresolved runs.
	unresolvedCheckedAt time.Time
	// crashes collects what TakeCrashes returns.
	crashes []Crash
	// losses collects what TakeLosses returns, lossCount counts all lost runs since the last
	// call.
	losses    []Loss
	lossCount int
	// lateStarts are the starts that may still be carried out although their runs count as lost.
	lateStarts []lateStart
	// reincarnations collects what TakeReincarnations returns.
	reincarnations []Reincarnation
	crashRate      crashRate
	// adviceModels holds the models of the queues with advice, by name. No advice is requested
	// before adviceRetryAt.
	adviceModels  map[string]*adviceModel
	adviceRetryAt time.Time
	// adviceWantedAt is when a step first lacked nothing but advice while the cell waits for its turn,
	// zero if none does, and adviceTurnWait how long that wait is on average.
	adviceWantedAt time.Time
	adviceTurnWait time.Duration
	evacuation     evacuation
}

// Counts counts events since this owner acquired the cell: jobs accepted and
// completed, starts ordered, and runs that were done, failed, lost or ordered to
// stop.
type Counts struct {
	Accepted, Started, Done, Failed, Lost, Stopped, Completed int64
}

// New returns an empty cell.
func New(config Config) *Cell {
	if config.AccountLimit == nil {
		config.AccountLimit = func(string) (Size, bool) { return Size{}, false }
	}
	if config.QueueAt == nil {
		config.QueueAt = func(string) (string, int64) { return "", 0 }
	}
	if config.AdviceTerms == nil {
		config.AdviceTerms = func(string) AdviceTerms { return AdviceTerms{} }
	}
	return &Cell{
		config:     config,
		jobs:       make(map[string]*job),
		endpoints:  make(map[string]*Endpoint),
		orphans:    make(map[string]int),
		used:       make(map[string]Size),
		placed:     make(map[string]int64),
		wanted:     make(map[string]Size),
		units:      make(map[string][]Size),
		limitHolds: make(map[string]*limitHold),
		runTimes:   newRunTimes(config.IsForecasting),
		kindSpeeds: make(map[taskKind]*movingAverage),

		accountLoads: make(map[string]*accountLoad),
		adviceModels: make(map[string]*adviceModel),
	}
}

// Submit adds a job, which counts as accepted once the records of the next batch
// are stored. It reports whether the job is new; a job with a known ID is left
// unchanged.
func (c *Cell) Submit(now time.Time, spec Job) (isNew bool) {
	if c.jobs[spec.ID] != nil {
		return false
	}
	stored := spec
	c.records = append(c.records, Record{Job: &stored})
	j := c.addJob(spec, now)
	if !j.IsLongRunning() {
		c.load.backlog += c.remainingWork(j) * unfinishedShare
		c.load.waiting += c.remainingWork(j)
		c.load.adviceWait += c.adviceTime(now, j)
		c.addShareBacklog(j)
	}
	c.counts.Accepted++
	return true
}

// Cancel cancels a job and reports whether its ID is known. The cancellation
// counts as accepted once the records of the next batch are stored. A job that
// has already ended is left unchanged.
func (c *Cell) Cancel(now time.Time, id string) (isKnown bool) {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.isOver() {
		return true
	}
	c.records = append(c.records, Record{Cancel: id})
	c.cancel(now, j)
	return true
}

func (c *Cell) cancel(now time.Time, j *job) {
	c.finishJob(now, j, Cancelled)
}

// finishJob sets the final state of a job and requests the stop of its runs.
func (c *Cell) finishJob(now time.Time, j *job, state State) {
	j.state, j.ended = state, now
	c.finished = append(c.finished, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					c.stopRun(t.run, string(state))
				}
			}
		}
	}
	if state == Completed {
		c.counts.Completed++
	}
}

// stopRun marks a run for stopping; Stops then returns the order. A start that has
// not been ordered yet will not be.
func (c *Cell) stopRun(r *run, why string) {
	if r.isStopping && !r.isStopRevocable {
		return
	}
	if !r.isStopping {
		c.counts.Stopped++
	}
	r.isStopping, r.isStopRevocable, r.stopReason = true, false, why
}

// removeRun removes a run that has certainly ended, so that its task may be placed
// again.
func (c *Cell) removeRun(r *run) {
	if r.endpoint.runs[r.task.name] == r {
		delete(r.endpoint.runs, r.task.name)
		r.endpoint.used = r.endpoint.used.Minus(r.reserved)
		account := r.task.step.occurrence.job.Account
		c.used[account] = c.used[account].Minus(r.task.step.Each)
		if c.used[account].IsZero() {
			delete(c.used, account)
		}
	}
	t := r.task
	if t.run != r {
		return
	}
	t.run = nil
	if t.needsRun() && !t.resumeOriginal() {
		t.step.waiting = append(t.step.waiting, t)
	}
}

// needsRun reports whether the task is neither done nor given up, and its job not over.
func (t *task) needsRun() bool {
	return !t.isDone && !t.isGivenUp && !t.step.occurrence.job.isOver()
}

// RunEnd is the end of a run on an endpoint.
type RunEnd struct {
	End
	Endpoint string
	// RunTime is the time since the run was first confirmed, 0 if it never was.
	RunTime time.Duration
}

// Batch holds the records to store, and the decisions that take effect only once
// they are stored.
type Batch struct {
	Records []Record
	// Ends are the runs that endpoints have reported as ended.
	Ends     []RunEnd
	starts   []*run
	finished []*job
	applied  []endMark
}

// Followed returns the decisions of b and those of a later batch.
func (b Batch) Followed(later Batch) Batch {
	return Batch{
		Records: slices.Concat(b.Records, later.Records), Ends: slices.Concat(b.Ends, later.Ends),
		starts: slices.Concat(b.starts, later.starts), finished: slices.Concat(b.finished, later.finished),
		applied: slices.Concat(b.applied, later.applied),
	}
}

// endMark states that the run ends of an endpoint's incarnation were applied up to a
// number.
type endMark struct {
	endpoint *Endpoint
	born     int64
	number   int64
}

// TakeBatch returns the decisions made since the last call. Once its records are
// stored, the caller passes the batch to ConfirmStored.
func (c *Cell) TakeBatch() Batch {
	b := Batch{Records: c.records, Ends: c.ends, starts: c.starts, finished: c.finished, applied: c.applied}
	c.records, c.ends, c.starts, c.finished, c.applied = nil, nil, nil, nil, nil
	return b
}

// ConfirmStored confirms that the records of a batch and of all earlier ones are stored.
// It makes the final states of the batch's jobs visible to Status, lets polls acknowledge
// the run ends that were applied, and returns the starts to order now.
func (c *Cell) ConfirmStored(now time.Time, b Batch) []Start {
	for _, mark := range b.applied {
		if e := mark.endpoint; e.born == mark.born {
			e.storedEnd = max(e.storedEnd, mark.number)
		}
	}
	for _, j := range b.finished {
		j.storedState = j.state
	}
	starts := make([]Start, 0, len(b.starts))
	broken := c.brokenGangs(now, b.starts)
	for _, r := range b.starts {
		e := r.endpoint
		if !c.mayStart(now, r) || broken[r.task.step] {
			// No start was sent, so the run cannot exist on the endpoint.
			c.removeRun(r)
			continue
		}
		r.phase, r.orderedAt, r.isResumed = ordered, now, r.task.checkpoint != ""
		j := r.task.step.occurrence.job
		until := e.extendGrant(now, c.config.Bounds)
		start := Start{
			Endpoint: e.ID, Task: r.task.name, Run: r.number, Spec: j.Spec, Saved: r.task.checkpoint, Until: until,
			Born: e.born,
		}
		if held, ok := r.task.step.advice.tickets[e.ID]; ok {
			start.Ticket = held.text
		}
		j.hasBegun = true
		if j.state == Queued {
			j.state = Running
		}
		c.counts.Started++
		starts = append(starts, start)
	}
	return starts
}

// mayStart reports whether the start of a run that was placed may be ordered now.
func (c *Cell) mayStart(now time.Time, r *run) bool {
	e := r.endpoint
	return !r.isStopping && e.isSchedulable(now) && e.born == r.born && !e.isOvercommitted(r.reserved) && !c.isOrphaned(r.task)
}

// brokenGangs returns the gangs of which some member may not be started. The others would
// wait for it in vain.
func (c *Cell) brokenGangs(now time.Time, runs []*run) map[*step]bool {
	broken := make(map[*step]bool)
	for _, r := range runs {
		if r.task.step.Gang && !c.mayStart(now, r) {
			broken[r.task.step] = true
		}
	}
	return broken
}

// IsStartCurrent reports whether a start that is queued for sending is still needed, and
// still fits. It is not needed if its task has completed elsewhere or its job was cancelled
// meanwhile, and not allowed once the endpoint's data centre is evacuated or another run of the
// task was found. After a restart of the endpoint, its grant would be for the earlier clock.
func (c *Cell) IsStartCurrent(s Start) bool {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return false
	}
	r := e.runs[s.Task]
	isCurrent := r != nil && r.number == s.Run && s.Born == e.born && r.phase == ordered && !r.isStopping && r.task.run == r && !r.task.isDone
	return isCurrent && !e.isOvercommitted(r.reserved) && !e.isEvacuated && !e.isSuspended && !c.isOrphaned(r.task)
}

// RenewStart returns a start that has waited to be sent, with a grant that counts from now. It must be
// called right before the start is sent, and only if IsStartCurrent holds. The grant of an endpoint
// of which the last grant was stored for the next owner stays as it is.
func (c *Cell) RenewStart(now time.Time, s Start) Start {
	e := c.endpoints[s.Endpoint]
	if e.isGrantFinal {
		return s
	}
	s.Until = e.extendGrant(now, c.config.Bounds)
	e.runs[s.Task].orderedAt = now
	return s
}

// sortActive removes finished jobs from c.active and sorts the rest stably.
func (c *Cell) sortActive(compare func(a, b *job) int) {
	c.active = slices.DeleteFunc(c.active, (*job).isOver)
	slices.SortStableFunc(c.active, compare)
}

// Forget deletes the steps and tasks of jobs that have ended and have no runs left, once no grant can keep an unknown run at work, and such jobs
// themselves that ended more than Bounds.Retention ago.
func (c *Cell) Forget(now time.Time) {
	hasRuns := make(map[*job]bool)
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			hasRuns[r.task.step.occurrence.job] = true
		}
	}
	for id, j := range c.jobs {
		if !j.isOver() || hasRuns[j] || now.Sub(j.ended) <= c.config.Bounds.longestGrant() {
			continue
		}
		c.heldTasks -= len(j.occurrences) * j.tasksPerOccurrence()
		c.heldSteps -= len(j.Steps)
		clear(j.occurrences)
		j.Steps = nil
		if now.Sub(j.ended) > c.config.Bounds.Retention {
			delete(c.jobs, id)
		}
	}
}

// Status returns the state of a job. A job that has ended is reported as running
// until the record of its end is stored.
func (c *Cell) Status(id string) (state State, isKnown bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.isOver() {
		if j.storedState == "" {
			return Running, true
		}
		return j.storedState, true
	}
	return j.state, true
}

// Pending returns the number of jobs that belong to the caller's queue, whoever's they are, that have not
// ended and of which no task has started.
func (c *Cell) Pending(caller Caller) int {
	count := 0
	for _, j := range c.active {
		if !j.isOver() && !j.hasBegun && c.belonging(&j.Job, caller) == Allowed {
			count++
		}
	}
	return count
}

// Need is a client account's resource usage and unmet demand in this cell.
type Need struct {
	// Used is the size of its runs, Wanted that of the tasks held back by its limit which it can reach (Config.AccountReach).
	Used, Wanted Size
	// LongRunning is the part of Used that does not end by itself, Staying the one that will not end soon, with LongRunning.
	LongRunning, Staying Size
	// Units are the sizes of tasks, and of whole gangs, that its limit alone keeps from
	// starting: each once, in scheduling order, maxNeedUnits at most.
	Units []Size
	// Started is the number of runs that this owner has placed for the account.
	Started int64 `json:",omitempty"`
}

// maxNeedUnits is the largest number of sizes in Need.Units. The first one that fits the whole
// limit of the account counts.
const maxNeedUnits = 4

// Needs returns the needs of all client accounts with runs or unmet demand.
func (c *Cell) Needs() map[string]Need {
	needs := make(map[string]Need, len(c.used))
	staying, longRunning := c.stayingUsage()
	for account, used := range c.used {
		needs[account] = Need{Used: used, LongRunning: longRunning[account], Staying: staying[account], Started: c.placed[account]}
	}
	for account, wanted := range c.wanted {
		need := needs[account]
		need.Started = c.placed[account]
		need.Wanted, need.Units = wanted, slices.Clone(c.units[account])
		if h := c.limitHolds[account]; h != nil {
			// Nothing else can be started that does not leave the limit its size.
			need.Units = append([]Size{h.size}, slices.DeleteFunc(need.Units, func(s Size) bool { return s == h.size })...)
		}
		needs[account] = need
	}
	delete(needs, "")
	return needs
}

func byEndpointID(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }
