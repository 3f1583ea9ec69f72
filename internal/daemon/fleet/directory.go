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

// directoryConfig configures a directory.
type directoryConfig struct {
	// Prefix is the prefix of the endpoints' keys in the store; the endpoint ID
	// follows it.
	Prefix string
	Decode func(key string, value []byte) (endpoint.Registration, error)
	// OnChange is called with all endpoints by ID after each change and by publish.
	// Calls never overlap, and each list is at least as new as the one before it.
	OnChange func(registrations map[string]endpoint.Registration)
	Log      *logrus.Entry
}

// directory holds the endpoints that are registered in the store, by ID. It is safe
// for concurrent use.
type directory struct {
	config directoryConfig

	// publishing is held while the registrations are copied and passed to OnChange, so
	// that an older copy is never passed after a newer one. It is locked before mu.
	publishing sync.Mutex

	mu            sync.Mutex
	registrations map[string]endpoint.Registration
	// revisions maps endpoint IDs to the revision of the last change of their key that was
	// applied, since all keys were last read.
	revisions map[string]int64
	// isLoaded is set while the registrations are complete and kept up to date by a
	// watch.
	isLoaded bool
	// undecodable maps the ID of each endpoint whose value could not be decoded to the
	// creation revision of its key, so that each is logged once.
	undecodable map[string]int64
}

func newDirectory(config directoryConfig) *directory {
	return &directory{
		config: config, registrations: make(map[string]endpoint.Registration), revisions: make(map[string]int64),
		undecodable: make(map[string]int64),
	}
}

// replace replaces all registrations by the decoded items.
func (d *directory) replace(items []store.Item) {
	d.mu.Lock()
	clear(d.registrations)
	clear(d.revisions)
	d.apply(items)
	d.isLoaded = true
	d.mu.Unlock()
	d.publish()
}

// update applies changed and removed keys.
func (d *directory) update(items []store.Item) {
	d.mu.Lock()
	d.apply(items)
	d.mu.Unlock()
	d.publish()
}

// invalidate drops all registrations. It is called when the watch has ended, as they
// become outdated from then on.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.registrations)
	d.isLoaded = false
}

// publish passes a copy of the registrations to OnChange, unless they are not loaded.
func (d *directory) publish() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	registrations, isLoaded := maps.Clone(d.registrations), d.isLoaded
	d.mu.Unlock()
	if isLoaded {
		d.config.OnChange(registrations)
	}
}

// registration returns the registration of the endpoint with an ID; isKnown is false if
// there is none.
func (d *directory) registration(id string) (registration endpoint.Registration, isKnown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	registration, isKnown = d.registrations[id]
	return registration, isKnown
}

// apply updates the registrations from items. One that cannot be decoded is left out, and so
// are changes that are older than the last one applied: a watch repeats those that were made
// while all keys were read. The caller holds d.mu.
func (d *directory) apply(items []store.Item) {
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, d.config.Prefix)
		if item.Revision < d.revisions[id] {
			continue
		}
		d.revisions[id] = item.Revision
		if item.IsRemoved {
			delete(d.registrations, id)
			continue
		}
		registration, err := d.config.Decode(item.Key, item.Value)
		if err != nil {
			delete(d.registrations, id)
			if d.undecodable[id] != item.Created {
				d.undecodable[id] = item.Created
				event.EndpointInvalid.Log(d.config.Log, logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
			}
			continue
		}
		d.registrations[id] = registration
	}
}
