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

// Minion is a minion that attempts may be sent to.
type Minion struct {
	Name    string
	Centre  string
	Address netip.AddrPort
	// Slots is the account of the minion's slots that this entry holds.
	Slots *units.Account
	// Capacity is the total number of the minion's slots.
	Capacity uint32

	health *health
	log    *logrus.Entry
}

// RecordResult updates the failure rate of the minion with the result of an attempt
// that Pick selected it for at pickedAt.
func (m *Minion) RecordResult(now, pickedAt time.Time, isFailed bool) {
	isEjected, isReadmitted := m.health.recordResult(now, pickedAt, isFailed)
	fields := logrus.Fields{"minion": m.Name}
	if isEjected {
		event.MinionEjected.Log(m.log, fields)
	}
	if isReadmitted {
		event.MinionReadmitted.Log(m.log, fields)
	}
}

// CancelPick undoes the selection of the minion by Pick at pickedAt, for an attempt that
// was not sent or whose result says nothing about the minion.
func (m *Minion) CancelPick(pickedAt time.Time) { m.health.cancelProbe(pickedAt) }

// Roster holds the minions of each pool that attempts may be sent to. It is safe for
// concurrent use; reads take no lock, since Replace swaps the whole content atomically.
type Roster struct {
	log   *logrus.Entry
	pools atomic.Pointer[map[string][]*Minion]
}

// NewRoster returns a Roster without minions. It logs ejections and readmissions to
// log.
func NewRoster(log *logrus.Entry) *Roster {
	r := &Roster{log: log}
	r.pools.Store(&map[string][]*Minion{})
	return r
}

// Replace sets the minions of all pools, keyed by pool. Minions keep their health by
// name. Calls of Replace must not overlap, and the caller must not change the minions
// afterwards.
func (r *Roster) Replace(pools map[string][]*Minion) {
	healthByName := make(map[string]*health)
	for _, minions := range *r.pools.Load() {
		for _, m := range minions {
			healthByName[m.Name] = m.health
		}
	}
	for _, minions := range pools {
		for _, m := range minions {
			m.log = r.log
			m.health = healthByName[m.Name]
			if m.health == nil {
				m.health = &health{}
			}
		}
	}
	r.pools.Store(&pools)
}

// Pool returns the minions of a pool. The result must not be changed.
func (r *Roster) Pool(pool string) []*Minion { return (*r.pools.Load())[pool] }

// Slots returns the number of slots of a pool that this entry holds, and the number of
// those that are free on minions that are not ejected.
func (r *Roster) Slots(now time.Time, pool string) (free, held int) {
	for _, m := range r.Pool(pool) {
		held += int(m.Slots.Held())
		if !m.health.isUnavailable(now) {
			free += int(m.Slots.Free())
		}
	}
	return free, held
}

// Pick selects a minion of the pool, other than the one named excluded, and acquires
// one of its slots. It selects the less loaded of two random minions with a free slot.
// It returns nil if no slot is free.
func (r *Roster) Pick(now time.Time, pool, excluded string) (*Minion, *units.Permit) {
	minions := r.Pool(pool)
	best := randomMinion(now, minions, excluded)
	if best == nil {
		return nil, nil
	}
	// The last free slot may have been lent since the first choice.
	other := randomMinion(now, minions, excluded)
	if other != nil && other.load() < best.load() {
		best = other
	}
	if permit := best.tryAcquire(now); permit != nil {
		return best, permit
	}
	return firstAvailable(now, minions, excluded)
}

// randomMinion returns a minion with a free slot, chosen uniformly by reservoir
// sampling, or nil if there is none.
func randomMinion(now time.Time, minions []*Minion, excluded string) (chosen *Minion) {
	candidates := 0
	for _, m := range minions {
		if m.Name == excluded || m.Slots.Free() == 0 || m.health.isUnavailable(now) {
			continue
		}
		candidates++
		if rand.IntN(candidates) == 0 {
			chosen = m
		}
	}
	return chosen
}

// firstAvailable acquires a slot of the first minion that has one. It is the fallback
// when the slots of the selected minion were taken concurrently.
func firstAvailable(now time.Time, minions []*Minion, excluded string) (*Minion, *units.Permit) {
	for _, m := range minions {
		if m.Name == excluded {
			continue
		}
		if permit := m.tryAcquire(now); permit != nil {
			return m, permit
		}
	}
	return nil, nil
}

// tryAcquire acquires a slot of the minion, or returns nil if it has none free or may not
// get an attempt now.
func (m *Minion) tryAcquire(now time.Time) *units.Permit {
	if !m.health.tryAllow(now) {
		return nil
	}
	permit := m.Slots.Acquire()
	if permit == nil {
		m.health.cancelProbe(now)
	}
	return permit
}

// load returns the fraction of the minion's slots that this entry uses.
func (m *Minion) load() float64 {
	return float64(m.Slots.Used()) / float64(max(m.Capacity, 1))
}
