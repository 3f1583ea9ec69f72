package jobs

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Demand is the processor time that a cell could use, in thousandths of a core.
type Demand struct {
	// Present is the demand of short-lived tasks that run or are ready to run.
	Present int64
	// Arriving is the processor time needed to keep up with the submitted work,
	// accepted or rejected, at the rate that is forecast for the time when a machine
	// ordered now would be serving.
	Arriving int64
	// LongRunningCPU is the demand of long-running tasks. A task that takes a larger part
	// of an endpoint's memory than of its processors counts with the processor time of
	// that part, since that is what it keeps others from using.
	LongRunningCPU int64
	// MinEndpoints is the fewest endpoints that meet the anti-affinity of every
	// long-running step.
	MinEndpoints int
	// LabelCPU is the part of Present and LongRunningCPU that can only be met by
	// endpoints with a label, by that label. It is nil if no step requires one.
	LabelCPU map[string]int64
}

// Windows over which arrivals are averaged. Demand can change fivefold within a
// second: the short window detects a rise early, and the long one keeps the rate from
// dropping while the short one holds only a few small jobs.
const (
	arrivalWindow = 1200 * time.Millisecond
	shortWindow   = 500 * time.Millisecond
	// shortWindowMinJobs is the minimum number of jobs for the short window to count.
	shortWindowMinJobs = 4
	// resubmitWindow is how long a rejected job that is submitted again is not
	// counted again, and how long its last attempt is remembered.
	resubmitWindow = 6 * time.Second
)

// Constants of the forecast of a rise.
const (
	// leadTime is how long it takes from the detection of a pool's need until a
	// machine moved from another pool serves: 0.3 s until it is ordered, 1.5 s for
	// the move, 0.3 s until its endpoint is discovered.
	leadTime = 2100 * time.Millisecond
	// riseSignificance is how many times its own standard error a rise must be to
	// count. Steady arrivals exceed it in one case of forty.
	riseSignificance = 2
	// maxRiseFactor bounds the forecast as a multiple of the present rate, since
	// rises last for seconds and end without warning.
	maxRiseFactor = 2
)

// arrivals records the work of recently submitted jobs, oldest first.
type arrivals struct {
	at []time.Time
	// work is in core-seconds, parallel to at.
	work []float64
	// attempts holds the recent attempts to submit each job, by ID.
	attempts map[string]attempts
	// trimmedAt is when outdated arrivals were last deleted.
	trimmedAt time.Time
}

// attempts records the attempts to submit a job.
type attempts struct {
	first, last time.Time
	// counted is when the job was last counted as an arrival.
	counted time.Time
	// hasTakenRate and isBeyondRate report that an attempt, or none, was within the rate of
	// the client account; neither is set if no attempt was counted.
	hasTakenRate, isBeyondRate bool
}

// add records a job and its work in core-seconds, unless it is a resubmission, and reports whether it
// did.
func (a *arrivals) add(now time.Time, id string, work float64) (isCounted bool) {
	if a.attempts == nil {
		a.attempts = make(map[string]attempts)
	}
	known, isKnown := a.attempts[id]
	if !isKnown || now.Sub(known.last) >= resubmitWindow {
		known.first = now
	}
	known.last = now
	isCounted = !isKnown || now.Sub(known.counted) >= resubmitWindow
	if isCounted {
		known.counted = now
	}
	a.attempts[id] = known
	if isCounted {
		a.trim(now)
		a.at, a.work = append(a.at, now), append(a.work, work)
	}
	return isCounted
}

// removeLast removes the job that was recorded last.
func (a *arrivals) removeLast() {
	last := len(a.at) - 1
	a.at, a.work = a.at[:last], a.work[:last]
}

// firstAttempt returns when a job was first submitted, now if no recent attempt is known.
func (a *arrivals) firstAttempt(now time.Time, id string) time.Time {
	if known, isKnown := a.attempts[id]; isKnown && now.Sub(known.last) < resubmitWindow {
		return known.first
	}
	return now
}

// rate returns the present rate of arriving work in core-seconds per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.trim(now)
	rate := sum(a.work[a.firstWithin(now, arrivalWindow):]) / arrivalWindow.Seconds()
	rising := a.work[a.firstWithin(now, shortWindow):]
	if len(rising) >= shortWindowMinJobs {
		rate = max(rate, sum(rising)/shortWindow.Seconds())
	}
	return rate
}

