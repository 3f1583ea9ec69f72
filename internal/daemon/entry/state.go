package entry

import (
	"context"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

// state is what an entry knows; the mutex of the Entry guards it.
type state struct {
	// The documents in force, as they were received, and what the platform is
	// known to hold of each.
	config       document.Config
	configData   []byte
	storedConfig storedVersion
	fleet        fleet.Fleet
	fleetData    []byte
	storedFleet  storedVersion
	table        TableDocument
	tableData    []byte
	storedTable  storedVersion

	// barrier decides the shares of the teams' limits, force is what is in
	// force here, sentForce what was last told to all peers.
	barrier          *units.Barrier
	inForce          units.Revisions
	broadcastInForce units.Revisions

	// members are the entries by name, this one included; changed is closed
	// when what they have in force changes.
	members        map[string]*member
	inForceChanged chan struct{}
	// listedInstances is the platform's list of instances, empty before the first.
	listedInstances map[string]platform.Instance
	// goneSince is since when holders are known to be gone, tableDue since when
	// the table should be another; zero if it should not.
	goneSince          map[string]time.Time
	tableOutdatedSince time.Time

	// freshAt is when the documents were last known to be the newest.
	freshAt time.Time
	// isReachable tells whether the platform answered the last call.
	isReachable bool
	// restartWatch ends the watch, so that all keys are read anew.
	restartWatch context.CancelFunc

	// lastTrade is when the last trade pass was made. isSuspect tells that this
	// process was paused, until resumed, for so long that its slice may be
	// another's, and has not confirmed it since.
	lastTrade time.Time
	isSuspect bool
	resumedAt time.Time

	// lease is this entry's lease, memberText its member document without the
	// id as it was last written, memberVersion the platform's version of it.
	lease          platform.Lease
	lastMemberText string
	memberVersion  int64

	// heartbeats counts heartbeats; pulled is when documents were last asked for.
	heartbeats uint64
	lastPull   time.Time

	// steward is the entry that plans maintenance. held are the drains that
	// wait, by when they were last reported, paused the pools without drains
	// because of failures.
	steward       string
	blockedDrains map[string]time.Time
	pausedPools   map[string]bool
}

func newState(self string, now time.Time) state {
	return state{
		barrier:         units.NewBarrier(self),
		members:         make(map[string]*member),
		listedInstances: make(map[string]platform.Instance),
		goneSince:       make(map[string]time.Time),
		inForceChanged:  make(chan struct{}),
		lastTrade:       now,
	}
}

// wakeWaiters wakes those that wait for a change of what the members have in force.
func (s *state) wakeWaiters() {
	close(s.inForceChanged)
	s.inForceChanged = make(chan struct{})
}
