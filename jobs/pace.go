package jobs

import "time"

// Pacing of tasks that fill.
const (
	// paceNearTarget is the share of its target at which a serving task counts as near
	// to missing it.
	paceNearTarget = 0.85
	// paceStep is by how much tasks that fill are let work more when all tasks
	// beside them are well below their targets.
	paceStep = 10
	// paceInterval is the least time between two changes on an endpoint; readings
	// cover the last half second.
	paceInterval = 600 * time.Millisecond
	fullPace     = 100
)

// Paces returns the paces to order now. It answers tasks that serve users
// beside tasks that fill: those that fill are slowed at once when a tail comes
// near its target, and let loose again slowly.
func (c *Cell) Paces(now time.Time) []Pace {
	var paces []Pace
	for _, e := range c.endpoints {
		if !e.isReached || now.Sub(e.paced) < paceInterval {
			continue
		}
		worst, fills := e.pacingState()
		if len(fills) == 0 {
			continue
		}
		for _, r := range fills {
			target := r.pace
			switch {
			case worst > 1:
				target = r.pace / 4
			case worst > paceNearTarget:
				target = r.pace * 2 / 3
			case worst < paceNearTarget-0.2:
				target = min(r.pace+paceStep, fullPace)
			}
			r.pace = target
			if r.pace == r.sentPace {
				continue
			}
			e.paced = now
			paces = append(paces, Pace{Endpoint: e.ID, Task: r.task.name, Run: r.number, Percent: r.pace})
		}
	}
	return paces
}

// pacingState returns the worst tail of the serving tasks on an endpoint as a share
// of its target, and the tasks that fill.
func (e *Endpoint) pacingState() (worst float64, fills []*run) {
	for _, r := range e.runs {
		if r.phase != running || r.isStopping {
			continue
		}
		s := r.task.step
		if s.Fills {
			fills = append(fills, r)
		} else if s.Target > 0 {
			worst = max(worst, float64(r.reading)/float64(s.Target.Milliseconds()))
		}
	}
	return worst, fills
}

// PaceAnswered takes in the answer to a pace.
func (c *Cell) PaceAnswered(p Pace, answer Answer) {
	e := c.endpoints[p.Endpoint]
	if e == nil {
		return
	}
	if r := e.runs[p.Task]; r != nil && r.number == p.Run && answer == Accepted {
		r.sentPace = p.Percent
	}
}
