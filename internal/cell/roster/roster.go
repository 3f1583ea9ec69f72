// Package roster keeps the view of which entries live and which of them owns
// which cell, as the metadata store has it, and takes and gives up ownership.
package roster

import (
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

// Keys in the store. Both hang on the lease of the entry that wrote them.
const (
	// Prefix is what all keys of the roster begin with.
	Prefix       = "live/"
	memberPrefix = Prefix + "member/"
	ownerPrefix  = Prefix + "owner/"
)

const (
	// rankWait is how long the second entry in line lets the first one take a
	// cell, and each further one as long more.
	rankWait = 350 * time.Millisecond
	// gatherTime is within how long all entries of an installation start.
	gatherTime = 500 * time.Millisecond
	// shrunkFor is how long entries that lapsed together are expected back.
	shrunkFor = 2 * time.Second
	// commitTimeout bounds a try to take or give up a cell.
	commitTimeout = 700 * time.Millisecond
)

// Member is a living entry.
type Member struct {
	Name   string         `json:"name"`
	Centre string         `json:"centre"`
	Peer   netip.AddrPort `json:"peer"`
	// Life is unique for each start of the process.
	Life string `json:"life"`
	// Power is the processor time of the instance in cores; cells go to entries in
	// proportion to it.
	Power float64 `json:"power,omitempty"`
	// IsLeaving says that the entry takes no cells.
	IsLeaving bool `json:"leaving,omitempty"`
}

// load is how loaded the entry would be with some cells.
func (m *Member) load(cells int) float64 {
	if m.Power <= 0 {
		return float64(cells)
	}
	return float64(cells) / m.Power
}

// Ownership says who owns a cell.
type Ownership struct {
	Name string         `json:"name"`
	Life string         `json:"life"`
	Peer netip.AddrPort `json:"peer"`
	// Revision is the epoch.
	Revision int64 `json:"-"`
}

// Config sets up a Roster.
type Config struct {
	Client *store.Client
	Self   Member
	// Changed is called after each change of the view.
	Changed func()
}

// Roster is the view of an entry. It is safe for concurrent use.
type Roster struct {
	config Config

	mu      sync.Mutex
	self    Member
	members map[string]Member
	owners  map[string]Ownership
	// free is since when a cell is seen without a living owner.
	free     map[string]time.Time
	isLoaded bool
	began    time.Time
	// most is how many entries lived before some of them lapsed together, shrunk
	// when that was seen.
	most   int
	shrunk time.Time
	// updated is closed and replaced with each change of the view.
	updated chan struct{}
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{
		config: config, self: config.Self, began: boot.Now(),
		members: make(map[string]Member), owners: make(map[string]Ownership), free: make(map[string]time.Time),
		updated: make(chan struct{}),
	}
}

// Full takes all keys of the roster.
func (r *Roster) Full(items []store.Item) {
	r.mu.Lock()
	clear(r.members)
	clear(r.owners)
	r.isLoaded = true
	r.take(items)
	r.mu.Unlock()
	r.config.Changed()
}

// Update takes changes of keys of the roster.
func (r *Roster) Update(items []store.Item) {
	r.mu.Lock()
	r.take(items)
	r.mu.Unlock()
	r.config.Changed()
}

func (r *Roster) take(items []store.Item) {
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, memberPrefix); ok {
			// What cannot be read names nobody.
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
	r.watchSize()
	close(r.updated)
	r.updated = make(chan struct{})
}

// watchSize notes when half of the entries or more have lapsed together, as they
// do in an outage of the store. Most of them are back within moments.
func (r *Roster) watchSize() {
	now := boot.Now()
	count := len(r.members)
	isSmall := count*2 <= r.most
	if isSmall && r.shrunk.IsZero() {
		r.shrunk = now
	}
	if !isSmall || now.Sub(r.shrunk) > shrunkFor {
		r.most, r.shrunk = max(count, r.most), time.Time{}
		if isSmall {
			r.most = count
		}
	}
}

// Owner returns who owns a cell.
func (r *Roster) Owner(cell string) (owner Ownership, isKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, isKnown = r.owners[cell]
	return owner, isKnown
}

// Next waits until a cell has an owner other than the one with a life, and
// returns it. It waits no longer than a limit, counted for a cell without an owner
// from when that was first seen.
func (r *Roster) Next(ctx context.Context, cell, life string, limit time.Duration) (owner Ownership, isFound bool) {
	end := boot.Now().Add(limit)
	for {
		r.mu.Lock()
		owner, isFound = r.owners[cell]
		since, updated := r.free[cell], r.updated
		r.mu.Unlock()
		if isFound && owner.Life != life {
			return owner, true
		}
		if !isFound && !since.IsZero() && since.Add(limit).Before(end) {
			end = since.Add(limit)
		}
		wait := end.Sub(boot.Now())
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

// Members returns the living entries, by name.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list()
}

func (r *Roster) list() []Member {
	list := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// ToTake returns which of some cells this entry should try to take now. Cells
// without an owner go to the living entry that owns the fewest for its power; the others wait
// their turn in case it fails. A cell owned by an earlier life of this machine
// is taken at once, as that process is dead, and so is one that this process won
// without learning of it.
func (r *Roster) ToTake(cells []string, isRunning func(cell string) bool) (take []string) {
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
	members := slices.DeleteFunc(r.list(), func(m Member) bool { return m.IsLeaving })
	for _, cell := range slices.Sorted(slices.Values(cells)) {
		owner, isOwned := r.owners[cell]
		if isOwned {
			delete(r.free, cell)
			if r.isEarlierSelf(owner) || owner.Life == r.self.Life && !isRunning(cell) {
				take = append(take, cell)
			}
			continue
		}
		if r.free[cell].IsZero() {
			r.free[cell] = now
		}
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.load(owned[a.Name]+1), b.load(owned[b.Name]+1)),
				cmp.Compare(weight(a.Name, cell), weight(b.Name, cell)))
		})
		rank := slices.IndexFunc(members, func(m Member) bool { return m.Name == r.self.Name })
		if rank < 0 {
			continue
		}
		owned[members[0].Name]++
		wait := time.Duration(rank) * rankWait
		if now.Sub(r.began) < gatherTime || now.Sub(r.shrunk) < gatherTime {
			// The others start at the same time and may suit better.
			wait += gatherTime
		}
		if now.Sub(r.free[cell]) >= wait {
			take = append(take, cell)
		}
	}
	return take
}

