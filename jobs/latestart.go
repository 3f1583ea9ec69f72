package jobs

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// lateStart is a start that was not answered and whose run counts as lost. It may still be under way. The incarnation that has
// accepted a stop of the run refuses it; a later one refuses it only if it gets a stop, too.
type lateStart struct {
	endpoint, task string
	run            int
	// until is the time from which the start is not carried out any more.
	until time.Time
	// stoppedBorn is the incarnation that refuses the start.
	stoppedBorn int64
	// stopSentAt is when a stop was last ordered.
	stopSentAt time.Time
}

// OpenStart states that an endpoint may still carry out starts of runs that count as lost, for the next owners. What one
// incarnation refuses the next one may carry out, so each has to be called as soon as it is up: from then on it refuses the starts of
// earlier owners.
type OpenStart struct {
	Endpoint string `json:"e"`
	// Address is where the endpoint was listed last, Machine the hardware that it ran on.
	Address netip.AddrPort `json:"a"`
	Machine string         `json:"m,omitempty"`
	// Born is the incarnation that was known.
	Born int64 `json:"b,omitempty"`
}

// openStart returns the time until which the start of a run that counts as lost may be carried out, zero if it can't be.
func (c *Cell) openStart(r *run) (until time.Time) {
	switch {
	case r.phase == inherited:
		return c.config.Inherited.Add(maxStartDelay)
	case r.phase == unconfirmed && r.acceptedAt.IsZero():
		return r.orderedAt.Add(maxStartDelay)
	default:
		return time.Time{}
	}
}

// recordLateStart records the start of a run that counts as lost if it may still be carried out.
func (c *Cell) recordLateStart(r *run) {
	until, e := c.openStart(r), r.endpoint
	if until.IsZero() {
		return
	}
	if e.openUntil.IsZero() {
		c.records = append(c.records, Record{Open: e.openStart()})
	}
	e.openUntil = later(e.openUntil, until)
	if r.phase == inherited {
		return
	}
	c.lateStarts = append(c.lateStarts, lateStart{endpoint: e.ID, task: r.task.name, run: r.number, until: until, stoppedBorn: e.born})
}

func (e *Endpoint) openStart() *OpenStart {
	return &OpenStart{Endpoint: e.ID, Address: e.address, Machine: e.Machine, Born: e.born}
}

// inheritOpenStart applies what an earlier owner has stored. When it did so is not known.
func (c *Cell) inheritOpenStart(s OpenStart) {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		e = c.newEndpoint(s.Endpoint, s.Born)
	}
	e.address, e.Machine, e.openUntil = s.Address, s.Machine, c.config.Inherited.Add(maxStartDelay)
}

