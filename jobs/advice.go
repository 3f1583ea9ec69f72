package jobs

import (
	"fmt"
	"time"
)

const (
	// maxAdviceEndpoints is the largest number of endpoints that the service takes in one call.
	maxAdviceEndpoints = 100
	// adviceFailureDelay is how long to wait after a failed call.
	adviceFailureDelay = 500 * time.Millisecond
)

// AdviceRequest asks the policy of a queue which of some endpoints may run a step.
type AdviceRequest struct {
	// Step identifies the step as JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Unused are the tickets of the last call for the step, if no task was started with them.
	Unused AdviceResult
	// name is the first task of the step, which AdviceAnswered looks up.
	name  TaskName
	queue string
	// born identifies the incarnations of Endpoints.
	born []int64
	// isRepeated reports that the last call for the step allowed no endpoint.
	isRepeated bool
	// requestedAt is when the request was made.
	requestedAt time.Time
}

// AdviceResult is the number of tickets that a call has brought, how long it took and for how long they were
// valid from its sending.
type AdviceResult struct {
	Tickets        int
	Took, Validity time.Duration
}

// adviceState is what a step of a queue with advice knows about it.
type adviceState struct {
	// tickets are the permissions of the queue's policy, by endpoint ID. denials holds the
	// incarnations of the endpoints that it does not allow; the policy on a step does not change.
	tickets map[string]ticket
	denials map[string]int64
	// waitingSince is when the step began to wait for its turn: when it was first planned, or its last
	// call ended. It is zero before.
	waitingSince time.Time
	// requestedAt is when a request was made that has no answer yet, zero if there is none, and
	// requestEnd when it counts as failed.
	requestedAt, requestEnd time.Time
	// displacedUntil is the time until which a task of the step that runs is to move to another
	// endpoint.
	displacedUntil time.Time
	// unused is the result of the last call, empty once a task was placed with one of its tickets.
	unused AdviceResult
	// misses counts the calls in succession that allowed no endpoint.
	misses int
	// wasted counts the calls whose tickets expired before a start, less those with which one was
	// accepted. countedCall is the end of the call that was counted last.
	wasted      int
	countedCall time.Time
}

// recordBadTicket records that an endpoint has refused the ticket of a start, or its lack.
func (s *step) recordBadTicket(e *Endpoint) {
	// The queue may have come to need advice since the job was accepted.
	s.occurrence.job.Advised = true
	if _, hadTicket := s.advice.tickets[e.ID]; hadTicket {
		delete(s.advice.tickets, e.ID)
		s.advice.countCall(1)
	}
}

// countCall adds to wasted for the last call, once.
func (a *adviceState) countCall(change int) {
	if !a.countedCall.Equal(a.waitingSince) {
		a.countedCall, a.wasted = a.waitingSince, max(a.wasted+change, 0)
	}
}

// AdviceRequests returns the requests to send now for queues with advice, limit at most: one for
// each step that lacks nothing but tickets to start a task, in the order of their turns. The
// caller passes the answer to AdviceAnswered, or reports the failure of the call to AdviceFailed.
func (c *Cell) AdviceRequests(now time.Time, limit int) (requests []AdviceRequest) {
	var p *placer
	for _, s := range c.adviceCandidates(now) {
		if len(requests) >= limit {
			break
		}
		if p == nil {
			p = c.newAdvicePlacer(now)
		}
		if endpoints := p.endpointsToAdvise(s); len(endpoints) > 0 {
			requests = append(requests, c.newAdviceRequest(now, s, endpoints))
		}
	}
	if len(requests) == 0 {
		c.adviceWantedAt = time.Time{}
	}
	return requests
}

func (c *Cell) newAdviceRequest(now time.Time, s *step, endpoints []*Endpoint) AdviceRequest {
	o := s.occurrence
	q := AdviceRequest{
		Step:        fmt.Sprintf("%s.%d.%d", o.job.ID, o.number, s.number),
		Timeout:     c.adviceModel(c.queueOf(&o.job.Job)).timeout(now, len(endpoints)),
		name:        TaskName{Job: o.job.ID, Occurrence: o.number, Step: s.number},
		queue:       c.queueOf(&o.job.Job),
		Unused:      s.advice.unused,
		isRepeated:  s.advice.misses > 0,
		requestedAt: now,
	}
	for _, e := range endpoints {
		q.Endpoints, q.born = append(q.Endpoints, e.ID), append(q.born, e.born)
	}
	if !c.adviceWantedAt.IsZero() {
		c.recordTurnWait(now.Sub(c.adviceWantedAt))
		c.adviceWantedAt = time.Time{}
	}
	if s.advice.unused.Tickets > 0 {
		s.advice.countCall(1)
	}
	s.advice.requestedAt, s.advice.requestEnd = now, now.Add(q.Timeout+adviceFailureDelay)
	return q
}

// AdviceAnswered records the answer to a request: tickets by endpoint ID, valid until
// a time. Endpoints that have restarted since the request are asked about again.
func (c *Cell) AdviceAnswered(now time.Time, q AdviceRequest, tickets map[string]string, until time.Time) {
	validity := until.Sub(q.requestedAt)
	c.adviceModel(q.queue).record(now, q, len(tickets), validity)
	t := c.findTask(q.name.String())
	if t == nil {
		return
	}
	if !until.After(now) && len(q.Endpoints) == 1 {
		// A call cannot be shorter. When the service made its decision is not known, so the endpoint
		// decides whether the ticket is still valid.
		until = now.Add(validity)
	}
	a := &t.step.advice
	if a.tickets == nil {
		a.tickets, a.denials = make(map[string]ticket), make(map[string]int64)
	}
	a.misses++
	for i, id := range q.Endpoints {
		text, isAllowed := tickets[id]
		e := c.endpoints[id]
		switch {
		case e == nil || e.born != q.born[i]:
		case isAllowed:
			a.tickets[id] = ticket{text: text, born: e.born, until: until}
			a.misses = 0
		default:
			a.denials[id] = e.born
		}
	}
	a.unused = AdviceResult{Tickets: len(tickets), Took: now.Sub(q.requestedAt), Validity: validity}
	a.waitingSince, a.requestedAt = now, time.Time{}
}

// AdviceFailed records that a request got no answer. No advice is requested for a while; then the
// step has the last turn.
func (c *Cell) AdviceFailed(now time.Time, q AdviceRequest) {
	c.adviceModel(q.queue).recordFailure(now, q)
	c.adviceRetryAt = now.Add(adviceFailureDelay)
	if t := c.findTask(q.name.String()); t != nil && t.step.advice.requestedAt.Equal(q.requestedAt) {
		t.step.advice.waitingSince, t.step.advice.requestedAt = now, time.Time{}
	}
}
