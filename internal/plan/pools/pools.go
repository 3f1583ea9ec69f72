// Package pools decides which machines should be in which pool and which are to
// be maintained next. It reads no clock and does no I/O.
package pools

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// Machine is a machine as the planner sees it.
type Machine struct {
	cloud.Machine
	// CPU is its processors in thousandths of a core.
	CPU int64
	// IsSurveyed says that the owner of the pool has told what runs there.
	IsSurveyed bool
	// Runs counts all runs, Lasting those of long-running tasks.
	Runs, Lasting int
	// Idle is how long nothing has run there.
	Idle time.Duration
	// IsEngaged says that a duty on the machine is under way.
	IsEngaged bool
	// Wave is the wave that the machine has yet to be maintained for, 0 if none.
	Wave int
}

func (m *Machine) isIdle() bool { return m.IsSurveyed && m.Runs == 0 }

// Pool is a pool as the planner sees it.
type Pool struct {
	Name      string
	IsStandby bool
	// IsSurveyed says that the owner has told the demand.
	IsSurveyed bool
	// Present, Arriving and Lasting are demands in thousandths of a core.
	Present, Arriving, Lasting int64
	// Least is the fewest endpoints that the long-running steps can spread over.
	Least int
}

// View is what the planner goes by.
type View struct {
	Pools    []Pool
	Machines []Machine
	Waves    []Wave
}

// Size is what a pool has and needs, in machines.
type Size struct {
	Pool       string
	Have, Need int
}

