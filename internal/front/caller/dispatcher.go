package caller

import (
	"context"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/share"
	"gitlab.com/chicorypin/chicorypin/units"
)

// spillDelay is how long a pool must have had no free slot before this entry also
// requests slots in other data centres.
const spillDelay = 300 * time.Millisecond

// admission is the permission to run one attempt: a unit of the team's limit and a
// slot on a minion, held until the admission is released.
type admission struct {
	minion *minion.Minion
	// pickedAt is when the minion was picked.
	pickedAt time.Time
	unit     *units.Permit
	slot     *units.Permit
	item     *share.Item[*waiter]
}

// attemptResult is how an attempt ended.
type attemptResult int

const (
	// attemptCompleted means that the minion has finished the work.
	attemptCompleted attemptResult = iota
	// attemptNotRun means that the minion ran nothing.
	attemptNotRun
	// attemptLost means that the work may continue on the minion up to the maximum
	// run time of its service.
	attemptLost
)

// waiter is a request in a queue.
type waiter struct {
	// avoidMinion is the name of the minion on which the previous attempt failed,
	// empty for the first attempt.
	avoidMinion string
	// admitted receives the admission. Its buffer of one lets the dispatcher send
	// without blocking while it holds its mutex.
	admitted chan admission
}

// Dispatcher queues requests by pool and admits them to free slots. The slots of a pool
// are divided between the teams by their shares. It is safe for concurrent use.
type Dispatcher struct {
	config    Config
	predictor *share.Predictor
	usage     usage

	mu     sync.Mutex
	queues map[string]*poolQueue
}

// poolQueue holds the waiting requests of one pool.
type poolQueue struct {
	name      string
	scheduler *share.Scheduler[*waiter]
	// fullSince is when the pool was first found without a free slot for the waiting
	// requests; zero while it has one.
	fullSince time.Time
	// teamsAtLimit are the teams that were skipped because they had no free unit.
	teamsAtLimit map[string]bool
}

// NewDispatcher returns a Dispatcher with empty queues.
func NewDispatcher(config Config) *Dispatcher {
	return &Dispatcher{
		config:    config,
		predictor: share.NewPredictor(),
		usage:     usage{slotTime: make(map[string]time.Duration)},
		queues:    make(map[string]*poolQueue),
	}
}

// admit queues a request and waits until it may start, preferably not on the minion
// avoid. It returns a *RefusalError if the queue is full or the wait limit of the
// service expires, or the error of ctx. The caller must pass the admission to
// finishAttempt or releaseUnused.
func (d *Dispatcher) admit(ctx context.Context, r request, avoid string) (admission, error) {
	service := r.service
	w := &waiter{avoidMinion: avoid, admitted: make(chan admission, 1)}
	item, err := d.enqueue(service, r.team, w)
	if err != nil {
		return admission{}, err
	}
	timeout := time.NewTimer(time.Duration(service.MaxWait))
	defer timeout.Stop()
	select {
	case admitted := <-w.admitted:
		return admitted, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timeout.C:
		err = newNotRun(503, "no slot became free in time", retryAfterLong)
	}
	if d.cancel(service.Pool, item) {
		return admission{}, err
	}
	// The request was admitted before it could be cancelled.
	admitted := <-w.admitted
	if ctx.Err() != nil {
		d.releaseUnused(admitted, r)
		return admission{}, ctx.Err()
	}
	return admitted, nil
}

// enqueue adds a waiter to the queue of the pool and dispatches the queue. It returns
// a *RefusalError if the queue is full.
func (d *Dispatcher) enqueue(service *document.Service, team string, w *waiter) (*share.Item[*waiter], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(service.Pool)
	if q.scheduler.Len() >= service.MaxWaiting {
		return nil, newNotRun(429, "the queue is full", retryAfterShort)
	}
	now := d.config.Clock.Now()
	predicted := d.predictor.Predict(share.Kind{Team: team, Service: service.Name})
	item := q.scheduler.Push(now, team, service.Name, predicted, w)
	isDispatched := false
	defer func() {
		// net/http recovers a panic of the caller's handler. Nobody would take the
		// admission of the item then.
		if !isDispatched {
			d.withdraw(now, q, item)
		}
	}()
	d.dispatch(now, q)
	isDispatched = true
	return item, nil
}

// withdraw removes an item from the queue, or releases its admission if it has been
// admitted. The caller holds the mutex.
func (d *Dispatcher) withdraw(now time.Time, q *poolQueue, item *share.Item[*waiter]) {
	if q.scheduler.Cancel(item) {
		return
	}
	select {
	case admitted := <-item.Value.admitted:
		d.giveBack(now, q, admitted)
		q.scheduler.Cancel(item)
	default:
	}
}

