package intake

import (
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// connection is an open connection of a Server. It implements net.Conn.
type connection struct {
	net.Conn
	all        *connections
	generation *generation
	// head counts the lines of the head that is being received. Only reads use it.
	head headLines
	// isAnswered is set when a request has been answered, until a read counts the next head.
	isAnswered atomic.Bool

	// The mutex of all guards these fields. element is nil while a request is being served.
	element  *list.Element
	isClosed bool
	// lingerUntil is set if the connection is closed while the client may still be sending.
	lingerUntil time.Time
}

// Close implements net.Conn. It first discards what a client sends that has not read the answer to
// a refused request yet: closing a connection with unread bytes resets it, which loses the answer.
func (c *connection) Close() error {
	c.all.mu.Lock()
	lingerUntil := c.lingerUntil
	c.all.mu.Unlock()
	if time.Now().Before(lingerUntil) && c.CloseWrite() == nil && c.SetReadDeadline(lingerUntil) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return c.Conn.Close()
}

// linger has Close wait for the client until a time.
func (c *connection) linger(until time.Time) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.lingerUntil = until
}

// CloseWrite implements the interface by which net/http ends its direction of a connection.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginServing notes that a whole request was received, which keeps the connection from being
// closed for want of room. It returns net.ErrClosed if that has happened.
func (c *connection) beginServing() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.isClosed {
		return net.ErrClosed
	}
	if c.element != nil {
		c.all.waiting.Remove(c.element)
		c.element = nil
	}
	return nil
}

// Read implements net.Conn. It fails if the head that is being received has too many lines.
func (c *connection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if c.isAnswered.Swap(false) {
		c.head = headLines{}
	}
	if limit := c.all.headerLines; limit > 0 && c.head.add(p[:n]) > limit {
		return 0, errManyLines
	}
	return n, err
}

// errManyLines means that the head of a request has too many lines.
var errManyLines = errors.New("the head has too many lines")

// endServing notes that the request has been answered.
func (c *connection) endServing() {
	c.isAnswered.Store(true)
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if !c.isClosed && c.element == nil {
		c.element = c.all.waiting.PushBack(c)
	}
}

// connections bounds the open connections of a Server. It is safe for concurrent use.
type connections struct {
	name        string
	limit       int
	headerLines int
	openGauge   tally.Gauge
	closed      tally.Counter
	closedEvent *limitedEvent

	mu   sync.Mutex
	open int
	// waiting holds the connections that serve no request, as *connection, in the order in which
	// they were opened or last finished one.
	waiting *list.List
}

func newConnections(config Config) *connections {
	scope := config.Scope.Tagged(map[string]string{"listener": config.Name})
	return &connections{
		name: config.Name, limit: config.Limits.Connections, headerLines: config.Limits.HeaderLines, waiting: list.New(),
		openGauge: scope.Gauge("connections"), closed: scope.Counter("connections_closed"),
		closedEvent: newLimitedEvent(event.ConnectionsClosed, config.Log),
	}
}

// add adds a new connection. At the limit it closes the connection that has been longest without a
// request, or the new one if all others serve one; then c is nil.
func (l *connections) add(conn net.Conn) (c *connection) {
	c = &connection{Conn: conn, all: l}
	l.mu.Lock()
	victim := net.Conn(nil)
	if l.open >= l.limit {
		if oldest := l.waiting.Front(); oldest != nil {
			old := oldest.Value.(*connection)
			l.removeLocked(old)
			victim = old.Conn
		} else {
			victim, c = conn, nil
		}
	}
	if c != nil {
		l.open++
		c.element = l.waiting.PushBack(c)
	}
	l.openGauge.Update(float64(l.open))
	l.mu.Unlock()
	if victim != nil {
		l.closed.Inc(1)
		l.closedEvent.add(logrus.Fields{"listener": l.name})
		drop(victim)
	}
	return c
}

// remove notes that a connection has been closed.
func (l *connections) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
	l.openGauge.Update(float64(l.open))
}

// removeLocked is remove for callers that hold l.mu.
func (l *connections) removeLocked(c *connection) {
	if c.isClosed {
		return
	}
	c.isClosed = true
	l.open--
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// drop closes a connection. The kernel releases its buffers at once.
func drop(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// A socket that fails to close is closed as the process exits.
	_ = conn.Close()
}
