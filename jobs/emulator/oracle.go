package emulator

import (
	"fmt"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// maxStartAfterCancel is how long after an accepted cancellation a task of the job
// may still start, by an order that was already under way.
const maxStartAfterCancel = 3 * time.Second

// After maxCrashes endpoints have crashed under a task, it may be started fewer than
// maxStartsAfterCrashes times.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// minCrashesToFail is the number of endpoints that must have crashed under a task before its
// job may be reported as failed for it.
const minCrashesToFail = 2

// overcommitDivisor gives the permitted overcommit: a tenth of the limit.
const overcommitDivisor = 10

// oracle records what the endpoints actually run and checks it against the safety
// invariants.
type oracle struct {
	world *World
	// submitted holds the IDs of all jobs that were submitted.
	submitted map[string]bool
	// running holds the runs of each task, by task name.
	running map[string][]*emulatedRun
	// done holds the tasks of which a run has completed, acknowledged those of them
	// whose end an owner has acknowledged. failed counts the acknowledged failures
	// of a task.
	done, acknowledged map[string]bool
	failed             map[string]int
	// failedEnds counts the failures of a task, acknowledged or not, crashes the endpoints that
	// crashed under it, and startsAfterCrashes its starts after maxCrashes of them.
	failedEnds, crashes, startsAfterCrashes map[string]int
	// cancelledAt holds when the cancellation of a job was accepted, by job ID.
	cancelledAt map[string]time.Time
	// cancelRequested holds the IDs of the jobs whose cancellation was requested.
	cancelRequested map[string]bool
	// longRunning holds the accepted jobs with long-running steps in the order of their
	// acceptance, acceptedAt when that was, by job ID.
	longRunning []jobs.Job
	acceptedAt  map[string]time.Time
	// lastRunEnd holds when the last run of a task ended, missingSince since when a
	// long-running task has had no run although it should, both by task name.
	lastRunEnd, missingSince map[string]time.Time
	// reports holds the last report of the cell on a run or task that kept a task from
	// running, by task name.
	reports map[string]string
	// disruptedUntil is the time up to which faults were seen.
	disruptedUntil time.Time
	violations     []string
}

func newOracle(w *World) oracle {
	return oracle{
		world: w, submitted: make(map[string]bool), running: make(map[string][]*emulatedRun),
		done: make(map[string]bool), acknowledged: make(map[string]bool), failed: make(map[string]int),
		cancelledAt: make(map[string]time.Time), cancelRequested: make(map[string]bool),
		acceptedAt: make(map[string]time.Time), lastRunEnd: make(map[string]time.Time),
		missingSince: make(map[string]time.Time), reports: make(map[string]string),
		failedEnds: make(map[string]int), crashes: make(map[string]int), startsAfterCrashes: make(map[string]int),
	}
}

// report records a violation of the named rule.
func (o *oracle) report(rule, format string, values ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s at %s: %s", rule, o.elapsed(), fmt.Sprintf(format, values...)))
}

// elapsed returns the time since the world began.
func (o *oracle) elapsed() time.Duration { return o.world.now.Sub(time.Unix(1000, 0)) }

// checkStart checks the start of a run against all invariants and returns the capacity
// that it reserves.
func (o *oracle) checkStart(r *emulatedRun) jobs.Size {
	name, ok := jobs.ParseTaskName(r.task)
	job, isKnown := o.job(name.Job)
	if !ok || !isKnown || name.Step >= len(job.Steps) || name.Index >= job.Steps[name.Step].Count {
		o.report("UNASKED", "%s was never submitted", r.task)
		return jobs.Size{}
	}
	step := &job.Steps[name.Step]
	o.checkPlace(r, step)
	o.checkEvacuated(r)
	o.checkSteps(name, job, r.endpoint)
	if job.Attempts > 0 && !step.LongRunning && o.failed[r.task] >= job.Attempts {
		o.report("BUDGET", "%s started again after %d failed runs", r.task, o.failed[r.task])
	}
	if o.crashes[r.task] >= maxCrashes {
		o.startsAfterCrashes[r.task]++
		if o.startsAfterCrashes[r.task] == maxStartsAfterCrashes {
			o.report("BUDGET", "%s started %d times after %d endpoints had crashed under it", r.task, maxStartsAfterCrashes, maxCrashes)
		}
	}
	if at, isCancelled := o.cancelledAt[name.Job]; isCancelled && o.world.now.Sub(at) > maxStartAfterCancel && !o.world.isCarriedOutLate {
		o.report("UNASKED", "%s started after its job was cancelled", r.task)
	}
	o.running[r.task] = append(o.running[r.task], r)
	o.checkLimit(job, step.Each)
	return step.Reserved()
}

// checkPlace checks that the run fits on the endpoint, that the endpoint has the
// required label, and that the task neither has another run, there or elsewhere, nor is
// done, unless copies of it are allowed.
func (o *oracle) checkPlace(r *emulatedRun, step *jobs.Step) {
	e := r.endpoint
	if !e.used().Plus(step.Reserved()).Fits(e.countedCapacity()) {
		o.report("LIMIT", "%s does not fit on %s", r.task, e.id)
	}
	if !step.Speculative && len(o.running[r.task]) > 0 {
		o.report("TWICE", "%s run %d started on %s while the task runs: %s", r.task, r.number, e.id, o.describeRuns(r.task))
	}
	if !step.Speculative && o.acknowledged[r.task] {
		o.report("TWICE", "%s started again after it was done", r.task)
	}
	if step.Requires != "" && step.Requires != "a" && step.Requires != e.rack {
		o.report("ROUTE", "%s needs label %s", r.task, step.Requires)
	}
}

// describeRuns describes where a task runs and for how long.
func (o *oracle) describeRuns(task string) (runs []string) {
	for _, r := range o.running[task] {
		runs = append(runs, fmt.Sprintf("run %d on %s incarnation %d for %s, stopping %t",
			r.number, r.endpoint.id, r.endpoint.incarnation, o.world.now.Sub(r.began), r.isStopping))
	}
	return runs
}

// job returns a submitted job whose record is in the journal.
func (o *oracle) job(id string) (jobs.Job, bool) {
	if !o.submitted[id] {
		return jobs.Job{}, false
	}
	for _, record := range o.world.journal {
		if record.Job != nil && record.Job.ID == id {
			return *record.Job, true
		}
	}
	return jobs.Job{}, false
}

// checkSteps checks that earlier steps are done and that the number of the step's
// tasks on the endpoint is within its anti-affinity limit.
func (o *oracle) checkSteps(name jobs.TaskName, job jobs.Job, e *Endpoint) {
	step := &job.Steps[name.Step]
	for _, earlier := range step.After {
		if task, isDone := o.isDone(job, name.Occurrence, earlier); !isDone {
			o.report("ORDER", "%s started before %s was done", name, task)
		}
	}
	if step.AntiAffinity == 0 {
		return
	}
	if count := o.countTasks(job, name, e) + 1; count > step.AntiAffinity {
		o.report("ROUTE", "%d tasks of a step on %s", count, e.id)
	}
}

// countTasks returns how many tasks of the step of a task run on an endpoint.
func (o *oracle) countTasks(job jobs.Job, name jobs.TaskName, e *Endpoint) (count int) {
	for k := range job.Steps[name.Step].Count {
		task := jobs.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: k}.String()
		for _, r := range o.running[task] {
			if r.endpoint == e {
				count++
			}
		}
	}
	return count
}

