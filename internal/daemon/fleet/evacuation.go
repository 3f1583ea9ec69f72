package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

const (
	// evacuationReadInterval is how often an owner reads the keys of the evacuations if no
	// change is seen. The watch usually reports a change at once, but it may lag or be silent.
	evacuationReadInterval = time.Second
	// evacuationReadTimeout bounds a read, evacuationRetryDelay is the pause after one that
	// failed.
	evacuationReadTimeout = time.Second
	evacuationRetryDelay  = 100 * time.Millisecond
	// maxEvacuationAge is the age of the last read from which nothing is started while the
	// store answers. With the time that a start takes on its way, it leaves a reserve in the
	// 5 s after which nothing may start in an evacuated data centre.
	maxEvacuationAge = 3 * time.Second
)

// evacuationsConfig configures evacuations.
type evacuationsConfig struct {
	// Prefix is the prefix of the keys; the name of the data centre follows it. If it is
	// empty, no data centre is ever evacuated.
	Prefix string
	Client *store.Client
	// IsStoreUp reports whether the store answers other calls of this entry.
	IsStoreUp func() bool
	// IsNeeded reports whether this entry starts work or moves machines. The other entries
	// read the keys only when the watch reports a change.
	IsNeeded func() bool
	Log      *logrus.Entry
}

// evacuations holds the evacuated data centres as the operators' keys request them. The keys
// are read from the store, never stale, one read after the other, so that a later read is
// never older than an earlier one. A watch that reports changes makes the next read follow at
// once; nothing depends on its order or completeness. It is safe for concurrent use.
type evacuations struct {
	config evacuationsConfig
	// readNow makes run read the keys at once. It is buffered, so signals are merged.
	readNow chan struct{}

	mu sync.Mutex
	// requested holds the creation revision of the key of each evacuated data centre, by
	// name; names holds these names, sorted. The slice is replaced and never changed.
	requested map[string]int64
	names     []string
	// readAt is when the last successful read began, zero before the first one.
	readAt time.Time
	// isOutdatedReported reports that event 683 was logged since the last successful read.
	isOutdatedReported bool
	// checked holds the creation revision of the keys whose data centre is known or was
	// reported as not known, by name.
	checked map[string]int64
}

func newEvacuations(config evacuationsConfig) *evacuations {
	return &evacuations{
		config: config, readNow: make(chan struct{}, 1),
		requested: make(map[string]int64), checked: make(map[string]int64),
	}
}

// isKey reports whether a key requests an evacuation.
func (v *evacuations) isKey(key string) bool {
	return v.config.Prefix != "" && strings.HasPrefix(key, v.config.Prefix)
}

// centres returns the evacuated data centres, sorted. The caller must not change them.
func (v *evacuations) centres() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.names
}

// areKnown reports whether centres may be relied on: the keys have been read, and the last
// read is recent. While the store does not answer at all, the last known state counts.
func (v *evacuations) areKnown() bool {
	if v.config.Prefix == "" {
		return true
	}
	isStoreUp := v.config.IsStoreUp()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readAt.IsZero() {
		return false
	}
	age := boot.Now().Sub(v.readAt)
	if age <= maxEvacuationAge || !isStoreUp {
		return true
	}
	if !v.isOutdatedReported {
		v.isOutdatedReported = true
		event.EvacuationsOutdated.Log(v.config.Log, logrus.Fields{"age": age.Milliseconds()})
	}
	return false
}

// readSoon makes run read the keys at once. It does not block.
func (v *evacuations) readSoon() {
	select {
	case v.readNow <- struct{}{}:
	default:
	}
}

// run reads the keys until the context ends: at the start, when the watch reports a change,
// and regularly while IsNeeded holds.
func (v *evacuations) run(ctx context.Context) {
	if v.config.Prefix == "" {
		return
	}
	isDue := true
	for ctx.Err() == nil {
		pause := evacuationReadInterval
		if isDue && !v.read(ctx) {
			pause = evacuationRetryDelay
		} else {
			isDue = false
		}
		select {
		case <-ctx.Done():
		case <-v.readNow:
			isDue = true
		case <-time.After(pause):
			isDue = isDue || v.config.IsNeeded()
		}
	}
}

// read reads the keys once and reports whether that succeeded.
func (v *evacuations) read(ctx context.Context) (isRead bool) {
	callCtx, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
	defer cancel()
	startedAt := boot.Now()
	items, _, err := v.config.Client.ReadAll(callCtx, v.config.Prefix, false)
	if err != nil {
		return false
	}
	v.replace(startedAt, items)
	return true
}

// replace applies all keys as of a read that began at startedAt.
func (v *evacuations) replace(startedAt time.Time, items []store.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[string]int64, len(items))
	for _, item := range items {
		next[strings.TrimPrefix(item.Key, v.config.Prefix)] = item.Created
	}
	v.logChanges(next)
	v.readAt, v.isOutdatedReported, v.requested = startedAt, false, next
	names := make([]string, 0, len(next))
	for name := range next {
		if name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	v.names = names
}

// logChanges logs which evacuations begin and end, and keys without the name of a data
// centre, each once. The caller holds v.mu.
func (v *evacuations) logChanges(next map[string]int64) {
	for name, created := range next {
		switch {
		case v.requested[name] == created:
		case name == "":
			event.EvacuationUnknown.Log(v.config.Log, logrus.Fields{"centre": name})
		default:
			event.EvacuationRequested.Log(v.config.Log, logrus.Fields{"centre": name, "revision": created})
		}
	}
	for name := range v.requested {
		if _, isRequested := next[name]; !isRequested && name != "" {
			event.EvacuationEnded.Log(v.config.Log, logrus.Fields{"centre": name})
			delete(v.checked, name)
		}
	}
}

// checkNames logs the evacuations of data centres in which no endpoint is known, each once.
// known reports whether there is an endpoint in a data centre.
func (v *evacuations) checkNames(known func(centre string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.names {
		if v.checked[name] == v.requested[name] {
			continue
		}
		v.checked[name] = v.requested[name]
		if !known(name) {
			event.EvacuationUnknown.Log(v.config.Log, logrus.Fields{"centre": name, "revision": v.requested[name]})
		}
	}
}
