package minion

import (
	"sync"
	"time"
)

const (
	// newestWeight is the weight of the newest attempt in the failure rate, which is
	// an exponentially weighted moving average.
	newestWeight = 0.25
	// ejectFailureRate is the failure rate at which a minion is ejected.
	ejectFailureRate = 0.6
	// minEjectTime is how long a minion gets no work after its ejection. The time
	// doubles with each failed probe, up to maxEjectTime.
	minEjectTime = time.Second
	maxEjectTime = 30 * time.Second
)

// health tracks the failures of one minion's attempts. A minion whose failure rate is
// too high is ejected. When its ejection time is over, one attempt at a time is sent to
// it as a probe; a successful probe readmits the minion. health is safe for concurrent
// use.
type health struct {
	mu sync.Mutex
	// failureRate is the weighted average of failed attempts, from 0 to 1.
	failureRate float64
	isEjected   bool
	// ejectedAt is when the minion was ejected. Attempts sent before it are no probes.
	ejectedAt time.Time
	// isProbing is set while a probe is in flight.
	isProbing bool
	// ejectTime is the length of the current ejection, which ends at ejectedUntil.
	ejectTime    time.Duration
	ejectedUntil time.Time
}

// tryAllow reports whether an attempt may be sent now. If the minion is ejected, the
// allowed attempt is the probe; the caller must report its result to recordResult or
// call cancelProbe.
func (h *health) tryAllow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isEjected {
		return true
	}
	if h.isProbing || now.Before(h.ejectedUntil) {
		return false
	}
	h.isProbing = true
	return true
}

// cancelProbe undoes tryAllow, called at allowedAt, for an attempt that was not sent.
func (h *health) cancelProbe(allowedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isBeforeEjection(allowedAt) {
		h.isProbing = false
	}
}

// isBeforeEjection reports whether an attempt was allowed before the minion was
// ejected, so that it cannot be the probe. The caller holds h.mu.
func (h *health) isBeforeEjection(allowedAt time.Time) bool {
	return h.isEjected && allowedAt.Before(h.ejectedAt)
}

// isUnavailable reports whether the minion is ejected and no probe may be sent now.
func (h *health) isUnavailable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isEjected && (h.isProbing || now.Before(h.ejectedUntil))
}

// recordResult updates the failure rate with the result of an attempt that tryAllow
// allowed at allowedAt, or ends or extends the ejection of an ejected minion if the
// attempt was the probe. It reports whether this result ejected or readmitted the
// minion.
func (h *health) recordResult(now, allowedAt time.Time, isFailed bool) (isNewlyEjected, isReadmitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isBeforeEjection(allowedAt) {
		return false, false
	}
	if h.isEjected {
		return h.recordProbe(now, isFailed)
	}
	h.failureRate *= 1 - newestWeight
	if isFailed {
		h.failureRate += newestWeight
	}
	if h.failureRate < ejectFailureRate {
		return false, false
	}
	h.isEjected, h.ejectedAt = true, now
	h.ejectTime = minEjectTime
	h.ejectedUntil = now.Add(h.ejectTime)
	return true, false
}

// recordProbe applies the result of a probe. The caller holds h.mu.
func (h *health) recordProbe(now time.Time, isFailed bool) (isNewlyEjected, isReadmitted bool) {
	h.isProbing = false
	if isFailed {
		h.ejectTime = min(h.ejectTime*2, maxEjectTime)
		h.ejectedUntil = now.Add(h.ejectTime)
		return false, false
	}
	h.isEjected = false
	h.failureRate = 0
	return false, true
}
