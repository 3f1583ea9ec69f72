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
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 10 * time.Second

// largeBody is too large to be buffered, so that it is forwarded while it is read.
var largeBody = strings.Repeat("x", 200<<10)

// faults are the ways in which an attempt can fail, in the order of the phases of an
// attempt.
var faults = map[string]struct {
	isAccepted func(number int) bool
	script     scriptFunc
	// postOutcome is the outcome that a non-idempotent request must have, empty if
	// the response of the minion is forwarded.
	postOutcome string
	// isRead is set if the minion reads the complete request and may have run it.
	isRead bool
	// isNotRunAllowed also allows the outcome not-run if the minion has read nothing:
	// the entry may notice the closed connection before it writes the first byte.
	isNotRunAllowed bool
	// isTruncated is set if the response has already been forwarded in part, so that
	// the caller's connection must be closed to mark it as incomplete.
	isTruncated bool
}{
	"closed after the dial": {
		isAccepted: func(int) bool { return false }, script: respondOK, postOutcome: "unknown", isNotRunAllowed: true,
	},
	"closed after the request was read": {
		script: func(net.Conn, *http.Request, int) bool { return false }, postOutcome: "unknown", isRead: true,
	},
	"truncated header": {
		script: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nAttempt-")
			return false
		}, postOutcome: "unknown", isRead: true,
	},
	"truncated small body": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Attempt-Id"))
			return false
		}, postOutcome: "unknown", isRead: true,
	},
	"truncated chunked body": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", r.Header.Get("Attempt-Id"))
			return false
		}, postOutcome: "unknown", isRead: true,
	},
	"truncated large body": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Attempt-Id"), 2*len(largeBody), largeBody)
			return false
		}, isRead: true, isTruncated: true,
	},
	"body without a length": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nConnection: close\r\n\r\nwho knows whether this is all", r.Header.Get("Attempt-Id"))
			return false
		}, postOutcome: "unknown", isRead: true,
	},
	"response to another attempt": {
		script: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		}, postOutcome: "unknown", isRead: true,
	},
	"response without an attempt id": {
		script: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		}, postOutcome: "unknown", isRead: true,
	},
	"not HTTP": {
		script: func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "what?\r\n\r\n")
			return false
		}, postOutcome: "unknown", isRead: true,
	},
	// A status below 100 made the handler panic: the caller's connection was closed, and
	// the unit and the slot of a large response were never released.
	"status below 100": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 012 X\r\nAttempt-Id: %s\r\nContent-Length: 5\r\n\r\nwrong", r.Header.Get("Attempt-Id"))
			return true
		}, postOutcome: "unknown", isRead: true,
	},
	"large body with a status below 100": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 012 X\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Attempt-Id"), len(largeBody), largeBody)
			return true
		}, postOutcome: "unknown", isRead: true,
	},
	// The body of this response has no end. Its reading was not bounded by the maximum run
	// time.
	"switching protocols": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 101 X\r\nAttempt-Id: %s\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n", r.Header.Get("Attempt-Id"))
			return true
		}, postOutcome: "unknown", isRead: true,
	},
	"refused by the minion with not-run": {
		script: func(conn net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nOutcome: not-run\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
			return true
		}, postOutcome: "not-run",
	},
}

func TestOutcomeOfNonIdempotentRequests(t *testing.T) {
	for name, f := range faults {
		Convey("Given a minion with the fault: "+name, t, func() {
			bad := newFilteringMinion(t, f.script, f.isAccepted)
			fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad)
			r := fx.send(http.MethodPost, "swap")

			So(bad.requestCount("swap"), ShouldBeLessThanOrEqualTo, 1)
			if f.isTruncated {
				So(r.isTruncated, ShouldBeTrue)
				return
			}
			if f.isNotRunAllowed && r.outcome == "not-run" {
				So(bad.requestCount("swap"), ShouldEqual, 0)
			} else {
				So(r.outcome, ShouldEqual, f.postOutcome)
			}
			So(r.isTruncated, ShouldBeFalse)
			So(r.body, ShouldNotContainSubstring, "wrong")
			if f.isRead {
				So(bad.requestCount("swap"), ShouldEqual, 1)
			}
			if r.outcome == "not-run" {
				So(r.retry, ShouldNotBeEmpty)
			}
			account := fx.config.Teams.Account("gate")
			So(await.Until(waitTimeout, func() bool { return account.Used() == 0 }), ShouldBeTrue)
		})
	}
}

