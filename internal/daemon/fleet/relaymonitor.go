package fleet

import "time"

// takeoverBackoff is how long an entry takes over no cells after it has handed its own
// over because of an unreliable path to the store. Other entries take over those cells
// within a second.
const takeoverBackoff = 3 * time.Second

// relayMonitor decides whether an entry that reaches the store only through peers may
// keep its cells. It may while the session with the store stays valid, so that a
// working relayed path moves no cells. Once the session has become invalid on the
// relayed path, it may not: its cells would be paused again and again, and an entry
// with a direct path serves their callers better.
//
// Calls are relayed only with Settings.Relay. A relayMonitor is not safe for concurrent
// use.
type relayMonitor struct {
	// isSessionLost is set when the session has become invalid on the relayed path.
	isSessionLost bool
	backoffUntil  time.Time
}

// update records whether calls to the store are relayed because the direct path fails,
// and whether the session with the store is valid. It returns true if all cells should
// be handed over. That is only when the session is valid again, since a handover writes
// to the store.
func (m *relayMonitor) update(now time.Time, isRelayed, isSessionValid bool) (isHandoverDue bool) {
	switch {
	case !isRelayed:
		m.isSessionLost = false
	case !isSessionValid:
		m.isSessionLost = true
	case m.isSessionLost:
		m.isSessionLost = false
		m.backoffUntil = now.Add(takeoverBackoff)
		return true
	}
	return false
}

// isBackingOff reports whether the entry should leave cells without an owner to other
// entries.
func (m *relayMonitor) isBackingOff(now time.Time) bool { return now.Before(m.backoffUntil) }