// cancel removes an item from the queue of a pool. It returns false if the item has
// already been admitted.
func (d *Dispatcher) cancel(pool string, item *share.Item[*waiter]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(pool).scheduler.Cancel(item)
}

// queue returns the queue of a pool and creates it on first use. The caller holds
// the mutex.
func (d *Dispatcher) queue(pool string) *poolQueue {
	q := d.queues[pool]
	if q == nil {
		q = &poolQueue{name: pool, scheduler: share.NewScheduler[*waiter](share.Config{}), teamsAtLimit: make(map[string]bool)}
		for _, t := range d.config.Index().Document.Teams {
			q.scheduler.SetShare(t.Name, t.Share)
		}
		d.queues[pool] = q
	}
	return q
}

// SetShares applies the teams' shares of a new document to all queues.
func (d *Dispatcher) SetShares(teams []document.Team) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		for _, t := range teams {
			q.scheduler.SetShare(t.Name, t.Share)
		}
	}
}

// DispatchAll admits all waiting requests that can start. It is to be called when units
// or slots have become free.
func (d *Dispatcher) DispatchAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	for _, q := range d.queues {
		if q.scheduler.Len() > 0 {
			d.dispatch(now, q)
		}
	}
}

// dispatch admits requests of a pool until slots or units run out. The caller holds
// the mutex.
func (d *Dispatcher) dispatch(now time.Time, q *poolQueue) {
	clear(q.teamsAtLimit)
	for q.scheduler.Len() > 0 && d.admitNext(now, q) {
		continue
	}
}

// admitNext admits one request of a pool. It returns false if none can start.
func (d *Dispatcher) admitNext(now time.Time, q *poolQueue) (isAdmitted bool) {
	free, held := d.config.Roster.Slots(now, q.name)
	next := admission{pickedAt: now}
	defer func() {
		// Deferred, so that nothing is held after a panic either.
		if !isAdmitted {
			d.giveBack(now, q, next)
		}
	}()
	next.minion, next.slot = d.config.Roster.Pick(now, q.name, "")
	if next.slot == nil {
		q.markFull(now)
		return false
	}
	d.takeNext(now, q, free, held, &next)
	if next.item == nil {
		return false
	}
	q.fullSince = time.Time{}
	if avoided := next.item.Value.avoidMinion; avoided == next.minion.Name {
		next.releaseSlot()
		next.minion, next.slot = d.config.Roster.Pick(now, q.name, avoided)
	}
	if next.slot == nil {
		return false
	}
	next.item.Value.admitted <- next
	return true
}

// releaseSlot releases the slot, on which no attempt was started.
func (a *admission) releaseSlot() {
	a.minion.CancelPick(a.pickedAt)
	a.slot.Release()
	a.minion, a.slot = nil, nil
}

// giveBack releases what an incomplete admission holds and puts its item back into the
// queue. The caller holds the mutex.
func (d *Dispatcher) giveBack(now time.Time, q *poolQueue, a admission) {
	if a.slot != nil {
		a.releaseSlot()
	}
	if a.unit != nil {
		a.unit.Release()
	}
	if a.item != nil {
		q.scheduler.Requeue(now, a.item)
	}
}

// markFull records that the pool has no free slot for its waiting requests.
func (q *poolQueue) markFull(now time.Time) {
	if q.fullSince.IsZero() {
		q.fullSince = now
	}
}

// takeNext removes the next item whose team has a free unit from the queue, and sets it
// and the unit in next. Both stay nil if there is none. free and held count the pool's
// slots, as returned by minion.Roster.Slots.
func (d *Dispatcher) takeNext(now time.Time, q *poolQueue, free, held int, next *admission) {
	isAnyAtLimit := false
	next.item = q.scheduler.Next(now, free, held, func(team string) bool {
		acquired := d.config.Teams.Account(team).Acquire()
		if acquired == nil {
			q.teamsAtLimit[team] = true
			isAnyAtLimit = true
			return false
		}
		// This may be called for several teams; the item is of the last one that has a
		// unit.
		if next.unit != nil {
			next.unit.Release()
		}
		next.unit = acquired
		return true
	})
	if next.item == nil && !isAnyAtLimit {
		// The free slots are reserved for quick work.
		q.markFull(now)
	}
}

