package jobs

import "time"

// Load is what runs on an endpoint.
type Load struct {
	Endpoint string
	// IsKnown tells whether the cell knows the endpoint.
	IsKnown bool
	// Runs counts all runs, Lasting those of long-running tasks.
	Runs, Lasting int
	// CPU is what the runs take, in thousandths of a core.
	CPU int64
}

// Active returns how many jobs are not over.
func (c *Cell) Active() int {
	count := 0
	for _, j := range c.active {
		if !j.isOver() {
			count++
		}
	}
	return count
}

// Finished returns the IDs of the jobs that are over with this batch.
func (b *Batch) Finished() []string {
	ids := make([]string, len(b.finish))
	for i, j := range b.finish {
		ids[i] = j.ID
	}
	return ids
}

// Evacuate keeps new work off an endpoint until a time and returns what runs
// there. If it is asked for, long-running tasks are stopped as far as their
// steps allow, so that they start elsewhere.
func (c *Cell) Evacuate(now time.Time, id string, until time.Time, evacuate bool) Load {
	e := c.endpoints[id]
	if e == nil {
		return Load{Endpoint: id}
	}
	if until.After(e.cordon) {
		e.cordon = until
	}
	for _, r := range sortedRuns(e) {
		if evacuate && r.task.step.LongRunning && !r.isStopping && r.phase == running && c.isDisruptionAllowed(now, r) {
			c.stopRun(r, "evacuation for planned work")
		}
	}
	return e.load()
}

// isDisruptionAllowed tells whether a long-running task may be away now: the others of its
// step that are away stay below what the step allows.
func (c *Cell) isDisruptionAllowed(now time.Time, r *run) bool {
	s := r.task.step
	if s.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !t.isServing(now) {
			away++
		}
	}
	return away < s.MaxUnavailable
}

// isServing tells whether a long-running task works, as far as is known.
func (t *task) isServing(now time.Time) bool {
	return t.run != nil && t.run.phase == running && !t.run.isStopping && t.run.percent >= 100 && now.Sub(t.lastServing) < 2*idleLook
}
