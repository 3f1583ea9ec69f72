package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
)

const (
	// renewals is how many times a lease is renewed in its length.
	renewals = 4
	// sessionTimeout bounds a call of the session.
	sessionTimeout = 600 * time.Millisecond
	// sessionRetry is the pause after a call that failed.
	sessionRetry = 120 * time.Millisecond
	// validShare and validSlack keep one's own view of a lease shorter than the
	// store's: clocks differ by up to 2 %, and an order takes its time to leave.
	validShare = 0.97
	validSlack = 150 * time.Millisecond
)

// SessionConfig sets up a Session.
type SessionConfig struct {
	Client *Client
	TTL    time.Duration
	// Made is called with each new lease, Lost when a lease has lapsed.
	Made func(lease Lease)
	Lost func(lease Lease)
	// Failed and Reached are told the outcome of each call.
	Failed  func(err error)
	Reached func()
}

// Session keeps a lease.
type Session struct {
	config  SessionConfig
	lease   atomic.Int64
	valid   atomic.Int64
	reached atomic.Int64
}

// NewSession returns a session; Run keeps it.
func NewSession(config SessionConfig) *Session { return &Session{config: config} }

// Lease returns the lease, 0 if there is none.
func (s *Session) Lease() Lease { return Lease(s.lease.Load()) }

// IsValid tells whether the lease surely holds now. It counts from the sending
// of the last renewal, on a clock that goes on during a suspension.
func (s *Session) IsValid() bool {
	return s.lease.Load() != 0 && boot.Now().UnixNano() < s.valid.Load()
}

// Reached returns when the store last answered.
func (s *Session) Reached() time.Time { return time.Unix(0, s.reached.Load()) }

// Run keeps a lease until the context ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := sessionRetry
		if s.step(ctx) {
			wait = s.config.TTL / renewals
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// step renews the lease, or makes one.
func (s *Session) step(ctx context.Context) (isKept bool) {
	call, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	sent := boot.Now()
	lease := s.Lease()
	var ttl time.Duration
	var err error
	if lease == 0 {
		lease, ttl, err = s.config.Client.Grant(call, s.config.TTL)
	} else {
		ttl, err = s.config.Client.Renew(call, lease)
	}
	if errors.Is(err, ErrAbsent) {
		s.lease.Store(0)
		s.valid.Store(0)
		s.config.Lost(lease)
		return false
	}
	if err != nil {
		s.config.Failed(err)
		return false
	}
	s.reached.Store(boot.Now().UnixNano())
	s.config.Reached()
	s.valid.Store(sent.Add(time.Duration(float64(ttl)*validShare) - validSlack).UnixNano())
	if s.lease.Swap(int64(lease)) != int64(lease) {
		s.config.Made(lease)
	}
	return true
}
