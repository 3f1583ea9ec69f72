package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
)

const (
	// renewalsPerTTL is the number of renewals within the time to live of a lease.
	renewalsPerTTL = 4
	// sessionCallTimeout is the time limit of one grant or renewal.
	sessionCallTimeout = 600 * time.Millisecond
	// sessionRetryDelay is the pause after a failed grant or renewal.
	sessionRetryDelay = 120 * time.Millisecond
	// validityFactor and validityMargin make the local validity of a lease end before
	// the store expires it. The clocks of the store and of this machine may run at
	// rates that differ by up to 2 %, and an order that is allowed while the lease is
	// valid takes some time until it is sent.
	validityFactor = 0.97
	validityMargin = 150 * time.Millisecond
)

// SessionConfig configures a Session. All functions are called from Run, one at a time.
type SessionConfig struct {
	Client *Client
	// TTL is the requested time to live of the lease.
	TTL time.Duration
	// OnGrant is called with each new lease.
	OnGrant func(lease Lease)
	// OnExpiry is called with a lease that has expired.
	OnExpiry func(lease Lease)
	// OnFailure is called with the error of each failed call, unless the lease had
	// expired.
	OnFailure func(err error)
	// OnSuccess is called after each successful call.
	OnSuccess func()
}

// Session holds a lease, renews it, and replaces it when it has expired. It is safe for
// concurrent use, but Run may be called only once at a time.
type Session struct {
	config SessionConfig
	lease  atomic.Int64
	// validUntil and lastContact are times of the boot clock in nanoseconds.
	validUntil  atomic.Int64
	lastContact atomic.Int64
}

// NewSession returns a session without a lease. Run acquires one.
func NewSession(config SessionConfig) *Session { return &Session{config: config} }

// Lease returns the lease, 0 if there is none.
func (s *Session) Lease() Lease { return Lease(s.lease.Load()) }

// IsValid reports whether the store certainly has not expired the lease yet. The
// validity is counted from the time at which the last successful renewal was sent, on a
// clock that also runs while the machine is suspended.
func (s *Session) IsValid() bool {
	return s.lease.Load() != 0 && boot.Now().UnixNano() < s.validUntil.Load()
}

// LastContact returns the time of the last successful call, on the clock of package boot.
func (s *Session) LastContact() time.Time { return time.Unix(0, s.lastContact.Load()) }

// Run acquires a lease and renews it until the context ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := sessionRetryDelay
		if s.renewOrGrant(ctx) {
			delay = s.config.TTL / renewalsPerTTL
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// renewOrGrant renews the lease, or acquires one if there is none. It reports whether the
// call succeeded.
func (s *Session) renewOrGrant(ctx context.Context) (isSuccessful bool) {
	callCtx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	sentAt := boot.Now()
	lease := s.Lease()
	var ttl time.Duration
	var err error
	if lease == 0 {
		lease, ttl, err = s.config.Client.Grant(callCtx, s.config.TTL)
	} else {
		ttl, err = s.config.Client.Renew(callCtx, lease)
	}
	if errors.Is(err, ErrNotFound) {
		s.lease.Store(0)
		s.validUntil.Store(0)
		s.config.OnExpiry(lease)
		return false
	}
	if err != nil {
		s.config.OnFailure(err)
		return false
	}
	s.lastContact.Store(boot.Now().UnixNano())
	s.config.OnSuccess()
	s.validUntil.Store(sentAt.Add(time.Duration(float64(ttl)*validityFactor) - validityMargin).UnixNano())
	if s.lease.Swap(int64(lease)) != int64(lease) {
		s.config.OnGrant(lease)
	}
	return true
}
