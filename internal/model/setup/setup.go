// Package setup defines the operators' configuration for jobs: queues, pools and client
// accounts.
package setup

import (
	"crypto/sha256"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Queue is a queue that clients submit jobs to.
type Queue struct {
	Name string
	// Host and Prefix select the requests to the queue: those to the host whose path
	// starts with the prefix.
	Host   string
	Prefix string
	// Pool names the pool whose endpoints run the jobs.
	Pool string
	// IsAnonymous reports that requests need no key.
	IsAnonymous bool
	Priority    int
	// MaxAttempts is the maximum number of failed runs of a task.
	MaxAttempts int
	// Stretch and Target set the objective for the duration of a job: Stretch times its
	// critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout is the time limit of a request.
	Timeout time.Duration
	// Advice is set if the advice service decides which endpoints may run a step of
	// the queue's jobs. It is nil if any endpoint may.
	Advice *Advice
}

// Path returns where the queue is: its host and prefix in one text, which begins with two slashes.
// Hosts are the same in upper and lower case.
func (q *Queue) Path() string { return "//" + strings.ToLower(q.Host) + q.Prefix }

// Advice describes the service that decides which endpoints may run a step.
type Advice struct {
	// DecisionTime is the time that a call takes; TimePerEndpoint is the additional
	// time for each endpoint that the call names.
	DecisionTime, TimePerEndpoint time.Duration
	// TicketValidity is how long a ticket of the service is valid.
	TicketValidity time.Duration
}

// Pool is a set of endpoints.
type Pool struct {
	Name string
	// IsStandby reports that the machines of the pool are switched off and cost
	// nothing.
	IsStandby bool
	// IsAdmissionChecked reports that the endpoints of the pool refuse runs that do not
	// fit.
	IsAdmissionChecked bool
}

// Account is a client account.
type Account struct {
	Name string
	// Weight determines the account's share of the resources when demand exceeds them,
	// relative to the weights of the other accounts.
	Weight float64
	// Limit is the maximum size of the account's runs in all pools together. A field
	// that is zero sets no limit.
	Limit jobs.Size
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Setup is one version of the configuration. Call BuildIndex after setting its fields;
// from then on it is immutable and safe for concurrent use.
type Setup struct {
	// Version is the operators' number of the configuration.
	Version int64
	// Revision is the store revision of the configuration.
	Revision int64
	Queues   []Queue
	Pools    []Pool
	// Accounts holds the client accounts by name.
	Accounts map[string]Account
	// Keys maps the digest of each key to the name of its account.
	Keys map[Digest]string
	// MaxBodyBytes is the maximum size of a request body in bytes, 0 if none is
	// configured.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the request header in bytes, 0 if none is
	// configured.
	MaxHeaderBytes int
	// HeaderTimeout is the time in which a request's header has to be received, IdleTimeout the
	// time for which a connection may stay unused. They are 0 if none is configured.
	HeaderTimeout, IdleTimeout time.Duration

	queuesByHost map[string][]*Queue
	queuesByName map[string]*Queue
	queuesByPath map[string]*Queue
}

// BuildIndex builds the indexes that FindQueue, Queue and QueueAt use. Call it once, before them.
func (s *Setup) BuildIndex() {
	s.queuesByHost, s.queuesByName, s.queuesByPath = make(map[string][]*Queue), make(map[string]*Queue), make(map[string]*Queue)
	for i := range s.Queues {
		q := &s.Queues[i]
		s.queuesByName[q.Name] = q
		if s.queuesByPath[q.Path()] == nil {
			// A later one gets no requests.
			s.queuesByPath[q.Path()] = q
		}
		host := strings.ToLower(q.Host)
		s.queuesByHost[host] = append(s.queuesByHost[host], q)
	}
}

// FindQueue returns the queue for a request to a host, which may include a port, and a
// path. If several prefixes match, the longest decides. It returns nil if none does.
func (s *Setup) FindQueue(host, path string) *Queue {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	var found *Queue
	for _, q := range s.queuesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// Queue returns the queue with the given name, or nil.
func (s *Setup) Queue(name string) *Queue { return s.queuesByName[name] }

// QueueAt returns the queue with the given Path, or nil.
func (s *Setup) QueueAt(path string) *Queue { return s.queuesByPath[path] }

// Account returns the name of the client account that a key belongs to.
func (s *Setup) Account(key string) (name string, isKnown bool) {
	name, isKnown = s.Keys[sha256.Sum256([]byte(key))]
	return name, isKnown
}

// Pool returns the pool with the given name, or nil.
func (s *Setup) Pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}
