package emulator

import (
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Timing of the rule that long-running tasks run.
const (
	lostCheckInterval = 100 * time.Millisecond
	// restartTime is how long after its last run a task may be without one,
	// maxMissingTime how long it may be so later on, calmTime how long before that must
	// have been without disruption.
	restartTime    = 6 * time.Second
	maxMissingTime = 3 * time.Second
	calmTime       = 4 * time.Second
)

// disrupt records a fault that lasts until a time.
func (o *oracle) disrupt(until time.Time) {
	if until.After(o.disruptedUntil) {
		o.disruptedUntil = until
	}
}

// recordAcceptance records that a job was accepted.
func (o *oracle) recordAcceptance(job jobs.Job) {
	if job.IsLongRunning() {
		o.longRunning = append(o.longRunning, job)
		o.acceptedAt[job.ID] = o.world.now
	}
}

// recordReports records what the cell reports on tasks that do not run.
func (o *oracle) recordReports(cell *jobs.Cell) {
	now := o.world.now
	runs, _ := cell.UnresolvedRuns(now)
	for _, r := range runs {
		o.reports[r.Task] = fmt.Sprintf("at %s %+v", o.elapsed(), r)
	}
	for _, t := range cell.BlockedTasks(now) {
		o.reports[t.Task] = fmt.Sprintf("at %s %+v", o.elapsed(), t)
	}
}

// isDisrupted reports whether a fault affects the owner or an endpoint now. A planned
// hand-over is no fault.
func (w *World) isDisrupted() bool {
	for _, e := range w.endpoints {
		if e.isDisrupted() {
			return true
		}
	}
	return w.owner.isStopped
}

// checkLost checks periodically that all long-running tasks run.
func (w *World) checkLost() {
	w.after(lostCheckInterval, w.checkLost)
	o := &w.oracle
	if w.isDisrupted() {
		o.disrupt(w.now)
	}
	for _, job := range o.longRunning {
		for i := range job.Steps {
			if !job.Steps[i].LongRunning {
				continue
			}
			for k := range job.Steps[i].Count {
				o.checkRuns(job, jobs.TaskName{Job: job.ID, Step: i, Index: k})
			}
		}
	}
}

// checkRuns reports a long-running task that has had no run for maxMissingTime, in calm
// times, although it could have one.
func (o *oracle) checkRuns(job jobs.Job, name jobs.TaskName) {
	now, task := o.world.now, name.String()
	if !o.shouldRun(job, name) {
		delete(o.missingSince, task)
		return
	}
	since, isMissing := o.missingSince[task]
	if !isMissing {
		o.missingSince[task] = now
		return
	}
	if now.Sub(since) >= maxMissingTime && now.Sub(o.disruptedUntil) >= maxMissingTime+calmTime {
		o.report("LOST", "%s has had no run for %s, last report: %s", task, now.Sub(o.missingFrom(job, task)), o.reports[task])
		o.missingSince[task] = now
	}
}

// missingFrom returns when the last run of a task ended, or its job was accepted if it has
// had none.
func (o *oracle) missingFrom(job jobs.Job, task string) time.Time {
	if end, ok := o.lastRunEnd[task]; ok {
		return end
	}
	return o.acceptedAt[job.ID]
}

// shouldRun reports whether a long-running task has no run and its restart time is over,
// although there is room for it twice over and its client account has half of its limit
// left. A task that has crashed endpoints need not run.
func (o *oracle) shouldRun(job jobs.Job, name jobs.TaskName) bool {
	task := name.String()
	step := &job.Steps[name.Step]
	isCrashing := o.crashes[task] >= minCrashesToFail
	if len(o.running[task]) > 0 || isCrashing || o.cancelRequested[job.ID] || o.world.now.Sub(o.missingFrom(job, task)) < restartTime {
		return false
	}
	for _, earlier := range step.After {
		if _, isDone := o.isDone(job, name.Occurrence, earlier); !isDone {
			return false
		}
	}
	if limit, isBounded := o.world.config.Limits[job.Account]; isBounded {
		if used := o.accountUsage(job.Account); !used.Plus(used).Fits(limit) {
			return false
		}
	}
	return o.countPlaces(job, name) >= 2
}

// countPlaces returns for how many runs of a task the endpoints have room that could run it.
func (o *oracle) countPlaces(job jobs.Job, name jobs.TaskName) (count int) {
	step := &job.Steps[name.Step]
	for _, e := range o.world.endpoints {
		isUsable := e.isUp && !e.isAnswerLost() && !e.isDraining
		_, isEvacuated := o.world.operator.evacuatedSince(e.centre)
		if !isUsable || isEvacuated || step.Requires != "" && step.Requires != "a" && step.Requires != e.rack {
			continue
		}
		places := step.Count
		if step.AntiAffinity > 0 {
			places = step.AntiAffinity - o.countTasks(job, name, e)
		}
		for room := e.capacity.Minus(e.used()); places > 0 && step.Reserved().Fits(room); places-- {
			room = room.Minus(step.Reserved())
			count++
		}
	}
	return count
}
