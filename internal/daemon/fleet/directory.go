package fleet

import (
	"maps"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// directoryConfig sets up a directory.
type directoryConfig struct {
	// Prefix is that of the endpoints' keys in the store.
	Prefix string
	Decode func(key string, value []byte) (endpoint.Entry, error)
	// Pass takes all endpoints after each change. Calls never overlap, and each
	// has at least the changes of the one before it.
	Pass func(entries map[string]endpoint.Entry)
	Log  *logrus.Entry
}

// directory is the list of endpoints as discovery has it. It is safe for
// concurrent use.
type directory struct {
	config directoryConfig

	// passing is held while the list is copied and passed on, so that an older
	// copy is never passed after a newer one.
	passing sync.Mutex

	mu      sync.Mutex
	entries map[string]endpoint.Entry
	// isLoaded says that the whole list was read and is being followed.
	isLoaded bool
	// foreign are keys that cannot be read, by the revision of their creation, so
	// that each is logged once.
	foreign map[string]int64
}

func newDirectory(config directoryConfig) *directory {
	return &directory{config: config, entries: make(map[string]endpoint.Entry), foreign: make(map[string]int64)}
}

// full takes the whole list.
func (d *directory) full(items []store.Item) {
	d.mu.Lock()
	clear(d.entries)
	d.take(items)
	d.isLoaded = true
	d.mu.Unlock()
	d.pass()
}

// update takes changes of the list.
func (d *directory) update(items []store.Item) {
	d.mu.Lock()
	d.take(items)
	d.mu.Unlock()
	d.pass()
}

// forget drops the list when it is no longer followed, since it must not be
// taken for the present.
func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.entries)
	d.isLoaded = false
}

// pass hands the list on as it is now, if it is known at all.
func (d *directory) pass() {
	d.passing.Lock()
	defer d.passing.Unlock()
	d.mu.Lock()
	entries, isLoaded := maps.Clone(d.entries), d.isLoaded
	d.mu.Unlock()
	if isLoaded {
		d.config.Pass(entries)
	}
}

// entry returns an endpoint by its ID.
func (d *directory) entry(id string) (entry endpoint.Entry, isKnown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, isKnown = d.entries[id]
	return entry, isKnown
}

func (d *directory) take(items []store.Item) {
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, d.config.Prefix)
		if item.IsRemoved {
			delete(d.entries, id)
			continue
		}
		entry, err := d.config.Decode(item.Key, item.Value)
		if err != nil {
			delete(d.entries, id)
			if d.foreign[id] != item.Created {
				d.foreign[id] = item.Created
				event.EndpointInvalid.Log(d.config.Log, logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
			}
			continue
		}
		d.entries[id] = entry
	}
}
