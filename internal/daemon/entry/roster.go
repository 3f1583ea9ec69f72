package entry

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
)

// rebuildRoster sets the minions that may get new work. An instance that is out
// of service in the fleet document, or leaving or absent in the platform's list
// of instances, is left out. An empty list is ignored. The caller holds e.mu.
func (e *Entry) rebuildRoster(now time.Time) {
	pools := make(map[string][]*minion.Minion)
	for _, i := range e.state.fleet.Instances {
		listed, isListed := e.state.listedInstances[i.Name]
		isLeaving := len(e.state.listedInstances) > 0 && (!isListed || listed.IsLeaving)
		if !i.IsServing() || isLeaving {
			continue
		}
		pools[i.Pool] = append(pools[i.Pool], &minion.Minion{
			Name:     i.Name,
			Centre:   i.Centre,
			Address:  i.Address,
			Slots:    e.slots.Account(i.Name),
			Capacity: i.Slots,
		})
	}
	e.roster.Replace(pools)
	e.assignSlots(now)
}

// assignSlots makes one entry in the data centre of each minion the owner of
// all its slots, and that owner the only lender of these slots for the other
// entries. The idle connections to each minion are bounded by its slots that
// are held here. The caller holds e.mu.
func (e *Entry) assignSlots(now time.Time) {
	candidates := make(map[string][]string)
	for _, m := range e.state.aliveMembers(now) {
		if !m.Leaving && m.Centre != "" {
			candidates[m.Centre] = append(candidates[m.Centre], m.Entry)
		}
	}
	for _, i := range e.state.fleet.Instances {
		owner := rendezvous(candidates[i.Centre], i.Name)
		share := uint32(0)
		var lenders []string
		if owner == e.id {
			share = i.Slots
		} else if owner != "" {
			lenders = []string{owner}
		}
		if !i.IsServing() {
			share = 0
			e.slots.Account(i.Name).SetWaiting(0)
		}
		e.slots.SetShare(i.Name, share)
		e.slots.SetLenders(i.Name, lenders)
		idle := e.slots.Account(i.Name).Held()
		e.minions.SetMaxIdle(i.Address, int(idle))
	}
}

// rendezvous returns the entry with the highest hash for the name (rendezvous
// hashing), so that a change of the entries moves few names. It returns "" if
// there are no entries.
func rendezvous(entries []string, name string) (chosen string) {
	highest := uint64(0)
	for _, entry := range entries {
		hash := xxhash.Sum64String(strings.Join([]string{entry, name}, "/"))
		if chosen == "" || hash > highest {
			chosen, highest = entry, hash
		}
	}
	return chosen
}
