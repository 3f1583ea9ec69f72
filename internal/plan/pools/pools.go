// Package pools plans which pool each machine should be in and which machines are
// maintained next. Its functions depend only on their arguments: they read no
// clock and do no I/O.
package pools

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// Machine is the state of a machine that the planner needs.
type Machine struct {
	cloud.Machine
	// CPU is the capacity of the machine in thousandths of a core.
	CPU int64
	// IsSurveyed is true if the owner of the pool has reported what runs on the
	// machine. Runs, LongRunningRuns, ReservedCPU and Idle are valid only then.
	IsSurveyed bool
	// Runs is the number of all runs on the machine, LongRunningRuns that of the runs
	// of long-running tasks.
	Runs, LongRunningRuns int
	// ReservedCPU is what the runs reserve, in thousandths of a core.
	ReservedCPU int64
	// Idle is how long the machine has had no runs.
	Idle time.Duration
	// IsLost is true if the endpoint on the machine does not serve although the machine is
	// listed as up.
	IsLost bool
	// IsEngaged is true while no move or maintenance of the machine may be planned:
	// one is already in progress, or the steward has excluded it for a while.
	IsEngaged bool
	// IsLeaving is true while the machine is kept free of new work for a move or
	// maintenance.
	IsLeaving bool
	// Wave is the number of the wave for which the machine still has to be
	// maintained, 0 if there is none.
	Wave int
	// IsEvacuated is true if the machine is in an evacuated data centre. Then it is no
	// capacity of its pool, and may only be maintained or switched off.
	IsEvacuated bool
}

func (m *Machine) isIdle() bool { return m.IsSurveyed && m.Runs == 0 }

// Pool is the state of a pool that the planner needs.
type Pool struct {
	Name string
	// IsStandby is true for the pool of the machines that are switched off.
	IsStandby bool
	// IsSurveyed is true if the owner of the pool has reported its demand. The
	// fields below are valid only then.
	IsSurveyed bool
	// Present, Arriving and LongRunningCPU are demands in thousandths of a core: that
	// of short-lived work that runs or could run now, that of short-lived work
	// expected to arrive, and that of long-running tasks.
	Present, Arriving, LongRunningCPU int64
	// MinEndpoints is the smallest number of endpoints over which the long-running
	// steps can be spread.
	MinEndpoints int
	// LabelCPU is the part of the demand that only machines with a label can meet, by
	// label, in thousandths of a core.
	LabelCPU map[string]int64
}

// View is the input of the planner: the pools, machines and waves at one time.
type View struct {
	Pools    []Pool
	Machines []Machine
	Waves    []Wave
}

// Size is the number of machines that a pool has and needs.
type Size struct {
	Pool       string
	Have, Need int
}

