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

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 30 * time.Second

// conns keeps idle connections to minions.
type conns struct {
	transport *http.Transport

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	most   map[netip.AddrPort]int
	closed bool
}

// conn is one connection. It carries one attempt at a time.
type conn struct {
	address netip.AddrPort
	http    *http.ClientConn
	raw     *countingConn
	since   time.Time
}

// countingConn counts the bytes handed to the system.
type countingConn struct {
	net.Conn
	count atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (n int, err error) {
	// The count goes up first: bytes may be on their way before Write returns.
	c.count.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type rawKey struct{}

func newConns(dialTimeout time.Duration) *conns {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counting := &countingConn{Conn: raw}
		*ctx.Value(rawKey{}).(**countingConn) = counting
		return counting, nil
	}
	return &conns{
		transport: &http.Transport{DialContext: dial, DisableCompression: true},
		idle:      make(map[netip.AddrPort][]*conn),
		most:      make(map[netip.AddrPort]int),
	}
}

// take returns an idle connection, or a new one.
func (c *conns) take(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		idle := c.pop(address)
		if idle == nil {
			return c.dial(ctx, address)
		}
		if idle.http.Err() == nil && time.Since(idle.since) < idleTimeout {
			return idle, nil
		}
		idle.close()
	}
}

func (c *conns) pop(address netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	return last
}

func (c *conns) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	var raw *countingConn
	ctx = context.WithValue(ctx, rawKey{}, &raw)
	client, err := c.transport.NewClientConn(ctx, "http", address.String())
	if err != nil {
		return nil, err
	}
	return &conn{address: address, http: client, raw: raw}, nil
}

// put keeps a connection whose answer was read to its end.
func (c *conns) put(idle *conn) {
	idle.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[idle.address]
	if c.closed || len(kept) >= c.most[idle.address] {
		go idle.close()
		return
	}
	c.idle[idle.address] = append(kept, idle)
}

func (c *conns) setIdle(address netip.AddrPort, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most[address] = most
	if most == 0 {
		delete(c.most, address)
	}
	kept := c.idle[address]
	if len(kept) <= most {
		return
	}
	for _, idle := range kept[most:] {
		go idle.close()
	}
	c.idle[address] = kept[:most]
	if most == 0 {
		delete(c.idle, address)
	}
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		for _, each := range idle {
			each.close()
		}
	}
	clear(c.idle)
}

func (c *conn) written() int64 { return c.raw.count.Load() }

// close closes the connection under the HTTP client too: once it returns,
// nothing more is written.
func (c *conn) close() {
	_ = c.raw.Close()
	_ = c.http.Close()
}
