package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// dumpTimeout bounds the answer of a cell.
const dumpTimeout = time.Second

// DumpPath is where the metrics listener shows the state.
const DumpPath = "/dump"

// Dump is the state of an entry, without keys.
type Dump struct {
	Name    string          `json:"name"`
	IsReady bool            `json:"ready"`
	Version int64           `json:"version"`
	Members []roster.Member `json:"members"`
	// Owners says who owns each cell, and under which epoch.
	Owners map[string]OwnerDump `json:"owners"`
	// Cells are those that this entry owns.
	Cells map[string]jobs.Dump `json:"cells"`
	// IsSteward says that this entry moves and maintains machines.
	IsSteward bool `json:"steward"`
	// Waves are the maintenance waves that are known.
	Waves []int `json:"waves"`
}

// OwnerDump is the ownership of a cell.
type OwnerDump struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
}

// Dump returns the state of the entry.
func (d *Daemon) Dump(ctx context.Context) Dump {
	dump := Dump{
		Name: d.self.Name, IsReady: d.IsReady(), Members: d.roster.Members(),
		Owners: make(map[string]OwnerDump), Cells: make(map[string]jobs.Dump),
	}
	if s := d.setup.Load(); s != nil {
		dump.Version = s.Version
		for _, cell := range append(cellsOf(s), stewardCell) {
			if o, isKnown := d.roster.Owner(cell); isKnown {
				dump.Owners[cell] = OwnerDump{Name: o.Name, Epoch: o.Revision}
			}
		}
	}
	d.mu.Lock()
	owners := maps.Clone(d.owners)
	dump.IsSteward = d.steward != nil
	for _, w := range d.waves {
		dump.Waves = append(dump.Waves, w.wave.Number)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	for cell, o := range owners {
		// A cell whose owner has just ended is left out.
		if state, err := o.Dump(ctx); err == nil {
			dump.Cells[cell] = state
		}
	}
	return dump
}

// ServeDump answers with the state of the entry.
func (d *Daemon) ServeDump(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(d.Dump(r.Context()))
}
