package entry

import (
	"runtime"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/peer"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Dump is the state of a daemon as operators see it. It holds no keys and no
// digests of keys.
type Dump struct {
	Entry  string `json:"entry"`
	Centre string `json:"centre"`
	// Uptime and Age are durations in Go's notation. Age is the time since the
	// documents were last known to be the newest.
	Uptime   string `json:"uptime"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Isolated bool   `json:"isolated"`
	// Suspect tells that the documents have not been confirmed since a long
	// pause of the process.
	Suspect bool `json:"suspect"`
	// Reached tells whether the platform is reachable.
	Reached bool        `json:"reached"`
	Age     string      `json:"age"`
	Config  uint64      `json:"config"`
	Fleet   fleet.Fleet `json:"fleet"`
	// InForce are the revisions in force at this entry.
	InForce   units.Revisions     `json:"force"`
	Table     TableDocument       `json:"table"`
	Members   []MemberDocument    `json:"members"`
	Steward   string              `json:"steward"`
	Connected []string            `json:"connected"`
	Teams     []units.AccountDump `json:"teams"`
	Slots     []units.AccountDump `json:"slots"`
	// Waiting is the number of waiting requests by pool, Used the slot time
	// used by each team since the start, in nanoseconds.
	Waiting map[string]int           `json:"waiting"`
	Used    map[string]time.Duration `json:"used"`
	// Open is the number of open requests, Calls that of all calls to the
	// platform since the start.
	Open       int64       `json:"open"`
	Calls      uint64      `json:"calls"`
	Messages   peer.Counts `json:"messages"`
	Goroutines int         `json:"goroutines"`
	// Memory is the size of the heap and stacks in use, in bytes.
	Memory uint64 `json:"memory"`
}

// Dump returns the current state.
func (e *Entry) Dump() Dump {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	dump := Dump{
		Entry:      e.id,
		Centre:     e.settings.Centre,
		Uptime:     now.Sub(e.started).String(),
		Ready:      e.IsReady(),
		Leaving:    e.isLeaving.Load(),
		Isolated:   e.isIsolated.Load(),
		Suspect:    e.state.isSuspect,
		Reached:    e.state.isReachable,
		Age:        now.Sub(e.state.freshAt).String(),
		Config:     e.state.config.Revision,
		Fleet:      e.state.fleet,
		InForce:    e.state.inForce,
		Table:      e.state.table,
		Steward:    e.state.steward,
		Connected:  e.mesh.Connected(),
		Teams:      e.teams.Dump(),
		Slots:      e.slots.Dump(),
		Waiting:    e.dispatcher.Waiting(),
		Used:       e.dispatcher.UsedSlotTime(),
		Open:       e.listener.OpenRequests(),
		Calls:      e.platform.Calls(),
		Messages:   e.mesh.Counts(),
		Goroutines: runtime.NumGoroutine(),
		Memory:     memory.HeapInuse + memory.StackInuse,
	}
	for _, m := range e.state.aliveMembers(now) {
		dump.Members = append(dump.Members, m.MemberDocument)
	}
	return dump
}
