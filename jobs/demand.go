package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a cell could use, in thousandths of a core.
type Demand struct {
	// Present is short-lived work that runs or could run now.
	Present int64
	// Arriving is the rate of accepted and rejected work, as the processors that
	// would work it off as it comes.
	Arriving int64
	// Lasting is long-running work.
	Lasting int64
	// Least is the fewest endpoints that the long-running steps can spread over.
	Least int
}

// Windows over which arrivals count. Demand changes by five times within a
// second: a short window sees a rise of short jobs early.
const (
	risingWindow = 500 * time.Millisecond
	// risingJobs is how many jobs the short window must hold to count, so that a
	// few large ones are not taken for a rise.
	risingJobs = 4
	// leastSpan is the shortest time over which the work of a job is spread.
	leastSpan = 1200 * time.Millisecond
	// longSpan is from where on the short window says nothing of a job.
	longSpan = 2 * time.Second
	// sameWindow is how long a job that was turned away and comes again is not
	// counted again.
	sameWindow = 6 * time.Second
)

// arrival is a job that was handed in, with its work in core-seconds and the
// time over which its steps spread it.
type arrival struct {
	at   time.Time
	work float64
	span time.Duration
}

// arrivals is the work that was handed in lately.
type arrivals struct {
	list []arrival
	seen map[string]time.Time
}

// add notes a job, unless it comes again.
func (a *arrivals) add(now time.Time, id string, work float64, chain time.Duration) {
	if a.seen == nil {
		a.seen = make(map[string]time.Time)
	}
	if at, isSeen := a.seen[id]; isSeen && now.Sub(at) < sameWindow {
		return
	}
	a.seen[id] = now
	a.list = append(a.list, arrival{at: now, work: work, span: max(chain, leastSpan)})
}

// cores returns the processors that would work off what arrives as it comes.
func (a *arrivals) cores(now time.Time) float64 {
	a.list = slices.DeleteFunc(a.list, func(each arrival) bool { return now.Sub(each.at) >= each.span })
	for id, at := range a.seen {
		if now.Sub(at) >= sameWindow {
			delete(a.seen, id)
		}
	}
	steady, rising, count := 0.0, 0.0, 0
	for _, each := range a.list {
		steady += each.work / each.span.Seconds()
		if each.span <= longSpan && now.Sub(each.at) < risingWindow {
			rising += each.work / risingWindow.Seconds()
			count++
		}
	}
	if count < risingJobs {
		return steady
	}
	return max(steady, rising)
}

// Survey returns what the cell could use and what runs on each endpoint.
func (c *Cell) Survey(now time.Time) (demand Demand, loads []Load) {
	for _, j := range c.active {
		if j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				c.addDemand(&demand, s)
			}
		}
	}
	demand.Arriving = int64(c.arrivals.cores(now) * 1000)
	for _, e := range c.endpoints {
		loads = append(loads, e.load())
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return demand, loads
}

func (c *Cell) addDemand(demand *Demand, s *step) {
	if !s.isReady {
		return
	}
	asked := int64(s.left) * s.Reserved().CPU
	if !s.LongRunning {
		demand.Present += asked
		return
	}
	demand.Lasting += asked
	if s.AntiAffinity > 0 {
		demand.Least = max(demand.Least, (s.Count+s.AntiAffinity-1)/s.AntiAffinity)
	}
}

func (e *Endpoint) load() Load {
	load := Load{Endpoint: e.ID, IsKnown: true, Runs: len(e.runs), CPU: e.used.CPU}
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			load.Lasting++
		}
	}
	return load
}
