// Package timer is the one source of time: parts subscribe to it for periodic
// calls and read the clock from it, so that tests can move time by hand.
package timer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// jitter is the part of a period by which real subscriptions are spread.
const jitter = 8

// Service calls its subscribers. The zero value is not usable.
type Service struct {
	now       func() time.Time
	subscribe func(ctx context.Context, period time.Duration, call func(now time.Time))
}

// New returns a Service on the system's clock.
func New() *Service {
	return &Service{now: time.Now, subscribe: run}
}

// Now reads the clock.
func (s *Service) Now() time.Time { return s.now() }

// Every calls the function once in each period until the context ends. With
// New it blocks meanwhile; calls never overlap.
func (s *Service) Every(ctx context.Context, period time.Duration, call func(now time.Time)) {
	s.subscribe(ctx, period, call)
}

func run(ctx context.Context, period time.Duration, call func(now time.Time)) {
	offset := time.Duration(rand.Int64N(int64(period)/jitter + 1))
	select {
	case <-ctx.Done():
		return
	case <-time.After(offset):
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call(time.Now())
		}
	}
}

// Manual is a clock that a test moves.
type Manual struct {
	mu            sync.Mutex
	current       time.Time
	subscriptions []*subscription
}

type subscription struct {
	ctx    context.Context
	period time.Duration
	due    time.Time
	call   func(now time.Time)
}

// NewManual returns a Manual that shows the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{current: start}
}

// Service returns a Service on the manual clock. Its Every returns at once.
func (m *Manual) Service() *Service {
	return &Service{now: m.Now, subscribe: m.subscribe}
}

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Advance moves the clock and makes the calls that fall due, in order of time.
func (m *Manual) Advance(step time.Duration) {
	m.mu.Lock()
	end := m.current.Add(step)
	m.mu.Unlock()
	for m.callNext(end) {
		continue
	}
	m.mu.Lock()
	m.current = end
	m.mu.Unlock()
}

func (m *Manual) subscribe(ctx context.Context, period time.Duration, call func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscriptions = append(m.subscriptions, &subscription{
		ctx: ctx, period: period, due: m.current.Add(period), call: call,
	})
}

func (m *Manual) callNext(end time.Time) bool {
	m.mu.Lock()
	m.subscriptions = slices.DeleteFunc(m.subscriptions, func(s *subscription) bool {
		return s.ctx.Err() != nil
	})
	var first *subscription
	for _, s := range m.subscriptions {
		if !s.due.After(end) && (first == nil || s.due.Before(first.due)) {
			first = s
		}
	}
	if first == nil {
		m.mu.Unlock()
		return false
	}
	m.current = first.due
	first.due = first.due.Add(first.period)
	m.mu.Unlock()
	first.call(m.Now())
	return true
}
