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
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

func digest(key string) setup.Digest { return sha256.Sum256([]byte(key)) }

func jobPath(queue string, number uint64) string { return fmt.Sprintf("/%s/%016x", queue, number) }

func TestJobsOverEntries(t *testing.T) {
	Convey("Jobs submitted at any entry run once and have the state completed at every entry", t, func() {
		s := newSystem(t, 3)
		for i := range 6 {
			So(s.submit(i%3, jobPath("quick", uint64(i+1))), ShouldBeTrue)
		}
		for i := range 6 {
			So(s.completes((i+1)%3, jobPath("quick", uint64(i+1)), 8*time.Second), ShouldBeTrue)
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
	Convey("Requests that cannot be served get the status that says why", t, func() {
		s := newSystem(t, 1)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		for name, c := range map[string]struct {
			method, path, body string
			status             int
		}{
			"no queue":      {http.MethodPost, "/none/0000000000000002", twoSteps, 404},
			"no ID":         {http.MethodPost, "/quick/xyz", twoSteps, 404},
			"no job":        {http.MethodPost, jobPath("quick", 2), `[]`, 400},
			"unknown field": {http.MethodPost, jobPath("quick", 2), `{"stepz":[]}`, 400},
			"no steps":      {http.MethodPost, jobPath("quick", 2), `{}`, 400},
			"needs itself":  {http.MethodPost, jobPath("quick", 2), `{"steps":[{"n":1,"after":[0]}]}`, 400},
			"no endpoint":   {http.MethodPost, jobPath("quick", 2), `{"steps":[{"n":1,"each":{"cpu":99000}}]}`, 429},
			"unknown job":   {http.MethodGet, jobPath("quick", 3), "", 410},
			"cancel none":   {http.MethodDelete, jobPath("quick", 3), "", 410},
			"cancel":        {http.MethodDelete, jobPath("quick", 1), "", 200},
			"accepted once": {http.MethodPost, jobPath("quick", 1), twoSteps, 200},
		} {
			status, content := s.call(0, c.method, c.path, c.body)
			SoMsg(name+": "+content, status, ShouldEqual, c.status)
		}
	})
}

func TestHandover(t *testing.T) {
	Convey("An entry that stops hands its cells over; running tasks continue and are not started again", t, func() {
		s := newSystem(t, 3)
		So(s.submit(0, jobPath("open", 0xf<<60)), ShouldBeTrue)
		So(await.Until(8*time.Second, func() bool { return s.workers.Running() >= 3 }), ShouldBeTrue)
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		go s.entries[number].stop()
		So(await.Until(3*time.Second, func() bool {
			next := s.owner("blue")
			return next >= 0 && next != number
		}), ShouldBeTrue)
		other := (number + 1) % 3
		So(s.submit(other, jobPath("open", 2)), ShouldBeTrue)
		So(s.completes(other, jobPath("open", 2), 8*time.Second), ShouldBeTrue)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

// storeDelay is the response time of the users' metadata store.
const storeDelay = 4 * time.Millisecond

// maxHandoverTime covers a few planning cycles and store calls, with a margin for a
// busy machine.
const maxHandoverTime = 400 * time.Millisecond

func TestHandoverUnderLoad(t *testing.T) {
	Convey("A cell with many endpoints on which tasks end continuously is handed over without delay", t, func() {
		s := newSystem(t, 2)
		s.store.SetDelay(storeDelay)
		for i := range 60 {
			s.addEndpoint(fmt.Sprintf("i-more-%d", i), "blue")
		}
		So(s.submit(0, jobPath("open", 1)), ShouldBeTrue)
		number := s.owner("blue")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range uint64(8) {
			go func() {
				for k := uint64(1); ctx.Err() == nil; k++ {
					s.call(1-number, http.MethodPost, jobPath("open", i<<32+k<<8), manyTasks)
				}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		go s.entries[number].stop()
		So(await.Until(5*time.Second, func() bool { return s.owner("blue") == 1-number }), ShouldBeTrue)
		t.Log("handed over within", time.Since(began))
		So(time.Since(began), ShouldBeLessThan, maxHandoverTime)
	})
}

// manyTasks is a job with one step of 30 tasks.
const manyTasks = `{"spec":"s","steps":[{"n":30,"each":{"cpu":100,"mem":10}}]}`

func TestLostOwner(t *testing.T) {
	Convey("Cells of an entry that is disconnected from the store are taken over, and no task runs twice", t, func() {
		s := newSystem(t, 3)
		for i := range 4 {
			So(s.submit(i%3, jobPath("quick", uint64(i+1))), ShouldBeTrue)
		}
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		s.entries[number].setDisconnected(true)
		So(await.Until(8*time.Second, func() bool {
			next := s.owner("red")
			return next >= 0 && next != number
		}), ShouldBeTrue)
		other := (number + 1) % 3
		for i := range 4 {
			So(s.completes(other, jobPath("quick", uint64(i+1)), 8*time.Second), ShouldBeTrue)
		}
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
		So(s.entries[number].daemon.IsReady(), ShouldBeFalse)
	})
}

func TestStoreThroughAPeer(t *testing.T) {
	Convey("An entry that cannot reach the store directly keeps its cells and goes on serving through a peer", t, func() {
		s := newRelayedSystem(t, 3)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		epoch := s.entries[number].daemon.ownerOf("red").Condition().Revision
		s.entries[number].setDisconnected(true)
		// After twice the TTL, the cell would have another owner if calls to the store
		// were not relayed.
		end := time.Now().Add(2 * sessionTTL)
		for i := uint64(2); time.Now().Before(end); i++ {
			status, content := s.call(int(i%3), http.MethodPost, jobPath("quick", i), twoSteps)
			SoMsg(content, status, ShouldEqual, http.StatusOK)
			So(s.completes(number, jobPath("quick", i), 8*time.Second), ShouldBeTrue)
			SoMsg(s.entries[number].logs.String(), s.entries[number].daemon.IsReady(), ShouldBeTrue)
		}
		So(s.owner("red"), ShouldEqual, number)
		So(s.entries[number].daemon.ownerOf("red").Condition().Revision, ShouldEqual, epoch)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestOwnerThatDoesNotAnswer(t *testing.T) {
	Convey("A job submitted while its owner is disconnected from the store is accepted by the next owner, once", t, func() {
		s := newSystem(t, 3)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		number := s.owner("red")
		So(number, ShouldBeGreaterThanOrEqualTo, 0)
		s.entries[number].setDisconnected(true)
		other := (number + 1) % 3
		status, content := s.call(other, http.MethodPost, jobPath("quick", 2), twoSteps)
		SoMsg(content, status, ShouldEqual, http.StatusOK)
		So(s.completes(other, jobPath("quick", 2), 8*time.Second), ShouldBeTrue)
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	Convey("During an outage of the store jobs are refused at once; afterwards they are accepted and earlier jobs are still known", t, func() {
		s := newSystem(t, 2)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		So(s.completes(0, jobPath("quick", 1), 8*time.Second), ShouldBeTrue)
		s.store.SetDown(true)
		So(await.Until(6*time.Second, func() bool { return !s.entries[0].daemon.IsReady() }), ShouldBeTrue)
		began := time.Now()
		status, _ := s.call(0, http.MethodPost, jobPath("quick", 2), twoSteps)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(began), ShouldBeLessThan, time.Second)
		s.store.ExpireLeases()
		s.store.SetDown(false)
		So(s.submit(1, jobPath("quick", 2)), ShouldBeTrue)
		So(s.completes(0, jobPath("quick", 2), 8*time.Second), ShouldBeTrue)
		_, state := s.call(0, http.MethodGet, jobPath("quick", 1), "")
		So(state, ShouldEqual, `{"state":"completed"}`)
	})
}

func TestLostStoreResponses(t *testing.T) {
	Convey("Writes to the store whose responses are lost take effect once", t, func() {
		s := newSystem(t, 2)
		lost := 0
		s.store.LoseResponses(func(store.Change) bool {
			lost++
			return lost%3 == 0
		})
		for i := range 4 {
			So(s.submit(i%2, jobPath("quick", uint64(i+1))), ShouldBeTrue)
		}
		for i := range 4 {
			So(s.completes(0, jobPath("quick", uint64(i+1)), 10*time.Second), ShouldBeTrue)
		}
		for task, count := range s.workers.Starts() {
			SoMsg(task, count, ShouldEqual, 1)
		}
	})
}

func TestCompactedHistory(t *testing.T) {
	Convey("A watch whose history the store has dropped reads all keys again", t, func() {
		s := newSystem(t, 1)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		s.store.Compact()
		s.addEndpoint("i-9", "red")
		s.store.Compact()
		So(await.Until(5*time.Second, func() bool {
			_, isKnown := s.entries[0].daemon.directory.registration("i-9")
			return isKnown
		}), ShouldBeTrue)
	})
}

func TestDump(t *testing.T) {
	Convey("The dump of an entry contains its cells with their owners, epochs, endpoints and counts, and the members", t, func() {
		s := newSystem(t, 1)
		So(s.submit(0, jobPath("quick", 1)), ShouldBeTrue)
		dump := s.entries[0].daemon.Dump(context.Background())
		So(dump.Cells, ShouldContainKey, "red")
		So(dump.Owners["red"].Epoch, ShouldBeGreaterThan, 0)
		So(dump.Cells["red"].Endpoints, ShouldHaveLength, 2)
		So(dump.Cells["red"].Counts.Accepted, ShouldEqual, 1)
		So(dump.Members, ShouldHaveLength, 1)
	})
}
