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

// spillAfter is how long a pool has nothing free in its own data centre before
// slots of other data centres are asked for.
const spillAfter = 300 * time.Millisecond

// start is the right to run one attempt: a unit of the team's limit and a slot.
type start struct {
	minion *minion.Minion
	unit   *units.Permit
	slot   *units.Permit
	item   *share.Item[*ticket]
}

// ending says how an attempt ended.
type ending int

const (
	// ran tells that the work has ended.
	ran ending = iota
	// skipped tells that nothing was run.
	skipped
	// lost tells that the work may go on until its longest run time.
	lost
)

// ticket is a request that waits for a start.
type ticket struct {
	avoid   string
	started chan start
}

// Dispatcher hands out starts, pool by pool, in fair order.
type Dispatcher struct {
	config    Config
	predictor *share.Predictor
	usage     usage

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the queue of one pool.
type pool struct {
	name  string
	queue *share.Scheduler[*ticket]
	// full is when the pool was first found without a free slot; zero if it
	// has some.
	full time.Time
	// short are the teams that were passed over for want of a unit.
	short map[string]bool
}

// NewDispatcher returns a Dispatcher with empty queues.
func NewDispatcher(config Config) *Dispatcher {
	return &Dispatcher{
		config:    config,
		predictor: share.NewPredictor(),
		usage:     usage{own: make(map[string]time.Duration)},
		pools:     make(map[string]*pool),
	}
}

// await waits until the request may start. It returns a *RefusalError if the wait
// is over before.
func (d *Dispatcher) await(ctx context.Context, r request, avoid string) (start, error) {
	service := r.service
	t := &ticket{avoid: avoid, started: make(chan start, 1)}
	item, err := d.push(service, r.team, t)
	if err != nil {
		return start{}, err
	}
	timeout := time.NewTimer(time.Duration(service.MaxWait))
	defer timeout.Stop()
	select {
	case begun := <-t.started:
		return begun, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timeout.C:
		err = notRun(503, "no slot became free in time", retryLater)
	}
	if d.cancel(service.Pool, item) {
		return start{}, err
	}
	// It was started in the meantime.
	begun := <-t.started
	if ctx.Err() != nil {
		d.drop(begun, r)
		return start{}, ctx.Err()
	}
	return begun, nil
}

func (d *Dispatcher) push(service *document.Service, team string, t *ticket) (*share.Item[*ticket], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(service.Pool)
	if p.queue.Len() >= service.MaxWaiting {
		return nil, notRun(429, "the queue is full", retrySoon)
	}
	now := d.config.Timer.Now()
	predicted := d.predictor.Predict(share.Kind{Team: team, Service: service.Name})
	item := p.queue.Push(now, team, service.Name, predicted, t)
	d.dispatch(now, p)
	return item, nil
}

func (d *Dispatcher) cancel(name string, item *share.Item[*ticket]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(name).queue.Cancel(item)
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, queue: share.NewScheduler[*ticket](share.Config{}), short: make(map[string]bool)}
		for _, t := range d.config.Index().Document.Teams {
			p.queue.SetShare(t.Name, t.Share)
		}
		d.pools[name] = p
	}
	return p
}

// SetShares puts the shares of a new document in force.
func (d *Dispatcher) SetShares(teams []document.Team) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		for _, t := range teams {
			p.queue.SetShare(t.Name, t.Share)
		}
	}
}

// Kick starts what can start. It is called when units or slots came free.
func (d *Dispatcher) Kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Timer.Now()
	for _, p := range d.pools {
		if p.queue.Len() > 0 {
			d.dispatch(now, p)
		}
	}
}

// dispatch starts items of a pool until it lacks slots or units.
func (d *Dispatcher) dispatch(now time.Time, p *pool) {
	clear(p.short)
	for p.queue.Len() > 0 && d.startNext(now, p) {
		continue
	}
}

func (d *Dispatcher) startNext(now time.Time, p *pool) bool {
	free, held := d.config.Roster.Slots(now, p.name)
	chosen, slot := d.config.Roster.Pick(now, p.name, "")
	if slot == nil {
		p.noteFull(now)
		return false
	}
	item, unit := d.next(now, p, free, held)
	if item == nil {
		chosen.CancelPick()
		slot.Release()
		return false
	}
	p.full = time.Time{}
	if item.Value.avoid == chosen.Name {
		chosen.CancelPick()
		slot.Release()
		chosen, slot = d.config.Roster.Pick(now, p.name, item.Value.avoid)
	}
	if slot == nil {
		unit.Release()
		p.queue.Requeue(now, item)
		return false
	}
	item.Value.started <- start{minion: chosen, unit: unit, slot: slot, item: item}
	return true
}

