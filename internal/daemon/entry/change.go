package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// maxPendingRevisions bounds the config revisions that may be pending at
	// once, that is, not yet in force at every entry.
	maxPendingRevisions = 64
	// goneCheckInterval is how often AwaitInForce checks again whether an entry
	// that is behind is known to be gone.
	goneCheckInterval = 200 * time.Millisecond
	// maxWriteAttempts bounds the attempts to write a change that is made again
	// on the newest document after each conflict with another writer.
	maxWriteAttempts = 8
)

// Applied is the result of writing a config document.
type Applied struct {
	Revision uint64 `json:"revision"`
	// State is Accepted or Pending.
	State string `json:"state"`
	// Behind holds the sorted names of the entries that have not reported the
	// revision as in force.
	Behind []string `json:"missing,omitempty"`
}

// Values of Applied.State.
const (
	// Accepted means that the document is durable and in force at every entry
	// that may be serving.
	Accepted = "accepted"
	// Pending means that the document is durable, but not every entry that may
	// be serving has reported it as in force.
	Pending = "pending"
)

// StaleRevisionError reports a change that was based on a revision that is no
// longer the newest. Nothing was written.
type StaleRevisionError struct {
	Read    uint64 `json:"read"`
	Current uint64 `json:"current"`
	// conflict is the conflict in the platform that revealed the change, if any.
	conflict *platform.ConflictError
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("the document was changed meanwhile: revision %d was read, %d is current", e.Read, e.Current)
}

