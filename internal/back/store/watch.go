package store

import (
	"context"
	"time"
)

const (
	// watchWait is how long a watch waits for a change. Connections can go silent
	// without a reset, so this and watchMargin bound how late a change is seen.
	watchWait   = 1200 * time.Millisecond
	watchMargin = 500 * time.Millisecond
	// readTimeout bounds a read of a range.
	readTimeout = 1500 * time.Millisecond
	// watchRetry is the pause after a failure.
	watchRetry = 100 * time.Millisecond
)

// WatchConfig sets up a watch.
type WatchConfig struct {
	Client *Client
	Prefix string
	// Gap is the least time between two answers, so that frequent changes share
	// one.
	Gap time.Duration
	// Full takes all keys, at the start and whenever changes may have been
	// missed. Changed takes changes in their order.
	Full    func(items []Item)
	Changed func(items []Item)
	// Failed is told of each call that failed, Reached of each that did not.
	Failed  func(err error)
	Reached func()
}

// Watch follows the keys with a prefix until the context ends.
func Watch(ctx context.Context, config WatchConfig) {
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		if revision < 0 {
			revision, err = config.read(ctx)
		} else {
			revision, err = config.follow(ctx, revision)
		}
		pause := config.Gap
		if err != nil {
			config.Failed(err)
			pause = max(pause, watchRetry)
		} else {
			config.Reached()
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

func (c *WatchConfig) read(ctx context.Context) (revision int64, err error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := c.Client.ReadAll(call, c.Prefix, false)
	if err != nil {
		return -1, err
	}
	c.Full(items)
	return revision, nil
}

// follow waits for changes. After a failure everything is read again: the answer
// that was lost may have held changes, and the history may be gone by the next
// call.
func (c *WatchConfig) follow(ctx context.Context, revision int64) (next int64, err error) {
	call, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	page, err := c.Client.Watch(call, c.Prefix, revision, watchWait)
	if err != nil {
		return -1, err
	}
	if len(page.Items) > 0 {
		c.Changed(page.Items)
	}
	return max(revision, page.Revision), nil
}
