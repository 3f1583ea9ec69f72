package jobs

import (
	"slices"
	"strings"
	"time"
)

// SilentEndpoint is an endpoint that did not answer the owner which handed the cell over.
type SilentEndpoint struct {
	Endpoint string `json:"e"`
	// Born is the start time of the endpoint's incarnation, in Unix milliseconds.
	Born int64 `json:"b"`
	// LeftMilliseconds is how long after the snapshot the last run of this incarnation ends
	// if the endpoint gets no further grants.
	LeftMilliseconds int64 `json:"left"`
}

// HandoverSnapshot returns the state like Snapshot, for the next owner, with the endpoints
// that are silent. From then on, these get no starts and no grants from this cell, even if
// they answer again: the next owner counts on it.
func (c *Cell) HandoverSnapshot(now time.Time) Snapshot {
	s := c.Snapshot()
	for _, e := range c.endpoints {
		end := c.latestEnd(e)
		isSilent := !e.isReached || now.Sub(e.lastContact) >= maxRenewalAge
		if end.IsZero() || !isSilent {
			continue
		}
		e.isGrantFinal = true
		left := max(end.Sub(now), 0) + time.Millisecond
		s.Silent = append(s.Silent, SilentEndpoint{Endpoint: e.ID, Born: e.born, LeftMilliseconds: left.Milliseconds()})
	}
	slices.SortFunc(s.Silent, func(a, b SilentEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return s
}

// latestEnd returns the time by which all runs that may be on an endpoint have certainly
// ended if it never answers again, zero if there are none.
func (c *Cell) latestEnd(e *Endpoint) (end time.Time) {
	for _, r := range e.runs {
		if r.phase != placed {
			end = later(end, c.latestRunEnd(r))
		}
	}
	if len(e.orphans) > 0 {
		end = later(end, c.latestOrphanEnd(e))
	}
	return end
}

// InheritGrants bounds how long the inherited runs on silent endpoints may go on. It is
// called after FinishRestore with the endpoints of the snapshot that was restored, at or after
// the time at which the snapshot was made, and only if no other owner has served the cell since.
func (c *Cell) InheritGrants(now time.Time, silent []SilentEndpoint) {
	for _, s := range silent {
		if e := c.endpoints[s.Endpoint]; e != nil && e.born == s.Born {
			e.inheritedEnd = now.Add(time.Duration(s.LeftMilliseconds) * time.Millisecond)
			if e.isStrayStored && e.isStrayInSnapshot {
				// That end is exact also for a stray grant, where inheritStrayGrant assumes the longest one.
				e.strayGrantEnd = e.inheritedEnd
			}
		}
	}
}
