package share

import (
	"container/list"
	"time"
)

// quickEntryPercent is the percentage of the threshold that the predicted run time
// must not exceed for a service to become quick. A quick service stays quick up to
// the full threshold.
const quickEntryPercent = 70

// flow is the queue of one team, in the sense of fair queueing. It holds a FIFO
// queue for each service of the team.
type flow[T any] struct {
	team  string
	share float64
	// running and remoteRunning are the numbers of slots that the team occupies
	// through this process and through the others.
	running       int
	remoteRunning int
	waiting       int
	// quickVirtualTime is the slot time of the team's quick work, in seconds per unit
	// of share: its virtual time in start-time fair queueing.
	quickVirtualTime float64
	services         map[string]*serviceQueue[T]
	// active lists the services with waiting items.
	active []*serviceQueue[T]
}

// serviceQueue holds the waiting items of one service of a team in order of arrival.
// It also counts the running ones.
type serviceQueue[T any] struct {
	service string
	items   list.List
	running int
	// isQuick is true if the last item that arrived was classified as quick.
	isQuick bool
	// usedSeconds is the sum of the predicted run times of the items that were
	// started.
	usedSeconds float64
}

func newFlow[T any](team string) *flow[T] {
	return &flow[T]{team: team, share: 1, services: make(map[string]*serviceQueue[T])}
}

// serviceQueue returns the queue of a service and creates it if there is none.
func (f *flow[T]) serviceQueue(service string) *serviceQueue[T] {
	s := f.services[service]
	if s == nil {
		s = &serviceQueue[T]{service: service}
		f.services[service] = s
	}
	return s
}

// add appends an item to the queue of its service, or prepends it if it is requeued.
// A service that had no waiting items is raised to the smallest used time of the
// waiting services, so that it gets no credit for the time without work.
func (f *flow[T]) add(item *Item[T], isRequeued bool) {
	s := f.serviceQueue(item.Service)
	if s.items.Len() == 0 {
		s.usedSeconds = max(s.usedSeconds, f.minUsedSeconds())
		f.active = append(f.active, s)
	}
	if isRequeued {
		item.element = s.items.PushFront(item)
	} else {
		item.element = s.items.PushBack(item)
	}
	f.waiting++
}

func (f *flow[T]) minUsedSeconds() (minimum float64) {
	for i, s := range f.active {
		if i == 0 || s.usedSeconds < minimum {
			minimum = s.usedSeconds
		}
	}
	return minimum
}

// remove removes a waiting item from the queue of its service.
func (f *flow[T]) remove(item *Item[T]) {
	s := f.services[item.Service]
	s.items.Remove(item.element)
	item.element = nil
	f.waiting--
	if s.items.Len() > 0 {
		return
	}
	for i, other := range f.active {
		if other == s {
			f.active = append(f.active[:i], f.active[i+1:]...)
			return
		}
	}
}

// nextItem returns the next item of the team. It belongs to the service that
// occupies the fewest slots and, among equals, has used the least slot time. The
// flow must not be empty.
func (f *flow[T]) nextItem() *Item[T] {
	best := f.active[0]
	for _, s := range f.active[1:] {
		if s.isBefore(best) {
			best = s
		}
	}
	return best.front()
}

// shortestQuick returns the quick item with the shortest predicted run time among
// the first items of the services, nil if none of these is quick.
func (f *flow[T]) shortestQuick() (best *Item[T]) {
	for _, s := range f.active {
		item := s.front()
		if item.isQuick && (best == nil || item.Predicted < best.Predicted) {
			best = item
		}
	}
	return best
}

func (f *flow[T]) recordStart(item *Item[T]) {
	s := f.services[item.Service]
	s.running++
	s.usedSeconds += item.Predicted.Seconds()
	f.running++
	if item.isQuick {
		f.quickVirtualTime += item.Predicted.Seconds() / f.share
	}
}

func (f *flow[T]) recordEnd(item *Item[T]) {
	f.services[item.Service].running--
	f.running--
}

// classify reports whether work with the predicted run time counts as quick.
// Hysteresis prevents a service whose prediction is close to the threshold from
// alternating between quick and long.
func (s *serviceQueue[T]) classify(predicted, threshold time.Duration) bool {
	if !s.isQuick {
		threshold = threshold * quickEntryPercent / 100
	}
	s.isQuick = predicted <= threshold
	return s.isQuick
}

func (s *serviceQueue[T]) front() *Item[T] { return s.items.Front().Value.(*Item[T]) }

func (s *serviceQueue[T]) isBefore(other *serviceQueue[T]) bool {
	if s.running != other.running {
		return s.running < other.running
	}
	return s.usedSeconds < other.usedSeconds
}