// Sizes returns what each pool that is on has and needs.
func Sizes(v View) []Size {
	var list []Size
	for _, s := range measure(v) {
		if !s.IsStandby {
			list = append(list, Size{Pool: s.Name, Have: s.have, Need: s.need})
		}
	}
	slices.SortFunc(list, func(a, b Size) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

// Move asks that a machine goes to another pool.
type Move struct {
	Machine Machine
	Pool    string
	Reason  string
}

// Sizing constants.
const (
	// headroom is kept over the demand for short-lived work, for tasks that do not
	// pack. What swings adds to it: jobs come by chance, so the swing falls with the
	// root of what there is, and a pool of ten machines has 1.8 times its demand.
	headroom = 1.3
	swing    = 1.58
	// spares is how many machines a pool keeps beyond its need, for the loss of
	// one.
	spares = 2
	// idleBefore is how long a machine is idle before it is switched off. It costs
	// as much in this time as the moves away and back.
	idleBefore = 2 * time.Second
)

// need returns how many machines a pool should have.
func (p *Pool) need(cpu int64) int {
	if cpu == 0 {
		return p.Least
	}
	busy := float64(max(p.Present, p.Arriving)) / float64(cpu)
	work := headroom*busy + min(swing*math.Sqrt(busy), busy) + float64(p.Lasting)/float64(cpu)
	return max(int(math.Ceil(work)), p.Least) + spares
}

// Moves answers demand that rises and falls by turns: idle machines of pools
// that need them no longer, those that are off first, go to the pools that lack
// some, and what stays idle is switched off.
func Moves(v View) []Move {
	sizes := measure(v)
	var moves []Move
	free := candidates(v, sizes)
	for _, s := range byShortage(sizes) {
		for s.lacks() > 0 {
			at := slices.IndexFunc(free, func(m Machine) bool { return sizes[m.Pool].canGive(m) && m.Pool != s.Name })
			if at < 0 {
				break
			}
			m := free[at]
			free = slices.Delete(free, at, at+1)
			moves = append(moves, Move{Machine: m, Pool: s.Name, Reason: "the pool lacks machines"})
			sizes[m.Pool].have--
			s.have++
		}
	}
	moves = append(moves, rebalance(v, sizes)...)
	standby := standbyPool(v)
	if standby == "" {
		return moves
	}
	for _, m := range free {
		s := sizes[m.Pool]
		if s.IsStandby || m.Idle < idleBefore || !s.canGive(m) {
			continue
		}
		moves = append(moves, Move{Machine: m, Pool: standby, Reason: "the machine is idle"})
		s.have--
	}
	return moves
}

// Sharing constants, for demand beyond all machines.
const (
	// fairSlack is how many machines a pool may have over its fair share before
	// busy ones are taken from it.
	fairSlack = 2
	// takenAtOnce is the share of a pool's machines that may be on their way out.
	takenAtOnce = 4
)

// rebalance answers turns of two pools that overlap and ask for more than all
// machines: the one that came first must not keep them all. Machines without
// long-running tasks leave the pools that have more than their fair share, as
// soon as their short-lived work has ended.
func rebalance(v View, sizes map[string]*size) (moves []Move) {
	leaving := make(map[string]int)
	for _, m := range v.Machines {
		if m.IsEngaged {
			leaving[m.Pool]++
		}
	}
	busy := slices.DeleteFunc(slices.Clone(v.Machines), func(m Machine) bool {
		return m.State != cloud.Up || m.IsEngaged || !m.IsSurveyed || m.Lasting > 0 || m.Runs == 0
	})
	slices.SortFunc(busy, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range byShortage(sizes) {
		for _, m := range busy {
			from := sizes[m.Pool]
			if s.lacks() <= 0 {
				break
			}
			isFair := from.have <= from.need+fairSlack
			if from == s || from.IsStandby || isFair || leaving[m.Pool]*takenAtOnce >= from.have {
				continue
			}
			moves = append(moves, Move{Machine: m, Pool: s.Name, Reason: "the pool has more than its share"})
			leaving[m.Pool]++
			from.have--
			s.have++
			busy = slices.DeleteFunc(slices.Clone(busy), func(each Machine) bool { return each.ID == m.ID })
		}
	}
	return moves
}

// share cuts the needs down to the machines there are: each pool gets what its
// long-running tasks need, and a part of the rest in proportion to what it asks.
func share(sizes map[string]*size, machines int) {
	asked, least := 0, 0
	for _, s := range sizes {
		if !s.IsStandby {
			asked += s.need
			least += min(s.need, s.Least+spares)
		}
	}
	if asked <= machines || asked <= least || machines <= least {
		return
	}
	part := float64(machines-least) / float64(asked-least)
	for _, s := range sizes {
		if s.IsStandby {
			continue
		}
		base := min(s.need, s.Least+spares)
		s.need = base + int(part*float64(s.need-base))
	}
}

// size is a pool with what it has and needs.
type size struct {
	Pool
	have, need int
}

func (s *size) lacks() int { return s.need - s.have }

// canGive tells whether the pool can do without an idle machine.
func (s *size) canGive(m Machine) bool { return s.IsStandby || m.isIdle() && s.have > s.need }

func measure(v View) map[string]*size {
	sizes := make(map[string]*size, len(v.Pools))
	for _, p := range v.Pools {
		sizes[p.Name] = &size{Pool: p}
	}
	cpu, count := int64(0), int64(0)
	for _, m := range v.Machines {
		s := sizes[m.Pool]
		if s == nil {
			continue
		}
		cpu, count = cpu+m.CPU, count+1
		if m.State == cloud.Up || m.State == cloud.Moving {
			s.have++
		}
	}
	for _, s := range sizes {
		switch {
		case s.IsStandby:
		case !s.IsSurveyed:
			// Nothing is known of the demand, so the pool keeps what it has.
			s.need = s.have
		case count > 0:
			s.need = s.Pool.need(cpu / count)
		}
	}
	share(sizes, int(count))
	return sizes
}

// candidates returns the machines that may move, the cheapest to take first:
// those that are off, then those idle for longest.
func candidates(v View, sizes map[string]*size) []Machine {
	var free []Machine
	for _, m := range v.Machines {
		s := sizes[m.Pool]
		if s == nil || m.State != cloud.Up || m.IsEngaged {
			continue
		}
		if s.IsStandby || m.isIdle() {
			free = append(free, m)
		}
	}
	slices.SortFunc(free, func(a, b Machine) int {
		offA, offB := sizes[a.Pool].IsStandby, sizes[b.Pool].IsStandby
		if offA != offB {
			if offA {
				return -1
			}
			return 1
		}
		// Machines that wait for maintenance are best left where they are off.
		if (a.Wave == 0) != (b.Wave == 0) {
			return cmp.Compare(a.Wave, b.Wave)
		}
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.ID, b.ID))
	})
	return free
}

func byShortage(sizes map[string]*size) []*size {
	var list []*size
	for _, s := range sizes {
		if !s.IsStandby && s.lacks() > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *size) int {
		return cmp.Or(cmp.Compare(float64(b.lacks())/float64(b.need), float64(a.lacks())/float64(a.need)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func standbyPool(v View) string {
	for _, p := range v.Pools {
		if p.IsStandby {
			return p.Name
		}
	}
	return ""
}
