// Package verify checks the operators' configuration for jobs before it is sent: it finds
// invalid values, entries that have no effect, limits that contradict each other, and the
// differences from another version. It does no I/O.
package verify

import (
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
)

// Section is a part of the configuration.
type Section int

// The sections.
const (
	Top Section = iota
	Queues
	Pools
	Accounts
)

// Field is a value of a section's entries, or of the configuration if the section is Top.
type Field int

// The fields. Entry stands for the entry as a whole.
const (
	Entry Field = iota
	Name
	Version
	Host
	Prefix
	Pool
	Anonymous
	Priority
	MaxAttempts
	Stretch
	Target
	Timeout
	Advice
	DecisionTime
	TimePerEndpoint
	TicketValidity
	Standby
	AdmissionCheck
	Keys
	Weight
	Limit
	LimitCPU
	LimitMemory
	LimitGPUs
	MaxHeaderBytes
	MaxBodyBytes
)

// whole is the Index of a Location that means all entries of a section, and the Item of one
// that means the whole field.
const whole = -1

// Location identifies a value of the configuration independently of its format.
type Location struct {
	Section Section
	// Index is the number of the entry, or negative for the section as a whole.
	Index int
	Field Field
	// Item is the number of the item if the field is a list, or negative for the whole
	// field.
	Item int
}

// Account is a client account with the digests of its keys in the order of the
// configuration.
type Account struct {
	setup.Account
	Keys []setup.Digest
	// EmptyKeys holds the positions of keys that are empty.
	EmptyKeys []int
}

// Config is a configuration in the order in which it was written. Unlike setup.Setup, it
// retains duplicate entries.
type Config struct {
	Version                      int64
	Queues                       []setup.Queue
	Pools                        []setup.Pool
	Accounts                     []Account
	MaxHeaderBytes, MaxBodyBytes int64
	// Path returns the JSON pointer to a value.
	Path func(location Location) string
}

// Severity is the weight of a finding.
type Severity string

// The severities.
const (
	// Error is a fault because of which the configuration must not be sent.
	Error Severity = "error"
	// Warning is a value that is valid but probably not intended.
	Warning Severity = "warning"
	// Change is a difference from the version in force.
	Change Severity = "change"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is a JSON pointer, empty for the configuration as a whole.
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return string(f.Severity) + " " + path + ": " + f.Text
}