// forecast returns the rate, in core-seconds per second, expected when a machine
// ordered now would be serving. It extrapolates load shifts that build up over
// seconds: machines ordered for the present rate would arrive too late for all of the
// rise.
func (a *arrivals) forecast(now time.Time) float64 {
	rate := a.rate(now)
	const half = arrivalWindow / 2
	first, middle := a.firstWithin(now, arrivalWindow), a.firstWithin(now, half)
	earlyRate, lateRate := sum(a.work[first:middle])/half.Seconds(), sum(a.work[middle:])/half.Seconds()
	squares := 0.0
	for _, work := range a.work[first:] {
		squares += work * work
	}
	if lateRate-earlyRate <= riseSignificance*math.Sqrt(squares)/half.Seconds() {
		return rate
	}
	// The rate of the later half is that at its midpoint.
	projected := lateRate + (lateRate-earlyRate)*(leadTime+half/2).Seconds()/half.Seconds()
	return max(rate, min(projected, maxRiseFactor*rate))
}

// trim deletes outdated arrivals, at most once per arrivalWindow.
func (a *arrivals) trim(now time.Time) {
	if now.Sub(a.trimmedAt) < arrivalWindow {
		return
	}
	a.trimmedAt = now
	first := a.firstWithin(now, arrivalWindow)
	a.at, a.work = slices.Delete(a.at, 0, first), slices.Delete(a.work, 0, first)
	maps.DeleteFunc(a.attempts, func(_ string, known attempts) bool { return now.Sub(known.last) >= resubmitWindow })
}

// firstWithin returns the index of the first arrival within the window before now.
func (a *arrivals) firstWithin(now time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(a.at, now.Add(-window), time.Time.Compare)
	return first
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// Survey returns the demand of the cell and the load of each endpoint, sorted by ID. Endpoints
// that are lost are not known.
func (c *Cell) Survey(now time.Time) (demand Demand, loads []Load) {
	capacity := c.totalCapacity()
	adviceWait := time.Duration(0)
	for _, j := range c.active {
		if j.isOver() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				count := s.tasksLeft - s.givenUp
				if c.lacksOnlyAdvice(now, s) {
					// Beyond what is asked for by then, no machine that is ordered now would start it.
					if adviceWait += c.adviceTimeOf(now, s); adviceWait > leadTime {
						count -= len(s.waiting)
					}
				}
				addDemand(&demand, s, int64(count), capacity)
			}
		}
	}
	demand.Arriving = int64(c.arrivals.forecast(now) * 1000)
	for _, e := range c.endpoints {
		if e.isRemembered() {
			continue
		}
		load := e.load()
		load.IsKnown = !e.isLost(now)
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return demand, loads
}

// totalCapacity returns the capacity of all listed endpoints that are not evacuated.
func (c *Cell) totalCapacity() (total Size) {
	for _, e := range c.endpoints {
		if e.isListed && !e.isEvacuated {
			total = total.Plus(e.Capacity)
		}
	}
	return total
}

// dominantCPU returns the processor time in the larger one of the parts that a size
// takes of a capacity's processors and memory.
func (s Size) dominantCPU(capacity Size) int64 {
	if capacity.Memory == 0 {
		return s.CPU
	}
	return max(s.CPU, int64(float64(s.Memory)*float64(capacity.CPU)/float64(capacity.Memory)))
}

// addDemand adds a number of tasks of a step, if that is ready. capacity is that of the
// cell's endpoints.
func addDemand(demand *Demand, s *step, count int64, capacity Size) {
	if !s.isReady {
		return
	}
	requested := count * s.Reserved().CPU
	if s.LongRunning {
		requested = count * s.Reserved().dominantCPU(capacity)
	}
	if s.Requires != "" {
		if demand.LabelCPU == nil {
			demand.LabelCPU = make(map[string]int64)
		}
		demand.LabelCPU[s.Requires] += requested
	}
	if !s.LongRunning {
		demand.Present += requested
		return
	}
	demand.LongRunningCPU += requested
	if s.AntiAffinity > 0 {
		demand.MinEndpoints = max(demand.MinEndpoints, (s.Count+s.AntiAffinity-1)/s.AntiAffinity)
	}
}

// isLost reports whether the endpoint has crashed, is no longer listed or does not answer. One
// that has not answered this owner yet is not lost before it has had time to.
func (e *Endpoint) isLost(now time.Time) bool {
	isSilent := !e.lastContact.IsZero() && (e.isPartitioned(now) || now.Sub(e.lastContact) >= maxContactAge)
	return e.hasCrashed || !e.isListed || isSilent
}

// load returns the runs on the endpoint and the processor time that they reserve.
func (e *Endpoint) load() Load {
	load := Load{Endpoint: e.ID, IsKnown: true, Runs: len(e.runs), CPU: e.used.CPU}
	for _, r := range e.runs {
		if r.task.step.LongRunning {
			load.LongRunningRuns++
		}
	}
	return load
}
