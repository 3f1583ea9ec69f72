package entry

import (
	"net/netip"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/front/caller"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// heartbeatsPerBroadcast is how many heartbeats there are in the data centre for each
	// that goes to the others.
	heartbeatsPerBroadcast = 4
	// heartbeatsPerUsage is how many heartbeats there are for each that carries usage.
	heartbeatsPerUsage = 2 * heartbeatsPerBroadcast
	// heartbeatsPerMemberInfo is how many heartbeats there are for each that carries
	// the sender's own addresses.
	heartbeatsPerMemberInfo = 5 * heartbeatsPerUsage
	// minPullInterval is the least time between two requests for documents.
	minPullInterval = 200 * time.Millisecond
)

// sendHeartbeat tells the peers what is in force here: those in the same data centre
// each time, the others now and then and when it has changed.
func (e *Entry) sendHeartbeat(now time.Time) {
	e.mu.Lock()
	frame := e.composeHeartbeat(now)
	isForAll := e.state.heartbeats%heartbeatsPerBroadcast == 0 || e.state.inForce != e.state.broadcastInForce
	if isForAll {
		e.state.broadcastInForce = e.state.inForce
	}
	var sameCentre []string
	for _, m := range e.state.aliveMembers(now) {
		if m.Entry != e.id && m.Centre == e.settings.Centre {
			sameCentre = append(sameCentre, m.Entry)
		}
	}
	if e.state.heartbeats%heartbeatsPerMemberInfo == 0 {
		e.applyMemberChange()
		e.updateRemoteUsage(now)
		e.state.forgetDead(now)
	}
	e.mu.Unlock()
	if isForAll {
		e.mesh.Broadcast(frame)
		return
	}
	for _, entry := range sameCentre {
		e.mesh.Send(entry, frame)
	}
}

func (e *Entry) composeHeartbeat(now time.Time) *wire.Frame {
	s := &e.state
	s.heartbeats++
	own := e.refreshOwnDocument()
	body := &wire.Beat{
		Sequence:    s.heartbeats,
		LimitsForce: s.inForce.Limits,
		TableForce:  s.inForce.Table,
		Config:      s.config.Revision,
		Fleet:       s.fleet.Revision,
		Table:       s.table.Revision(),
		Age:         uint64(now.Sub(s.freshAt) / time.Millisecond),
		Leaving:     own.Leaving,
		BusyFleet:   own.Fleet,
		Busy:        own.Busy,
		Usage:       e.usage(),
	}
	if s.heartbeats%heartbeatsPerMemberInfo == 0 || s.heartbeats == heartbeatsPerBroadcast {
		body.Member = &wire.Member{
			Entry: own.Entry, Name: own.Name, Centre: own.Centre,
			Peer: own.Peer.String(), Operator: own.Operator.String(),
		}
	}
	return &wire.Frame{Body: &wire.Frame_Beat{Beat: body}}
}

// usage returns the slots that the teams occupy here, nil in most heartbeats.
func (e *Entry) usage() *wire.Usage {
	if e.state.heartbeats%heartbeatsPerUsage != 0 {
		return nil
	}
	usage := &wire.Usage{}
	running, waiting := e.dispatcher.Running(), e.dispatcher.Waiting()
	d := e.index.Load().Document
	for i, pool := range d.Pools {
		usage.Waiting = append(usage.Waiting, uint32(waiting[pool.Name]))
		for k, team := range d.Teams {
			if slots := running[pool.Name][team.Name]; slots > 0 {
				usage.Place = append(usage.Place, uint32(i*len(d.Teams)+k))
				usage.Slots = append(usage.Slots, uint32(slots))
			}
		}
	}
	return usage
}

func (e *Entry) receiveHeartbeat(from string, heartbeat *wire.Beat) {
	now := e.config.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.state.member(from)
	isChanged := !m.isAlive(now)
	m.lastHeartbeat = now
	isChanged = recordMemberInfo(m, heartbeat.GetMember()) || isChanged || m.Leaving != heartbeat.GetLeaving()
	m.Leaving = m.Leaving || heartbeat.GetLeaving()
	if heartbeat.GetBusyFleet() >= m.Fleet {
		m.Fleet, m.Busy = heartbeat.GetBusyFleet(), heartbeat.GetBusy()
	}
	force := units.Revisions{Limits: heartbeat.GetLimitsForce(), Table: heartbeat.GetTableForce()}
	if force != m.Force {
		m.Force.Limits = max(m.Force.Limits, force.Limits)
		m.Force.Table = max(m.Force.Table, force.Table)
		e.applyReport(m)
	}
	if isChanged {
		e.applyMemberChange()
	}
	e.recordUsage(now, m, heartbeat)
	e.compareRevisions(now, from, heartbeat)
}

