package entry

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/front/caller"
	"gitlab.com/chicorypin/chicorypin/units"
)

// heartbeatTimeout is how long a member that is not registered counts as alive
// after its last heartbeat.
const heartbeatTimeout = 3 * time.Second

// memberRetention is how long the record of a dead member is kept after its
// last heartbeat.
const memberRetention = time.Hour

// MemberDocument is the document that an entry registers in the platform under
// its lease.
type MemberDocument struct {
	// ID is unique to each write. If the response to a write is lost, reading the
	// key back shows whether the write took effect.
	ID       string         `json:"id"`
	Entry    string         `json:"entry"`
	Name     string         `json:"name"`
	Centre   string         `json:"centre"`
	Peer     netip.AddrPort `json:"peer"`
	Operator netip.AddrPort `json:"operator"`
	// InForce are the revisions in force at the entry.
	InForce units.Revisions `json:"force"`
	// Fleet is the fleet revision that Busy refers to.
	Fleet uint64 `json:"fleet"`
	// Busy are the instances out of service at that revision on which work of
	// this entry, or of one that borrows its slots, may still be running.
	Busy    []string `json:"busy,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

// member is the record of one member, which may be this entry itself.
type member struct {
	MemberDocument
	// isRegistered tells whether the platform holds its member document.
	isRegistered  bool
	lastHeartbeat time.Time
	// running are the slots in use by requests through the member.
	running caller.Occupancy
	// waiting is the number of requests waiting at the member, by pool.
	waiting map[string]int
}

// isAlive reports whether the member is registered or has sent a heartbeat
// within heartbeatTimeout.
func (m *member) isAlive(now time.Time) bool {
	return m.isRegistered || now.Sub(m.lastHeartbeat) < heartbeatTimeout
}

// member returns the record of an entry and creates it if needed.
func (s *state) member(entry string) *member {
	m := s.members[entry]
	if m == nil {
		m = &member{}
		m.Entry = entry
		s.members[entry] = m
	}
	return m
}

// forgetDead deletes the records of members that are dead, have been silent for
// more than memberRetention and hold no slice. They do not come back: a
// restarted process has a new name. The caller holds e.mu.
func (s *state) forgetDead(now time.Time) {
	for entry, m := range s.members {
		_, isHolder := s.table.Holders[entry]
		if !isHolder && !m.isAlive(now) && now.Sub(m.lastHeartbeat) > memberRetention {
			delete(s.members, entry)
			s.barrier.Forget(entry)
		}
	}
}

// aliveMembers returns the members that are alive, sorted by name.
func (s *state) aliveMembers(now time.Time) (members []*member) {
	for _, m := range s.members {
		if m.isAlive(now) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.Entry, b.Entry) })
	return members
}

// recordMember records a member document from the platform. Invalid ones are
// ignored. The caller holds e.mu.
func (e *Entry) recordMember(data []byte) {
	var received MemberDocument
	if json.Unmarshal(data, &received) != nil || received.Entry == "" {
		return
	}
	m := e.state.member(received.Entry)
	inForce, fleet := m.InForce, m.Fleet
	isNewer := received.Fleet >= fleet
	busy := m.Busy
	m.MemberDocument = received
	m.isRegistered = true
	// Heartbeats may have brought newer reports than the platform's document.
	m.InForce.Limits = max(m.InForce.Limits, inForce.Limits)
	m.InForce.Table = max(m.InForce.Table, inForce.Table)
	if !isNewer {
		m.Fleet, m.Busy = fleet, busy
	}
	e.applyReport(m)
}

// applyReport passes the revisions in force at another member to the barrier,
// updates the shares and wakes the callers of AwaitInForce. The caller holds
// e.mu.
func (e *Entry) applyReport(m *member) {
	if m.Entry == e.id {
		return
	}
	e.state.barrier.Report(m.Entry, m.InForce)
	e.updateShares()
	e.state.wakeWaiters()
}

// connectMembers sets the mesh addresses to those of the members and of the
// peers in the settings, and the lenders of the teams' units to the members
// that are not leaving, those in the same data centre first.
func (e *Entry) connectMembers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connectMembersLocked(e.config.Clock.Now())
}

// connectMembersLocked is connectMembers for callers that hold e.mu.
func (e *Entry) connectMembersLocked(now time.Time) {
	addresses := slices.Clone(e.settings.Peers)
	var preferred, others []string
	for _, m := range e.state.aliveMembers(now) {
		if m.Entry == e.id {
			continue
		}
		if m.Peer.IsValid() {
			addresses = append(addresses, m.Peer)
		}
		switch {
		case m.Leaving:
		case m.Centre == e.settings.Centre:
			preferred = append(preferred, m.Entry)
		default:
			others = append(others, m.Entry)
		}
	}
	e.mesh.SetAddresses(slices.Compact(sorted(addresses)))
	e.teams.SetPeers(append(preferred, others...))
}

func sorted(addresses []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}
