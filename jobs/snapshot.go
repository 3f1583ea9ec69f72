package jobs

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Snapshot is the durable state of a cell.
type Snapshot struct {
	Jobs []JobState `json:"jobs"`
	// MeasuredRunTimes are stored only here and not in records, because losing recent
	// ones makes decisions worse but not wrong.
	MeasuredRunTimes []MeasuredRunTime `json:"habits,omitempty"`
	// LearnedRunTimes is a forecast.State, empty unless Config.IsForecasting. It is decoded
	// apart, so that a state that cannot be read is lost without the rest.
	LearnedRunTimes json.RawMessage `json:"learned,omitempty"`
	// Stray are the grants that have strayed and may last.
	Stray []StrayGrant `json:"stray,omitempty"`
	// Open are the endpoints that may carry out starts of runs that count as lost.
	Open []OpenStart `json:"open,omitempty"`
	// Silent is set by HandoverSnapshot and used by InheritGrants.
	Silent []SilentEndpoint `json:"silent,omitempty"`
}

// JobState is the durable state of a job.
type JobState struct {
	Job Job `json:"job"`
	// State is the final state, empty while the job is not over.
	State State `json:"state,omitempty"`
	// Next is the first occurrence that has not begun, Left the number of those
	// that have not ended.
	Next int `json:"next,omitempty"`
	Left int `json:"left,omitempty"`
	// Open are the occurrences of a timed job that have begun and not ended.
	Open []int `json:"open,omitempty"`
	// Tasks are the tasks that were placed or are done.
	Tasks []TaskState `json:"tasks,omitempty"`
}

// TaskState is the durable state of a task.
type TaskState struct {
	Task string `json:"t"`
	// Run is the number of the last run, Failed the numbers of those that failed.
	Run    int   `json:"r,omitempty"`
	Failed []int `json:"f,omitempty"`
	IsDone bool  `json:"done,omitempty"`
	// Saved is the last checkpoint, empty if none.
	Saved string `json:"save,omitempty"`
	// Endpoint is where the last run is or may be, empty if it has ended. Born is
	// the start time of the endpoint's current incarnation, in Unix milliseconds.
	Endpoint string `json:"e,omitempty"`
	Born     int64  `json:"b,omitempty"`
	// Others are the runs beside that one, of a speculative task or of one that is done.
	Others []OtherRun `json:"others,omitempty"`
	// Suspicion is what is known against the task, nil if nothing. IsGivenUp reports that it
	// was given up.
	Suspicion *Suspicion `json:"c,omitempty"`
	IsGivenUp bool       `json:"quit,omitempty"`
}

// OtherRun is a run that is or may be on an endpoint and is not the current one of its task. It takes room and counts against the limit
// of the client account until it has ended.
type OtherRun struct {
	Run      int    `json:"r"`
	Endpoint string `json:"e"`
	// Born is the start time of the endpoint's current incarnation, in Unix milliseconds.
	Born int64 `json:"b,omitempty"`
}

// Snapshot returns the state that results from all records so far, including
// those that TakeBatch has not returned yet.
func (c *Cell) Snapshot() Snapshot {
	s := Snapshot{
		Jobs: make([]JobState, 0, len(c.jobs)), MeasuredRunTimes: c.runTimes.export(), LearnedRunTimes: c.runTimes.exportLearned(),
		Stray: c.strayGrants(), Open: c.openStarts(),
	}
	runs := otherRuns{orphans: c.orphansOfWaitingTasks(), others: c.runsBesideCurrent()}
	for _, j := range c.jobs {
		s.Jobs = append(s.Jobs, j.snapshot(runs))
	}
	slices.SortFunc(s.Jobs, func(a, b JobState) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	return s
}

// otherRuns holds what is on endpoints besides the current runs of tasks, by task.
type otherRuns struct {
	orphans map[*task]locatedOrphan
	others  map[*task][]OtherRun
}

// runsBesideCurrent returns the runs of each task that are not its current one.
func (c *Cell) runsBesideCurrent() map[*task][]OtherRun {
	others := make(map[*task][]OtherRun)
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			if r.task.run != r && r.phase != placed {
				others[r.task] = append(others[r.task], OtherRun{Run: r.number, Endpoint: e.ID, Born: e.born})
			}
		}
	}
	for _, runs := range others {
		slices.SortFunc(runs, func(a, b OtherRun) int { return a.Run - b.Run })
	}
	return others
}

