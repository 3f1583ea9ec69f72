// Package platform is a small stand-in for the platform: a key-value service
// that speaks the part of the etcd v3 JSON API that the client uses, and a list
// of instances. Its faults are switched by hand.
package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Faults is what is wrong with the stand-in at the moment.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Store refuses every call to the key-value service; the list answers.
	Store bool `json:"store"`
	// Slow delays every call by so many milliseconds.
	Slow int `json:"slow"`
	// Lose drops the reply of so many of the next writes, after their effect.
	Lose int `json:"lose"`
	// Freeze keeps the list of instances as it is now.
	Freeze bool `json:"freeze"`
}

// pathList is where the list of instances is served.
const pathList = "/instances"

type record struct {
	value   []byte
	version int64
	lease   int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

type change struct {
	key     string
	record  record
	deleted bool
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	router *httprouter.Router

	mu        sync.Mutex
	revision  int64
	records   map[string]record
	leases    map[int64]*lease
	history   []change
	changed   chan struct{}
	stopped   chan struct{}
	faults    Faults
	instances []Target
	frozen    []Target
	calls     int
	nextLease int64
	saved     map[string]record
}

// Target is one group of the list of instances.
type Target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// NewServer returns an empty stand-in.
func NewServer() *Server {
	s := &Server{
		records: make(map[string]record),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	s.router = httprouter.New()
	s.router.POST("/v3/kv/range", s.fail(s.serveRange))
	s.router.POST("/v3/kv/txn", s.fail(s.serveTxn))
	s.router.POST("/v3/kv/deleterange", s.fail(s.serveDelete))
	s.router.POST("/v3/lease/grant", s.fail(s.serveGrant))
	s.router.POST("/v3/lease/keepalive", s.fail(s.serveRenew))
	s.router.POST("/v3/lease/revoke", s.fail(s.serveRevoke))
	s.router.POST("/v3/watch", s.fail(s.serveWatch))
	s.router.GET(pathList, s.fail(s.serveInstances))
	s.router.PUT("/standin/instances", s.putInstances)
	s.router.PUT("/standin/faults", s.putFaults)
	s.router.POST("/standin/reset", s.postReset)
	s.router.POST("/standin/save", s.postSave)
	s.router.POST("/standin/restore", s.postRestore)
	s.router.GET("/standin/calls", s.getCalls)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Calls returns how many calls were made.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults switches faults. An outage breaks every watch.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Freeze {
		s.frozen = s.instances
	}
	if faults.Outage || faults.Store {
		close(s.stopped)
		s.stopped = make(chan struct{})
	}
}

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(instances []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
}

// Reset empties the store, as if an older one had taken its place.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.records {
		s.drop(key)
	}
}

// Save keeps a copy of the store for Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = maps.Clone(s.records)
}

// Restore brings the copy back, as if the store was restored from a backup.
// Keys that are not in it are gone.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.records {
		if _, ok := s.saved[key]; !ok {
			s.drop(key)
		}
	}
	for key, r := range s.saved {
		s.put(key, r.value, r.lease)
	}
}

// Value returns the value of a key, nil if there is none.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key].value
}

// fail applies the faults to a handler.
func (s *Server) fail(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.mu.Lock()
		s.calls++
		faults := s.faults
		s.mu.Unlock()
		if faults.Slow > 0 {
			time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
		}
		if faults.Outage || faults.Store && r.URL.Path != pathList {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r, p)
	}
}

// loses returns whether the reply to a write is to be lost.
func (s *Server) loses() bool {
	if s.faults.Lose == 0 {
		return false
	}
	s.faults.Lose--
	return true
}

// put writes a record and tells the watches.
func (s *Server) put(key string, value []byte, leaseID int64) {
	s.revision++
	r := record{value: value, version: s.revision, lease: leaseID}
	s.records[key] = r
	s.note(change{key: key, record: r})
}

// drop removes a record and tells the watches.
func (s *Server) drop(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.revision++
	delete(s.records, key)
	s.note(change{key: key, record: record{version: s.revision}, deleted: true})
}

func (s *Server) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends leases that were not renewed in time.
func (s *Server) lapse() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.revoke(id)
		}
	}
}

func (s *Server) revoke(id int64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			s.drop(key)
		}
	}
}

// matches returns whether the key is in the range of a request.
func matches(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return strings.Compare(key, from) >= 0 && strings.Compare(key, end) < 0
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
