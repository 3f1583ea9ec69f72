package steward

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides
	// it.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "80")
}

// world models a fleet with entries, stewards, operators and a platform list that is
// out of date. It checks the invariants at every new revision of the fleet.
type world struct {
	document document.Document
	fleet    fleet.Fleet
	// machines holds the actual state of the instances; live is the platform's list,
	// which may be out of date.
	machines map[string]*machineModel
	live     map[string]platform.Instance
	entries  []*entryModel
	// staleSnapshots are the snapshots of stewards that are suspended and later plan
	// from them.
	staleSnapshots []Snapshot
}

// machineModel is the actual state of an instance.
type machineModel struct {
	platform.Instance
	isUp bool
	boot int
}

// entryModel is an entry with the fleet document that it has last received and the
// number of its runs by instance.
type entryModel struct {
	name    string
	fleet   fleet.Fleet
	running map[string]int
	// reportedRevision and reportedBusy are the fleet revision and the busy instances
	// that the entry has last reported to the steward.
	reportedRevision uint64
	reportedBusy     []string
}

func newWorld(t *rapid.T) *world {
	w := &world{machines: make(map[string]*machineModel)}
	for _, name := range []string{"a", "b", "spare"} {
		minShare := rapid.SampledFrom([]float64{0, 0.5, 0.75}).Draw(t, "least")
		w.document.Pools = append(w.document.Pools, document.Pool{Name: name, MinShare: minShare, MaxRacksOut: rapid.IntRange(0, 2).Draw(t, "racks")})
	}
	w.document.SparePool = "spare"
	count := rapid.IntRange(2, 12).Draw(t, "instances")
	for i := range count {
		w.addMachine(fmt.Sprintf("i%d", i), []string{"a", "b"}[i%2], i)
	}
	for i := range 3 {
		w.entries = append(w.entries, &entryModel{name: fmt.Sprintf("e%d", i), running: make(map[string]int)})
	}
	w.refreshLive()
	return w
}

func (w *world) addMachine(name, pool string, number int) {
	w.machines[name] = &machineModel{isUp: true, Instance: platform.Instance{
		Name: name, Pool: pool, Centre: fmt.Sprintf("c%d", number%2), Rack: fmt.Sprintf("r%d", number/3),
		Slots: uint32(4 + 4*(number%2)),
	}}
}

// refreshLive updates the platform's list.
func (w *world) refreshLive() {
	w.live = make(map[string]platform.Instance)
	for name, m := range w.machines {
		if m.isUp {
			i := m.Instance
			i.BootID = fmt.Sprint(m.boot)
			w.live[name] = i
		}
	}
}

func (w *world) snapshot() Snapshot {
	entries := make([]entryModel, len(w.entries))
	for i, e := range w.entries {
		entries[i] = *e
		entries[i].reportedBusy = slices.Clone(e.reportedBusy)
	}
	return Snapshot{Fleet: w.fleet, Document: w.document, Live: w.live, BusyEntries: func(name string, since uint64) (busy []string) {
		for _, e := range entries {
			if e.reportedRevision < since || slices.Contains(e.reportedBusy, name) {
				busy = append(busy, e.name)
			}
		}
		return busy
	}}
}

// plan plans from a snapshot and writes the result if the fleet is still at the
// revision of the snapshot.
func (w *world) plan(t *rapid.T, s Snapshot) {
	p := NewPlan(s)
	if p.Changes > 0 && s.Fleet.Revision == w.fleet.Revision {
		w.write(t, p.Next)
	}
}

// write applies a compare-and-swap that succeeded and checks the invariants.
func (w *world) write(t *rapid.T, next fleet.Fleet) {
	before := w.fleet
	w.fleet = next
	if next.Revision != before.Revision+1 {
		t.Fatalf("revision %d after %d", next.Revision, before.Revision)
	}
	seen := make(map[string]bool)
	for _, i := range next.Instances {
		if seen[i.Name] {
			t.Fatalf("%s is in the fleet twice", i.Name)
		}
		seen[i.Name] = true
		if w.poolOf(i.Pool) == nil {
			t.Fatalf("%s is in pool %q, which does not exist", i.Name, i.Pool)
		}
		w.checkStep(t, before, i)
	}
	for _, i := range before.Instances {
		if !seen[i.Name] {
			t.Fatalf("%s is no longer in the fleet", i.Name)
		}
	}
	w.checkBudgets(t, before, next)
}

func (w *world) poolOf(name string) *document.Pool {
	for i := range w.document.Pools {
		if w.document.Pools[i].Name == name {
			return &w.document.Pools[i]
		}
	}
	return nil
}

// checkStep checks that an instance does not reboot while an entry runs work on it, and
// that it changes its pool only after a drain.
func (w *world) checkStep(t *rapid.T, before fleet.Fleet, i fleet.Instance) {
	position := before.Find(i.Name)
	if position < 0 {
		return
	}
	old := before.Instances[position]
	if i.State == fleet.Rebooting && old.State != fleet.Rebooting {
		for _, e := range w.entries {
			if e.running[i.Name] > 0 {
				t.Fatalf("%s reboots while %s runs work there", i.Name, e.name)
			}
		}
	}
	isMoving := old.State == fleet.Draining && old.Reason == fleet.ByMove
	if i.Pool != old.Pool && !isMoving {
		t.Fatalf("%s changed its pool without a drain", i.Name)
	}
}

