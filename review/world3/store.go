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

// store is a stand-in for the platform's metadata store: PROTOCOL.md, "The platform's metadata store".
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]*storeLease
	next     int64
	changed  chan struct{}
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// pageItems is the largest number of items on a page.
const pageItems = 500

func newStore() *store {
	s := &store{revision: 10, items: make(map[string]item), leases: make(map[int64]*storeLease), next: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/kv-key":
		s.get(w, r)
	case r.URL.Path == "/api/kv-range":
		s.list(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.commit(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.endLease(w, strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{i, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var page struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AsOf    int64  `json:"asOf"`
	}
	page.Items = []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	page.AsOf = s.revision
	s.mu.Unlock()
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	var page struct {
		Events []event `json:"events"`
		AsOf   int64   `json:"asOf"`
	}
	page.Events = []event{}
	for isOver := false; ; {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				page.Events = append(page.Events, e)
			}
		}
		page.AsOf = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 || isOver {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

type change struct {
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

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range c.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			writeJSON(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	isMet := true
	current := []item{}
	for _, e := range c.ExpectRev {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		isMet = isMet && i.Rev == e.Rev
	}
	if !isMet {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range c.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range c.Remove {
		s.remove(key)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.revision})
}

// put writes a key at the present revision. The caller holds s.mu.
func (s *store) put(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

// remove removes a key at the present revision. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{item: item{Key: key, Rev: s.revision}, Tombstone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key as the operator or a minion does; a nil value removes it.
func (s *store) set(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == nil {
		s.remove(key)
	} else {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		s.put(key, data, 0)
	}
	s.notify()
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.revoke(id)
		}
	}
}

func (s *store) revoke(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := max(time.Duration(body.TTLMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.expire()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.revoke(id)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}
