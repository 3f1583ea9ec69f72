package share

import (
	"container/list"
	"time"
)

// quickEnter is the part of the bound, in percent, below which a service begins
// to count as quick.
const quickEnter = 70

// flow is the queue of one team: a lane for each service.
type flow[T any] struct {
	team    string
	share   float64
	running int
	remote  int
	waiting int
	// quickVirtual is the virtual time of the team's quick work.
	quickVirtual float64
	lanes        map[string]*lane[T]
	active       []*lane[T]
}

// lane holds the waiting items of one service of a team in order of arrival.
type lane[T any] struct {
	service string
	items   list.List
	running int
	// isQuick tells whether the items that come count as quick.
	isQuick bool
	// used is the predicted slot time, in seconds, of what was started.
	used float64
}

func newFlow[T any](team string) *flow[T] {
	return &flow[T]{team: team, share: 1, lanes: make(map[string]*lane[T])}
}

func (f *flow[T]) lane(service string) *lane[T] {
	l := f.lanes[service]
	if l == nil {
		l = &lane[T]{service: service}
		f.lanes[service] = l
	}
	return l
}

// add puts an item at the end of its lane, or at the front if it was there
// before. A lane that was empty gets no credit for that time.
func (f *flow[T]) add(item *Item[T], isAgain bool) {
	l := f.lane(item.Service)
	if l.items.Len() == 0 {
		l.used = max(l.used, f.leastUsed())
		f.active = append(f.active, l)
	}
	if isAgain {
		item.place = l.items.PushFront(item)
	} else {
		item.place = l.items.PushBack(item)
	}
	f.waiting++
}

func (f *flow[T]) leastUsed() (least float64) {
	for i, l := range f.active {
		if i == 0 || l.used < least {
			least = l.used
		}
	}
	return least
}

// remove takes an item out of its lane.
func (f *flow[T]) remove(item *Item[T]) {
	l := f.lanes[item.Service]
	l.items.Remove(item.place)
	item.place = nil
	f.waiting--
	if l.items.Len() > 0 {
		return
	}
	for i, other := range f.active {
		if other == l {
			f.active = append(f.active[:i], f.active[i+1:]...)
			return
		}
	}
}

// first returns the next item of the team: that of the service which occupies
// the fewest slots and, among equals, has used the least slot time. The flow
// must not be empty.
func (f *flow[T]) first() *Item[T] {
	best := f.active[0]
	for _, l := range f.active[1:] {
		if l.isBefore(best) {
			best = l
		}
	}
	return best.front()
}

// quickest returns the quick item with the shortest predicted run time among
// those that are the next of their service, nil if there is none.
func (f *flow[T]) quickest() (best *Item[T]) {
	for _, l := range f.active {
		item := l.front()
		if item.quick && (best == nil || item.Predicted < best.Predicted) {
			best = item
		}
	}
	return best
}

func (f *flow[T]) noteStart(item *Item[T]) {
	l := f.lanes[item.Service]
	l.running++
	l.used += item.Predicted.Seconds()
	f.running++
	if item.quick {
		f.quickVirtual += item.Predicted.Seconds() / f.share
	}
}

func (f *flow[T]) noteEnd(item *Item[T]) {
	f.lanes[item.Service].running--
	f.running--
}

// classify decides whether work with the predicted run time counts as quick.
// Hysteresis keeps a service whose prediction lies close to the bound from
// changing sides all the time.
func (l *lane[T]) classify(predicted, quick time.Duration) bool {
	if !l.isQuick {
		quick = quick * quickEnter / 100
	}
	l.isQuick = predicted <= quick
	return l.isQuick
}

func (l *lane[T]) front() *Item[T] { return l.items.Front().Value.(*Item[T]) }

func (l *lane[T]) isBefore(other *lane[T]) bool {
	if l.running != other.running {
		return l.running < other.running
	}
	return l.used < other.used
}
