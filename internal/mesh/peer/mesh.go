// Package peer carries messages between the entries: one yamux session for each
// pair and direction, with one stream for short messages and one for documents,
// so that a large document does not hold up heartbeats.
package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// Version is the version of the protocol that this code speaks.
const Version = 1

const (
	// maxFrame bounds a message; a snapshot holds three values of the platform.
	maxFrame = 4 << 20
	// queueLength is how many messages wait for a slow peer before new ones
	// are dropped.
	queueLength = 64
	dialTimeout = 2 * time.Second
	redialWait  = 500 * time.Millisecond
	// writeTimeout ends a session whose peer takes nothing.
	writeTimeout = 5 * time.Second
)

// Config sets up a Mesh.
type Config struct {
	// Entry is the name of this process, unique for each start.
	Entry string
	// Listen is the address for peers.
	Listen netip.AddrPort
	// Advertise is the address that peers are told; Listen if it is not valid.
	Advertise netip.AddrPort
	// Receive is called for each message; calls for one peer are in order for
	// each stream. It must not block for long.
	Receive func(from string, frame *wire.Frame)
	Log     *logrus.Entry
}

// Mesh holds the links to all peers. It is safe for concurrent use.
type Mesh struct {
	config   Config
	listener net.Listener
	wait     conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	sentBytes     atomic.Uint64
	sentFrames    atomic.Uint64
	droppedFrames atomic.Uint64

	mu       sync.Mutex
	links    map[netip.AddrPort]*link
	accepted map[net.Conn]struct{}
}

// link is the outgoing side towards one address.
type link struct {
	address netip.AddrPort
	short   chan *wire.Frame
	long    chan *wire.Frame
	cancel  context.CancelFunc
	entry   atomic.Pointer[string]
}

// Counts is what a Mesh has sent.
type Counts struct {
	Frames  uint64 `json:"frames"`
	Bytes   uint64 `json:"bytes"`
	Dropped uint64 `json:"dropped"`
}

// NewMesh listens for peers. Close ends it.
func NewMesh(config Config) (mesh *Mesh, err error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		config:   config,
		listener: listener,
		links:    make(map[netip.AddrPort]*link),
		accepted: make(map[net.Conn]struct{}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wait.Go(m.accept)
	return m, nil
}

// Address returns the address that peers reach this process at.
func (m *Mesh) Address() netip.AddrPort {
	if m.config.Advertise.IsValid() {
		return m.config.Advertise
	}
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Counts returns what was sent so far.
func (m *Mesh) Counts() Counts {
	return Counts{m.sentFrames.Load(), m.sentBytes.Load(), m.droppedFrames.Load()}
}

// SetAddresses names the peers to keep links to.
func (m *Mesh) SetAddresses(addresses []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, k := range m.links {
		if !slices.Contains(addresses, address) {
			k.cancel()
			delete(m.links, address)
		}
	}
	for _, address := range addresses {
		if m.links[address] == nil && address != m.Address() {
			m.open(address)
		}
	}
}

func (m *Mesh) open(address netip.AddrPort) {
	ctx, cancel := context.WithCancel(m.ctx)
	k := &link{
		address: address,
		short:   make(chan *wire.Frame, queueLength),
		long:    make(chan *wire.Frame, 1),
		cancel:  cancel,
	}
	m.links[address] = k
	m.wait.Go(func() { m.keep(ctx, k) })
}

// Send sends a message to the entry if there is a link to it. It never blocks:
// with a full queue the message is dropped.
func (m *Mesh) Send(entry string, frame *wire.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		if name := k.entry.Load(); name != nil && *name == entry {
			m.enqueue(k, frame)
		}
	}
}

// Broadcast sends a message to every peer that is connected.
func (m *Mesh) Broadcast(frame *wire.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		if k.entry.Load() != nil {
			m.enqueue(k, frame)
		}
	}
}

// Connected returns the names of the peers with a link, sorted.
func (m *Mesh) Connected() (entries []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		if name := k.entry.Load(); name != nil {
			entries = append(entries, *name)
		}
	}
	slices.Sort(entries)
	return entries
}

func (m *Mesh) enqueue(k *link, frame *wire.Frame) {
	queue := k.short
	if frame.GetSnapshot() != nil {
		queue = k.long
	}
	select {
	case queue <- frame:
	default:
		m.droppedFrames.Add(1)
	}
}

// Close ends all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.cancel()
	_ = m.listener.Close()
	m.mu.Lock()
	for conn := range m.accepted {
		_ = conn.Close()
	}
	m.mu.Unlock()
	m.wait.Wait()
}

