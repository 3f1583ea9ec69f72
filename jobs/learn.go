package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Weights of what was learned.
const (
	// averageWeight is the weight of a new reading in a moving average: the last
	// twenty or so count.
	averageWeight = 0.05
	// plainReadings is how many readings are averaged plainly at first.
	plainReadings = 20
	// stragglerFactor is by how much the slowest task of a step outlasts their mean,
	// for tasks of a step that differ by some 30 % and up to a few dozen of them.
	stragglerFactor = 1.4
	// defaultRunTime is assumed where nothing was measured nor declared.
	defaultRunTime = time.Second
)

// movingAverage is a moving movingAverage.
type movingAverage struct {
	mean  float64
	count int
}

func (a *movingAverage) add(reading float64) {
	a.count++
	weight := max(averageWeight, 1/float64(min(a.count, plainReadings)))
	a.mean += weight * (reading - a.mean)
}

// taskKind groups steps whose tasks are alike.
type taskKind struct {
	queue string
	step  int
}

// runTimes is what the cell has measured of run times. It goes before what
// submitters declare, which is off by up to ten times.
type runTimes struct {
	averages map[taskKind]*movingAverage
}

func newRunTimes() runTimes { return runTimes{averages: make(map[taskKind]*movingAverage)} }

// Habit is what was measured of the run times of like tasks. It is stored with
// the snapshot, so that the next owner need not learn it again.
type Habit struct {
	Queue string `json:"queue"`
	Step  int    `json:"step,omitempty"`
	// Seconds is the mean run time, Count how many runs it stands for.
	Seconds float64 `json:"s"`
	Count   int     `json:"n"`
}

func (l *runTimes) export() []Habit {
	list := make([]Habit, 0, len(l.averages))
	for key, measured := range l.averages {
		list = append(list, Habit{Queue: key.queue, Step: key.step, Seconds: measured.mean, Count: measured.count})
	}
	slices.SortFunc(list, func(a, b Habit) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step))
	})
	return list
}

func (l *runTimes) restore(habits []Habit) {
	for _, h := range habits {
		l.averages[taskKind{h.Queue, h.Step}] = &movingAverage{mean: h.Seconds, count: h.Count}
	}
}

// recordOutcome takes in how a run ended.
func (c *Cell) recordOutcome(now time.Time, r *run, how How) {
	switch how {
	case Failed:
		r.endpoint.strike(now)
		return
	case Done:
		r.endpoint.trust()
	default:
		return
	}
	s := r.task.step
	if r.confirmedAt.IsZero() || s.LongRunning || s.Fills || r.task.checkpoint != "" {
		return
	}
	took := now.Sub(r.confirmedAt).Seconds()
	key := taskKind{s.occurrence.job.Queue, s.number}
	if c.runTimes.averages[key] == nil {
		c.runTimes.averages[key] = &movingAverage{}
	}
	c.runTimes.averages[key].add(took)
}

// runTime estimates how long a task of a step runs.
func (c *Cell) runTime(queue string, number int, s *Step) time.Duration {
	declared := s.Estimate
	if declared <= 0 {
		declared = defaultRunTime
	}
	measured := c.runTimes.averages[taskKind{queue, number}]
	if measured == nil {
		return declared
	}
	return time.Duration(measured.mean * float64(time.Second))
}

// remainingCriticalPath estimates how long the unfinished steps of a job still take at
// least, along the longest chain of steps that wait for each other.
func (c *Cell) remainingCriticalPath(j *job) time.Duration {
	var first *occurrence
	for _, o := range j.occurrences {
		if first == nil || o.lastRun < first.lastRun {
			first = o
		}
	}
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		begin := time.Duration(0)
		for _, earlier := range s.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin
		if first == nil || first.steps[i].tasksLeft > 0 {
			ends[i] += time.Duration(stragglerFactor * float64(c.runTime(j.Queue, i, s)))
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingWork estimates the processor time, in core-seconds, that the unfinished
// tasks of a job still take.
func (c *Cell) remainingWork(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		left := s.Count
		if o := j.occurrences[0]; o != nil {
			left = o.steps[i].tasksLeft
		}
		work += float64(left) * float64(s.Reserved().CPU) / 1000 * c.runTime(j.Queue, i, s).Seconds()
	}
	return work
}

// objective returns how long after its arrival a job should have ended.
func (c *Cell) objective(j *job) time.Duration {
	return time.Duration(max(j.Stretch, 1)*float64(c.remainingCriticalPath(j))/stragglerFactor) + j.Target
}
