package fleet

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// ordersOnRequest is the one way of giving orders that is built.
const ordersOnRequest = "request"

// Settings is what an entry that serves jobs reads at its start.
type Settings struct {
	// Name is the name of the instance, Centre its data centre.
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Submitters, Ready, Peer and Metrics are the addresses to listen on.
	Submitters netip.AddrPort `json:"submitters"`
	Ready      netip.AddrPort `json:"ready"`
	Peer       netip.AddrPort `json:"peer"`
	Metrics    netip.AddrPort `json:"metrics"`
	// Store, Cloud and Advice are the platform's addresses; the latter two may be
	// left out.
	Store  netip.AddrPort `json:"store"`
	Cloud  netip.AddrPort `json:"cloud,omitzero"`
	Advice netip.AddrPort `json:"advice,omitzero"`
	// Relay lets an entry that does not reach the store ask it through a peer.
	// Without it, its cells go to other entries.
	Relay bool `json:"relay,omitempty"`
	// Orders says how endpoints get their orders.
	Orders string `json:"orders"`
	// Memory is what the process may use, in megabytes; 0 if it is not bounded.
	Memory int64 `json:"memory,omitempty"`
	// Power is the processor time of the instance, in cores; 0 if it is not known.
	Power float64 `json:"power,omitempty"`
	// Stop is how long the process has between SIGTERM and its end, in seconds.
	Stop float64 `json:"stop"`
	// Bounds are the installation's figures, in milliseconds where they are times.
	Bounds struct {
		// Hold is the longest grant that endpoints take, Lease how long a holder of
		// machines must have been silent before the next one orders them.
		Hold  int64 `json:"hold"`
		Lease int64 `json:"lease"`
		// Kept is how long an ended job stays known, in seconds.
		Kept float64 `json:"kept"`
	} `json:"bounds"`
	// Level is the least severity that is logged.
	Level string `json:"level,omitempty"`
}

// ReadSettings reads and checks a settings file. A *fault.ListError in the error
// holds every fault in it.
func ReadSettings(path string) (settings Settings, err error) {
	defer fault.Annotate(&err, "settings file %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(data)
}

// ParseSettings checks settings.
func ParseSettings(data []byte) (settings Settings, err error) {
	if err := json.Unmarshal(data, &settings); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

// IsFleet tells whether settings are those of an entry that serves jobs.
func IsFleet(data []byte) bool {
	var probe struct {
		Submitters *json.RawMessage `json:"submitters"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Submitters != nil
}

func (s *Settings) check() error {
	list := &fault.ValidationError{}
	for _, each := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"/submitters", s.Submitters},
		{"/ready", s.Ready},
		{"/peer", s.Peer},
		{"/metrics", s.Metrics},
		{"/store", s.Store},
	} {
		if !each.address.IsValid() {
			list.Add(each.path, "no address is given")
		}
	}
	if s.Name == "" {
		list.Add("/name", "is empty")
	}
	if s.Orders != ordersOnRequest {
		list.Add("/orders", "%q is not served, only %q is", s.Orders, ordersOnRequest)
	}
	if s.Stop <= 0 {
		list.Add("/stop", "is not positive")
	}
	if s.Bounds.Hold < minHold.Milliseconds() {
		list.Add("/bounds/hold", "is below %s", minHold)
	}
	return list.Err()
}

const (
	// minHold is the shortest grant that outlasts a takeover.
	minHold = 2 * time.Second
	// wantedHold covers a takeover: a lease of 3 s, the turn of the next entry,
	// reading the state and looking at all endpoints. Longer grants make the
	// tasks of a lost endpoint wait longer.
	wantedHold = 5 * time.Second
)

// bounds returns the figures of the cells.
func (s *Settings) bounds() jobs.Bounds {
	b := jobs.DefaultBounds()
	b.Grant = min(wantedHold, time.Duration(s.Bounds.Hold)*time.Millisecond)
	if s.Bounds.Kept > 0 {
		b.Retention = time.Duration(s.Bounds.Kept * float64(time.Second))
	}
	return b
}