func (r *Roster) isEarlierSelf(o Ownership) bool {
	return o.Name == r.self.Name && o.Peer == r.self.Peer && o.Life != r.self.Life
}

// weight orders entries for a cell by rendezvous.
func weight(member, cell string) uint64 { return xxhash.Sum64String(member + "/" + cell) }

// Announce writes the entry itself under its lease.
func (r *Roster) Announce(ctx context.Context, lease store.Lease) error {
	r.mu.Lock()
	self := r.self
	r.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = r.config.Client.Commit(call, store.Change{
		Puts: []store.Put{{Key: memberPrefix + self.Name, Value: value, Lease: lease}},
	})
	return err
}

// Leave marks the entry as leaving, so that it takes no more cells.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.self.IsLeaving = true
	r.mu.Unlock()
}

// Take tries to become the owner of a cell. The condition returned is the one
// under which the cell may be written. The error is nil only if that is certain.
func (r *Roster) Take(ctx context.Context, cell string, lease store.Lease) (condition store.Condition, err error) {
	r.mu.Lock()
	self := r.self
	known := r.owners[cell]
	r.mu.Unlock()
	value, err := json.Marshal(Ownership{Name: self.Name, Life: self.Life, Peer: self.Peer})
	if err != nil {
		return store.Condition{}, err
	}
	key := ownerPrefix + cell
	change := store.Change{
		If:   []store.Condition{{Key: key, Revision: known.Revision}},
		Puts: []store.Put{{Key: key, Value: value, Lease: lease}},
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := r.config.Client.Commit(call, change)
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		// A try without an answer may have been carried out.
		for _, item := range conflict.Items {
			if item.Key == key && string(item.Value) == string(value) && item.Lease == lease {
				return store.Condition{Key: key, Revision: item.Revision}, nil
			}
		}
	}
	return store.Condition{Key: key, Revision: revision}, err
}

// GiveUp removes the ownership of a cell.
func (r *Roster) GiveUp(ctx context.Context, condition store.Condition) error {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := r.config.Client.Commit(call, store.Change{If: []store.Condition{condition}, Remove: []string{condition.Key}})
	return err
}
