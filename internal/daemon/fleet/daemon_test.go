package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
)

func digest(key string) setup.Digest { return sha256.Sum256([]byte(key)) }

func path(queue string, number uint64) string { return fmt.Sprintf("/%s/%016x", queue, number) }

func TestJobsOverEntries(t *testing.T) {
	Convey("Jobs handed in at any entry run once and are shown as completed at any entry", t, func() {
		s := newSite(t, 3)
		for i := range 6 {
			So(s.submit(i%3, path("quick", uint64(i+1))), ShouldBeTrue)
		}
		for i := range 6 {
			So(s.completes((i+1)%3, path("quick", uint64(i+1)), 8*time.Second), ShouldBeTrue)
		}
		starts := s.workers.Starts()
		So(starts, ShouldHaveLength, 36)
		for _, count := range starts {
			So(count, ShouldEqual, 1)
		}
		status, pending := s.call(0, http.MethodGet, "/quick/", "")
		So(status, ShouldEqual, 200)
		So(pending, ShouldEqual, `{"pending":0}`)
	})
}

func TestRequestsThatAreRefused(t *testing.T) {
	Convey("Requests that cannot be served get one clear answer", t, func() {
		s := newSite(t, 1)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		for name, each := range map[string]struct {
			method, path, body string
			status             int
		}{
			"no queue":      {http.MethodPost, "/none/0000000000000002", twoSteps, 404},
			"no ID":         {http.MethodPost, "/quick/xyz", twoSteps, 404},
			"no job":        {http.MethodPost, path("quick", 2), `[]`, 400},
			"unknown field": {http.MethodPost, path("quick", 2), `{"stepz":[]}`, 400},
			"no steps":      {http.MethodPost, path("quick", 2), `{}`, 400},
			"needs itself":  {http.MethodPost, path("quick", 2), `{"steps":[{"n":1,"after":[0]}]}`, 400},
			"no endpoint":   {http.MethodPost, path("quick", 2), `{"steps":[{"n":1,"each":{"cpu":99000}}]}`, 429},
			"unknown job":   {http.MethodGet, path("quick", 3), "", 410},
			"cancel none":   {http.MethodDelete, path("quick", 3), "", 410},
			"cancel":        {http.MethodDelete, path("quick", 1), "", 200},
			"accepted once": {http.MethodPost, path("quick", 1), twoSteps, 200},
		} {
			status, answer := s.call(0, each.method, each.path, each.body)
			SoMsg(name+": "+answer, status, ShouldEqual, each.status)
		}
	})
}