// hasAny reports whether a task of the job has other runs than the current one.
func (r otherRuns) hasAny(j *job) bool {
	for t := range r.others {
		if t.step.occurrence.job == j {
			return true
		}
	}
	return false
}

func (j *job) snapshot(runs otherRuns) JobState {
	state := JobState{Job: j.Job, State: j.state, Next: j.nextOccurrence, Left: j.occurrencesLeft}
	if j.isOver() && !j.hasRuns() && !runs.hasAny(j) {
		state.Job = Job{ID: j.ID, Queue: j.Queue, Path: j.Path, Account: j.Account}
		return state
	}
	if !j.isOver() {
		state.State = ""
	}
	for k := range j.nextOccurrence {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		if j.Times > 0 {
			state.Open = append(state.Open, k)
		}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if _, isOrphaned := runs.orphans[t]; t.lastRun > 0 || t.isDone || isOrphaned {
					state.Tasks = append(state.Tasks, t.snapshot(runs))
				}
			}
		}
	}
	return state
}

func (t *task) snapshot(runs otherRuns) TaskState {
	state := TaskState{
		Task: t.name, Run: t.lastRun, Failed: t.failedRuns, IsDone: t.isDone, Saved: t.checkpoint,
		Suspicion: t.suspicion(), IsGivenUp: t.isGivenUp, Others: runs.others[t],
	}
	if t.run != nil {
		state.Endpoint, state.Born = t.run.endpoint.ID, t.run.endpoint.born
	} else if o, ok := runs.orphans[t]; ok {
		// The next owner must not start the task before this endpoint has listed its runs.
		state.Run, state.Endpoint, state.Born = max(state.Run, o.number), o.endpoint.ID, o.endpoint.born
	}
	return state
}

// Restore loads a snapshot into an empty cell. Later records are added by Apply,
// and FinishRestore completes the restoration.
func (c *Cell) Restore(now time.Time, s Snapshot) {
	c.runTimes.restore(s.MeasuredRunTimes)
	c.runTimes.restoreLearned(s.LearnedRunTimes)
	for _, state := range s.Jobs {
		if state.State != "" && len(state.Tasks) == 0 {
			j := &job{Job: state.Job, state: state.State, storedState: state.State, arrived: now, ended: now}
			c.jobs[j.ID] = j
			continue
		}
		j := c.addJob(state.Job, now)
		c.restoreOccurrences(j, state)
		for _, t := range state.Tasks {
			c.restoreTask(now, t)
		}
		if state.State != "" {
			// Runs of a finished job may still be on endpoints and have to be
			// stopped.
			c.finishJob(now, j, state.State)
		}
	}
	for _, stray := range s.Stray {
		c.inheritStrayGrant(stray, true)
	}
	for _, open := range s.Open {
		c.inheritOpenStart(open)
	}
}

func (c *Cell) restoreOccurrences(j *job, state JobState) {
	if j.Times == 0 {
		return
	}
	j.occurrencesLeft = state.Left
	for _, k := range state.Open {
		c.beginOccurrence(j, k)
	}
	j.nextOccurrence = state.Next
}

func (c *Cell) restoreTask(now time.Time, state TaskState) {
	t := c.findTask(state.Task)
	if t == nil {
		return
	}
	t.failedRuns, t.checkpoint = state.Failed, state.Saved
	c.inheritOthers(t, state.Others)
	t.lastRun = state.Run
	if state.IsDone {
		t.step.waiting = remove(t.step.waiting, t)
		if state.Endpoint != "" {
			c.inherit(t, state.Endpoint, state.Born)
		}
		c.complete(now, t)
		return
	}
	t.restoreSuspicion(state.Suspicion)
	if state.Endpoint != "" {
		c.inherit(t, state.Endpoint, state.Born)
		t.run.isKnownSettled = state.Suspicion != nil && state.Suspicion.IsSettled
	}
	if state.IsGivenUp {
		c.giveUp(now, t)
	}
}

// inheritOthers adds the runs of a task that are not its current one.
func (c *Cell) inheritOthers(t *task, others []OtherRun) {
	for _, other := range others {
		t.lastRun = other.Run
		c.inherit(t, other.Endpoint, other.Born)
		t.run = nil
	}
	if len(others) > 0 {
		t.step.waiting = append(t.step.waiting, t)
	}
}

