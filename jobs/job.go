package jobs

import (
	"slices"
	"time"
)

// job is a job with the state of its tasks.
type job struct {
	Job
	occurrences map[int]*occurrence
	// next is the first occurrence that has not begun, left the number of those
	// that have not ended.
	next, left int
	state      State
	// shown is the state whose records are stored.
	shown    State
	hasBegun bool
	// arrived is when this owner first knew the job, ended when it ended.
	arrived, ended time.Time
	// due is the latest time for its end at which it earns its full worth.
	due time.Time
	// blocked is since when a task of the job finds no room.
	blocked time.Time
	// waitTold is when that was last told.
	waitTold time.Time
}

func (j *job) isOver() bool { return j.state != Queued && j.state != Running }

// occurrence is one run through the steps of a job.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	left   int
}

// step is a step of one occurrence.
type step struct {
	*Step
	occurrence *occurrence
	number     int
	tasks      []*task
	// waiting are the tasks that may be placed.
	waiting []*task
	left    int
	isReady bool
	tickets map[string]ticket
	// asked is when advice was last asked for.
	asked time.Time
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
	number int
	failed []int
	isDone bool
	// run is the run that is or may be there, nil if there is none.
	run   *run
	saved string
	// notBefore delays another start after a refusal or failure.
	notBefore time.Time
	// avoid is the endpoint of the last run that failed.
	avoid string
	// left is when a long-running task was last at work.
	away time.Time
}

// phase is what is known of a run.
type phase int

const (
	// placed runs wait until their placement is stored.
	placed phase = iota
	// ordered runs wait for the answer to their start.
	ordered
	// unsure runs had no answer to their start.
	unsure
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
	phase    phase
	// isListed says that the endpoint has listed the run.
	isListed bool
	// ordered and seen are when the start was ordered and first confirmed.
	ordered, seen time.Time
	// clock is the endpoint's clock when it confirmed the start.
	clock int64
	// isStopping says that the run is to end; stopSent is when the order was
	// last given, stopClock the endpoint's clock when it was answered, 0 before.
	isStopping bool
	why        string
	stopSent   time.Time
	stopClock  int64
	percent    int
	// moved is when the percent last changed.
	moved  time.Time
	figure int
	// pace is the share of its speed that was last ordered, sentPace what the
	// endpoint has accepted.
	pace, sentPace int
	// reserved is what the run takes from the endpoint's room.
	reserved Size
}

func (c *Cell) newJob(spec Job, now time.Time) *job {
	j := &job{
		Job:         spec,
		occurrences: make(map[int]*occurrence),
		left:        spec.Occurrences(),
		state:       Queued,
		arrived:     now,
	}
	c.jobs[spec.ID] = j
	c.active = append(c.active, j)
	j.due = now.Add(c.objective(j))
	if spec.Times == 0 {
		c.begin(j, 0)
	}
	return j
}

// begin makes the tasks of an occurrence.
func (c *Cell) begin(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: number, left: len(j.Steps)}
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &step{Step: spec, occurrence: o, number: i, left: spec.Count}
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
	j.next = max(j.next, number+1)
	o.unlock()
	return o
}

// unlock marks the steps whose earlier steps are done.
func (o *occurrence) unlock() {
	for _, s := range o.steps {
		if s.isReady {
			continue
		}
		s.isReady = !slices.ContainsFunc(s.After, func(earlier int) bool { return o.steps[earlier].left > 0 })
	}
}

// lookup finds a task by name; an occurrence that has not begun yet is begun.
func (c *Cell) lookup(name string) *task {
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
		if j.isOver() || n.Occurrence < j.next {
			return nil
		}
		for k := j.next; k <= n.Occurrence; k++ {
			o = c.begin(j, k)
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
