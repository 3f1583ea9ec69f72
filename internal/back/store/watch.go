package store

import (
	"context"
	"time"
)

const (
	// maxWatchWait is how long one watch call waits for a change. watchMargin is added
	// to it to get the timeout of the call. A connection can stop delivering data
	// without a reset, so the sum bounds the delay until a change is noticed.
	maxWatchWait = 1200 * time.Millisecond
	watchMargin  = 500 * time.Millisecond
	// listTimeout is the time limit for reading all keys.
	listTimeout = 1500 * time.Millisecond
	// watchRetryDelay is the minimum pause after a failed call.
	watchRetryDelay = 100 * time.Millisecond
)

// WatchConfig configures Watch. All functions are called from Watch, one at a time.
type WatchConfig struct {
	Client *Client
	// Prefix is the prefix of the keys to follow.
	Prefix string
	// MinInterval is the minimum pause between two calls, so that frequent changes are
	// delivered in batches.
	MinInterval time.Duration
	// OnSnapshot is called with all keys, at the start and whenever changes may have been
	// missed.
	OnSnapshot func(items []Item)
	// OnChange is called with changed and deleted keys, in the order of the changes.
	OnChange func(items []Item)
	// OnFailure is called with the error of each failed call.
	OnFailure func(err error)
	// OnSuccess is called after each successful call.
	OnSuccess func()
}

// Watch follows the keys with a prefix until the context ends: it reads all of them and
// then the changes since, and starts anew after a failure.
func Watch(ctx context.Context, config WatchConfig) {
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		if revision < 0 {
			revision, err = config.readAll(ctx)
		} else {
			revision, err = config.watchOnce(ctx, revision)
		}
		delay := config.MinInterval
		if err != nil {
			config.OnFailure(err)
			delay = max(delay, watchRetryDelay)
		} else {
			config.OnSuccess()
		}
		if delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
	}
}

// readAll reads all keys and returns the revision to watch from, -1 on failure.
func (c *WatchConfig) readAll(ctx context.Context) (revision int64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := c.Client.ReadAll(callCtx, c.Prefix, false)
	if err != nil {
		return -1, err
	}
	c.OnSnapshot(items)
	return revision, nil
}

// watchOnce makes one watch call and returns the revision to continue from, or -1 if all
// keys have to be read again. That is so after every failure: the lost response may have
// contained changes, and the store may drop them from its history before the next call.
func (c *WatchConfig) watchOnce(ctx context.Context, revision int64) (next int64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, maxWatchWait+watchMargin)
	defer cancel()
	page, err := c.Client.Watch(callCtx, c.Prefix, revision, maxWatchWait)
	if err != nil {
		return -1, err
	}
	if len(page.Items) > 0 {
		c.OnChange(page.Items)
	}
	return max(revision, page.Revision), nil
}
