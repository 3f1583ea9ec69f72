package emulator

import (
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// cancelLimit is how long after an accepted cancelling starts may still happen
// by orders that were under way.
const cancelLimit = 3 * time.Second

// overcommitShare is the share of a limit that may be used beyond it: a tenth.
const overcommitShare = 10

// oracle knows what the endpoints have done and what must hold.
type oracle struct {
	world *World
	// sent are the jobs that a submitter has handed in.
	sent map[string]bool
	// running tells where each task runs.
	running map[string]map[*Endpoint]bool
	// done are tasks that ended done, noted those whose end an owner has
	// acknowledged, failed the acknowledged failures.
	done, acknowledged map[string]bool
	failed             map[string]int
	gone               map[string]time.Time
	violations         []string
}

func newOracle(w *World) oracle {
	return oracle{
		world: w, sent: make(map[string]bool), running: make(map[string]map[*Endpoint]bool),
		done: make(map[string]bool), acknowledged: make(map[string]bool), failed: make(map[string]int),
		gone: make(map[string]time.Time),
	}
}

func (o *oracle) fail(rule, format string, values ...any) {
	at := o.world.now.Sub(time.Unix(1000, 0))
	o.violations = append(o.violations, fmt.Sprintf("%s at %s: %s", rule, at, fmt.Sprintf(format, values...)))
}

// started checks a start against all that must hold, and returns the room that
// it takes.
func (o *oracle) started(order jobs.Start, e *Endpoint) jobs.Size {
	name, ok := jobs.ParseTaskName(order.Task)
	job, isKnown := o.job(name.Job)
	if !ok || !isKnown || name.Step >= len(job.Steps) || name.Index >= job.Steps[name.Step].Count {
		o.fail("UNASKED", "%s was never handed in", order.Task)
		return jobs.Size{}
	}
	step := &job.Steps[name.Step]
	o.checkPlace(order, step, e)
	o.checkSteps(name, job, e)
	if job.Attempts > 0 && !step.LongRunning && o.failed[order.Task] >= job.Attempts {
		o.fail("BUDGET", "%s has failed %d times", order.Task, o.failed[order.Task])
	}
	if at, isGone := o.gone[name.Job]; isGone && o.world.now.Sub(at) > cancelLimit && o.world.faults.LateOrders == 0 {
		o.fail("UNASKED", "%s was cancelled", order.Task)
	}
	if o.running[order.Task] == nil {
		o.running[order.Task] = make(map[*Endpoint]bool)
	}
	o.running[order.Task][e] = true
	o.checkLimit(job, step.Each)
	return step.Reserved()
}

// checkPlace checks room, labels and that the task runs once.
func (o *oracle) checkPlace(order jobs.Start, step *jobs.Step, e *Endpoint) {
	if !e.used().Plus(step.Reserved()).Fits(e.capacity) {
		o.fail("LIMIT", "%s does not fit on %s", order.Task, e.id)
	}
	if !step.Speculative && len(o.running[order.Task]) > 0 {
		o.fail("TWICE", "%s run %d on %s runs already on %s", order.Task, order.Run, e.id, o.places(order.Task))
	}
	if !step.Speculative && o.acknowledged[order.Task] {
		o.fail("TWICE", "%s is done", order.Task)
	}
	if step.Requires != "" && step.Requires != "a" && step.Requires != e.rack {
		o.fail("ROUTE", "%s needs label %s", order.Task, step.Requires)
	}
}

// places names where a task runs.
func (o *oracle) places(task string) (ids []string) {
	for e := range o.running[task] {
		ids = append(ids, fmt.Sprintf("%s life %d since %s", e.id, e.life, o.world.now.Sub(e.runs[task].began)))
	}
	return ids
}

func (o *oracle) job(id string) (jobs.Job, bool) {
	if !o.sent[id] {
		return jobs.Job{}, false
	}
	for _, record := range o.world.log {
		if record.Job != nil && record.Job.ID == id {
			return *record.Job, true
		}
	}
	return jobs.Job{}, false
}

// checkSteps checks the order of steps and how far their tasks are apart.
func (o *oracle) checkSteps(name jobs.TaskName, job jobs.Job, e *Endpoint) {
	step := &job.Steps[name.Step]
	for _, earlier := range step.After {
		if task, isDone := o.isDone(job, name.Occurrence, earlier); !isDone {
			o.fail("ORDER", "%s before %s", name, task)
		}
	}
	if step.AntiAffinity == 0 {
		return
	}
	count := 1
	for k := range step.Count {
		task := jobs.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: k}.String()
		if o.running[task][e] {
			count++
		}
	}
	if count > step.AntiAffinity {
		o.fail("ROUTE", "%d tasks of a step on %s", count, e.id)
	}
}

// isDone tells whether all tasks of a step have ended done, and which has not.
// One end of a gang stands for all of its members.
func (o *oracle) isDone(job jobs.Job, occurrence, step int) (open string, isDone bool) {
	s := &job.Steps[step]
	any := false
	for k := range s.Count {
		task := jobs.TaskName{Job: job.ID, Occurrence: occurrence, Step: step, Index: k}.String()
		if o.done[task] {
			any = true
		} else {
			open = task
		}
	}
	return open, open == "" || s.Gang && any
}

// checkLimit checks what the job's client account has running.
func (o *oracle) checkLimit(job jobs.Job, each jobs.Size) {
	limit, isBounded := o.world.config.Limits[job.Account]
	if !isBounded {
		return
	}
	var used jobs.Size
	for task, places := range o.running {
		name, _ := jobs.ParseTaskName(task)
		other, _ := o.job(name.Job)
		if other.Account == job.Account && len(places) > 0 {
			used = used.Plus(other.Steps[name.Step].Each.Times(int64(len(places))))
		}
	}
	// The stated bound is the limit with its overcommit and one task more.
	allowed := jobs.Size{
		CPU:    limit.CPU + limit.CPU/overcommitShare + each.CPU,
		Memory: limit.Memory + limit.Memory/overcommitShare + each.Memory,
	}
	if !used.Fits(allowed) {
		o.fail("QUOTA", "%s runs %v of %v", job.Account, used, limit)
	}
}

func (o *oracle) left(task string, e *Endpoint) { delete(o.running[task], e) }

func (o *oracle) ended(task string, how jobs.How, e *Endpoint) {
	o.left(task, e)
	if how == jobs.Done {
		o.done[task] = true
	}
}

// noted takes in that an end was acknowledged. Where the grant has lapsed since
// the end, it does not count.
func (o *oracle) noted(r endedRun, e *Endpoint) {
	if e.lapsed.After(r.at) {
		return
	}
	switch r.End.How {
	case jobs.Done:
		o.acknowledged[r.End.Task] = true
	case jobs.Failed:
		o.failed[r.End.Task]++
	}
}

func (o *oracle) cancelled(id string) { o.gone[id] = o.world.now }

// shown checks a state that callers may see.
func (o *oracle) shown(id string, state jobs.State) {
	job, isKnown := o.job(id)
	if !isKnown {
		o.fail("MIXED", "%s is shown and was never handed in", id)
		return
	}
	if state != jobs.Completed {
		return
	}
	for i := range job.Steps {
		for n := range job.Occurrences() {
			if task, isDone := o.isDone(job, n, i); !isDone {
				o.fail("MIXED", "%s is shown as completed before %s", id, task)
			}
		}
	}
}
