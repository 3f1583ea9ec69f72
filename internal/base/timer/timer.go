// Package timer provides the current time and periodic calls. Components take both
// from here instead of package time, so that tests can replace the clock.
package timer

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitterDivisor bounds the random delay before a ticker starts to a fraction of its
// period, here an eighth, so that tickers of the same period do not fire together.
const jitterDivisor = 8

// Clock is a source of time. It is safe for concurrent use; the zero value is not
// usable.
type Clock struct {
	// now and every are fields so that a manual clock can replace them.
	now   func() time.Time
	every func(ctx context.Context, period time.Duration, callback func(now time.Time))
}

// New returns a Clock that uses the system clock.
func New() *Clock {
	return &Clock{now: time.Now, every: runTicker}
}

// Now returns the current time.
func (c *Clock) Now() time.Time { return c.now() }

// Every calls callback once per period until ctx is done. Calls never overlap; a call
// that takes longer than the period delays the next one, and any others that fall due
// meanwhile are skipped. With the system clock, Every blocks until ctx is done, and
// the first call follows after one period and a random delay of up to an eighth of it.
func (c *Clock) Every(ctx context.Context, period time.Duration, callback func(now time.Time)) {
	c.every(ctx, period, callback)
}

func runTicker(ctx context.Context, period time.Duration, callback func(now time.Time)) {
	delay := time.Duration(rand.Int64N(int64(period)/jitterDivisor + 1))
	select {
	case <-ctx.Done():
		return
	case <-time.After(delay):
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			callback(time.Now())
		}
	}
}
