// Package document defines the operators' configuration document: pools, services,
// teams, keys, shares and limits. A document is accepted as a whole or refused with a
// list of all its faults.
package document

import (
	"encoding/json"
	"time"
)

// Document is the configuration that operators write. Optional fields that are absent
// have the defaults below in an Index.
type Document struct {
	// IsolationGrace is how long an entry goes on using its last document while it can
	// reach neither the platform nor a peer with a more recent state.
	IsolationGrace Duration `json:"grace,omitempty"`
	// MaxRunTime is the maximum run time of any request.
	MaxRunTime Duration `json:"longest,omitempty"`
	// SparePool names the pool whose instances are lent to other pools.
	SparePool string    `json:"spare,omitempty"`
	Pools     []Pool    `json:"pools"`
	Services  []Service `json:"services"`
	Teams     []Team    `json:"teams"`
}

// Pool is a set of instances that serve the same services.
type Pool struct {
	Name string `json:"name"`
	// MinShare is the minimum share of the pool's slots that planned work leaves in
	// service, from 0 to 1.
	MinShare float64 `json:"least,omitempty"`
	// MaxRacksOut is the maximum number of racks that may have instances of the pool
	// out of service at the same time according to plan; 0 means no limit.
	MaxRacksOut int `json:"racks,omitempty"`
	// MinInstances is the minimum number of instances that moves leave in the pool.
	MinInstances int `json:"floor,omitempty"`
}

// Service is a kind of request.
type Service struct {
	Name string `json:"name"`
	// Pool names the pool that runs the requests.
	Pool string `json:"pool"`
	// MaxRunTime is the maximum run time of a request. The minions enforce it.
	MaxRunTime Duration `json:"longest,omitempty"`
	// IsCancellable reports that a minion stops a request when its connection is closed.
	IsCancellable bool `json:"stops,omitempty"`
	// AnonymousTeam names the team that requests without a key are charged to. If it is
	// empty, requests need a key.
	AnonymousTeam string `json:"open,omitempty"`
	// MaxWait is the maximum time that a request waits to be started.
	MaxWait Duration `json:"wait,omitempty"`
	// MaxWaiting is the maximum number of requests that wait at one entry.
	MaxWaiting int `json:"depth,omitempty"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `json:"body,omitempty"`
}

// Team is a group of users that submits requests.
type Team struct {
	Name string `json:"name"`
	// Share is the percentage of the slots that the team gets when all teams have
	// requests waiting.
	Share float64 `json:"share"`
	// Limit is the maximum number of requests of the team that run at the same time in
	// the whole fleet.
	Limit uint32 `json:"limit"`
	// KeyDigests holds the SHA-256 digests of the team's keys, in hexadecimal.
	KeyDigests []string `json:"keys,omitempty"`
}

// Defaults of optional fields of a document.
const (
	DefaultIsolationGrace = 10 * time.Minute
	DefaultMaxRunTime     = 30 * time.Second
	DefaultMaxWait        = 5 * time.Second
	DefaultMaxWaiting     = 256
	// DefaultMaxBody is in bytes.
	DefaultMaxBody = 1 << 20
)

// Duration is a time.Duration whose JSON form is a string such as "1m30s".
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

// withDefaults returns a copy of the document in which absent fields are set to their
// defaults. The maximum run time of a service defaults to that of the document.
func (d Document) withDefaults() Document {
	setDefault(&d.IsolationGrace, Duration(DefaultIsolationGrace))
	setDefault(&d.MaxRunTime, Duration(DefaultMaxRunTime))
	services := append([]Service(nil), d.Services...)
	for i := range services {
		s := &services[i]
		setDefault(&s.MaxRunTime, d.MaxRunTime)
		setDefault(&s.MaxWait, Duration(DefaultMaxWait))
		setDefault(&s.MaxWaiting, DefaultMaxWaiting)
		setDefault(&s.MaxBody, DefaultMaxBody)
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
