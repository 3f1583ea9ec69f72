package jobs

import (
	"slices"
	"time"
)

// Extra time that a step waits for its turn, so that those come first whose delay costs more. It
// is bounded: every step has its turn, whatever arrives meanwhile.
const (
	// adviceLateDelay is for each class of rankKey from that of late jobs on.
	adviceLateDelay = time.Second
	// advicePriorityDelay is for each priority from 1 to maxAdvicePriority.
	advicePriorityDelay = 250 * time.Millisecond
	maxAdvicePriority   = 4
	// adviceMissDelay is for each call in succession that allowed no endpoint, up to maxDelayedMisses.
	// The next one is longer, and less likely to.
	adviceMissDelay  = 2 * time.Second
	maxDelayedMisses = 3
)

// isAdviceDue reports whether the step has tasks that wait or are to move, and no request under way.
func (s *step) isAdviceDue(now time.Time) bool {
	hasRequest := !s.advice.requestedAt.IsZero() && now.Before(s.advice.requestEnd)
	return s.isReady && (len(s.waiting) > 0 || now.Before(s.advice.displacedUntil)) && !hasRequest
}

// adviceTurn returns the time by which steps have their turn, earliest first.
func (s *step) adviceTurn() time.Time {
	rank := s.occurrence.job.rank
	delay := time.Duration(max(rank.class-1, 0))*adviceLateDelay + priorityDelay(rank.priority) + time.Duration(min(s.advice.misses, maxDelayedMisses))*adviceMissDelay
	return s.advice.waitingSince.Add(delay)
}

// priorityDelay returns the extra time that steps of a priority wait for their turn.
func priorityDelay(priority int) time.Duration {
	return time.Duration(min(max(priority, 0), maxAdvicePriority)) * advicePriorityDelay
}

// adviceCandidates returns the steps that may wait for advice, in the order of their turns, then in
// scheduling order.
func (c *Cell) adviceCandidates(now time.Time) (steps []*step) {
	if now.Before(c.adviceRetryAt) {
		return nil
	}
	for _, j := range c.active {
		if !j.Advised || j.isOver() {
			continue
		}
		for _, o := range j.sortedOccurrences() {
			for _, s := range o.steps {
				if !s.isAdviceDue(now) {
					continue
				}
				if s.advice.waitingSince.IsZero() {
					// The job was submitted since the last planning pass.
					s.advice.waitingSince = now
				}
				steps = append(steps, s)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return a.adviceTurn().Compare(b.adviceTurn()) })
	return steps
}

// AdviceTurn returns the turn of the step that AdviceRequests would name first. Among the cells that
// share a service, the earliest turn comes first. isNeeded is false if no step needs advice.
func (c *Cell) AdviceTurn(now time.Time) (turn time.Time, isNeeded bool) {
	var p *placer
	for _, s := range c.adviceCandidates(now) {
		if p == nil {
			p = c.newAdvicePlacer(now)
		}
		if len(p.endpointsToAdvise(s)) > 0 {
			if c.adviceWantedAt.IsZero() {
				c.adviceWantedAt = now
			}
			return s.adviceTurn(), true
		}
	}
	return time.Time{}, false
}