// isDone reports whether all tasks of a step are done, and if not, names one that is
// not. A gang is done when one of its members is.
func (o *oracle) isDone(job jobs.Job, occurrence, step int) (unfinished string, isDone bool) {
	s := &job.Steps[step]
	any := false
	for k := range s.Count {
		task := jobs.TaskName{Job: job.ID, Occurrence: occurrence, Step: step, Index: k}.String()
		if o.done[task] {
			any = true
		} else {
			unfinished = task
		}
	}
	return unfinished, unfinished == "" || s.Gang && any
}

// checkLimit checks what the job's client account has running against its limit.
// each is the size of the task that was just started.
func (o *oracle) checkLimit(job jobs.Job, each jobs.Size) {
	limit, isBounded := o.world.config.Limits[job.Account]
	if !isBounded {
		return
	}
	used := o.accountUsage(job.Account)
	// Usage may exceed the limit by the permitted overcommit and one task.
	allowed := jobs.Size{
		CPU:    limit.CPU + limit.CPU/overcommitDivisor + each.CPU,
		Memory: limit.Memory + limit.Memory/overcommitDivisor + each.Memory,
		GPUs:   limit.GPUs + limit.GPUs/overcommitDivisor + each.GPUs,
	}
	if !used.Fits(allowed) {
		o.report("QUOTA", "%s uses %v, more than its limit %v allows", job.Account, used, limit)
	}
}