// UpdateDemand sets on the ledgers of units and slots how many more of them the waiting
// requests could use. It must be called before each tick of the ledgers, several
// times a second.
func (d *Dispatcher) UpdateDemand(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waitingAtLimit := make(map[string]int)
	for _, q := range d.queues {
		for team := range q.teamsAtLimit {
			waitingAtLimit[team] += q.scheduler.Waiting(team)
		}
		d.updateSlotDemand(now, q)
	}
	for _, t := range d.config.Index().Document.Teams {
		d.config.Teams.Account(t.Name).SetWaiting(waitingAtLimit[t.Name])
	}
}

// updateSlotDemand distributes the demand of a pool for slots evenly over the minions
// in the entry's own data centre, and over all minions once the pool has been full for
// spillDelay. The caller holds the mutex.
func (d *Dispatcher) updateSlotDemand(now time.Time, q *poolQueue) {
	if q.scheduler.Len() == 0 {
		q.fullSince = time.Time{}
	}
	remaining := 0
	if !q.fullSince.IsZero() {
		remaining = q.scheduler.Len()
	}
	isRemoteAllowed := remaining > 0 && now.Sub(q.fullSince) >= spillDelay
	minions := d.config.Roster.Pool(q.name)
	minionsLeft := 0
	for _, m := range minions {
		if isRemoteAllowed || m.Centre == d.config.Centre {
			minionsLeft++
		}
	}
	for _, m := range minions {
		demand := 0
		if minionsLeft > 0 && (isRemoteAllowed || m.Centre == d.config.Centre) {
			demand = min((remaining+minionsLeft-1)/minionsLeft, int(m.Capacity))
			remaining -= demand
			minionsLeft--
		}
		m.Slots.SetWaiting(demand)
	}
}

// finishAttempt releases the unit and the slot of an attempt that started at
// startTime. They are released at once if the minion no longer runs the work, else
// when the maximum run time of the attempt has passed.
func (d *Dispatcher) finishAttempt(admitted admission, r request, startTime time.Time, result attemptResult) {
	runTime := d.config.Clock.Now().Sub(startTime)
	switch result {
	case attemptCompleted:
		d.predictor.Learn(share.Kind{Team: r.team, Service: r.service.Name}, runTime)
		d.release(admitted, r, runTime)
	case attemptNotRun:
		d.release(admitted, r, 0)
	case attemptLost:
		time.AfterFunc(max(r.maxRunTime-runTime, 0), func() { d.release(admitted, r, r.maxRunTime) })
	}
}

// release returns the unit and the slot, charges the run time to the team, and
// admits further requests.
func (d *Dispatcher) release(admitted admission, r request, runTime time.Duration) {
	admitted.slot.Release()
	admitted.unit.Release()
	d.usage.add(r.team, runTime)
	d.recordEnd(r.service.Pool, admitted.item)
	d.DispatchAll()
}

// recordEnd records in the queue of a pool that the work of an item has ended.
func (d *Dispatcher) recordEnd(pool string, item *share.Item[*waiter]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue(pool).scheduler.Finish(d.config.Clock.Now(), item)
}

// releaseUnused releases an admission for which no attempt was sent.
func (d *Dispatcher) releaseUnused(admitted admission, r request) {
	admitted.minion.CancelPick(admitted.pickedAt)
	d.release(admitted, r, 0)
}

// Occupancy is the number of occupied slots by pool and team.
type Occupancy map[string]map[string]int

// Add adds the slots of another occupancy to o.
func (o Occupancy) Add(other Occupancy) {
	for pool, teams := range other {
		if o[pool] == nil {
			o[pool] = make(map[string]int)
		}
		for team, slots := range teams {
			o[pool][team] += slots
		}
	}
}

// Running returns the slots that requests of this entry occupy.
func (d *Dispatcher) Running() Occupancy {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(Occupancy, len(d.queues))
	for name, q := range d.queues {
		running[name] = q.scheduler.Running()
	}
	return running
}

// SetRemote sets the slots that requests of the other entries occupy. entries is the
// number of entries, including this one.
func (d *Dispatcher) SetRemote(remote Occupancy, entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, q := range d.queues {
		q.scheduler.SetRemote(remote[name], entries)
	}
}

// UsedSlotTime returns the slot time that each team has used through this entry since
// its start.
func (d *Dispatcher) UsedSlotTime() map[string]time.Duration { return d.usage.snapshot() }

// Waiting returns the number of waiting requests by pool.
func (d *Dispatcher) Waiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int, len(d.queues))
	for name, q := range d.queues {
		waiting[name] = q.scheduler.Len()
	}
	return waiting
}
