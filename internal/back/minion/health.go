package minion

import (
	"sync"
	"time"
)

const (
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.25
	// ejectRate is the failure rate at which a minion is ejected.
	ejectRate = 0.6
	// ejectFirst and ejectMost bound how long it gets no work, doubling while
	// its probes fail.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
)

// health is what an entry knows of the failures of one minion. After the time
// out, one attempt at a time probes the minion.
type health struct {
	mu      sync.Mutex
	rate    float64
	ejected bool
	probing bool
	out     time.Duration
	until   time.Time
}

// allow returns whether an attempt may be sent now. For an ejected minion the
// attempt that it allows is the probe.
func (h *health) allow(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ejected {
		return true
	}
	if h.probing || now.Before(h.until) {
		return false
	}
	h.probing = true
	return true
}

// cancel takes back an attempt that was allowed but not sent.
func (h *health) cancel() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
}

// isOut returns whether the minion is ejected and no probe is due.
func (h *health) isOut(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejected && (h.probing || now.Before(h.until))
}

// note counts the end of an attempt. It reports a change of state.
func (h *health) note(now time.Time, failed bool) (ejected, readmitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ejected {
		return h.noteProbe(now, failed)
	}
	h.rate *= 1 - failureWeight
	if failed {
		h.rate += failureWeight
	}
	if h.rate < ejectRate {
		return false, false
	}
	h.ejected = true
	h.out = ejectFirst
	h.until = now.Add(h.out)
	return true, false
}

func (h *health) noteProbe(now time.Time, failed bool) (ejected, readmitted bool) {
	h.probing = false
	if failed {
		h.out = min(h.out*2, ejectMost)
		h.until = now.Add(h.out)
		return false, false
	}
	h.ejected = false
	h.rate = 0
	return false, true
}
