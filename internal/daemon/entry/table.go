package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// maxPendingTables bounds the tables that may be pending at once, that is,
	// not yet in force at every entry.
	maxPendingTables = 32
	// rankDelay is how long an entry waits for each entry before it in the
	// order of names to write a new table first.
	rankDelay = time.Second
	// goneMargin is added to the ledger's recovery time before the slice of a
	// holder that is gone is given to others.
	goneMargin = 2 * time.Second
)

// Holder is the instance on which the holder of a slice runs, and its data
// centre.
type Holder struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
}

// TableDocument is the slice table as stored in the platform.
type TableDocument struct {
	// ID is unique to each write. If the response to a write is lost, reading the
	// key back shows whether the write took effect.
	ID string `json:"id"`
	// Tables are all tables from the oldest that may still be in force at some
	// entry to the newest.
	Tables []units.Table `json:"tables"`
	// Holders are the holders in the newest table, by entry.
	Holders map[string]Holder `json:"holders"`
}

// check finds errors that no writer of the table makes. The error is a
// *fault.ValidationError.
func (t TableDocument) check() error {
	list := &fault.ValidationError{}
	if t.ID == "" || len(t.Tables) == 0 || len(t.Holders) == 0 {
		list.Add("", "the document has no id, no table or no holder")
	}
	for i, table := range t.Tables {
		path := fmt.Sprintf("/tables/%d", i)
		if i > 0 && table.Revision <= t.Tables[i-1].Revision {
			list.Add(path+"/revision", "not after the one before")
		}
		if !table.IsComplete() {
			list.Add(path+"/slices", "the slices do not fill the whole")
		}
	}
	return list.Err()
}

// Revision returns the revision of the newest table, or 0 if there is none.
func (t TableDocument) Revision() uint64 {
	if len(t.Tables) == 0 {
		return 0
	}
	return t.Tables[len(t.Tables)-1].Revision
}

// updateTable writes a new table when entries have joined or are known to be
// gone. Every entry may do so: the compare-and-swap lets only one succeed. The
// first entry in the order of names also restores documents that the platform
// has lost.
func (e *Entry) updateTable(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.recordGoneHolders(now)
	holders := e.desiredHolders(now)
	next, isDue := e.nextTable(now, holders)
	version := e.state.storedTable.version
	isReachable := e.state.isReachable
	isFirst := e.rank(now) == 0
	e.mu.Unlock()
	if !isReachable || e.isLeaving.Load() {
		return
	}
	if isDue {
		_ = e.writeTable(ctx, next, version)
	}
	if isFirst {
		e.restoreDocuments(ctx)
	}
}

// nextTable returns the table for the holders if they differ from those of the
// current table and the entries before this one have had their time to write
// it. The caller holds e.mu.
func (e *Entry) nextTable(now time.Time, holders map[string]Holder) (next TableDocument, isDue bool) {
	if maps.Equal(holders, e.state.table.Holders) {
		e.state.tableOutdatedSince = time.Time{}
		return TableDocument{}, false
	}
	if e.state.tableOutdatedSince.IsZero() {
		e.state.tableOutdatedSince = now
	}
	if now.Sub(e.state.tableOutdatedSince) < time.Duration(e.rank(now))*rankDelay {
		return TableDocument{}, false
	}
	return e.composeTable(holders)
}

// composeTable returns a new table with equal slices for the holders. ok is
// false if there are no holders or too many tables are pending. The caller
// holds e.mu.
func (e *Entry) composeTable(holders map[string]Holder) (next TableDocument, ok bool) {
	history := e.state.barrier.Tables()
	if len(holders) == 0 || len(history) >= maxPendingTables {
		return TableDocument{}, false
	}
	names := slices.Collect(maps.Keys(holders))
	table := units.NewEqualTable(e.state.table.Revision()+1, names)
	return TableDocument{ID: uuid.NewString(), Tables: append(history, table), Holders: holders}, true
}

// writeTable writes a table in place of the given version in the platform.
// After a conflict it applies the platform's table and returns the
// *platform.ConflictError.
func (e *Entry) writeTable(ctx context.Context, next TableDocument, version int64) error {
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	written, err := e.platform.CompareAndSwap(ctx, keyTable, version, data, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		e.applyTable(data, written)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		e.applyTable(conflict.Current.Data, conflict.Current.Version)
	}
	return err
}

// rank returns the number of members that are alive, not leaving and before
// this entry in the order of names. The caller holds e.mu.
func (e *Entry) rank(now time.Time) (rank int) {
	for _, m := range e.state.aliveMembers(now) {
		if m.Entry < e.id && !m.Leaving {
			rank++
		}
	}
	return rank
}

// desiredHolders returns the holders that the table should have: the current
// ones, except those whose process has been gone for the recovery time plus
// goneMargin, so that none of their work can be running any more, and the
// members that are alive, not leaving and not missing from the platform's list
// of instances. The caller holds e.mu.
func (e *Entry) desiredHolders(now time.Time) map[string]Holder {
	holders := make(map[string]Holder)
	for entry, holder := range e.state.table.Holders {
		since, isGone := e.state.goneSince[entry]
		if !isGone || now.Sub(since) < e.teams.RecoveryTime()+goneMargin {
			holders[entry] = holder
		}
	}
	for _, m := range e.state.aliveMembers(now) {
		_, isHolder := holders[m.Entry]
		if !m.Leaving && m.Name != "" && !isHolder && !e.isUnlisted(m.Name) {
			holders[m.Entry] = Holder{Name: m.Name, Centre: m.Centre}
		}
	}
	return holders
}

// recordGoneHolders records since when the process of each holder is known to
// be gone: either the platform's list of instances lacks its instance, or
// another process runs on that instance. An expired lease alone is no evidence,
// since the process may still be running. The caller holds e.mu.
func (e *Entry) recordGoneHolders(now time.Time) {
	for entry, holder := range e.state.table.Holders {
		isGone := entry != e.id && (e.isUnlisted(holder.Name) || e.isReplaced(now, entry, holder.Name))
		if !isGone {
			delete(e.state.goneSince, entry)
		} else if _, isKnown := e.state.goneSince[entry]; !isKnown {
			e.state.goneSince[entry] = now
		}
	}
	for entry := range e.state.goneSince {
		if _, isHolder := e.state.table.Holders[entry]; !isHolder {
			delete(e.state.goneSince, entry)
		}
	}
}

// isUnlisted reports whether the platform's list of instances lacks the named
// instance of an entry. It returns false if the list has no entries at all,
// since then it says nothing about them.
func (e *Entry) isUnlisted(name string) bool {
	for _, instance := range e.state.listedInstances {
		if instance.Pool == platform.EntryPool {
			_, isListed := e.state.listedInstances[name]
			return !isListed
		}
	}
	return false
}

// isReplaced reports whether the entry is not alive and another entry with the
// same instance name is.
func (e *Entry) isReplaced(now time.Time, entry, name string) bool {
	if m := e.state.members[entry]; m != nil && m.isAlive(now) {
		return false
	}
	for _, m := range e.state.aliveMembers(now) {
		if m.Entry != entry && m.Name == name {
			return true
		}
	}
	return false
}
