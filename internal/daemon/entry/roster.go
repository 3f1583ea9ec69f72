package entry

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
)

// buildRoster makes the roster follow the fleet and the platform's list: an
// instance that either of them takes out of service gets no new work.
func (e *Entry) buildRoster(now time.Time) {
	pools := make(map[string][]*minion.Minion)
	for _, i := range e.state.fleet.Instances {
		live, isLive := e.state.live[i.Name]
		isLeaving := len(e.state.live) > 0 && (!isLive || live.IsLeaving)
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

// assignSlots gives the slots of each minion to its home, which lends them to
// the other entries.
func (e *Entry) assignSlots(now time.Time) {
	homes := make(map[string][]string)
	for _, m := range e.state.there(now) {
		if !m.Leaving && m.Centre != "" {
			homes[m.Centre] = append(homes[m.Centre], m.Entry)
		}
	}
	for _, i := range e.state.fleet.Instances {
		home := rendezvous(homes[i.Centre], i.Name)
		share := uint32(0)
		var lenders []string
		if home == e.id {
			share = i.Slots
		} else if home != "" {
			lenders = []string{home}
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

// rendezvous picks the entry with the highest hash for the name, so that a
// change of the entries moves few names.
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
