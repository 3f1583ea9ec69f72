package minion

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// idleTimeout is the age from which an idle connection is not reused.
const idleTimeout = 30 * time.Second

// conns is a pool of connections to minions. It is safe for concurrent use.
type conns struct {
	transport *http.Transport

	mu       sync.Mutex
	idle     map[netip.AddrPort][]*conn
	maxIdle  map[netip.AddrPort]int
	isClosed bool
}

// conn is a connection to a minion. It carries one attempt at a time.
type conn struct {
	address   netip.AddrPort
	http      *http.ClientConn
	raw       *countingConn
	idleSince time.Time
}

// countingConn counts the bytes passed to the operating system for sending.
type countingConn struct {
	net.Conn
	bytesWritten atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (n int, err error) {
	// The bytes are counted before the write, since some of them may have been sent
	// by the time Write returns.
	c.bytesWritten.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// connKey is the context key under which conns.dial passes a **countingConn to the
// transport's dial function, which sets it to the new connection.
type connKey struct{}

func newConns(dialTimeout time.Duration) *conns {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		wrapped := &countingConn{Conn: raw}
		*ctx.Value(connKey{}).(**countingConn) = wrapped
		return wrapped, nil
	}
	return &conns{
		transport: &http.Transport{DialContext: dial, DisableCompression: true},
		idle:      make(map[netip.AddrPort][]*conn),
		maxIdle:   make(map[netip.AddrPort]int),
	}
}

// acquire returns an idle connection to a minion, or dials a new one. Idle connections
// that have failed or are too old are closed.
func (c *conns) acquire(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		candidate := c.popIdle(address)
		if candidate == nil {
			return c.dial(ctx, address)
		}
		if candidate.http.Err() == nil && time.Since(candidate.idleSince) < idleTimeout {
			return candidate, nil
		}
		candidate.close()
	}
}

// popIdle removes and returns the idle connection that was used last, nil if there is
// none.
func (c *conns) popIdle(address netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleConns := c.idle[address]
	if len(idleConns) == 0 {
		return nil
	}
	last := idleConns[len(idleConns)-1]
	c.idle[address] = idleConns[:len(idleConns)-1]
	return last
}

func (c *conns) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	var raw *countingConn
	ctx = context.WithValue(ctx, connKey{}, &raw)
	client, err := c.transport.NewClientConn(ctx, "http", address.String())
	if err != nil {
		return nil, err
	}
	return &conn{address: address, http: client, raw: raw}, nil
}

// release puts a connection without a pending response into the pool. It closes the
// connection if the pool is closed or has the maximum of idle connections to the minion.
func (c *conns) release(connection *conn) {
	connection.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	idleConns := c.idle[connection.address]
	if c.isClosed || len(idleConns) >= c.maxIdle[connection.address] {
		go connection.close()
		return
	}
	c.idle[connection.address] = append(idleConns, connection)
}

// setMaxIdle sets the maximum number of idle connections to a minion and closes those
// in excess.
func (c *conns) setMaxIdle(address netip.AddrPort, maxIdle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle[address] = maxIdle
	if maxIdle == 0 {
		delete(c.maxIdle, address)
	}
	idleConns := c.idle[address]
	if len(idleConns) <= maxIdle {
		return
	}
	for _, surplus := range idleConns[maxIdle:] {
		go surplus.close()
	}
	c.idle[address] = idleConns[:maxIdle]
	if maxIdle == 0 {
		delete(c.idle, address)
	}
}

// close closes the idle connections and the pool.
func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for _, connections := range c.idle {
		for _, connection := range connections {
			connection.close()
		}
	}
	clear(c.idle)
}

func (c *conn) written() int64 { return c.raw.bytesWritten.Load() }

// close closes the HTTP client and the network connection below it. Nothing more is
// written once it returns.
func (c *conn) close() {
	_ = c.raw.Close()
	_ = c.http.Close()
}
