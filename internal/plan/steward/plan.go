// Package steward plans the maintenance of a fleet. NewPlan computes the next fleet
// document from a snapshot of the current state, without I/O and without a clock; the
// entry that holds the steward's lease writes it.
package steward

import (
	"cmp"
	"slices"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Snapshot is the input of NewPlan.
type Snapshot struct {
	Fleet    fleet.Fleet
	Document document.Document
	// Live is the platform's list of instances by name. An empty list is taken for
	// a fault of the platform, and nothing is planned from it.
	Live map[string]platform.Instance
	// BusyEntries returns the entries that may still run work on an instance to which no
	// new work is assigned since the given fleet revision: the entries that have not
	// yet reported this revision, and those that report work on the instance.
	BusyEntries func(instance string, since uint64) []string
}

// Plan is the result of NewPlan.
type Plan struct {
	// Next is the fleet document to write. It is to be written only if Changes is
	// not 0.
	Next fleet.Fleet
	// Changes is the number of state changes from the current document to Next.
	Changes int
	// BlockedDrains lists the drains that wait for work to end.
	BlockedDrains []BlockedDrain
	// PausedPools lists the pools in which no drain is started because an instance is
	// down.
	PausedPools []string
}

// BlockedDrain is a drain that waits for work to end.
type BlockedDrain struct {
	Instance string
	// Entries lists the entries that may still run work on the instance.
	Entries []string
}

// planner builds a Plan.
type planner struct {
	Snapshot
	plan Plan
}

// NewPlan plans the next step of all instances: it follows the platform's list,
// completes drains, adds new instances and starts the drains of the current wave.
func NewPlan(s Snapshot) Plan {
	p := &planner{Snapshot: s}
	p.plan.Next = s.Fleet.Next()
	if len(s.Live) == 0 {
		return p.plan
	}
	for position := range p.plan.Next.Instances {
		p.updateInstance(position)
	}
	p.addListed()
	if !p.plan.Next.IsPaused {
		p.startDrains()
	}
	return p.plan
}

func (p *planner) set(position int, state fleet.State, reason fleet.Reason) {
	p.plan.Next.SetState(position, state, reason)
	p.plan.Changes++
}

// updateInstance changes the state of one instance according to the platform's list
// and to the work that still runs on it.
func (p *planner) updateInstance(position int) {
	i := p.plan.Next.Instances[position]
	live, isLive := p.Live[i.Name]
	switch {
	case i.State == fleet.Rebooting:
		p.updateRebooting(position, live, isLive)
	case !isLive:
		p.markMissing(position, i)
	case live.IsLeaving:
		if i.State != fleet.Draining {
			p.set(position, fleet.Draining, fleet.ByPlatform)
		}
	case i.State == fleet.Down || i.Reason == fleet.ByPlatform:
		p.recover(position, live)
	case i.State == fleet.Draining && i.Reason != fleet.ByOperator:
		p.advanceDrain(position, i)
	}
}

// markMissing marks an instance that the platform does not list as failed. A drain by
// an operator is kept, since the instance must not return to service by itself.
func (p *planner) markMissing(position int, i fleet.Instance) {
	if i.State != fleet.Down && i.Reason != fleet.ByOperator {
		p.set(position, fleet.Down, fleet.ByFailure)
	}
}

// recover puts an instance back into service with the boot and the address
// that the platform lists.
func (p *planner) recover(position int, live platform.Instance) {
	p.set(position, fleet.Serving, "")
	p.plan.Next.Instances[position].BootID = live.BootID
	p.plan.Next.Instances[position].Address = live.Address
}

// updateRebooting completes the maintenance of an instance once the platform lists it
// with a new boot.
func (p *planner) updateRebooting(position int, live platform.Instance, isLive bool) {
	i := &p.plan.Next.Instances[position]
	if !isLive || live.IsLeaving || live.BootID == i.BootID {
		return
	}
	p.recover(position, live)
	i.Cycle = p.plan.Next.Cycle
}

// advanceDrain completes a drain once no work runs on the instance: an instance that
// is being moved serves its new pool, any other is rebooted.
func (p *planner) advanceDrain(position int, i fleet.Instance) {
	if entries := p.BusyEntries(i.Name, i.SinceRevision); len(entries) > 0 {
		p.plan.BlockedDrains = append(p.plan.BlockedDrains, BlockedDrain{Instance: i.Name, Entries: entries})
		return
	}
	if i.Reason == fleet.ByMove {
		p.set(position, fleet.Serving, "")
		p.plan.Next.Instances[position].Pool = i.TargetPool
		p.plan.Next.Instances[position].TargetPool = ""
		return
	}
	p.set(position, fleet.Rebooting, fleet.ByWave)
}

// addListed adds the instances that the platform lists but that are not yet in the
// fleet, sorted by name.
func (p *planner) addListed() {
	known := make(map[string]bool)
	for _, i := range p.plan.Next.Instances {
		known[i.Name] = true
	}
	names := make([]string, 0, len(p.Live))
	for name := range p.Live {
		if !known[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		p.addInstance(p.Live[name])
	}
}

func (p *planner) addInstance(live platform.Instance) {
	pool := p.poolFor(live)
	if pool == "" || live.IsLeaving {
		return
	}
	p.plan.Next.Instances = append(p.plan.Next.Instances, fleet.Instance{
		Name:    live.Name,
		Pool:    pool,
		Centre:  live.Centre,
		Rack:    live.Rack,
		Address: live.Address,
		Slots:   live.Slots,
		BootID:  live.BootID,
		Cycle:   p.plan.Next.Cycle,
	})
	p.set(len(p.plan.Next.Instances)-1, fleet.Serving, "")
}

// poolFor returns the pool of a new instance: the one that the platform names if it
// exists, else the spare pool. It returns "" for instances that run entries.
func (p *planner) poolFor(live platform.Instance) string {
	if live.Pool == platform.EntryPool {
		return ""
	}
	for _, pool := range p.Document.Pools {
		if pool.Name == live.Pool {
			return pool.Name
		}
	}
	return p.Document.SparePool
}

// startDrains starts the drains of the current maintenance wave that the budgets
// allow. It starts none in a pool with an instance that is down.
func (p *planner) startDrains() {
	if !p.hasPending() {
		return
	}
	for _, pool := range p.Document.Pools {
		if p.hasFailures(pool.Name) {
			p.plan.PausedPools = append(p.plan.PausedPools, pool.Name)
			continue
		}
		p.drainPool(pool)
	}
}

// hasPending reports whether a serving instance has yet to be maintained in the current
// cycle.
func (p *planner) hasPending() bool {
	return slices.ContainsFunc(p.plan.Next.Instances, func(i fleet.Instance) bool {
		return i.IsServing() && i.Cycle < p.plan.Next.Cycle
	})
}

func (p *planner) hasFailures(pool string) bool {
	return slices.ContainsFunc(p.plan.Next.Instances, func(i fleet.Instance) bool {
		return i.Pool == pool && i.State == fleet.Down
	})
}

// drainPool starts drains rack by rack: first in racks whose maintenance has started,
// then in those with the most instances left, so that as few racks as possible are
// under maintenance at once. It starts no further rack at the pool's bound on racks.
func (p *planner) drainPool(pool document.Pool) {
	racks := p.pendingRacks(pool.Name)
	allowance := newAllowance(p.plan.Next, pool)
	startedRacks := 0
	for _, r := range racks {
		if r.isStarted {
			startedRacks++
		}
	}
	for _, r := range racks {
		if !r.isStarted && pool.MaxRacksOut > 0 && startedRacks >= pool.MaxRacksOut {
			return
		}
		if p.drainRack(allowance, r) && !r.isStarted {
			startedRacks++
		}
	}
}

// allowance tracks what the budgets of a pool, and of its part in each data centre,
// still permit to be taken out of service in one pass.
type allowance struct {
	fleet   fleet.Fleet
	pool    document.Pool
	budget  fleet.Budget
	centres map[string]*fleet.Budget
}

func newAllowance(current fleet.Fleet, pool document.Pool) *allowance {
	return &allowance{
		fleet:   current,
		pool:    pool,
		budget:  current.PoolBudget(pool.Name, pool.MinShare),
		centres: make(map[string]*fleet.Budget),
	}
}

// tryTake charges an instance to the budgets of the pool and of its part in the data
// centre. It returns false, and charges nothing, if one of them does not permit it.
func (a *allowance) tryTake(i fleet.Instance) bool {
	if !a.budget.Admits(i) {
		return false
	}
	centre := a.centres[i.Centre]
	if centre == nil {
		b := a.fleet.CentreBudget(a.pool.Name, i.Centre, a.pool.MinShare)
		centre = &b
		a.centres[i.Centre] = centre
	}
	if !centre.Admits(i) {
		return false
	}
	a.budget.Out += i.Slots
	centre.Out += i.Slots
	return true
}

// rack is the part of a rack that belongs to one pool.
type rack struct {
	name string
	// isStarted is true while an instance of the rack is out of service for the wave.
	isStarted bool
	// pending lists the positions of the instances that have yet to be maintained.
	pending []int
}

// pendingRacks returns the racks of a pool in the order in which they are maintained.
func (p *planner) pendingRacks(pool string) []*rack {
	byName := make(map[string]*rack)
	var racks []*rack
	for position, i := range p.plan.Next.Instances {
		if i.Pool != pool {
			continue
		}
		r := byName[i.Rack]
		if r == nil {
			r = &rack{name: i.Rack}
			byName[i.Rack] = r
			racks = append(racks, r)
		}
		if i.Reason == fleet.ByWave {
			r.isStarted = true
		} else if i.IsServing() && i.Cycle < p.plan.Next.Cycle {
			r.pending = append(r.pending, position)
		}
	}
	slices.SortFunc(racks, compareRacks)
	return racks
}

func compareRacks(a, b *rack) int {
	if a.isStarted != b.isStarted {
		if a.isStarted {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.pending), len(a.pending)), cmp.Compare(a.name, b.name))
}

// drainRack starts the pending drains of a rack that the allowance permits. It reports
// whether it started any.
func (p *planner) drainRack(a *allowance, r *rack) (isAnyDrained bool) {
	for _, position := range r.pending {
		if a.tryTake(p.plan.Next.Instances[position]) {
			p.set(position, fleet.Draining, fleet.ByWave)
			isAnyDrained = true
		}
	}
	return isAnyDrained
}
