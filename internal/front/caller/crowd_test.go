package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

// startBody sends the head of a request whose body has size bytes, and some bytes of it.
// The connection is closed at the end of the test.
func startBody(t *testing.T, fx *fixture, size int, sent string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", fx.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "POST /publish/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", gateKey, size, sent)
	return conn
}

// The memory for a body was reserved before it was received: callers that sent none kept
// the others out.
func TestDeclaredBodiesKeepNobodyOut(t *testing.T) {
	Convey("While the open requests declare more than the memory for bodies and send nothing, another one is served", t, func() {
		const declared = 64 << 20
		m := newFakeMinion(t, respondOK)
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxBody: declared}, bodyTimeout: time.Minute}, m)
		for range 4 {
			startBody(t, fx, declared, "")
		}
		for fx.listener.OpenRequests() < 4 {
			time.Sleep(time.Millisecond)
		}
		r := fx.send(http.MethodPost, "ordinary")
		So(r.body, ShouldEqual, "ran ordinary")
		So(r.status, ShouldEqual, http.StatusOK)
	})
}

// The memory for bodies was 256 MB on machines of any size.
func TestBodiesStayWithinTheirMemory(t *testing.T) {
	Convey("Given a crowd whose bodies stop short of their end", t, func() {
		const (
			size  = 64 << 10
			count = 12
		)
		limits := intake.DefaultLimits(1<<30, 100)
		limits.BodyMemory = 4 * size
		m := newFakeMinion(t, respondOK)
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxBody: size}, limits: limits, bodyTimeout: time.Minute}, m)
		refused := make(chan *http.Response, count)
		for range count {
			conn := startBody(t, fx, size, strings.Repeat("x", size-1))
			go func() {
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					refused <- response
				}
			}()
		}
		Convey("Those that do not fit are refused, no request of the crowd runs, and another one is served", func() {
			const fitting = 4
			for range count - fitting {
				select {
				case response := <-refused:
					So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
					So(response.Header.Get(HeaderOutcome), ShouldEqual, "not-run")
					So(response.Header.Get("Retry-After"), ShouldNotBeEmpty)
				case <-time.After(waitTimeout):
					So("no answer", ShouldBeEmpty)
				}
			}
			So(m.totalRequests(), ShouldEqual, 0)
			So(fx.send(http.MethodPost, "ordinary").status, ShouldEqual, http.StatusOK)
		})
	})
}

func TestLongRunAfterABody(t *testing.T) {
	Convey("A request with a body may run for longer than the time for the body", t, func() {
		const bodyTimeout = 300 * time.Millisecond
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			time.Sleep(3 * bodyTimeout)
			return respondOK(conn, r, number)
		})
		fx := newFixture(t, fixtureOptions{bodyTimeout: bodyTimeout}, m)
		So(fx.send(http.MethodPost, "long").status, ShouldEqual, http.StatusOK)
	})
}
