package share

import (
	"container/heap"
	"time"
)

// Defaults of Config.
const (
	DefaultAgeing = 1.0
	DefaultDebt   = 10 * time.Second
	DefaultQuick  = time.Second
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
	// Quick is the longest predicted run time of work that counts as quick.
	Quick time.Duration
}

// Queue orders items of type T by team. It is not safe for concurrent use.
type Queue[T any] struct {
	config  Config
	flows   map[string]*flow[T]
	active  []*flow[T]
	virtual float64
	// quickVirtual is the virtual time of quick work alone.
	quickVirtual float64
	length       int
}

// Item is one waiting piece of work.
type Item[T any] struct {
	Value T
	// Team is the team that is charged.
	Team string
	// Predicted is the run time that was charged when the item started.
	Predicted time.Duration

	quick     bool
	rank      time.Time
	cancelled bool
	queued    bool
}

// IsQuick returns whether the item was predicted to be quick.
func (i *Item[T]) IsQuick() bool { return i.quick }

// flow is the queue of one team.
type flow[T any] struct {
	team         string
	share        float64
	virtual      float64
	quickVirtual float64
	// quickUsed and longUsed are the team's own slot time, in seconds, by kind.
	quickUsed float64
	longUsed  float64
	// quick and long hold the items by predicted run time.
	quick     itemHeap[T]
	long      itemHeap[T]
	waiting   int
	cancelled int
}

// NewQueue returns an empty Queue.
func NewQueue[T any](config Config) *Queue[T] {
	if config.Ageing == 0 {
		config.Ageing = DefaultAgeing
	}
	if config.Quick == 0 {
		config.Quick = DefaultQuick
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
	item := &Item[T]{
		Value: value, Team: team, Predicted: predicted, quick: predicted <= q.config.Quick,
		rank: now.Add(ageing), queued: true,
	}
	f.add(item)
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
	if f.cancelled >= minCompact && f.cancelled > (f.quick.Len()+f.long.Len())/2 {
		f.compact()
	}
	return true
}

// Pop takes out the next item among the teams for which isReady returns true
// and charges its predicted run time. It returns nil if there is none.
func (q *Queue[T]) Pop(now time.Time, isReady func(team string) bool) *Item[T] {
	f := q.next(isReady, func(f *flow[T]) float64 { return f.virtual })
	if f == nil {
		return nil
	}
	q.virtual = max(q.virtual, f.virtual)
	return q.take(f, f.first(now))
}

// PopQuick does what Pop does for quick items alone. The teams take turns by
// share of what quick work they had started, so that a team whose long work
// has used up its share still gets quick work started.
func (q *Queue[T]) PopQuick(isReady func(team string) bool) *Item[T] {
	isQuickReady := func(team string) bool {
		return q.flows[team].trim(&q.flows[team].quick) && isReady(team)
	}
	f := q.next(isQuickReady, func(f *flow[T]) float64 { return f.quickVirtual })
	if f == nil {
		return nil
	}
	q.quickVirtual = max(q.quickVirtual, f.quickVirtual)
	return q.take(f, &f.quick)
}

// take takes the first item out of a heap of a flow.
func (q *Queue[T]) take(f *flow[T], items *itemHeap[T]) *Item[T] {
	item := heap.Pop(items).(*Item[T])
	item.queued = false
	f.chargeItem(item, 1)
	q.leave(f)
	return item
}

// Return puts back an item that Pop took out and that could not start. Its
// place and the charge are as before.
func (q *Queue[T]) Return(item *Item[T]) {
	f := q.flow(item.Team)
	f.chargeItem(item, -1)
	if f.waiting == 0 {
		q.active = append(q.active, f)
	}
	item.queued = true
	f.add(item)
	q.length++
}

// Charge adds slot time used by a team that Pop has not charged: a correction,
// which may be negative, or usage reported by another process.
func (q *Queue[T]) Charge(team string, used time.Duration) {
	f := q.flow(team)
	f.charge(used)
	f.virtual = min(f.virtual, q.virtual+q.config.Debt.Seconds())
}

// ChargeRemote adds slot time that another of so many processes reports for a
// team. Every process makes up for its own part of it, so that together they do
// not make up for it several times.
func (q *Queue[T]) ChargeRemote(team string, used time.Duration, processes int) {
	q.Charge(team, used/time.Duration(max(processes, 1)))
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
	f.quickVirtual = max(f.quickVirtual, q.quickVirtual)
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

// next returns the active flow with the least virtual time that is ready.
func (q *Queue[T]) next(isReady func(team string) bool, virtual func(f *flow[T]) float64) (best *flow[T]) {
	for _, f := range q.active {
		if best != nil && virtual(best) <= virtual(f) {
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

// chargeItem charges the prediction of an item, or takes the charge back.
func (f *flow[T]) chargeItem(item *Item[T], sign float64) {
	used := sign * item.Predicted.Seconds()
	f.virtual += used / f.share
	if item.quick {
		f.quickVirtual += used / f.share
		f.quickUsed += used
	} else {
		f.longUsed += used
	}
}

func (f *flow[T]) add(item *Item[T]) {
	heap.Push(f.heapOf(item), item)
	f.waiting++
}

func (f *flow[T]) heapOf(item *Item[T]) *itemHeap[T] {
	if item.quick {
		return &f.quick
	}
	return &f.long
}

// first returns the heap that goes first. The flow must not be empty. Quick
// work goes before long, unless the long item has waited for its own run time
// and long work has had less slot time. A kind of work that was not there gets
// no credit for it.
func (f *flow[T]) first(now time.Time) *itemHeap[T] {
	hasQuick, hasLong := f.trim(&f.quick), f.trim(&f.long)
	switch {
	case !hasLong:
		f.longUsed = max(f.longUsed, f.quickUsed)
		return &f.quick
	case !hasQuick:
		f.quickUsed = max(f.quickUsed, f.longUsed)
		return &f.long
	case f.quickUsed > f.longUsed && f.long[0].rank.Before(now):
		return &f.long
	}
	return &f.quick
}

// trim takes cancelled items off the front of a heap. It returns whether any
// item is left.
func (f *flow[T]) trim(items *itemHeap[T]) bool {
	for items.Len() > 0 && (*items)[0].cancelled {
		heap.Pop(items)
		f.cancelled--
	}
	return items.Len() > 0
}

// compact clears the cancelled items out of the heaps.
func (f *flow[T]) compact() {
	f.quick.compact()
	f.long.compact()
	f.cancelled = 0
}

func (h *itemHeap[T]) compact() {
	kept := (*h)[:0]
	for _, item := range *h {
		if !item.cancelled {
			kept = append(kept, item)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
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
