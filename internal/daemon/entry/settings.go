package entry

import (
	_ "embed" // The schema is part of the program.
	"fmt"
	"net/netip"
	"os"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

//go:embed settings.json
var settingsText []byte

var settingsSchema = fault.CompileSchema("settings.json", settingsText)

// Defaults of Settings.
const (
	DefaultTTL    = 10 * time.Second
	DefaultLinger = 2 * time.Second
	DefaultStop   = 45 * time.Second
	DefaultLevel  = "info"
)

// Settings are the settings that a daemon reads when it starts.
type Settings struct {
	// Name is the instance's name in the platform's list of instances.
	Name string `json:"name"`
	// Centre is the name of the data centre.
	Centre string `json:"centre"`
	// Caller, Operator and Peer are the addresses to listen on for callers,
	// operators and other entries.
	Caller   netip.AddrPort `json:"caller"`
	Operator netip.AddrPort `json:"operator"`
	Peer     netip.AddrPort `json:"peer"`
	// Advertise is the address that peers connect to, if it differs from Peer.
	Advertise netip.AddrPort `json:"advertise,omitzero"`
	// Platform holds the addresses of the platform's key-value service, List
	// the address of its list of instances.
	Platform []netip.AddrPort `json:"platform"`
	List     netip.AddrPort   `json:"list"`
	// Peers are addresses of other entries to connect to, so that a daemon can
	// start while the platform is unreachable.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Operators are the SHA-256 digests of the operators' keys.
	Operators []string `json:"operators"`
	// TTL is how long the platform keeps this entry registered without a
	// renewal of its lease.
	TTL document.Duration `json:"ttl,omitempty"`
	// Linger is how long no request must have arrived before a leaving entry stops
	// accepting them, so that the load balancer can notice first. The entry waits
	// for that for a quarter of Stop at most, or for Linger if that is longer.
	Linger document.Duration `json:"linger,omitempty"`
	// Stop bounds how long a leaving entry takes to shut down, Linger included.
	Stop document.Duration `json:"stop,omitempty"`
	// MemoryMegabytes is the memory limit of the process in megabytes of 2^20 bytes, 0 for
	// the memory of the machine.
	MemoryMegabytes int64 `json:"memory,omitempty"`
	// Descriptors is the maximum number of file descriptors of the process, 0 for the limit
	// that it was started with.
	Descriptors int `json:"descriptors,omitempty"`
	// Level is the minimum severity of log events.
	Level string `json:"level,omitempty"`
}

// limits returns the limits for the clients of a listener.
func (s *Settings) limits() intake.Limits {
	limits := intake.DefaultLimits(s.MemoryMegabytes<<20, s.Descriptors)
	limits.AnswerTime = answerTimeout
	return limits
}

// ReadSettings reads and checks a settings file. If the content is invalid, the
// error wraps a *fault.ValidationError with every fault found.
func ReadSettings(path string) (settings Settings, err error) {
	defer fault.Annotate(&err, "settings file %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(data)
}

// ParseSettings parses settings, sets the defaults and checks the result. The
// error is a *fault.ValidationError.
func ParseSettings(data []byte) (settings Settings, err error) {
	if err = fault.Decode(settingsSchema, data, &settings); err != nil {
		return Settings{}, err
	}
	settings.setDefaults()
	return settings, settings.check()
}

func (s *Settings) setDefaults() {
	if s.TTL == 0 {
		s.TTL = document.Duration(DefaultTTL)
	}
	if s.Linger == 0 {
		s.Linger = document.Duration(DefaultLinger)
	}
	if s.Stop == 0 {
		s.Stop = document.Duration(DefaultStop)
	}
	if s.Level == "" {
		s.Level = DefaultLevel
	}
}

func (s *Settings) check() error {
	list := &fault.ValidationError{}
	used := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		path    string
		address netip.AddrPort
	}{{"/caller", s.Caller}, {"/operator", s.Operator}, {"/peer", s.Peer}} {
		if other, isTaken := used[a.address]; isTaken && a.address.Port() != 0 {
			list.Add(a.path, "the address is that of %s too", other)
		}
		used[a.address] = a.path
	}
	if time.Duration(s.TTL) < time.Second {
		list.Add("/ttl", "shorter than 1s")
	}
	if s.Linger >= s.Stop {
		list.Add("/linger", "not shorter than /stop, %s", time.Duration(s.Stop))
	}
	for i, address := range s.Peers {
		if address == s.Peer {
			list.Add(fmt.Sprintf("/peers/%d", i), "the address is this entry's own")
		}
	}
	return list.Err()
}
