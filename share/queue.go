package share

import (
	"container/list"
	"time"
)

// DefaultQuick is the default of Config.
const DefaultQuick = time.Second

// quickCredit is the slot time, in seconds, that a team may catch up on after a
// time without quick work.
const quickCredit = 1

// Config sets up a Queue. Zero values take the defaults.
type Config struct {
	// Quick is the longest predicted run time of work that counts as quick.
	Quick time.Duration
}

// Queue orders items of type T. The team that occupies the fewest slots for its
// share goes first, and within the team the service that occupies the fewest.
// It is not safe for concurrent use.
type Queue[T any] struct {
	config Config
	flows  map[string]*flow[T]
	active []*flow[T]
	length int
	// remote is the number of slots that all teams occupy at other processes,
	// and processes the number of those, this one included.
	remote    int
	processes int
	// quickVirtual is the virtual time of quick work: that of the team which was
	// last given a slot for it.
	quickVirtual float64
	// shares is the sum of the shares of the teams that take part.
	shares float64
}

// Item is one waiting or running piece of work.
type Item[T any] struct {
	Value T
	// Team is the team that the work is for.
	Team string
	// Service is the kind of the work within its team.
	Service string
	// Predicted is the run time that was predicted for it.
	Predicted time.Duration

	quick bool
	// place is where the item waits, nil if it does not.
	place *list.Element
}

// IsQuick returns whether the item was predicted to be quick.
func (i *Item[T]) IsQuick() bool { return i.quick }

// NewQueue returns an empty Queue.
func NewQueue[T any](config Config) *Queue[T] {
	if config.Quick == 0 {
		config.Quick = DefaultQuick
	}
	return &Queue[T]{config: config, flows: make(map[string]*flow[T]), processes: 1}
}

// SetShare sets the share of a team; teams start with a share of 1.
func (q *Queue[T]) SetShare(team string, share float64) {
	q.flow(team).share = share
}

// SetRemote sets how many slots the teams occupy at the other processes, of so
// many in all. Teams that are left out occupy none.
func (q *Queue[T]) SetRemote(running map[string]int, processes int) {
	q.remote, q.processes = 0, max(processes, 1)
	for _, f := range q.flows {
		f.remote = 0
	}
	for team, count := range running {
		q.flow(team).remote = count
		q.remote += count
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of a team.
func (q *Queue[T]) Waiting(team string) int {
	if f := q.flows[team]; f != nil {
		return f.waiting
	}
	return 0
}

// Running returns how many slots each team occupies here.
func (q *Queue[T]) Running() map[string]int {
	running := make(map[string]int)
	for team, f := range q.flows {
		if f.running > 0 {
			running[team] = f.running
		}
	}
	return running
}

// Push adds an item.
func (q *Queue[T]) Push(team, service string, predicted time.Duration, value T) *Item[T] {
	item := &Item[T]{Value: value, Team: team, Service: service, Predicted: predicted}
	item.quick = q.flow(team).lane(service).classify(predicted, q.config.Quick)
	q.enter(item, false)
	return item
}

// Cancel takes a waiting item out in constant time. It returns false if the
// item has already left.
func (q *Queue[T]) Cancel(item *Item[T]) bool {
	if item.place == nil {
		return false
	}
	q.leave(item)
	return true
}

// Pop takes out the next item among the teams for which isReady returns true;
// it counts as running until Finish or Return. It returns nil if there is none.
func (q *Queue[T]) Pop(isReady func(team string) bool) *Item[T] {
	f := q.next(isReady)
	if f == nil {
		return nil
	}
	return q.take(f, f.first())
}

// PopQuick does what Pop does for quick items alone. The teams take turns by
// start-time fair queueing over the slot time of their quick work: it holds no
// slot for long, so that a fair order over time is fair at any time.
func (q *Queue[T]) PopQuick(isReady func(team string) bool) *Item[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.quickest() == nil {
			continue
		}
		f.quickVirtual = max(f.quickVirtual, q.quickVirtual-quickCredit/f.share)
		if (best == nil || f.quickVirtual < best.quickVirtual) && isReady(f.team) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	q.quickVirtual = max(q.quickVirtual, best.quickVirtual)
	return q.take(best, best.quickest())
}

// Return puts back an item that Pop took out and that could not start, at the
// front of its service.
func (q *Queue[T]) Return(item *Item[T]) {
	q.Finish(item)
	q.enter(item, true)
}

// Finish notes that the work of an item has ended.
func (q *Queue[T]) Finish(item *Item[T]) { q.flows[item.Team].noteEnd(item) }

func (q *Queue[T]) flow(team string) *flow[T] {
	f := q.flows[team]
	if f == nil {
		f = newFlow[T](team)
		q.flows[team] = f
	}
	return f
}

func (q *Queue[T]) enter(item *Item[T], isAgain bool) {
	f := q.flow(item.Team)
	if f.waiting == 0 {
		q.active = append(q.active, f)
	}
	f.add(item, isAgain)
	q.length++
}

func (q *Queue[T]) take(f *flow[T], item *Item[T]) *Item[T] {
	q.leave(item)
	f.noteStart(item)
	return item
}

func (q *Queue[T]) leave(item *Item[T]) {
	f := q.flows[item.Team]
	f.remove(item)
	q.length--
	if f.waiting > 0 {
		return
	}
	for i, other := range q.active {
		if other == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// next returns the active flow with the least occupancy that is ready.
func (q *Queue[T]) next(isReady func(team string) bool) (best *flow[T]) {
	q.sumShares()
	least := 0.0
	for _, f := range q.active {
		occupancy := q.occupancy(f)
		if best != nil && least <= occupancy {
			continue
		}
		if isReady(f.team) {
			best, least = f, occupancy
		}
	}
	return best
}

// sumShares adds up the shares of the teams that wait or run anything.
func (q *Queue[T]) sumShares() {
	q.shares = 0
	for _, f := range q.flows {
		if f.waiting > 0 || f.running > 0 || f.remote > 0 {
			q.shares += f.share
		}
	}
}

// occupancy is the number of slots that a team would occupy with one more, per
// unit of its share. What the team lacks or has too much at other processes
// counts in part: every process makes up for its own part of it, so that
// together they do not make up for it several times.
func (q *Queue[T]) occupancy(f *flow[T]) float64 {
	entitled := float64(q.remote) * f.share / q.shares
	lacking := (entitled - float64(f.remote)) / float64(q.processes)
	return (float64(f.running) + 1 - lacking) / f.share
}
