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
	// maxUnsettled bounds the config revisions that may be unsettled at once.
	maxUnsettled = 64
	// forcePoll is how often it is looked whether a missing entry is known to
	// be gone.
	forcePoll = 200 * time.Millisecond
	// maxRaces bounds how often a change that names one thing is tried again
	// after another operator's change.
	maxRaces = 8
)

// Applied tells what became of a document that was written.
type Applied struct {
	Revision uint64 `json:"revision"`
	// State is "accepted" once the document is durable and in force at every
	// entry that may be serving, else "pending".
	State string `json:"state"`
	// Missing are the entries that have not reported it yet.
	Missing []string `json:"missing,omitempty"`
}

// States of Applied.
const (
	Accepted = "accepted"
	Pending  = "pending"
)

// RaceError reports a change that was made from a revision that is no longer
// the newest.
type RaceError struct {
	Read    uint64 `json:"read"`
	Current uint64 `json:"current"`
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the document was changed meanwhile: revision %d was read, %d is current", e.Read, e.Current)
}

// UnreachableError reports that the platform could not be reached, or gave no
// reply, so that a change may or may not have been written.
type UnreachableError struct {
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "the platform gave no reply; read the document back before trying again: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// UnsettledError reports that too many revisions are not yet in force
// everywhere for another one.
type UnsettledError struct {
	Missing []string `json:"missing"`
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("more than %d revisions are not in force yet at %v", maxUnsettled, e.Missing)
}

// Document returns the document in force and its revision.
func (e *Entry) Document() (parsed document.Document, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.Unmarshal(e.state.config.Document, &parsed)
	return parsed, e.state.config.Revision
}

// CheckDocument reads and checks a document, also against the fleet as it is.
// The error is a *fault.ListError.
func (e *Entry) CheckDocument(data []byte) (parsed document.Document, err error) {
	parsed, err = document.Parse(data)
	if err != nil {
		return document.Document{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return parsed, checkFleet(parsed, e.state.fleet)
}

// checkFleet finds what of a document cannot be met by the instances there are.
func checkFleet(parsed document.Document, current fleet.Fleet) error {
	list := &fault.ListError{}
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

// checkPool checks the numbers of a pool against its instances.
func checkPool(list *fault.ListError, path string, p document.Pool, count int, current fleet.Fleet) {
	if count == 0 {
		return
	}
	if p.MinInstances > count {
		list.Add(path+"/floor", "the pool has %d instances", count)
	}
	budget := current.PoolBudget(p.Name, p.MinShare)
	smallest := budget.Total
	for _, i := range current.Instances {
		if i.Pool == p.Name {
			smallest = min(smallest, i.Slots)
		}
	}
	if budget.Allowed < smallest {
		list.Add(path+"/least", "leaves %d of %d slots, so that no instance could ever be drained", budget.Allowed, budget.Total)
	}
}

// Apply writes a document in place of the revision that it was made from and
// waits until it is in force everywhere, or the context ends. The error is a
// *fault.ListError, *RaceError, *UnsettledError or *UnreachableError.
func (e *Entry) Apply(ctx context.Context, read uint64, data []byte) (applied Applied, err error) {
	parsed, err := e.CheckDocument(data)
	if err != nil {
		return Applied{}, err
	}
	return e.apply(ctx, read, parsed)
}

func (e *Entry) apply(ctx context.Context, read uint64, parsed document.Document) (applied Applied, err error) {
	e.mu.Lock()
	current, version := e.state.config.Revision, e.state.configStore.version
	history := e.state.barrier.Limits()
	missing := e.state.barrier.MembersBehind(e.state.barrier.Newest())
	e.mu.Unlock()
	if current != read {
		return Applied{}, &RaceError{Read: read, Current: current}
	}
	if len(history) > maxUnsettled {
		return Applied{}, &UnsettledError{Missing: missing}
	}
	written, err := document.NewConfig(current, history, parsed)
	if err != nil {
		return Applied{}, err
	}
	if err = e.writeConfig(ctx, written, version); err != nil {
		return Applied{}, err
	}
	return e.AwaitForce(ctx, written.Revision), nil
}

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
		e.takeConfig(data, written)
		return nil
	case errors.As(err, &conflict):
		if conflict.Current.Version > 0 {
			e.takeConfig(conflict.Current.Data, conflict.Current.Version)
		}
		return &RaceError{Read: config.Revision - 1, Current: e.state.config.Revision}
	}
	return &UnreachableError{Err: err}
}

// AwaitForce waits until every entry that may be serving has the revision in
// force, or the context ends.
func (e *Entry) AwaitForce(ctx context.Context, revision uint64) Applied {
	for {
		e.mu.Lock()
		missing := e.missingForce(revision)
		changed := e.state.changed
		e.mu.Unlock()
		if len(missing) == 0 {
			return Applied{Revision: revision, State: Accepted}
		}
		select {
		case <-ctx.Done():
			return Applied{Revision: revision, State: Pending, Missing: missing}
		case <-changed:
		case <-time.After(forcePoll):
		}
	}
}

// missingForce returns the entries that may be serving and have not reported
// the revision: the holders of slices whose process is not known to be gone, and
// the members that are there.
func (e *Entry) missingForce(revision uint64) []string {
	missing := slices.DeleteFunc(e.state.barrier.MembersBehind(units.Revisions{Limits: revision}), func(entry string) bool {
		_, isGone := e.state.missing[entry]
		return isGone
	})
	for _, m := range e.state.there(e.config.Timer.Now()) {
		if m.Force.Limits < revision && !slices.Contains(missing, m.Entry) {
			missing = append(missing, m.Entry)
		}
	}
	slices.Sort(missing)
	return missing
}

// Change reads the document, changes it and writes it, again if another
// operator came between.
func (e *Entry) Change(ctx context.Context, change func(d *document.Document) error) (applied Applied, err error) {
	for range maxRaces {
		parsed, revision := e.Document()
		if err = change(&parsed); err != nil {
			return Applied{}, err
		}
		if err = parsed.Check(); err != nil {
			return Applied{}, err
		}
		applied, err = e.apply(ctx, revision, parsed)
		var race *RaceError
		if !errors.As(err, &race) {
			return applied, err
		}
	}
	return Applied{}, err
}

// ChangeFleet reads the fleet document, changes it and writes it, again if
// another writer came between. The change returns false if nothing is to be
// written.
func (e *Entry) ChangeFleet(ctx context.Context, change func(next *fleet.Fleet) (bool, error)) (revision uint64, err error) {
	for range maxRaces {
		e.mu.Lock()
		next, version := e.state.fleet.Next(), e.state.fleetStore.version
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
	}
	return 0, &RaceError{}
}

// writeFleet writes a fleet document in place of the version it was made from.
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
		e.takeFleet(data, written)
	case errors.As(err, &conflict):
		if conflict.Current.Version > 0 {
			e.takeFleet(conflict.Current.Data, conflict.Current.Version)
		}
	default:
		return &UnreachableError{Err: err}
	}
	return err
}

// waitTime bounds how long a change waits to be in force everywhere.
const waitTime = 8 * time.Second

// WithWait returns a context that ends when a change is reported as pending.
func WithWait(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, waitTime)
}
