// Package store defines the client of the platform's metadata store, a key-value store
// with revisions, leases, conditional transactions and watches. Session holds a lease and
// Watch follows a range of keys.
package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors returned by the calls of Client, possibly wrapped.
var (
	// ErrRefused means that the call was certainly not carried out.
	ErrRefused = errors.New("the store refused the call")
	// ErrIndeterminate means that no usable response arrived, or one that does not rule
	// out an effect. The call may have been carried out, or may still be.
	ErrIndeterminate = errors.New("the store did not answer")
	// ErrInvalid means that the store does not take such a call, however often it is made. It is
	// an ErrIndeterminate too: the platform does not say that such a call has no effect.
	ErrInvalid = fmt.Errorf("the store does not take the call: %w", ErrIndeterminate)
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not in the store")
	// ErrCompacted means that the store no longer has the changes after the revision
	// that a watch was to start from.
	ErrCompacted = errors.New("the store has dropped this history")
)

// errEmptyPage reports a page without items that is not the last one.
var errEmptyPage = errors.New("the store returned an empty page and has more")

// ConflictError reports that a condition of a Change was not met. Nothing was written.
type ConflictError struct {
	// Items holds the current state of the keys of the conditions. Keys that do not
	// exist have revision 0.
	Items []Item
}

// Error implements error.
func (*ConflictError) Error() string { return "the store has another revision" }

// Item returns the current state of a key; isFound is false if no condition was on the key.
func (e *ConflictError) Item(key string) (item Item, isFound bool) {
	i := slices.IndexFunc(e.Items, func(item Item) bool { return item.Key == key })
	if i < 0 {
		return Item{}, false
	}
	return e.Items[i], true
}

// Lease is the ID of a lease; 0 means no lease.
type Lease int64

// Item is a key with its value. Entries exchange items as JSON under the names of the
// fields.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last change of the key, Created that of
	// its creation.
	Revision, Created int64
	Lease             Lease
	// IsRemoved reports that the key was deleted. It is set only by watches.
	IsRemoved bool
}

// Condition requires that a key has a revision; 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a write of a key. If Lease is not 0, the store deletes the key when the lease
// ends.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Change is a transaction: if all conditions are met, the store applies all writes and
// deletions atomically, otherwise none.
type Change struct {
	If   []Condition
	Puts []Put
	// Remove holds the keys to delete.
	Remove []string
}

// MaxChangeSize is the maximum number of conditions, writes and deletions in a Change,
// counted together.
const MaxChangeSize = 32

// Page is one page of a range read, or the changes that a watch returned.
type Page struct {
	Items []Item
	// HasMore reports that there are further items after the last one.
	HasMore bool
	// Revision is the store revision at which the page was read.
	Revision int64
}

// Client holds the calls of the store. Each call returns at the latest when its context
// ends.
type Client struct {
	// Get reads a key. The error is ErrNotFound, with a zero item, if the key does not
	// exist.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads the keys with a prefix that come after a key, in the order of keys.
	// A stale read costs the store less, but its result may be seconds old.
	Range func(ctx context.Context, prefix, after string, isStale bool) (Page, error)
	// Watch returns the changes after a revision. It waits for the first change for
	// up to the given time.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// Commit applies a change and returns its revision. The error is a *ConflictError
	// if a condition is not met.
	Commit func(ctx context.Context, change Change) (int64, error)
	// Grant creates a lease and returns it with its time to live.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew extends a lease and returns its time to live. The error is ErrNotFound if the
	// lease has expired.
	Renew func(ctx context.Context, lease Lease) (time.Duration, error)
	// Release ends a lease and deletes its keys.
	Release func(ctx context.Context, lease Lease) error
}

// ReadAll reads all keys with a prefix, page by page. It returns the revision of the
// first page; a watch that starts there misses no change.
func (c *Client) ReadAll(ctx context.Context, prefix string, isStale bool) (items []Item, revision int64, err error) {
	after := ""
	for {
		page, err := c.Range(ctx, prefix, after, isStale)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore {
			return items, revision, nil
		}
		if len(page.Items) == 0 {
			return nil, 0, errEmptyPage
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
