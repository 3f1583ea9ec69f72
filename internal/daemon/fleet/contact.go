package fleet

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// Hysteresis of readiness. An entry that does not reach the store cannot serve,
// and the balancer looks once a second; readiness that flaps sends callers to
// and fro.
const (
	// downAfter is how long calls must fail until the store counts as lost.
	downAfter = 1500 * time.Millisecond
	// upAfter is how long calls must succeed until it counts as back.
	upAfter = 300 * time.Millisecond
)

// contact is the belief on whether the store can be reached.
type contact struct {
	log *logrus.Entry

	mu sync.Mutex
	// last is the last success, first the first one since the last failure.
	last, first time.Time
	isLost      bool
	isKnown     bool
}

func (c *contact) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = time.Time{}
	if !c.isLost && c.isKnown && boot.Now().Sub(c.last) > downAfter {
		c.isLost = true
		event.StoreUnreachable.Log(c.log, logrus.Fields{"error": err.Error(), "silent": boot.Now().Sub(c.last).Milliseconds()})
	}
}

func (c *contact) reached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boot.Now()
	if c.first.IsZero() {
		c.first = now
	}
	if c.isLost && now.Sub(c.first) >= upAfter {
		c.isLost = false
		event.StoreReachable.Log(c.log, logrus.Fields{"away": now.Sub(c.last).Milliseconds()})
	}
	c.last, c.isKnown = now, true
}

// isUp tells whether the store counts as reachable.
func (c *contact) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isKnown && !c.isLost && boot.Now().Sub(c.last) < 2*downAfter
}
