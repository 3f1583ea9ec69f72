package units

import (
	"cmp"
	"maps"
	"slices"
)

// IntervalWidth is the width of the interval that the slices of a table must
// cover.
const IntervalWidth = 1_000_000

// Slice is the half-open interval [From, To) within [0, IntervalWidth). Its
// member owns the fraction (To-From)/IntervalWidth of every limit, up to
// rounding.
type Slice struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Units returns the number of units, out of limit, that belong to the slice.
// Both ends are rounded down, so that the units of slices that cover the
// interval without overlap add up to exactly limit.
func (s Slice) Units(limit uint32) uint32 {
	upper := uint64(limit) * uint64(s.To) / IntervalWidth
	lower := uint64(limit) * uint64(s.From) / IntervalWidth
	return uint32(upper - lower)
}

// Table assigns each member one slice, which applies to every resource.
type Table struct {
	Revision uint64           `json:"revision"`
	Slices   map[string]Slice `json:"slices"`
}

// Units returns the number of units, out of limit, that the member owns under
// this table. It is 0 for a member without a slice.
func (t Table) Units(member string, limit uint32) uint32 {
	return t.Slices[member].Units(limit)
}

// IsComplete returns whether the slices cover the interval [0, IntervalWidth)
// without gap or overlap.
func (t Table) IsComplete() bool {
	sorted := slices.SortedFunc(maps.Values(t.Slices), func(a, b Slice) int { return cmp.Compare(a.From, b.From) })
	end := uint32(0)
	for _, s := range sorted {
		if s.From != end || s.To < s.From {
			return false
		}
		end = s.To
	}
	return end == IntervalWidth
}

// NewEqualTable returns a table that assigns the members slices of equal width,
// up to rounding, in the order of their names. The names must be unique. Without
// members the table is empty.
func NewEqualTable(revision uint64, members []string) Table {
	table := Table{Revision: revision, Slices: make(map[string]Slice, len(members))}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, cmp.Compare[string])
	count := uint64(len(sorted))
	for i, member := range sorted {
		table.Slices[member] = Slice{
			From: uint32(IntervalWidth * uint64(i) / count),
			To:   uint32(IntervalWidth * uint64(i+1) / count),
		}
	}
	return table
}
