package jobs

import (
	"cmp"
	"slices"
	"time"
)

// ticket permits a step to run on one incarnation (born) of an endpoint until a
// time.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

// hasTicket reports whether the step has a ticket for an endpoint that is valid at a time.
func (s *step) hasTicket(at time.Time, e *Endpoint) bool {
	held, ok := s.advice.tickets[e.ID]
	return ok && held.born == e.born && at.Before(held.until)
}

// isDenied reports whether the policy does not allow an endpoint.
func (s *step) isDenied(e *Endpoint) bool {
	born, ok := s.advice.denials[e.ID]
	return ok && born == e.born
}

// newAdvicePlacer returns a placer to which the policies allow all endpoints that they have not denied.
func (c *Cell) newAdvicePlacer(now time.Time) *placer {
	p := c.newPlacer(now)
	p.quarantine = c.newQuarantine(len(p.candidates))
	return p.assumingTickets()
}

// assumingTickets returns a copy of the placer to which the policies allow all endpoints that they
// have not denied.
func (p *placer) assumingTickets() *placer {
	assuming := *p
	assuming.assumesTickets = true
	return &assuming
}

// mayUse reports whether a step may be placed on an endpoint as far as the policy of its queue
// counts.
func (p *placer) mayUse(s *step, e *Endpoint) bool {
	switch {
	case !s.occurrence.job.Advised:
		return true
	case p.assumesTickets:
		return !s.isDenied(e)
	default:
		return s.hasTicket(p.now, e)
	}
}

// endpointsToAdvise returns the endpoints to name in a call for a step: as many as its tasks need
// that could start, and as the tickets of one call can be used for. It returns none if a ticket
// would start no task, because of the limit of the client account, for lack of room or because the
// policy allows no endpoint with room, and none if a task can start without a call.
func (p *placer) endpointsToAdvise(s *step) []*Endpoint {
	if s.Gang {
		return p.gangEndpointsToAdvise(s)
	}
	t, count := p.startableTasks(s)
	if t == nil {
		t, count = p.displacedTask(s), 1
	}
	if t == nil || p.chooseEndpoint(t) == nil {
		return nil
	}
	unknown := p.unknownEndpoints(t)
	if slices.ContainsFunc(unknown, func(e *Endpoint) bool { return s.hasTicket(p.now, e) }) {
		return nil
	}
	needed := 0
	for room := 0; needed < len(unknown) && room < count; needed++ {
		room += s.countFitting(unknown[needed], count)
	}
	count = p.cell.adviceModel(p.cell.queueOf(&s.occurrence.job.Job)).endpoints(p.now, needed, s.advice.misses)
	// A shorter call leaves its tickets more time.
	count = max(count>>min(s.advice.wasted, maxAdviceMisses), 1)
	return unknown[:min(len(unknown), count)]
}

// startableTasks returns the next task of a step that could be placed now and how many there are, as
// far as the limit of the client account allows them and up to maxAdviceEndpoints. The task is nil
// if there is none.
func (p *placer) startableTasks(s *step) (next *task, count int) {
	for i := len(s.waiting) - 1; i >= 0 && count < maxAdviceEndpoints; i-- {
		t := s.waiting[i]
		if !t.needsRun() || p.now.Before(t.notBefore) || p.cell.isOrphaned(t) {
			continue
		}
		if !p.cell.mayUseLimit(s, s.Each.Times(int64(count+1))) {
			break
		}
		if count++; next == nil {
			next = t
		}
	}
	return next, count
}

// displacedTask returns a task of a step that is to move off an endpoint that takes no new work, nil if
// there is none.
func (p *placer) displacedTask(s *step) *task {
	if !p.now.Before(s.advice.displacedUntil) {
		return nil
	}
	for _, t := range s.tasks {
		if r := t.run; r != nil && r.phase == running && !r.isStopping && !r.endpoint.isSchedulable(p.now) {
			return t
		}
	}
	return nil
}

// unknownEndpoints returns the endpoints that could run a task if the policy allowed them, those to
// ask about first: where the task is best placed, then the least used.
func (p *placer) unknownEndpoints(t *task) (endpoints []*Endpoint) {
	reserved := t.step.Reserved()
	known := p.candidates
	if p.mayUseSuspects(t) {
		known = slices.Concat(known, p.suspects)
	}
	for _, e := range known {
		if reserved.Fits(e.available()) && p.isSuitable(t, e) && p.quarantine.isAllowed(p.now, t, e) && (t.step.LongRunning || p.isWithinColdShare(e, reserved)) {
			endpoints = append(endpoints, e)
		}
	}
	// The base cost prefers full endpoints, which need more calls.
	detour := func(e *Endpoint) int64 { return p.placementCost(t, e, reserved) - t.packingCost(e, reserved) }
	slices.SortFunc(endpoints, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(detour(a), detour(b)), cmp.Compare(a.used.CPU, b.used.CPU), byEndpointID(a, b))
	})
	return endpoints
}

// countFitting returns how many tasks of the step an endpoint has room for, up to a limit.
func (s *step) countFitting(e *Endpoint, limit int) (count int) {
	if s.AntiAffinity > 0 {
		limit = min(limit, s.AntiAffinity-e.countRuns(s))
	}
	for room := e.available(); count < limit && s.Reserved().Fits(room); room = room.Minus(s.Reserved()) {
		count++
	}
	return count
}

// gangEndpointsToAdvise is endpointsToAdvise for a gang, which needs valid tickets for all of its
// tasks at once. So tickets that expire before the answer arrives are requested again.
func (p *placer) gangEndpointsToAdvise(s *step) (endpoints []*Endpoint) {
	for _, t := range s.tasks {
		if t.run != nil || p.now.Before(t.notBefore) || p.cell.isOrphaned(t) {
			return nil
		}
	}
	// The search for places takes far longer.
	if !p.cell.lacksOnlyAdvice(p.now, s) {
		return nil
	}
	model := p.cell.adviceModel(p.cell.queueOf(&s.occurrence.job.Job))
	chosen := p.chooseGang(s)
	for _, e := range chosen {
		if !slices.Contains(endpoints, e) {
			endpoints = append(endpoints, e)
		}
	}
	usableAt := p.now.Add(model.duration(p.now, len(endpoints)) + model.margin())
	isMissing := slices.ContainsFunc(endpoints, func(e *Endpoint) bool { return !s.hasTicket(p.now, e) })
	endpoints = slices.DeleteFunc(endpoints, func(e *Endpoint) bool { return s.hasTicket(usableAt, e) })
	if !isMissing || len(endpoints) > model.maxUsable(model.currentSlowdown(p.now)) {
		// The tickets of several calls would not be valid at the same time.
		return nil
	}
	needed := len(endpoints)
	for _, e := range p.unknownEndpoints(s.tasks[0]) {
		if !slices.Contains(chosen, e) && !s.hasTicket(usableAt, e) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints[:min(len(endpoints), model.endpoints(p.now, needed, s.advice.misses))]
}
