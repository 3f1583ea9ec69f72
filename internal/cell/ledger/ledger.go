// Package ledger divides the limits of client accounts among the cells. The
// allocations of all cells are one document in the metadata store. A cell lowers its
// use before its allocation, and raises its allocation before its use, so that the
// allocations in use never add up to more than a limit, whichever entries own the
// cells.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Key is the store key of the allocation document.
const Key = "quota/ledger"

const (
	// commitTimeout bounds one read or write of the document.
	commitTimeout = 700 * time.Millisecond
	// reserveDivisor gives the reserve that a cell keeps above its need, as the limit
	// divided by it, so that new jobs need not wait for a write to the store.
	reserveDivisor = 10
	// excessDivisor gives the excess over need and reserve that a cell may keep
	// before it returns it, as the limit divided by it.
	excessDivisor = 5
	// A limit is scarce while the allocations leave less than the limit divided by
	// scarceDivisor. scarceReserveDivisor gives the reserve that a cell keeps then. It may
	// keep as much again before it returns the excess, so that not each task that ends causes
	// a write.
	scarceDivisor        = 6
	scarceReserveDivisor = 40
	// scarcityCheckPasses is the number of calls of Balance from one read of the document to
	// the next that checks whether a limit has become scarce.
	scarcityCheckPasses = 3
	// shareDivisor gives the steps of the shares to which allocations beyond a limit are
	// lowered, as the limit divided by it. Each step takes a write to the store.
	shareDivisor = 64
)

// Cell is a cell owned by this entry, with the condition of its ownership.
type Cell struct {
	Name      string
	Condition store.Condition
	// Needs returns the present needs by client account. A run counts as used once its
	// placement is decided, before it is stored. Each decision that is based on an
	// allocation of before the call must be in the result.
	Needs func(ctx context.Context) (map[string]jobs.Need, error)

	// needs is the last result of Needs.
	needs map[string]jobs.Need
}

// Ledger keeps the allocations of the cells that this entry owns. It is safe for
// concurrent use.
type Ledger struct {
	// IsOwned reports whether a cell has an owner, as far as this entry knows. A nil function knows of one for each cell. It is
	// set before the first call of another method.
	IsOwned func(cell string) bool

	client *store.Client
	log    *logrus.Entry
	// effective is what the cells of this entry may use now.
	effective atomic.Pointer[map[string]map[string]jobs.Size]

	// balancing is held during Balance. It is locked before mu.
	balancing sync.Mutex

	mu sync.Mutex
	// stored is the document as last read or written, at revision.
	stored   allocations
	revision int64
	// isLoaded is unset while stored may be outdated because the outcome of a write
	// is unknown.
	isLoaded bool
	// loadedEpochs maps each owned cell to the epoch of its ownership (the revision
	// of Cell.Condition) under which the document was read. Cells that are not in it
	// may use nothing.
	loadedEpochs map[string]int64
	accounts     map[string]setup.Account
	// outdated holds the accounts whose limits were lowered after the document was read. By
	// then other cells may have got more, within the limit of before.
	outdated map[string]bool
	// pending is the document that is being written or is about to be, nil if none is. The
	// use of an owned cell does not exceed the greater of its allocation there and the use
	// in its needs.
	pending allocations
	// passes counts the calls of Balance since the document was last read.
	passes int
	// unanswered holds the lowest allocations of the writes at revision that got no
	// answer, nil if there are none. The store may carry one of them out as long as the
	// document has this revision.
	unanswered allocations
	// pass counts the calls of Balance. patience holds how long cells have given way to
	// each claim, granted what a cell of this entry has got last, both by client account and
	// cell.
	pass     int
	patience map[accountCell]patience
	granted  map[accountCell]grant
	// unowned holds the cells that have no owner, as of the last pass.
	unowned map[string]bool
	// bounds holds what cells of this entry may use while they give way to claims.
	bounds map[accountCell]jobs.Size
}

// accountCell names the part of a client account's limit in a cell.
type accountCell struct{ account, cell string }

// New returns a ledger that allows no use until SetSetup and Balance have been
// called.
func New(client *store.Client, log *logrus.Entry) *Ledger {
	l := &Ledger{
		client: client, log: log, stored: make(allocations), loadedEpochs: make(map[string]int64),
		accounts: make(map[string]setup.Account), outdated: make(map[string]bool),
		patience: make(map[accountCell]patience), granted: make(map[accountCell]grant), unowned: make(map[string]bool), bounds: make(map[accountCell]jobs.Size),
	}
	l.effective.Store(&map[string]map[string]jobs.Size{})
	return l
}

