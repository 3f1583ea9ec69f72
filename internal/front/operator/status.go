package operator

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Status is a summary of the system for operators, as one entry sees it.
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

// EntryStatus is the state of one entry, with the revisions it has in force.
type EntryStatus struct {
	Entry   string `json:"entry"`
	Centre  string `json:"centre"`
	Config  uint64 `json:"config"`
	Fleet   uint64 `json:"fleet"`
	Leaving bool   `json:"leaving"`
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	// Serving and Out are the numbers of instances in and out of service.
	Serving int `json:"serving"`
	Out     int `json:"out"`
	// Due is the number of instances still to be maintained in the current cycle.
	Due    int          `json:"due"`
	Budget fleet.Budget `json:"budget"`
}

// DrainStatus is the state of an instance that is out of service.
type DrainStatus struct {
	Instance string       `json:"instance"`
	State    fleet.State  `json:"state"`
	Reason   fleet.Reason `json:"reason"`
	// Busy are the names of the entries whose work on the instance has not ended.
	Busy []string `json:"busy,omitempty"`
}

func (l *Listener) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, l.currentStatus())
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
		status.Entries = append(status.Entries, EntryStatus{m.Entry, m.Centre, m.InForce.Limits, m.Fleet, m.Leaving})
		for _, name := range m.Busy {
			busy[name] = append(busy[name], m.Entry)
		}
	}
	for _, i := range dump.Fleet.Instances {
		status.countInstance(i, dump.Fleet.Cycle, busy[i.Name])
	}
	l.addBudgets(&status, dump.Fleet)
	return status
}

// countInstance adds an instance to its pool, and to the drains if it is out of
// service. busy are the entries with work on it.
func (s *Status) countInstance(i fleet.Instance, cycle uint64, busy []string) {
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

// addBudgets sets the budgets of the pools in the document.
func (l *Listener) addBudgets(s *Status, current fleet.Fleet) {
	parsed, _ := l.config.Entry.Document()
	for _, p := range parsed.Pools {
		pool := s.Pools[p.Name]
		pool.Budget = current.PoolBudget(p.Name, p.MinShare)
		s.Pools[p.Name] = pool
	}
}