func TestNonIdempotentRequestsRunOnceAmongMany(t *testing.T) {
	for name, f := range faults {
		Convey("Given a good minion and one with the fault: "+name, t, func() {
			bad, good := newFilteringMinion(t, f.script, f.isAccepted), newFakeMinion(t, respondOK)
			fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad, good)
			fx.listener.budget.tokens = maxRetryTokens
			for i := range 8 {
				id := fmt.Sprintf("swap-%d", i)
				r := fx.send(http.MethodPost, id)
				runCount := fx.totalRequestCount(id)
				if f.postOutcome == "not-run" {
					// The bad minion has read the request, but states that it did not run it.
					runCount = good.requestCount(id)
				}
				switch {
				case r.status == http.StatusOK && !r.isTruncated:
					So(r.body, ShouldEqual, "ran "+id)
					So(good.requestCount(id), ShouldEqual, 1)
				case r.outcome == "not-run":
					So(f.isRead, ShouldBeFalse)
				}
				So(runCount, ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}

func TestIdempotentRequestsAreRetriedElsewhere(t *testing.T) {
	for name, f := range faults {
		Convey("Given a good minion and one with the fault: "+name, t, func() {
			bad, good := newFilteringMinion(t, f.script, f.isAccepted), newFakeMinion(t, respondOK)
			fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(time.Second)}}, bad, good)
			// The full budget covers the retries of this test.
			fx.listener.budget.tokens = maxRetryTokens
			for i := range 8 {
				id := fmt.Sprintf("read-%d", i)
				r := fx.send(http.MethodGet, id)
				if f.isTruncated && r.isTruncated {
					continue
				}
				So(r.status, ShouldEqual, http.StatusOK)
				So(r.body, ShouldEqual, "ran "+id)
				So(bad.requestCount(id), ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}

func TestDialFailureIsNotRun(t *testing.T) {
	Convey("Given a minion on whose port nothing listens", t, func() {
		unreachable := newFakeMinion(t, respondOK)
		So(unreachable.socket.Close(), ShouldBeNil)
		fx := newFixture(t, fixtureOptions{}, unreachable)
		r := fx.send(http.MethodPost, "swap")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.outcome, ShouldEqual, "not-run")
		So(r.retry, ShouldEqual, "1")
	})
}

func TestOutcomeOfAMinionIsNotForwarded(t *testing.T) {
	Convey("An Outcome header in the response of a minion does not reach the caller, for whom it would be a statement of the entry", t, func() {
		for name, status := range map[string]int{"success": http.StatusOK, "failure": http.StatusInternalServerError} {
			m := newFakeMinion(t, func(conn net.Conn, r *http.Request, _ int) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nAttempt-Id: %s\r\nOutcome: not-run\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Attempt-Id"))
				return true
			})
			r := newFixture(t, fixtureOptions{}, m).send(http.MethodPost, "swap")
			SoMsg(name, r.status, ShouldEqual, status)
			SoMsg(name, r.outcome, ShouldBeEmpty)
		}
	})
}

func TestTransportDoesNotRetrySilently(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		Convey("Given a minion that closes each reused connection on "+method, t, func() {
			m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
				if number > 1 {
					return false
				}
				return respondOK(conn, r, number)
			})
			fx := newFixture(t, fixtureOptions{}, m)
			So(fx.send(method, "first").status, ShouldEqual, http.StatusOK)
			fx.send(method, "second")
			So(m.requestCount("second"), ShouldEqual, 1)
		})
	}
}

func TestRetriesAreBounded(t *testing.T) {
	cases := map[string]int{
		"minions that break every connection":                     1,
		"minions that break connections too rarely to be ejected": 2,
	}
	for name, failurePeriod := range cases {
		Convey("Given "+name+", retries add at most a tenth to the load", t, func() {
			var minions []*fakeMinion
			for range 4 {
				var count atomic.Int64
				minions = append(minions, newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
					return count.Add(1)%int64(failurePeriod) != 0 && respondOK(conn, r, number)
				}))
			}
			stops := document.Service{IsCancellable: true, MaxWait: document.Duration(50 * time.Millisecond)}
			fx := newFixture(t, fixtureOptions{service: stops, slots: 50}, minions...)
			const requests = 200
			for i := range requests {
				fx.send(http.MethodGet, fmt.Sprintf("read-%d", i))
			}
			attempts := 0
			for _, m := range minions {
				attempts += m.totalRequests()
			}
			Printf("%d attempts at %d requests ", attempts, requests)
			So(attempts, ShouldBeLessThanOrEqualTo, requests+requests/10)
		})
	}
}

