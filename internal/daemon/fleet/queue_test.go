package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

// configure puts a configuration in force at all entries but those that are held back.
func (s *system) configure(value string) {
	s.store.Put("op/config", []byte(value))
	item, _ := s.store.Get("op/config")
	for _, e := range s.entries {
		if !e.isHeldBack.Load() {
			isInForce := await.Until(5*time.Second, func() bool {
				current := e.daemon.setup.Load()
				return current != nil && current.Revision >= item.Revision
			})
			So(isInForce, ShouldBeTrue)
		}
	}
}

// holdBackConfig keeps changes of the configuration from an entry while isHeldBack is set.
func holdBackConfig(e *entry, client *store.Client) {
	watch, readRange := client.Watch, client.Range
	filter := func(page store.Page, err error) (store.Page, error) {
		if e.isHeldBack.Load() {
			page.Items = slices.DeleteFunc(page.Items, func(item store.Item) bool { return item.Key == "op/config" })
		}
		return page, err
	}
	client.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Page, error) {
		return filter(watch(ctx, prefix, after, wait))
	}
	client.Range = func(ctx context.Context, prefix, after string, isStale bool) (store.Page, error) {
		return filter(readRange(ctx, prefix, after, isStale))
	}
}

func (s *system) startedTwice() (tasks []string) {
	for task, count := range s.workers.Starts() {
		if count > 1 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// A queue got another pool: its accepted jobs were answered 410, and a submission that came again
// ran them a second time beside the first run (TWICE and LOST, review/3).
func TestMovedQueueLosesItsJobs(t *testing.T) {
	Convey("The jobs of a queue that gets another pool are shown, counted, cancelled and not run again, at every entry", t, func() {
		s := newSystem(t, 3)
		lasting, waiting := jobPath("quick", 0xf<<60), jobPath("quick", 2)
		So(s.submit(0, lasting), ShouldBeTrue)
		So(await.Until(8*time.Second, func() bool { return s.workers.Running() == 3 }), ShouldBeTrue)
		// A job that is due later waits in the former cell.
		later := fmt.Sprintf(`{"steps":[{"n":1}],"first":%q,"times":1,"every":1000}`, time.Now().Add(time.Hour).Format(time.RFC3339))
		status, content := s.call(0, http.MethodPost, waiting, later)
		So(content, ShouldEqual, `{"state":"queued"}`)
		So(status, ShouldEqual, 200)
		s.configure(configWithoutQuick)
		s.configure(configQuickInBlue)
		for i := range s.entries {
			status, content := s.call(i, http.MethodGet, lasting, "")
			So(status, ShouldEqual, 200)
			So(content, ShouldEqual, `{"state":"running"}`)
			status, _ = s.call(i, http.MethodPost, lasting, twoSteps)
			So(status, ShouldEqual, 200)
		}
		So(s.submit(1, jobPath("quick", 3)), ShouldBeTrue)
		So(s.completes(2, jobPath("quick", 3), 8*time.Second), ShouldBeTrue)
		status, content = s.call(1, http.MethodGet, "/quick/", "")
		So(status, ShouldEqual, 200)
		So(content, ShouldEqual, `{"pending":1}`)
		for _, path := range []string{lasting, waiting} {
			status, _ = s.call(2, http.MethodDelete, path, "")
			So(status, ShouldEqual, 200)
			_, content = s.call(0, http.MethodGet, path, "")
			So(content, ShouldEqual, `{"state":"cancelled"}`)
		}
		So(await.Until(5*time.Second, func() bool { return s.workers.Running() == 0 }), ShouldBeTrue)
		So(s.startedTwice(), ShouldBeEmpty)
		status, _ = s.call(0, http.MethodGet, jobPath("quick", 99), "")
		So(status, ShouldEqual, 410)
	})
	Convey("An entry that has not heard of the move submits to the new cell, and nothing is accepted twice", t, func() {
		s := (&system{t: t, store: keyvalue.New(), wrapStore: holdBackConfig}).startAll(2)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		So(s.submit(1, jobPath("quick", 2)), ShouldBeTrue)
		s.entries[1].isHeldBack.Store(true)
		s.configure(configQuickInBlue)
		for id := uint64(3); id < 9; id++ {
			So(s.submit(int(id)%2, jobPath("quick", id)), ShouldBeTrue)
			So(s.submit(int(id+1)%2, jobPath("quick", id)), ShouldBeTrue)
		}
		for id := uint64(1); id < 9; id++ {
			So(s.submit(int(id+1)%2, jobPath("quick", id)), ShouldBeTrue)
			So(s.completes(int(id+1)%2, jobPath("quick", id), 8*time.Second), ShouldBeTrue)
		}
		So(s.startedTwice(), ShouldBeEmpty)
		So(s.workers.Starts(), ShouldHaveLength, 8*6)
	})
	Convey("Jobs that are submitted at two entries at once while the queue moves to and fro are accepted once", t, func() {
		s := newSystem(t, 3)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		var accepted sync.Map
		var submitters sync.WaitGroup
		var isOver atomic.Bool
		for worker := range uint64(4) {
			submitters.Go(func() {
				for k := uint64(0); k < 40 && !isOver.Load(); k++ {
					path := jobPath("quick", 100+worker<<16+k)
					var pair sync.WaitGroup
					for i := range 2 {
						pair.Go(func() {
							if status, _ := s.call((int(worker)+i)%3, http.MethodPost, path, oneTask); status == 200 {
								accepted.Store(path, true)
							}
						})
					}
					pair.Wait()
				}
			})
		}
		for i := range 6 {
			time.Sleep(150 * time.Millisecond)
			s.configure([]string{configQuickInBlue, "1"}[i%2])
		}
		submitters.Wait()
		isOver.Store(true)
		count := 0
		accepted.Range(func(path, _ any) bool {
			count++
			So(s.completes(count%3, path.(string), 8*time.Second), ShouldBeTrue)
			return true
		})
		So(count, ShouldBeGreaterThan, 20)
		So(s.startedTwice(), ShouldBeEmpty)
	})
	Convey("The jobs of a pool that leaves the configuration are known after takeovers and to an entry that has just started", t, func() {
		s := newSystem(t, 2)
		path := jobPath("open", 0xf<<60)
		So(s.submit(0, path), ShouldBeTrue)
		So(await.Until(8*time.Second, func() bool { return s.workers.Running() == 3 }), ShouldBeTrue)
		s.configure(configAllInRed)
		So(s.submit(1, jobPath("open", 2)), ShouldBeTrue)
		s.startEntry("entry-new")
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		s.entries[number].stop()
		for _, i := range []int{1 - number, 2} {
			So(await.Until(8*time.Second, func() bool {
				status, _ := s.call(i, http.MethodGet, path, "")
				return status == 200
			}), ShouldBeTrue)
			So(s.submit(i, path), ShouldBeTrue)
		}
		So(s.completes(2, jobPath("open", 2), 8*time.Second), ShouldBeTrue)
		So(s.startedTwice(), ShouldBeEmpty)
		So(s.workers.Running(), ShouldEqual, 3)
	})
	Convey("Jobs that were stored before there were rows of homes are known", t, func() {
		s := newSystem(t, 2)
		path := jobPath("quick", 0xf<<60)
		So(s.submit(0, path), ShouldBeTrue)
		s.store.Remove("live/homes")
		So(await.Until(5*time.Second, func() bool {
			return len(s.entries[0].daemon.homes.Cells())+len(s.entries[1].daemon.homes.Cells()) == 0
		}), ShouldBeTrue)
		status, content := s.call(1, http.MethodGet, path, "")
		if status != 200 {
			t.Logf("%s\n%s\n%s", content, s.entries[0].logs, s.entries[1].logs)
		}
		So(status, ShouldEqual, 200)
		So(s.submit(1, path), ShouldBeTrue)
		So(s.submit(0, jobPath("quick", 2)), ShouldBeTrue)
		So(s.completes(1, jobPath("quick", 2), 8*time.Second), ShouldBeTrue)
		So(s.startedTwice(), ShouldBeEmpty)
	})
	Convey("While a former cell cannot be asked, nothing is accepted or said to be unknown", t, func() {
		s := &system{t: t, store: keyvalue.New()}
		s.store.Put("cell/gone/log/000000000001", []byte(`{"cancel":"000000000000000a"}`))
		s.store.Put("live/homes", []byte(`{"quick":{"cells":["red","gone"],"setup":1,"move":7},"//h/quick/":{"cells":["red","gone"],"setup":1,"move":7}}`))
		s.startAll(2)
		So(await.Until(5*time.Second, func() bool { return s.owner("red") >= 0 }), ShouldBeTrue)
		for _, c := range []struct{ method, path, body string }{
			{http.MethodPost, jobPath("quick", 1), twoSteps},
			{http.MethodGet, jobPath("quick", 1), ""},
			{http.MethodDelete, jobPath("quick", 1), ""},
			{http.MethodGet, "/quick/", ""},
		} {
			status, content := s.call(0, c.method, c.path, c.body)
			SoMsg(c.method+" "+c.path+": "+content, status, ShouldEqual, 503)
		}
		So(s.workers.Starts(), ShouldBeEmpty)
	})
}

// oneTask is a job of one short task.
const oneTask = `{"spec":"s","steps":[{"n":1,"each":{"cpu":100,"mem":10}}]}`

// A job was shown to and cancelled by whoever knew its ID, with the key of another client account or
// through an open queue of the pool; a submission under the ID was answered 200 and not stored.
func TestJobsOfOthersAreReached(t *testing.T) {
	Convey("A job is reached with a key of its account only", t, func() {
		s := newSystem(t, 2)
		path := jobPath("quick", 0xf<<60)
		So(s.submit(0, path), ShouldBeTrue)
		for name, c := range map[string]struct {
			key, method, path string
			status            int
		}{
			"other account, state":        {"other secret", http.MethodGet, path, 410},
			"other account, cancellation": {"other secret", http.MethodDelete, path, 410},
			"other account, submission":   {"other secret", http.MethodPost, path, 409},
			"open queue, state":           {"", http.MethodGet, jobPath("public", 0xf<<60), 410},
			"open queue, cancellation":    {"", http.MethodDelete, jobPath("public", 0xf<<60), 410},
			"open queue, submission":      {"", http.MethodPost, jobPath("public", 0xf<<60), 409},
			"unknown key":                 {"none", http.MethodGet, path, 401},
			"own account":                 {"secret", http.MethodGet, path, 200},
			"own account, submission":     {"secret", http.MethodPost, path, 200},
		} {
			for i := range s.entries {
				status, content := s.callWithKey(c.key, i, c.method, c.path, twoSteps)
				SoMsg(name+": "+content, status, ShouldEqual, c.status)
			}
		}
		_, content := s.call(1, http.MethodGet, path, "")
		So(content, ShouldNotEqual, `{"state":"cancelled"}`)
	})
}
