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
	// heartbeatsPerBroadcast is the number of heartbeats of which one goes to
	// all members. The others go only to those in the same data centre.
	heartbeatsPerBroadcast = 4
	// heartbeatsPerUsage is the number of heartbeats of which one carries
	// usage.
	heartbeatsPerUsage = 2 * heartbeatsPerBroadcast
	// heartbeatsPerMemberInfo is the number of heartbeats of which one carries
	// the sender's name, data centre and addresses.
	heartbeatsPerMemberInfo = 5 * heartbeatsPerUsage
	// minPullInterval is the minimum time between two requests for documents.
	minPullInterval = 200 * time.Millisecond
)

// sendHeartbeat sends a heartbeat to the members in the same data centre. Every
// heartbeatsPerBroadcast heartbeats, and whenever the revisions in force have
// changed, it goes to all members instead. Every heartbeatsPerMemberInfo
// heartbeats it also updates all that depends on which members are alive, since
// a member that stops sending causes no event.
func (e *Entry) sendHeartbeat(now time.Time) {
	e.mu.Lock()
	frame := e.composeHeartbeat(now)
	isBroadcast := e.state.heartbeats%heartbeatsPerBroadcast == 0 || e.state.inForce != e.state.broadcastInForce
	if isBroadcast {
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
	if isBroadcast {
		e.mesh.Broadcast(frame)
		return
	}
	for _, entry := range sameCentre {
		e.mesh.Send(entry, frame)
	}
}

// composeHeartbeat counts a heartbeat and returns its frame. The first
// broadcast carries the sender's name, data centre and addresses too. The
// caller holds e.mu.
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

// usage returns the slots in use and the requests waiting at this entry, or nil
// in heartbeats that carry no usage. The caller holds e.mu.
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

// receiveHeartbeat records the state that a peer reports and requests documents
// that are newer there. The peer's member document may already have brought a
// newer report, so recorded revisions never decrease.
func (e *Entry) receiveHeartbeat(from string, heartbeat *wire.Beat) {
	now := e.config.Clock.Now()
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
	inForce := units.Revisions{Limits: heartbeat.GetLimitsForce(), Table: heartbeat.GetTableForce()}
	if inForce != m.InForce {
		m.InForce.Limits = max(m.InForce.Limits, inForce.Limits)
		m.InForce.Table = max(m.InForce.Table, inForce.Table)
		e.applyReport(m)
	}
	if isChanged {
		e.applyMemberChange()
	}
	e.recordUsage(now, m, heartbeat)
	e.compareRevisions(now, from, heartbeat)
}

// recordMemberInfo records a member's name, data centre and addresses, and
// reports whether its name was unknown before. An address that does not parse
// becomes the zero value.
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

// recordUsage records the slots in use and the requests waiting at a peer.
// Places are positions in the sender's config document, so usage that refers to
// another config revision is ignored; a later heartbeat replaces it. The caller
// holds e.mu.
func (e *Entry) recordUsage(now time.Time, m *member, heartbeat *wire.Beat) {
	index := e.index.Load()
	usage := heartbeat.GetUsage()
	if usage == nil || heartbeat.GetConfig() != index.Revision || len(usage.GetPlace()) != len(usage.GetSlots()) {
		return
	}
	pools, teams := index.Document.Pools, index.Document.Teams
	isOutOfRange := func(place uint32) bool { return int(place) >= len(pools)*len(teams) }
	if slices.ContainsFunc(usage.GetPlace(), isOutOfRange) {
		return
	}
	m.running = make(caller.Occupancy)
	m.waiting = make(map[string]int)
	for i, waiting := range usage.GetWaiting() {
		if i < len(pools) {
			m.waiting[pools[i].Name] = int(waiting)
		}
	}
	for i, place := range usage.GetPlace() {
		pool, team := pools[int(place)/len(teams)].Name, teams[int(place)%len(teams)].Name
		m.running.Add(caller.Occupancy{pool: {team: int(usage.GetSlots()[i])}})
	}
	e.updateRemoteUsage(now)
}

// updateRemoteUsage passes the total slots in use at all other members to the
// dispatcher. The caller holds e.mu.
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

// compareRevisions requests documents from a peer that has newer ones. If the
// peer has none and the same config revision, the time at which its documents
// were last known to be the newest counts here too. The caller holds e.mu.
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

// receivePull sends the peer the documents that are newer than the revisions it
// has.
func (e *Entry) receivePull(from string, pull *wire.Pull) {
	now := e.config.Clock.Now()
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

// receiveSnapshot applies documents from a peer, and their age at the peer.
func (e *Entry) receiveSnapshot(snapshot *wire.Snapshot) {
	now := e.config.Clock.Now()
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
