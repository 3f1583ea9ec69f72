package share

import (
	"container/heap"
	"time"
)

// Defaults of Config.
const (
	DefaultAgeing = 1.0
	DefaultDebt   = 10 * time.Second
)

// minCompact is the least number of cancelled items that is cleared at once.
const minCompact = 64

// Config sets up a Queue. Zero values take the defaults.
type Config struct {
	// Ageing is how much later an item starts, within its team, for each unit
	// of its predicted run time. It bounds how long short items overtake it.
	Ageing float64
	// Debt bounds how far, in slot time per unit of share, a team can fall
	// behind the others by usage elsewhere.
	Debt time.Duration
}

// Queue orders items of type T by team. It is not safe for concurrent use.
type Queue[T any] struct {
	config  Config
	flows   map[string]*flow[T]
	active  []*flow[T]
	virtual float64
	length  int
}

// Item is one waiting piece of work.
type Item[T any] struct {
	Value T
	// Team is the team that is charged.
	Team string
	// Predicted is the run time that was charged when the item started.
	Predicted time.Duration

	rank      time.Time
	cancelled bool
	queued    bool
}

// flow is the queue of one team.
type flow[T any] struct {
	team      string
	share     float64
	virtual   float64
	items     itemHeap[T]
	waiting   int
	cancelled int
}

// NewQueue returns an empty Queue.
func NewQueue[T any](config Config) *Queue[T] {
	if config.Ageing == 0 {
		config.Ageing = DefaultAgeing
	}
	if config.Debt == 0 {
		config.Debt = DefaultDebt
	}
	return &Queue[T]{config: config, flows: make(map[string]*flow[T])}
}

// SetShare sets the share of a team; teams start with a share of 1.
func (q *Queue[T]) SetShare(team string, share float64) {
	q.flow(team).share = share
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

// Push adds an item. Its predicted run time decides its place in its team.
func (q *Queue[T]) Push(now time.Time, team string, predicted time.Duration, value T) *Item[T] {
	f := q.flow(team)
	if f.waiting == 0 {
		q.activate(f)
	}
	ageing := time.Duration(q.config.Ageing * float64(predicted))
	item := &Item[T]{Value: value, Team: team, Predicted: predicted, rank: now.Add(ageing), queued: true}
	heap.Push(&f.items, item)
	f.waiting++
	q.length++
	return item
}

// Cancel takes a waiting item out in constant time, spread over many calls.
// It returns false if the item has already left.
func (q *Queue[T]) Cancel(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	f := q.flows[item.Team]
	item.queued, item.cancelled = false, true
	f.cancelled++
	q.leave(f)
	if f.cancelled >= minCompact && f.cancelled > f.items.Len()/2 {
		f.compact()
	}
	return true
}

// Pop takes out the next item among the teams for which isReady returns true
// and charges its predicted run time. It returns nil if there is none.
func (q *Queue[T]) Pop(isReady func(team string) bool) *Item[T] {
	f := q.next(isReady)
	if f == nil {
		return nil
	}
	item := f.pop()
	item.queued = false
	q.virtual = max(q.virtual, f.virtual)
	f.charge(item.Predicted)
	q.leave(f)
	return item
}

// Return puts back an item that Pop took out and that could not start. Its
// place and the charge are as before.
func (q *Queue[T]) Return(item *Item[T]) {
	f := q.flow(item.Team)
	f.charge(-item.Predicted)
	if f.waiting == 0 {
		q.active = append(q.active, f)
	}
	item.queued = true
	heap.Push(&f.items, item)
	f.waiting++
	q.length++
}

// Charge adds slot time used by a team that Pop has not charged: a correction,
// which may be negative, or usage reported by another process.
func (q *Queue[T]) Charge(team string, used time.Duration) {
	f := q.flow(team)
	f.charge(used)
	f.virtual = min(f.virtual, q.virtual+q.config.Debt.Seconds())
}

func (q *Queue[T]) flow(team string) *flow[T] {
	f := q.flows[team]
	if f == nil {
		f = &flow[T]{team: team, share: 1}
		q.flows[team] = f
	}
	return f
}

// activate lets a team back in without credit for the time it had no work.
func (q *Queue[T]) activate(f *flow[T]) {
	f.virtual = max(f.virtual, q.virtual)
	q.active = append(q.active, f)
}

func (q *Queue[T]) leave(f *flow[T]) {
	f.waiting--
	q.length--
	if f.waiting > 0 {
		return
	}
	f.compact()
	for i, other := range q.active {
		if other == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

func (q *Queue[T]) next(isReady func(team string) bool) (best *flow[T]) {
	for _, f := range q.active {
		if best != nil && best.virtual <= f.virtual {
			continue
		}
		if isReady(f.team) {
			best = f
		}
	}
	return best
}

func (f *flow[T]) charge(used time.Duration) {
	f.virtual += used.Seconds() / f.share
}

func (f *flow[T]) pop() *Item[T] {
	for {
		item := heap.Pop(&f.items).(*Item[T])
		if !item.cancelled {
			return item
		}
		f.cancelled--
	}
}

// compact clears the cancelled items out of the heap.
func (f *flow[T]) compact() {
	kept := f.items[:0]
	for _, item := range f.items {
		if !item.cancelled {
			kept = append(kept, item)
		}
	}
	clear(f.items[len(kept):])
	f.items = kept
	f.cancelled = 0
	heap.Init(&f.items)
}

// itemHeap orders items by rank.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].rank.Before(h[j].rank) }
func (h itemHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(item any) { *h = append(*h, item.(*Item[T])) }

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
