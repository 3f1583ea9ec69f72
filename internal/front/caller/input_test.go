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
)

func TestBadInputGetsOneClearAnswer(t *testing.T) {
	cases := map[string]struct {
		method, path, key, body string
		status                  int
	}{
		"no key":                     {"GET", "/publish/x", "", "", 401},
		"a wrong key":                {"GET", "/publish/x", "guess", "", 401},
		"a wrong key at an open one": {"GET", "/public/x", "guess", "", 401},
		"an unknown service":         {"GET", "/nowhere/x", gateKey, "", 404},
		"no service":                 {"GET", "/", gateKey, "", 404},
		"an unknown method":          {"TRACE", "/publish/x", gateKey, "", 405},
		"a method of one's own":      {"BREW", "/publish/x", gateKey, "", 405},
		"a body that is too large":   {"POST", "/publish/x", gateKey, strings.Repeat("x", 3000), 413},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			m := newScripted(t, healthy)
			b := newBench(t, benchOptions{service: document.Service{MaxBody: 2000}}, m)
			r := b.sendTo(c.method, c.path, "bad", c.key, c.body)
			So(r.status, ShouldEqual, c.status)
			So(r.outcome, ShouldEqual, "not-run")
			So(r.body, ShouldContainSubstring, `"reason":`)
			So(m.total(), ShouldEqual, 0)
		})
	}
	Convey("An open service takes requests without a key", t, func() {
		b := newBench(t, benchOptions{}, newScripted(t, healthy))
		So(b.sendTo("GET", "/public/x", "open", "", "").status, ShouldEqual, 200)
	})
	Convey("The key stays here, and a minion learns the team", t, func() {
		headers := make(chan http.Header, 1)
		b := newBench(t, benchOptions{}, newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
			headers <- r.Header
			return healthy(conn, r, number)
		}))
		b.send(http.MethodGet, "keyless")
		h := <-headers
		So(h.Get("Authorization"), ShouldBeEmpty)
		So(h.Get("Team"), ShouldEqual, "gate")
	})
}

func TestChunkedBodyIsBounded(t *testing.T) {
	Convey("A body without a length that grows too large is refused", t, func() {
		m := newScripted(t, healthy)
		b := newBench(t, benchOptions{service: document.Service{MaxBody: 2000}}, m)
		conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", gateKey)
		fmt.Fprintf(conn, "bb8\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 0xbb8))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 413)
		So(m.total(), ShouldEqual, 0)
	})
	Convey("A body that comes too slowly is refused and never runs", t, func() {
		m := newScripted(t, healthy)
		b := newBench(t, benchOptions{}, m)
		conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", gateKey)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 408)
		So(response.Header.Get(HeaderOutcome), ShouldEqual, "not-run")
		So(m.total(), ShouldEqual, 0)
	})
	Convey("A body that ends early is refused and never runs", t, func() {
		m := newScripted(t, healthy)
		b := newBench(t, benchOptions{}, m)
		conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", gateKey)
		So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			So(response.StatusCode, ShouldEqual, 408)
		}
		So(m.total(), ShouldEqual, 0)
	})
}

func TestQueueIsBounded(t *testing.T) {
	Convey("Given a full pool and a queue for three", t, func() {
		release := make(chan bool)
		m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
			<-release
			return healthy(conn, r, number)
		})
		service := document.Service{MaxWaiting: 3, MaxWait: document.Duration(300 * time.Millisecond)}
		b := newBench(t, benchOptions{service: service, slots: 1}, m)
		replies := make(chan reply, 10)
		for i := range 10 {
			go func() { replies <- b.send(http.MethodPost, fmt.Sprintf("swap-%d", i)) }()
		}
		counts := make(map[int]int)
		for range 9 {
			r := <-replies
			counts[r.status]++
			So(r.outcome, ShouldEqual, "not-run")
			So(r.retry, ShouldNotBeEmpty)
		}
		// Six find the queue full at once; three give up when their wait ends.
		So(counts[http.StatusTooManyRequests], ShouldEqual, 6)
		So(counts[http.StatusServiceUnavailable], ShouldEqual, 3)
		close(release)
		So((<-replies).status, ShouldEqual, 200)
		So(m.total(), ShouldEqual, 1)
	})
}

func TestWaveOfCancellationsStartsNothing(t *testing.T) {
	Convey("Given a full pool and 200 waiting requests whose callers go away", t, func() {
		release := make(chan bool)
		m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
			<-release
			return healthy(conn, r, number)
		})
		b := newBench(t, benchOptions{slots: 1, service: document.Service{MaxWait: document.Duration(time.Minute)}}, m)
		go b.send(http.MethodPost, "first")
		So(eventually(func() bool { return m.total() == 1 }), ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, b.server.URL+"/publish/x", nil)
				r.Header.Set("Authorization", "Bearer "+gateKey)
				r.Header.Set("Request-Id", fmt.Sprintf("gone-%d", i))
				if response, err := http.DefaultClient.Do(r); err == nil {
					response.Body.Close()
				}
			}()
		}
		So(eventually(func() bool { return b.dispatcher.Waiting()["rota"] == 200 }), ShouldBeTrue)
		cancel()
		wait.Wait()
		So(eventually(func() bool { return b.dispatcher.Waiting()["rota"] == 0 }), ShouldBeTrue)
		close(release)
		So(b.send(http.MethodGet, "next").status, ShouldEqual, 200)
		So(m.total(), ShouldEqual, 2)
	})
}

func TestLimitOfATeam(t *testing.T) {
	Convey("Given a limit of 3 and plenty of slots, never more than 3 run", t, func() {
		var mu sync.Mutex
		running, most := 0, 0
		m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			return healthy(conn, r, number)
		})
		b := newBench(t, benchOptions{limit: 3, slots: 50}, m)
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				b.send(http.MethodGet, fmt.Sprintf("read-%d", i))
			}()
		}
		wait.Wait()
		So(m.total(), ShouldEqual, 60)
		So(most, ShouldEqual, 3)
	})
}
