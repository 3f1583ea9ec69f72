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
	if r.phase != unconfirmed || !r.acceptedAt.IsZero() {
		return
	}
	c.lateStarts = append(c.lateStarts, lateStart{
		endpoint: r.endpoint.ID, task: r.task.name, run: r.number, until: r.orderedAt.Add(maxStartDelay), stoppedBorn: r.endpoint.born,
	})
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
