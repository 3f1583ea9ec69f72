// Package emulator plays a cell with its endpoints, its journal and a succession
// of owners in virtual time. It drives the real decisions of package jobs
// through late and lost orders, restarts, cuts and takeovers, and checks from
// the endpoints' side what must always hold.
//
// The same seed plays the same run.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Figures of the emulated platform.
const (
	linkDelay   = time.Millisecond
	commitDelay = 6 * time.Millisecond
	cycleGap    = 40 * time.Millisecond
	lookGap     = 100 * time.Millisecond
	orderWait   = 450 * time.Millisecond
	stopGrace   = 100 * time.Millisecond
	// ownerLease is how long an owner is away until another takes the cell.
	ownerLease = 2 * time.Second
	lateLeast  = 2 * time.Second
	lateMost   = 12 * time.Second
)

// Config sets up a World.
type Config struct {
	Seed uint64
	// Endpoints is how many there are, Capacity the room of each, PerRack how
	// many share a rack.
	Endpoints int
	Capacity  jobs.Size
	PerRack   int
	// Limits bounds what client accounts may run.
	Limits map[string]jobs.Size
	// Work says how long a task runs on a sound endpoint and whether it fails by
	// its own fault; 0 stands for a long-running task.
	Work func(w *World, task string) (length time.Duration, fails bool)
	// Ended is told of each job that is shown as over.
	Ended func(id string, state jobs.State)
}

// Faults are the shares of calls that go wrong.
type Faults struct {
	// LostAnswers are carried out and not answered; LateOrders are not answered
	// and carried out seconds later; LostCommits are carried out and not answered.
	LostAnswers, LateOrders, LostCommits float64
}

// World is an emulated cell.
type World struct {
	config    Config
	random    *rand.Rand
	now       time.Time
	events    queue
	sequence  int
	faults    Faults
	endpoints []*Endpoint
	owner     *owner
	epoch     int64
	log       []jobs.Record
	oracle    oracle
	// Moves counts machines that were taken away or added.
	accepted map[string]jobs.Job
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a world with an owner in place.
func New(config Config) *World {
	w := &World{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		now: time.Unix(1000, 0), accepted: make(map[string]jobs.Job),
	}
	w.oracle = newOracle(w)
	for i := range config.Endpoints {
		w.addEndpoint(i)
	}
	w.Takeover()
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Random returns the source of all chance.
func (w *World) Random() *rand.Rand { return w.random }

// SetFaults changes the shares of calls that go wrong.
func (w *World) SetFaults(faults Faults) { w.faults = faults }

// Violations lists what did not hold.
func (w *World) Violations() []string { return w.oracle.violations }

// after does something later.
func (w *World) after(length time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(length), sequence: w.sequence, do: do})
}

// After calls a function at a later virtual time.
func (w *World) After(length time.Duration, do func()) { w.after(length, do) }

// Advance plays for a time.
func (w *World) Advance(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *World) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// Submit hands a job in to the owner of the cell.
func (w *World) Submit(job jobs.Job) (verdict jobs.Verdict) {
	o := w.owner
	if o == nil || o.isGone {
		return jobs.Verdict{Reason: "no owner", RetryAfter: time.Second}
	}
	verdict = o.cell.Admit(w.now, &job)
	if !verdict.IsAccepted {
		return verdict
	}
	w.oracle.sent[job.ID] = true
	if o.cell.Submit(w.now, job) {
		o.waiting = append(o.waiting, func() {
			w.accepted[job.ID] = job
		})
	}
	return verdict
}

// Cancel ends a job.
func (w *World) Cancel(id string) {
	if o := w.owner; o != nil && o.cell.Cancel(w.now, id) {
		o.waiting = append(o.waiting, func() { w.oracle.cancelled(id) })
	}
}

// Status returns the state of a job as the owner shows it.
func (w *World) Status(id string) (state jobs.State, isKnown bool) {
	if w.owner == nil {
		return "", false
	}
	return w.owner.cell.Status(id)
}

// Accepted returns the jobs whose acceptance was answered.
func (w *World) Accepted() map[string]jobs.Job { return w.accepted }

// Cell returns the state machine of the present owner.
func (w *World) Cell() *jobs.Cell { return w.owner.cell }

// Endpoints returns all endpoints.
func (w *World) Endpoints() []*Endpoint { return w.endpoints }

func (w *World) endpoint(id string) *Endpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *World) addEndpoint(number int) {
	perRack := max(w.config.PerRack, 1)
	e := &Endpoint{
		world: w, id: fmt.Sprintf("e%d", number), rack: fmt.Sprintf("r%d", number/perRack),
		capacity: w.config.Capacity, slow: 1 - 0.02*w.random.Float64(),
	}
	e.boot()
	w.endpoints = append(w.endpoints, e)
}
