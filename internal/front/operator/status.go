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
	Cycle    uint64                `json:"cycle"`
	Paused   bool                  `json:"paused"`
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
	// Due is the number of instances left to maintain in this cycle.
	Due    int          `json:"due"`
	Budget fleet.Budget `json:"budget"`
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
	write(w, http.StatusOK, l.currentStatus())
}

func (l *Listener) currentStatus() Status {
	dump := l.config.Entry.Dump()
	status := Status{
		Entry:    dump.Entry,
		Config:   dump.Config,
		Fleet:    dump.Fleet.Revision,
		Cycle:    dump.Fleet.Cycle,
		Paused:   dump.Fleet.IsPaused,
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
		status.count(i, dump.Fleet.Cycle, busy[i.Name])
	}
	l.addBudgets(&status, dump.Fleet)
	return status
}

// count adds an instance to its pool, and to the drains if it does not serve.
func (s *Status) count(i fleet.Instance, cycle uint64, busy []string) {
	pool := s.Pools[i.Pool]
	if i.IsServing() {
		pool.Serving++
	} else {
		pool.Out++
		s.Drains = append(s.Drains, DrainStatus{i.Name, i.State, i.Reason, busy})
	}
	if i.Cycle < cycle {
		pool.Due++
	}
	s.Pools[i.Pool] = pool
}

func (l *Listener) addBudgets(s *Status, current fleet.Fleet) {
	parsed, _ := l.config.Entry.Document()
	for _, p := range parsed.Pools {
		pool := s.Pools[p.Name]
		pool.Budget = current.PoolBudget(p.Name, p.MinShare)
		s.Pools[p.Name] = pool
	}
}
