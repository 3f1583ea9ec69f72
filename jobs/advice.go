package jobs

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxAdviceEndpoints is how many endpoints one question names: each adds to the
	// time of the answer.
	maxAdviceEndpoints = 30
	// adviceRetryInterval is how long to wait for an answer before asking again.
	adviceRetryInterval = 3 * time.Second
)

// Question asks which endpoints may run a step.
type Question struct {
	Step      string
	Endpoints []string
	name      TaskName
}

// Questions returns what to ask the policy of queues with advice for: steps
// that wait and hold no ticket for an endpoint that is up.
func (c *Cell) Questions(now time.Time) []Question {
	var questions []Question
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
					questions = append(questions, q)
				}
			}
		}
	}
	return questions
}

func (s *step) hasTicket(c *Cell, now time.Time) bool {
	for id, held := range s.tickets {
		e := c.endpoints[id]
		if e != nil && e.born == held.born && now.Before(held.until) && e.canTake(now) {
			return true
		}
	}
	return false
}

func (c *Cell) newAdviceRequest(now time.Time, s *step) (Question, bool) {
	var free []*Endpoint
	for _, e := range c.endpoints {
		if e.canTake(now) && s.Reserved().Fits(e.Capacity) && (s.Requires == "" || slices.Contains(e.Labels, s.Requires)) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return Question{}, false
	}
	slices.SortFunc(free, func(a, b *Endpoint) int {
		if a.used.CPU != b.used.CPU {
			return int(a.used.CPU - b.used.CPU)
		}
		return byEndpointID(a, b)
	})
	o := s.occurrence
	q := Question{
		Step: fmt.Sprintf("%s.%d.%d", o.job.ID, o.lastRun, s.number),
		name: TaskName{Job: o.job.ID, Occurrence: o.lastRun, Step: s.number},
	}
	for _, e := range free[:min(len(free), maxAdviceEndpoints)] {
		q.Endpoints = append(q.Endpoints, e.ID)
	}
	return q, true
}

// Advised takes in the answer to a question: tickets by endpoint.
func (c *Cell) Advised(q Question, tickets map[string]string, until time.Time) {
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
