// Package call carries requests between the entries: one yamux session towards
// each peer, and a stream for each call.
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
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// Errors of calls.
var (
	// ErrNotSent says that the peer has not had the request.
	ErrNotSent = errors.New("the peer cannot be reached")
	// ErrOpen says that the peer may have had the request.
	ErrOpen = errors.New("the peer did not answer")
)

const (
	// maxFrame bounds a message: a page of the store's keys is about a megabyte.
	maxFrame = 8 << 20
	// dialTimeout is above the time in which a lost opening packet shows between
	// data centres of one region.
	dialTimeout = 400 * time.Millisecond
	// redialWait keeps calls from waiting for a peer that was just out of reach.
	redialWait = 200 * time.Millisecond
	// streamWindow is yamux's least window.
	streamWindow = 256 << 10
	// backlog is how many calls of one peer may wait to be taken.
	backlog = 256
	// readBuffer holds most messages whole.
	readBuffer = 512
)

// Outcomes of requests, as numbers on the wire.
const (
	// Done requests were carried out.
	Done uint32 = iota
	// NotOwner says that the entry does not own the cell; nothing was done.
	NotOwner
	// Refused requests were not carried out and never will be.
	Refused
	// Open requests may have been carried out.
	Open
	// Unknown says that there is no such job.
	Unknown
	// Late says that the entry cannot answer now; nothing was done.
	Late
)

// Config sets up a Mesh.
type Config struct {
	// Listen is the address for peers.
	Listen netip.AddrPort
	// Serve answers a request; it is called in a goroutine of its own.
	Serve func(ctx context.Context, request *wire.Request) *wire.Response
}

// Mesh makes and takes calls. It is safe for concurrent use.
type Mesh struct {
	config   Config
	listener net.Listener
	wait     conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	taken map[net.Conn]struct{}
}

type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// failed is when the last dial failed.
	failed time.Time
}

// New listens for peers. Close ends it.
func New(config Config) (mesh *Mesh, err error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		config: config, listener: listener,
		peers: make(map[netip.AddrPort]*peer), taken: make(map[net.Conn]struct{}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wait.Go(m.accept)
	return m, nil
}

// Close ends all sessions.
func (m *Mesh) Close() {
	m.cancel()
	// What cannot be closed ends with the process.
	_ = m.listener.Close()
	m.mu.Lock()
	for conn := range m.taken {
		_ = conn.Close()
	}
	for _, p := range m.peers {
		p.drop(nil)
	}
	m.mu.Unlock()
	m.wait.Wait()
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Silence is found by the time-outs of calls.
	c.EnableKeepAlive = false
	c.LogOutput = io.Discard
	c.MaxStreamWindowSize = streamWindow
	c.AcceptBacklog = backlog
	c.StreamOpenTimeout = 0
	c.ConnectionWriteTimeout = time.Second
	return c
}

func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialWait)
			continue
		}
		m.mu.Lock()
		m.taken[conn] = struct{}{}
		m.mu.Unlock()
		m.wait.Go(func() { m.serve(conn) })
	}
}

func (m *Mesh) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		m.mu.Lock()
		delete(m.taken, conn)
		m.mu.Unlock()
	}()
	session, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		m.wait.Go(func() { m.answer(stream) })
	}
}

func (m *Mesh) answer(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	request := &wire.Request{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(bufio.NewReaderSize(stream, readBuffer), request); err != nil {
		// The caller is gone, and learns by itself that there is no answer.
		return
	}
	response := m.config.Serve(m.ctx, request)
	// A caller that is gone needs no answer.
	_, _ = protodelim.MarshalTo(stream, response)
}

// Call makes a request. The error wraps ErrNotSent or ErrOpen.
func (m *Mesh) Call(ctx context.Context, address netip.AddrPort, request *wire.Request) (*wire.Response, error) {
	m.mu.Lock()
	p := m.peers[address]
	if p == nil {
		p = &peer{}
		m.peers[address] = p
	}
	m.mu.Unlock()
	session, err := p.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		p.drop(session)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	response := &wire.Response{}
	_, err = protodelim.MarshalTo(stream, request)
	if err == nil {
		options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
		err = options.UnmarshalFrom(bufio.NewReaderSize(stream, readBuffer), response)
	}
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The connection may have gone silent.
			p.drop(session)
		}
		return nil, fmt.Errorf("%w: %w", ErrOpen, err)
	}
	return response, nil
}

func (p *peer) open(ctx context.Context, address netip.AddrPort) (session *yamux.Session, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	if time.Since(p.failed) < redialWait {
		return nil, errors.New("the last dial failed")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		p.failed = time.Now()
		return nil, err
	}
	p.session, err = yamux.Client(conn, muxConfig())
	return p.session, err
}

// drop closes a session, or any with nil, so that the next call dials.
func (p *peer) drop(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && (session == nil || p.session == session) {
		_ = p.session.Close()
		p.session = nil
	}
}
