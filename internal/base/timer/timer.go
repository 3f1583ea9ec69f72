// Package timer is the one source of time: parts subscribe to it for periodic
// calls and read the clock from it, so that tests can move time by hand.
package timer

import (
	"context"
	"math/rand/v2"
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
