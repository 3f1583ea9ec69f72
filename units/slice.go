package units

import (
	"cmp"
	"maps"
	"slices"
)

// Whole is the width of the interval that the slices of a table fill.
const Whole = 1_000_000

// Slice is the half-open interval [From, To) of [0, Whole).
type Slice struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Units returns how many of limit units belong to the slice. The results of
// adjacent slices add up to the limit exactly, whatever the limit is.
func (s Slice) Units(limit uint32) uint32 {
	upper := uint64(limit) * uint64(s.To) / Whole
	lower := uint64(limit) * uint64(s.From) / Whole
	return uint32(upper - lower)
}

// Table says which member holds which slice of every resource.
type Table struct {
	Revision uint64           `json:"revision"`
	Slices   map[string]Slice `json:"slices"`
}

// Units returns how many of limit units the member owns by this table.
func (t Table) Units(member string, limit uint32) uint32 {
	return t.Slices[member].Units(limit)
}

// IsWhole returns whether the slices fill the whole interval without overlap.
func (t Table) IsWhole() bool {
	held := slices.SortedFunc(maps.Values(t.Slices), func(a, b Slice) int { return cmp.Compare(a.From, b.From) })
	end := uint32(0)
	for _, s := range held {
		if s.From != end || s.To < s.From {
			return false
		}
		end = s.To
	}
	return end == Whole
}

// Split returns a table in which the members hold slices of equal width.
func Split(revision uint64, members []string) Table {
	table := Table{Revision: revision, Slices: make(map[string]Slice, len(members))}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, cmp.Compare[string])
	count := uint64(len(sorted))
	for i, member := range sorted {
		table.Slices[member] = Slice{
			From: uint32(Whole * uint64(i) / count),
			To:   uint32(Whole * uint64(i+1) / count),
		}
	}
	return table
}
