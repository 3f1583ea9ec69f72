package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
)

// printEvacuated prints a table of the evacuated data centres with the number of runs that
// are left there in each cell, and the entries that do not know which ones are evacuated. It
// prints nothing if there are neither.
func printEvacuated(w io.Writer, dumps []fleet.Dump) {
	rows := evacuationRows(dumps)
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(w, "\nEVACUATED\tCELL\tRUNS LEFT")
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
}

// evacuationRows returns the rows of the table, those of a data centre together.
func evacuationRows(dumps []fleet.Dump) (rows []string) {
	centres := make(map[string]bool)
	for _, dump := range dumps {
		for _, centre := range dump.Evacuated {
			centres[centre] = true
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(centres)) {
		rows = append(rows, cellRows(dumps, centre)...)
	}
	for _, dump := range dumps {
		if dump.AreEvacuationsOutdated {
			rows = append(rows, fmt.Sprintf("not known\tat %s\t-", dump.Name))
		}
	}
	return rows
}

// cellRows returns a row for each cell that knows of the evacuation of a data centre, or one
// row without a cell.
func cellRows(dumps []fleet.Dump, centre string) (rows []string) {
	for _, dump := range dumps {
		for _, cell := range slices.Sorted(maps.Keys(dump.Cells)) {
			if runs, isKnown := dump.Cells[cell].Evacuated[centre]; isKnown {
				rows = append(rows, fmt.Sprintf("%s\t%s\t%d", centre, cell, runs))
			}
		}
	}
	if len(rows) == 0 {
		rows = append(rows, centre+"\t-\t-")
	}
	return rows
}
