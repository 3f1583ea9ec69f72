package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

// large is longer than what is read whole before it is passed on.
var large = strings.Repeat("x", 200<<10)

// faults are the ways in which an attempt at a minion can go wrong, in the
// order of the attempt's life.
var faults = map[string]struct {
	greet func(number int) bool
	play  script
	// post is the outcome that a non-idempotent request must have; "" if the
	// minion's own answer is passed on.
	post string
	// runs tells that the minion has read the request whole.
	runs bool
	// mayNotRun allows not-run too, if nothing was read: the closing may be
	// noticed before the first byte is written.
	mayNotRun bool
	// isCut tells that the answer had begun, so that only cutting it off keeps
	// it from passing for a whole one.
	isCut bool
}{
	"closed after the dial": {
		greet: func(int) bool { return false }, play: healthy, post: "unknown", mayNotRun: true,
	},
	"closed after the request was read": {
		play: func(net.Conn, *http.Request, int) bool { return false }, post: "unknown", runs: true,
	},
	"cut in the header": {
		play: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nAttempt-")
			return false
		}, post: "unknown", runs: true,
	},
	"cut in a small body": {
		play: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Attempt-Id"))
			return false
		}, post: "unknown", runs: true,
	},
	"cut in a chunked body": {
		play: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", r.Header.Get("Attempt-Id"))
			return false
		}, post: "unknown", runs: true,
	},
	"cut in a large body": {
		play: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Attempt-Id"), 2*len(large), large)
			return false
		}, runs: true, isCut: true,
	},
	"a body without a length": {
		play: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nConnection: close\r\n\r\nwho knows whether this is all", r.Header.Get("Attempt-Id"))
			return false
		}, post: "unknown", runs: true,
	},
	"the answer of another attempt": {
		play: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		}, post: "unknown", runs: true,
	},
	"an answer without an id": {
		play: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		}, post: "unknown", runs: true,
	},
	"no HTTP": {
		play: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "what?\r\n\r\n")
			return false
		}, post: "unknown", runs: true,
	},
	"refused by contract": {
		play: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nOutcome: not-run\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
			return true
		}, post: "not-run",
	},
}

func TestOutcomeOfNonIdempotentRequests(t *testing.T) {
	for name, f := range faults {
		Convey("Given a minion with the fault: "+name, t, func() {
			bad := newGreeting(t, f.play, f.greet)
			b := newBench(t, benchOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad)
			r := b.send(http.MethodPost, "swap")

			So(bad.count("swap"), ShouldBeLessThanOrEqualTo, 1)
			if f.isCut {
				So(r.isCut, ShouldBeTrue)
				return
			}
			if f.mayNotRun && r.outcome == "not-run" {
				So(bad.count("swap"), ShouldEqual, 0)
			} else {
				So(r.outcome, ShouldEqual, f.post)
			}
			So(r.isCut, ShouldBeFalse)
			So(r.body, ShouldNotContainSubstring, "wrong")
			if f.runs {
				So(bad.count("swap"), ShouldEqual, 1)
			}
			if r.outcome == "not-run" {
				So(r.retry, ShouldNotBeEmpty)
			}
		})
	}
}

