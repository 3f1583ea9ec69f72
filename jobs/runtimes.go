package jobs

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/forecast"
)

// Constants of run time estimates.
const (
	// averageWeight is the weight of a new value in a moving average, which thus
	// covers roughly the last twenty values.
	averageWeight = 0.05
	// initialSamples is the number of first values that get equal weight.
	initialSamples = 20
	// stragglerFactor is the run time of the slowest task of a step relative to the
	// mean, for steps of up to a few dozen tasks whose run times vary by some 30 %.
	stragglerFactor = 1.4
	// defaultRunTime is assumed if a run time is neither measured nor declared.
	defaultRunTime = time.Second
)

// movingAverage is an exponential moving average that starts as a plain mean.
type movingAverage struct {
	mean  float64
	count int
}

func (a *movingAverage) add(value float64) {
	a.count++
	weight := max(averageWeight, 1/float64(min(a.count, initialSamples)))
	a.mean += weight * (value - a.mean)
}

// taskKind identifies tasks with similar run times: the same step of jobs of the
// same queue.
type taskKind struct {
	queue string
	step  int
}

// runTimes holds the measured run times. They take precedence over the submitters'
// estimates, which are off by a factor of up to ten.
type runTimes struct {
	averages map[taskKind]*movingAverage
	// forecaster is nil unless Config.IsForecasting.
	forecaster *forecast.Forecaster
}

func newRunTimes(isForecasting bool) runTimes {
	t := runTimes{averages: make(map[taskKind]*movingAverage)}
	if isForecasting {
		t.forecaster = forecast.New()
	}
	return t
}

// MeasuredRunTime is the measured run time of a kind of task. It is stored with
// snapshots, so that a new owner of the cell need not measure again.
type MeasuredRunTime struct {
	Queue string `json:"queue"`
	Step  int    `json:"step,omitempty"`
	// Seconds is the mean run time, Count the number of runs measured.
	Seconds float64 `json:"s"`
	Count   int     `json:"n"`
}

// export returns the averages sorted by queue and step.
func (t *runTimes) export() []MeasuredRunTime {
	list := make([]MeasuredRunTime, 0, len(t.averages))
	for key, measured := range t.averages {
		list = append(list, MeasuredRunTime{Queue: key.queue, Step: key.step, Seconds: measured.mean, Count: measured.count})
	}
	slices.SortFunc(list, func(a, b MeasuredRunTime) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step))
	})
	return list
}

// restore loads the averages of a snapshot.
func (t *runTimes) restore(stored []MeasuredRunTime) {
	for _, m := range stored {
		t.averages[taskKind{m.Queue, m.Step}] = &movingAverage{mean: m.Seconds, count: m.Count}
	}
}

// recordOutcome updates the trust in an endpoint and, for completed runs, the
// measured run time. Runs are not measured if they are long-running, filling, resumed
// from a checkpoint, begun on a cold endpoint or were never confirmed.
func (c *Cell) recordOutcome(now time.Time, r *run, outcome Outcome) {
	switch outcome {
	case Failed:
		r.endpoint.recordFailedRun(now, r.task)
		return
	case Done:
		r.endpoint.recordSuccess()
	case Stopped, Lapsed:
		c.observeCensored(now, r)
		return
	default:
		return
	}
	c.observeRun(now, r)
	s := r.task.step
	if r.confirmedAt.IsZero() || s.LongRunning || s.Fills || r.task.checkpoint != "" || r.hasBegunCold() {
		return
	}
	seconds := now.Sub(r.confirmedAt).Seconds()
	key := taskKind{s.occurrence.job.Queue, s.number}
	if c.runTimes.averages[key] == nil {
		c.runTimes.averages[key] = &movingAverage{}
	}
	c.runTimes.averages[key].add(seconds)
}

// runTime estimates the run time of a task: the measured mean, else the submitter's
// estimate, else defaultRunTime.
func (c *Cell) runTime(j *job, number int) time.Duration {
	if c.runTimes.forecaster != nil {
		return c.estimateOf(j, number).mean
	}
	s := &j.Steps[number]
	declared := s.Estimate
	if declared <= 0 {
		declared = defaultRunTime
	}
	measured := c.runTimes.averages[taskKind{j.Queue, number}]
	if measured == nil {
		return declared
	}
	return time.Duration(measured.mean * float64(time.Second))
}

// stepTime estimates how long a step lasts if all its tasks run at once: as long as its
// slowest task, apart from stragglers.
func (c *Cell) stepTime(j *job, number int) time.Duration {
	if c.runTimes.forecaster != nil {
		return c.estimateOf(j, number).slowest
	}
	return time.Duration(stragglerFactor * float64(c.runTime(j, number)))
}

// remainingCriticalPath estimates the minimum time until the unfinished steps of a
// job's earliest open occurrence are done, along the longest chain of dependent
// steps.
func (c *Cell) remainingCriticalPath(j *job) time.Duration { return j.longestChain(c.stepTime) }

// orderingPath is remainingCriticalPath for the order of jobs: by the mean, or the orderLevel
// quantile of the run time. With that of the slowest task, fewer jobs end on time, as work is
// given up that could still meet its objective.
func (c *Cell) orderingPath(j *job) time.Duration {
	if c.runTimes.forecaster == nil {
		return time.Duration(float64(c.remainingCriticalPath(j)) / stragglerFactor)
	}
	return j.longestChain(func(j *job, number int) time.Duration { return c.estimateOf(j, number).median })
}

// orderLevel is the quantile of run times by which jobs are ordered.
const orderLevel = 0.5

// longestChain returns the time that the unfinished steps of a job's earliest open occurrence
// take along the longest chain of dependent steps.
func (j *job) longestChain(stepTime func(j *job, number int) time.Duration) time.Duration {
	var first *occurrence
	for _, o := range j.occurrences {
		if first == nil || o.number < first.number {
			first = o
		}
	}
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		start := time.Duration(0)
		for _, earlier := range s.After {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if first == nil || first.steps[i].tasksLeft > 0 {
			ends[i] += stepTime(j, i)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingWork estimates the processor time, in core-seconds, of the unfinished
// tasks of a job.
func (c *Cell) remainingWork(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		left := s.Count
		if o := j.occurrences[0]; o != nil {
			left = o.steps[i].tasksLeft
		}
		work += float64(left) * float64(s.Reserved().CPU) / 1000 * c.runTime(j, i).Seconds()
	}
	return work
}

// objective returns the time from its arrival within which a job should end: Stretch
// times its critical path, plus Target. A step lasts as long as its slowest task, which
// remainingCriticalPath allows for.
func (c *Cell) objective(j *job) time.Duration {
	return time.Duration(max(j.Stretch, 1)*float64(c.remainingCriticalPath(j))) + j.Target
}
