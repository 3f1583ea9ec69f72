package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store that the pages and the site files state.
const (
	storeLatency  = 4 * time.Millisecond
	maxValueBytes = 1 << 20
	maxTxnEntries = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	minLease      = time.Second
	maxLease      = 10 * time.Minute
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*storeLease
	next    int64
	changed chan struct{}
	// oversize counts the changes that were refused since a value was too large.
	oversize int
	log      *recorder
}

func newStore(log *recorder) *store {
	s := &store{rev: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, next: 1000, changed: make(chan struct{}), log: log}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. The caller holds s.mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a minion does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
	s.notify()
}

// drop removes a key as the platform does with an entry that has expired.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

func (s *store) keys(prefix string) (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	sort.Strings(list)
	return list
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type empty struct{}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.serveKey(w, r)
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, empty{})
	default:
		reply(w, 404, empty{})
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, empty{})
		return
	}
	reply(w, 200, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.keys(prefix)
	s.mu.Lock()
	s.expire()
	list, size, hasMore := []item{}, 0, false
	for _, key := range keys {
		it, ok := s.items[key]
		if !ok || key <= after && after != "" {
			continue
		}
		if len(list) >= pageItems || size > 0 && size+len(it.Value) > pageBytes {
			hasMore = true
			break
		}
		list, size = append(list, it), size+len(it.Value)
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AsOf    int64  `json:"asOf"`
	}{list, hasMore, rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, 200, struct {
				Events []item `json:"events"`
				AsOf   int64  `json:"asOf"`
			}{events, rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expectRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.ExpectRev)+len(txn.Puts)+len(txn.Remove) > maxTxnEntries {
		reply(w, 400, empty{})
		return
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, empty{})
			return
		}
		if len(p.Value) > maxValueBytes || len(p.Key) > 200 {
			s.mu.Lock()
			s.oversize++
			n := s.oversize
			s.mu.Unlock()
			if n <= 3 || n%100 == 0 {
				s.log.add("store: change %d refused with 400, the value of %s has %d bytes, at most %d are allowed", n, p.Key, len(p.Value), maxValueBytes)
			}
			reply(w, 400, empty{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	isMet := true
	current := []item{}
	for _, e := range txn.ExpectRev {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		isMet = isMet && it.Rev == e.Rev
		current = append(current, it)
	}
	if !isMet {
		reply(w, 412, struct {
			Items []item `json:"items"`
		}{current})
		return
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, empty{})
			return
		}
	}
	s.rev++
	for _, key := range txn.Remove {
		s.remove(key)
	}
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	s.notify()
	reply(w, 200, struct {
		Rev int64 `json:"rev"`
	}{s.rev})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, minLease), maxLease)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, struct {
		Lease int64 `json:"lease"`
		TTLMs int64 `json:"ttlMs"`
	}{id, ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.expire()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, 404, empty{})
		return
	}
	reply(w, 200, struct {
		TTLMs int64 `json:"ttlMs"`
	}{l.ttl.Milliseconds()})
}
