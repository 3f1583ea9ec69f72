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
	// maxTables bounds the tables that may be unsettled at once.
	maxTables = 32
	// rankDelay is how long an entry leaves a change of the table to those
	// before it in the order of names.
	rankDelay = time.Second
	// goneMargin is added to the time after which a missing holder's slice is
	// given to others.
	goneMargin = 2 * time.Second
)

// Holder tells where the holder of a slice runs.
type Holder struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
}

// TableDocument is the slice table as it lies in the platform.
type TableDocument struct {
	// ID is unique to each write, so that a lost reply can be settled.
	ID string `json:"id"`
	// Tables are the tables from the oldest that may still be in force
	// somewhere to the newest.
	Tables []units.Table `json:"tables"`
	// Holders are those of the newest table.
	Holders map[string]Holder `json:"holders"`
}

// check finds what no writer of the table would leave. The error is a
// *fault.ListError.
func (t TableDocument) check() error {
	list := &fault.ListError{}
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

// Revision returns the revision of the newest table, 0 if there is none.
func (t TableDocument) Revision() uint64 {
	if len(t.Tables) == 0 {
		return 0
	}
	return t.Tables[len(t.Tables)-1].Revision
}

// tendTable writes a new table when entries have come or are known to be gone.
// Any entry may do it; the compare-and-swap lets one win.
func (e *Entry) tendTable(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.noteMissing(now)
	holders := e.wantedHolders(now)
	next, isDue := e.nextTable(now, holders)
	version := e.state.tableStore.version
	isReached := e.state.reached
	isFirst := e.rank(now) == 0
	e.mu.Unlock()
	if !isReached || e.leaving.Load() {
		return
	}
	if isDue {
		_ = e.writeTable(ctx, next, version)
	}
	if isFirst {
		e.restoreAll(ctx)
	}
}

// nextTable returns the table for the holders if it differs from the present
// one and it is this entry's turn to write it.
func (e *Entry) nextTable(now time.Time, holders map[string]Holder) (next TableDocument, isDue bool) {
	if maps.Equal(holders, e.state.table.Holders) {
		e.state.tableDue = time.Time{}
		return TableDocument{}, false
	}
	if e.state.tableDue.IsZero() {
		e.state.tableDue = now
	}
	if now.Sub(e.state.tableDue) < time.Duration(e.rank(now))*rankDelay {
		return TableDocument{}, false
	}
	return e.composeTable(holders)
}

func (e *Entry) composeTable(holders map[string]Holder) (next TableDocument, ok bool) {
	history := e.state.barrier.Tables()
	if len(holders) == 0 || len(history) >= maxTables {
		return TableDocument{}, false
	}
	names := slices.Collect(maps.Keys(holders))
	table := units.NewEqualTable(e.state.table.Revision()+1, names)
	return TableDocument{ID: uuid.NewString(), Tables: append(history, table), Holders: holders}, true
}

// writeTable writes a table in place of the version that it was made from.
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
		e.takeTable(data, written)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		e.takeTable(conflict.Current.Data, conflict.Current.Version)
	}
	return err
}

// rank is the position of this entry among those that are there.
func (e *Entry) rank(now time.Time) (rank int) {
	for _, m := range e.state.there(now) {
		if m.Entry < e.id && !m.Leaving {
			rank++
		}
	}
	return rank
}

// wantedHolders are the present holders that may still be running work, and
// the members that are there and whose instance is not known to be gone.
func (e *Entry) wantedHolders(now time.Time) map[string]Holder {
	holders := make(map[string]Holder)
	for entry, holder := range e.state.table.Holders {
		since, isMissing := e.state.missing[entry]
		if !isMissing || now.Sub(since) < e.teams.RecoveryTime()+goneMargin {
			holders[entry] = holder
		}
	}
	for _, m := range e.state.there(now) {
		_, isHolder := holders[m.Entry]
		if !m.Leaving && m.Name != "" && !isHolder && !e.isUnlisted(m.Name) {
			holders[m.Entry] = Holder{Name: m.Name, Centre: m.Centre}
		}
	}
	return holders
}

// noteMissing notes since when the process of each holder is known to be gone:
// the platform's list does not have its instance, or another process runs on
// that instance. A lapsed lease alone says nothing.
func (e *Entry) noteMissing(now time.Time) {
	for entry, holder := range e.state.table.Holders {
		isGone := entry != e.id && (e.isUnlisted(holder.Name) || e.isReplaced(now, entry, holder.Name))
		if !isGone {
			delete(e.state.missing, entry)
		} else if _, known := e.state.missing[entry]; !known {
			e.state.missing[entry] = now
		}
	}
	for entry := range e.state.missing {
		if _, isHolder := e.state.table.Holders[entry]; !isHolder {
			delete(e.state.missing, entry)
		}
	}
}

// isUnlisted returns whether the platform's list shows entries, but not this
// one's instance.
func (e *Entry) isUnlisted(name string) bool {
	for _, instance := range e.state.live {
		if instance.Pool == platform.EntryPool {
			_, isListed := e.state.live[name]
			return !isListed
		}
	}
	return false
}

// isReplaced returns whether another process of the same instance is there and
// the given one is not.
func (e *Entry) isReplaced(now time.Time, entry, name string) bool {
	if m := e.state.members[entry]; m != nil && m.isThere(now) {
		return false
	}
	for _, m := range e.state.there(now) {
		if m.Entry != entry && m.Name == name {
			return true
		}
	}
	return false
}
