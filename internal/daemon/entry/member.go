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

// heartbeatTimeout is how long a member without a lease counts as there after its last
// heartbeat.
const heartbeatTimeout = 3 * time.Second

// memberRetention is how long a silent member is remembered.
const memberRetention = time.Hour

// MemberDocument is what an entry writes about itself under its lease.
type MemberDocument struct {
	// ID is unique to each write, so that a lost reply can be settled.
	ID       string          `json:"id"`
	Entry    string          `json:"entry"`
	Name     string          `json:"name"`
	Centre   string          `json:"centre"`
	Peer     netip.AddrPort  `json:"peer"`
	Operator netip.AddrPort  `json:"operator"`
	Force    units.Revisions `json:"force"`
	Fleet    uint64          `json:"fleet"`
	// Busy are the instances that are to stop at fleet revision Fleet and on
	// which work of this entry still runs.
	Busy    []string `json:"busy,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

// member is what this entry knows of another one, or of itself.
type member struct {
	MemberDocument
	// isRegistered tells that the platform holds its document.
	isRegistered bool
	// lastHeartbeat is when its last heartbeat came.
	lastHeartbeat time.Time
	// running are the slots that the teams occupy through it.
	running caller.Occupancy
	// waiting are the requests that wait at it, by pool.
	waiting map[string]int
}

func (m *member) isAlive(now time.Time) bool {
	return m.isRegistered || now.Sub(m.lastHeartbeat) < heartbeatTimeout
}

// member returns what is known of an entry, adding it if nothing is.
func (s *state) member(entry string) *member {
	m := s.members[entry]
	if m == nil {
		m = &member{}
		m.Entry = entry
		s.members[entry] = m
	}
	return m
}

// forgetDead drops what is known of members that were silent for long and hold
// no slice: a new process has a new name.
func (s *state) forgetDead(now time.Time) {
	for entry, m := range s.members {
		_, isHolder := s.table.Holders[entry]
		if !isHolder && !m.isAlive(now) && now.Sub(m.lastHeartbeat) > memberRetention {
			delete(s.members, entry)
			s.barrier.Forget(entry)
		}
	}
}

// aliveMembers returns the members that are aliveMembers, sorted by name.
func (s *state) aliveMembers(now time.Time) (members []*member) {
	for _, m := range s.members {
		if m.isAlive(now) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.Entry, b.Entry) })
	return members
}

// recordMember takes a member's document from the platform.
func (e *Entry) recordMember(data []byte) {
	var received MemberDocument
	if json.Unmarshal(data, &received) != nil || received.Entry == "" {
		return
	}
	m := e.state.member(received.Entry)
	inForce, fleet := m.Force, m.Fleet
	isNewer := received.Fleet >= fleet
	busy := m.Busy
	m.MemberDocument = received
	m.isRegistered = true
	// Heartbeats may have brought newer reports than the platform.
	m.Force.Limits = max(m.Force.Limits, inForce.Limits)
	m.Force.Table = max(m.Force.Table, inForce.Table)
	if !isNewer {
		m.Fleet, m.Busy = fleet, busy
	}
	e.applyReport(m)
}

// applyReport puts what a member has in force to use.
func (e *Entry) applyReport(m *member) {
	if m.Entry == e.id {
		return
	}
	e.state.barrier.Report(m.Entry, m.Force)
	e.updateShares()
	e.state.wakeWaiters()
}

// connectMembers keeps links to all members and to the peers of the settings.
func (e *Entry) connectMembers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connectMembersLocked(e.config.Timer.Now())
}

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
