package fairshare

import (
	"math"
	"time"
)

// Wait returns how long a job of an account would wait behind the account's own work if the
// account got no more than its share. isWithinRate is the result of TakeRate for the job;
// such jobs wait only for others of their kind, and no longer than it takes to serve those of
// all accounts.
func (s *Shares) Wait(name string, isWithinRate bool) time.Duration {
	a := s.account(name)
	backlog, rate := a.demand.Backlog, a.entitlement.TotalRate
	if isWithinRate {
		backlog, rate = a.demand.WithinBacklog, a.entitlement.WithinRate
	}
	if backlog <= 0 {
		return 0
	}
	seconds := min(backlog/max(rate, epsilon), maxWait.Seconds())
	if isWithinRate {
		seconds = min(seconds, s.withinBacklog)
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait bounds the result of Wait, since rates may be next to 0.
const maxWait = time.Hour

// AddRejected records the work of a rejected job, in shares times seconds.
func (s *Shares) AddRejected(name string, work float64) {
	if s.isContended {
		s.account(name).window.add(s.slot(), 0, work)
	}
}

// RetryAfter returns when a rejected submitter should return: after delay, and not before
// those of the same account that were rejected earlier have been served by the account's share.
// work is that of the job, in shares times seconds. The result is at most limit, beyond which
// the waiting submitters are not kept in order.
func (s *Shares) RetryAfter(now time.Time, name string, work float64, delay, limit time.Duration) time.Duration {
	a := s.account(name)
	spacing := time.Duration(math.Min(work/max(a.entitlement.TotalRate, epsilon), limit.Seconds()) * float64(time.Second))
	at := now.Add(delay)
	if next := a.retryAt.Add(spacing); next.After(at) {
		at = next
	}
	if latest := now.Add(limit); at.After(latest) {
		at = latest
	}
	a.retryAt = at
	return at.Sub(now)
}
