// Package inbound accepts connections from peers and closes those that are open when
// the process stops.
package inbound

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/background"
)

// Config sets up a Listener.
type Config struct {
	// Listen is the address on which connections are accepted.
	Listen netip.AddrPort
	// RetryDelay is the pause after a failed accept, for instance while all
	// descriptors are in use.
	RetryDelay time.Duration
	// ReportFailure is called after each failed accept, and with ErrTooManyConnections
	// when connections are closed at the bound, unless it is nil.
	ReportFailure func(err error)
	// Serve handles a connection. It runs in a separate goroutine for each connection
	// and has to return soon after the connection is closed. It has to call Identified on
	// the connection once the peer has sent a valid message.
	Serve func(conn *Conn)
	// Limits bounds what peers may hold.
	Limits Limits
}

// Limits bounds what all peers together may hold. Zero fields have defaults.
type Limits struct {
	// MaxConnections is the maximum number of open connections. Further ones are closed;
	// peers dial again.
	MaxConnections int
	// IdentifyTimeout is how long a connection may be open before its peer has sent a valid
	// message. Later it is closed.
	IdentifyTimeout time.Duration
	// MaxMessageMemory bounds the memory for messages, in bytes. It counts a message from
	// its size on, until it has been processed. As many bytes again may wait for it. It is
	// at least the size of the largest message.
	MaxMessageMemory int64
	// MessageTimeout is how long a message may wait for memory, and then for its remaining
	// bytes.
	MessageTimeout time.Duration
	// ReportInterval is the minimum time between two reports of ErrTooManyConnections.
	ReportInterval time.Duration
}

// Defaults of Limits.
const (
	// DefaultMaxConnections leaves three sessions to each of some 300 entries.
	DefaultMaxConnections  = 1024
	DefaultIdentifyTimeout = 5 * time.Second
	// DefaultMaxMessageMemory is four times the largest message.
	DefaultMaxMessageMemory = 32 << 20
	DefaultMessageTimeout   = 5 * time.Second
	DefaultReportInterval   = time.Second
)

// ErrTooManyConnections means that a new connection was closed because
// Limits.MaxConnections are open.
var ErrTooManyConnections = errors.New("too many connections of peers are open")

// WithDefaults returns the limits with the defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	l.MaxConnections = cmp.Or(l.MaxConnections, DefaultMaxConnections)
	l.IdentifyTimeout = cmp.Or(l.IdentifyTimeout, DefaultIdentifyTimeout)
	l.MaxMessageMemory = cmp.Or(l.MaxMessageMemory, DefaultMaxMessageMemory)
	l.MessageTimeout = cmp.Or(l.MessageTimeout, DefaultMessageTimeout)
	l.ReportInterval = cmp.Or(l.ReportInterval, DefaultReportInterval)
	return l
}

// Conn is a connection from a peer.
type Conn struct {
	net.Conn
	deadline *time.Timer
}

// Identified lets the connection stay open, as its peer has sent a valid message. It is
// safe for concurrent use.
func (c *Conn) Identified() { c.deadline.Stop() }

// Listener accepts connections and holds the open ones. It is safe for concurrent use.
type Listener struct {
	config   Config
	listener net.Listener
	wait     background.Group
	ctx      context.Context
	cancel   context.CancelFunc

	mu   sync.Mutex
	open map[net.Conn]struct{}
	// reportedAt is when ErrTooManyConnections was last reported.
	reportedAt time.Time
}

// Listen opens a port. Call Start to accept connections on it, and Close to stop.
func Listen(config Config) (*Listener, error) {
	config.Limits = config.Limits.WithDefaults()
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, err
	}
	l := &Listener{config: config, listener: listener, open: make(map[net.Conn]struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Start starts accepting connections. It must be called once, before Close.
func (l *Listener) Start() { l.wait.Go(l.accept) }

// Address returns the address on which connections are accepted.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Disconnect closes the open connections. New ones are still accepted.
func (l *Listener) Disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		// Errors are ignored: a socket that fails to close is closed as the process exits.
		_ = conn.Close()
	}
}

// Close stops accepting, closes the open connections and waits until they are no
// longer served.
func (l *Listener) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.Disconnect()
	l.wait.Wait()
}

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		switch {
		case err == nil:
			l.wait.Go(func() { l.serve(conn) })
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if l.config.ReportFailure != nil {
				l.config.ReportFailure(err)
			}
			select {
			case <-l.ctx.Done():
			case <-time.After(l.config.RetryDelay):
			}
		}
	}
}

// serve serves a connection until it is closed. It only closes it while the Listener is
// being closed: Close may have closed the open connections before.
func (l *Listener) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !l.add(conn) {
		return
	}
	defer l.remove(conn)
	// An error of Close is ignored as in Disconnect.
	deadline := time.AfterFunc(l.config.Limits.IdentifyTimeout, func() { _ = conn.Close() })
	defer deadline.Stop()
	l.config.Serve(&Conn{Conn: conn, deadline: deadline})
}

// add adds a connection to the open ones, unless the Listener is being closed or as many
// as are allowed are open.
func (l *Listener) add(conn net.Conn) (isAdded bool) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return false
	}
	isAdded = len(l.open) < l.config.Limits.MaxConnections
	if isAdded {
		l.open[conn] = struct{}{}
	}
	now := time.Now()
	isReported := !isAdded && now.Sub(l.reportedAt) >= l.config.Limits.ReportInterval
	if isReported {
		l.reportedAt = now
	}
	l.mu.Unlock()
	if isReported && l.config.ReportFailure != nil {
		l.config.ReportFailure(ErrTooManyConnections)
	}
	return isAdded
}

func (l *Listener) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}
