package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds the waits of the tests. It is generous so that a busy machine does not fail
// them; it does not state how fast a Server should be.
const waitTimeout = 20 * time.Second

// maxBody is the largest body that the handler of testServer accepts, in bytes.
const maxBody = 32 << 10

// testLimits returns limits whose times do not run out in a test, with room for three bodies that
// are being received and one that is growing.
func testLimits() Limits {
	l := DefaultLimits(defaultMemory, defaultDescriptors)
	l.BodyMemory, l.BodyTime, l.AnswerTime = 3*maxBody, time.Minute, time.Minute
	l.LingerTime = 50 * time.Millisecond
	return l
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// lines returns the lines of an event.
func (l *logBuffer) lines(number int) (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, fmt.Sprintf(`"event":%d,`, number)) {
			lines = append(lines, line)
		}
	}
	return lines
}

// testServer is a Server on a loopback address. Its handler answers
//   - requests without a body with status 200 and the path, /held after a value was received from
//     release, and /large with a body of 1 MB,
//   - bodies as a submitter's handler does, with status 200 and the length,
//   - /refused with status 401 and without reading the body.
type testServer struct {
	*Server
	t       testing.TB
	bodies  *Bodies
	decoder *Decoder
	scope   tally.TestScope
	logs    *logBuffer
	address string
	// held gets a value when a request for /held is being served, release lets one end.
	held, release chan struct{}
	goroutines    int
}

func newTestServer(t testing.TB, limits Limits) *testServer {
	return newTestServerOf(t, limits, nil)
}

// newTestServerOf is newTestServer with a handler, nil for that of the test server.
func newTestServerOf(t testing.TB, limits Limits, handler http.HandlerFunc) *testServer {
	s := &testServer{
		t: t, scope: tally.NewTestScope("", nil), logs: &logBuffer{}, goroutines: runtime.NumGoroutine(),
		held: make(chan struct{}), release: make(chan struct{}),
	}
	logger := logrus.New()
	logger.SetOutput(s.logs)
	logger.SetFormatter(&logrus.JSONFormatter{})
	log := logrus.NewEntry(logger)
	s.bodies = NewBodies(BodiesConfig{Name: "test", Limits: limits, Log: log, Scope: s.scope})
	s.decoder = NewDecoder(DecoderConfig{Name: "test", Limits: limits, Scope: s.scope})
	if handler == nil {
		handler = s.handle
	}
	s.Server = New(Config{Name: "test", Handler: handler, Limits: limits, Log: log, Scope: s.scope})
	return s
}

// start serves on a free port.
func (s *testServer) start() *testServer {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	return s.startOn(listener)
}

func (s *testServer) startOn(listener net.Listener) *testServer {
	s.address = listener.Addr().String()
	go func() { _ = s.Serve(listener) }()
	return s
}

// stop closes the server, and reports as an error what remains of connections, memory and
// goroutines.
func (s *testServer) stop() error {
	if err := s.Close(); err != nil {
		return err
	}
	isFree := func() bool {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		s.bodies.mu.Lock()
		defer s.bodies.mu.Unlock()
		return s.connections.open == 0 && s.connections.waiting.Len() == 0 && s.bodies.used == 0 && s.bodies.leaving == 0 &&
			s.bodies.arriving.Len() == 0
	}
	if !await.Until(waitTimeout, isFree) {
		return errors.New("connections or memory are not released")
	}
	if !s.decoder.memory.TryAcquire(s.decoder.limits.DecodeMemory) || !s.decoder.turns.TryAcquire(int64(s.decoder.limits.Decodings)) {
		return errors.New("the decoder's memory is not released")
	}
	if !await.Until(waitTimeout, func() bool { return runtime.NumGoroutine() <= s.goroutines }) {
		return errors.New("goroutines are left")
	}
	return nil
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/refused":
		w.WriteHeader(http.StatusUnauthorized)
		return
	case "/large":
		_, _ = w.Write(make([]byte, 1<<20))
		return
	case "/held":
		s.held <- struct{}{}
		<-s.release
	}
	body, release, err := s.bodies.Read(w, r, maxBody, time.Minute)
	defer release()
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrGivenUp), errors.Is(err, ErrTimeout):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = w.Write([]byte(strconv.Itoa(len(body))))
	}
}

// count returns the value of a counter.
func (s *testServer) count(name string) int64 {
	counter := s.scope.Snapshot().Counters()[name+"+listener=test"]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

// reservedIs waits until the bodies have reserved a number of bytes.
func (s *testServer) reservedIs(size int64) bool {
	return await.Until(waitTimeout, func() bool {
		s.bodies.mu.Lock()
		defer s.bodies.mu.Unlock()
		return s.bodies.used == size
	})
}

// arrivingIs waits until a number of bodies are being received.
func (s *testServer) arrivingIs(count int) bool {
	return await.Until(waitTimeout, func() bool {
		s.bodies.mu.Lock()
		defer s.bodies.mu.Unlock()
		return s.bodies.arriving.Len() == count
	})
}

// openIs waits until a number of connections are open, waitingIs until so many serve no request.
func (s *testServer) openIs(count int) bool {
	return await.Until(waitTimeout, func() bool {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		return s.connections.open == count
	})
}

func (s *testServer) waitingIs(count int) bool {
	return await.Until(waitTimeout, func() bool {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		return s.connections.waiting.Len() == count
	})
}

// client is a connection to a testServer.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to the server, which has accepted the connection when dial returns.
func (s *testServer) dial() *client {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err = conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends text. The server may have closed the connection.
func (c *client) send(text string) *client {
	_, _ = io.WriteString(c, text)
	return c
}

// get sends a request without a body, post the head of one with a body.
func (c *client) get(path string) *client {
	return c.send("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n")
}

func (c *client) post(path string, length int) *client {
	return c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n", path, length))
}

// postChunked sends the head of a request whose body comes in chunks.
func (c *client) postChunked(path string) *client {
	return c.send("POST " + path + " HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (c *client) chunk(size int) *client {
	return c.send(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
}

func (c *client) bytes(size int) *client { return c.send(strings.Repeat("x", size)) }

// answer returns the status, the body and whether the server closes the connection. The status is 0
// if there is no answer.
func (c *client) answer() (status int, body string, isClosed bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", true
	}
	return response.StatusCode, string(data), response.Close
}

// status returns the status of an answer.
func (c *client) status() int {
	status, _, _ := c.answer()
	return status
}

// isClosedByServer reports whether the server closes the connection, rather than that the wait for
// it ends.
func (c *client) isClosedByServer() bool {
	_, err := io.Copy(io.Discard, c.reader)
	var timeout net.Error
	return err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
}
