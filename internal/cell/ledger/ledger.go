// Package ledger divides the limits of client accounts among the cells. The
// division is one document in the metadata store. A cell lowers its use before
// its part, and raises its part before its use, so that the parts in use never
// add up to more than a limit, whoever owns the cells.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Key is where the document lies.
const Key = "quota/ledger"

const (
	// commitTimeout bounds a try to change the document.
	commitTimeout = 700 * time.Millisecond
	// reserveShare of a limit is kept by a cell beyond what it needs, so that the
	// next jobs do not wait for the store.
	reserveShare = 10
	// excessShare of a limit is what a cell may keep beyond that before it gives
	// it back.
	excessShare = 5
)

// parts maps client accounts to cells to their parts.
type parts map[string]map[string]jobs.Size

// Cell is a cell that this entry owns.
type Cell struct {
	Name      string
	Condition store.Condition
	Needs     map[string]jobs.Need
}

// Ledger divides limits. It is safe for concurrent use.
type Ledger struct {
	client *store.Client
	log    *logrus.Entry
	// inForce is what the cells of this entry may use.
	inForce atomic.Pointer[parts]

	mu       sync.Mutex
	known    parts
	revision int64
	isRead   bool
	// read are the cells for which the document was read since they were taken.
	read     map[string]int64
	accounts map[string]setup.Account
	cells    int
}

// New returns a ledger.
func New(client *store.Client, log *logrus.Entry) *Ledger {
	l := &Ledger{client: client, log: log, known: make(parts), read: make(map[string]int64), accounts: make(map[string]setup.Account)}
	l.inForce.Store(&parts{})
	return l
}

// SetSetup takes the limits of a configuration.
func (l *Ledger) SetSetup(s *setup.Setup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, account := range s.Accounts {
		l.accounts[name] = account
	}
	l.cells = max(len(s.Pools), 1)
	l.publish(nil)
}

// Entitled returns what a client account may use in a cell.
func (l *Ledger) Entitled(cell, account string) (limit jobs.Size, isBounded bool) {
	part, ok := (*l.inForce.Load())[account][cell]
	return part, ok || account != ""
}

// unbounded stands for a resource without a limit.
const unbounded = 1 << 50

// publish makes the parts visible to the cells. While a change is under way,
// next holds it, and the lesser of both counts.
func (l *Ledger) publish(next parts) {
	shown := make(parts, len(l.accounts))
	for name, account := range l.accounts {
		row := make(map[string]jobs.Size)
		for cell := range l.read {
			part := l.known[name][cell]
			if next != nil {
				part = least(part, next[name][cell])
			}
			row[cell] = withLimit(part, account.Limit, l.sum(name))
		}
		shown[name] = row
	}
	l.inForce.Store(&shown)
}

func (l *Ledger) sum(account string) (sum jobs.Size) {
	for _, part := range l.known[account] {
		sum = sum.Plus(part)
	}
	return sum
}

func least(a, b jobs.Size) jobs.Size {
	return jobs.Size{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPUs: min(a.GPUs, b.GPUs)}
}

// withLimit scales a part down if the parts add up to more than the limit, which
// happens when the limit was lowered, and lifts it where there is none.
func withLimit(part, limit, sum jobs.Size) jobs.Size {
	scale := func(part, limit, sum int64) int64 {
		if limit == 0 {
			return unbounded
		}
		if sum > limit {
			return part * limit / sum
		}
		return part
	}
	return jobs.Size{
		CPU:    scale(part.CPU, limit.CPU, sum.CPU),
		Memory: scale(part.Memory, limit.Memory, sum.Memory),
		GPUs:   scale(part.GPUs, limit.GPUs, sum.GPUs),
	}
}

// Balance adapts the parts of the cells that this entry owns to their needs.
func (l *Ledger) Balance(ctx context.Context, cells []Cell) (err error) {
	l.mu.Lock()
	isNew := !l.isRead
	owned := make(map[string]int64, len(cells))
	for _, cell := range cells {
		owned[cell.Name] = cell.Condition.Revision
		isNew = isNew || l.read[cell.Name] != cell.Condition.Revision
	}
	for name := range l.read {
		if owned[name] != l.read[name] {
			delete(l.read, name)
		}
	}
	l.mu.Unlock()
	if len(cells) == 0 {
		return nil
	}
	if isNew {
		if err := l.reload(ctx, owned); err != nil {
			return err
		}
	}
	if next, isChanged := l.propose(cells); !isChanged && l.isShort(cells, next) {
		// Another cell may have given back what this one lacks.
		if err := l.reload(ctx, owned); err != nil {
			return err
		}
	}
	for range balanceTries {
		next, isChanged := l.propose(cells)
		if !isChanged {
			return nil
		}
		if err = l.commit(ctx, cells, next); err == nil {
			return nil
		}
		if _, ok := errors.AsType[*store.ConflictError](err); !ok {
			// The change may be in force, so the document is read before the next.
			l.mu.Lock()
			l.isRead = false
			l.mu.Unlock()
			return err
		}
	}
	return err
}

