// Package store describes the platform's metadata store as the product sees it:
// keys with revisions, leases, conditional writes and watches.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of calls.
var (
	// ErrRefused says that the call was certainly not carried out.
	ErrRefused = errors.New("the store refused the call")
	// ErrOpen says that the call may have been carried out, or may be later.
	ErrOpen = errors.New("the store did not answer")
	// ErrAbsent says that there is no such key or lease.
	ErrAbsent = errors.New("not in the store")
	// ErrCompacted says that the history to watch from is gone.
	ErrCompacted = errors.New("the store has dropped this history")
)

// ConflictError says that a condition did not hold.
type ConflictError struct {
	// Items are the keys of the conditions as they are; those that do not exist
	// have revision 0.
	Items []Item
}

// Error implements error.
func (*ConflictError) Error() string { return "the store has another revision" }

// Lease identifies a lease.
type Lease int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change, Created that of the creation.
	Revision, Created int64
	Lease             Lease
	// IsRemoved says that the key was removed; only watches tell.
	IsRemoved bool
}

// Condition asks that a key is at a revision, 0 for absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Change is a set of writes that is carried out whole or not at all.
type Change struct {
	If     []Condition
	Puts   []Put
	Remove []string
}

// MaxChange is the most entries that a Change may have.
const MaxChange = 32

// Page is a part of a range.
type Page struct {
	Items   []Item
	HasMore bool
	// Revision is the store's when the page was read.
	Revision int64
}

// Client makes the calls. All are bounded by their context.
type Client struct {
	// Get reads a key; ErrAbsent if there is none. The revision returned with
	// ErrAbsent is the store's.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads the keys with a prefix that come after a key. A stale read is
	// cheap and may be seconds old.
	Range func(ctx context.Context, prefix, after string, isStale bool) (Page, error)
	// Watch waits for changes after a revision, up to a time.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// Commit carries out a change and returns its revision.
	Commit func(ctx context.Context, change Change) (int64, error)
	// Grant, Renew and Release make, renew and end a lease.
	Grant   func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew   func(ctx context.Context, lease Lease) (time.Duration, error)
	Release func(ctx context.Context, lease Lease) error
}

// ReadAll reads all keys with a prefix. The revision is that of the first page,
// from which a watch misses nothing.
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
		if !page.HasMore || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
