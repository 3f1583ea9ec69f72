package jobs

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxAdviceEndpoints is the maximum number of endpoints in one request. Each
	// endpoint adds to the time that the advice service takes to answer.
	maxAdviceEndpoints = 30
	// adviceRetryInterval is how long to wait for tickets before they are requested
	// again.
	adviceRetryInterval = 3 * time.Second
	// adviceFailureDelay is how long to wait after a failed call.
	adviceFailureDelay = 500 * time.Millisecond
	// denialTime is how long an endpoint that the policy did not allow is not asked about.
	denialTime = 10 * time.Second
)

// AdviceRequest asks the policy of a queue which of some endpoints may run a step.
type AdviceRequest struct {
	// Step identifies the step as JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	// name is the first task of the step, which AdviceAnswered looks up.
	name TaskName
	// requestedAt is when the request was made.
	requestedAt time.Time
}

// AdviceRequests returns the requests to send now for queues with advice, limit at most: one for
// each step with waiting tasks and no valid ticket for an endpoint with room, in scheduling order. The
// caller passes the answer to AdviceAnswered, or reports the failure of the call to AdviceFailed.
func (c *Cell) AdviceRequests(now time.Time, limit int) []AdviceRequest {
	var requests []AdviceRequest
	for _, j := range c.active {
		if !j.Advised || j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if len(requests) >= limit {
					return requests
				}
				if !s.isReady || len(s.waiting) == 0 || now.Sub(s.adviceRequested) < adviceRetryInterval || s.hasUsableTicket(c, now) {
					continue
				}
				if q, ok := c.newAdviceRequest(now, s); ok {
					s.adviceRequested = now
					requests = append(requests, q)
				}
			}
		}
	}
	return requests
}

// hasUsableTicket reports whether the step has a valid ticket for an endpoint that has room
// for one of its tasks.
func (s *step) hasUsableTicket(c *Cell, now time.Time) bool {
	for id := range s.tickets {
		e := c.endpoints[id]
		if e != nil && s.hasTicket(now, e) && e.isSchedulable(now) && s.hasRoom(e) {
			return true
		}
	}
	return false
}

// hasTicket reports whether the step has a valid ticket for an endpoint.
func (s *step) hasTicket(now time.Time, e *Endpoint) bool {
	held, ok := s.tickets[e.ID]
	return ok && held.born == e.born && now.Before(held.until)
}

// isDenied reports whether the policy did not allow an endpoint a short time ago.
func (s *step) isDenied(now time.Time, e *Endpoint) bool {
	denied, ok := s.denials[e.ID]
	return ok && denied.born == e.born && now.Before(denied.until)
}

// hasRoom reports whether an endpoint has room for another task of the step.
func (s *step) hasRoom(e *Endpoint) bool {
	return s.Reserved().Fits(e.available()) && (s.AntiAffinity == 0 || e.countRuns(s) < s.AntiAffinity)
}

// newAdviceRequest returns a request for a step that names the least used endpoints with room
// for it about which nothing is known. If there is none and the step has no ticket, it names
// full ones. It returns false if there are no endpoints to name.
func (c *Cell) newAdviceRequest(now time.Time, s *step) (AdviceRequest, bool) {
	var candidates, full []*Endpoint
	hasTickets := false
	for _, e := range c.endpoints {
		switch {
		case !e.isSchedulable(now) || !s.Reserved().Fits(e.Capacity) || s.Requires != "" && !slices.Contains(e.Labels, s.Requires):
		case s.hasTicket(now, e):
			hasTickets = true
		case s.isDenied(now, e):
		case s.hasRoom(e):
			candidates = append(candidates, e)
		default:
			full = append(full, e)
		}
	}
	if len(candidates) == 0 && !hasTickets {
		candidates = full
	}
	if len(candidates) == 0 {
		return AdviceRequest{}, false
	}
	slices.SortFunc(candidates, func(a, b *Endpoint) int {
		if a.used.CPU != b.used.CPU {
			return int(a.used.CPU - b.used.CPU)
		}
		return byEndpointID(a, b)
	})
	o := s.occurrence
	q := AdviceRequest{
		Step:        fmt.Sprintf("%s.%d.%d", o.job.ID, o.number, s.number),
		name:        TaskName{Job: o.job.ID, Occurrence: o.number, Step: s.number},
		requestedAt: now,
	}
	for _, e := range candidates[:min(len(candidates), maxAdviceEndpoints)] {
		q.Endpoints = append(q.Endpoints, e.ID)
	}
	return q, true
}

// AdviceAnswered records the answer to a request: tickets by endpoint ID, valid until
// a time. It ends the wait of adviceRetryInterval, so tickets for other endpoints are requested
// at once if none of these can be used.
func (c *Cell) AdviceAnswered(now time.Time, q AdviceRequest, tickets map[string]string, until time.Time) {
	t := c.findTask(q.name.String())
	if t == nil {
		return
	}
	s := t.step
	if s.tickets == nil {
		s.tickets, s.denials = make(map[string]ticket), make(map[string]denial)
	}
	for _, id := range q.Endpoints {
		if e := c.endpoints[id]; e != nil && tickets[id] == "" {
			s.denials[id] = denial{born: e.born, until: now.Add(denialTime)}
		}
	}
	for id, text := range tickets {
		if e := c.endpoints[id]; e != nil {
			s.tickets[id] = ticket{text: text, born: e.born, until: until}
		}
	}
	s.adviceRequested = time.Time{}
}

// AdviceFailed records that a request got no answer. Tickets are requested again soon, unless
// they have been since.
func (c *Cell) AdviceFailed(now time.Time, q AdviceRequest) {
	if t := c.findTask(q.name.String()); t != nil && t.step.adviceRequested.Equal(q.requestedAt) {
		t.step.adviceRequested = now.Add(adviceFailureDelay - adviceRetryInterval)
	}
}