// accountUsage returns the size of what a client account has running.
func (o *oracle) accountUsage(account string) (used jobs.Size) {
	for task, runs := range o.running {
		name, _ := jobs.ParseTaskName(task)
		other, _ := o.job(name.Job)
		if other.Account == account && len(runs) > 0 {
			used = used.Plus(other.Steps[name.Step].Each.Times(int64(len(runs))))
		}
	}
	return used
}

// removeRun records that a run is over.
func (o *oracle) removeRun(r *emulatedRun) {
	o.running[r.task] = slices.DeleteFunc(o.running[r.task], func(other *emulatedRun) bool { return other == r })
	o.lastRunEnd[r.task] = o.world.now
}

func (o *oracle) recordEnd(r *emulatedRun, outcome jobs.Outcome) {
	o.removeRun(r)
	switch outcome {
	case jobs.Done:
		o.done[r.task] = true
	case jobs.Failed:
		o.failedEnds[r.task]++
	}
}

// acknowledge records that an owner acknowledged the end of a run. The end does not
// count if the endpoint's grant has expired since, because the task may by then
// have been placed again.
func (o *oracle) acknowledge(r endedRun, e *Endpoint) {
	if e.lapsedAt.After(r.at) {
		return
	}
	switch r.End.Outcome {
	case jobs.Done:
		o.acknowledged[r.End.Task] = true
	case jobs.Failed:
		o.failed[r.End.Task]++
	}
}

func (o *oracle) recordCancellation(id string) { o.cancelledAt[id] = o.world.now }

// checkVisibleState checks a job state that was reported to callers.
func (o *oracle) checkVisibleState(id string, state jobs.State) {
	job, isKnown := o.job(id)
	if !isKnown {
		o.report("MIXED", "%s is reported to callers but was never submitted", id)
		return
	}
	if state == jobs.JobFailed && !o.mayHaveFailed(job) {
		o.report("LOST", "%s is reported as failed without cause", id)
	}
	if state != jobs.Completed {
		return
	}
	for i := range job.Steps {
		for n := range job.Occurrences() {
			if task, isDone := o.isDone(job, n, i); !isDone {
				o.report("MIXED", "%s is reported as completed before %s is done", id, task)
			}
		}
	}
}

// recordCrash records that a run of a task has crashed its endpoint.
func (o *oracle) recordCrash(task string) { o.crashes[task]++ }

// mayHaveFailed reports whether a job may be reported as failed: a task of it has failed
// too often, or has crashed endpoints. The failures of a gang count together.
func (o *oracle) mayHaveFailed(job jobs.Job) bool {
	for i := range job.Steps {
		for n := range job.Occurrences() {
			failures := 0
			for k := range job.Steps[i].Count {
				task := jobs.TaskName{Job: job.ID, Occurrence: n, Step: i, Index: k}.String()
				if o.crashes[task] >= minCrashesToFail {
					return true
				}
				if job.Steps[i].Gang {
					failures += o.failedEnds[task]
				} else {
					failures = max(failures, o.failedEnds[task])
				}
			}
			if job.Attempts > 0 && failures >= job.Attempts {
				return true
			}
		}
	}
	return false
}
