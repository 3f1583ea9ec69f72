// Package document holds the operators' document: pools, services, teams, keys,
// shares and limits. It is accepted whole or refused with every fault in it.
package document

import (
	"encoding/json"
	"time"
)

// Document is what operators write.
type Document struct {
	// Grace is how long an entry out of touch with the platform and with every
	// fresher peer honours its last document.
	Grace Duration `json:"grace,omitempty"`
	// Longest is the longest run time of any request.
	Longest Duration `json:"longest,omitempty"`
	// Spare is the pool from which instances are lent to others.
	Spare    string    `json:"spare,omitempty"`
	Pools    []Pool    `json:"pools"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
}

// Pool is a set of instances that serves the same services.
type Pool struct {
	Name string `json:"name"`
	// Least is the share of its slots that stays available, from 0 to 1.
	Least float64 `json:"least,omitempty"`
	// Racks is how many of its racks may have instances out at once by plan.
	Racks int `json:"racks,omitempty"`
	// Floor is the least number of instances that moves leave in the pool.
	Floor int `json:"floor,omitempty"`
}

// Service is a kind of request.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Longest is the longest run time of a request, as the minions enforce it.
	Longest Duration `json:"longest,omitempty"`
	// Stops tells that a minion stops a request whose connection was closed.
	Stops bool `json:"stops,omitempty"`
	// Open names the team that is charged for requests without a key. It is
	// empty for services that need one.
	Open string `json:"open,omitempty"`
	// Wait is how long a request waits to start.
	Wait Duration `json:"wait,omitempty"`
	// Depth is how many requests wait at one entry.
	Depth int `json:"depth,omitempty"`
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
}

// Team submits requests.
type Team struct {
	Name string `json:"name"`
	// Share is the percentage of the slots that the team gets when all ask.
	Share float64 `json:"share"`
	// Limit is how many requests of the team run at once in the whole fleet.
	Limit uint32 `json:"limit"`
	// Keys are the SHA-256 digests of its keys, in hexadecimal.
	Keys []string `json:"keys,omitempty"`
}

// Defaults of the fields that a document may leave out.
const (
	DefaultGrace   = 10 * time.Minute
	DefaultLongest = 30 * time.Second
	DefaultWait    = 5 * time.Second
	DefaultDepth   = 256
	DefaultBody    = 1 << 20
)

// Duration is a time.Duration that JSON holds as text such as "1m30s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// withDefaults returns a copy in which absent fields have their defaults.
func (d Document) withDefaults() Document {
	setDefault(&d.Grace, Duration(DefaultGrace))
	setDefault(&d.Longest, Duration(DefaultLongest))
	services := append([]Service(nil), d.Services...)
	for i := range services {
		s := &services[i]
		setDefault(&s.Longest, d.Longest)
		setDefault(&s.Wait, Duration(DefaultWait))
		setDefault(&s.Depth, DefaultDepth)
		setDefault(&s.Body, DefaultBody)
	}
	d.Services = services
	return d
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