// noteFull notes that the pool has no slot for what waits.
func (p *pool) noteFull(now time.Time) {
	if p.full.IsZero() {
		p.full = now
	}
}

// next takes out the next item whose team has a free unit, with the unit.
func (d *Dispatcher) next(now time.Time, p *pool, free, held int) (item *share.Item[*ticket], unit *units.Permit) {
	isShort := false
	item = p.queue.Next(now, free, held, func(team string) bool {
		taken := d.config.Teams.Account(team).Acquire()
		if taken == nil {
			p.short[team] = true
			isShort = true
			return false
		}
		// The team found before this one is behind it after all.
		if unit != nil {
			unit.Release()
		}
		unit = taken
		return true
	})
	if item == nil && !isShort {
		// The free slots are kept for quick work.
		p.noteFull(now)
	}
	return item, unit
}

// Plan tells the ledgers how many units and slots the waiting requests could
// use. It is called several times a second, before the ledgers are ticked.
func (d *Dispatcher) Plan(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	short := make(map[string]int)
	for _, p := range d.pools {
		for team := range p.short {
			short[team] += p.queue.Waiting(team)
		}
		d.planSlots(now, p)
	}
	for _, t := range d.config.Index().Document.Teams {
		d.config.Teams.Account(t.Name).SetWaiting(short[t.Name])
	}
}

// planSlots spreads the demand of a pool over its minions, those of the own
// data centre first.
func (d *Dispatcher) planSlots(now time.Time, p *pool) {
	if p.queue.Len() == 0 {
		p.full = time.Time{}
	}
	need := 0
	if !p.full.IsZero() {
		need = p.queue.Len()
	}
	isSpilling := need > 0 && now.Sub(p.full) >= spillAfter
	minions := d.config.Roster.Pool(p.name)
	left := 0
	for _, m := range minions {
		if isSpilling || m.Centre == d.config.Centre {
			left++
		}
	}
	for _, m := range minions {
		wanted := 0
		if left > 0 && (isSpilling || m.Centre == d.config.Centre) {
			wanted = min((need+left-1)/left, int(m.Capacity))
			need -= wanted
			left--
		}
		m.Slots.SetWaiting(wanted)
	}
}

// finish gives back what an attempt used, at once if its work is known to have
// ended, else when its longest run time has passed.
func (d *Dispatcher) finish(begun start, r request, since time.Time, how ending) {
	run := d.config.Timer.Now().Sub(since)
	longest := time.Duration(r.service.MaxRunTime)
	switch how {
	case ran:
		d.predictor.Learn(share.Kind{Team: r.team, Service: r.service.Name}, run)
		d.release(begun, r, run)
	case skipped:
		d.release(begun, r, 0)
	case lost:
		time.AfterFunc(max(longest-run, 0), func() { d.release(begun, r, longest) })
	}
}

func (d *Dispatcher) release(begun start, r request, run time.Duration) {
	begun.slot.Release()
	begun.unit.Release()
	d.usage.add(r.team, run)
	d.mu.Lock()
	d.pool(r.service.Pool).queue.Finish(d.config.Timer.Now(), begun.item)
	d.mu.Unlock()
	d.Kick()
}

// drop gives back a start that nothing was sent for.
func (d *Dispatcher) drop(begun start, r request) {
	begun.minion.CancelPick()
	d.release(begun, r, 0)
}

// Occupancy counts slots by pool and team.
type Occupancy map[string]map[string]int

// Add adds the slots of another occupancy.
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

// Running returns the slots that are occupied through this entry.
func (d *Dispatcher) Running() Occupancy {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(Occupancy, len(d.pools))
	for name, p := range d.pools {
		running[name] = p.queue.Running()
	}
	return running
}

// SetRemote sets the slots that are occupied through the other entries, of so
// many in all.
func (d *Dispatcher) SetRemote(remote Occupancy, entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		p.queue.SetRemote(remote[name], entries)
	}
}

// Used returns the slot time used here by each team since the start.
func (d *Dispatcher) Used() map[string]time.Duration { return d.usage.snapshot() }

// Waiting returns the number of waiting requests by pool.
func (d *Dispatcher) Waiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int, len(d.pools))
	for name, p := range d.pools {
		waiting[name] = p.queue.Len()
	}
	return waiting
}
