package entry

import (
	"context"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

// state is the part of an Entry that is guarded by Entry.mu.
type state struct {
	// The documents in force, their encoded form as received, and what the
	// platform is known to hold of each.
	config       document.Config
	configData   []byte
	storedConfig storedVersion
	fleet        fleet.Fleet
	fleetData    []byte
	storedFleet  storedVersion
	table        TableDocument
	tableData    []byte
	storedTable  storedVersion

	// barrier computes the shares of the teams' limits. inForce are the
	// revisions in force at this entry, broadcastInForce those last sent to all
	// peers.
	barrier          *units.Barrier
	inForce          units.Revisions
	broadcastInForce units.Revisions

	// members are all known entries by name, this one included. inForceChanged
	// is closed and replaced when the revisions in force at any of them change.
	members        map[string]*member
	inForceChanged chan struct{}
	// listedInstances is the platform's list of instances by name. It is empty
	// until the list has been read once.
	listedInstances map[string]platform.Instance
	// goneSince is the time since which each holder's process is known to be
	// gone. tableOutdatedSince is the time since which the table has differed
	// from the desired one, or zero if it does not.
	goneSince          map[string]time.Time
	tableOutdatedSince time.Time

	// freshAt is the time at which the documents were last known to be the
	// newest.
	freshAt time.Time
	// isReachable tells whether the last call to the platform by watchDocuments
	// or maintainRegistration succeeded.
	isReachable bool
	// restartWatch ends the watch, so that all keys are read again.
	restartWatch context.CancelFunc

	// lastLedgerPass is the time of the last pass over the ledgers. isSuspect is set when this
	// process was paused for so long that its slice may have been given to
	// others, until the documents are confirmed. resumedAt is the time at which
	// that pause was detected.
	lastLedgerPass time.Time
	isSuspect      bool
	resumedAt      time.Time

	// lease is this entry's lease, or 0 if it has none. lastMemberText is its
	// member document, without the id, as last written, memberVersion the
	// platform's version of it.
	lease          platform.Lease
	lastMemberText string
	memberVersion  int64

	// heartbeats counts the heartbeats sent. lastPull is the time of the last
	// request to a peer for documents.
	heartbeats uint64
	lastPull   time.Time

	// steward is the entry that plans maintenance, or "" if there is none.
	// blockedDrains holds, by instance, the time since which a drain is
	// blocked, or at which it was last reported. pausedPools are the pools in
	// which drains are paused because of failures.
	steward       string
	blockedDrains map[string]time.Time
	pausedPools   map[string]bool
}

// newState returns the state of an entry that has read no documents.
func newState(self string, now time.Time) state {
	return state{
		barrier:         units.NewBarrier(self),
		members:         make(map[string]*member),
		listedInstances: make(map[string]platform.Instance),
		goneSince:       make(map[string]time.Time),
		inForceChanged:  make(chan struct{}),
		lastLedgerPass:  now,
	}
}

// wakeWaiters wakes the callers of AwaitInForce. The caller holds Entry.mu.
func (s *state) wakeWaiters() {
	close(s.inForceChanged)
	s.inForceChanged = make(chan struct{})
}
