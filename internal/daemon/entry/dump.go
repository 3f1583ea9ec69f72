package entry

import (
	"runtime"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/peer"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Dump is the whole state of a daemon. It holds no keys and no digests of keys.
type Dump struct {
	Entry      string                   `json:"entry"`
	Centre     string                   `json:"centre"`
	Uptime     string                   `json:"uptime"`
	Ready      bool                     `json:"ready"`
	Leaving    bool                     `json:"leaving"`
	Isolated   bool                     `json:"isolated"`
	Suspect    bool                     `json:"suspect"`
	Reached    bool                     `json:"reached"`
	Age        string                   `json:"age"`
	Config     uint64                   `json:"config"`
	Fleet      fleet.Fleet              `json:"fleet"`
	Force      units.Revisions          `json:"force"`
	Table      TableDocument            `json:"table"`
	Members    []MemberDocument         `json:"members"`
	Steward    string                   `json:"steward"`
	Connected  []string                 `json:"connected"`
	Teams      []units.AccountDump      `json:"teams"`
	Slots      []units.AccountDump      `json:"slots"`
	Waiting    map[string]int           `json:"waiting"`
	Used       map[string]time.Duration `json:"used"`
	Open       int64                    `json:"open"`
	Calls      uint64                   `json:"calls"`
	Messages   peer.Counts              `json:"messages"`
	Goroutines int                      `json:"goroutines"`
	Memory     uint64                   `json:"memory"`
}

// Dump returns the state at this moment.
func (e *Entry) Dump() Dump {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	now := e.config.Timer.Now()
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
		Force:      e.state.inForce,
		Table:      e.state.table,
		Steward:    e.state.steward,
		Connected:  e.mesh.Connected(),
		Teams:      e.teams.Dump(),
		Slots:      e.slots.Dump(),
		Waiting:    e.dispatcher.Waiting(),
		Used:       e.dispatcher.Used(),
		Open:       e.listener.Open(),
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
