// Package emulator simulates a cell with its endpoints, its journal and successive
// owners in virtual time, for tests. It runs the real decisions of package jobs
// under delayed and lost orders, restarts, network partitions and takeovers, and
// checks the safety invariants against what the endpoints actually ran.
//
// Runs with the same seed and the same calls are identical.
package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Timing of the emulated platform.
const (
	linkDelay    = time.Millisecond
	commitDelay  = 6 * time.Millisecond
	planInterval = 40 * time.Millisecond
	pollInterval = 100 * time.Millisecond
	orderTimeout = 450 * time.Millisecond
	stopGrace    = 100 * time.Millisecond
	// ownerLease is the time from the end of an owner to the takeover by the next.
	ownerLease = 2 * time.Second
	// minOrderDelay and maxOrderDelay limit the delay of Faults.LateOrders.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
	// shrinkNotice is how long after an endpoint has shrunk runs may still be started up to
	// its former capacity.
	shrinkNotice = time.Second
	// delistDelay is the time from a crash until service discovery drops the endpoint.
	delistDelay = 1500 * time.Millisecond
	// crashDowntime is the time from a crash that a task has caused until the endpoint's
	// machine is up again.
	crashDowntime = 3 * time.Second
	// coldSlowdown is the factor by which tasks take longer on a cold endpoint.
	coldSlowdown = 2
	// maxAnswerDelay limits the delay of Faults.LateAnswers.
	maxAnswerDelay = 400 * time.Millisecond
	// handoverDelay is the time from the final snapshot of an owner that hands over to the
	// takeover.
	handoverDelay = 40 * time.Millisecond
)

// Config sets up a World.
type Config struct {
	Seed uint64
	// Endpoints is the number of endpoints, Capacity the capacity of each, PerRack
	// the number of endpoints in a rack.
	Endpoints int
	Capacity  jobs.Size
	PerRack   int
	// PerCentre is the number of endpoints in a data centre; with 0 there are none, and
	// nothing can be evacuated. The data centres are named c0, c1 and so on.
	PerCentre int
	// ColdTime is how long an endpoint is slow after its start; tasks that start in that time
	// take coldSlowdown times as long.
	ColdTime time.Duration
	// MaxListedEnds is the number of ends that an endpoint lists at a time; with 0 it
	// lists all.
	MaxListedEnds int
	// MaxGrant is the longest grant that an endpoint accepts, 0 for the one that owners give.
	MaxGrant time.Duration
	// ClockStep is the most by which an endpoint's wall clock is ahead; it differs with each
	// start of the endpoint.
	ClockStep time.Duration
	// IsUnbound sends starts and grants on any connection, as a transport that does not tell the incarnations of
	// an endpoint apart.
	IsUnbound bool
	// HasForwarder puts a forwarder between the owner and the endpoints. Connections then
	// outlive a restart of an endpoint, and the next incarnation receives the orders on them.
	HasForwarder bool
	// HoldsLateOrders makes the orders of Faults.LateOrders wait in the forwarder, so that any
	// later incarnation may carry them out. Otherwise they wait in the endpoint and end with
	// the incarnation that was up when they were sent.
	HoldsLateOrders bool
	// HoldsDirectOrders makes late orders wait there without a forwarder, too: a call without an answer may be
	// carried out seconds later.
	HoldsDirectOrders bool
	// MaxListingDelay is the longest time from when an endpoint copies the list of its runs
	// for the answer to a poll until it reads the clock for that answer and sends it. With 0
	// both are of the same moment.
	MaxListingDelay time.Duration
	// ClockGoesOn makes the clocks of endpoints go on over restarts instead of starting at 0.
	ClockGoesOn bool
	// Limits holds the limits of client accounts; others have none.
	Limits map[string]jobs.Size
	// UncheckedLimits holds the limits of accounts without one in Limits. The oracle does not
	// check them: it sums up all runs of an account at each start, which takes minutes in
	// surges.
	UncheckedLimits map[string]jobs.Size
	// AccountLimit, AccountReach and AccountTotal are those of the cell, instead of Limits and UncheckedLimits if AccountLimit is set. The oracle
	// does not check them.
	AccountLimit               func(account string) (limit jobs.Size, isBounded bool)
	AccountReach, AccountTotal func(account string) jobs.Size
	// Weight returns the weight of a client account's share. It may be nil.
	Weight func(account string) float64
	// IsForecasting is that of the cell.
	IsForecasting bool
	// Work returns how long a run of a task takes on a healthy endpoint, 0 for a
	// long-running task, and whether the run fails for reasons of its own.
	Work func(w *World, task string) (duration time.Duration, fails bool)
	// CrashAfter returns how long after its start a run of a task crashes its endpoint, 0 if
	// it does not. It may be nil.
	CrashAfter func(task string) time.Duration
	// Ended is called for each job that is over, once that has been stored. It may
	// be nil.
	Ended func(id string, state jobs.State)
}

// Faults holds the probabilities of faults, from 0 to 1.
type Faults struct {
	// LostAnswers is the probability that an order is carried out but its answer
	// is lost, LateOrders that an order is carried out seconds later and its answer
	// is lost, LostCommits that a write succeeds but its answer is lost.
	LostAnswers, LateOrders, LostCommits float64
	// OrderDelay is the delay of LateOrders; with 0 it is drawn from 2 to 12 s.
	OrderDelay time.Duration
	// LateAnswers is the probability that an answer is delayed, so that later ones overtake
	// it.
	LateAnswers float64
}