// checkBudgets checks that a step which takes an instance of a pool out of service as
// planned leaves the minimum share of the pool's slots in service.
func (w *world) checkBudgets(t *rapid.T, before, next fleet.Fleet) {
	for _, pool := range w.document.Pools {
		if !hasPlannedStop(before, next, pool.Name) {
			continue
		}
		total, serving := 0.0, 0.0
		for _, i := range next.Instances {
			if i.Pool != pool.Name {
				continue
			}
			total += float64(i.Slots)
			if i.IsServing() {
				serving += float64(i.Slots)
			}
		}
		if serving < total*pool.MinShare-1e-9 {
			t.Fatalf("pool %s: %g of %g slots serve after a planned stop, the minimum share is %g", pool.Name, serving, total, pool.MinShare)
		}
	}
}

// hasPlannedStop reports whether a wave, an operator or a move has taken an instance of
// the pool out of service. Failures and removals by the platform are not planned.
func hasPlannedStop(before, next fleet.Fleet, pool string) bool {
	for _, i := range next.Instances {
		position := before.Find(i.Name)
		isPlanned := i.Reason == fleet.ByWave || i.Reason == fleet.ByOperator || i.Reason == fleet.ByMove
		if i.Pool == pool && isPlanned && !i.IsServing() && position >= 0 && before.Instances[position].IsServing() {
			return true
		}
	}
	return false
}

func (w *world) pickMachine(t *rapid.T) *machineModel {
	names := make([]string, 0, len(w.machines))
	for name := range w.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return w.machines[rapid.SampledFrom(names).Draw(t, "machine")]
}

func (w *world) pickEntry(t *rapid.T) *entryModel {
	return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
}

// report sends the steward the fleet revision of the entry and the instances out of
// service on which it runs work.
func (e *entryModel) report() {
	e.reportedRevision = e.fleet.Revision
	e.reportedBusy = nil
	for _, i := range e.fleet.Instances {
		if !i.IsServing() && e.running[i.Name] > 0 {
			e.reportedBusy = append(e.reportedBusy, i.Name)
		}
	}
}

func TestMaintenanceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	pass := func(t *rapid.T) { w.plan(t, w.snapshot()) }
	observe := func(t *rapid.T) { w.pickEntry(t).fleet = w.fleet }
	report := func(t *rapid.T) { w.pickEntry(t).report() }
	return map[string]func(*rapid.T){
		"pass": pass, "pass2": pass, "pass3": pass,
		"observe": observe, "observe2": observe, "observe3": observe,
		"report": report, "report2": report, "report3": report,
		"all": func(*rapid.T) {
			for _, e := range w.entries {
				e.fleet = w.fleet
				e.report()
			}
		},
		"list": func(*rapid.T) { w.refreshLive() },
		"freeze": func(*rapid.T) {
			w.staleSnapshots = append(w.staleSnapshots, w.snapshot())
		},
		"thaw": func(t *rapid.T) {
			if len(w.staleSnapshots) == 0 {
				t.Skip("no suspended steward")
			}
			w.plan(t, w.staleSnapshots[0])
			w.staleSnapshots = w.staleSnapshots[1:]
		},
		"cycle": func(t *rapid.T) {
			next := w.fleet.Next()
			next.Cycle++
			w.write(t, next)
		},
		"start": func(t *rapid.T) { w.startWork(t) },
		"end": func(t *rapid.T) {
			e, m := w.pickEntry(t), w.pickMachine(t)
			e.running[m.Name] = max(e.running[m.Name]-1, 0)
		},
		"endAll": func(t *rapid.T) { clear(w.pickEntry(t).running) },
		"fail":   func(t *rapid.T) { w.pickMachine(t).isUp = false },
		"repair": func(t *rapid.T) { w.repair(t) },
		"reboot": func(t *rapid.T) { w.reboot(t) },
		"leaving": func(t *rapid.T) {
			m := w.pickMachine(t)
			m.IsLeaving = !m.IsLeaving
		},
		"drain":  func(t *rapid.T) { w.drain(t) },
		"return": func(t *rapid.T) { w.returnToService(t) },
		"move":   func(t *rapid.T) { w.move(t) },
		"new": func(t *rapid.T) {
			if len(w.machines) < 14 {
				w.addMachine(fmt.Sprintf("n%d", len(w.machines)), rapid.SampledFrom([]string{"a", "b", "other"}).Draw(t, "pool"), len(w.machines))
			}
		},
	}
}

// startWork starts work on an instance that serves according to the entry's fleet
// document, which may be out of date.
func (w *world) startWork(t *rapid.T) {
	e, m := w.pickEntry(t), w.pickMachine(t)
	position := e.fleet.Find(m.Name)
	if position >= 0 && e.fleet.Instances[position].IsServing() {
		e.running[m.Name]++
	}
}

func (w *world) repair(t *rapid.T) {
	if m := w.pickMachine(t); !m.isUp {
		m.isUp = true
		m.boot++
	}
}

// reboot completes the platform's maintenance of an instance that is to be rebooted.
func (w *world) reboot(t *rapid.T) {
	m := w.pickMachine(t)
	if position := w.fleet.Find(m.Name); position >= 0 && w.fleet.Instances[position].State == fleet.Rebooting {
		m.boot++
	}
}

func (w *world) drain(t *rapid.T) {
	m := w.pickMachine(t)
	next := w.fleet.Next()
	if isChanged, err := Drain(&next, w.document, m.Name); err == nil && isChanged {
		w.write(t, next)
	}
}

func (w *world) returnToService(t *rapid.T) {
	m := w.pickMachine(t)
	next := w.fleet.Next()
	if isChanged, err := Return(&next, m.Name); err == nil && isChanged {
		w.write(t, next)
	}
}

func (w *world) move(t *rapid.T) {
	m := w.pickMachine(t)
	next := w.fleet.Next()
	target := rapid.SampledFrom(w.document.Pools).Draw(t, "target").Name
	if isChanged, err := Move(&next, w.document, m.Name, target); err == nil && isChanged {
		w.write(t, next)
	}
}