func TestFailingMinionIsEjected(t *testing.T) {
	Convey("Given four minions, one of which fails all requests at once", t, func() {
		failing := newFakeMinion(t, func(conn net.Conn, r *http.Request, _ int) bool {
			respond(conn, r, http.StatusInternalServerError, "failed")
			return true
		})
		slow := func(conn net.Conn, r *http.Request, number int) bool {
			time.Sleep(5 * time.Millisecond)
			return respondOK(conn, r, number)
		}
		minions := []*fakeMinion{failing, newFakeMinion(t, slow), newFakeMinion(t, slow), newFakeMinion(t, slow)}
		fx := newFixture(t, fixtureOptions{slots: 2}, minions...)
		const requests = 400
		var wait sync.WaitGroup
		for worker := range 8 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for i := range requests / 8 {
					fx.send(http.MethodPost, fmt.Sprintf("swap-%d-%d", worker, i))
				}
			}()
		}
		wait.Wait()
		Printf("the failing minion got %d of %d ", failing.totalRequests(), requests)
		So(failing.totalRequests(), ShouldBeLessThanOrEqualTo, requests/4)

		Convey("and it is readmitted once it works", func() {
			failing.setScript(respondOK)
			before := failing.totalRequests()
			deadline := time.Now().Add(10 * time.Second)
			for failing.totalRequests() < before+3 && time.Now().Before(deadline) {
				fx.send(http.MethodPost, "again")
			}
			So(failing.totalRequests(), ShouldBeGreaterThanOrEqualTo, before+3)
		})
	})
}

func TestWorkContinuesAfterCallerDisconnects(t *testing.T) {
	cases := map[string]struct {
		stops bool
		held  uint32
	}{
		"a minion that stops on a closed connection frees the unit at once": {true, 0},
		"any other minion holds the unit until the work has ended":          {false, 1},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			started, end := make(chan bool), make(chan bool)
			m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
				started <- true
				<-end
				return respondOK(conn, r, number)
			})
			fx := newFixture(t, fixtureOptions{service: document.Service{IsCancellable: c.stops}}, m)
			r, _ := http.NewRequest(http.MethodPost, fx.server.URL+"/publish/x", nil)
			r.Header.Set("Authorization", "Bearer "+gateKey)
			client := &http.Client{Timeout: 200 * time.Millisecond}
			go client.Do(r)
			<-started
			account := fx.config.Teams.Account("gate")
			So(await.Until(waitTimeout, func() bool { return fx.listener.OpenRequests() == 0 }), ShouldBeTrue)
			So(await.Until(waitTimeout, func() bool { return account.Used() == c.held }), ShouldBeTrue)
			close(end)
			So(await.Until(waitTimeout, func() bool { return account.Used() == 0 }), ShouldBeTrue)
		})
	}
}

func TestLostWorkCountsUntilMaxRunTime(t *testing.T) {
	Convey("Given a minion that breaks the connection, the unit becomes free when the maximum run time has passed", t, func() {
		m := newFakeMinion(t, func(net.Conn, *http.Request, int) bool { return false })
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(300 * time.Millisecond)}}, m)
		So(fx.send(http.MethodPost, "swap").outcome, ShouldEqual, "unknown")
		account := fx.config.Teams.Account("gate")
		So(account.Used(), ShouldEqual, 1)
		So(await.Until(waitTimeout, func() bool { return account.Used() == 0 }), ShouldBeTrue)
	})
}
