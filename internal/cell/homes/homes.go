// Package homes records in the metadata store which cells hold the jobs of each queue. All rows are
// one document. A queue's home is the only cell that accepts new jobs of it, and each write of new
// jobs depends on the document, so that the store orders moves of queues and acceptances.
package homes

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
)

// Key is the store key of the document. It is below the prefix of the roster, which every entry
// watches.
const Key = "live/homes"

const (
	// callTimeout bounds one read or write of the document.
	callTimeout = 700 * time.Millisecond
	// maxMoveAttempts is how often a move is written when writes of other entries conflict
	// with it.
	maxMoveAttempts = 8
)

// ErrMoved reports that a cell is not the home of a queue, or not since the expected move.
var ErrMoved = errors.New("the queue has moved to another cell")

// Row says where the jobs of a queue are.
type Row struct {
	// Cells may hold jobs of the queue. The first one is the home.
	Cells []string `json:"cells"`
	// Setup is the store revision of the configuration that has set the home.
	Setup int64 `json:"setup"`
	// Move identifies when that was: the revision of the document before.
	Move int64 `json:"move"`
}

// Home returns the home, empty if there is none.
func (r Row) Home() string {
	if len(r.Cells) == 0 {
		return ""
	}
	return r.Cells[0]
}

// document holds a row for each name and each path of a queue. Names have no slash at the
// beginning.
type document map[string]Row

// row returns where the jobs of a queue are. The row of the path says which cell is the home, as another
// queue may have had the name; that of the name only adds cells. isStored reports that both exist and
// are of the same move.
func (d document) row(q *setup.Queue) (row Row, isStored bool) {
	row, hasPath := d[q.Path()]
	byName, hasName := d[q.Name]
	row.Cells = slices.Clone(row.Cells)
	for _, cell := range byName.Cells {
		if !slices.Contains(row.Cells, cell) {
			row.Cells = append(row.Cells, cell)
		}
	}
	return row, hasPath && hasName && row.Move == byName.Move
}

// Homes is this entry's view of the document. It is safe for concurrent use.
type Homes struct {
	client *store.Client
	log    *logrus.Entry

	mu     sync.Mutex
	stored document
	// revision is that of the last state of the document that was seen, base the one that a
	// condition names: 0 while there is no document.
	revision, base int64
	// isReading reports that a shared read is in progress; nextRead is the one that begins after it, nil if no
	// call waits for it.
	isReading bool
	nextRead  *sharedRead
}

// New returns a view that knows no rows yet.
func New(client *store.Client, log *logrus.Entry) *Homes {
	return &Homes{client: client, log: log, stored: make(document)}
}

// Update applies changed keys of a watch. Those of others are ignored.
func (h *Homes) Update(items []store.Item) {
	for _, item := range items {
		if item.Key == Key {
			// Without a view, the document is read when it is needed.
			_ = h.apply(item)
		}
	}
}

// apply replaces the view by a state of the document, unless that is older. Revision 0 is the state
// of a document that does not exist, as reads and conflicts return it.
func (h *Homes) apply(item store.Item) (err error) {
	defer fault.Annotate(&err, "homes of queues")
	next := make(document)
	if len(item.Value) > 0 && !item.IsRemoved {
		if err := json.Unmarshal(item.Value, &next); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case item.Revision == 0:
		h.stored, h.base = next, 0
	case item.Revision >= h.revision:
		h.stored, h.revision, h.base = next, item.Revision, item.Revision
		if item.IsRemoved {
			h.base = 0
		}
	}
	return nil
}

// Refresh reads the document from the store. All calls that wait share a read, which begins after each
// of them: requests about jobs that nobody knows must not take the store's connections.
func (h *Homes) Refresh(ctx context.Context) error {
	h.mu.Lock()
	if h.nextRead == nil {
		h.nextRead = &sharedRead{done: make(chan struct{})}
	}
	r := h.nextRead
	if !h.isReading {
		h.isReading = true
		go h.readShared()
	}
	h.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sharedRead is a read for all calls of Refresh that wait for it. err is set when done is closed.
type sharedRead struct {
	done chan struct{}
	err  error
}

// readShared reads the document for the calls that wait, until there are none.
func (h *Homes) readShared() {
	for {
		h.mu.Lock()
		r := h.nextRead
		h.nextRead, h.isReading = nil, r != nil
		h.mu.Unlock()
		if r == nil {
			return
		}
		r.err = h.read()
		close(r.done)
	}
}

// read reads the document from the store.
func (h *Homes) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	item, err := h.client.Get(ctx, Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return h.apply(item)
}

// Row returns the cells of a queue as far as is known here.
func (h *Homes) Row(q *setup.Queue) Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, _ := h.stored.row(q)
	return row
}

