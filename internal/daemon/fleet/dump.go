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

// dumpTimeout bounds the time in which all owned cells have to return their state.
const dumpTimeout = time.Second

// DumpPath is the path of the dump on the metrics listener.
const DumpPath = "/dump"

// Dump is the state of an entry for operators. It contains no client keys.
type Dump struct {
	Name    string `json:"name"`
	IsReady bool   `json:"ready"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version int64           `json:"version"`
	Members []roster.Member `json:"members"`
	// Owners holds the current ownership of each cell that has an owner.
	Owners map[string]OwnerDump `json:"owners"`
	// Cells holds the state of each cell that this entry owns.
	Cells map[string]jobs.Dump `json:"cells"`
	// IsSteward is set if this entry is the steward, which moves and maintains
	// machines.
	IsSteward bool `json:"steward"`
	// Evacuated lists the evacuated data centres. AreEvacuationsOutdated is set while this
	// entry does not know them, and starts nothing.
	Evacuated              []string `json:"evacuated,omitempty"`
	AreEvacuationsOutdated bool     `json:"evacuations_outdated,omitempty"`
	// Waves lists the numbers of the known maintenance waves.
	Waves []int `json:"waves"`
}

// OwnerDump is the ownership of a cell: the name of the owning entry and its epoch.
type OwnerDump struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
}

// Dump returns the state of the entry. Cells whose owner does not answer within
// dumpTimeout are left out.
func (d *Daemon) Dump(ctx context.Context) Dump {
	dump := Dump{
		Name: d.self.Name, IsReady: d.IsReady(), Members: d.roster.Members(),
		Owners: make(map[string]OwnerDump), Cells: make(map[string]jobs.Dump),
		Evacuated: d.evacuations.centres(), AreEvacuationsOutdated: d.isOwner() && !d.evacuations.areKnown(),
	}
	if s := d.setup.Load(); s != nil {
		dump.Version = s.Version
		for _, cell := range append(configuredCells(s), stewardCell) {
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
		// An error means that the owner has just stopped or did not answer in time.
		if state, err := o.Dump(ctx); err == nil {
			dump.Cells[cell] = state
		}
	}
	return dump
}

// ServeDump writes the state of the entry as JSON.
func (d *Daemon) ServeDump(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(d.Dump(r.Context()))
}
