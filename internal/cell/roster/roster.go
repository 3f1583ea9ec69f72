// Package roster tracks in memory which entries are alive and which of them owns
// which cell, as recorded in the metadata store, and acquires and releases ownership.
package roster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
)

// Keys in the store. Member and owner keys are bound to the lease of the entry that
// wrote them.
const (
	// Prefix is the common prefix of all keys of the roster.
	Prefix       = "live/"
	memberPrefix = Prefix + "member/"
	ownerPrefix  = Prefix + "owner/"
)

const (
	// rankDelay is how long each entry waits for the one ranked before it to take
	// over a cell without an owner: the second entry waits once as long, the third
	// twice.
	rankDelay = 350 * time.Millisecond
	// startupGrace is the time within which all entries of an installation start. An
	// entry that has just started, or that has just lost half of the members, waits
	// this much longer before it takes over a cell without an owner.
	startupGrace = 500 * time.Millisecond
	// shrinkGrace is how long entries whose leases expired together are expected to
	// return.
	shrinkGrace = 2 * time.Second
	// maxAnnounceAttempts is the number of times an announcement is tried when it conflicts
	// with an earlier one.
	maxAnnounceAttempts = 3
	// commitTimeout bounds one commit to the store.
	commitTimeout = 700 * time.Millisecond
)

// Member is an entry that is alive. It is stored under the entry's lease.
type Member struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Peer is the address for calls from other entries.
	Peer netip.AddrPort `json:"peer"`
	// Incarnation identifies the entry's process; it differs after each restart.
	Incarnation string `json:"life"`
	// Cores is the processor time of the instance in cores. Cells are distributed in
	// proportion to it.
	Cores float64 `json:"power,omitempty"`
	// IsLeaving is set when the entry takes over no more cells.
	IsLeaving bool `json:"leaving,omitempty"`
}

// load returns the load of the entry with a number of cells: cells per core, or just
// the number if the cores are unknown.
func (m *Member) load(cells int) float64 {
	if m.Cores <= 0 {
		return float64(cells)
	}
	return float64(cells) / m.Cores
}

