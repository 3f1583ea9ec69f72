package jobs

import (
	"maps"
	"slices"
	"time"
)

// evacuation is what the operators have requested of data centres.
type evacuation struct {
	// centres holds the evacuated data centres by name.
	centres map[string]bool
	// isUnknown reports that the requests are not known or too old to rely on.
	isUnknown bool
}

// SetEvacuated replaces the set of evacuated data centres. Nothing is started on their
// endpoints until they are missing from a later set. A start that has not been sent is
// revoked: ConfirmStored and IsStartCurrent leave it out. Empty names are ignored.
func (c *Cell) SetEvacuated(now time.Time, centres []string) {
	set := make(map[string]bool, len(centres))
	for _, centre := range centres {
		if centre != "" {
			set[centre] = true
		}
	}
	if maps.Equal(set, c.evacuation.centres) {
		return
	}
	c.evacuation.centres = set
	for _, e := range c.endpoints {
		c.updateEvacuated(e)
	}
	// The capacity that counts for admission changes at once.
	c.load = measuredLoad{at: now.Add(-maxLoadAge)}
}

// SuspendStarts keeps new work off all endpoints, or ends that, while it is not known which
// data centres are evacuated. Work that runs goes on.
func (c *Cell) SuspendStarts(isSuspended bool) {
	if c.evacuation.isUnknown == isSuspended {
		return
	}
	c.evacuation.isUnknown = isSuspended
	for _, e := range c.endpoints {
		c.updateEvacuated(e)
	}
}

// isEvacuated reports whether the data centre of an endpoint is evacuated.
func (c *Cell) isEvacuated(e *Endpoint) bool { return c.evacuation.centres[e.Centre] }

// updateEvacuated updates what an endpoint keeps of the evacuations.
func (c *Cell) updateEvacuated(e *Endpoint) {
	e.isEvacuated, e.isSuspended = c.isEvacuated(e), c.evacuation.isUnknown
}

// Evacuated returns the evacuated data centres, sorted by name.
func (c *Cell) Evacuated() []string { return slices.Sorted(maps.Keys(c.evacuation.centres)) }

// EvacuatedRuns returns how many runs are left in each evacuated data centre, also those
// that are none. It is nil if no data centre is evacuated.
func (c *Cell) EvacuatedRuns() map[string]int {
	if len(c.evacuation.centres) == 0 {
		return nil
	}
	runs := make(map[string]int, len(c.evacuation.centres))
	for centre := range c.evacuation.centres {
		runs[centre] = 0
	}
	for _, e := range c.endpoints {
		if e.isEvacuated {
			runs[e.Centre] += len(e.runs)
		}
	}
	return runs
}
