package jobs

import (
	"slices"
	"strings"
	"time"
)

// StrayGrant states that an endpoint may have a grant that was meant for an earlier incarnation, for the
// next owners: it lasts for longer than one for the clock of the present incarnation.
type StrayGrant struct {
	Endpoint string `json:"e"`
	// Born is the present incarnation.
	Born int64 `json:"b,omitempty"`
	// IsOver reports that such a grant lasts no longer any more.
	IsOver bool `json:"over,omitempty"`
}

// recordStrayGrant records that the present incarnation of an endpoint may have received a
// grant by now that was meant for an earlier one. Only this owner counts on it.
func (c *Cell) recordStrayGrant(now time.Time, e *Endpoint) {
	e.strayGrantEnd = now.Add(c.config.Bounds.longestGrant())
}

// storeStrayGrant stores for the next owners what recordStrayGrant has recorded, with the next batch and so
// before anything else is started on the endpoint. It is for grants that have been seen to stray: the
// transport lets none through unless something forwards connections, and the next owners wait
// longer for the runs on the endpoint if it is silent then.
func (c *Cell) storeStrayGrant(e *Endpoint) {
	e.isStrayStored = true
	c.records = append(c.records, Record{Stray: &StrayGrant{Endpoint: e.ID, Born: e.born}})
}

// recordGrantsOfBefore records which grants may have strayed over a restart that a listing shows, and reports
// whether something shows that they can have: the connection of the listing, or an order without an answer.
func (c *Cell) recordGrantsOfBefore(now time.Time, e *Endpoint, l Listing) (isSeen bool) {
	e.unlikelyGrantEnd = time.Time{}
	defer func() { e.silentAt = time.Time{} }()
	// Grants of earlier owners were for the incarnation that they knew. Until this listing the
	// endpoint took them.
	isInherited := e.listedSince.IsZero() && e.hasInheritedRuns()
	isSent := !e.grantSentAt.IsZero() && !e.grantSentAt.Before(e.listedSince)
	if !isInherited && !isSent {
		return false
	}
	// Those of this owner went astray only if they could.
	isSeen = l.isForwarded() || e.silentAt.After(e.listedSince)
	if isInherited || !l.IsBound || isSeen {
		c.recordStrayGrant(now, e)
	}
	if !isSeen {
		e.unlikelyGrantEnd = now.Add(c.config.Bounds.longestGrant())
	}
	return isSeen
}

// recordForwarder records a listing over a connection that has outlived a restart of the endpoint, which an
// earlier listing over another one has shown.
func (c *Cell) recordForwarder(now time.Time, e *Endpoint) {
	if now.Before(e.unlikelyGrantEnd) {
		e.strayGrantEnd = later(e.strayGrantEnd, e.unlikelyGrantEnd)
		c.storeStrayGrant(e)
	}
	e.unlikelyGrantEnd = time.Time{}
}

// recordListedIncarnation records that the present incarnation of an endpoint lists a run.
func (c *Cell) recordListedIncarnation(now time.Time, e *Endpoint, r *run) {
	if r.listedSince.IsZero() && r.orderedBorn != e.born {
		c.recordStrayGrant(now, e)
		c.storeStrayGrant(e)
	}
	r.isIncarnationKnown, r.listedSince = true, e.listedSince
}

// recordStrayStart records the reply to a start for an earlier incarnation, which may have reached the
// present one. A bound one whose connection ended without an answer has probably ended with it.
func (c *Cell) recordStrayStart(now time.Time, e *Endpoint, reply Reply) {
	isSeen := reply.Answer != Unanswered || reply.IsSilent || e.isStrayStored
	if isSeen || !reply.IsBound {
		c.recordStrayGrant(now, e)
	}
	if isSeen {
		c.storeStrayGrant(e)
	}
}

// settleStrayGrant tells the next owners once a stray grant lasts no longer than they count anyway.
func (c *Cell) settleStrayGrant(now time.Time, e *Endpoint) {
	if e.isStrayStored && !now.Add(c.usualGrant()).Before(e.strayGrantEnd) {
		e.isStrayStored = false
		c.records = append(c.records, Record{Stray: &StrayGrant{Endpoint: e.ID, Born: e.born, IsOver: true}})
	}
}

// inheritStrayGrant applies what an earlier owner has stored, in a snapshot or in a record after it. When it did so is
// not known.
func (c *Cell) inheritStrayGrant(s StrayGrant, isInSnapshot bool) {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		e = c.newEndpoint(s.Endpoint, s.Born)
	}
	e.isStrayInSnapshot = isInSnapshot
	if e.isStrayStored = !s.IsOver; s.IsOver {
		e.strayGrantEnd = time.Time{}
		return
	}
	c.recordStrayGrant(c.config.Inherited, e)
}

// strayGrants returns what a snapshot says of stray grants.
func (c *Cell) strayGrants() (grants []StrayGrant) {
	for _, e := range c.endpoints {
		if e.isStrayStored {
			grants = append(grants, StrayGrant{Endpoint: e.ID, Born: e.born})
		}
	}
	slices.SortFunc(grants, func(a, b StrayGrant) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return grants
}
