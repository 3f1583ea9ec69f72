package share

import "time"

// Scheduler combines a Queue and a Reserve: it decides which item of a pool starts
// next on the free slots. Its methods replace those of the same name of the embedded
// Queue; Pop and PopQuick must not be called, because they bypass the reserve. It is
// not safe for concurrent use.
type Scheduler[T any] struct {
	*Queue[T]
	reserve Reserve
}

// NewScheduler returns a Scheduler without items.
func NewScheduler[T any](config Config) *Scheduler[T] {
	return &Scheduler[T]{Queue: NewQueue[T](config)}
}

// Push adds an item to the end of the queue of its service.
func (s *Scheduler[T]) Push(now time.Time, team, service string, predicted time.Duration, value T) *Item[T] {
	item := s.Queue.Push(team, service, predicted, value)
	s.reserve.Arrive(now, item.IsQuick())
	return item
}

// Next removes and returns the item to start on one of the free slots, nil if none
// may start; held is the number of slots that the process holds, free and occupied.
// Once only the reserve is left free, quick items alone are returned.
func (s *Scheduler[T]) Next(now time.Time, free, held int, isReady func(team string) bool) (item *Item[T]) {
	if free <= s.reserve.Reserved(now, held) {
		item = s.PopQuick(isReady)
	} else {
		item = s.Pop(isReady)
	}
	if item != nil {
		s.reserve.Start(now, item.IsQuick())
	}
	return item
}

// Requeue puts an item that Next returned, but that could not be started, back to the
// front of the queue of its service.
func (s *Scheduler[T]) Requeue(now time.Time, item *Item[T]) {
	s.reserve.End(now, item.IsQuick())
	s.Queue.Requeue(item)
}

// Finish records that the work of a running item has ended.
func (s *Scheduler[T]) Finish(now time.Time, item *Item[T]) {
	s.reserve.End(now, item.IsQuick())
	s.Queue.Finish(item)
}