// Cells returns all cells that may hold jobs, in the order of their names.
func (h *Homes) Cells() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	cells := make(map[string]bool)
	for _, row := range h.stored {
		for _, cell := range row.Cells {
			cells[cell] = true
		}
	}
	return slices.Sorted(maps.Keys(cells))
}

// Settle returns where the jobs of a queue are after it has made the queue's pool its home, if
// the configuration at a store revision is later than the one of the last move.
func (h *Homes) Settle(ctx context.Context, q *setup.Queue, revision int64) (row Row, err error) {
	for range maxMoveAttempts {
		row, change, isDue := h.propose(q, revision)
		if !isDue {
			return row, nil
		}
		value, err := json.Marshal(change.next)
		if err != nil {
			return Row{}, err
		}
		commitCtx, cancel := context.WithTimeout(ctx, callTimeout)
		committed, err := h.client.Commit(commitCtx, store.Change{
			If: []store.Condition{{Key: Key, Revision: change.base}}, Puts: []store.Put{{Key: Key, Value: value}},
		})
		cancel()
		if err == nil {
			event.QueueMoved.Log(h.log, logrus.Fields{
				"queue": q.Name, "cell": row.Home(), "cells": len(row.Cells), "setup": revision, "revision": committed,
			})
			if err := h.apply(store.Item{Key: Key, Value: value, Revision: committed}); err != nil {
				return Row{}, err
			}
			return row, nil
		}
		conflict, isConflict := errors.AsType[*store.ConflictError](err)
		if !isConflict {
			return Row{}, err
		}
		if item, isListed := conflict.Item(Key); isListed {
			if err := h.apply(item); err != nil {
				return Row{}, err
			}
		}
	}
	return Row{}, ErrMoved
}

// proposal is a document to be written over the one at revision base.
type proposal struct {
	next document
	base int64
}

// propose returns the row of a queue after a move to its pool; isDue is false if no move is needed.
func (h *Homes) propose(q *setup.Queue, revision int64) (row Row, change proposal, isDue bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, isStored := h.stored.row(q)
	_, hasPath := h.stored[q.Path()]
	isLater := !hasPath || row.Home() != q.Pool && revision > row.Setup
	if isStored && !isLater {
		return row, proposal{}, false
	}
	if isLater {
		row.Cells = append([]string{q.Pool}, slices.DeleteFunc(row.Cells, func(cell string) bool { return cell == q.Pool })...)
		row.Setup = revision
	}
	row.Move = h.revision
	next := maps.Clone(h.stored)
	next[q.Name], next[q.Path()] = row, row
	return row, proposal{next: next, base: h.base}, true
}

// Acceptance is a new job's claim to be stored in a cell.
type Acceptance struct {
	// Queue is the name of the job's queue and Path where it is, empty if the job came from a peer that
	// does not say; Move is that of Row.Move.
	Queue, Path string
	Move        int64
}

// Check returns the condition under which new jobs may be stored in a cell. current is the present
// state of the document if the last condition was not met, nil otherwise. The error is ErrMoved if
// the cell is not the home of one of the queues since the expected move, by its name and by its path.
func (h *Homes) Check(cell string, accepted []Acceptance, current *store.Item) (condition store.Condition, err error) {
	if current != nil {
		if err := h.apply(*current); err != nil {
			return store.Condition{}, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range accepted {
		for _, key := range []string{a.Queue, a.Path} {
			if row := h.stored[key]; key != "" && (row.Home() != cell || row.Move != a.Move) {
				return store.Condition{}, ErrMoved
			}
		}
	}
	return store.Condition{Key: Key, Revision: h.base}, nil
}
