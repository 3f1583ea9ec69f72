package jobs

import (
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/fairshare"
)

// job is an accepted job with the state of its tasks.
type job struct {
	Job
	occurrences map[int]*occurrence
	// nextOccurrence is the first occurrence that has not begun, occurrencesLeft
	// the number of those that have not ended.
	nextOccurrence, occurrencesLeft int
	state                           State
	// storedState is the final state once its record is stored, empty before.
	storedState State
	hasBegun    bool
	// arrived is when this owner first learned of the job, also by an attempt to submit it
	// that was rejected; ended is when it ended.
	arrived, ended time.Time
	// estimates holds what was predicted of each step in the round estimateRound, nil before.
	estimates     []estimate
	estimateRound int
	// due is when the job must have ended to meet its objective.
	due time.Time
	// blockedSince is since when some ready task could not be placed, for lack of
	// room or because of the client account's limit, zero if there is none.
	blockedSince time.Time
	// isBeyondRate reports that the job was submitted beyond the rate of its client account.
	isBeyondRate bool
	// rank is the scheduling order, standing the position relative to the share of the client
	// account, both as of the last planning pass.
	rank     rankKey
	standing fairshare.Standing
	// load is that of the client account, need what runs and what could run now, both as of
	// the last update of the shares.
	load *accountLoad
	need Size
	// blockedReportedAt is when BlockedTasks last reported the job.
	blockedReportedAt time.Time
}

func (j *job) isOver() bool { return j.state != Queued && j.state != Running }

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// stepsLeft counts the steps that are not done.
	stepsLeft int
}

// step is the state of one step in one occurrence.
type step struct {
	*Step
	occurrence *occurrence
	number     int
	tasks      []*task
	// waiting are the tasks without a run that may be placed, the next one last.
	waiting []*task
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// learned counts the tasks with a runTime.
	learned int
	// givenUp counts the tasks that were given up.
	givenUp int
	// isReady is set once all steps listed in After are done.
	isReady bool
	// noLimitHoldBefore is the time before which no limit is kept free for the step.
	noLimitHoldBefore time.Time
	// advice is used only if the queue has advice.
	advice adviceState
}

// task is the state of one task of a step.
type task struct {
	name  string
	step  *step
	index int
	// lastRun is the number of the last run. failedRuns lists the numbers of the
	// failed ones: an endpoint may list an end again to the next owner, and each
	// failure must count only once towards Attempts.
	lastRun    int
	failedRuns []int
	isDone     bool
	// crashedRuns lists the numbers of the runs soon after whose start the endpoint crashed,
	// evidence is the evidence that the task is the cause (see convictingEvidence).
	crashedRuns []int
	evidence    float64
	// crashAge is the longest time from a start to one of these crashes.
	crashAge time.Duration
	// isSuspect reports that the task may have crashed the endpoint of its last run.
	isSuspect bool
	// isGivenUp reports that the task is not started any more because it crashes its
	// endpoints.
	isGivenUp bool
	// run is the run that exists or may exist on an endpoint, nil if there is none.
	run *run
	// original is a run that goes on beside run, which is a speculative copy of it; nil if
	// there is none.
	original *run
	// lastLoss is the last run of the task that counted as lost, nil if there was none.
	lastLoss *loss
	// checkpoint is the last saved checkpoint, passed to the next run.
	checkpoint string
	// notBefore delays the next start after a refusal.
	notBefore time.Time
	// noSuspectBefore delays the next start on a suspect endpoint after a failure.
	noSuspectBefore time.Time
	// noHoldBefore is the time before which no endpoint is held for the task.
	noHoldBefore time.Time
	// avoidEndpoint is the ID of the endpoint where the last run failed or stalled.
	avoidEndpoint string
	// failedOn holds the first endpoints on which runs of the task failed or stalled.
	failedOn []*Endpoint
	// runTime is how long the run took that completed the task, in seconds, 0 if it was not
	// learned from.
	runTime float32
	// lastServing is when a long-running task was last listed at 100 percent.
	lastServing time.Time
}

// runPhase is what the owner knows about the execution of a run.
type runPhase int

const (
	// placed runs wait for their placement record to be stored.
	placed runPhase = iota
	// ordered runs wait for the answer to their start order.
	ordered
	// unconfirmed runs got no answer to their start order, or were accepted or listed by
	// an endpoint that may have restarted since.
	unconfirmed
	// inherited runs were placed by an earlier owner and are not confirmed yet.
	inherited
	// running runs were confirmed by the endpoint.
	running
)

