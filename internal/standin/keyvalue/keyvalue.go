// Package keyvalue is an in-memory stand-in for the metadata store, for tests. It has
// keys with revisions, leases on the real clock, conditional changes and watches.
// Tests can make calls fail, delay them, lose responses, defer changes, compact the
// history and expire leases.
package keyvalue

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
)

// watchInterval is how often a waiting watch checks for changes. Each check also
// expires leases, so that their keys are removed even if no other call is made.
const watchInterval = 5 * time.Millisecond

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	history  []store.Item
	// compacted is the last revision whose changes were dropped from the history.
	compacted int64
	leases    map[store.Lease]lease
	nextLease store.Lease
	isDown    bool
	delay     time.Duration
	// isLost decides whether the response to a change is lost; nil for never.
	isLost func(change store.Change) bool
	// isDeferred decides whether a change is kept in deferred instead of being carried
	// out; nil for never.
	isDeferred func(change store.Change) bool
	deferred   []store.Change
	// isInvalid decides whether a change is not taken; nil for none.
	isInvalid func(change store.Change) bool
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// ErrNoValue reports that a change has a write without a value, which the platform's store
// refuses too.
var ErrNoValue = errors.New("a write has no value")

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]store.Item), leases: make(map[store.Lease]lease)}
}

// SetDown makes all calls of all clients fail with store.ErrRefused, or succeed again.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// SetDelay delays each call of a client by this time before it takes effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// LoseResponses makes the commits for which isLost returns true fail with
// store.ErrIndeterminate although they are carried out. A nil function ends this. The
// function is called with the store locked and must not call the store.
func (s *Store) LoseResponses(isLost func(change store.Change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLost = isLost
}

// Defer makes the commits for which isDeferred returns true fail with
// store.ErrIndeterminate and keeps them for ApplyDeferred. A nil function ends this. The
// function is called with the store locked and must not call the store.
func (s *Store) Defer(isDeferred func(change store.Change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDeferred = isDeferred
}

// Reject makes the commits for which isInvalid returns true fail with store.ErrInvalid, without
// an effect. A nil function ends this. The function is called with the store locked and must not
// call the store.
func (s *Store) Reject(isInvalid func(change store.Change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isInvalid = isInvalid
}

// ApplyDeferred carries out the deferred commits whose conditions still hold, in the order
// of their calls, drops the others, and returns how many it has carried out.
func (s *Store) ApplyDeferred() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.deferred {
		if s.apply(change) == nil {
			count++
		}
	}
	s.deferred = nil
	return count
}

// Compact drops the history. Watches from an earlier revision fail with
// store.ErrCompacted, and their callers have to read the keys again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// ExpireLeases expires all leases at once and removes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revoke(id)
	}
}

// Put writes a key without a lease and without a condition, as an operator or an
// endpoint does. It works also while the store is down.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
}

// Remove removes a key, if it exists. It works also while the store is down.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Get returns a key, and whether it exists. It works also while the store is down.
func (s *Store) Get(key string) (store.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireOverdue()
	item, ok := s.items[key]
	return item, ok
}

// Client returns a client of the store. Its calls fail with store.ErrRefused while
// isReachable returns false; nil stands for always true.
func (s *Store) Client(isReachable func() bool) *store.Client {
	isUnreachable := func() bool { return isReachable != nil && !isReachable() }
	c := &client{store: s, isUnreachable: isUnreachable}
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

// expireOverdue expires the leases that were not renewed in time.
func (s *Store) expireOverdue() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.revoke(id)
		}
	}
}

// revoke removes a lease and its keys, all at one new revision.
func (s *Store) revoke(id store.Lease) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// client implements the calls of one store.Client.
type client struct {
	store         *Store
	isUnreachable func() bool
}

// begin begins a call: it waits for the delay, locks the store and expires leases.
// With an error the store is not locked and the call has no effect.
func (c *client) begin() error {
	if c.isUnreachable() {
		return store.ErrRefused
	}
	c.store.mu.Lock()
	if delay := c.store.delay; delay > 0 {
		c.store.mu.Unlock()
		time.Sleep(delay)
		c.store.mu.Lock()
	}
	if c.store.isDown {
		c.store.mu.Unlock()
		return store.ErrRefused
	}
	c.store.expireOverdue()
	return nil
}

func (c *client) get(_ context.Context, key string) (store.Item, error) {
	if err := c.begin(); err != nil {
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
	if err := c.begin(); err != nil {
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
	deadline := time.Now().Add(wait)
	for {
		page, err := c.readChanges(prefix, after)
		if err != nil || len(page.Items) > 0 || time.Now().After(deadline) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, store.ErrIndeterminate
		case <-time.After(watchInterval):
		}
	}
}

// readChanges returns the changes after a revision without waiting.
func (c *client) readChanges(prefix string, after int64) (page store.Page, err error) {
	if err := c.begin(); err != nil {
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
	if err := c.begin(); err != nil {
		return 0, err
	}
	s := c.store
	defer s.mu.Unlock()
	if s.isDeferred != nil && s.isDeferred(change) {
		// The caller may reuse the memory of the values.
		puts := slices.Clone(change.Puts)
		for i := range puts {
			puts[i].Value = slices.Clone(puts[i].Value)
		}
		change.If, change.Puts, change.Remove = slices.Clone(change.If), puts, slices.Clone(change.Remove)
		s.deferred = append(s.deferred, change)
		return 0, store.ErrIndeterminate
	}
	if isTooLarge(change) || s.isInvalid != nil && s.isInvalid(change) {
		return 0, store.ErrInvalid
	}
	if err := s.apply(change); err != nil {
		return 0, err
	}
	if s.isLost != nil && s.isLost(change) {
		return 0, store.ErrIndeterminate
	}
	return s.revision, nil
}

// maxValueBytes is the largest value that the platform's store takes.
const maxValueBytes = 1 << 20

// isTooLarge reports whether the platform's store does not take a change because of its size.
func isTooLarge(change store.Change) bool {
	isLong := func(p store.Put) bool { return len(p.Value) > maxValueBytes }
	return len(change.If)+len(change.Puts)+len(change.Remove) > store.MaxChangeSize || slices.ContainsFunc(change.Puts, isLong)
}

// apply carries out a change at the next revision. The error is a *store.ConflictError if
// a condition is not met, and store.ErrNotFound if a lease does not exist.
func (s *Store) apply(change store.Change) error {
	if slices.ContainsFunc(change.Puts, func(p store.Put) bool { return len(p.Value) == 0 }) {
		return ErrNoValue
	}
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
		return conflict
	}
	for _, p := range change.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return store.ErrNotFound
		}
	}
	s.revision++
	for _, p := range change.Puts {
		s.put(p)
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	return nil
}

func (c *client) grant(_ context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	if err := c.begin(); err != nil {
		return 0, 0, err
	}
	defer c.store.mu.Unlock()
	c.store.nextLease++
	c.store.leases[c.store.nextLease] = lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	return c.store.nextLease, ttl, nil
}

func (c *client) renew(_ context.Context, id store.Lease) (time.Duration, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	l, ok := c.store.leases[id]
	if !ok {
		return 0, store.ErrNotFound
	}
	l.expiry = time.Now().Add(l.ttl)
	c.store.leases[id] = l
	return l.ttl, nil
}

func (c *client) release(_ context.Context, id store.Lease) error {
	if err := c.begin(); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	c.store.revoke(id)
	return nil
}
