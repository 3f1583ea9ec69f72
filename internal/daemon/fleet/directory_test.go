package fleet

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// recorder records the sizes of the lists that a directory passes to OnChange.
type recorder struct {
	mu    sync.Mutex
	sizes []int
	// release, if it is not nil, blocks calls with one endpoint until it is closed.
	release chan struct{}
}

func (p *recorder) record(registrations map[string]endpoint.Registration) {
	if p.release != nil && len(registrations) == 1 {
		<-p.release
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes = append(p.sizes, len(registrations))
}

func (p *recorder) recorded() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int(nil), p.sizes...)
}

func newTestDirectory(p *recorder) *directory {
	return newDirectory(directoryConfig{Prefix: "servers/", Decode: testEndpoint, OnChange: p.record})
}

// endpointItems returns a stored item for each endpoint ID.
func endpointItems(ids ...string) (items []store.Item) {
	for _, id := range ids {
		value, _ := json.Marshal(endpoint.Registration{Profile: jobs.Profile{ID: id}})
		items = append(items, store.Item{Key: "servers/" + id, Value: value})
	}
	return items
}

func TestDirectory(t *testing.T) {
	Convey("OnChange never gets an older list after a newer one, though the first call is slow", t, func() {
		p := &recorder{release: make(chan struct{})}
		d := newTestDirectory(p)
		var wait sync.WaitGroup
		wait.Go(func() { d.replace(endpointItems("a")) })
		time.Sleep(20 * time.Millisecond)
		wait.Go(func() { d.update(endpointItems("b")) })
		time.Sleep(20 * time.Millisecond)
		close(p.release)
		wait.Wait()
		So(p.recorded(), ShouldResemble, []int{1, 2})
	})
	Convey("OnChange gets no list before the registrations are loaded or after they are invalidated", t, func() {
		p := &recorder{}
		d := newTestDirectory(p)
		d.publish()
		So(p.recorded(), ShouldBeEmpty)
		d.replace(endpointItems("a", "b"))
		d.invalidate()
		d.publish()
		So(p.recorded(), ShouldResemble, []int{2})
	})
}

// A watch from the revision of a list's first page repeats changes that later pages contain, so
// that a restarted endpoint seemed to have restarted again.
func TestDirectoryRepeatsOlderRegistrations(t *testing.T) {
	Convey("A change that is older than what was read of its key is left out", t, func() {
		var born []int64
		d := newDirectory(directoryConfig{Prefix: "servers/", Decode: testEndpoint, OnChange: func(registrations map[string]endpoint.Registration) {
			born = append(born, registrations["a"].Profile.Born)
		}})
		item := func(revision, born int64) []store.Item {
			value, _ := json.Marshal(endpoint.Registration{Profile: jobs.Profile{ID: "a", Born: born}})
			return []store.Item{{Key: "servers/a", Value: value, Revision: revision}}
		}
		d.replace(item(7, 70))
		d.update(item(5, 50))
		d.update([]store.Item{{Key: "servers/a", Revision: 6, IsRemoved: true}})
		d.update(item(8, 80))
		d.update([]store.Item{{Key: "servers/a", Revision: 9, IsRemoved: true}})
		d.update(item(8, 80))
		So(born, ShouldResemble, []int64{70, 70, 70, 80, 0, 0})
	})
}
