// Package platform is a stand-in for the platform, for tests: a key-value service with
// the part of the etcd v3 JSON API that the client uses, and a list of instances. Tests
// control it by the methods of Server, or over HTTP below /standin/.
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

// Faults are the faults that are in effect. The zero value is none.
type Faults struct {
	// Outage responds to every call with status 503.
	Outage bool `json:"outage"`
	// StoreOutage responds to every call of the key-value service with status 503; the list
	// of instances is still served.
	StoreOutage bool `json:"store"`
	// DelayMilliseconds is the delay of every call in milliseconds.
	DelayMilliseconds int `json:"slow"`
	// LostReplies is the number of following writes that take effect but get no reply: the
	// connection is closed instead.
	LostReplies int `json:"lose"`
	// FreezeInstances serves the list of instances as it was when the fault was set. Changes
	// made since then are served once the fault is cleared.
	FreezeInstances bool `json:"freeze"`
}

// listPath is where the list of instances is served.
const listPath = "/instances"

type record struct {
	value    []byte
	revision int64
	lease    int64
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

type change struct {
	key       string
	record    record
	isDeleted bool
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	router *httprouter.Router

	mu       sync.Mutex
	revision int64
	records  map[string]record
	leases   map[int64]*lease
	history  []change
	// changed is closed at each change, and outage when an outage begins. Each is then
	// replaced by a new channel.
	changed         chan struct{}
	outage          chan struct{}
	faults          Faults
	instances       []TargetGroup
	frozenInstances []TargetGroup
	calls           int
	nextLease       int64
	saved           map[string]record
}

// TargetGroup is one group of the list of instances, as in the HTTP service discovery of
// Prometheus: addresses that share a set of labels.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// NewServer returns a stand-in without keys, instances and faults.
func NewServer() *Server {
	s := &Server{
		records: make(map[string]record),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
		outage:  make(chan struct{}),
	}
	s.router = httprouter.New()
	s.router.POST("/v3/kv/range", s.withFaults(s.serveRange))
	s.router.POST("/v3/kv/txn", s.withFaults(s.serveTxn))
	s.router.POST("/v3/kv/deleterange", s.withFaults(s.serveDelete))
	s.router.POST("/v3/lease/grant", s.withFaults(s.serveGrant))
	s.router.POST("/v3/lease/keepalive", s.withFaults(s.serveRenew))
	s.router.POST("/v3/lease/revoke", s.withFaults(s.serveRevoke))
	s.router.POST("/v3/watch", s.withFaults(s.serveWatch))
	s.router.GET(listPath, s.withFaults(s.serveInstances))
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

// Calls returns how many calls of the key-value service and of the list were made,
// those that failed included.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults replaces the faults that are in effect. Outage and StoreOutage also break
// the connection of every watch.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.FreezeInstances {
		s.frozenInstances = s.instances
	}
	if faults.Outage || faults.StoreOutage {
		close(s.outage)
		s.outage = make(chan struct{})
	}
}

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(instances []TargetGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
}

// Reset removes all keys, as if the store had been replaced by an earlier, empty one.
// Revisions continue to rise, and watches report the removals.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.records {
		s.remove(key)
	}
}

// Save keeps a copy of all keys for Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = maps.Clone(s.records)
}

// Restore sets the keys to the copy made by Save, as if the store was restored from a
// backup. Keys that are not in the copy are removed. Revisions continue to rise.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.records {
		if _, ok := s.saved[key]; !ok {
			s.remove(key)
		}
	}
	for key, r := range s.saved {
		s.put(key, r.value, r.lease)
	}
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key].value
}

// withFaults returns a handler that counts the call and applies the delay and the
// outages before it calls the next handler.
func (s *Server) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.mu.Lock()
		s.calls++
		faults := s.faults
		s.mu.Unlock()
		if faults.DelayMilliseconds > 0 {
			time.Sleep(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
		}
		if faults.Outage || faults.StoreOutage && r.URL.Path != listPath {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r, p)
	}
}

// takeLostReply returns whether the reply to a write is to be dropped, and counts down
// the replies that remain to be dropped. The caller holds the mutex.
func (s *Server) takeLostReply() bool {
	if s.faults.LostReplies == 0 {
		return false
	}
	s.faults.LostReplies--
	return true
}

// put writes a record and notifies the watches. The caller holds the mutex.
func (s *Server) put(key string, value []byte, leaseID int64) {
	s.revision++
	r := record{value: value, revision: s.revision, lease: leaseID}
	s.records[key] = r
	s.publish(change{key: key, record: r})
}

// remove removes a record, if it exists, and notifies the watches. The caller holds the
// mutex.
func (s *Server) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.revision++
	delete(s.records, key)
	s.publish(change{key: key, record: record{revision: s.revision}, isDeleted: true})
}

// publish adds a change to the history and wakes the watches. The caller holds the mutex.
func (s *Server) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireOverdue revokes the leases that were not renewed in time. The caller holds the
// mutex.
func (s *Server) expireOverdue() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.revoke(id)
		}
	}
}

// revoke removes a lease and its keys. The caller holds the mutex.
func (s *Server) revoke(id int64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			s.remove(key)
		}
	}
}

// isInRange returns whether the key is in the range of a request: from included, end
// excluded, or the single key from if end is empty.
func isInRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return strings.Compare(key, from) >= 0 && strings.Compare(key, end) < 0
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
