package jobs

import "time"

// isRemembered reports whether the endpoint is kept only for what is known of it.
func (e *Endpoint) isRemembered() bool { return !e.isListed && e.isEmpty() }

// isOpen reports whether an incarnation of the endpoint may carry out a start whose run counts as lost.
func (e *Endpoint) isOpen(now time.Time) bool { return now.Before(e.openUntil) }

// isForgettable reports whether the endpoint is not listed, has no runs, and would be given nothing that an endpoint which was
// never heard of is not given if it came back under its ID: no start or grant that is under way may reach it, no grant that has
// strayed lasts, and it is not cordoned.
func (e *Endpoint) isForgettable(now time.Time) bool {
	isCalled := e.isOpen(now) || now.Before(e.strayGrantEnd) || now.Before(e.unlikelyGrantEnd) || now.Before(e.silentAt.Add(maxStartDelay))
	return e.isRemembered() && !isCalled && !now.Before(e.cordonUntil)
}

// hasEndpoints reports whether an endpoint is known that is listed or has runs.
func (c *Cell) hasEndpoints() bool {
	for _, e := range c.endpoints {
		if !e.isRemembered() {
			return true
		}
	}
	return false
}