// Sizes returns the sizes of all pools but the standby pool, sorted by name.
func Sizes(v View) []Size {
	var list []Size
	for _, s := range measurePools(v) {
		if !s.IsStandby {
			list = append(list, Size{Pool: s.Name, Have: s.have, Need: s.need})
		}
	}
	slices.SortFunc(list, func(a, b Size) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

// Move is a proposal to move a machine to another pool.
type Move struct {
	Machine Machine
	Pool    string
}

// machineList is a list of machines of which some are taken for moves.
type machineList []Machine

// takeFirst removes the first machine for which isAllowed returns true from the list.
func (l *machineList) takeFirst(isAllowed func(Machine) bool) (m Machine, isFound bool) {
	index := slices.IndexFunc(*l, isAllowed)
	if index < 0 {
		return Machine{}, false
	}
	m = (*l)[index]
	*l = slices.Delete(*l, index, index+1)
	return m, true
}

// Sizing constants.
const (
	// headroomFactor multiplies the demand for short-lived work, because its tasks
	// do not fill the machines completely. burstFactor, times the square root of the
	// demand in machines but at most the demand, is added for fluctuations: jobs
	// arrive at random, so the relative fluctuation falls with the root of the demand.
	// A pool with a demand of ten machines gets 1.8 times that.
	headroomFactor = 1.3
	burstFactor    = 1.58
	// spareMachines is the number of machines that a pool keeps beyond its demand,
	// so that the loss of one leaves enough.
	spareMachines = 2
	// switchOffDelay is how long a machine is idle before it is switched off. Being
	// on for this time costs as much as the moves to the standby pool and back.
	switchOffDelay = 2 * time.Second
)

// need returns how many machines the pool should have, for machines of
// the given capacity in thousandths of a core.
func (p *Pool) need(cpuPerMachine int64) int {
	if cpuPerMachine == 0 {
		return p.MinEndpoints
	}
	shortLived := float64(max(p.Present, p.Arriving)) / float64(cpuPerMachine)
	total := headroomFactor*shortLived + min(burstFactor*math.Sqrt(shortLived), shortLived) + float64(p.LongRunningCPU)/float64(cpuPerMachine)
	return max(int(math.Ceil(total)), p.MinEndpoints) + spareMachines
}

// PlanMoves plans moves for demand whose peaks alternate between the pools. Machines
// that are switched off, then idle machines of pools that no longer need them, go
// to the pools that are short of machines. Machines that remain idle are switched
// off by a move to the standby pool. No machine is moved more than once.
func PlanMoves(v View) []Move {
	sizes := measurePools(v)
	movable, busy := movableMachines(v, sizes), busyMachines(v, sizes)
	moves := planLabelMoves(v, sizes, &movable, &busy)
	for _, s := range sortByShortage(sizes) {
		for s.shortage() > 0 {
			m, isFound := movable.takeFirst(func(m Machine) bool { return sizes[m.Pool].canSpare(m) && m.Pool != s.Name })
			if !isFound {
				break
			}
			moves = append(moves, Move{Machine: m, Pool: s.Name})
			sizes[m.Pool].transfer(m, s)
		}
	}
	moves = append(moves, rebalance(v, sizes, &busy)...)
	standby := standbyPool(v)
	if standby == "" {
		return moves
	}
	moves = append(moves, switchOffEvacuated(v, sizes, standby)...)
	for _, m := range movable {
		s := sizes[m.Pool]
		if s.IsStandby || m.Idle < switchOffDelay || !s.canSpare(m) {
			continue
		}
		moves = append(moves, Move{Machine: m, Pool: standby})
		s.transfer(m, sizes[standby])
	}
	return moves
}

// Constants for sharing the machines when the demand exceeds all of them.
const (
	// fairShareMargin is how many machines above its fair share a pool may have
	// before busy machines are moved out of it.
	fairShareMargin = 2
	// leavingDivisor bounds how fast a pool shrinks: busy machines are moved out of it
	// only while less than 1/leavingDivisor of its machines are engaged.
	leavingDivisor = 4
)

// rebalance plans moves of busy machines for peaks of two pools that overlap and
// together exceed all machines. Without it the pool that peaked first would keep
// them all. Machines without long-running tasks leave the pools that exceed their
// fair share, once the short-lived work on them has ended.
func rebalance(v View, sizes map[string]*poolSize, busy *machineList) (moves []Move) {
	leaving := leavingMachines(v)
	for _, s := range sortByShortage(sizes) {
		canLeave := func(m Machine) bool {
			source := sizes[m.Pool]
			hasSurplus := !source.IsStandby && source.have > source.need+fairShareMargin
			return hasSurplus && source != s && source.canSpareLabels(m) && leaving[m.Pool]*leavingDivisor < source.have
		}
		for s.shortage() > 0 {
			m, isFound := busy.takeFirst(canLeave)
			if !isFound {
				break
			}
			moves = append(moves, Move{Machine: m, Pool: s.Name})
			leaving[m.Pool]++
			sizes[m.Pool].transfer(m, s)
		}
	}
	return moves
}

// leavingMachines counts the engaged machines of each pool.
func leavingMachines(v View) map[string]int {
	leaving := make(map[string]int)
	for _, m := range v.Machines {
		if m.IsEngaged && !m.IsEvacuated {
			leaving[m.Pool]++
		}
	}
	return leaving
}

// busyMachines returns the machines of known pools that run short-lived work only, those
// with the fewest runs first.
func busyMachines(v View, sizes map[string]*poolSize) machineList {
	busy := slices.DeleteFunc(slices.Clone(v.Machines), func(m Machine) bool {
		return sizes[m.Pool] == nil || m.IsEvacuated || m.State != cloud.Up || m.IsEngaged || !m.IsSurveyed || m.LongRunningRuns > 0 || m.Runs == 0
	})
	slices.SortFunc(busy, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
	})
	return busy
}

// scaleToMachines reduces the needs of the pools to the number of machines that
// exist: each pool gets its minimum, that is MinEndpoints and its spare machines but
// at most its need, and the rest is divided in proportion to the remaining needs. The
// needs are left as they are if there are enough machines for them, or no more than
// for the minimums.
func scaleToMachines(sizes map[string]*poolSize, machines int) {
	requested, minimum := 0, 0
	for _, s := range sizes {
		if !s.IsStandby {
			requested += s.need
			minimum += min(s.need, s.MinEndpoints+spareMachines)
		}
	}
	if requested <= machines || requested <= minimum || machines <= minimum {
		return
	}
	fraction := float64(machines-minimum) / float64(requested-minimum)
	for _, s := range sizes {
		if s.IsStandby {
			continue
		}
		guaranteed := min(s.need, s.MinEndpoints+spareMachines)
		s.need = guaranteed + int(fraction*float64(s.need-guaranteed))
	}
}

// poolSize is a pool with the numbers of machines that it has and needs.
type poolSize struct {
	Pool
	have, need int
	// labels holds the sizes of the labels that the pool's tasks require, by label.
	labels map[string]*labelSize
}

func (s *poolSize) shortage() int { return s.need - s.have }

// canSpare reports whether the pool can give up the machine. The standby pool can
// give up any, another pool only idle ones beyond its need, also of their labels.
func (s *poolSize) canSpare(m Machine) bool {
	return s.IsStandby || m.isIdle() && s.have > s.need && s.canSpareLabels(m)
}

// transfer updates the sizes for the move of a machine to another pool.
func (s *poolSize) transfer(m Machine, target *poolSize) {
	s.have--
	s.addLabels(m, -1)
	target.have++
	target.addLabels(m, 1)
}

// measurePools returns the sizes of all pools by name, scaled to the number of
// machines. A pool's need is computed with the average capacity of all machines.
func measurePools(v View) map[string]*poolSize {
	sizes := make(map[string]*poolSize, len(v.Pools))
	for _, p := range v.Pools {
		sizes[p.Name] = &poolSize{Pool: p}
	}
	totalCPU, count := int64(0), int64(0)
	for _, m := range v.Machines {
		s := sizes[m.Pool]
		if s == nil || m.IsEvacuated {
			continue
		}
		if m.IsLost {
			// It counts as missing at once, so that a replacement is ordered before work waits.
			continue
		}
		totalCPU, count = totalCPU+m.CPU, count+1
		if m.State == cloud.Up || m.State == cloud.Moving {
			s.have++
		}
	}
	for _, s := range sizes {
		switch {
		case s.IsStandby:
		case !s.IsSurveyed:
			// The demand is unknown, so the pool keeps the machines that it has.
			s.need = s.have
		case count > 0:
			s.need = s.Pool.need(totalCPU / count)
		}
	}
	scaleToMachines(sizes, int(count))
	measureLabels(v, sizes, totalCPU/max(count, 1))
	return sizes
}

// movableMachines returns the machines that are free to move, cheapest first:
// those that are switched off, then those that have been idle for longest.
func movableMachines(v View, sizes map[string]*poolSize) machineList {
	var movable machineList
	for _, m := range v.Machines {
		s := sizes[m.Pool]
		if s == nil || m.IsEvacuated || m.State != cloud.Up || m.IsEngaged {
			continue
		}
		if s.IsStandby || m.isIdle() {
			movable = append(movable, m)
		}
	}
	slices.SortFunc(movable, func(a, b Machine) int {
		isStandbyA, isStandbyB := sizes[a.Pool].IsStandby, sizes[b.Pool].IsStandby
		if isStandbyA != isStandbyB {
			if isStandbyA {
				return -1
			}
			return 1
		}
		// Machines due for maintenance come last, so that those that are switched
		// off are maintained there.
		if (a.Wave == 0) != (b.Wave == 0) {
			return cmp.Compare(a.Wave, b.Wave)
		}
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.ID, b.ID))
	})
	return movable
}

// sortByShortage returns the pools that are short of machines, the largest
// shortage relative to the need first.
func sortByShortage(sizes map[string]*poolSize) []*poolSize {
	var list []*poolSize
	for _, s := range sizes {
		if !s.IsStandby && s.shortage() > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *poolSize) int {
		return cmp.Or(cmp.Compare(float64(b.shortage())/float64(b.need), float64(a.shortage())/float64(a.need)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// standbyPool returns the name of the standby pool, "" if there is none.
func standbyPool(v View) string {
	for _, p := range v.Pools {
		if p.IsStandby {
			return p.Name
		}
	}
	return ""
}
