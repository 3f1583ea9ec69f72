package jobs

import (
	"slices"
	"time"
)

// migrateEvacuated stops long-running tasks in evacuated data centres, so that they move to
// other ones, as far as their steps allow it now and other endpoints have room for them.
// Short-lived tasks and gangs are left to end by themselves.
func (c *Cell) migrateEvacuated(now time.Time) {
	if len(c.evacuation.centres) == 0 || c.evacuation.isUnknown {
		return
	}
	c.displace(now, c.evacuatedEndpoints(), "evacuation of the data centre", func(r *run) bool { return c.mayMigrate(now, r) })
}

// evacuatedEndpoints returns the endpoints in evacuated data centres, sorted by ID.
func (c *Cell) evacuatedEndpoints() (list []*Endpoint) {
	for _, e := range c.endpoints {
		if e.isEvacuated {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, byEndpointID)
	return list
}

// mayMigrate reports whether a run may be stopped now because its data centre is evacuated.
func (c *Cell) mayMigrate(now time.Time, r *run) bool {
	s := r.task.step
	if !s.LongRunning || s.Gang || r.isStopping || r.phase != running || !c.isDisruptionAllowed(now, r) {
		return false
	}
	// A step without MaxUnavailable has no other bound.
	return s.MaxUnavailable > 0 || !s.isDisplacing()
}

// isDisplacing reports whether a task of the step has no run or is being stopped.
func (s *step) isDisplacing() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.needsRun() && (t.run == nil || t.run.isStopping) })
}
