package units

import (
	"cmp"
	"slices"
)

// Limits holds the limit of every resource, by name, at one revision.
type Limits struct {
	Revision uint64            `json:"revision"`
	Units    map[string]uint32 `json:"units"`
}

// Revisions is a pair of revisions, one of the limits and one of the table. A
// member has them in force if the units that it uses and has lent fit its
// share at these revisions and at every older one that another member may still
// have in force.
type Revisions struct {
	Limits uint64 `json:"limits"`
	Table  uint64 `json:"table"`
}

// Barrier computes the share of one member while the members of the group are
// on different revisions of the limits and of the table.
//
// The share of a member is the minimum of its shares over all revisions from the
// oldest that any member may still have in force to the newest known here. The
// ranges of all members then have one revision in common, and since the shares
// at one revision add up to the limit, the members together stay within it.
//
// A Barrier is not safe for concurrent use.
type Barrier struct {
	self    string
	limits  history[Limits]
	tables  history[Table]
	reports map[string]Revisions
}

// NewBarrier returns a Barrier for the named member. Its shares are 0 until
// both limits and a table have been added.
func NewBarrier(self string) *Barrier {
	return &Barrier{self: self, reports: make(map[string]Revisions)}
}

// AddLimits adds revisions of the limits. The argument must be in ascending order
// and begin with the oldest revision that any member may still have in force:
// older known revisions are dropped. Known revisions are skipped.
func (b *Barrier) AddLimits(added []Limits) { b.limits.add(added) }

// AddTables adds revisions of the table, under the same rules as AddLimits.
func (b *Barrier) AddTables(added []Table) { b.tables.add(added) }

// Newest returns the newest known revisions, whether in force or not. A revision
// is 0 if none is known.
func (b *Barrier) Newest() Revisions {
	return Revisions{Limits: b.limits.newest(), Table: b.tables.newest()}
}

// Report records the revisions that a member has in force and drops the
// revisions that become obsolete. Reports may be late or duplicated: a revision
// lower than the recorded one is ignored.
func (b *Barrier) Report(member string, revisions Revisions) {
	reported := b.reports[member]
	reported.Limits = max(reported.Limits, revisions.Limits)
	reported.Table = max(reported.Table, revisions.Table)
	b.reports[member] = reported
	b.dropObsolete()
}

// Forget deletes the report of a member that will not return.
func (b *Barrier) Forget(member string) { delete(b.reports, member) }

// Reported returns the newest revisions that the member has reported as in force,
// or zero if it has reported none.
func (b *Barrier) Reported(member string) Revisions {
	return b.reports[member]
}

// Table returns the newest table; ok is false if none has been added.
func (b *Barrier) Table() (table Table, ok bool) {
	if len(b.tables) == 0 {
		return Table{}, false
	}
	return b.tables[len(b.tables)-1], true
}

// Limits returns a copy of the limits, from the oldest revision that any member
// may still have in force to the newest.
func (b *Barrier) Limits() []Limits {
	return slices.Clone(b.limits)
}

// Tables returns a copy of the tables, from the oldest revision that any member
// may still have in force to the newest.
func (b *Barrier) Tables() []Table {
	return slices.Clone(b.tables)
}

// Share returns the number of units of the resource that the member may use and
// lend now. It is 0 without limits or without a table.
func (b *Barrier) Share(name string) uint32 {
	if len(b.limits) == 0 || len(b.tables) == 0 {
		return 0
	}
	share := uint32(1<<32 - 1)
	for _, l := range b.limits {
		for _, t := range b.tables {
			share = min(share, t.Units(b.self, l.Units[name]))
		}
	}
	return share
}

// ApplyNewest puts the newest revisions in force if fits returns true, and returns
// the revisions in force. fits must return whether the units that the member
// uses and has lent are within Share for every resource. It is not called if
// the newest revisions are in force already.
func (b *Barrier) ApplyNewest(fits func() bool) Revisions {
	newest := b.Newest()
	if b.reports[b.self] == newest || !fits() {
		return b.reports[b.self]
	}
	b.Report(b.self, newest)
	return newest
}

// MembersBehind returns the members in the newest table that have not reported the
// given revisions, or newer ones, as in force. The names are sorted.
func (b *Barrier) MembersBehind(revisions Revisions) (behind []string) {
	table, _ := b.Table()
	for member := range table.Slices {
		reported := b.reports[member]
		if reported.Limits < revisions.Limits || reported.Table < revisions.Table {
			behind = append(behind, member)
		}
	}
	slices.SortFunc(behind, cmp.Compare[string])
	return behind
}

// dropObsolete drops the revisions older than those that every member in the
// newest table has in force. Members that are not in that table are known to have
// ended or own no units.
func (b *Barrier) dropObsolete() {
	table, ok := b.Table()
	if !ok || len(table.Slices) == 0 {
		return
	}
	oldest := b.Newest()
	for member := range table.Slices {
		oldest.Limits = min(oldest.Limits, b.reports[member].Limits)
		oldest.Table = min(oldest.Table, b.reports[member].Table)
	}
	b.limits.dropBefore(oldest.Limits)
	b.tables.dropBefore(oldest.Table)
}
