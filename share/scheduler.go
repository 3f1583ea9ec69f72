package share

import "time"

// Scheduler puts a queue and a reserve together: it decides which item of a
// pool starts next on the free slots. It is not safe for concurrent use.
type Scheduler[T any] struct {
	*Queue[T]
	reserve Reserve
}

// NewScheduler returns a Scheduler without items.
func NewScheduler[T any](config Config) *Scheduler[T] {
	return &Scheduler[T]{Queue: NewQueue[T](config)}
}

// Push adds an item.
func (s *Scheduler[T]) Push(now time.Time, team, service string, predicted time.Duration, value T) *Item[T] {
	item := s.Queue.Push(team, service, predicted, value)
	s.reserve.See(now, item.IsQuick())
	return item
}

// Next takes out the item to start on one of the free slots, of the slots that
// are held. It returns nil if none should.
func (s *Scheduler[T]) Next(now time.Time, free, held int, isReady func(team string) bool) (item *Item[T]) {
	if free <= s.reserve.Spare(now, held) {
		item = s.PopQuick(isReady)
	} else {
		item = s.Pop(isReady)
	}
	if item != nil {
		s.reserve.Start(now, item.IsQuick())
	}
	return item
}

// Return puts back an item that could not start.
func (s *Scheduler[T]) Return(now time.Time, item *Item[T]) {
	s.reserve.End(now, item.IsQuick())
	s.Queue.Return(item)
}

// Finish notes that the work of an item has ended.
func (s *Scheduler[T]) Finish(now time.Time, item *Item[T]) {
	s.reserve.End(now, item.IsQuick())
	s.Queue.Finish(item)
}
