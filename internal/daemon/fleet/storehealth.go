package fleet

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// Hysteresis of readiness. An entry that does not reach the store cannot serve. The
// load balancer checks readiness once a second, and each flap would move the callers
// to other entries and back.
const (
	// lostAfter is the time since the last success after which a failed call marks
	// the store as lost.
	lostAfter = 1500 * time.Millisecond
	// recoveredAfter is how long calls must succeed without a failure until a lost
	// store counts as reachable again.
	recoveredAfter = 300 * time.Millisecond
)

// storeHealth tracks from the outcomes of calls whether the store is reachable. It is
// safe for concurrent use.
type storeHealth struct {
	log *logrus.Entry

	mu sync.Mutex
	// lastSuccess is the time of the last successful call, firstSuccess that of the
	// first one since the last failure, zero if there is none.
	lastSuccess, firstSuccess time.Time
	isLost                    bool
	// isEverReached is set once a call has succeeded.
	isEverReached bool
}

// recordFailure records a failed call.
func (h *storeHealth) recordFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstSuccess = time.Time{}
	if !h.isLost && h.isEverReached && boot.Now().Sub(h.lastSuccess) > lostAfter {
		h.isLost = true
		event.StoreUnreachable.Log(h.log, logrus.Fields{"error": err.Error(), "silent": boot.Now().Sub(h.lastSuccess).Milliseconds()})
	}
}

// recordSuccess records a successful call.
func (h *storeHealth) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boot.Now()
	if h.firstSuccess.IsZero() {
		h.firstSuccess = now
	}
	if h.isLost && now.Sub(h.firstSuccess) >= recoveredAfter {
		h.isLost = false
		event.StoreReachable.Log(h.log, logrus.Fields{"away": now.Sub(h.lastSuccess).Milliseconds()})
	}
	h.lastSuccess, h.isEverReached = now, true
}

// isReachable reports whether the store counts as reachable: a call has succeeded
// within 2*lostAfter, and the store is not marked as lost. It is false before the
// first success.
func (h *storeHealth) isReachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isEverReached && !h.isLost && boot.Now().Sub(h.lastSuccess) < 2*lostAfter
}