// World is an emulated cell with its endpoints and owner. It is not safe for
// concurrent use.
type World struct {
	config Config
	random *rand.Rand
	// connectionRandom is the source of the choices of connections, apart from random, so that
	// they change nothing else.
	connectionRandom *rand.Rand
	// listingRandom is the source of the delays of listings, apart for the same reason.
	listingRandom *rand.Rand
	now           time.Time
	events        eventQueue
	lastSequence  int
	faults        Faults
	endpoints     []*Endpoint
	owner         *owner
	epoch         int64
	journal       []jobs.Record
	// final is the last final snapshot, finalLength the length of the journal at that time.
	// It is nil once an owner has loaded it.
	final       *jobs.Snapshot
	finalLength int
	oracle      oracle
	// accepted holds the jobs whose acceptance was answered, by ID.
	accepted map[string]jobs.Job
	operator operator
	// isCarriedOutLate is set while an order of Faults.LateOrders is carried out.
	isCarriedOutLate bool
}

// event is a function to be called at a virtual time. Events of the same time are
// handled in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int
	handle   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a world with running endpoints and a first owner.
func New(config Config) *World {
	w := &World{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		connectionRandom: rand.New(rand.NewPCG(config.Seed, ^config.Seed)),
		listingRandom:    rand.New(rand.NewPCG(^config.Seed, ^config.Seed)),
		now:              time.Unix(1000, 0), accepted: make(map[string]jobs.Job),
	}
	w.config.MaxGrant = cmp.Or(config.MaxGrant, jobs.DefaultBounds().Grant)
	w.operator.random = rand.New(rand.NewPCG(^config.Seed, config.Seed))
	w.oracle = newOracle(w)
	for i := range config.Endpoints {
		w.addEndpoint(i)
	}
	w.Takeover()
	w.checkLost()
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Random returns the source of all random choices.
func (w *World) Random() *rand.Rand { return w.random }

// SetFaults replaces the fault probabilities; they apply to later calls.
func (w *World) SetFaults(faults Faults) { w.faults = faults }

// Violations returns a description of each violation of an invariant so far.
func (w *World) Violations() []string { return w.oracle.violations }

// after schedules do to be called when duration has passed.
func (w *World) after(duration time.Duration, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now.Add(duration), sequence: w.lastSequence, handle: do})
}

// After schedules do to be called when duration has passed in virtual time.
func (w *World) After(duration time.Duration, do func()) { w.after(duration, do) }

// Advance runs the emulation for duration of virtual time.
func (w *World) Advance(duration time.Duration) {
	end := w.now.Add(duration)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.handle()
	}
	w.now = end
}

// chance returns true with the given probability. It draws no random number if the
// probability is 0.
func (w *World) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// Submit submits a job to the owner of the cell. It is listed by Accepted once its
// record has been stored.
func (w *World) Submit(job jobs.Job) (verdict jobs.Verdict) {
	o := w.owner
	if o == nil || o.isStopped || o.isHandingOver {
		return jobs.Verdict{Reason: "no owner", RetryAfter: time.Second}
	}
	verdict = o.cell.Admit(w.now, &job)
	if !verdict.IsAccepted {
		return verdict
	}
	w.oracle.submitted[job.ID] = true
	if o.cell.Submit(w.now, job) {
		o.onStored = append(o.onStored, func() {
			w.accepted[job.ID] = job
			w.oracle.recordAcceptance(job)
		})
	}
	return verdict
}

// Cancel cancels a job; without an owner it does nothing.
func (w *World) Cancel(id string) {
	if o := w.owner; o != nil && !o.isStopped && o.cell.Cancel(w.now, id) {
		w.oracle.cancelRequested[id] = true
		o.onStored = append(o.onStored, func() { w.oracle.recordCancellation(id) })
	}
}

// Status returns the state of a job as the owner reports it to callers.
func (w *World) Status(id string) (state jobs.State, isKnown bool) {
	if w.owner == nil {
		return "", false
	}
	return w.owner.cell.Status(id)
}

// Accepted returns the jobs whose acceptance was stored and answered, by ID.
func (w *World) Accepted() map[string]jobs.Job { return w.accepted }

func (w *World) endpoint(id string) *Endpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// AddEndpoint starts another endpoint.
func (w *World) AddEndpoint() { w.pollNew(w.addEndpoint(len(w.endpoints))) }

// replace starts another endpoint on the machine of one that has ended.
func (w *World) replace(ended *Endpoint) {
	e := w.addEndpoint(len(w.endpoints))
	e.machine, e.rack, e.centre = ended.machine, ended.rack, ended.centre
	w.pollNew(e)
}

// pollNew makes the present owner poll a new endpoint.
func (w *World) pollNew(e *Endpoint) {
	if o := w.owner; o != nil && !o.isStopped {
		o.pollLoop(e)
	}
}

func (w *World) addEndpoint(number int) *Endpoint {
	endpointsPerRack := max(w.config.PerRack, 1)
	e := &Endpoint{
		world: w, id: fmt.Sprintf("e%d", number), rack: fmt.Sprintf("r%d", number/endpointsPerRack),
		capacity: w.config.Capacity, clockRate: 1 - 0.02*w.random.Float64(),
	}
	e.machine = "m-" + e.id
	if w.config.PerCentre > 0 {
		e.centre = fmt.Sprintf("c%d", number/w.config.PerCentre)
	}
	e.boot()
	w.endpoints = append(w.endpoints, e)
	return e
}