// SetSetup applies the limits of a configuration. An account whose limit is lower than before
// may use nothing until Balance has read the document.
func (l *Ledger) SetSetup(s *setup.Setup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, account := range s.Accounts {
		if before, isKnown := l.accounts[name]; isKnown && isAnyLower(account.Limit, before.Limit) {
			l.outdated[name] = true
		}
		l.accounts[name] = account
	}
	l.publish()
}

// isAnyLower reports whether a limit is lower than another one for some resource.
func isAnyLower(limit, other jobs.Size) bool {
	isLower := func(limit, other int64) bool { return limit > 0 && (other == 0 || limit < other) }
	return isLower(limit.CPU, other.CPU) || isLower(limit.Memory, other.Memory) || isLower(limit.GPUs, other.GPUs)
}

// Allocation returns the resources that a client account may use in a cell. isBounded
// is false only for work without an account.
func (l *Ledger) Allocation(cell, account string) (limit jobs.Size, isBounded bool) {
	allocation, ok := (*l.effective.Load())[account][cell]
	return allocation, ok || account != ""
}

// Cells returns the cells that have allocations or claims, in the order of their names. Those of
// a cell without an owner cannot be used by others.
func (l *Ledger) Cells() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	cells := make(map[string]bool)
	for _, row := range l.stored {
		for cell, allocation := range row {
			if !allocation.IsZero() || allocation.Claim != nil {
				cells[cell] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(cells))
}

// unbounded is the allocation of a resource without a limit. It is stored, so that a limit that
// is set later counts each cell as using all until it has stored its use.
const unbounded = 1 << 50

// publish recomputes the effective allocations: the lowest of the stored ones, those that the
// store has not got or may still get, and those to which cells give way. The caller holds l.mu.
func (l *Ledger) publish() {
	effective := make(map[string]map[string]jobs.Size, len(l.accounts))
	for name, account := range l.accounts {
		row := make(map[string]jobs.Size)
		effective[name] = row
		if l.outdated[name] {
			continue
		}
		for cell := range l.loadedEpochs {
			stored := l.stored[name][cell].Size
			allocation := stored
			for _, document := range []allocations{l.pending, l.unanswered} {
				if document != nil {
					allocation = minSize(allocation, document[name][cell].Size)
				}
			}
			if bound, isBounded := l.bounds[accountCell{name, cell}]; isBounded {
				allocation = minSize(allocation, bound)
			}
			row[cell] = usable(allocation, stored, account.Limit, sumOf(l.stored[name]))
		}
	}
	l.effective.Store(&effective)
}

// sumOf returns the sum of an account's allocations by cell.
func sumOf(row map[string]allocation) (sum jobs.Size) {
	for _, a := range row {
		sum = sum.Plus(a.Size)
	}
	return sum
}

// lowest returns the lower allocations of two documents. An allocation that one of them
// lacks is 0.
func lowest(a, b allocations) allocations {
	result := make(allocations, len(a))
	for account, row := range a {
		result[account] = make(map[string]allocation, len(row))
		for cell, stored := range row {
			result[account][cell] = allocation{Size: minSize(stored.Size, b[account][cell].Size)}
		}
	}
	return result
}

// setStored records the document of the store. The writes without an answer depend on
// the revision before, so none of them is carried out once the document has another one.
// The caller holds l.mu.
func (l *Ledger) setStored(document allocations, revision int64) {
	if revision != l.revision {
		l.unanswered = nil
	}
	l.stored, l.revision = document, revision
}

// usable returns what a cell may use of an allocation under a limit: no more than the stored
// allocations of the other cells leave. They add up to more than the limit when it was lowered
// or set. stored is the cell's own stored allocation and sum that of all cells.
func usable(allocation, stored, limit, sum jobs.Size) jobs.Size {
	usableOne := func(allocation, stored, limit, sum int64) int64 {
		if limit == 0 {
			return allocation
		}
		return max(min(allocation, limit-(sum-stored)), 0)
	}
	return jobs.Size{
		CPU:    usableOne(allocation.CPU, stored.CPU, limit.CPU, sum.CPU),
		Memory: usableOne(allocation.Memory, stored.Memory, limit.Memory, sum.Memory),
		GPUs:   usableOne(allocation.GPUs, stored.GPUs, limit.GPUs, sum.GPUs),
	}
}

// Balance adjusts the allocations of the cells that this entry owns to their needs. Needs
// are read once, and again if allocations are to be lowered.
// cells must be all of them: a cell that is left out is dropped, and the document is
// read again when the cell is next passed. After an error other than a conflict it is
// unknown whether the document has changed, so it is read again by the next call.
func (l *Ledger) Balance(ctx context.Context, cells []Cell) (err error) {
	l.balancing.Lock()
	defer l.balancing.Unlock()
	cells = l.readNeeds(ctx, cells)
	l.watchClaims()
	l.reportUnused(cells)
	owned := make(map[string]int64, len(cells))
	for _, cell := range cells {
		owned[cell.Name] = cell.Condition.Revision
	}
	isReloadDue := l.dropLostCells(owned)
	if len(cells) == 0 {
		return nil
	}
	if isReloadDue || l.isScarcityCheckDue(cells) {
		if err := l.reload(ctx, owned); err != nil {
			return err
		}
	}
	if next, isDue := l.propose(cells); !isDue && l.isShort(cells, next) {
		// Another cell may have returned resources since the document was read.
		if err := l.reload(ctx, owned); err != nil {
			return err
		}
	}
	defer l.clearPending()
	isReread := false
	for range maxBalanceAttempts {
		next, isDue := l.propose(cells)
		if !isReread && l.restrict(cells, next) {
			// The cells may have started work since their needs were read.
			isReread = true
			cells = l.readNeeds(ctx, cells)
			next, isDue = l.propose(cells)
		}
		if !isDue {
			return nil
		}
		if err = l.commit(ctx, cells, next); err == nil {
			return nil
		}
		if _, ok := errors.AsType[*store.ConflictError](err); !ok {
			// The write may have been carried out, so the document must be read again
			// before the next one.
			l.mu.Lock()
			l.isLoaded = false
			l.mu.Unlock()
			return err
		}
	}
	return err
}

// readNeeds returns the cells with their present needs. A cell whose needs cannot be read
// is left out: its owner has just stopped, and the next one reports its own needs.
func (l *Ledger) readNeeds(ctx context.Context, cells []Cell) (known []Cell) {
	for _, cell := range cells {
		needs, err := cell.Needs(ctx)
		if err != nil {
			event.OperationFailed.Log(l.log, logrus.Fields{"call": "needs", "cell": cell.Name, "error": err.Error()})
			continue
		}
		cell.needs = needs
		known = append(known, cell)
	}
	return known
}

// restrict puts the lower allocations of next in force before they are written, if it
// lowers an allocation of the cells, and reports whether it does.
func (l *Ledger) restrict(cells []Cell, next allocations) (isLowered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		for _, cell := range cells {
			isLowered = isLowered || !l.stored[name][cell.Name].Fits(next[name][cell.Name].Size)
		}
	}
	if isLowered {
		l.pending = next
		l.publish()
	}
	return isLowered
}

