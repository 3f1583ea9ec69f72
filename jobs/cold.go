package jobs

import "time"

// coldShare is the share of its processors up to which a cold endpoint takes short-lived work
// while other endpoints are warm, so that work returns to a data centre gradually. The first
// run on an endpoint may exceed it.
const coldShare = 0.5

// costCold exceeds the cost of an endpoint away from a task's data, but not that of the
// endpoint of its last failure. Which of cold and far is slower is not known; a cold endpoint
// gets faster by itself.
const costCold = costFar + costFar/2

// applyWarmAt applies what an endpoint has registered about its cold start. A registration of
// another incarnation says nothing about the present one.
func (e *Endpoint) applyWarmAt(now time.Time, p Profile) {
	switch {
	case p.Born != 0 && p.Born != e.born:
	case p.WarmAt > 0:
		e.warmAt = p.WarmAt.Milliseconds()
	case e.isCold(now):
		// It is warm earlier than it had announced.
		e.warmAt = e.clockLowerBound(now, 0)
	}
}

// isCold reports whether the endpoint is still slow after its start.
func (e *Endpoint) isCold(now time.Time) bool {
	return e.warmAt > 0 && e.clockLowerBound(now, 0) < e.warmAt
}

// hasBegunCold reports whether a run was first confirmed while its endpoint was cold. Its run
// time does not show how long such a task takes.
func (r *run) hasBegunCold() bool {
	e := r.endpoint
	return e.warmAt > 0 && e.lastClock-e.lastContact.Sub(r.confirmedAt).Milliseconds() < e.warmAt
}

// isWithinColdShare reports whether an endpoint may take a short-lived task as far as its cold
// start counts.
func (p *placer) isWithinColdShare(e *Endpoint, reserved Size) bool {
	if !p.hasWarm || e.used.IsZero() || !e.isCold(p.now) {
		return true
	}
	return float64(e.used.CPU+reserved.CPU) <= coldShare*float64(e.Capacity.CPU)
}

// hasWarmEndpoint reports whether one of some endpoints is not cold.
func hasWarmEndpoint(now time.Time, endpoints []*Endpoint) bool {
	for _, e := range endpoints {
		if !e.isCold(now) {
			return true
		}
	}
	return false
}
