package emulator

import (
	"slices"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Epoch returns the epoch of the last owner; isServing reports whether it still serves the cell.
func (w *World) Epoch() (epoch int64, isServing bool) {
	return w.epoch, w.owner != nil && !w.owner.isStopped
}

// Needs returns the needs of all client accounts as the last owner knows them.
func (w *World) Needs() map[string]jobs.Need { return w.owner.cell.Needs() }

// Usage returns the size of what a client account has running.
func (w *World) Usage(account string) jobs.Size { return w.oracle.accountUsage(account) }

// Waiting returns the sizes of the tasks of a client account that are neither done nor running although the steps before theirs are done,
// each once. A gang counts as one task. Jobs that end otherwise than completed are not allowed for.
func (w *World) Waiting(account string) (sizes []jobs.Size) {
	for _, job := range w.accepted {
		if job.Account != account {
			continue
		}
		for i := range job.Steps {
			size := job.Steps[i].Each
			if job.Steps[i].Gang {
				size = size.Times(int64(job.Steps[i].Count))
			}
			if w.isStepWaiting(job, i) && !slices.Contains(sizes, size) {
				sizes = append(sizes, size)
			}
		}
	}
	return sizes
}

// isStepWaiting reports whether a task of a step waits.
func (w *World) isStepWaiting(job jobs.Job, number int) bool {
	step := &job.Steps[number]
	for _, earlier := range step.After {
		if _, isDone := w.oracle.isDone(job, 0, earlier); !isDone {
			return false
		}
	}
	running := 0
	for k := range step.Count {
		task := jobs.TaskName{Job: job.ID, Step: number, Index: k}.String()
		if len(w.oracle.running[task]) > 0 {
			running++
		} else if !w.oracle.done[task] && !step.Gang {
			return true
		}
	}
	_, isDone := w.oracle.isDone(job, 0, number)
	return step.Gang && running == 0 && !isDone
}
