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

// silence is how long a member without a lease counts as there after its last
// heartbeat.
const silence = 3 * time.Second

// forgetAge is how long a silent member is remembered.
const forgetAge = time.Hour

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
	// isListed tells that the platform holds its document.
	isListed bool
	// heard is when its last heartbeat came.
	heard time.Time
	// running are the slots that the teams occupy through it.
	running caller.Occupancy
	// waiting are the requests that wait at it, by pool.
	waiting map[string]int
}

func (m *member) isThere(now time.Time) bool {
	return m.isListed || now.Sub(m.heard) < silence
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

// forgetGone drops what is known of members that were silent for long and hold
// no slice: a new process has a new name.
func (s *state) forgetGone(now time.Time) {
	for entry, m := range s.members {
		_, isHolder := s.table.Holders[entry]
		if !isHolder && !m.isThere(now) && now.Sub(m.heard) > forgetAge {
			delete(s.members, entry)
			s.barrier.Forget(entry)
		}
	}
}

// there returns the members that are there, sorted by name.
func (s *state) there(now time.Time) (members []*member) {
	for _, m := range s.members {
		if m.isThere(now) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.Entry, b.Entry) })
	return members
}

// takeMember takes a member's document from the platform.
func (e *Entry) takeMember(data []byte) {
	var received MemberDocument
	if json.Unmarshal(data, &received) != nil || received.Entry == "" {
		return
	}
	m := e.state.member(received.Entry)
	force, fleet := m.Force, m.Fleet
	isNewer := received.Fleet >= fleet
	busy := m.Busy
	m.MemberDocument = received
	m.isListed = true
	// Heartbeats may have brought newer reports than the platform.
	m.Force.Limits = max(m.Force.Limits, force.Limits)
	m.Force.Table = max(m.Force.Table, force.Table)
	if !isNewer {
		m.Fleet, m.Busy = fleet, busy
	}
	e.report(m)
}

// report puts what a member has in force to use.
func (e *Entry) report(m *member) {
	if m.Entry == e.id {
		return
	}
	e.state.barrier.Report(m.Entry, m.Force)
	e.refresh()
	e.state.notify()
}

// link keeps links to all members and to the peers of the settings.
func (e *Entry) link() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.linkLocked(e.config.Timer.Now())
}

func (e *Entry) linkLocked(now time.Time) {
	addresses := slices.Clone(e.settings.Peers)
	var preferred, others []string
	for _, m := range e.state.there(now) {
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
