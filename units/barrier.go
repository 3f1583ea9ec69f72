package units

import (
	"cmp"
	"slices"
)

// Limits holds the capacity of every resource at one revision.
type Limits struct {
	Revision uint64            `json:"revision"`
	Units    map[string]uint32 `json:"units"`
}

// Force names the newest revisions that a member has in force: what it uses
// and has lent fits its share at them and at every older one that another
// member may still go by.
type Force struct {
	Limits uint64 `json:"limits"`
	Table  uint64 `json:"table"`
}

// Barrier computes the share of one member while the members of the group are
// on different revisions of the limits and of the table.
//
// A member uses the least of its shares over all revisions from the oldest
// that may still be in force somewhere up to its own. There is then always one
// revision that lies in the range of every member, and the shares at one
// revision add up to the limit.
//
// A Barrier is not safe for concurrent use.
type Barrier struct {
	self    string
	limits  history[Limits]
	tables  history[Table]
	reports map[string]Force
}

// NewBarrier returns a Barrier for the named member. It shares out nothing
// until both a table and limits were added.
func NewBarrier(self string) *Barrier {
	return &Barrier{self: self, reports: make(map[string]Force)}
}

// AddLimits adds limits together with those before them back to the oldest
// that may still be in force somewhere. Revisions already known are skipped.
func (b *Barrier) AddLimits(added []Limits) { b.limits.add(added) }

// AddTables does for tables what AddLimits does for limits.
func (b *Barrier) AddTables(added []Table) { b.tables.add(added) }

// Newest returns the newest revisions known here, whether or not in force.
func (b *Barrier) Newest() Force {
	return Force{Limits: b.limits.newest(), Table: b.tables.newest()}
}

// Report notes what a member has in force. Reports may arrive late or twice:
// only an advance counts.
func (b *Barrier) Report(member string, force Force) {
	known := b.reports[member]
	known.Limits = max(known.Limits, force.Limits)
	known.Table = max(known.Table, force.Table)
	b.reports[member] = known
	b.advance()
}

// Forget drops the reports of a member that is gone for good.
func (b *Barrier) Forget(member string) { delete(b.reports, member) }

// Reported returns what the member last reported, zero if it never did.
func (b *Barrier) Reported(member string) Force {
	return b.reports[member]
}

// Table returns the newest table; ok is false before the first.
func (b *Barrier) Table() (table Table, ok bool) {
	if len(b.tables) == 0 {
		return Table{}, false
	}
	return b.tables[len(b.tables)-1], true
}

// Limits returns the limits from the oldest that may still be in force
// somewhere to the newest.
func (b *Barrier) Limits() []Limits {
	return slices.Clone(b.limits)
}

// Tables returns the tables from the oldest that may still be in force
// somewhere to the newest.
func (b *Barrier) Tables() []Table {
	return slices.Clone(b.tables)
}

// Share returns how many units of the resource the member may use now.
func (b *Barrier) Share(name string) uint32 {
	if len(b.limits) == 0 || len(b.tables) == 0 {
		return 0
	}
	least := uint32(1<<32 - 1)
	for _, l := range b.limits {
		for _, t := range b.tables {
			least = min(least, t.Units(b.self, l.Units[name]))
		}
	}
	return least
}

// Settle puts the newest revisions in force if fits returns true: the caller
// compares what it uses and has lent with Share. It returns what is in force.
func (b *Barrier) Settle(fits func() bool) Force {
	newest := b.Newest()
	if b.reports[b.self] == newest || !fits() {
		return b.reports[b.self]
	}
	b.Report(b.self, newest)
	return newest
}

// Missing returns the holders of the newest table that have not reported
// revisions at or past those given, sorted by name.
func (b *Barrier) Missing(force Force) (missing []string) {
	table, _ := b.Table()
	for member := range table.Slices {
		known := b.reports[member]
		if known.Limits < force.Limits || known.Table < force.Table {
			missing = append(missing, member)
		}
	}
	slices.SortFunc(missing, cmp.Compare[string])
	return missing
}

// advance drops the revisions that no holder of the newest table goes by any
// longer. Members outside it are known to be gone or own nothing.
func (b *Barrier) advance() {
	table, ok := b.Table()
	if !ok || len(table.Slices) == 0 {
		return
	}
	oldest := b.Newest()
	for member := range table.Slices {
		oldest.Limits = min(oldest.Limits, b.reports[member].Limits)
		oldest.Table = min(oldest.Table, b.reports[member].Table)
	}
	b.limits.drop(oldest.Limits)
	b.tables.drop(oldest.Table)
}
