package entry

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Keys of the platform's key-value service.
const (
	keyPrefix   = "/chicorypin/"
	keyConfig   = keyPrefix + "config"
	keyFleet    = keyPrefix + "fleet"
	keyTable    = keyPrefix + "slices"
	keySteward  = keyPrefix + "steward"
	keyMembers  = keyPrefix + "members/"
	unversioned = 0
)

// takeConfig puts a config in force if it is newer than the one that is. A
// version is the platform's, or unversioned if a peer sent the config.
func (e *Entry) takeConfig(data []byte, version int64) {
	received, parsed, err := document.ParseConfig(data)
	if err != nil {
		e.reject(keyConfig, err)
		return
	}
	e.state.configStore.note(version, received.Revision)
	current := &e.state.config
	if received.Revision <= current.Revision {
		if received.Revision < current.Revision || received.Digest != current.Digest {
			e.refuseOld(keyConfig, received.Revision, current.Revision, version)
		}
		return
	}
	*current = received
	e.state.configData = data
	e.state.barrier.AddLimits(received.History)
	index := document.NewIndex(received.Revision, parsed)
	longest := time.Duration(index.Document.MaxRunTime)
	e.teams.RaiseMaxRunTime(longest)
	e.slots.RaiseMaxRunTime(longest)
	e.index.Store(index)
	e.dispatcher.SetShares(index.Document.Teams)
	event.ConfigInForce.Log(e.log, logrus.Fields{"revision": received.Revision, "digest": received.Digest})
	e.refresh()
	e.buildRoster(e.config.Timer.Now())
}

// takeFleet puts a fleet document in force if it is newer.
func (e *Entry) takeFleet(data []byte, version int64) {
	received, err := fleet.Parse(data)
	if err != nil {
		e.reject(keyFleet, err)
		return
	}
	e.state.fleetStore.note(version, received.Revision)
	current := &e.state.fleet
	if received.Revision <= current.Revision {
		if received.Revision < current.Revision || received.ID != current.ID {
			e.refuseOld(keyFleet, received.Revision, current.Revision, version)
		}
		return
	}
	*current = received
	e.state.fleetData = data
	event.FleetChanged.Log(e.log, logrus.Fields{"revision": received.Revision})
	e.buildRoster(e.config.Timer.Now())
}

// takeTable puts a slice table in force if it is newer.
func (e *Entry) takeTable(data []byte, version int64) {
	var received TableDocument
	err := json.Unmarshal(data, &received)
	if err == nil {
		err = received.check()
	}
	if err != nil {
		e.reject(keyTable, err)
		return
	}
	e.state.tableStore.note(version, received.Revision())
	current := e.state.table.Revision()
	if received.Revision() <= current {
		if received.Revision() < current || received.ID != e.state.table.ID {
			e.refuseOld(keyTable, received.Revision(), current, version)
		}
		return
	}
	e.state.table = received
	e.state.tableData = data
	e.state.barrier.AddTables(received.Tables)
	event.TableChanged.Log(e.log, logrus.Fields{"revision": received.Revision(), "holders": len(received.Holders)})
	e.refresh()
}

// refuseOld reports a document that is older than the one in force. Peers may
// lag behind without harm; from the platform it means an older store.
func (e *Entry) refuseOld(key string, received, current uint64, version int64) {
	if version == unversioned {
		return
	}
	event.RevisionRefused.Log(e.log, logrus.Fields{"key": key, "received": received, "current": current})
}

func (e *Entry) reject(key string, err error) {
	event.DocumentRejected.Log(e.log, logrus.Fields{"key": key, "error": err})
}

// refresh makes the teams' units follow the barrier.
func (e *Entry) refresh() {
	if e.state.isSuspect {
		return
	}
	for _, limits := range e.state.barrier.Limits() {
		for team := range limits.Units {
			// A team that is new gets its account here.
			e.teams.Account(team)
		}
	}
	e.applyShares()
	e.settle()
}

// applyShares gives the ledger the shares that the barrier allows now.
func (e *Entry) applyShares() {
	for _, name := range e.teams.Names() {
		e.teams.SetShare(name, e.state.barrier.Share(name))
	}
}

// settle reports the newest revisions once what runs fits them. If this entry
// was the last to do so, it gains by them at once.
func (e *Entry) settle() {
	force := e.state.barrier.ApplyNewest(func() bool {
		return e.teams.Fits(func(name string) (uint32, bool) { return e.state.barrier.Share(name), true })
	})
	if force != e.state.force {
		e.state.force = force
		e.self().Force = force
		if !e.state.isSuspect {
			e.applyShares()
		}
		e.state.notify()
	}
}

// self is this entry's own record.
func (e *Entry) self() *member { return e.state.member(e.id) }
