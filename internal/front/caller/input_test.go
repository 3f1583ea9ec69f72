package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

func TestBadInputGetsOneClearAnswer(t *testing.T) {
	cases := map[string]struct {
		method, path, key, body string
		status                  int
	}{
		"no key":                    {"GET", "/publish/x", "", "", 401},
		"a wrong key":               {"GET", "/publish/x", "guess", "", 401},
		"a wrong key, open service": {"GET", "/public/x", "guess", "", 401},
		"an unknown service":        {"GET", "/nowhere/x", gateKey, "", 404},
		"no service":                {"GET", "/", gateKey, "", 404},
		"an unknown method":         {"TRACE", "/publish/x", gateKey, "", 405},
		"a nonstandard method":      {"BREW", "/publish/x", gateKey, "", 405},
		"a body that is too large":  {"POST", "/publish/x", gateKey, strings.Repeat("x", 3000), 413},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			m := newFakeMinion(t, respondOK)
			fx := newFixture(t, fixtureOptions{service: document.Service{MaxBody: 2000}}, m)
			r := fx.sendTo(c.method, c.path, "bad", c.key, c.body)
			So(r.status, ShouldEqual, c.status)
			So(r.outcome, ShouldEqual, "not-run")
			So(r.body, ShouldContainSubstring, `"reason":`)
			So(m.totalRequests(), ShouldEqual, 0)
		})
	}
	Convey("An open service accepts requests without a key", t, func() {
		fx := newFixture(t, fixtureOptions{}, newFakeMinion(t, respondOK))
		So(fx.sendTo("GET", "/public/x", "open", "", "").status, ShouldEqual, 200)
	})
	Convey("The key is not forwarded to the minion, but the team is", t, func() {
		headers := make(chan http.Header, 1)
		fx := newFixture(t, fixtureOptions{}, newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			headers <- r.Header
			return respondOK(conn, r, number)
		}))
		fx.send(http.MethodGet, "keyless")
		h := <-headers
		So(h.Get("Authorization"), ShouldBeEmpty)
		So(h.Get("Team"), ShouldEqual, "gate")
	})
}

func TestChunkedBodyIsBounded(t *testing.T) {
	Convey("A chunked body that is too large is refused", t, func() {
		m := newFakeMinion(t, respondOK)
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxBody: 2000}}, m)
		conn, err := net.Dial("tcp", fx.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", gateKey)
		fmt.Fprintf(conn, "bb8\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 0xbb8))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 413)
		So(m.totalRequests(), ShouldEqual, 0)
	})
	Convey("A body that arrives too slowly is refused, and the request never runs", t, func() {
		m := newFakeMinion(t, respondOK)
		fx := newFixture(t, fixtureOptions{}, m)
		conn, err := net.Dial("tcp", fx.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", gateKey)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 408)
		So(response.Header.Get(HeaderOutcome), ShouldEqual, "not-run")
		So(m.totalRequests(), ShouldEqual, 0)
	})
	Convey("A body that is truncated is refused, and the request never runs", t, func() {
		m := newFakeMinion(t, respondOK)
		fx := newFixture(t, fixtureOptions{}, m)
		conn, err := net.Dial("tcp", fx.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", gateKey)
		So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			So(response.StatusCode, ShouldEqual, 408)
		}
		So(m.totalRequests(), ShouldEqual, 0)
	})
}

func TestQueueIsBounded(t *testing.T) {
	Convey("Given a full pool and a queue for three requests", t, func() {
		release := make(chan bool)
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			<-release
			return respondOK(conn, r, number)
		})
		// All requests arrive before the first one has waited for too long.
		service := document.Service{MaxWaiting: 3, MaxWait: document.Duration(2 * time.Second)}
		fx := newFixture(t, fixtureOptions{service: service, slots: 1}, m)
		replies := make(chan reply, 10)
		for i := range 10 {
			go func() { replies <- fx.send(http.MethodPost, fmt.Sprintf("swap-%d", i)) }()
		}
		counts := make(map[int]int)
		for range 9 {
			r := <-replies
			counts[r.status]++
			So(r.outcome, ShouldEqual, "not-run")
			So(r.retry, ShouldNotBeEmpty)
		}
		// Six requests are refused because the queue is full, and three time out in it.
		So(counts[http.StatusTooManyRequests], ShouldEqual, 6)
		So(counts[http.StatusServiceUnavailable], ShouldEqual, 3)
		close(release)
		So((<-replies).status, ShouldEqual, 200)
		So(m.totalRequests(), ShouldEqual, 1)
	})
}

func TestMassCancellationStartsNothing(t *testing.T) {
	Convey("Given a full pool and 200 waiting requests whose callers disconnect", t, func() {
		release := make(chan bool)
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			<-release
			return respondOK(conn, r, number)
		})
		fx := newFixture(t, fixtureOptions{slots: 1, service: document.Service{MaxWait: document.Duration(time.Minute)}}, m)
		go fx.send(http.MethodPost, "first")
		So(await.Until(waitTimeout, func() bool { return m.totalRequests() == 1 }), ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fx.server.URL+"/publish/x", nil)
				r.Header.Set("Authorization", "Bearer "+gateKey)
				r.Header.Set("Request-Id", fmt.Sprintf("gone-%d", i))
				if response, err := http.DefaultClient.Do(r); err == nil {
					response.Body.Close()
				}
			}()
		}
		So(await.Until(waitTimeout, func() bool { return fx.dispatcher.Waiting()["rota"] == 200 }), ShouldBeTrue)
		cancel()
		wait.Wait()
		So(await.Until(waitTimeout, func() bool { return fx.dispatcher.Waiting()["rota"] == 0 }), ShouldBeTrue)
		close(release)
		So(fx.send(http.MethodGet, "next").status, ShouldEqual, 200)
		So(m.totalRequests(), ShouldEqual, 2)
	})
}

func TestLimitOfATeam(t *testing.T) {
	Convey("Given a limit of 3 and plenty of slots, at most 3 requests run at once", t, func() {
		var mu sync.Mutex
		running, maxRunning := 0, 0
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			return respondOK(conn, r, number)
		})
		fx := newFixture(t, fixtureOptions{limit: 3, slots: 50}, m)
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				fx.send(http.MethodGet, fmt.Sprintf("read-%d", i))
			}()
		}
		wait.Wait()
		So(m.totalRequests(), ShouldEqual, 60)
		So(maxRunning, ShouldEqual, 3)
	})
}

func TestStoppedKeepAlive(t *testing.T) {
	Convey("Once keep-alive has been stopped, every response closes its connection", t, func() {
		fx := newFixture(t, fixtureOptions{}, newFakeMinion(t, respondOK))
		send := func(key string) *http.Response {
			r, err := http.NewRequest(http.MethodGet, fx.server.URL+"/publish/week", nil)
			So(err, ShouldBeNil)
			r.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(r)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
			return response
		}
		So(send(gateKey).Close, ShouldBeFalse)
		received := fx.listener.Received()
		fx.listener.StopKeepAlive()
		answered, refused := send(gateKey), send("no-such-key")
		So(answered.StatusCode, ShouldEqual, http.StatusOK)
		So(answered.Close, ShouldBeTrue)
		So(refused.StatusCode, ShouldEqual, http.StatusUnauthorized)
		So(refused.Close, ShouldBeTrue)
		So(fx.listener.Received(), ShouldEqual, received+1)
	})
}