// run is one attempt to execute a task on an endpoint.
type run struct {
	task     *task
	number   int
	endpoint *Endpoint
	// born identifies the incarnation of the endpoint, orderedBorn the one that the run was
	// placed on.
	born, orderedBorn int64
	phase             runPhase
	// isIncarnationKnown is set once it is known that the incarnation born has carried the
	// start out: the endpoint has listed the run, or answered the start with a clock that a
	// later one cannot have. It bounds how long the run can last on a silent endpoint.
	isIncarnationKnown bool
	// listedSince is when the last listing that has the run as running was asked for, zero if
	// there was none.
	listedSince time.Time
	// isKnownSettled reports that the endpoint has survived the start of the run, as far as
	// that is stored.
	isKnownSettled bool
	// connectedAt is when the connection that carried the start had been opened, zero if
	// that is unknown. A connection may outlive the incarnation that it was opened to.
	connectedAt time.Time
	// orderedAt is when the start was ordered, confirmedAt when the endpoint first
	// accepted it or listed the run.
	orderedAt, confirmedAt time.Time
	// isResumed reports that the run continues from a checkpoint.
	isResumed bool
	// acceptedAt is when it became known that the start has been carried out, from its
	// answer or a listing, zero before. Only a listing that was asked for later can show
	// that the run is absent: the endpoint may copy the list of its runs before it starts
	// one and read the clock of the answer after that, so clocks do not order the two.
	acceptedAt time.Time
	// isStopping is set once the run is to be stopped. firstStopSentAt and stopSentAt are
	// when the stop was first and last ordered, stoppedAt when the answer that accepted
	// it arrived, zero before.
	isStopping                  bool
	stopReason                  string
	firstStopSentAt, stopSentAt time.Time
	stoppedAt                   time.Time
	// isStopRevocable is set if the run is to be stopped only because its start was not
	// answered and the endpoint did not list it. The stop keeps the start from being carried
	// out later; it is revoked if the run is listed before a stop was accepted.
	isStopRevocable bool
	// percent is the progress last listed, progressedAt when it last changed.
	percent      int
	progressedAt time.Time
	// measurement is the last ListedRun.Measurement.
	measurement int
	// pace is the speed last ordered, sentPace the one last accepted by the
	// endpoint, both in percent of full speed.
	pace, sentPace int
	// reserved is the size subtracted from the endpoint's free capacity.
	reserved Size
	// unresolvedReportedAt is when UnresolvedRuns last reported the run.
	unresolvedReportedAt time.Time
}

// addJob registers a job. The tasks of a job that is not timed are created at once.
func (c *Cell) addJob(spec Job, now time.Time) *job {
	j := &job{
		Job:             spec,
		occurrences:     make(map[int]*occurrence),
		occurrencesLeft: spec.Occurrences(),
		state:           Queued,
		arrived:         c.arrivals.firstAttempt(now, spec.ID),
		isBeyondRate:    c.arrivals.attempts[spec.ID].isBeyondRate,
	}
	c.heldSteps += len(spec.Steps)
	c.jobs[spec.ID] = j
	c.active = append(c.active, j)
	j.due = j.arrived.Add(c.objective(j))
	if spec.Times == 0 {
		c.beginOccurrence(j, 0)
	}
	return j
}

// beginOccurrence creates the steps and tasks of an occurrence, unless it has begun
// already.
func (c *Cell) beginOccurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{Step: spec, occurrence: o, number: i, tasksLeft: spec.Count}
		s.tasks = make([]*task, spec.Count)
		s.waiting = make([]*task, 0, spec.Count)
		all := make([]task, spec.Count)
		for k := range all {
			name := TaskName{Job: j.ID, Occurrence: number, Step: i, Index: k}
			all[k] = task{name: name.String(), step: s, index: k}
			s.tasks[k] = &all[k]
		}
		for k := spec.Count - 1; k >= 0; k-- {
			s.waiting = append(s.waiting, s.tasks[k])
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	c.heldTasks += j.tasksPerOccurrence()
	j.nextOccurrence = max(j.nextOccurrence, number+1)
	o.updateReady()
	return o
}

// updateReady marks the steps as ready whose preceding steps are done.
func (o *occurrence) updateReady() {
	for _, s := range o.steps {
		if s.isReady {
			continue
		}
		s.isReady = !slices.ContainsFunc(s.After, func(earlier int) bool { return o.steps[earlier].tasksLeft > 0 })
	}
}

// findTask returns the task with a name, nil if there is none. Occurrences up to
// that of the task are begun if they have not been. Occurrences that have ended,
// and those of finished jobs that have not begun, have no tasks.
func (c *Cell) findTask(name string) *task {
	n, ok := ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil || n.Occurrence >= j.Occurrences() || n.Step >= len(j.Steps) || n.Index >= j.Steps[n.Step].Count {
		return nil
	}
	o := j.occurrences[n.Occurrence]
	if o == nil {
		if j.isOver() || n.Occurrence < j.nextOccurrence {
			return nil
		}
		for k := j.nextOccurrence; k <= n.Occurrence; k++ {
			o = c.beginOccurrence(j, k)
		}
	}
	return o.steps[n.Step].tasks[n.Index]
}

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil }) {
				return true
			}
		}
	}
	return false
}
