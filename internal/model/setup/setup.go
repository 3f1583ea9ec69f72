// Package setup holds the operators' configuration as far as jobs go: queues,
// pools and client accounts. A Setup is never changed once it is in force.
package setup

import (
	"crypto/sha256"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Queue takes jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool is the pool whose endpoints run the jobs.
	Pool string
	// IsOpen says that no key is needed.
	IsOpen   bool
	Priority int
	// Attempts bounds the failed runs of a task.
	Attempts int
	// Stretch and Target give the objective of a job.
	Stretch float64
	Target  time.Duration
	// Timeout is how long a call may take.
	Timeout time.Duration
	// Advice says that the queue's policy is to be asked for the endpoints that
	// may run a step; nil if any may.
	Advice *Advice
}

// Advice describes the service that knows a queue's policy.
type Advice struct {
	// Decision is the time of a call, Each the time more for each endpoint
	// named.
	Decision, Each time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Pool is a set of endpoints.
type Pool struct {
	Name string
	// IsStandby says that its machines are off and cost nothing.
	IsStandby bool
	// IsGuarded says that its endpoints refuse what does not fit.
	IsGuarded bool
}

// Account is a client account.
type Account struct {
	Name string
	// Weight is its share when all is full.
	Weight float64
	// Limit is what it may have running in all pools; a zero field is unbounded.
	Limit jobs.Size
}

// Digest is a key as it is kept.
type Digest [sha256.Size]byte

// Setup is one version of the configuration.
type Setup struct {
	Version  int64
	Revision int64
	Queues   []Queue
	Pools    []Pool
	Accounts map[string]Account
	// Keys maps the digests of all keys to their accounts.
	Keys map[Digest]string
	// MaxBody bounds a body in bytes, 0 if it does not.
	MaxBody int64
	// MaxHeader bounds the header, 0 if it does not.
	MaxHeader int

	queues map[string][]*Queue
}

// Index prepares the look-ups; it is to be called once before use.
func (s *Setup) Index() {
	s.queues = make(map[string][]*Queue)
	for i := range s.Queues {
		q := &s.Queues[i]
		host := strings.ToLower(q.Host)
		s.queues[host] = append(s.queues[host], q)
	}
}

// Find returns the queue of a host with the longest prefix of a path.
func (s *Setup) Find(host, path string) *Queue {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	var found *Queue
	for _, q := range s.queues[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// Account returns the client account of a key.
func (s *Setup) Account(key string) (name string, isKnown bool) {
	name, isKnown = s.Keys[sha256.Sum256([]byte(key))]
	return name, isKnown
}

// Pool returns a pool by name, nil if there is none.
func (s *Setup) Pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}
