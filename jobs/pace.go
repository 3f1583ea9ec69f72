package jobs

import "time"

// Pacing of filling tasks, which use the processor time that others leave.
const (
	// paceNearTarget is the ratio of tail latency to target above which a serving
	// task is close to missing its target.
	paceNearTarget = 0.85
	// paceStep is the increase of pace, in percent, when all serving tasks on the
	// endpoint are well below their targets.
	paceStep = 10
	// paceInterval is the minimum time between two changes on an endpoint. A
	// measurement covers the last half second, so an earlier one would include time
	// before the last change.
	paceInterval = 600 * time.Millisecond
	// fullPace is full speed, in percent.
	fullPace = 100
	// unknownPace is the sentPace of a run of an earlier owner, which may have ordered any.
	unknownPace = -1
)

// Paces returns the pace orders to send now. Where serving tasks share an endpoint
// with filling ones, the filling ones are slowed at once when a tail latency comes
// close to its target, and sped up again slowly.
func (c *Cell) Paces(now time.Time) []Pace {
	var paces []Pace
	for _, e := range c.endpoints {
		if !e.isReached || now.Sub(e.pacedAt) < paceInterval {
			continue
		}
		worstRatio, filling := e.pacingState()
		if len(filling) == 0 {
			continue
		}
		for _, r := range filling {
			percent := r.pace
			switch {
			case worstRatio > 1:
				percent = r.pace / 4
			case worstRatio > paceNearTarget:
				percent = r.pace * 2 / 3
			case worstRatio < paceNearTarget-0.2:
				percent = min(r.pace+paceStep, fullPace)
			case r.sentPace == unknownPace:
				// Whatever it is, it needs no change.
				continue
			}
			r.pace = percent
			if r.pace == r.sentPace {
				continue
			}
			e.pacedAt = now
			paces = append(paces, Pace{Endpoint: e.ID, Task: r.task.name, Run: r.number, Percent: r.pace})
		}
	}
	return paces
}

// pacingState returns the highest ratio of tail latency to target of the serving
// tasks on the endpoint, and the runs of filling tasks.
func (e *Endpoint) pacingState() (worstRatio float64, filling []*run) {
	for _, r := range e.runs {
		if r.phase != running || r.isStopping {
			continue
		}
		s := r.task.step
		if s.Fills {
			filling = append(filling, r)
		} else if s.Target > 0 {
			worstRatio = max(worstRatio, float64(r.measurement)/float64(s.Target.Milliseconds()))
		}
	}
	return worstRatio, filling
}

// PaceAnswered applies the answer to a pace order. Paces repeats an order that was
// not accepted.
func (c *Cell) PaceAnswered(p Pace, answer Answer) {
	e := c.endpoints[p.Endpoint]
	if e == nil {
		return
	}
	if r := e.runs[p.Task]; r != nil && r.number == p.Run && answer == Accepted {
		r.sentPace = p.Percent
	}
}