// isShort tells whether a cell wants more than its part.
func (l *Ledger) isShort(cells []Cell, current parts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cell := range cells {
		for name, need := range cell.Needs {
			account, isKnown := l.accounts[name]
			wanted := need.Used.Plus(need.Wanted)
			if isKnown && !need.Wanted.IsZero() && !wanted.Fits(withLimit(current[name][cell.Name], account.Limit, jobs.Size{})) {
				return true
			}
		}
	}
	return false
}

// balanceTries is how often a change is proposed again when another entry was
// faster.
const balanceTries = 4

func (l *Ledger) reload(ctx context.Context, owned map[string]int64) error {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := l.client.Get(call, Key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	known := make(parts)
	if err == nil {
		if err := json.Unmarshal(item.Value, &known); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known, l.revision, l.isRead = known, item.Revision, true
	for name, revision := range owned {
		l.read[name] = revision
	}
	l.publish(nil)
	return nil
}

// propose returns the parts as they should be.
func (l *Ledger) propose(cells []Cell) (next parts, isChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next = make(parts, len(l.known))
	for account, row := range l.known {
		copied := make(map[string]jobs.Size, len(row))
		for cell, part := range row {
			copied[cell] = part
		}
		next[account] = copied
	}
	for name, account := range l.accounts {
		if next[name] == nil {
			next[name] = make(map[string]jobs.Size)
		}
		for _, cell := range cells {
			if l.adapt(next[name], account.Limit, cell, cell.Needs[name]) {
				isChanged = true
			}
		}
	}
	return next, isChanged
}

// adapt changes the part of one cell in a row.
func (l *Ledger) adapt(row map[string]jobs.Size, limit jobs.Size, cell Cell, need jobs.Need) (isChanged bool) {
	var sum jobs.Size
	for _, part := range row {
		sum = sum.Plus(part)
	}
	part, isKnown := row[cell.Name]
	used, wanted := need.Used, need.Used.Plus(need.Wanted)
	one := func(part, limit, sum, used, wanted int64) int64 {
		if limit == 0 {
			return 0
		}
		reserve := limit / reserveShare
		target := min(wanted+reserve, limit)
		switch {
		case !isKnown, wanted > part:
			return min(target, part+max(limit-sum, 0))
		case part > target+limit/excessShare, sum > limit && part > max(used, target):
			return max(target, used)
		}
		return part
	}
	next := jobs.Size{
		CPU:    one(part.CPU, limit.CPU, sum.CPU, used.CPU, wanted.CPU),
		Memory: one(part.Memory, limit.Memory, sum.Memory, used.Memory, wanted.Memory),
		GPUs:   one(part.GPUs, limit.GPUs, sum.GPUs, used.GPUs, wanted.GPUs),
	}
	if isKnown && next == part {
		return false
	}
	row[cell.Name] = next
	return true
}

func (l *Ledger) commit(ctx context.Context, cells []Cell, next parts) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.publish(next)
	change := store.Change{
		If:   []store.Condition{{Key: Key, Revision: l.revision}},
		Puts: []store.Put{{Key: Key, Value: value}},
	}
	l.mu.Unlock()
	for _, cell := range cells {
		change.If = append(change.If, cell.Condition)
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := l.client.Commit(call, change)
	l.mu.Lock()
	defer l.mu.Unlock()
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		for _, item := range conflict.Items {
			if item.Key != Key {
				continue
			}
			known := make(parts)
			if item.Revision > 0 {
				if failure := json.Unmarshal(item.Value, &known); failure != nil {
					return failure
				}
			}
			l.known, l.revision = known, item.Revision
		}
		l.publish(nil)
		return err
	}
	if err != nil {
		return err
	}
	l.known, l.revision = next, revision
	l.publish(nil)
	event.LimitsRedistributed.Log(l.log, logrus.Fields{"revision": revision})
	return nil
}