func TestNonIdempotentRequestsRunOnceAmongMany(t *testing.T) {
	for name, f := range faults {
		Convey("Given a good minion and one with the fault: "+name, t, func() {
			bad, good := newGreeting(t, f.play, f.greet), newScripted(t, healthy)
			b := newBench(t, benchOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad, good)
			b.listener.budget.saved = retryStock
			for i := range 8 {
				id := fmt.Sprintf("swap-%d", i)
				r := b.send(http.MethodPost, id)
				runs := b.runs(id)
				if f.post == "not-run" {
					// By contract the bad minion has read the request and not run it.
					runs = good.count(id)
				}
				switch {
				case r.status == http.StatusOK && !r.isCut:
					So(r.body, ShouldEqual, "ran "+id)
					So(good.count(id), ShouldEqual, 1)
				case r.outcome == "not-run":
					So(f.runs, ShouldBeFalse)
				}
				So(runs, ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}

func TestIdempotentRequestsAreRetriedElsewhere(t *testing.T) {
	for name, f := range faults {
		Convey("Given a good minion and one with the fault: "+name, t, func() {
			bad, good := newGreeting(t, f.play, f.greet), newScripted(t, healthy)
			b := newBench(t, benchOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad, good)
			// A budget for the retries of this test.
			b.listener.budget.saved = retryStock
			for i := range 8 {
				id := fmt.Sprintf("read-%d", i)
				r := b.send(http.MethodGet, id)
				if f.isCut && r.isCut {
					continue
				}
				So(r.status, ShouldEqual, http.StatusOK)
				So(r.body, ShouldEqual, "ran "+id)
				So(bad.count(id), ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}

func TestDialFailureIsNotRun(t *testing.T) {
	Convey("Given a minion that nothing listens for", t, func() {
		gone := newScripted(t, healthy)
		So(gone.socket.Close(), ShouldBeNil)
		b := newBench(t, benchOptions{}, gone)
		r := b.send(http.MethodPost, "swap")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.outcome, ShouldEqual, "not-run")
		So(r.retry, ShouldEqual, "1")
	})
}

func TestTransportDoesNotRetrySilently(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		Convey("Given a minion that closes each reused connection on "+method, t, func() {
			m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
				if number > 1 {
					return false
				}
				return healthy(conn, r, number)
			})
			b := newBench(t, benchOptions{}, m)
			So(b.send(method, "first").status, ShouldEqual, http.StatusOK)
			b.send(method, "second")
			So(m.count("second"), ShouldEqual, 1)
		})
	}
}

func TestRetriesAreBounded(t *testing.T) {
	cases := map[string]int{
		"minions that all break off":                               1,
		"minions that break off too seldom for them to be ejected": 2,
	}
	for name, every := range cases {
		Convey("Given "+name+", retries add a tenth to the load at most", t, func() {
			var minions []*scripted
			for range 4 {
				var count atomic.Int64
				minions = append(minions, newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
					return count.Add(1)%int64(every) != 0 && healthy(conn, r, number)
				}))
			}
			stops := document.Service{IsCancellable: true, MaxWait: document.Duration(50 * time.Millisecond)}
			b := newBench(t, benchOptions{service: stops, slots: 50}, minions...)
			const requests = 200
			for i := range requests {
				b.send(http.MethodGet, fmt.Sprintf("read-%d", i))
			}
			attempts := 0
			for _, m := range minions {
				attempts += m.total()
			}
			Printf("%d attempts at %d requests ", attempts, requests)
			So(attempts, ShouldBeLessThanOrEqualTo, requests+requests/10)
		})
	}
}

func TestFailingMinionIsEjected(t *testing.T) {
	Convey("Given one minion that fails all it starts at once, among four", t, func() {
		failing := newScripted(t, func(conn net.Conn, r *http.Request, _ int) bool {
			answerWith(conn, r, http.StatusInternalServerError, "failed")
			return true
		})
		slow := func(conn net.Conn, r *http.Request, number int) bool {
			time.Sleep(5 * time.Millisecond)
			return healthy(conn, r, number)
		}
		minions := []*scripted{failing, newScripted(t, slow), newScripted(t, slow), newScripted(t, slow)}
		b := newBench(t, benchOptions{slots: 2}, minions...)
		const requests = 400
		var wait sync.WaitGroup
		for worker := range 8 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for i := range requests / 8 {
					b.send(http.MethodPost, fmt.Sprintf("swap-%d-%d", worker, i))
				}
			}()
		}
		wait.Wait()
		Printf("the failing minion got %d of %d ", failing.total(), requests)
		So(failing.total(), ShouldBeLessThanOrEqualTo, requests/4)

		Convey("and it is let back once it works", func() {
			failing.setPlay(healthy)
			before := failing.total()
			deadline := time.Now().Add(10 * time.Second)
			for failing.total() < before+3 && time.Now().Before(deadline) {
				b.send(http.MethodPost, "again")
			}
			So(failing.total(), ShouldBeGreaterThanOrEqualTo, before+3)
		})
	})
}

func TestWorkGoesOnAfterTheCallerHasGone(t *testing.T) {
	cases := map[string]struct {
		stops bool
		held  uint32
	}{
		"a minion that stops on a closed connection frees the unit at once": {true, 0},
		"another one holds it until the work has ended":                     {false, 1},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			begun, end := make(chan bool), make(chan bool)
			m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
				begun <- true
				<-end
				return healthy(conn, r, number)
			})
			b := newBench(t, benchOptions{service: document.Service{IsCancellable: c.stops}}, m)
			r, _ := http.NewRequest(http.MethodPost, b.server.URL+"/publish/x", nil)
			r.Header.Set("Authorization", "Bearer "+gateKey)
			client := &http.Client{Timeout: 200 * time.Millisecond}
			go client.Do(r)
			<-begun
			account := b.config.Teams.Account("gate")
			So(eventually(func() bool { return b.listener.Open() == 0 }), ShouldBeTrue)
			So(eventually(func() bool { return account.Used() == c.held }), ShouldBeTrue)
			close(end)
			So(eventually(func() bool { return account.Used() == 0 }), ShouldBeTrue)
		})
	}
}

func TestWorkThatIsLostIsCountedUntilItsLongestRun(t *testing.T) {
	Convey("Given a minion that breaks off, the unit comes free when the longest run time has passed", t, func() {
		m := newScripted(t, func(net.Conn, *http.Request, int) bool { return false })
		b := newBench(t, benchOptions{service: document.Service{MaxRunTime: document.Duration(300 * time.Millisecond)}}, m)
		So(b.send(http.MethodPost, "swap").outcome, ShouldEqual, "unknown")
		account := b.config.Teams.Account("gate")
		So(account.Used(), ShouldEqual, 1)
		So(eventually(func() bool { return account.Used() == 0 }), ShouldBeTrue)
	})
}

func eventually(isDone func() bool) bool {
	deadline := time.Now().Add(10 * time.Second)
	for !isDone() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}