func TestHandOver(t *testing.T) {
	Convey("An entry that stops hands its cells over; what runs goes on and is not started again", t, func() {
		s := newSite(t, 3)
		So(s.submit(0, path("open", 0xf<<60)), ShouldBeTrue)
		So(s.eventually(8*time.Second, func() bool { return s.workers.Running() >= 3 }), ShouldBeTrue)
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		go s.entries[number].stop()
		So(s.eventually(3*time.Second, func() bool {
			next := s.owner("blue")
			return next >= 0 && next != number
		}), ShouldBeTrue)
		other := (number + 1) % 3
		So(s.submit(other, path("open", 2)), ShouldBeTrue)
		So(s.completes(other, path("open", 2), 8*time.Second), ShouldBeTrue)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

// storeDelay is how long the users' store takes for an answer.
const storeDelay = 4 * time.Millisecond

// handOverLimit is a few cycles and store calls with room for a busy machine.
const handOverLimit = 400 * time.Millisecond

func TestHandOverUnderLoad(t *testing.T) {
	Convey("A cell whose many endpoints end tasks all the time is handed over within moments", t, func() {
		s := newSite(t, 2)
		s.store.SetDelay(storeDelay)
		for i := range 60 {
			s.addWorker(fmt.Sprintf("i-more-%d", i), "blue")
		}
		So(s.submit(0, path("open", 1)), ShouldBeTrue)
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range uint64(8) {
			go func() {
				for k := uint64(1); ctx.Err() == nil; k++ {
					s.call(1-number, http.MethodPost, path("open", i<<32+k<<8), wideStep)
				}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		go s.entries[number].stop()
		So(s.eventually(5*time.Second, func() bool { return s.owner("blue") == 1-number }), ShouldBeTrue)
		t.Log("handed over within", time.Since(began))
		So(time.Since(began), ShouldBeLessThan, handOverLimit)
	})
}

// wideStep is a job of one step of many tasks.
const wideStep = `{"spec":"s","steps":[{"n":30,"each":{"cpu":100,"mem":10}}]}`

func TestLostOwner(t *testing.T) {
	Convey("Cells of an entry that is cut off from the store are taken over, and no task runs twice", t, func() {
		s := newSite(t, 3)
		for i := range 4 {
			So(s.submit(i%3, path("quick", uint64(i+1))), ShouldBeTrue)
		}
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		s.entries[number].cut(true)
		So(s.eventually(8*time.Second, func() bool {
			next := s.owner("red")
			return next >= 0 && next != number
		}), ShouldBeTrue)
		other := (number + 1) % 3
		for i := range 4 {
			So(s.completes(other, path("quick", uint64(i+1)), 8*time.Second), ShouldBeTrue)
		}
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
		So(s.entries[number].daemon.IsReady(), ShouldBeFalse)
	})
}

func TestStoreThroughAPeer(t *testing.T) {
	Convey("An entry that the store turns away keeps its cells and serves on by way of a peer", t, func() {
		s := newRelayedSite(t, 3)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		epoch := s.entries[number].daemon.ownerOf("red").Condition().Revision
		s.entries[number].cut(true)
		// Twice the lease: without another path the cell would have gone by now.
		end := time.Now().Add(2 * sessionTTL)
		for i := uint64(2); time.Now().Before(end); i++ {
			status, answer := s.call(int(i%3), http.MethodPost, path("quick", i), twoSteps)
			SoMsg(answer, status, ShouldEqual, http.StatusOK)
			So(s.completes(number, path("quick", i), 8*time.Second), ShouldBeTrue)
			So(s.entries[number].daemon.IsReady(), ShouldBeTrue)
		}
		So(s.owner("red"), ShouldEqual, number)
		So(s.entries[number].daemon.ownerOf("red").Condition().Revision, ShouldEqual, epoch)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestOwnerThatDoesNotAnswer(t *testing.T) {
	Convey("A job that was sent to an owner cut off from the store is accepted by the next owner, once", t, func() {
		s := newSite(t, 3)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		s.entries[number].cut(true)
		other := (number + 1) % 3
		status, answer := s.call(other, http.MethodPost, path("quick", 2), twoSteps)
		SoMsg(answer, status, ShouldEqual, http.StatusOK)
		So(s.completes(other, path("quick", 2), 8*time.Second), ShouldBeTrue)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	Convey("Without the store nothing is accepted, and that is said at once; after it all is as before", t, func() {
		s := newSite(t, 2)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		So(s.completes(0, path("quick", 1), 8*time.Second), ShouldBeTrue)
		s.store.SetDown(true)
		So(s.eventually(6*time.Second, func() bool { return !s.entries[0].daemon.IsReady() }), ShouldBeTrue)
		began := time.Now()
		status, _ := s.call(0, http.MethodPost, path("quick", 2), twoSteps)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(began), ShouldBeLessThan, time.Second)
		s.store.ExpireLeases()
		s.store.SetDown(false)
		So(s.submit(1, path("quick", 2)), ShouldBeTrue)
		So(s.completes(0, path("quick", 2), 8*time.Second), ShouldBeTrue)
		_, state := s.call(0, http.MethodGet, path("quick", 1), "")
		So(state, ShouldEqual, `{"state":"completed"}`)
	})
}

func TestLostAnswersOfTheStore(t *testing.T) {
	Convey("Writes whose answers are lost count once", t, func() {
		s := newSite(t, 2)
		lost := 0
		s.store.LoseResponses(func(store.Change) bool {
			lost++
			return lost%3 == 0
		})
		for i := range 4 {
			So(s.submit(i%2, path("quick", uint64(i+1))), ShouldBeTrue)
		}
		for i := range 4 {
			So(s.completes(0, path("quick", uint64(i+1)), 10*time.Second), ShouldBeTrue)
		}
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestCompactedHistory(t *testing.T) {
	Convey("A watch whose history is gone reads anew", t, func() {
		s := newSite(t, 1)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		s.store.Compact()
		s.addWorker("i-9", "red")
		s.store.Compact()
		So(s.eventually(5*time.Second, func() bool {
			_, isKnown := s.entries[0].daemon.directory.entry("i-9")
			return isKnown
		}), ShouldBeTrue)
	})
}

func TestDump(t *testing.T) {
	Convey("The state of an entry names its cells with owners, epochs, queues, accounts and endpoints", t, func() {
		s := newSite(t, 1)
		So(s.submit(0, path("quick", 1)), ShouldBeTrue)
		dump := s.entries[0].daemon.Dump(context.Background())
		So(dump.Cells, ShouldContainKey, "red")
		So(dump.Owners["red"].Epoch, ShouldBeGreaterThan, 0)
		So(dump.Cells["red"].Endpoints, ShouldHaveLength, 2)
		So(dump.Cells["red"].Counts.Accepted, ShouldEqual, 1)
		So(dump.Members, ShouldHaveLength, 1)
	})
}
