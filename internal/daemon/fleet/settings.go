package fleet

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// ordersOnRequest is the only supported value of Settings.Orders: each order is a
// request to the endpoint.
const ordersOnRequest = "request"

// Settings are the settings of an entry that serves jobs, read from its settings file.
type Settings struct {
	// Name is the name of the instance, Centre its data centre.
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Submitters, Ready, Peer and Metrics are the addresses to listen on, for
	// submitters, readiness checks, other entries, and metrics with the dump.
	Submitters netip.AddrPort `json:"submitters"`
	Ready      netip.AddrPort `json:"ready"`
	Peer       netip.AddrPort `json:"peer"`
	Metrics    netip.AddrPort `json:"metrics"`
	// Store, Cloud and Advice are the addresses of the platform's services. Cloud and
	// Advice are optional.
	Store  netip.AddrPort `json:"store"`
	Cloud  netip.AddrPort `json:"cloud,omitzero"`
	Advice netip.AddrPort `json:"advice,omitzero"`
	// Relay lets an entry that does not reach the store directly call it through a
	// peer. Without Relay, such an entry loses its cells to other entries.
	Relay bool `json:"relay,omitempty"`
	// Forecast predicts run times from the distribution of finished runs instead of by
	// their mean.
	Forecast bool `json:"forecast,omitempty"`
	// Orders is how orders reach the endpoints. The only valid value is "request".
	Orders string `json:"orders"`
	// MemoryMegabytes is the memory limit of the process in megabytes of 2^20 bytes, 0
	// for no limit.
	MemoryMegabytes int64 `json:"memory,omitempty"`
	// Descriptors is the maximum number of file descriptors of the process, 0 for the limit of the
	// operating system.
	Descriptors int `json:"descriptors,omitempty"`
	// Connections is the maximum number of open connections of submitters, 0 for the default.
	Connections int `json:"connections,omitempty"`
	// Cores is the processor time of the instance in cores, 0 if unknown.
	Cores float64 `json:"power,omitempty"`
	// StopSeconds is the time that the process has between SIGTERM and its exit.
	StopSeconds float64 `json:"stop"`
	// Bounds are the time limits of the installation.
	Bounds struct {
		// MaxGrantMilliseconds is the longest grant that endpoints accept.
		MaxGrantMilliseconds int64 `json:"hold"`
		// QuietPeriodMilliseconds is how long machines that the previous steward ordered
		// get no orders from the next one.
		QuietPeriodMilliseconds int64 `json:"lease"`
		// RetentionSeconds is how long the state of an ended job remains available, 0 for
		// the default.
		RetentionSeconds float64 `json:"kept"`
	} `json:"bounds"`
	// LogLevel is the lowest severity that is logged.
	LogLevel string `json:"level,omitempty"`
}

// ReadSettings reads and checks a settings file. If settings are invalid, the error
// wraps a *fault.ValidationError with all faults found.
func ReadSettings(path string) (settings Settings, err error) {
	defer fault.Annotate(&err, "settings file %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(data)
}

// ParseSettings decodes and checks settings. If settings are invalid, the error is a
// *fault.ValidationError with all faults found.
func ParseSettings(data []byte) (settings Settings, err error) {
	if err := json.Unmarshal(data, &settings); err != nil {
		return Settings{}, err
	}
	return settings, settings.check()
}

// IsFleet reports whether data is the settings of an entry that serves jobs. They
// differ from those of other entries by the field "submitters".
func IsFleet(data []byte) bool {
	var probe struct {
		Submitters *json.RawMessage `json:"submitters"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Submitters != nil
}

// check returns a *fault.ValidationError if settings are missing or invalid.
func (s *Settings) check() error {
	list := &fault.ValidationError{}
	for _, a := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"/submitters", s.Submitters},
		{"/ready", s.Ready},
		{"/peer", s.Peer},
		{"/metrics", s.Metrics},
		{"/store", s.Store},
	} {
		if !a.address.IsValid() {
			list.Add(a.path, "no address is given")
		}
	}
	if s.Name == "" {
		list.Add("/name", "is empty")
	}
	if s.Orders != ordersOnRequest {
		list.Add("/orders", "%q is not served, only %q is", s.Orders, ordersOnRequest)
	}
	if s.MemoryMegabytes < 0 {
		list.Add("/memory", "is negative")
	}
	if s.Descriptors < 0 {
		list.Add("/descriptors", "is negative")
	}
	if s.Connections < 0 {
		list.Add("/connections", "is negative")
	}
	if s.StopSeconds <= 0 {
		list.Add("/stop", "is not positive")
	}
	if s.Bounds.MaxGrantMilliseconds < minGrant.Milliseconds() {
		list.Add("/bounds/hold", "is below %s", minGrant)
	}
	return list.Err()
}

const (
	// minGrant is the shortest grant that outlasts a takeover.
	minGrant = 2 * time.Second
	// preferredGrant covers a takeover: sessionTTL, the delay until the next entry takes
	// the cell, loading the state and polling all endpoints. With a longer grant, the
	// tasks of a lost endpoint wait longer until they are started elsewhere.
	preferredGrant = 5 * time.Second
)

// megabyte is the unit of Settings.MemoryMegabytes in bytes.
const megabyte = 1 << 20

// intakeLimits returns the limits for what submitters may hold of the process.
func (s *Settings) intakeLimits() intake.Limits {
	limits := intake.DefaultLimits(s.MemoryMegabytes*megabyte, s.Descriptors)
	if s.Connections > 0 {
		limits.Connections = s.Connections
	}
	return limits
}

// bounds returns the time limits of the cells.
func (s *Settings) bounds() jobs.Bounds {
	b := jobs.DefaultBounds()
	b.MaxGrant = time.Duration(s.Bounds.MaxGrantMilliseconds) * time.Millisecond
	b.Grant = min(preferredGrant, b.MaxGrant)
	if s.Bounds.RetentionSeconds > 0 {
		b.Retention = time.Duration(s.Bounds.RetentionSeconds * float64(time.Second))
	}
	return b
}
