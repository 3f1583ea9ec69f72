package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds the waits of the tests. It is generous so that a busy machine does
// not fail them.
const waitTimeout = 20 * time.Second

// serveListeners serves the callers' and the operators' listeners of an entry, without
// its loops, until the end of the test.
func serveListeners(t *testing.T, e *Entry) {
	t.Helper()
	for i, server := range []*intake.Server{e.callerServer, e.operatorServer} {
		e.goroutines.Go(func() { e.serveHTTP(server, e.sockets[i]) })
	}
	t.Cleanup(func() {
		e.close()
		e.goroutines.Wait()
	})
}

// crowd is a number of connections.
type crowd struct {
	closed atomic.Int32
}

// join opens a connection, sends a text and reads from it until it is closed or the test
// ends.
func (c *crowd) join(t *testing.T, address netip.AddrPort, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		c.closed.Add(1)
	}()
}

// listenerAddresses returns the addresses of the listeners for HTTP by name.
func listenerAddresses(e *Entry) map[string]netip.AddrPort {
	return map[string]netip.AddrPort{"caller": e.CallerAddress(), "operator": e.OperatorAddress()}
}

// Connections were accepted until no descriptor was left.
func TestConnectionsAreBounded(t *testing.T) {
	const (
		descriptors = 30
		crowdSize   = 2 * descriptors
	)
	for _, name := range []string{"caller", "operator"} {
		Convey("Given a crowd that keeps its connections to the listener "+name+" after a request", t, func() {
			e := newLimitedEntry(t, descriptors)
			serveListeners(t, e)
			address := listenerAddresses(e)[name]
			var c crowd
			for range crowdSize {
				c.join(t, address, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
			}
			Convey("The connections are a part of the descriptors, and another request is answered", func() {
				So(await.Until(waitTimeout, func() bool { return c.closed.Load() >= crowdSize-descriptors/2 }), ShouldBeTrue)
				response, err := http.Get("http://" + address.String() + "/nowhere")
				So(err, ShouldBeNil)
				So(response.Body.Close(), ShouldBeNil)
			})
		})
	}
}

// A connection whose request had been refused stayed open as long as its body did not end.
func TestUnreadBodiesHoldNoConnection(t *testing.T) {
	for _, name := range []string{"caller", "operator"} {
		Convey("The connections of refused requests to the listener "+name+" are closed although their bodies do not end", t, func() {
			e := newLimitedEntry(t, 0)
			serveListeners(t, e)
			const crowdSize = 10
			var c crowd
			for range crowdSize {
				c.join(t, listenerAddresses(e)[name], "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nbegin")
			}
			So(await.Until(waitTimeout, func() bool { return c.closed.Load() == crowdSize }), ShouldBeTrue)
		})
	}
}

// failingListener fails its first accept.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(1) > 1 {
		return l.Listener.Accept()
	}
	return nil, &net.OpError{Op: "accept", Err: temporaryError{errors.New("too many open files")}}
}

type temporaryError struct{ error }

func (temporaryError) Timeout() bool   { return false }
func (temporaryError) Temporary() bool { return true }

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Failed accepts were raw lines on standard error.
func TestFailedAcceptIsAnEvent(t *testing.T) {
	Convey("A failed accept is an event, and the next one is made", t, func() {
		e := newLimitedEntry(t, 0)
		var lines lockedBuffer
		e.log.Logger.SetOutput(&lines)
		e.sockets[0] = &failingListener{Listener: e.sockets[0]}
		serveListeners(t, e)
		response, err := http.Get("http://" + e.CallerAddress().String() + "/nowhere")
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		So(lines.String(), ShouldContainSubstring, "event=672")
		So(lines.String(), ShouldContainSubstring, "too many open files")
	})
}

// largeAnswer is larger than the buffers of a connection.
var largeAnswer = strings.Repeat("x", 64<<20)

// An answer that its client did not take occupied the connection, and what the request
// held, for good.
func TestAnswersAreTakenInTime(t *testing.T) {
	const answerTime = time.Second
	request := "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	writeLargeAnswer := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeAnswer) }
	// start serves the answer of a handler and returns the client's connection, and a
	// channel that is closed once the handler has returned.
	start := func(t *testing.T, handler http.HandlerFunc) (conn net.Conn, done <-chan struct{}) {
		e := newLimitedEntry(t, 0)
		returned := make(chan struct{})
		limits := e.settings.limits()
		limits.AnswerTime = answerTime
		e.callerServer = e.newServer("caller", limits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(returned)
			handler(w, r)
		}))
		serveListeners(t, e)
		conn, err := net.Dial("tcp", e.CallerAddress().String())
		So(err, ShouldBeNil)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, request)
		So(err, ShouldBeNil)
		return conn, returned
	}
	Convey("The request of a client that does not take its answer ends", t, func() {
		_, done := start(t, writeLargeAnswer)
		select {
		case <-done:
		case <-time.After(waitTimeout):
			So("the handler has not returned", ShouldBeEmpty)
		}
	})
	Convey("A client that takes its answer slowly but steadily gets all of it", t, func() {
		conn, _ := start(t, writeLargeAnswer)
		reader := bufio.NewReader(conn)
		startedAt := time.Now()
		response, err := http.ReadResponse(reader, nil)
		So(err, ShouldBeNil)
		received := 0
		buffer := make([]byte, 512<<10)
		for err == nil {
			var n int
			n, err = io.ReadFull(response.Body, buffer)
			received += n
			time.Sleep(answerTime / 50)
		}
		So(received, ShouldEqual, len(largeAnswer))
		So(time.Since(startedAt), ShouldBeGreaterThan, 2*answerTime)
	})
	Convey("A client gets all of an answer whose last part is written long before its end", t, func() {
		conn, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
			time.Sleep(2 * answerTime)
		})
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "whole")
	})
}
