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
	// farEvery is how many heartbeats there are in the data centre for each
	// that goes to the others.
	farEvery = 4
	// usageEvery is how many heartbeats there are for each that carries usage.
	usageEvery = 2 * farEvery
	// introduceEvery is how many heartbeats there are for each that carries
	// the sender's own addresses.
	introduceEvery = 5 * usageEvery
	// pullInterval is the least time between two requests for documents.
	pullInterval = 200 * time.Millisecond
)

// beat tells the peers what is in force here: those in the same data centre
// each time, the others now and then and when it has changed.
func (e *Entry) beat(now time.Time) {
	e.mu.Lock()
	frame := e.composeBeat(now)
	isForAll := e.state.beats%farEvery == 0 || e.state.force != e.state.sentForce
	if isForAll {
		e.state.sentForce = e.state.force
	}
	var near []string
	for _, m := range e.state.there(now) {
		if m.Entry != e.id && m.Centre == e.settings.Centre {
			near = append(near, m.Entry)
		}
	}
	if e.state.beats%introduceEvery == 0 {
		e.afterChange()
		e.sumRemote(now)
		e.state.forgetGone(now)
	}
	e.mu.Unlock()
	if isForAll {
		e.mesh.Broadcast(frame)
		return
	}
	for _, entry := range near {
		e.mesh.Send(entry, frame)
	}
}

func (e *Entry) composeBeat(now time.Time) *wire.Frame {
	s := &e.state
	s.beats++
	own := e.ownDocument()
	body := &wire.Beat{
		Sequence:    s.beats,
		LimitsForce: s.force.Limits,
		TableForce:  s.force.Table,
		Config:      s.config.Revision,
		Fleet:       s.fleet.Revision,
		Table:       s.table.Revision(),
		Age:         uint64(now.Sub(s.fresh) / time.Millisecond),
		Leaving:     own.Leaving,
		BusyFleet:   own.Fleet,
		Busy:        own.Busy,
		Usage:       e.usage(),
	}
	if s.beats%introduceEvery == 0 || s.beats == farEvery {
		body.Member = &wire.Member{
			Entry: own.Entry, Name: own.Name, Centre: own.Centre,
			Peer: own.Peer.String(), Operator: own.Operator.String(),
		}
	}
	return &wire.Frame{Body: &wire.Frame_Beat{Beat: body}}
}

// usage returns the slots that the teams occupy here, nil in most heartbeats.
func (e *Entry) usage() *wire.Usage {
	if e.state.beats%usageEvery != 0 {
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

func (e *Entry) receiveBeat(from string, beat *wire.Beat) {
	now := e.config.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.state.member(from)
	isNew := !m.isThere(now)
	m.heard = now
	isNew = takeIntroduction(m, beat.GetMember()) || isNew || m.Leaving != beat.GetLeaving()
	m.Leaving = m.Leaving || beat.GetLeaving()
	if beat.GetBusyFleet() >= m.Fleet {
		m.Fleet, m.Busy = beat.GetBusyFleet(), beat.GetBusy()
	}
	force := units.Revisions{Limits: beat.GetLimitsForce(), Table: beat.GetTableForce()}
	if force != m.Force {
		m.Force.Limits = max(m.Force.Limits, force.Limits)
		m.Force.Table = max(m.Force.Table, force.Table)
		e.report(m)
	}
	if isNew {
		e.afterChange()
	}
	e.takeUsage(now, m, beat)
	e.compareRevisions(now, from, beat)
}

func takeIntroduction(m *member, received *wire.Member) (isNew bool) {
	if received == nil {
		return false
	}
	isNew = m.Name == ""
	m.Name, m.Centre = received.GetName(), received.GetCentre()
	m.Peer, _ = netip.ParseAddrPort(received.GetPeer())
	m.Operator, _ = netip.ParseAddrPort(received.GetOperator())
	return isNew
}

// takeUsage takes the slots that the teams occupy through a peer. Places that go
// by another document are left out; the next report makes up for them.
func (e *Entry) takeUsage(now time.Time, m *member, beat *wire.Beat) {
	index := e.index.Load()
	usage := beat.GetUsage()
	if usage == nil || beat.GetConfig() != index.Revision || len(usage.GetPlace()) != len(usage.GetSlots()) {
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
	e.sumRemote(now)
}

// sumRemote gives the dispatcher the slots that are occupied through all peers.
func (e *Entry) sumRemote(now time.Time) {
	remote := make(caller.Occupancy)
	members := e.state.there(now)
	for _, m := range members {
		if m.Entry != e.id {
			remote.Add(m.running)
		}
	}
	e.dispatcher.SetRemote(remote, len(members))
}

// compareRevisions asks a peer for documents that are newer there. A peer that
// has nothing newer passes its freshness on.
func (e *Entry) compareRevisions(now time.Time, from string, beat *wire.Beat) {
	s := &e.state
	isNewer := beat.GetConfig() > s.config.Revision || beat.GetFleet() > s.fleet.Revision ||
		beat.GetTable() > s.table.Revision()
	isSame := beat.GetConfig() == s.config.Revision
	if isSame && !isNewer {
		fresh := now.Add(-time.Duration(beat.GetAge()) * time.Millisecond)
		e.setFresh(fresh)
		if s.isSuspect && fresh.After(s.resumed) {
			e.confirm()
		}
	}
	if isNewer && now.Sub(s.pulled) > pullInterval {
		s.pulled = now
		pull := &wire.Pull{Config: s.config.Revision, Fleet: s.fleet.Revision, Table: s.table.Revision()}
		e.mesh.Send(from, &wire.Frame{Body: &wire.Frame_Pull{Pull: pull}})
	}
}

func (e *Entry) receivePull(from string, pull *wire.Pull) {
	now := e.config.Timer.Now()
	e.mu.Lock()
	s := &e.state
	snapshot := &wire.Snapshot{Age: uint64(now.Sub(s.fresh) / time.Millisecond)}
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
	e.setFresh(now.Add(-time.Duration(snapshot.GetAge()) * time.Millisecond))
	if len(snapshot.GetConfig()) > 0 {
		e.takeConfig(snapshot.GetConfig(), unversioned)
	}
	if len(snapshot.GetTable()) > 0 {
		e.takeTable(snapshot.GetTable(), unversioned)
	}
	if len(snapshot.GetFleet()) > 0 {
		e.takeFleet(snapshot.GetFleet(), unversioned)
	}
	if e.state.config.Revision > 0 {
		e.ready.Store(true)
	}
}