// UnreachableError reports that the platform could not be reached or did not
// respond. The change may or may not have been written.
type UnreachableError struct {
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "the platform gave no reply; read the document back before trying again: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// PendingRevisionsError reports that a change was refused because too many
// revisions are not yet in force at every entry.
type PendingRevisionsError struct {
	Behind []string `json:"missing"`
}

// Error implements error.
func (e *PendingRevisionsError) Error() string {
	return fmt.Sprintf("more than %d revisions are not in force yet at %v", maxPendingRevisions, e.Behind)
}

// Document returns the config document in force and its revision, which is 0 if
// there is none.
func (e *Entry) Document() (parsed document.Document, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.Unmarshal(e.state.config.Document, &parsed)
	return parsed, e.state.config.Revision
}

// CheckDocument parses a config document and checks it, also against the
// current instances. The error is a *fault.ValidationError.
func (e *Entry) CheckDocument(data []byte) (parsed document.Document, err error) {
	parsed, err = document.Parse(data)
	if err != nil {
		return document.Document{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return parsed, checkFleet(parsed, e.state.fleet)
}

// checkFleet checks a document against the current instances. The error is a
// *fault.ValidationError.
func checkFleet(parsed document.Document, current fleet.Fleet) error {
	list := &fault.ValidationError{}
	counts := make(map[string]int)
	for _, i := range current.Instances {
		counts[i.Pool]++
	}
	pools := make(map[string]bool)
	for i, p := range parsed.Pools {
		pools[p.Name] = true
		checkPool(list, fmt.Sprintf("/pools/%d", i), p, counts[p.Name], current)
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if !pools[name] {
			list.Add("/pools", "pool %q is left out but has %d instances", name, counts[name])
		}
	}
	return list.Err()
}

// checkPool checks the minimum numbers of a pool against its instances. A pool
// without instances always passes.
func checkPool(list *fault.ValidationError, path string, p document.Pool, count int, current fleet.Fleet) {
	if count == 0 {
		return
	}
	if p.MinInstances > count {
		list.Add(path+"/floor", "the pool has %d instances", count)
	}
	budget := current.PoolBudget(p.Name, p.MinShare)
	minSlots := budget.Total
	for _, i := range current.Instances {
		if i.Pool == p.Name {
			minSlots = min(minSlots, i.Slots)
		}
	}
	if budget.Allowed < minSlots {
		list.Add(path+"/least", "leaves %d of %d slots, so that no instance could ever be drained", budget.Allowed, budget.Total)
	}
}

// Apply checks a document, writes it in place of the revision that it is based
// on, and waits until it is in force at every entry or the context ends. The
// error is a *fault.ValidationError, *StaleRevisionError, *PendingRevisionsError or
// *UnreachableError.
func (e *Entry) Apply(ctx context.Context, baseRevision uint64, data []byte) (applied Applied, err error) {
	parsed, err := e.CheckDocument(data)
	if err != nil {
		return Applied{}, err
	}
	return e.apply(ctx, baseRevision, parsed)
}

// apply is Apply for a document that has been parsed and checked.
func (e *Entry) apply(ctx context.Context, baseRevision uint64, parsed document.Document) (applied Applied, err error) {
	base := e.changeBase()
	if base.revision != baseRevision {
		return Applied{}, &StaleRevisionError{Read: baseRevision, Current: base.revision}
	}
	if len(base.history) > maxPendingRevisions {
		return Applied{}, &PendingRevisionsError{Behind: base.behind}
	}
	written, err := document.NewConfig(base.revision, base.history, parsed)
	if err != nil {
		return Applied{}, err
	}
	err = e.writeConfig(ctx, written, base.version)
	if baseVersion, ok := conflictWithBase(err, base.id); ok {
		err = e.writeConfig(ctx, written, baseVersion)
	}
	if err != nil {
		return Applied{}, err
	}
	return e.AwaitInForce(ctx, written.Revision), nil
}

// changeBase is the config that a change is based on.
type changeBase struct {
	revision uint64
	id       string
	// version is the platform's version of the config.
	version int64
	// history holds the limits that may still be in force at some entry, behind the
	// names of the entries that do not have the newest revision in force.
	history []units.Limits
	behind  []string
}

// changeBase returns the config in force as the base of a change.
func (e *Entry) changeBase() changeBase {
	e.mu.Lock()
	defer e.mu.Unlock()
	return changeBase{
		revision: e.state.config.Revision,
		id:       e.state.config.ID,
		version:  e.state.storedConfig.version,
		history:  e.state.barrier.Limits(),
		behind:   e.state.barrier.MembersBehind(e.state.barrier.Newest()),
	}
}

// writeConfig writes a config in place of the given version in the platform.
// The error is a *StaleRevisionError or *UnreachableError.
func (e *Entry) writeConfig(ctx context.Context, config document.Config, version int64) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	written, err := e.platform.CompareAndSwap(ctx, keyConfig, version, data, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		e.applyConfig(data, written)
		return nil
	case errors.As(err, &conflict):
		if conflict.Current.Version > 0 {
			e.applyConfig(conflict.Current.Data, conflict.Current.Version)
		}
		return &StaleRevisionError{Read: config.Revision - 1, Current: e.state.config.Revision, conflict: conflict}
	}
	return &UnreachableError{Err: err}
}

// conflictWithBase reports whether a write failed because the platform holds the config
// that the change was based on, with the given ID, at another version than expected, and
// returns that version. This happens if a peer has sent the config before the platform.
func conflictWithBase(err error, baseID string) (version int64, ok bool) {
	var stale *StaleRevisionError
	if !errors.As(err, &stale) || stale.conflict == nil {
		return 0, false
	}
	stored, _, err := document.ParseConfig(stale.conflict.Current.Data)
	return stale.conflict.Current.Version, err == nil && stored.ID == baseID
}

// AwaitInForce waits until the config revision is in force at every entry that
// may be serving, or the context ends.
func (e *Entry) AwaitInForce(ctx context.Context, revision uint64) Applied {
	for {
		behind, changed := e.readBehind(revision)
		if len(behind) == 0 {
			return Applied{Revision: revision, State: Accepted}
		}
		select {
		case <-ctx.Done():
			return Applied{Revision: revision, State: Pending, Behind: behind}
		case <-changed:
		case <-time.After(goneCheckInterval):
		}
	}
}

// readBehind returns entriesBehind, and a channel that is closed when the revisions in
// force at any entry change.
func (e *Entry) readBehind(revision uint64) (behind []string, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entriesBehind(revision), e.state.inForceChanged
}

// entriesBehind returns the sorted names of the entries that may be serving and
// have not reported the config revision as in force: the holders of slices
// whose process is not known to be gone, and the members that are alive. The
// caller holds e.mu.
func (e *Entry) entriesBehind(revision uint64) []string {
	behind := slices.DeleteFunc(e.state.barrier.MembersBehind(units.Revisions{Limits: revision}), func(entry string) bool {
		_, isGone := e.state.goneSince[entry]
		return isGone
	})
	for _, m := range e.state.aliveMembers(e.config.Clock.Now()) {
		if m.InForce.Limits < revision && !slices.Contains(behind, m.Entry) {
			behind = append(behind, m.Entry)
		}
	}
	slices.Sort(behind)
	return behind
}

// ChangeDocument reads the config document, applies the given function to it
// and writes the result. If another writer comes first, it starts again from
// the newest document, up to maxWriteAttempts times. It returns the function's
// error, or one of the errors of Apply.
func (e *Entry) ChangeDocument(ctx context.Context, change func(d *document.Document) error) (applied Applied, err error) {
	for range maxWriteAttempts {
		parsed, revision := e.Document()
		if err = change(&parsed); err != nil {
			return Applied{}, err
		}
		if err = parsed.Check(); err != nil {
			return Applied{}, err
		}
		applied, err = e.apply(ctx, revision, parsed)
		var stale *StaleRevisionError
		if !errors.As(err, &stale) {
			return applied, err
		}
	}
	return Applied{}, err
}

// ChangeFleet reads the fleet document, applies the given function to it and
// writes the result. The function returns false if nothing is to be written. If
// another writer comes first, ChangeFleet starts again from the newest
// document, up to maxWriteAttempts times. It returns the fleet revision after
// the change. The error is that of the function, a *StaleRevisionError or an
// *UnreachableError.
func (e *Entry) ChangeFleet(ctx context.Context, change func(next *fleet.Fleet) (bool, error)) (revision uint64, err error) {
	stale := &StaleRevisionError{}
	for range maxWriteAttempts {
		e.mu.Lock()
		next, version := e.state.fleet.Next(), e.state.storedFleet.version
		e.mu.Unlock()
		isChanged, err := change(&next)
		if err != nil || !isChanged {
			return next.Revision - 1, err
		}
		err = e.writeFleet(ctx, next, version)
		var conflict *platform.ConflictError
		if err == nil || !errors.As(err, &conflict) {
			return next.Revision, err
		}
		stale.Read = next.Revision - 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale.Current = e.state.fleet.Revision
	return 0, stale
}

// writeFleet writes a fleet document in place of the given version in the
// platform. The error is a *platform.ConflictError or an *UnreachableError.
func (e *Entry) writeFleet(ctx context.Context, next fleet.Fleet, version int64) error {
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	written, err := e.platform.CompareAndSwap(ctx, keyFleet, version, data, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		e.applyFleet(data, written)
	case errors.As(err, &conflict):
		if conflict.Current.Version > 0 {
			e.applyFleet(conflict.Current.Data, conflict.Current.Version)
		}
	default:
		return &UnreachableError{Err: err}
	}
	return err
}

// applyTimeout bounds how long the caller of a change waits for it to be in
// force at every entry.
const applyTimeout = 8 * time.Second

// WithApplyTimeout returns a context for Apply, ChangeDocument and
// AwaitInForce. When it ends, a change that is not yet in force at every entry
// is reported as pending.
func WithApplyTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, applyTimeout)
}