func recordMemberInfo(m *member, received *wire.Member) (isNew bool) {
	if received == nil {
		return false
	}
	isNew = m.Name == ""
	m.Name, m.Centre = received.GetName(), received.GetCentre()
	m.Peer, _ = netip.ParseAddrPort(received.GetPeer())
	m.Operator, _ = netip.ParseAddrPort(received.GetOperator())
	return isNew
}

// recordUsage takes the slots that the teams occupy through a peer. Places that go
// by another document are left out; the next report makes up for them.
func (e *Entry) recordUsage(now time.Time, m *member, heartbeat *wire.Beat) {
	index := e.index.Load()
	usage := heartbeat.GetUsage()
	if usage == nil || heartbeat.GetConfig() != index.Revision || len(usage.GetPlace()) != len(usage.GetSlots()) {
		return
	}
	m.running = make(caller.Occupancy)
	m.waiting = make(map[string]int)
	pools, teams := index.Document.Pools, index.Document.Teams
	for i, waiting := range usage.GetWaiting() {
		if i < len(pools) {
			m.waiting[pools[i].Name] = int(waiting)
		}
	}
	for i, place := range usage.GetPlace() {
		if int(place) >= len(pools)*len(teams) {
			return
		}
		pool, team := pools[int(place)/len(teams)].Name, teams[int(place)%len(teams)].Name
		m.running.Add(caller.Occupancy{pool: {team: int(usage.GetSlots()[i])}})
	}
	e.updateRemoteUsage(now)
}

// updateRemoteUsage gives the dispatcher the slots that are occupied through all peers.
func (e *Entry) updateRemoteUsage(now time.Time) {
	remote := make(caller.Occupancy)
	members := e.state.aliveMembers(now)
	for _, m := range members {
		if m.Entry != e.id {
			remote.Add(m.running)
		}
	}
	e.dispatcher.SetRemote(remote, len(members))
}

// compareRevisions asks a peer for documents that are newer there. A peer that
// has nothing newer passes its freshness on.
func (e *Entry) compareRevisions(now time.Time, from string, heartbeat *wire.Beat) {
	s := &e.state
	isNewer := heartbeat.GetConfig() > s.config.Revision || heartbeat.GetFleet() > s.fleet.Revision ||
		heartbeat.GetTable() > s.table.Revision()
	isSameConfig := heartbeat.GetConfig() == s.config.Revision
	if isSameConfig && !isNewer {
		freshAt := now.Add(-time.Duration(heartbeat.GetAge()) * time.Millisecond)
		e.advanceFreshAt(freshAt)
		if s.isSuspect && freshAt.After(s.resumedAt) {
			e.confirmDocuments()
		}
	}
	if isNewer && now.Sub(s.lastPull) > minPullInterval {
		s.lastPull = now
		pull := &wire.Pull{Config: s.config.Revision, Fleet: s.fleet.Revision, Table: s.table.Revision()}
		e.mesh.Send(from, &wire.Frame{Body: &wire.Frame_Pull{Pull: pull}})
	}
}

func (e *Entry) receivePull(from string, pull *wire.Pull) {
	now := e.config.Timer.Now()
	e.mu.Lock()
	s := &e.state
	snapshot := &wire.Snapshot{Age: uint64(now.Sub(s.freshAt) / time.Millisecond)}
	if s.config.Revision > pull.GetConfig() {
		snapshot.Config = slices.Clone(s.configData)
	}
	if s.fleet.Revision > pull.GetFleet() {
		snapshot.Fleet = slices.Clone(s.fleetData)
	}
	if s.table.Revision() > pull.GetTable() {
		snapshot.Table = slices.Clone(s.tableData)
	}
	e.mu.Unlock()
	e.mesh.Send(from, &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: snapshot}})
}

// receiveSnapshot takes documents of a peer, with the peer's age.
func (e *Entry) receiveSnapshot(snapshot *wire.Snapshot) {
	now := e.config.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advanceFreshAt(now.Add(-time.Duration(snapshot.GetAge()) * time.Millisecond))
	if len(snapshot.GetConfig()) > 0 {
		e.applyConfig(snapshot.GetConfig(), unversioned)
	}
	if len(snapshot.GetTable()) > 0 {
		e.applyTable(snapshot.GetTable(), unversioned)
	}
	if len(snapshot.GetFleet()) > 0 {
		e.applyFleet(snapshot.GetFleet(), unversioned)
	}
	if e.state.config.Revision > 0 {
		e.isReady.Store(true)
	}
}
