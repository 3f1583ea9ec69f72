package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Weights of what was learned.
const (
	// learnWeight is the weight of a new reading in a moving average: the last
	// twenty or so count.
	learnWeight = 0.05
	// learnFirst is how many readings are averaged plainly at first.
	learnFirst = 20
	// widthFactor is by how much the slowest task of a step outlasts their mean,
	// for tasks of a step that differ by some 30 % and up to a few dozen of them.
	widthFactor = 1.4
	// unknownRun is assumed where nothing was measured nor declared.
	unknownRun = time.Second
)

// average is a moving average.
type average struct {
	mean  float64
	count int
}

func (a *average) add(reading float64) {
	a.count++
	weight := max(learnWeight, 1/float64(min(a.count, learnFirst)))
	a.mean += weight * (reading - a.mean)
}

// kind groups steps whose tasks are alike.
type kind struct {
	queue string
	step  int
}

// learned is what the cell has measured of run times. It goes before what
// submitters declare, which is off by up to ten times.
type learned struct {
	runs map[kind]*average
}

func newLearned() learned { return learned{runs: make(map[kind]*average)} }

// Habit is what was measured of the run times of like tasks. It is stored with
// the snapshot, so that the next owner need not learn it again.
type Habit struct {
	Queue string `json:"queue"`
	Step  int    `json:"step,omitempty"`
	// Seconds is the mean run time, Count how many runs it stands for.
	Seconds float64 `json:"s"`
	Count   int     `json:"n"`
}

func (l *learned) habits() []Habit {
	list := make([]Habit, 0, len(l.runs))
	for key, measured := range l.runs {
		list = append(list, Habit{Queue: key.queue, Step: key.step, Seconds: measured.mean, Count: measured.count})
	}
	slices.SortFunc(list, func(a, b Habit) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step))
	})
	return list
}

func (l *learned) restore(habits []Habit) {
	for _, h := range habits {
		l.runs[kind{h.Queue, h.Step}] = &average{mean: h.Seconds, count: h.Count}
	}
}

// learn takes in how a run ended.
func (c *Cell) learn(now time.Time, r *run, how Outcome) {
	switch how {
	case Failed:
		r.endpoint.recordFailure(now)
		return
	case Done:
		r.endpoint.recordSuccess()
	default:
		return
	}
	s := r.task.step
	if r.seen.IsZero() || s.LongRunning || s.Fills || r.task.saved != "" {
		return
	}
	took := now.Sub(r.seen).Seconds()
	key := kind{s.occurrence.job.Queue, s.number}
	if c.learned.runs[key] == nil {
		c.learned.runs[key] = &average{}
	}
	c.learned.runs[key].add(took)
}

// runTime estimates how long a task of a step runs.
func (c *Cell) runTime(queue string, number int, s *Step) time.Duration {
	declared := s.Estimate
	if declared <= 0 {
		declared = unknownRun
	}
	measured := c.learned.runs[kind{queue, number}]
	if measured == nil {
		return declared
	}
	return time.Duration(measured.mean * float64(time.Second))
}

// chainLeft estimates how long the unfinished steps of a job still take at
// least, along the longest chain of steps that wait for each other.
func (c *Cell) chainLeft(j *job) time.Duration {
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
		begin := time.Duration(0)
		for _, earlier := range s.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin
		if first == nil || first.steps[i].left > 0 {
			ends[i] += time.Duration(widthFactor * float64(c.runTime(j.Queue, i, s)))
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// workLeft estimates the processor time, in core-seconds, that the unfinished
// tasks of a job still take.
func (c *Cell) workLeft(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		left := s.Count
		if o := j.occurrences[0]; o != nil {
			left = o.steps[i].left
		}
		work += float64(left) * float64(s.Reserved().CPU) / 1000 * c.runTime(j.Queue, i, s).Seconds()
	}
	return work
}

// objective returns how long after its arrival a job should have ended.
func (c *Cell) objective(j *job) time.Duration {
	return time.Duration(max(j.Stretch, 1)*float64(c.chainLeft(j))/widthFactor) + j.Target
}