// openStarts returns what a snapshot says of endpoints that may carry out starts.
func (c *Cell) openStarts() (open []OpenStart) {
	for _, e := range c.endpoints {
		if !e.openUntil.IsZero() {
			open = append(open, *e.openStart())
		}
	}
	slices.SortFunc(open, func(a, b OpenStart) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return open
}

// UnlistedOpenStarts returns the endpoints that may carry out starts and that service discovery does not list.
func (c *Cell) UnlistedOpenStarts() []OpenStart {
	return slices.DeleteFunc(c.openStarts(), func(s OpenStart) bool {
		return c.endpoints[s.Endpoint].isListed || !s.Address.IsValid()
	})
}

// closeStarts records that no incarnation of an endpoint will carry out starts any more.
func (c *Cell) closeStarts(e *Endpoint) {
	e.openUntil = time.Time{}
	c.lateStarts = slices.DeleteFunc(c.lateStarts, func(s lateStart) bool { return s.endpoint == e.ID })
}

// CloseMovedStarts closes the starts of the endpoints that are kept for them only and whose machines have another endpoint now, in
// whatever cell. machines holds the IDs of all listed endpoints by machine.
func (c *Cell) CloseMovedStarts(machines map[string]string) {
	for _, e := range c.endpoints {
		if id := machines[e.Machine]; !e.openUntil.IsZero() && e.isRemembered() && id != "" && id != e.ID {
			c.closeStarts(e)
		}
	}
}

// CloseOpenStarts is called when a call shows that starts for an endpoint are refused where it was: by another endpoint at its
// address, or as it has seen a later owner, of this cell or of the one that it is listed in now. It reports whether the endpoint was kept
// for these starts only, so that a later owner tells nothing about this cell.
func (c *Cell) CloseOpenStarts(endpoint string) (isKeptForThem bool) {
	e := c.endpoints[endpoint]
	if e == nil || !e.isRemembered() {
		return false
	}
	c.closeStarts(e)
	return true
}

// settleOpenStarts closes the starts of an endpoint once they are carried out no more.
func (c *Cell) settleOpenStarts(now time.Time, e *Endpoint) {
	if !e.openUntil.IsZero() && now.After(e.openUntil) {
		c.closeStarts(e)
	}
}

// OpenStarts returns the number of starts of this owner that an endpoint may still carry out although their runs count as lost.
func (c *Cell) OpenStarts(now time.Time, endpoint string) (count int) {
	for _, s := range c.lateStarts {
		if s.endpoint == endpoint && !now.After(s.until) {
			count++
		}
	}
	return count
}

// Reincarnation reports the first listing of another incarnation of an endpoint that may still carry out starts.
type Reincarnation struct {
	Endpoint string
	Born     int64
	// Clock is the clock of the incarnation in that listing, in milliseconds. It refused none of the starts before.
	Clock int64
	// OpenStarts is the number of these starts, without those of earlier owners.
	OpenStarts int
}

// TakeReincarnations returns the reincarnations since the last call.
func (c *Cell) TakeReincarnations() []Reincarnation {
	reincarnations := c.reincarnations
	c.reincarnations = nil
	return reincarnations
}

// recordReincarnation records the restart of an endpoint that a listing shows, if it may still carry out starts.
func (c *Cell) recordReincarnation(now time.Time, e *Endpoint, l Listing) {
	if now.Before(e.openUntil) {
		c.reincarnations = append(c.reincarnations, Reincarnation{
			Endpoint: e.ID, Born: l.Born, Clock: l.Clock, OpenStarts: c.OpenStarts(now, e.ID),
		})
	}
}

// LateStops returns the stops of late starts to order on an endpoint now that has listed its runs. It is to be called at once, as the
// endpoint may be another incarnation.
func (c *Cell) LateStops(now time.Time, endpoint string) []Stop {
	if e := c.endpoints[endpoint]; e == nil || e.openUntil.IsZero() {
		return nil
	}
	return c.lateStops(now, func(s *lateStart) bool { return s.endpoint == endpoint })
}

// lateStops returns the stops to order now of the late starts that isChosen selects, a few at a time.
func (c *Cell) lateStops(now time.Time, isChosen func(s *lateStart) bool) (stops []Stop) {
	c.lateStarts = slices.DeleteFunc(c.lateStarts, func(s lateStart) bool { return now.After(s.until) })
	for i := range c.lateStarts {
		s := &c.lateStarts[i]
		e := c.endpoints[s.endpoint]
		if e == nil || e.hasCrashed || e.born == s.stoppedBorn || now.Sub(s.stopSentAt) < stopRetryInterval || len(stops) >= maxStopsUnderWay || !isChosen(s) {
			continue
		}
		s.stopSentAt = now
		stops = append(stops, Stop{Endpoint: e.ID, Task: s.task, Run: s.run, Born: e.born, Reason: "the start may be carried out late"})
	}
	return stops
}

// recordLateStop records that the present incarnation of an endpoint has accepted a stop.
func (c *Cell) recordLateStop(stop Stop) {
	for i := range c.lateStarts {
		if s := &c.lateStarts[i]; s.endpoint == stop.Endpoint && s.task == stop.Task && s.run <= stop.Run {
			s.stoppedBorn = stop.Born
		}
	}
}
