package fairshare

import "time"

// bucket is a token bucket that marks the jobs which an account submits within its rate:
// one job per second for each unit of weight.
type bucket struct {
	// spent is the number of tokens in use; it decreases with time.
	spent float64
	at    time.Time
}

// take takes a token and reports whether there was one. A second's worth of tokens can be
// saved up, but at least one.
func (b *bucket) take(now time.Time, weight float64) bool {
	b.spent = max(b.spent-weight*max(now.Sub(b.at).Seconds(), 0), 0)
	b.at = now
	if weight <= 0 || b.spent+1 > max(weight, 1)+epsilon {
		return false
	}
	b.spent++
	return true
}
