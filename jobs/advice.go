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
)

// AdviceRequest asks the policy of a queue which of some endpoints may run a step.
type AdviceRequest struct {
	// Step identifies the step as JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	// name is the first task of the step, which AdviceAnswered looks up.
	name TaskName
}

// AdviceRequests returns the requests to send now for queues with advice: one for
// each step with waiting tasks and no valid ticket. The caller passes the answer to
// AdviceAnswered.
func (c *Cell) AdviceRequests(now time.Time) []AdviceRequest {
	var requests []AdviceRequest
	for _, j := range c.active {
		if !j.Advised || j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.isReady || len(s.waiting) == 0 || now.Sub(s.adviceRequested) < adviceRetryInterval || s.hasTicket(c, now) {
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

// hasTicket reports whether the step has a valid ticket for an endpoint that can
// take runs.
func (s *step) hasTicket(c *Cell, now time.Time) bool {
	for id, held := range s.tickets {
		e := c.endpoints[id]
		if e != nil && e.born == held.born && now.Before(held.until) && e.isSchedulable(now) {
			return true
		}
	}
	return false
}

// newAdviceRequest returns a request for a step that names the least used endpoints
// able to run it. It returns false if there is none.
func (c *Cell) newAdviceRequest(now time.Time, s *step) (AdviceRequest, bool) {
	var candidates []*Endpoint
	for _, e := range c.endpoints {
		if e.isSchedulable(now) && s.Reserved().Fits(e.Capacity) && (s.Requires == "" || slices.Contains(e.Labels, s.Requires)) {
			candidates = append(candidates, e)
		}
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
		Step: fmt.Sprintf("%s.%d.%d", o.job.ID, o.number, s.number),
		name: TaskName{Job: o.job.ID, Occurrence: o.number, Step: s.number},
	}
	for _, e := range candidates[:min(len(candidates), maxAdviceEndpoints)] {
		q.Endpoints = append(q.Endpoints, e.ID)
	}
	return q, true
}

// AdviceAnswered records the answer to a request: tickets by endpoint ID, valid until
// a time. It ends the wait of adviceRetryInterval, so tickets are requested again at
// once if none of these is valid.
func (c *Cell) AdviceAnswered(q AdviceRequest, tickets map[string]string, until time.Time) {
	t := c.findTask(q.name.String())
	if t == nil {
		return
	}
	s := t.step
	if s.tickets == nil {
		s.tickets = make(map[string]ticket)
	}
	for id, text := range tickets {
		if e := c.endpoints[id]; e != nil {
			s.tickets[id] = ticket{text: text, born: e.born, until: until}
		}
	}
	s.adviceRequested = time.Time{}
}
