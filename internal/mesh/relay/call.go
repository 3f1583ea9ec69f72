package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
)

// Names of the store's calls in the protocol between entries.
const (
	verbGet     = "get"
	verbRange   = "range"
	verbWatch   = "watch"
	verbCommit  = "commit"
	verbGrant   = "grant"
	verbRenew   = "renew"
	verbRelease = "release"
)

// arguments holds the arguments of all calls. Each call uses some of the fields. Their
// JSON form is part of the protocol between entries.
type arguments struct {
	// Key is used by get.
	Key string `json:"key,omitempty"`
	// Prefix is used by range and watch.
	Prefix string `json:"prefix,omitempty"`
	// After and IsStale are used by range.
	After   string `json:"after,omitempty"`
	IsStale bool   `json:"stale,omitempty"`
	// Revision and Wait are used by watch, which returns the changes after Revision.
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
	// Change is used by commit.
	Change store.Change `json:"change,omitzero"`
	// TTL is used by grant.
	TTL time.Duration `json:"ttl,omitempty"`
	// Lease is used by renew and release.
	Lease store.Lease `json:"lease,omitempty"`
}

// answer holds the results of all calls. Its JSON form is part of the protocol between
// entries.
type answer struct {
	// Failure is empty if the call succeeded; otherwise Reason holds the error's text.
	Failure failure `json:"failure,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// Items are the items read, or those of a store.ConflictError.
	Items    []store.Item  `json:"items,omitempty"`
	HasMore  bool          `json:"more,omitempty"`
	Revision int64         `json:"revision,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"`
	Lease    store.Lease   `json:"lease,omitempty"`
}

// failure identifies an error of package store in the protocol between entries.
type failure string

const (
	failureRefused       failure = "refused"
	failureIndeterminate failure = "open"
	failureInvalid       failure = "invalid"
	failureAbsent        failure = "absent"
	failureCompacted     failure = "compacted"
	failureConflict      failure = "conflict"
)

// isFromStore reports whether the store processed the call, with or without an error.
func (a *answer) isFromStore() bool {
	return a.Failure != failureRefused && a.Failure != failureIndeterminate
}

// err returns the error of package store for the failure, or nil.
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
	case failureInvalid:
		return fmt.Errorf("%w: %s", store.ErrInvalid, a.Reason)
	case failureRefused:
		return fmt.Errorf("%w: %s", store.ErrRefused, a.Reason)
	default:
		// This includes failures that this version does not know: the call may have
		// been carried out.
		return fmt.Errorf("%w: %s", store.ErrIndeterminate, a.Reason)
	}
}

// setError sets Failure and Reason for an error of a store client. A nil error changes
// nothing.
func (a *answer) setError(err error) {
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
	case errors.Is(err, store.ErrInvalid):
		a.Failure = failureInvalid
	default:
		a.Failure = failureIndeterminate
	}
	a.Reason = err.Error()
}

// perform makes the call named by verb with a client of the store. An unknown verb is
// refused.
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
	result.setError(err)
	return result
}
