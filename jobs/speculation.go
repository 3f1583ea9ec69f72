package jobs

import "time"

const (
	// minSpeculationGain is the expected remaining time of a run, relative to the run time
	// of a copy, above which a copy is worth its processor time: it then saves at least as
	// long as it takes.
	minSpeculationGain = 2
	// minSpeculationPercent is the least progress from which the remaining time is computed.
	minSpeculationPercent = 3
	// silentSpeculationLevel is the quantile of run times above which a run without progress
	// counts as a straggler.
	silentSpeculationLevel = 0.99
	// minSpareShare is the share of the processors that must be free for copies. With less,
	// the jobs that arrive while a copy runs miss its room.
	minSpareShare = 0.2
)

// speculate starts copies of tasks that take much longer than expected, where their steps
// allow it. It uses only room that no task waits for. A task has one copy at most.
func (p *placer) speculate() {
	if p.cell.runTimes.forecaster == nil || p.cell.hasWaitingTasks() || p.freeShare() < minSpareShare {
		return
	}
	for _, j := range p.cell.active {
		if j.isOver() {
			continue
		}
		for _, o := range j.sortedOccurrences() {
			for _, s := range o.steps {
				if s.isReady && s.Speculative && !s.Gang && !s.LongRunning && !s.Fills && s.tasksLeft > 0 {
					p.speculateStep(s)
				}
			}
		}
	}
}

// freeShare returns the share of the processors of the usable endpoints that is free.
func (p *placer) freeShare() float64 {
	free, total := int64(0), int64(1)
	for _, e := range p.candidates {
		free, total = free+max(e.available().CPU, 0), total+e.Capacity.CPU
	}
	return float64(free) / float64(total)
}

// hasWaitingTasks reports whether any task waits for room.
func (c *Cell) hasWaitingTasks() bool {
	for _, j := range c.active {
		if j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.isReady && len(s.waiting) > 0 {
					return true
				}
			}
		}
	}
	return false
}

func (p *placer) speculateStep(s *step) {
	for _, t := range s.tasks {
		r := t.run
		if r == nil || t.original != nil || !p.cell.isStraggling(p.now, r) || !p.cell.mayUseLimit(s, s.Each) {
			continue
		}
		if e := p.chooseEndpoint(t); e != nil {
			t.original, t.run = r, nil
			p.placeRun(t, e, t.lastRun+1)
		}
	}
}

// isStraggling reports whether a copy of a run, started now, is expected to save more than
// it costs.
func (c *Cell) isStraggling(now time.Time, r *run) bool {
	if r.phase != running || r.isStopping || r.task.isDone || r.orderedAt.IsZero() {
		return false
	}
	d := c.predict(r.task.step.occurrence.job, r.task.step.number)
	if r.percent < minSpeculationPercent {
		return now.Sub(r.confirmedAt) > d.Quantile(silentSpeculationLevel)
	}
	whole := time.Duration(float64(r.progressedAt.Sub(r.confirmedAt)) * 100 / float64(r.percent))
	return whole-now.Sub(r.confirmedAt) > minSpeculationGain*d.Typical
}

// isOriginal reports whether the run goes on beside a copy of its task.
func (r *run) isOriginal() bool { return r.task.original == r }

// resumeOriginal makes the original run of a task its current one again, after its copy has
// ended without result. It reports whether there is one.
func (t *task) resumeOriginal() bool {
	r := t.original
	t.original = nil
	if r == nil || r.isStopping || r.endpoint.runs[t.name] != r {
		return false
	}
	t.run = r
	return true
}
