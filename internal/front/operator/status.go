package operator

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Status is the short view of the system that operators start from.
type Status struct {
	Entry    string                `json:"entry"`
	Config   uint64                `json:"config"`
	Fleet    uint64                `json:"fleet"`
	Reached  bool                  `json:"reached"`
	Isolated bool                  `json:"isolated"`
	Entries  []EntryStatus         `json:"entries"`
	Pools    map[string]PoolStatus `json:"pools"`
	Drains   []DrainStatus         `json:"drains"`
	Waiting  map[string]int        `json:"waiting"`
}

// EntryStatus is what one entry has in force.
type EntryStatus struct {
	Entry   string `json:"entry"`
	Centre  string `json:"centre"`
	Config  uint64 `json:"config"`
	Fleet   uint64 `json:"fleet"`
	Leaving bool   `json:"leaving"`
}

// PoolStatus counts the instances of a pool.
type PoolStatus struct {
	Serving int `json:"serving"`
	Out     int `json:"out"`
}

// DrainStatus is one instance that does not serve, with what holds it up.
type DrainStatus struct {
	Instance string       `json:"instance"`
	State    fleet.State  `json:"state"`
	Reason   fleet.Reason `json:"reason"`
	// Busy are the entries that still have work there.
	Busy []string `json:"busy,omitempty"`
}

func (l *Listener) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	dump := l.config.Entry.Dump()
	status := Status{
		Entry:    dump.Entry,
		Config:   dump.Config,
		Fleet:    dump.Fleet.Revision,
		Reached:  dump.Reached,
		Isolated: dump.Isolated,
		Pools:    make(map[string]PoolStatus),
		Waiting:  dump.Waiting,
	}
	busy := make(map[string][]string)
	for _, m := range dump.Members {
		status.Entries = append(status.Entries, EntryStatus{m.Entry, m.Centre, m.Force.Limits, m.Fleet, m.Leaving})
		for _, name := range m.Busy {
			busy[name] = append(busy[name], m.Entry)
		}
	}
	for _, i := range dump.Fleet.Instances {
		pool := status.Pools[i.Pool]
		if i.IsServing() {
			pool.Serving++
		} else {
			pool.Out++
			status.Drains = append(status.Drains, DrainStatus{i.Name, i.State, i.Reason, busy[i.Name]})
		}
		status.Pools[i.Pool] = pool
	}
	write(w, http.StatusOK, status)
}
