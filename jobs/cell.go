package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Config sets up a Cell.
type Config struct {
	Bounds Bounds
	// Inherited is when the ownership of this owner began, as it sees it. Grants
	// of earlier owners have run out one Grant later. Zero for a cell that never
	// had an owner.
	Inherited time.Time
	// Entitled returns what a client account may have running in this cell.
	Entitled func(account string) (limit Size, isBounded bool)
}

// Cell holds the jobs of one cell. It is not safe for concurrent use.
type Cell struct {
	config    Config
	jobs      map[string]*job
	active    []*job
	endpoints map[string]*Endpoint
	// used is what each client account has running, waiting orders included.
	used map[string]Size

	records []Record
	starts  []*run
	finish  []*job
	ends    []RunEnd
	// wanted is what each client account could start if its limit allowed.
	wanted map[string]Size

	learned  learned
	arrivals arrivals
	counts   Counts
}

// Counts tells what a cell has done since it was taken over.
type Counts struct {
	Accepted, Rejected, Started, Done, Failed, Lost, Stopped, Completed int64
}

// New returns an empty cell.
func New(config Config) *Cell {
	if config.Entitled == nil {
		config.Entitled = func(string) (Size, bool) { return Size{}, false }
	}
	return &Cell{
		config:    config,
		jobs:      make(map[string]*job),
		endpoints: make(map[string]*Endpoint),
		used:      make(map[string]Size),
		wanted:    make(map[string]Size),
		learned:   newLearned(),
	}
}

// Counts returns what the cell has done.
func (c *Cell) Counts() Counts { return c.counts }

// job is a job with the state of its tasks.
type job struct {
	Job
	occurrences map[int]*occurrence
	// next is the first occurrence that has not begun, left the number of those
	// that have not ended.
	next, left int
	state      State
	// shown is the state whose records are stored.
	shown       State
	isCancelled bool
	hasBegun    bool
	// arrived is when this owner first knew the job, ended when it ended.
	arrived, ended time.Time
	// due is the latest time for its end at which it earns its full worth.
	due time.Time
	// blocked is since when a task of the job finds no room.
	blocked time.Time
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

// Submit takes a job in. It is accepted once the records of the next batch are
// stored. A job that is known already is not changed.
func (c *Cell) Submit(now time.Time, spec Job) (isNew bool) {
	if c.jobs[spec.ID] != nil {
		return false
	}
	stored := spec
	c.records = append(c.records, Record{Job: &stored})
	c.newJob(spec, now)
	c.counts.Accepted++
	return true
}

// Cancel ends a job. The cancelling is accepted once the records of the next
// batch are stored.
func (c *Cell) Cancel(now time.Time, id string) (isKnown bool) {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.isOver() {
		return true
	}
	c.records = append(c.records, Record{Cancel: id})
	c.cancel(now, j)
	return true
}

func (c *Cell) cancel(now time.Time, j *job) {
	j.isCancelled = true
	c.over(now, j, Cancelled)
}

// over ends a job and stops what still runs of it.
func (c *Cell) over(now time.Time, j *job, state State) {
	j.state, j.ended = state, now
	c.finish = append(c.finish, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					c.stop(t.run, string(state))
				}
			}
		}
	}
	if state == Completed {
		c.counts.Completed++
	}
}

// stop asks for the end of a run. Stops gives the order; a start that has not
// been ordered yet never is.
func (c *Cell) stop(r *run, why string) {
	if r.isStopping {
		return
	}
	r.isStopping, r.why = true, why
	c.counts.Stopped++
}

// gone notes that a run surely works no more, so that its task may be placed
// again.
func (c *Cell) gone(r *run) {
	if r.endpoint.runs[r.task.name] == r {
		delete(r.endpoint.runs, r.task.name)
		r.endpoint.used = r.endpoint.used.Minus(r.reserved)
		account := r.task.step.occurrence.job.Account
		c.used[account] = c.used[account].Minus(r.task.step.Each)
		if c.used[account].IsZero() {
			delete(c.used, account)
		}
	}
	t := r.task
	if t.run != r {
		return
	}
	t.run = nil
	if !t.isDone && !t.step.occurrence.job.isOver() {
		t.step.waiting = append(t.step.waiting, t)
	}
}

// RunEnd is the end of a run with where it was.
type RunEnd struct {
	End
	Endpoint string
	// Took is how long the run was there, 0 if it was not seen at work.
	Took time.Duration
}

// Batch is what has to be stored, and what may be done and shown after that.
type Batch struct {
	Records []Record
	// Ends are the runs that were found to have ended.
	Ends   []RunEnd
	starts []*run
	finish []*job
}

// IsEmpty tells whether there is nothing to store and nothing to do.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.starts) == 0 && len(b.finish) == 0
}

// Take returns what was decided since the last call.
func (c *Cell) Take() Batch {
	b := Batch{Records: c.records, Ends: c.ends, starts: c.starts, finish: c.finish}
	c.records, c.ends, c.starts, c.finish = nil, nil, nil, nil
	return b
}

// Stored notes that the records of a batch are stored and returns the starts to
// order now.
func (c *Cell) Stored(now time.Time, b Batch) []Start {
	for _, j := range b.finish {
		j.shown = j.state
	}
	starts := make([]Start, 0, len(b.starts))
	for _, r := range b.starts {
		e := r.endpoint
		if r.isStopping || !e.canTake(now) || e.born != r.born {
			// Nothing was ordered, so nothing can be there.
			c.gone(r)
			continue
		}
		r.phase, r.ordered = ordered, now
		j := r.task.step.occurrence.job
		until := e.grant(now, c.config.Bounds)
		start := Start{
			Endpoint: e.ID, Task: r.task.name, Run: r.number, Spec: j.Spec, Saved: r.task.saved, Until: until,
		}
		if held, ok := r.task.step.tickets[e.ID]; ok {
			start.Ticket = held.text
		}
		j.hasBegun = true
		if j.state == Queued {
			j.state = Running
		}
		c.counts.Started++
		starts = append(starts, start)
	}
	return starts
}

// sortActive drops the jobs that are over from the active ones and sorts the
// others by a key.
func (c *Cell) sortActive(compare func(a, b *job) int) {
	c.active = slices.DeleteFunc(c.active, (*job).isOver)
	slices.SortStableFunc(c.active, compare)
}

// Forget drops jobs that ended longer ago than they are kept.
func (c *Cell) Forget(now time.Time) {
	for id, j := range c.jobs {
		if j.isOver() && now.Sub(j.ended) > c.config.Bounds.Kept && !j.hasRuns() {
			delete(c.jobs, id)
		}
	}
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

// Status returns the state of a job as far as it is stored.
func (c *Cell) Status(id string) (state State, isKnown bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.isOver() {
		if j.shown == "" {
			return Running, true
		}
		return j.shown, true
	}
	return j.state, true
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (c *Cell) Pending(queue string) int {
	count := 0
	for _, j := range c.active {
		if j.Queue == queue && !j.isOver() && !j.hasBegun {
			count++
		}
	}
	return count
}

// Need is what a client account runs and could run more in this cell.
type Need struct {
	Used, Wanted Size
}

// Needs returns the needs of all client accounts that have any.
func (c *Cell) Needs() map[string]Need {
	needs := make(map[string]Need, len(c.used))
	for account, used := range c.used {
		needs[account] = Need{Used: used}
	}
	for account, wanted := range c.wanted {
		need := needs[account]
		need.Wanted = wanted
		needs[account] = need
	}
	delete(needs, "")
	return needs
}

func byEndpointID(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }
