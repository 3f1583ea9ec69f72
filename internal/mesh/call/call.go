// Package call implements requests and responses between entries. An entry keeps one
// yamux session to each peer that it calls and opens a stream for each call.
package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/inbound"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// Errors returned by Mesh.Call.
var (
	// ErrNotSent means that the request was not sent, so the peer did not process it.
	ErrNotSent = errors.New("the peer cannot be reached")
	// ErrIndeterminate means that no response arrived; the peer may have processed the request.
	ErrIndeterminate = errors.New("the peer did not answer")
)

const (
	// maxMessageSize bounds a message, in bytes. The largest ones, pages of the store's
	// keys, take about 1 MB.
	maxMessageSize = 8 << 20
	// dialTimeout is far above a round trip within a region. It is below the second
	// after which a lost SYN packet is sent again; the next call dials anew instead.
	dialTimeout = 400 * time.Millisecond
	// redialDelay is how long calls to a peer fail immediately after a failed dial, so
	// that they do not each wait for an unreachable peer. It is also the pause after a
	// failed accept.
	redialDelay = 200 * time.Millisecond
	// streamWindowSize is the smallest window that yamux accepts, in bytes.
	streamWindowSize = 256 << 10
	// acceptBacklog is the number of streams of one peer that may wait to be accepted.
	acceptBacklog = 256
	// readBufferSize is in bytes; most messages fit into it.
	readBufferSize = 512
	// pingDelay is how long a call waits for its response before the peer is pinged, to
	// tell a peer that is slow with this call from one that cannot be reached.
	pingDelay = 120 * time.Millisecond
	// silenceLimit is how long nothing may be received from a peer that owes responses
	// until new calls to it fail at once.
	silenceLimit = 400 * time.Millisecond
	// requestTimeout is how long a peer may take to begin a request on an open stream.
	// Peers open a stream only when they have a request to send.
	requestTimeout = 2 * time.Second
)

// Outcomes of requests. The numbers are part of the protocol between entries.
const (
	// Done means that the request was carried out.
	Done uint32 = iota
	// NotOwner means that the entry does not own the cell; nothing was done.
	NotOwner
	// Refused means that the request was rejected and will not be carried out later.
	Refused
	// Indeterminate means that the request may have been carried out.
	Indeterminate
	// UnknownJob means that the job does not exist.
	UnknownJob
	// Unavailable means that the entry cannot process the request now; nothing was done.
	Unavailable
	// Taken means that another client's job has the ID; nothing was done.
	Taken
)

// Config sets up a Mesh.
type Config struct {
	// Listen is the address on which connections from peers are accepted.
	Listen netip.AddrPort
	// Serve processes a request of a peer. It runs in a separate goroutine for each
	// request; its context ends when the Mesh is closed.
	Serve func(ctx context.Context, request *wire.Request) *wire.Response
	// ReportFailure is called after each failed accept, and when connections of peers are
	// closed at the bound, unless it is nil.
	ReportFailure func(err error)
	// Limits bounds what peers may hold.
	Limits inbound.Limits
}

// Mesh makes calls to peers and serves calls from them. It is safe for concurrent use.
type Mesh struct {
	config  Config
	inbound *inbound.Listener
	memory  *inbound.Memory
	wait    background.Group
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the outgoing side towards one address.
type peer struct {
	// mu is held while dialling, so that concurrent calls share one session.
	mu      sync.Mutex
	session *yamux.Session
	conn    *watchedConn
	// pending is the number of calls on the session without a response, pendingSince the
	// time since when there are any.
	pending      int
	pendingSince time.Time
	// lastFailure is the time of the last failed dial.
	lastFailure time.Time
}

// New starts listening for peers. Call Close to stop it.
func New(config Config) (mesh *Mesh, err error) {
	m := &Mesh{config: config, memory: inbound.NewMemory(config.Limits), peers: make(map[netip.AddrPort]*peer)}
	m.inbound, err = inbound.Listen(inbound.Config{
		Listen: config.Listen, RetryDelay: redialDelay, ReportFailure: config.ReportFailure, Serve: m.serveConn, Limits: config.Limits,
	})
	if err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.inbound.Start()
	return m, nil
}

// Close ends all sessions and waits until the requests being served have returned.
func (m *Mesh) Close() {
	m.cancel()
	m.inbound.Close()
	m.mu.Lock()
	for _, p := range m.peers {
		p.closeSession(nil)
	}
	m.mu.Unlock()
	m.wait.Wait()
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// Unresponsive peers are detected by the time-outs of calls.
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.MaxStreamWindowSize = streamWindowSize
	config.AcceptBacklog = acceptBacklog
	config.StreamOpenTimeout = 0
	config.ConnectionWriteTimeout = time.Second
	return config
}

// serveConn serves the requests of a peer until its connection is closed.
func (m *Mesh) serveConn(conn *inbound.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		return
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		m.wait.Go(func() { m.handleStream(conn, stream) })
	}
}

// handleStream serves the request on a stream of a connection.
func (m *Mesh) handleStream(conn *inbound.Conn, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	request := &wire.Request{}
	release, err := m.memory.NewReader(stream, readBufferSize).Read(m.ctx, maxMessageSize, request)
	if errors.Is(err, inbound.ErrNoMemory) {
		_, _ = protodelim.MarshalTo(stream, &wire.Response{Outcome: Unavailable, Reason: inbound.ErrNoMemory.Error()})
		return
	}
	if err != nil {
		// The caller has disconnected or timed out, or gets an error as the stream closes.
		return
	}
	defer release()
	conn.Identified()
	response := m.config.Serve(m.ctx, request)
	// A failed write means that the caller has disconnected.
	_, _ = protodelim.MarshalTo(stream, response)
}

// Call sends a request to the peer at an address and waits for the response. It dials
// if there is no session. The deadline and the cancellation of ctx end the call. Errors
// wrap ErrNotSent or ErrIndeterminate. While a peer is silent, as behind a network
// partition, calls to it are not sent, so that their callers learn that nothing was done.
func (m *Mesh) Call(ctx context.Context, address netip.AddrPort, request *wire.Request) (*wire.Response, error) {
	m.mu.Lock()
	p := m.peers[address]
	if p == nil {
		p = &peer{}
		m.peers[address] = p
	}
	m.mu.Unlock()
	session, conn, err := p.begin(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer p.end(session)
	sentAt := time.Now()
	ping := time.AfterFunc(pingDelay, func() {
		// The response is noticed by conn; without one the session is closed below.
		_, _ = session.Ping()
	})
	defer ping.Stop()
	stream, err := session.OpenStream()
	if err != nil {
		p.closeSession(session)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	unregister := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer unregister()
	response := &wire.Response{}
	_, err = protodelim.MarshalTo(stream, request)
	if err == nil {
		options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
		err = options.UnmarshalFrom(bufio.NewReaderSize(stream, readBufferSize), response)
	}
	if err != nil {
		// The deadline of the stream may pass just before that of ctx.
		isTimeout := errors.Is(err, yamux.ErrTimeout) || errors.Is(ctx.Err(), context.DeadlineExceeded)
		isCancelled := errors.Is(ctx.Err(), context.Canceled)
		if !isCancelled && (!isTimeout || !conn.hasReadSince(sentAt)) {
			// The connection is dead, possibly without having been closed; dial again next
			// time. A peer that is only slow with this call still answers others on it.
			p.closeSession(session)
		}
		return nil, fmt.Errorf("%w: %w", ErrIndeterminate, err)
	}
	return response, nil
}

// watchedConn records when data was last received.
type watchedConn struct {
	net.Conn
	// lastRead is in nanoseconds since created.
	lastRead atomic.Int64
	created  time.Time
}

// Read implements net.Conn.
func (c *watchedConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.created)))
	}
	return n, err
}

// hasReadSince reports whether data was received after a time.
func (c *watchedConn) hasReadSince(at time.Time) bool {
	return c.created.Add(time.Duration(c.lastRead.Load())).After(at)
}

// begin returns the session for a call and its connection, and counts the call as
// pending. end must be called with the session afterwards.
func (p *peer) begin(ctx context.Context, address netip.AddrPort) (session *yamux.Session, conn *watchedConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	session, conn, err = p.connect(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	if p.pending > 0 && now.Sub(p.pendingSince) > silenceLimit && !conn.hasReadSince(now.Add(-silenceLimit)) {
		return nil, nil, errors.New("the peer is silent")
	}
	if p.pending == 0 {
		p.pendingSince = now
	}
	p.pending++
	return session, conn, nil
}

// end ends a call that begin has counted.
func (p *peer) end(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == session {
		p.pending--
	}
}

// connect returns the open session and its connection, or dials a new one. The caller
// holds p.mu.
func (p *peer) connect(ctx context.Context, address netip.AddrPort) (session *yamux.Session, conn *watchedConn, err error) {
	if p.session != nil && !p.session.IsClosed() {
		return p.session, p.conn, nil
	}
	p.pending = 0
	if time.Since(p.lastFailure) < redialDelay {
		return nil, nil, errors.New("the last dial failed")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialled, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		p.lastFailure = time.Now()
		return nil, nil, err
	}
	p.conn = &watchedConn{Conn: dialled, created: time.Now()}
	p.session, err = yamux.Client(p.conn, sessionConfig())
	return p.session, p.conn, err
}

// closeSession closes the current session if it is the given one, or in any case if
// session is nil. The next call dials a new one.
func (p *peer) closeSession(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && (session == nil || p.session == session) {
		_ = p.session.Close()
		p.session = nil
	}
}
