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

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. It is always up and answers at once.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	changed chan struct{}
	// onPut is called with each key that a call has written, with mu held.
	onPut func(i item)
}

func newStore() *store {
	s := &store{rev: 10, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.append(item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID, rev int64) {
	i := item{Key: key, Value: value, Rev: rev, Created: rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.append(i)
	if s.onPut != nil {
		s.onPut(i)
	}
}

// Put writes a key for the operator or a minion.
func (s *store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, data, 0, s.rev)
}

// Remove removes a key for the operator or a minion.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the value of a key, nil if there is none.
func (s *store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

const (
	maxChange  = 32
	maxValue   = 1 << 20
	maxItems   = 500
	minTTL     = time.Second
	storeDelay = 4 * time.Millisecond
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("key")]
		asOf := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"asOf": asOf})
			return
		}
		reply(w, 200, i)
	case r.Method == http.MethodGet && path == "/api/kv-range":
		s.readRange(w, query.Get("prefix"), query.Get("after"))
	case r.Method == http.MethodGet && path == "/api/kv-watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && path == "/api/kv-txn":
		s.commit(w, r)
	case r.Method == http.MethodPost && path == "/api/kv-lease":
		var body struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, nil)
			return
		}
		ttl := max(time.Duration(body.TTLMs)*time.Millisecond, minTTL)
		s.mu.Lock()
		s.rev++
		id := s.rev
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, nil)
	}
}

func (s *store) readRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		if len(items) >= maxItems || size > maxValue {
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": len(items) < len(keys), "asOf": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		events := []item{}
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		isOver := len(events) > 0
		if !isOver {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, 200, map[string]any{"events": events, "asOf": asOf})
		return
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.ExpectRev)+len(body.Puts)+len(body.Remove) > maxChange {
		reply(w, 400, nil)
		return
	}
	isForbidden := func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") }
	for _, p := range body.Puts {
		if isForbidden(p.Key) {
			reply(w, 403, nil)
			return
		}
		if len(p.Value) > maxValue || len(p.Key) > 200 {
			reply(w, 400, nil)
			return
		}
	}
	for _, key := range body.Remove {
		if isForbidden(key) {
			reply(w, 403, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isMet := true
	present := []item{}
	for _, e := range body.ExpectRev {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		present = append(present, i)
		isMet = isMet && i.Rev == e.Rev
	}
	if !isMet {
		reply(w, 412, map[string]any{"items": present})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, nil)
			return
		}
	}
	s.rev++
	rev := s.rev
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease, rev)
	}
	for _, key := range body.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.append(item{Key: key, Rev: rev, Tombstone: true})
		}
	}
	reply(w, 200, map[string]int64{"rev": rev})
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		body = map[string]any{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
