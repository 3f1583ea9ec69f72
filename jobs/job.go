package jobs

import (
	"slices"
	"time"
)

// job is a job with the state of its tasks.
type job struct {
	Job
	occurrences map[int]*occurrence
	// nextOccurrence is the first occurrence that has not begun, occurrencesLeft the number of those
	// that have not ended.
	nextOccurrence, occurrencesLeft int
	state                           State
	// storedState is the state whose records are stored.
	storedState State
	hasBegun    bool
	// arrived is when this owner first knew the job, ended when it ended.
	arrived, ended time.Time
	// due is the latest time for its end at which it earns its full worth.
	due time.Time
	// blockedSince is since when a task of the job finds no room.
	blockedSince time.Time
	// waitReported is when that was last told.
	waitReported time.Time
}

func (j *job) isOver() bool { return j.state != Queued && j.state != Running }

// occurrence is one run through the steps of a job.
type occurrence struct {
	job       *job
	lastRun   int
	steps     []*step
	stepsLeft int
}

// step is a step of one occurrence.
type step struct {
	*Step
	occurrence *occurrence
	number     int
	tasks      []*task
	// waiting are the tasks that may be placed.
	waiting   []*task
	tasksLeft int
	isReady   bool
	tickets   map[string]ticket
	// adviceRequested is when advice was last adviceRequested for.
	adviceRequested time.Time
}

type ticket struct {
	text  string
	born  int64
	until time.Time
}

// task is one task.
type task struct {
	name  string
	step  *step
	index int
	// number is that of the last run, failed lists those that failed. An end can
	// be listed again to the next owner, so each run counts once.
	number     int
	failedRuns []int
	isDone     bool
	// run is the run that is or may be there, nil if there is none.
	run        *run
	checkpoint string
	// notBefore delays another start after a refusal or failure.
	notBefore time.Time
	// avoidEndpoint is the endpoint of the last run that failed.
	avoidEndpoint string
	// left is when a long-running task was last at work.
	lastServing time.Time
}

// runPhase is what is known of a run.
type runPhase int

const (
	// placed runs wait until their placement is stored.
	placed runPhase = iota
	// ordered runs wait for the answer to their start.
	ordered
	// unconfirmed runs had no answer to their start.
	unconfirmed
	// inherited runs were placed by an earlier owner.
	inherited
	// running runs were seen at work.
	running
)

// run is one start of a task.
type run struct {
	task     *task
	number   int
	endpoint *Endpoint
	born     int64
	phase    runPhase
	// isListed says that the endpoint has listed the run.
	isListed bool
	// orderedAt and confirmedAt are when the start was orderedAt and first confirmed.
	orderedAt, confirmedAt time.Time
	// phaseClock is the endpoint's phaseClock when it confirmed the start.
	phaseClock int64
	// isStopping says that the run is to end; stopSent is when the order was
	// last given, stopClock the endpoint's clock when it was answered, 0 before.
	isStopping bool
	stopReason string
	stopSentAt time.Time
	stopClock  int64
	percent    int
	// progressedAt is when the percent last changed.
	progressedAt time.Time
	reading      int
	// pace is the share of its speed that was last ordered, sentPace what the
	// endpoint has accepted.
	pace, sentPace int
	// reserved is what the run takes from the endpoint's room.
	reserved Size
}

func (c *Cell) addJob(spec Job, now time.Time) *job {
	j := &job{
		Job:             spec,
		occurrences:     make(map[int]*occurrence),
		occurrencesLeft: spec.Occurrences(),
		state:           Queued,
		arrived:         now,
	}
	c.jobs[spec.ID] = j
	c.active = append(c.active, j)
	j.due = now.Add(c.objective(j))
	if spec.Times == 0 {
		c.beginOccurrence(j, 0)
	}
	return j
}

// beginOccurrence makes the tasks of an occurrence.
func (c *Cell) beginOccurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{job: j, lastRun: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{Step: spec, occurrence: o, number: i, tasksLeft: spec.Count}
		s.tasks = make([]*task, spec.Count)
		s.waiting = make([]*task, 0, spec.Count)
		all := make([]task, spec.Count)
		for k := range all {
			name := TaskName{Job: j.ID, Occurrence: number, Step: i, Index: k}
			all[k] = task{name: name.String(), step: s, index: k}
			s.tasks[k] = &all[k]
		}
		for k := spec.Count - 1; k >= 0; k-- {
			s.waiting = append(s.waiting, s.tasks[k])
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	j.nextOccurrence = max(j.nextOccurrence, number+1)
	o.updateReady()
	return o
}

// updateReady marks the steps whose earlier steps are done.
func (o *occurrence) updateReady() {
	for _, s := range o.steps {
		if s.isReady {
			continue
		}
		s.isReady = !slices.ContainsFunc(s.After, func(earlier int) bool { return o.steps[earlier].tasksLeft > 0 })
	}
}

// findTask finds a task by name; an occurrence that has not begun yet is begun.
func (c *Cell) findTask(name string) *task {
	n, ok := ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil || n.Occurrence >= j.Occurrences() || n.Step >= len(j.Steps) || n.Index >= j.Steps[n.Step].Count {
		return nil
	}
	o := j.occurrences[n.Occurrence]
	if o == nil {
		if j.isOver() || n.Occurrence < j.nextOccurrence {
			return nil
		}
		for k := j.nextOccurrence; k <= n.Occurrence; k++ {
			o = c.beginOccurrence(j, k)
		}
	}
	return o.steps[n.Step].tasks[n.Index]
}

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil }) {
				return true
			}
		}
	}
	return false
}