// inherit adds a run that an earlier owner may have started on an endpoint.
func (c *Cell) inherit(t *task, endpointID string, born int64) {
	if j := t.step.occurrence.job; !j.isOver() {
		j.hasBegun, j.state = true, Running
	}
	e := c.endpoints[endpointID]
	if e == nil {
		e = c.newEndpoint(endpointID, born)
	}
	// Each placement is on the same incarnation of the endpoint as the one stored before it, or
	// on a later one. A snapshot names one incarnation for all.
	e.born = born
	if former := e.runs[t.name]; former != nil {
		// It has ended, or the task would not have been placed there again.
		c.removeRun(former)
	}
	switch {
	case t.run == nil:
	case t.step.Speculative:
		// The previous copy may still be running; it keeps its reservation until its
		// endpoint lists its runs.
		t.run = nil
	default:
		c.removeRun(t.run)
	}
	t.step.waiting = remove(t.step.waiting, t)
	r := &run{task: t, number: t.lastRun, endpoint: e, born: born, orderedBorn: born, phase: inherited, reserved: t.step.Reserved(), pace: fullPace, sentPace: unknownPace}
	c.attach(r)
}

// attach makes r the current run of its task and reserves its size on the endpoint
// and in the usage of its client account.
func (c *Cell) attach(r *run) {
	t := r.task
	t.run = r
	r.endpoint.runs[t.name] = r
	r.endpoint.used = r.endpoint.used.Plus(r.reserved)
	account := t.step.occurrence.job.Account
	c.used[account] = c.used[account].Plus(t.step.Each)
}

// Apply replays a stored record while the cell is being restored. Records must be
// applied in the order in which they were stored.
func (c *Cell) Apply(now time.Time, record Record) {
	switch {
	case record.Job != nil:
		if c.jobs[record.Job.ID] == nil {
			c.addJob(*record.Job, now)
		}
	case record.Cancel != "":
		if j := c.jobs[record.Cancel]; j != nil && !j.isOver() {
			c.cancel(now, j)
		}
	case record.Placement != nil:
		if t := c.findTask(record.Placement.Task); t != nil && !t.isDone {
			t.lastRun = max(t.lastRun, record.Placement.Run)
			t.restoreSuspicion(record.Placement.Suspicion)
			c.inherit(t, record.Placement.Endpoint, record.Placement.Born)
			if t.step.occurrence.job.isOver() {
				c.stopRun(t.run, "the job is over")
			}
		}
	case record.End != nil:
		c.applyEnd(now, *record.End)
	case record.Stray != nil:
		c.inheritStrayGrant(*record.Stray, false)
	case record.Open != nil:
		c.inheritOpenStart(*record.Open)
	default:
		c.applyCrashRecord(now, record)
	}
}

// applyCrashRecord replays a stored record about a task under which endpoints crash.
func (c *Cell) applyCrashRecord(now time.Time, record Record) {
	switch {
	case record.Suspect != nil:
		if t := c.findTask(record.Suspect.Task); t != nil {
			t.restoreSuspicion(&record.Suspect.Suspicion)
		}
	case record.Survival != nil:
		if t := c.findTask(record.Survival.Task); t != nil && t.run != nil && t.run.number == record.Survival.Run {
			t.run.isKnownSettled = true
			t.applySurvival(*record.Survival)
		}
	case record.GivenUp != "":
		if t := c.findTask(record.GivenUp); t != nil && !t.step.occurrence.job.isOver() {
			c.giveUp(now, t)
		}
	}
}

// applyEnd replays the stored end of a run.
func (c *Cell) applyEnd(now time.Time, end End) {
	t := c.findTask(end.Task)
	if t == nil {
		return
	}
	if end.Saved != "" {
		t.checkpoint = end.Saved
	}
	if r := t.run; r != nil && r.number == end.Run {
		defer c.removeRun(r)
	}
	c.applyEndToTask(now, t, end, false)
}

// FinishRestore completes the restoration after the last Apply. The restored state
// counts as stored, so it produces no records, starts or counts of its own.
func (c *Cell) FinishRestore() {
	for _, j := range c.jobs {
		if j.isOver() {
			j.storedState = j.state
		}
	}
	c.rateRestored()
	c.records, c.ends, c.starts, c.finished = nil, nil, nil, nil
	c.counts = Counts{}
}

func remove(tasks []*task, t *task) []*task {
	return slices.DeleteFunc(tasks, func(other *task) bool { return other == t })
}
