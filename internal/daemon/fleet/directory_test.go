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

// passes records what a directory passes on.
type passes struct {
	mu    sync.Mutex
	sizes []int
	// hold delays the first pass until it is closed.
	hold chan struct{}
}

func (p *passes) take(entries map[string]endpoint.Entry) {
	if p.hold != nil && len(entries) == 1 {
		<-p.hold
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes = append(p.sizes, len(entries))
}

func (p *passes) list() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int(nil), p.sizes...)
}

func newTestDirectory(p *passes) *directory {
	return newDirectory(directoryConfig{Prefix: "servers/", Decode: testEndpoint, OnChange: p.take})
}

func listed(ids ...string) (items []store.Item) {
	for _, id := range ids {
		value, _ := json.Marshal(endpoint.Entry{Profile: jobs.Profile{ID: id}})
		items = append(items, store.Item{Key: "servers/" + id, Value: value})
	}
	return items
}

func TestDirectory(t *testing.T) {
	Convey("An older list is never passed after a newer one", t, func() {
		p := &passes{hold: make(chan struct{})}
		d := newTestDirectory(p)
		var wait sync.WaitGroup
		wait.Go(func() { d.replace(listed("a")) })
		time.Sleep(20 * time.Millisecond)
		wait.Go(func() { d.update(listed("b")) })
		time.Sleep(20 * time.Millisecond)
		close(p.hold)
		wait.Wait()
		So(p.list(), ShouldResemble, []int{1, 2})
	})
	Convey("A list that is not followed is not passed", t, func() {
		p := &passes{}
		d := newTestDirectory(p)
		d.publish()
		So(p.list(), ShouldBeEmpty)
		d.replace(listed("a", "b"))
		d.invalidate()
		d.publish()
		So(p.list(), ShouldResemble, []int{2})
	})
}