// clearPending ends the restriction by the document that was being written.
func (l *Ledger) clearPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil {
		l.pending = nil
		l.publish()
	}
}

// dropLostCells withdraws the allocations of cells that are no longer owned under the
// epoch for which the document was read; owned holds the epochs of the present ones. It
// reports whether the document has to be read before the next write.
func (l *Ledger) dropLostCells(owned map[string]int64) (isReloadDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isReloadDue = !l.isLoaded || len(l.outdated) > 0
	for name, epoch := range owned {
		isReloadDue = isReloadDue || l.loadedEpochs[name] != epoch
	}
	before := len(l.loadedEpochs)
	maps.DeleteFunc(l.loadedEpochs, func(name string, epoch int64) bool { return owned[name] != epoch })
	isLost := func(key accountCell) bool { return l.loadedEpochs[key.cell] == 0 }
	maps.DeleteFunc(l.bounds, func(key accountCell, _ jobs.Size) bool { return isLost(key) })
	maps.DeleteFunc(l.granted, func(key accountCell, _ grant) bool { return isLost(key) })
	if len(l.loadedEpochs) < before {
		l.publish()
	}
	return isReloadDue
}

// isScarcityCheckDue reports whether the document has to be read to see whether the cells have
// to return what they do not use.
func (l *Ledger) isScarcityCheckDue(cells []Cell) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passes++
	if l.passes < scarcityCheckPasses {
		return false
	}
	for name, account := range l.accounts {
		for _, cell := range cells {
			need := cell.needs[name]
			if !l.stored[name][cell.Name].Fits(minSize(need.Used.Plus(need.Wanted), ceilingOf(account.Limit))) {
				return true
			}
		}
	}
	return false
}