// keep dials the address again and again and sends what is queued.
func (m *Mesh) keep(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		err := m.connect(ctx, k)
		if name := k.entry.Swap(nil); name != nil {
			event.PeerDown.Log(m.config.Log, logrus.Fields{"peer": *name, "address": k.address, "error": err})
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialWait):
		}
	}
}

func (m *Mesh) connect(ctx context.Context, k *link) error {
	// Peers know this process by the address that it listens on.
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(m.config.Listen.Addr(), 0))
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: local}
	conn, err := dialer.DialContext(ctx, "tcp", k.address.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		return err
	}
	defer session.Close()
	short, err := session.Open()
	if err != nil {
		return err
	}
	long, err := session.Open()
	if err != nil {
		return err
	}
	entry, err := m.greet(short)
	if err != nil {
		return err
	}
	if _, err = m.greet(long); err != nil {
		return err
	}
	if entry == m.config.Entry {
		return &SelfError{}
	}
	k.entry.Store(&entry)
	event.PeerUp.Log(m.config.Log, logrus.Fields{"peer": entry, "address": k.address})
	return m.pump(ctx, session, k, short, long)
}

// greet sends a Hello on a new stream and awaits the peer's.
func (m *Mesh) greet(stream net.Conn) (entry string, err error) {
	_ = stream.SetDeadline(time.Now().Add(dialTimeout))
	defer stream.SetDeadline(time.Time{})
	if err = m.write(stream, m.hello()); err != nil {
		return "", err
	}
	frame, err := readFrame(bufio.NewReader(stream))
	if err != nil {
		return "", err
	}
	return checkHello(frame)
}

func (m *Mesh) hello() *wire.Frame {
	hello := &wire.Hello{Version: Version, Entry: m.config.Entry}
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}
}

func checkHello(frame *wire.Frame) (entry string, err error) {
	hello := frame.GetHello()
	if hello.GetVersion() != Version {
		return "", &VersionError{Version: hello.GetVersion()}
	}
	return hello.GetEntry(), nil
}

// pump sends queued messages until the session ends.
func (m *Mesh) pump(ctx context.Context, session *yamux.Session, k *link, short, long net.Conn) error {
	var wait conc.WaitGroup
	defer wait.Wait()
	defer session.Close()
	wait.Go(func() { m.pumpStream(session.CloseChan(), long, k.long) })
	wait.Go(func() {
		m.pumpStream(session.CloseChan(), short, k.short)
		_ = session.Close()
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-session.CloseChan():
		return io.ErrUnexpectedEOF
	}
}

func (m *Mesh) pumpStream(closed <-chan struct{}, stream net.Conn, queue <-chan *wire.Frame) {
	for {
		select {
		case <-closed:
			return
		case frame := <-queue:
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if m.write(stream, frame) != nil {
				return
			}
		}
	}
}

func (m *Mesh) write(stream io.Writer, frame *wire.Frame) error {
	written, err := protodelim.MarshalTo(stream, frame)
	m.sentBytes.Add(uint64(written))
	m.sentFrames.Add(1)
	return err
}

// accept takes sessions of peers and reads their streams.
func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.accepted[conn] = struct{}{}
		m.mu.Unlock()
		m.wait.Go(func() {
			m.serve(conn)
			m.mu.Lock()
			delete(m.accepted, conn)
			m.mu.Unlock()
		})
	}
}

func (m *Mesh) serve(conn net.Conn) {
	defer conn.Close()
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil || m.ctx.Err() != nil {
		return
	}
	defer session.Close()
	var wait conc.WaitGroup
	defer wait.Wait()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		wait.Go(func() {
			defer stream.Close()
			if err := m.read(stream); err != nil && m.ctx.Err() == nil && session.NumStreams() > 0 {
				event.PeerRefused.Log(m.config.Log, logrus.Fields{"address": conn.RemoteAddr().String(), "error": err})
			}
		})
	}
}

// read takes messages from one stream of a peer until it ends.
func (m *Mesh) read(stream net.Conn) error {
	reader := bufio.NewReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(dialTimeout))
	frame, err := readFrame(reader)
	if err != nil {
		return err
	}
	entry, err := checkHello(frame)
	if err != nil {
		return err
	}
	if err = m.write(stream, m.hello()); err != nil {
		return err
	}
	_ = stream.SetReadDeadline(time.Time{})
	for {
		frame, err = readFrame(reader)
		if isEnd(err) {
			return nil
		}
		if err != nil {
			return err
		}
		m.config.Receive(entry, frame)
	}
}

func readFrame(reader *bufio.Reader) (*wire.Frame, error) {
	frame := &wire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	return frame, options.UnmarshalFrom(reader, frame)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = 5 * time.Second
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
