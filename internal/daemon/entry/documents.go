package entry

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Keys in the platform's key-value service.
const (
	keyPrefix  = "/chicorypin/"
	keyConfig  = keyPrefix + "config"
	keyFleet   = keyPrefix + "fleet"
	keyTable   = keyPrefix + "slices"
	keySteward = keyPrefix + "steward"
	keyMembers = keyPrefix + "members/"
	// unversioned is the version of a document that came from a peer instead of
	// the platform.
	unversioned = 0
)

// applyConfig puts a config in force if it is newer than the current one. The
// version is the platform's, or unversioned if a peer sent the config. The
// caller holds e.mu.
func (e *Entry) applyConfig(data []byte, version int64) {
	received, parsed, err := document.ParseConfig(data)
	if err != nil {
		e.reportInvalidDocument(keyConfig, err)
		return
	}
	e.state.storedConfig.record(version, received.Revision)
	current := &e.state.config
	if received.Revision <= current.Revision {
		if received.Revision < current.Revision || received.Digest != current.Digest {
			e.reportOldDocument(keyConfig, received.Revision, current.Revision, version)
		}
		return
	}
	*current = received
	e.state.configData = data
	e.state.barrier.AddLimits(received.History)
	index := document.NewIndex(received.Revision, parsed)
	maxRunTime := time.Duration(index.Document.MaxRunTime)
	e.teams.SetMaxRunTime(maxRunTime)
	e.slots.SetMaxRunTime(maxRunTime)
	e.index.Store(index)
	e.dispatcher.SetShares(index.Document.Teams)
	event.ConfigInForce.Log(e.log, logrus.Fields{"revision": received.Revision, "digest": received.Digest})
	e.updateShares()
	e.rebuildRoster(e.config.Clock.Now())
}

// applyFleet puts a fleet document in force if it is newer than the current
// one. The version is as in applyConfig. The caller holds e.mu.
func (e *Entry) applyFleet(data []byte, version int64) {
	received, err := fleet.Parse(data)
	if err != nil {
		e.reportInvalidDocument(keyFleet, err)
		return
	}
	e.state.storedFleet.record(version, received.Revision)
	current := &e.state.fleet
	if received.Revision <= current.Revision {
		if received.Revision < current.Revision || received.ID != current.ID {
			e.reportOldDocument(keyFleet, received.Revision, current.Revision, version)
		}
		return
	}
	*current = received
	e.state.fleetData = data
	event.FleetInForce.Log(e.log, logrus.Fields{"revision": received.Revision})
	e.rebuildRoster(e.config.Clock.Now())
}

// applyTable puts a slice table in force if it is newer than the current one.
// The version is as in applyConfig. The caller holds e.mu.
func (e *Entry) applyTable(data []byte, version int64) {
	var received TableDocument
	err := json.Unmarshal(data, &received)
	if err == nil {
		err = received.check()
	}
	if err != nil {
		e.reportInvalidDocument(keyTable, err)
		return
	}
	e.state.storedTable.record(version, received.Revision())
	current := e.state.table.Revision()
	if received.Revision() <= current {
		if received.Revision() < current || received.ID != e.state.table.ID {
			e.reportOldDocument(keyTable, received.Revision(), current, version)
		}
		return
	}
	e.state.table = received
	e.state.tableData = data
	e.state.barrier.AddTables(received.Tables)
	event.TableInForce.Log(e.log, logrus.Fields{"revision": received.Revision(), "holders": len(received.Holders)})
	e.updateShares()
}

// reportOldDocument logs that the platform holds a document that is older than
// the one in force, or another one of the same revision. This happens when its
// store was restored from a backup. Peers may lag behind without harm, so their
// documents are not reported.
func (e *Entry) reportOldDocument(key string, received, current uint64, version int64) {
	if version == unversioned {
		return
	}
	event.RevisionRefused.Log(e.log, logrus.Fields{"key": key, "received": received, "current": current})
}

// reportInvalidDocument logs that a document of the platform or of a peer could
// not be parsed.
func (e *Entry) reportInvalidDocument(key string, err error) {
	event.DocumentRejected.Log(e.log, logrus.Fields{"key": key, "error": err})
}

// updateShares sets the teams' shares to those that the barrier allows, and
// creates the accounts of new teams. It does nothing while the documents are
// suspect after a pause. The caller holds e.mu.
func (e *Entry) updateShares() {
	if e.state.isSuspect {
		return
	}
	for _, limits := range e.state.barrier.Limits() {
		for team := range limits.Units {
			// Account creates the account of a new team.
			e.teams.Account(team)
		}
	}
	e.applyShares()
	e.applyNewest()
}

// applyShares sets the shares of all teams in the ledger to those that the
// barrier allows now.
func (e *Entry) applyShares() {
	for _, name := range e.teams.Names() {
		e.teams.SetShare(name, e.state.barrier.Share(name))
	}
}

// applyNewest puts the newest revisions in force once the units in use and lent
// fit the shares at these revisions. If all other members had them in force
// already, the barrier now allows larger shares, which are set at once. The
// caller holds e.mu.
func (e *Entry) applyNewest() {
	revisions := e.state.barrier.ApplyNewest(func() bool {
		return e.teams.Fits(func(name string) (uint32, bool) { return e.state.barrier.Share(name), true })
	})
	if revisions != e.state.inForce {
		e.state.inForce = revisions
		e.ownMember().InForce = revisions
		if !e.state.isSuspect {
			e.applyShares()
		}
		e.state.wakeWaiters()
	}
}

// ownMember returns this entry's own member record. The caller holds e.mu.
func (e *Entry) ownMember() *member { return e.state.member(e.id) }
