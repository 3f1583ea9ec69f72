package jobs

import (
	"slices"
	"time"
)

// adviceWaitWeight is the weight of the last wait for a turn in the expected one.
const adviceWaitWeight = 0.25

// recordTurnWait learns how long the cell waits for its turn at the advice service, which other cells
// may share.
func (c *Cell) recordTurnWait(waited time.Duration) {
	c.adviceTurnWait += time.Duration(adviceWaitWeight * float64(waited-c.adviceTurnWait))
}

// adviceTimeOf returns how long the call for a step keeps others waiting.
func (c *Cell) adviceTimeOf(now time.Time, s *step) time.Duration {
	return c.adviceTurnWait + c.adviceModel(c.queueOf(&s.occurrence.job.Job)).typicalDuration(now)
}

// adviceTime returns how long the calls for the steps of a new job keep others waiting that are ready
// at once.
func (c *Cell) adviceTime(now time.Time, j *job) (total time.Duration) {
	if !j.Advised {
		return 0
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.isReady {
				total += c.adviceTimeOf(now, s)
			}
		}
	}
	return total
}

// adviceWait returns how long the first step of a job that arrives now would wait for its call, behind all
// steps that lack nothing but advice and have an earlier turn.
func (c *Cell) adviceWait(now time.Time) (total time.Duration) {
	for _, j := range c.active {
		if !j.Advised || j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.adviceTurn().After(now) && c.lacksOnlyAdvice(now, s) {
					total += c.adviceTimeOf(now, s)
				}
			}
		}
	}
	return total
}

// lacksOnlyAdvice reports whether a step of a queue with advice could start a task, or its gang, but for
// tickets. It counts room and the limit of the client account only.
func (c *Cell) lacksOnlyAdvice(now time.Time, s *step) bool {
	j := s.occurrence.job
	count := 1
	if s.Gang {
		count = len(s.tasks)
	}
	if !j.Advised || !s.isReady || len(s.waiting) == 0 || !c.mayUseLimit(s, s.Each.Times(int64(count))) {
		return false
	}
	places, isUnknown := 0, false
	for _, e := range c.endpoints {
		if !e.isSchedulable(now) || s.isDenied(e) || s.Requires != "" && !slices.Contains(e.Labels, s.Requires) {
			continue
		}
		if room := s.countFitting(e, count); room > 0 {
			places, isUnknown = places+room, isUnknown || !s.hasTicket(now, e)
		}
		if places >= count && isUnknown {
			return true
		}
	}
	return false
}

// canBeAdvised reports whether the tickets for each gang of a job can be valid at the same time, by the
// terms of its queue. It returns true if no endpoint is known.
func (c *Cell) canBeAdvised(j *job) bool {
	if !j.Advised || !c.hasEndpoints() {
		return true
	}
	most := c.adviceModel(c.queueOf(&j.Job)).maxUsable(1)
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && c.fewestEndpoints(s) > most {
			return false
		}
	}
	return true
}

// fewestEndpoints returns how many of the largest endpoints a gang needs when they are empty.
func (c *Cell) fewestEndpoints(s *Step) int {
	var rooms []int
	for _, e := range c.endpoints {
		if e.isRemembered() {
			continue
		}
		empty := &Endpoint{Capacity: e.Capacity}
		rooms = append(rooms, (&step{Step: s}).countFitting(empty, s.Count))
	}
	slices.SortFunc(rooms, func(a, b int) int { return b - a })
	for i, left := 0, s.Count; i < len(rooms); i++ {
		if left -= rooms[i]; left <= 0 {
			return i + 1
		}
	}
	return 0
}
