package minion

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Minion is one minion that may be given work.
type Minion struct {
	Name    string
	Centre  string
	Address netip.AddrPort
	// Slots are the units of its slots that this entry holds.
	Slots *units.Account
	// Capacity is how many slots it has.
	Capacity uint32

	health *health
	log    *logrus.Entry
}

// Note counts the end of an attempt for the failure rate of the minion.
func (m *Minion) Note(now time.Time, failed bool) {
	ejected, readmitted := m.health.note(now, failed)
	fields := logrus.Fields{"minion": m.Name}
	if ejected {
		event.MinionEjected.Log(m.log, fields)
	}
	if readmitted {
		event.MinionReadmitted.Log(m.log, fields)
	}
}

// Skip takes back the choice of the minion for an attempt that was not sent.
func (m *Minion) Skip() { m.health.cancel() }

// Roster holds the minions of each pool that may be given work. It is replaced
// as a whole; reading it takes no lock.
type Roster struct {
	log   *logrus.Entry
	pools atomic.Pointer[map[string][]*Minion]
}

// NewRoster returns a Roster without minions.
func NewRoster(log *logrus.Entry) *Roster {
	r := &Roster{log: log}
	r.pools.Store(&map[string][]*Minion{})
	return r
}

// Replace sets the minions of all pools. What is known of the health of a
// minion that was there before is kept.
func (r *Roster) Replace(pools map[string][]*Minion) {
	known := make(map[string]*health)
	for _, minions := range *r.pools.Load() {
		for _, m := range minions {
			known[m.Name] = m.health
		}
	}
	for _, minions := range pools {
		for _, m := range minions {
			m.log = r.log
			m.health = known[m.Name]
			if m.health == nil {
				m.health = &health{}
			}
		}
	}
	r.pools.Store(&pools)
}

// Pool returns the minions of a pool. The result must not be changed.
func (r *Roster) Pool(pool string) []*Minion { return (*r.pools.Load())[pool] }

// Slots returns how many slots of a pool this entry holds, and how many of them
// are free.
func (r *Roster) Slots(now time.Time, pool string) (free, held int) {
	for _, m := range r.Pool(pool) {
		held += int(m.Slots.Held())
		if !m.health.isOut(now) {
			free += int(m.Slots.Free())
		}
	}
	return free, held
}

// Pick takes a slot on a minion of the pool, other than the one to avoid: of two
// taken at random among those with a free slot, the less loaded. It returns nil
// if there is none.
func (r *Roster) Pick(now time.Time, pool, avoid string) (*Minion, *units.Permit) {
	minions := r.Pool(pool)
	first := choose(now, minions, avoid)
	second := choose(now, minions, avoid)
	if first != nil && second.load() < first.load() {
		first = second
	}
	if first == nil {
		return nil, nil
	}
	if permit := first.take(now); permit != nil {
		return first, permit
	}
	return pickAny(now, minions, avoid)
}

// choose returns a minion with a free slot, each with the same chance.
func choose(now time.Time, minions []*Minion, avoid string) (chosen *Minion) {
	seen := 0
	for _, m := range minions {
		if m.Name == avoid || m.Slots.Free() == 0 || m.health.isOut(now) {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = m
		}
	}
	return chosen
}

func pickAny(now time.Time, minions []*Minion, avoid string) (*Minion, *units.Permit) {
	for _, m := range minions {
		if m.Name == avoid {
			continue
		}
		if permit := m.take(now); permit != nil {
			return m, permit
		}
	}
	return nil, nil
}

func (m *Minion) take(now time.Time) *units.Permit {
	if !m.health.allow(now) {
		return nil
	}
	permit := m.Slots.Acquire()
	if permit == nil {
		m.health.cancel()
	}
	return permit
}

// load is the part of the minion's slots that this entry uses.
func (m *Minion) load() float64 {
	return float64(m.Slots.Used()) / float64(max(m.Capacity, 1))
}