// isShort reports whether a cell needs more than its current allocation.
func (l *Ledger) isShort(cells []Cell, current allocations) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cell := range cells {
		for name, need := range cell.needs {
			_, isKnown := l.accounts[name]
			wanted := need.Used.Plus(need.Wanted)
			if isKnown && !need.Wanted.IsZero() && !wanted.Fits(current[name][cell.Name].Size) {
				return true
			}
		}
	}
	return false
}

// maxBalanceAttempts is the number of times a change is computed and written before
// Balance gives up, when writes of other entries conflict with it.
const maxBalanceAttempts = 4

// reload reads the document and records under which epochs the owned cells have been
// loaded.
func (l *Ledger) reload(ctx context.Context, owned map[string]int64) error {
	l.mu.Lock()
	outdated := maps.Clone(l.outdated)
	l.mu.Unlock()
	getCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := l.client.Get(getCtx, Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	document := make(allocations)
	if err == nil {
		if err := json.Unmarshal(item.Value, &document); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLoaded, l.passes = true, 0
	maps.DeleteFunc(l.outdated, func(name string, _ bool) bool { return outdated[name] })
	for name, revision := range owned {
		l.loadedEpochs[name] = revision
	}
	l.setStored(document, item.Revision)
	l.publish()
	return nil
}

// propose returns the allocations adjusted to the needs of the cells, and whether they
// have to be written: if they differ from the stored ones or if an earlier write got no
// answer, as only a new revision makes sure that it is not carried out later.
func (l *Ledger) propose(cells []Cell) (next allocations, isDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isDue = l.unanswered != nil
	next = make(allocations, len(l.stored))
	for account, row := range l.stored {
		next[account] = maps.Clone(row)
	}
	for name, account := range l.accounts {
		if next[name] == nil {
			next[name] = make(map[string]allocation)
		}
		for _, cell := range cells {
			if l.adjust(next[name], account, cell) {
				isDue = true
			}
		}
	}
	l.publish()
	return next, isDue
}

// adjust updates the allocation of one cell in row, which holds the allocations of one account
// by cell: to what the needs and the limit suggest, as far as claims allow it. An allocation
// is never set below the use when it is lowered, nor below the pending allocation, up to which
// the use may have risen since the needs were read.
func (l *Ledger) adjust(row map[string]allocation, account setup.Account, cell Cell) (isChanged bool) {
	key := accountCell{account.Name, cell.Name}
	need, pending := cell.needs[account.Name], l.pending[account.Name][cell.Name].Size
	current, isKnown := row[cell.Name]
	next := allocation{Size: suggest(row, account.Limit, cell.Name, need, pending)}
	delete(l.bounds, key)
	ceiling := ceilingOf(account.Limit)
	if len(need.Units) > 0 || hasClaims(row) {
		granted, isGranted := l.granted[key]
		c := contend(row, ceiling, cell.Name, func(other string, claim *claim) bool {
			return l.unowned[other] || l.patience[accountCell{account.Name, other}].isDeferred(claim, l.pass)
		})
		var bound jobs.Size
		next, bound = c.resolve(position{
			ceiling: ceiling, reach: l.reachOf(row, ceiling), current: current, revision: l.revision, need: need, floor: maxSize(need.Used, pending),
			isGranted: isGranted && l.pass-granted.pass < grantPasses,
		}, next.Size)
		if bound != ceilingOf(jobs.Size{}) {
			l.bounds[key] = bound
		}
	}
	next.LongRunning, next.Staying = current.LongRunning, current.Staying
	if len(need.Units) > 0 || hasClaims(row) {
		next.LongRunning, next.Staying = limited(need.LongRunning, ceiling), limited(need.Staying, ceiling)
	}
	isSameUse := next.LongRunning == current.LongRunning && next.Staying == current.Staying
	if isKnown && next.Size == current.Size && isSameUse && isSameClaim(next.Claim, current.Claim) {
		return false
	}
	row[cell.Name] = next
	return true
}

// isSameClaim reports whether two claims are for the same. What was used meanwhile does not matter.
func isSameClaim(a, b *claim) bool {
	return a == b || a != nil && b != nil && a.Size == b.Size && a.Since == b.Since
}

// suggest returns the allocation of a cell without regard to claims. A new cell, or one that
// needs more, gets what the limit leaves, up to its need and the reserve; excess is returned,
// nearly all of it while the limit is scarce, as other cells may wait for it. While the
// allocations add up to more than the limit, each is lowered to its share of the limit.
func suggest(row map[string]allocation, limit jobs.Size, cell string, need jobs.Need, pending jobs.Size) jobs.Size {
	sum := sumOf(row)
	current, isKnown := row[cell]
	used, wanted := need.Used, need.Used.Plus(need.Wanted)
	suggestOne := func(allocation, limit, sum, used, wanted, pending int64) int64 {
		if limit == 0 {
			return unbounded
		}
		reserve, scarceReserve := limit/reserveDivisor, limit/scarceReserveDivisor
		target := min(wanted+reserve, limit)
		switch {
		case sum > limit && isKnown:
			share := int64(float64(limit) * (float64(allocation) / float64(sum)))
			share -= share % max(limit/shareDivisor, 1)
			return min(max(min(target, share), used, pending), allocation)
		case !isKnown, wanted > allocation && target > allocation:
			return min(target, allocation+max(limit-sum, 0))
		case allocation > target+limit/excessDivisor:
			return min(max(target, used, pending), allocation)
		case sum > limit-limit/scarceDivisor && allocation > wanted+2*scarceReserve:
			return min(max(wanted+scarceReserve, used, pending), allocation)
		}
		return allocation
	}
	return jobs.Size{
		CPU:    suggestOne(current.CPU, limit.CPU, sum.CPU, used.CPU, wanted.CPU, pending.CPU),
		Memory: suggestOne(current.Memory, limit.Memory, sum.Memory, used.Memory, wanted.Memory, pending.Memory),
		GPUs:   suggestOne(current.GPUs, limit.GPUs, sum.GPUs, used.GPUs, wanted.GPUs, pending.GPUs),
	}
}

// commit writes the document, provided that it has not changed and that this entry
// still owns the cells. After a conflict the stored document is replaced by the one
// in the conflict. The lower allocations stay in force until pending is cleared, those of
// a write without an answer until the document has another revision.
func (l *Ledger) commit(ctx context.Context, cells []Cell, next allocations) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.pending = next
	l.publish()
	change := store.Change{
		If:   []store.Condition{{Key: Key, Revision: l.revision}},
		Puts: []store.Put{{Key: Key, Value: value}},
	}
	l.mu.Unlock()
	for _, cell := range cells {
		change.If = append(change.If, cell.Condition)
	}
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := l.client.Commit(commitCtx, change)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.publish()
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		if decodeErr := l.applyConflict(conflict); decodeErr != nil {
			return decodeErr
		}
		return err
	}
	if errors.Is(err, store.ErrRefused) {
		return err
	}
	if err != nil {
		if l.unanswered != nil {
			next = lowest(next, l.unanswered)
		}
		l.unanswered = next
		return err
	}
	l.recordGranted(cells, next)
	l.setStored(next, revision)
	event.LimitsRedistributed.Log(l.log, logrus.Fields{"revision": revision})
	return nil
}

// recordGranted records which cells get more by a document than by the stored one. The caller
// holds l.mu.
func (l *Ledger) recordGranted(cells []Cell, next allocations) {
	for name := range l.accounts {
		for _, cell := range cells {
			before, now := l.stored[name][cell.Name], next[name][cell.Name]
			if !now.Fits(before.Size) {
				l.granted[accountCell{name, cell.Name}] = grant{
					pass: l.pass, started: cell.needs[name].Started, isClaimed: before.Claim != nil && before.Claim.Size.Fits(now.Size),
				}
			}
		}
	}
}

// applyConflict records the document that a conflict holds. The caller holds l.mu.
func (l *Ledger) applyConflict(conflict *store.ConflictError) error {
	item, isFound := conflict.Item(Key)
	if !isFound {
		return nil
	}
	document := make(allocations)
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &document); err != nil {
			return err
		}
	}
	l.setStored(document, item.Revision)
	return nil
}
