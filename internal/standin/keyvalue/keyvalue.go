// Package keyvalue stands in for the metadata store: keys with revisions, leases
// on the real clock, conditional changes and watches, in memory. Faults can be
// switched on for tests.
package keyvalue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
)

// pollEvery is how often a watch and leases are looked at.
const pollEvery = 5 * time.Millisecond

// Store is a store in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]store.Item
	history   []store.Item
	compacted int64
	leases    map[store.Lease]lease
	nextLease store.Lease
	isDown    bool
	delay     time.Duration
	lose      func(change store.Change) bool
	calls     int64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]store.Item), leases: make(map[store.Lease]lease)}
}

// SetDown makes all calls fail, or serve again.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// SetDelay makes each answer take a time.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Lose makes the answers of the changes that the function picks get lost after
// they were carried out.
func (s *Store) Lose(pick func(change store.Change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = pick
}

// Compact drops the history, so that watches have to read anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// Expire ends all leases at once.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// Put writes a key as an operator or an endpoint would.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Get returns a key.
func (s *Store) Get(key string) (store.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	item, ok := s.items[key]
	return item, ok
}

// Client returns a client of the store. Every client reaches it while reach
// returns true; nil stands for always.
func (s *Store) Client(reach func() bool) *store.Client {
	isOut := func() bool { return reach != nil && !reach() }
	c := &client{store: s, isOut: isOut}
	return &store.Client{
		Get: c.get, Range: c.readRange, Watch: c.watch, Commit: c.commit,
		Grant: c.grant, Renew: c.renew, Release: c.release,
	}
}

func (s *Store) put(p store.Put) {
	created := s.revision
	if old, ok := s.items[p.Key]; ok {
		created = old.Created
	}
	item := store.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision, Created: created, Lease: p.Lease}
	s.items[p.Key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, store.Item{Key: key, Revision: s.revision, IsRemoved: true})
}

// lapse ends the leases whose time is over.
func (s *Store) lapse() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.end(id)
		}
	}
}

func (s *Store) end(id store.Lease) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// client is one way to the store.
type client struct {
	store *Store
	isOut func() bool
}

// enter begins a call. With an error the store does nothing.
func (c *client) enter() error {
	if c.isOut() {
		return store.ErrRefused
	}
	c.store.mu.Lock()
	if delay := c.store.delay; delay > 0 {
		c.store.mu.Unlock()
		time.Sleep(delay)
		c.store.mu.Lock()
	}
	c.store.calls++
	if c.store.isDown {
		c.store.mu.Unlock()
		return store.ErrRefused
	}
	c.store.lapse()
	return nil
}

func (c *client) get(_ context.Context, key string) (store.Item, error) {
	if err := c.enter(); err != nil {
		return store.Item{}, err
	}
	defer c.store.mu.Unlock()
	item, ok := c.store.items[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (c *client) readRange(_ context.Context, prefix, after string, _ bool) (page store.Page, err error) {
	if err := c.enter(); err != nil {
		return store.Page{}, err
	}
	defer c.store.mu.Unlock()
	page.Revision = c.store.revision
	for key, item := range c.store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

func (c *client) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Page, error) {
	end := time.Now().Add(wait)
	for {
		page, err := c.changes(prefix, after)
		if err != nil || len(page.Items) > 0 || time.Now().After(end) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, store.ErrIndeterminate
		case <-time.After(pollEvery):
		}
	}
}

func (c *client) changes(prefix string, after int64) (page store.Page, err error) {
	if err := c.enter(); err != nil {
		return store.Page{}, err
	}
	defer c.store.mu.Unlock()
	if after < c.store.compacted {
		return store.Page{}, store.ErrCompacted
	}
	page.Revision = c.store.revision
	for _, item := range c.store.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (c *client) commit(_ context.Context, change store.Change) (int64, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	s := c.store
	defer s.mu.Unlock()
	conflict := &store.ConflictError{}
	isMet := true
	for _, condition := range change.If {
		item, ok := s.items[condition.Key]
		if !ok {
			item = store.Item{Key: condition.Key}
		}
		conflict.Items = append(conflict.Items, item)
		isMet = isMet && item.Revision == condition.Revision
	}
	if !isMet {
		return 0, conflict
	}
	for _, p := range change.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	s.revision++
	for _, p := range change.Puts {
		s.put(p)
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	if s.lose != nil && s.lose(change) {
		return 0, store.ErrIndeterminate
	}
	return s.revision, nil
}

func (c *client) grant(_ context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	if err := c.enter(); err != nil {
		return 0, 0, err
	}
	defer c.store.mu.Unlock()
	c.store.nextLease++
	c.store.leases[c.store.nextLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	return c.store.nextLease, ttl, nil
}

func (c *client) renew(_ context.Context, id store.Lease) (time.Duration, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	l, ok := c.store.leases[id]
	if !ok {
		return 0, store.ErrNotFound
	}
	l.end = time.Now().Add(l.ttl)
	c.store.leases[id] = l
	return l.ttl, nil
}

func (c *client) release(_ context.Context, id store.Lease) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	c.store.end(id)
	return nil
}
