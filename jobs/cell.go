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

	records  []Record
	starts   []*run
	finished []*job
	ends     []RunEnd
	// wanted is what each client account could start if its limit allowed.
	wanted map[string]Size

	runTimes runTimes
	arrivals arrivals
	counts   Counts
	// waitsReported is when waiting jobs were last looked for.
	waitsReported time.Time
}

// Counts tells what a cell has done since it was taken over.
type Counts struct {
	Accepted, Started, Done, Failed, Lost, Stopped, Completed int64
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
		runTimes:  newRunTimes(),
	}
}

// Submit takes a job in. It is accepted once the records of the next batch are
// stored. A job that is known already is not changed.
func (c *Cell) Submit(now time.Time, spec Job) (isNew bool) {
	if c.jobs[spec.ID] != nil {
		return false
	}
	stored := spec
	c.records = append(c.records, Record{Job: &stored})
	c.addJob(spec, now)
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
	c.finishJob(now, j, Cancelled)
}

// finishJob ends a job and stops what still runs of it.
func (c *Cell) finishJob(now time.Time, j *job, state State) {
	j.state, j.ended = state, now
	c.finished = append(c.finished, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					c.stopRun(t.run, string(state))
				}
			}
		}
	}
	if state == Completed {
		c.counts.Completed++
	}
}

// stopRun asks for the end of a run. Stops gives the order; a start that has not
// been ordered yet never is.
func (c *Cell) stopRun(r *run, why string) {
	if r.isStopping {
		return
	}
	r.isStopping, r.stopReason = true, why
	c.counts.Stopped++
}

// removeRun notes that a run surely works no more, so that its task may be placed
// again.
func (c *Cell) removeRun(r *run) {
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

// Take returns what was decided since the last call.
func (c *Cell) Take() Batch {
	b := Batch{Records: c.records, Ends: c.ends, starts: c.starts, finish: c.finished}
	c.records, c.ends, c.starts, c.finished = nil, nil, nil, nil
	return b
}

// Stored notes that the records of a batch are stored and returns the starts to
// order now.
func (c *Cell) Stored(now time.Time, b Batch) []Start {
	for _, j := range b.finish {
		j.storedState = j.state
	}
	starts := make([]Start, 0, len(b.starts))
	for _, r := range b.starts {
		e := r.endpoint
		if r.isStopping || !e.canTake(now) || e.born != r.born {
			// Nothing was ordered, so nothing can be there.
			c.removeRun(r)
			continue
		}
		r.phase, r.orderedAt = ordered, now
		j := r.task.step.occurrence.job
		until := e.grant(now, c.config.Bounds)
		start := Start{
			Endpoint: e.ID, Task: r.task.name, Run: r.number, Spec: j.Spec, Saved: r.task.checkpoint, Until: until,
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

// IsWanted tells whether a start that has been waiting to be sent should still be:
// its task may have ended elsewhere or its job been cancelled meanwhile.
func (c *Cell) IsWanted(s Start) bool {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return false
	}
	r := e.runs[s.Task]
	return r != nil && r.number == s.Run && r.phase == ordered && !r.isStopping && r.task.run == r && !r.task.isDone
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

// Status returns the state of a job as far as it is stored.
func (c *Cell) Status(id string) (state State, isKnown bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.isOver() {
		if j.storedState == "" {
			return Running, true
		}
		return j.storedState, true
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
