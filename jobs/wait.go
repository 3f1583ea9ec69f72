package jobs

import (
	"slices"
	"time"
)

// Figures of what is told of waiting jobs.
const (
	// waitReportDelay is how long a job finds no room until that is told, waitAgain when
	// it is told again, waitsEvery and waitsMost bound how much is told.
	waitReportDelay    = 2 * time.Second
	waitRepeatInterval = 5 * time.Second
	waitReportInterval = time.Second
	maxWaitReports     = 3
)

// Wait says why a task that could run finds no room.
type Wait struct {
	Task string
	// Since is how long the job has found no room.
	Since time.Duration
	Size  Size
	// Together is how many tasks have to be placed at once.
	Together int
	// Endpoints counts the endpoints by what stands against each.
	Endpoints map[string]int
}

// Waits returns a few of the jobs that wait for room, each from time to time.
func (c *Cell) Waits(now time.Time) (waits []Wait) {
	if now.Sub(c.waitsReported) < waitReportInterval {
		return nil
	}
	c.waitsReported = now
	for _, j := range c.active {
		if len(waits) == maxWaitReports {
			break
		}
		if j.isOver() || j.blockedSince.IsZero() || now.Sub(j.blockedSince) < waitReportDelay || now.Sub(j.waitReported) < waitRepeatInterval {
			continue
		}
		if t := j.firstWaiting(); t != nil {
			j.waitReported = now
			waits = append(waits, c.explainWait(now, t))
		}
	}
	return waits
}

func (j *job) firstWaiting() *task {
	for _, o := range j.sortedOccurrences() {
		for _, s := range o.steps {
			if s.isReady && len(s.waiting) > 0 {
				return s.waiting[len(s.waiting)-1]
			}
		}
	}
	return nil
}

// explainWait says why a task is not placed.
func (c *Cell) explainWait(now time.Time, t *task) Wait {
	s := t.step
	j := s.occurrence.job
	w := Wait{Task: t.name, Since: now.Sub(j.blockedSince), Size: s.Reserved(), Together: 1, Endpoints: make(map[string]int)}
	if s.Gang {
		w.Together = len(s.tasks)
	}
	limit, isBounded := c.config.Entitled(j.Account)
	isBeyond := j.Account != "" && isBounded && !c.used[j.Account].Plus(s.Each.Times(int64(w.Together))).Fits(limit)
	for _, e := range c.endpoints {
		switch {
		case isBeyond:
			w.Endpoints["limit of the client account"]++
		case now.Before(t.notBefore):
			w.Endpoints["refused a moment ago"]++
		default:
			w.Endpoints[c.obstacle(now, t, e)]++
		}
	}
	return w
}

// obstacle says what keeps a task from an endpoint.
func (c *Cell) obstacle(now time.Time, t *task, e *Endpoint) string {
	s := t.step
	p := &placer{cell: c, now: now}
	state := e.state(now)
	switch {
	case state != "" && (!e.canTake(now) || !e.isTrusted(now)):
		return state
	case s.Requires != "" && !slices.Contains(e.Labels, s.Requires):
		return "label"
	case e.held != nil && e.held != t:
		return "kept free for another task"
	case !s.Reserved().Fits(e.room()):
		return "no room"
	case !p.isSuitable(t, e):
		return "spread, ticket or earlier run"
	default:
		return "none"
	}
}
