// Package steward plans maintenance: a pure function from what is known to the
// next fleet document. Its execution is apart from it, in the entry.
package steward

import (
	"cmp"
	"slices"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Snapshot is what a plan is made from.
type Snapshot struct {
	Fleet    fleet.Fleet
	Document document.Document
	// Live is the platform's list of instances. An empty one is not trusted.
	Live map[string]platform.Instance
	// Busy returns the entries that may still run work on an instance which
	// stopped getting any at the given fleet revision: those that have not
	// reported the revision, and those that report work there.
	Busy func(instance string, since uint64) []string
}

// Plan is what to do next.
type Plan struct {
	// Next is the fleet document to write; it is valid if Changes is not 0.
	Next fleet.Fleet
	// Changes is the number of instances that change.
	Changes int
	// Held are the drains that wait for work to end.
	Held []Held
	// Paused are the pools in which no drain starts because of failures.
	Paused []string
}

// Held is a drain that waits for work to end.
type Held struct {
	Instance string
	Entries  []string
}

// planner builds a Plan.
type planner struct {
	Snapshot
	plan Plan
}

// NewPlan plans the next step.
func NewPlan(s Snapshot) Plan {
	p := &planner{Snapshot: s}
	p.plan.Next = s.Fleet.Next()
	if len(s.Live) == 0 {
		return p.plan
	}
	for position := range p.plan.Next.Instances {
		p.follow(position)
	}
	p.admit()
	if !p.plan.Next.Paused {
		p.startDrains()
	}
	return p.plan
}

func (p *planner) set(position int, state fleet.State, reason fleet.Reason) {
	p.plan.Next.Set(position, state, reason)
	p.plan.Changes++
}

// follow brings one instance to the state that it has come to.
func (p *planner) follow(position int) {
	i := p.plan.Next.Instances[position]
	live, isLive := p.Live[i.Name]
	switch {
	case i.State == fleet.Rebooting:
		p.followReboot(position, live, isLive)
	case !isLive:
		p.followMissing(position, i)
	case live.Leaving:
		if i.State != fleet.Draining {
			p.set(position, fleet.Draining, fleet.ByPlatform)
		}
	case i.State == fleet.Down || i.Reason == fleet.ByPlatform:
		p.recover(position, live)
	case i.State == fleet.Draining && i.Reason != fleet.ByOperator:
		p.followDrain(position, i)
	}
}

// followMissing counts an instance that is not listed as failed. A drain by an
// operator stays one.
func (p *planner) followMissing(position int, i fleet.Instance) {
	if i.State != fleet.Down && i.Reason != fleet.ByOperator {
		p.set(position, fleet.Down, fleet.ByFailure)
	}
}

func (p *planner) recover(position int, live platform.Instance) {
	p.set(position, fleet.Serving, "")
	p.plan.Next.Instances[position].Boot = live.Boot
	p.plan.Next.Instances[position].Address = live.Address
}

func (p *planner) followReboot(position int, live platform.Instance, isLive bool) {
	i := &p.plan.Next.Instances[position]
	if !isLive || live.Leaving || live.Boot == i.Boot {
		return
	}
	p.recover(position, live)
	i.Cycle = p.plan.Next.Cycle
}

// followDrain ends a drain once nothing runs on the instance any more.
func (p *planner) followDrain(position int, i fleet.Instance) {
	if entries := p.Busy(i.Name, i.Since); len(entries) > 0 {
		p.plan.Held = append(p.plan.Held, Held{Instance: i.Name, Entries: entries})
		return
	}
	if i.Reason == fleet.ByMove {
		p.set(position, fleet.Serving, "")
		p.plan.Next.Instances[position].Pool = i.Target
		p.plan.Next.Instances[position].Target = ""
		return
	}
	p.set(position, fleet.Rebooting, fleet.ByWave)
}

// admit adds instances that are listed but not yet in the fleet.
func (p *planner) admit() {
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
		p.admitOne(p.Live[name])
	}
}

func (p *planner) admitOne(live platform.Instance) {
	pool := p.poolFor(live)
	if pool == "" || live.Leaving {
		return
	}
	p.plan.Next.Instances = append(p.plan.Next.Instances, fleet.Instance{
		Name:    live.Name,
		Pool:    pool,
		Centre:  live.Centre,
		Rack:    live.Rack,
		Address: live.Address,
		Slots:   live.Slots,
		Boot:    live.Boot,
		Cycle:   p.plan.Next.Cycle,
	})
	p.set(len(p.plan.Next.Instances)-1, fleet.Serving, "")
}

// poolFor returns the pool of a new instance: the one that the platform names
// if there is such a pool, else the spare pool.
func (p *planner) poolFor(live platform.Instance) string {
	if live.Pool == platform.EntryPool {
		return ""
	}
	for _, pool := range p.Document.Pools {
		if pool.Name == live.Pool {
			return pool.Name
		}
	}
	return p.Document.Spare
}

// startDrains starts the drains of the maintenance wave that the budgets allow.
func (p *planner) startDrains() {
	if !p.hasPending() {
		return
	}
	for _, pool := range p.Document.Pools {
		if p.hasFailures(pool.Name) {
			p.plan.Paused = append(p.plan.Paused, pool.Name)
			continue
		}
		p.drainPool(pool)
	}
}

// hasPending returns whether any instance is left to maintain.
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

// drainPool drains rack by rack: racks already begun first, then those with the
// most instances left, so that the fewest racks are touched at once.
func (p *planner) drainPool(pool document.Pool) {
	racks := p.pendingRacks(pool.Name)
	allowance := newAllowance(p.plan.Next, pool)
	begun := 0
	for _, r := range racks {
		if r.begun {
			begun++
		}
	}
	for _, r := range racks {
		if !r.begun && pool.Racks > 0 && begun >= pool.Racks {
			return
		}
		if p.drainRack(allowance, r) && !r.begun {
			begun++
		}
	}
}

// allowance is what the budgets of a pool leave for a pass.
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
		budget:  current.PoolBudget(pool.Name, pool.Least),
		centres: make(map[string]*fleet.Budget),
	}
}

// take takes an instance out if the budgets of the pool and of its part in the
// data centre admit it.
func (a *allowance) take(i fleet.Instance) bool {
	if !a.budget.Admits(i) {
		return false
	}
	centre := a.centres[i.Centre]
	if centre == nil {
		b := a.fleet.CentreBudget(a.pool.Name, i.Centre, a.pool.Least)
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

// rack is a rack of a pool with instances left to maintain.
type rack struct {
	name    string
	begun   bool
	pending []int
}

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
			r.begun = true
		} else if i.IsServing() && i.Cycle < p.plan.Next.Cycle {
			r.pending = append(r.pending, position)
		}
	}
	slices.SortFunc(racks, compareRacks)
	return racks
}

func compareRacks(a, b *rack) int {
	if a.begun != b.begun {
		if a.begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.pending), len(a.pending)), cmp.Compare(a.name, b.name))
}

// drainRack drains what the budgets allow of a rack. It returns whether it
// drained any.
func (p *planner) drainRack(a *allowance, r *rack) (drained bool) {
	for _, position := range r.pending {
		if a.take(p.plan.Next.Instances[position]) {
			p.set(position, fleet.Draining, fleet.ByWave)
			drained = true
		}
	}
	return drained
}
