package jobs

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what a cell could use, in thousandths of a core.
type Demand struct {
	// Present is short-lived work that runs or could run now.
	Present int64
	// Arriving is the rate of accepted and rejected work that is expected when a
	// machine that is ordered now serves, as the processors that would work it off
	// as it comes.
	Arriving int64
	// Lasting is long-running work.
	Lasting int64
	// Least is the fewest endpoints that the long-running steps can spread over.
	Least int
}

// Windows over which arrivals are averaged. Demand changes by five times within
// a second: the short window sees a rise early, the long one keeps a few small
// jobs from hiding it.
const (
	arrivalWindow = 1200 * time.Millisecond
	shortWindow   = 500 * time.Millisecond
	// shortWindowMinJobs is how many jobs the short window must hold to count.
	shortWindowMinJobs = 4
	// resubmitWindow is how long a job that was turned away and comes again is not
	// counted again.
	resubmitWindow = 6 * time.Second
)

// Forecast of a rise.
const (
	// leadTime is how long a machine takes to serve another pool from when its
	// want is seen: 0.3 s until it is ordered, 1.5 s on its way, 0.3 s until its
	// endpoint is known.
	leadTime = 2100 * time.Millisecond
	// riseSignificance is how many times its own standard error a rise must be to count;
	// with steady arrivals one in forty is above.
	riseSignificance = 2
	// maxRiseFactor bounds the forecast, in multiples of the present rate: rises go on
	// for seconds and end without a sign.
	maxRiseFactor = 2
)

// arrivals is the work that was handed in lately.
type arrivals struct {
	at   []time.Time
	work []float64
	seen map[string]time.Time
	// trimmedAt is when what is too old was last dropped.
	trimmedAt time.Time
}

// add notes a job with its work in core-seconds, unless it comes again.
func (a *arrivals) add(now time.Time, id string, work float64) {
	if a.seen == nil {
		a.seen = make(map[string]time.Time)
	}
	if at, isSeen := a.seen[id]; isSeen && now.Sub(at) < resubmitWindow {
		return
	}
	a.seen[id] = now
	a.trim(now)
	a.at, a.work = append(a.at, now), append(a.work, work)
}

// rate returns core-seconds a second.
func (a *arrivals) rate(now time.Time) float64 {
	a.trim(now)
	rate := sum(a.work[a.firstWithin(now, arrivalWindow):]) / arrivalWindow.Seconds()
	rising := a.work[a.firstWithin(now, shortWindow):]
	if len(rising) >= shortWindowMinJobs {
		rate = max(rate, sum(rising)/shortWindow.Seconds())
	}
	return rate
}

// forecast returns the rate to expect when a machine that is ordered now serves.
// It answers turns that build up over seconds: machines that are ordered for the
// present rate come too late for all of the rise.
func (a *arrivals) forecast(now time.Time) float64 {
	rate := a.rate(now)
	const half = arrivalWindow / 2
	first, middle := a.firstWithin(now, arrivalWindow), a.firstWithin(now, half)
	early, late := sum(a.work[first:middle])/half.Seconds(), sum(a.work[middle:])/half.Seconds()
	squares := 0.0
	for _, work := range a.work[first:] {
		squares += work * work
	}
	if late-early <= riseSignificance*math.Sqrt(squares)/half.Seconds() {
		return rate
	}
	// The later half stands for the rate at its middle.
	ahead := late + (late-early)*(leadTime+half/2).Seconds()/half.Seconds()
	return max(rate, min(ahead, maxRiseFactor*rate))
}

// trim drops what is too old, once in a window.
func (a *arrivals) trim(now time.Time) {
	if now.Sub(a.trimmedAt) < arrivalWindow {
		return
	}
	a.trimmedAt = now
	first := a.firstWithin(now, arrivalWindow)
	a.at, a.work = slices.Delete(a.at, 0, first), slices.Delete(a.work, 0, first)
	for id, at := range a.seen {
		if now.Sub(at) >= resubmitWindow {
			delete(a.seen, id)
		}
	}
}

// firstWithin returns the position of the first arrival within a window.
func (a *arrivals) firstWithin(now time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(a.at, now.Add(-window), time.Time.Compare)
	return first
}

func sum(list []float64) (total float64) {
	for _, each := range list {
		total += each
	}
	return total
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
	demand.Arriving = int64(c.arrivals.forecast(now) * 1000)
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
	asked := int64(s.tasksLeft) * s.Reserved().CPU
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
