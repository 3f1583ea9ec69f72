package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
)

// The calls to the store, by their names between entries.
const (
	verbGet     = "get"
	verbRange   = "range"
	verbWatch   = "watch"
	verbCommit  = "commit"
	verbGrant   = "grant"
	verbRenew   = "renew"
	verbRelease = "release"
)

// arguments are those of any call; each verb uses some.
type arguments struct {
	// Key is for get; Prefix and After for range and watch.
	Key     string `json:"key,omitempty"`
	Prefix  string `json:"prefix,omitempty"`
	After   string `json:"after,omitempty"`
	IsStale bool   `json:"stale,omitempty"`
	// Revision is that after which to watch.
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
	Change   store.Change  `json:"change,omitzero"`
	TTL      time.Duration `json:"ttl,omitempty"`
	Lease    store.Lease   `json:"lease,omitempty"`
}

// answer is that of any call.
type answer struct {
	// Failure is empty if the call was carried out.
	Failure failure `json:"failure,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// Items are those read, or those of a conflict.
	Items    []store.Item  `json:"items,omitempty"`
	HasMore  bool          `json:"more,omitempty"`
	Revision int64         `json:"revision,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"`
	Lease    store.Lease   `json:"lease,omitempty"`
}

// failure names an error of the store between entries.
type failure string

const (
	failureRefused   failure = "refused"
	failureOpen      failure = "open"
	failureAbsent    failure = "absent"
	failureCompacted failure = "compacted"
	failureConflict  failure = "conflict"
)

// isAnswered tells whether the store itself has answered.
func (a *answer) isAnswered() bool {
	return a.Failure != failureRefused && a.Failure != failureOpen
}

// err returns the error that the failure stands for.
func (a *answer) err() error {
	switch a.Failure {
	case "":
		return nil
	case failureAbsent:
		return store.ErrNotFound
	case failureCompacted:
		return store.ErrCompacted
	case failureConflict:
		return &store.ConflictError{Items: a.Items}
	case failureRefused:
		return fmt.Errorf("%w: %s", store.ErrRefused, a.Reason)
	default:
		// What cannot be told apart may have been carried out.
		return fmt.Errorf("%w: %s", store.ErrUnanswered, a.Reason)
	}
}

// fail notes how a call failed.
func (a *answer) fail(err error) {
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	switch {
	case err == nil:
		return
	case isConflict:
		a.Failure, a.Items = failureConflict, conflict.Items
	case errors.Is(err, store.ErrNotFound):
		a.Failure = failureAbsent
	case errors.Is(err, store.ErrCompacted):
		a.Failure = failureCompacted
	case errors.Is(err, store.ErrRefused):
		a.Failure = failureRefused
	default:
		a.Failure = failureOpen
	}
	a.Reason = err.Error()
}

// perform makes a call with a client of the store.
func perform(ctx context.Context, client *store.Client, verb string, a arguments) (result answer) {
	var err error
	switch verb {
	case verbGet:
		var item store.Item
		item, err = client.Get(ctx, a.Key)
		result.Items = []store.Item{item}
	case verbRange, verbWatch:
		var page store.Page
		if verb == verbRange {
			page, err = client.Range(ctx, a.Prefix, a.After, a.IsStale)
		} else {
			page, err = client.Watch(ctx, a.Prefix, a.Revision, a.Wait)
		}
		result.Items, result.HasMore, result.Revision = page.Items, page.HasMore, page.Revision
	case verbCommit:
		result.Revision, err = client.Commit(ctx, a.Change)
	case verbGrant:
		result.Lease, result.TTL, err = client.Grant(ctx, a.TTL)
	case verbRenew:
		result.TTL, err = client.Renew(ctx, a.Lease)
	case verbRelease:
		err = client.Release(ctx, a.Lease)
	default:
		err = fmt.Errorf("%w: the call %q is not known", store.ErrRefused, verb)
	}
	result.fail(err)
	return result
}
