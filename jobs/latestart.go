package jobs

import (
	"slices"
	"time"
)

// lateStart is a start that was not answered and whose run counts as lost. Something that forwards connections
// may still hold it. The incarnation that has accepted a stop of the run refuses it; a later one
// refuses it only if it gets a stop, too.
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

// recordLateStart records the start of a run that counts as lost if it may still be carried out.
func (c *Cell) recordLateStart(r *run) {
	until := r.openStart()
	if until.IsZero() {
		return
	}
	c.lateStarts = append(c.lateStarts, lateStart{
		endpoint: r.endpoint.ID, task: r.task.name, run: r.number, until: until, stoppedBorn: r.endpoint.born,
	})
}

// openStart returns the time until which the start of a run that counts as lost may be carried out, zero if it can't be.
func (r *run) openStart() (until time.Time) {
	if r.phase != unconfirmed || !r.acceptedAt.IsZero() {
		return time.Time{}
	}
	return r.orderedAt.Add(maxStartDelay)
}

// OpenStarts returns the number of starts that an endpoint may still carry out although their runs count as lost.
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
	// OpenStarts is the number of these starts.
	OpenStarts int
}

// TakeReincarnations returns the reincarnations since the last call.
func (c *Cell) TakeReincarnations() []Reincarnation {
	reincarnations := c.reincarnations
	c.reincarnations = nil
	return reincarnations
}

// recordReincarnation records the restart of an endpoint that a listing shows, if it may still carry out starts.
func (c *Cell) recordReincarnation(now time.Time, l Listing) {
	if count := c.OpenStarts(now, l.Endpoint); count > 0 {
		c.reincarnations = append(c.reincarnations, Reincarnation{Endpoint: l.Endpoint, Born: l.Born, Clock: l.Clock, OpenStarts: count})
	}
}

// lateStops returns the stops of late starts to order now, a few at a time.
func (c *Cell) lateStops(now time.Time) (stops []Stop) {
	c.lateStarts = slices.DeleteFunc(c.lateStarts, func(s lateStart) bool { return now.After(s.until) })
	for i := range c.lateStarts {
		s := &c.lateStarts[i]
		e := c.endpoints[s.endpoint]
		if e == nil || e.hasCrashed || e.born == s.stoppedBorn || now.Sub(s.stopSentAt) < stopRetryInterval || len(stops) >= maxStopsUnderWay {
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