// Ownership names the owner of a cell: the entry, its incarnation (see
// Member.Incarnation) and its address for calls from other entries.
type Ownership struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"life"`
	Peer        netip.AddrPort `json:"peer"`
	// Revision is the store revision of the ownership key, which is the owner's
	// epoch.
	Revision int64 `json:"-"`
}

// Config configures a Roster.
type Config struct {
	Client *store.Client
	// Self describes this entry.
	Self Member
	// OnChange is called after each update from the store, without locks held.
	OnChange func()
}

// Roster is one entry's view of members and owners. It is safe for concurrent use.
type Roster struct {
	config Config

	mu   sync.Mutex
	self Member
	// selfRevision is the last known store revision of this entry's member key, 0 if it
	// did not exist.
	selfRevision int64
	members      map[string]Member
	owners       map[string]Ownership
	// unownedSince is when each cell without an owner was first seen so.
	unownedSince map[string]time.Time
	isLoaded     bool
	startedAt    time.Time
	// peakMembers is the number of members before at least half of them were lost
	// together; shrunkAt is when that loss was seen, zero if there is none.
	peakMembers int
	shrunkAt    time.Time
	// updated is closed and replaced at each update from the store.
	updated chan struct{}
}

// New returns an empty roster. It selects no cells until Replace has been called.
func New(config Config) *Roster {
	return &Roster{
		config: config, self: config.Self, startedAt: boot.Now(),
		members: make(map[string]Member), owners: make(map[string]Ownership), unownedSince: make(map[string]time.Time),
		updated: make(chan struct{}),
	}
}

// Replace replaces the view by all keys of the roster.
func (r *Roster) Replace(items []store.Item) {
	r.mu.Lock()
	clear(r.members)
	clear(r.owners)
	r.isLoaded = true
	r.apply(items)
	r.mu.Unlock()
	r.config.OnChange()
}

// Update applies changed and removed keys of the roster.
func (r *Roster) Update(items []store.Item) {
	r.mu.Lock()
	r.apply(items)
	r.mu.Unlock()
	r.config.OnChange()
}

// apply updates the view from items and wakes the waiters of AwaitNextOwner. The
// caller holds r.mu.
func (r *Roster) apply(items []store.Item) {
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, memberPrefix); ok {
			// A value that cannot be decoded counts as removed.
			var m Member
			if item.IsRemoved || json.Unmarshal(item.Value, &m) != nil {
				delete(r.members, name)
				continue
			}
			r.members[name] = m
		}
		if cell, ok := strings.CutPrefix(item.Key, ownerPrefix); ok {
			var o Ownership
			if item.IsRemoved || json.Unmarshal(item.Value, &o) != nil {
				delete(r.owners, cell)
				continue
			}
			o.Revision = item.Revision
			r.owners[cell] = o
		}
	}
	r.trackMemberCount()
	close(r.updated)
	r.updated = make(chan struct{})
}

// trackMemberCount records when the members have fallen to half of their peak or
// less, as in an outage of the store in which leases expire. Most of them return
// within moments; the lower number becomes the new peak after shrinkGrace. The caller
// holds r.mu.
func (r *Roster) trackMemberCount() {
	now := boot.Now()
	count := len(r.members)
	isHalved := count*2 <= r.peakMembers
	if isHalved && r.shrunkAt.IsZero() {
		r.shrunkAt = now
	}
	if !isHalved || now.Sub(r.shrunkAt) > shrinkGrace {
		r.peakMembers, r.shrunkAt = max(count, r.peakMembers), time.Time{}
		if isHalved {
			r.peakMembers = count
		}
	}
}

// Owner returns the current owner of a cell; isKnown is false if it has none.
func (r *Roster) Owner(cell string) (owner Ownership, isKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, isKnown = r.owners[cell]
	return owner, isKnown
}

// AwaitNextOwner waits until the owner of a cell is a process other than incarnation
// (see Member.Incarnation), and returns the ownership. It returns false when the
// context ends or limit has passed; if the cell has no owner, limit counts from when
// that was first seen.
func (r *Roster) AwaitNextOwner(ctx context.Context, cell, incarnation string, limit time.Duration) (owner Ownership, isFound bool) {
	deadline := boot.Now().Add(limit)
	for {
		r.mu.Lock()
		owner, isFound = r.owners[cell]
		since, updated := r.unownedSince[cell], r.updated
		r.mu.Unlock()
		if isFound && owner.Incarnation != incarnation {
			return owner, true
		}
		if !isFound && !since.IsZero() && since.Add(limit).Before(deadline) {
			deadline = since.Add(limit)
		}
		wait := deadline.Sub(boot.Now())
		if wait <= 0 {
			return Ownership{}, false
		}
		timer := time.NewTimer(wait)
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return Ownership{}, false
		}
	}
}

// AwaitStayingMember waits until another entry is a member that is not leaving, or the
// context ends.
func (r *Roster) AwaitStayingMember(ctx context.Context) {
	for {
		r.mu.Lock()
		isFound := slices.ContainsFunc(r.sortedMembers(), func(m Member) bool { return m.Name != r.self.Name && !m.IsLeaving })
		updated := r.updated
		r.mu.Unlock()
		if isFound {
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

// Members returns the members that are alive, sorted by name.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedMembers()
}

// sortedMembers returns the members sorted by name. The caller holds r.mu.
func (r *Roster) sortedMembers() []Member {
	list := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// CellsToTakeOver returns those of the cells that this entry should try to take over
// now. A cell without an owner goes to the member with the lowest load; the other
// members, ranked by load, try after a delay each, in case it fails. Two kinds of
// cells are returned at once: those owned by an earlier process of this entry at the
// same address, since that process is dead, and those that this process owns but does
// not run, because the answer to its TakeOver was lost.
func (r *Roster) CellsToTakeOver(cells []string, isRunning func(cell string) bool) (chosen []string) {
	now := boot.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLoaded || r.self.IsLeaving {
		return nil
	}
	owned := make(map[string]int)
	for _, o := range r.owners {
		owned[o.Name]++
	}
	members := slices.DeleteFunc(r.sortedMembers(), func(m Member) bool { return m.IsLeaving })
	for _, cell := range slices.Sorted(slices.Values(cells)) {
		owner, isOwned := r.owners[cell]
		if isOwned {
			delete(r.unownedSince, cell)
			if r.isOwnEarlierIncarnation(owner) || owner.Incarnation == r.self.Incarnation && !isRunning(cell) {
				chosen = append(chosen, cell)
			}
			continue
		}
		if r.unownedSince[cell].IsZero() {
			r.unownedSince[cell] = now
		}
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.load(owned[a.Name]+1), b.load(owned[b.Name]+1)),
				cmp.Compare(rendezvousHash(a.Name, cell), rendezvousHash(b.Name, cell)))
		})
		rank := slices.IndexFunc(members, func(m Member) bool { return m.Name == r.self.Name })
		if rank < 0 {
			continue
		}
		owned[members[0].Name]++
		delay := time.Duration(rank) * rankDelay
		if now.Sub(r.startedAt) < startupGrace || now.Sub(r.shrunkAt) < startupGrace {
			// Other members may still be starting or returning, and may be less
			// loaded.
			delay += startupGrace
		}
		if now.Sub(r.unownedSince[cell]) >= delay {
			chosen = append(chosen, cell)
		}
	}
	return chosen
}

// isOwnEarlierIncarnation reports whether the owner is an earlier process of this
// entry at the same address.
func (r *Roster) isOwnEarlierIncarnation(o Ownership) bool {
	return o.Name == r.self.Name && o.Peer == r.self.Peer && o.Incarnation != r.self.Incarnation
}

// rendezvousHash ranks members with equal load for a cell by rendezvous hashing, so
// that all entries choose the same one.
func rendezvousHash(member, cell string) uint64 { return xxhash.Sum64String(member + "/" + cell) }

// Announce writes this entry as a member under its lease, in place of an announcement that
// this process or an earlier one has written. Each announcement depends on the revision of
// the key that it replaces, so that one without an answer is void after a later one.
func (r *Roster) Announce(ctx context.Context, lease store.Lease) (err error) {
	for range maxAnnounceAttempts {
		err = r.announceOnce(ctx, lease)
		if _, ok := errors.AsType[*store.ConflictError](err); !ok {
			return err
		}
	}
	return err
}

// announceOnce writes the member key if it has the last known revision. After a conflict
// the revision is known.
func (r *Roster) announceOnce(ctx context.Context, lease store.Lease) error {
	// Both are read under one lock: a revision that was learned after Leave must not be
	// the condition of a value from before.
	r.mu.Lock()
	self, revision := r.self, r.selfRevision
	r.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	put := store.Put{Key: memberPrefix + self.Name, Value: value, Lease: lease}
	revision, err = r.replaceKey(ctx, put, revision)
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	if err != nil && !isConflict {
		return err
	}
	if isConflict {
		if item, isFound := conflict.Item(put.Key); isFound {
			revision = item.Revision
		}
	}
	r.mu.Lock()
	r.selfRevision = revision
	r.mu.Unlock()
	return err
}

// Leave marks this entry as leaving, so that it takes over no more cells. The next
// Announce makes that known to the other entries.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.self.IsLeaving = true
	r.mu.Unlock()
}

// TakeOver tries to make this entry the owner of a cell, in place of the owner in the
// view if there is one. It returns the condition for writes to the cell, whose revision is
// new even if this process has owned the cell before: writes under the earlier ownership
// that are carried out late must not meet the condition of the new owner. The error is
// nil only if the ownership is confirmed; after an error the cell may be owned all the
// same.
func (r *Roster) TakeOver(ctx context.Context, cell string, lease store.Lease) (condition store.Condition, err error) {
	r.mu.Lock()
	self := r.self
	current := r.owners[cell]
	r.mu.Unlock()
	value, err := json.Marshal(Ownership{Name: self.Name, Incarnation: self.Incarnation, Peer: self.Peer})
	if err != nil {
		return store.Condition{}, err
	}
	put := store.Put{Key: ownerPrefix + cell, Value: value, Lease: lease}
	revision, err := r.replaceKey(ctx, put, current.Revision)
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		// The view may not show the ownership of an earlier attempt or owner of this
		// process yet.
		item, isFound := conflict.Item(put.Key)
		if isFound && bytes.Equal(item.Value, value) && item.Lease == lease {
			revision, err = r.replaceKey(ctx, put, item.Revision)
		}
	}
	return store.Condition{Key: put.Key, Revision: revision}, err
}

// replaceKey writes a key if it has a revision, 0 if it does not exist, and returns the new
// revision.
func (r *Roster) replaceKey(ctx context.Context, put store.Put, revision int64) (next int64, err error) {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return r.config.Client.Commit(commitCtx, store.Change{
		If: []store.Condition{{Key: put.Key, Revision: revision}}, Puts: []store.Put{put},
	})
}

// Release removes the ownership of a cell if it is still held at the revision of the
// condition.
func (r *Roster) Release(ctx context.Context, condition store.Condition) error {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := r.config.Client.Commit(commitCtx, store.Change{If: []store.Condition{condition}, Remove: []string{condition.Key}})
	return err
}
