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
	config      document.Config
	configData  []byte
	configStore stored
	fleet       fleet.Fleet
	fleetData   []byte
	fleetStore  stored
	table       TableDocument
	tableData   []byte
	tableStore  stored

	// barrier decides the shares of the teams' limits, force is what is in
	// force here, sentForce what was last told to all peers.
	barrier   *units.Barrier
	force     units.Revisions
	sentForce units.Revisions

	// members are the entries by name, this one included; changed is closed
	// when what they have in force changes.
	members map[string]*member
	changed chan struct{}
	// live is the platform's list of instances, empty before the first.
	live map[string]platform.Instance
	// missing is since when holders are known to be gone, tableDue since when
	// the table should be another; zero if it should not.
	missing  map[string]time.Time
	tableDue time.Time

	// fresh is when the documents were last known to be the newest.
	fresh time.Time
	// reached tells whether the platform answered the last call.
	reached bool
	// rewatch ends the watch, so that all keys are read anew.
	rewatch context.CancelFunc

	// traded is when the last trade pass was made. isSuspect tells that this
	// process was paused, until resumed, for so long that its slice may be
	// another's, and has not confirmed it since.
	traded    time.Time
	isSuspect bool
	resumed   time.Time

	// lease is this entry's lease, memberText its member document without the
	// id as it was last written, memberVersion the platform's version of it.
	lease         platform.Lease
	memberText    string
	memberVersion int64

	// beats counts heartbeats; pulled is when documents were last asked for.
	beats  uint64
	pulled time.Time

	// steward is the entry that plans maintenance. held are the drains that
	// wait, by when they were last reported, paused the pools without drains
	// because of failures.
	steward string
	held    map[string]time.Time
	paused  map[string]bool
}

func newState(self string, now time.Time) state {
	return state{
		barrier: units.NewBarrier(self),
		members: make(map[string]*member),
		live:    make(map[string]platform.Instance),
		missing: make(map[string]time.Time),
		changed: make(chan struct{}),
		traded:  now,
	}
}

// notify wakes those that wait for a change of what the members have in force.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
