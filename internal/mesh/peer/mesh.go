// Package peer exchanges one-way messages between entries. Each entry dials a yamux
// session to every other entry and sends on two streams, one for short messages and
// one for documents, so that a large document does not delay heartbeats.
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/inbound"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// Version is the version of the protocol between peers. Peers with another version are
// rejected in the handshake.
const Version = 1

const (
	// maxMessageSize bounds a message, in bytes. The largest one, a snapshot, holds
	// three values of the platform's store.
	maxMessageSize = 4 << 20
	// sendQueueLength is the number of short messages queued for a slow peer before
	// new ones are dropped.
	sendQueueLength = 64
	// maxHelloSize bounds a Hello, in bytes.
	maxHelloSize = 4 << 10
	// maxStreams is the number of streams that a peer opens on a session.
	maxStreams = 2
	// readBufferSize is in bytes.
	readBufferSize = 4 << 10
	dialTimeout    = 2 * time.Second
	redialDelay    = 500 * time.Millisecond
	// writeTimeout ends a session whose peer does not read.
	writeTimeout = 5 * time.Second
)

// Config sets up a Mesh.
type Config struct {
	// Entry identifies this process; it is different after each start.
	Entry string
	// Listen is the address on which connections from peers are accepted. Its host is
	// also the source address of outgoing connections.
	Listen netip.AddrPort
	// Advertise is the address that peers use to reach this process. If it is not
	// valid, the listening address is used.
	Advertise netip.AddrPort
	// Receive is called for each message from a peer. It is called concurrently, and
	// in the order of sending only for messages on the same stream. It must not block
	// for long, since it delays the messages behind.
	Receive func(from string, frame *wire.Frame)
	Log     *logrus.Entry
	// Limits bounds what peers may hold.
	Limits inbound.Limits
}

// Mesh exchanges messages with all other entries. It is safe for concurrent use.
type Mesh struct {
	config  Config
	inbound *inbound.Listener
	memory  *inbound.Memory
	wait    background.Group
	ctx     context.Context
	cancel  context.CancelFunc

	sentBytes     atomic.Uint64
	sentFrames    atomic.Uint64
	droppedFrames atomic.Uint64

	mu sync.Mutex
	// links holds the outgoing connections by address.
	links map[netip.AddrPort]*link
}

// link is the outgoing connection to one address, redialled whenever it breaks.
type link struct {
	address   netip.AddrPort
	messages  chan *wire.Frame
	documents chan *wire.Frame
	cancel    context.CancelFunc
	// entry is the name of the connected peer, nil while there is no connection.
	entry atomic.Pointer[string]
}

// Counts holds the totals of a Mesh since it was created.
type Counts struct {
	// Frames and Bytes count the messages sent, including handshakes.
	Frames uint64 `json:"frames"`
	Bytes  uint64 `json:"bytes"`
	// Dropped counts messages that were dropped because a queue was full.
	Dropped uint64 `json:"dropped"`
}

// NewMesh starts listening for peers. Call SetAddresses to connect to others, and
// Close to stop.
func NewMesh(config Config) (mesh *Mesh, err error) {
	m := &Mesh{config: config, memory: inbound.NewMemory(config.Limits), links: make(map[netip.AddrPort]*link)}
	m.inbound, err = inbound.Listen(inbound.Config{
		Listen: config.Listen, RetryDelay: redialDelay, ReportFailure: m.reportAcceptFailure, Serve: m.serveConn, Limits: config.Limits,
	})
	if err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.inbound.Start()
	return m, nil
}

// Address returns the address at which peers reach this process.
func (m *Mesh) Address() netip.AddrPort {
	if m.config.Advertise.IsValid() {
		return m.config.Advertise
	}
	return m.inbound.Address()
}

// Counts returns the current totals.
func (m *Mesh) Counts() Counts {
	return Counts{m.sentFrames.Load(), m.sentBytes.Load(), m.droppedFrames.Load()}
}

// SetAddresses replaces the set of peers to stay connected to. Links to other addresses
// are closed. The process's own address is ignored.
func (m *Mesh) SetAddresses(addresses []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.links {
		if !slices.Contains(addresses, address) {
			l.cancel()
			delete(m.links, address)
		}
	}
	for _, address := range addresses {
		if m.links[address] == nil && address != m.Address() {
			m.addLink(address)
		}
	}
}

// addLink creates a link and starts its goroutine. m.mu must be held.
func (m *Mesh) addLink(address netip.AddrPort) {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{
		address:   address,
		messages:  make(chan *wire.Frame, sendQueueLength),
		documents: make(chan *wire.Frame, 1),
		cancel:    cancel,
	}
	m.links[address] = l
	m.wait.Go(func() { m.runLink(ctx, l) })
}

// Send queues a message for the entry. It never blocks: the message is dropped if the
// entry is not connected or its queue is full. Delivery is not confirmed.
func (m *Mesh) Send(entry string, frame *wire.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if name := l.entry.Load(); name != nil && *name == entry {
			m.enqueue(l, frame)
		}
	}
}

// Broadcast queues a message for every connected peer, as Send does.
func (m *Mesh) Broadcast(frame *wire.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.entry.Load() != nil {
			m.enqueue(l, frame)
		}
	}
}

// Connected returns the sorted names of the peers to which this process is connected.
func (m *Mesh) Connected() (entries []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if name := l.entry.Load(); name != nil {
			entries = append(entries, *name)
		}
	}
	slices.Sort(entries)
	return entries
}

// enqueue queues a message on the stream for its kind, or drops it if the queue is
// full.
func (m *Mesh) enqueue(l *link, frame *wire.Frame) {
	queue := l.messages
	if frame.GetSnapshot() != nil {
		queue = l.documents
	}
	select {
	case queue <- frame:
	default:
		m.droppedFrames.Add(1)
	}
}

// Close closes all connections and waits for their goroutines to end.
func (m *Mesh) Close() {
	m.cancel()
	m.inbound.Close()
	m.wait.Wait()
}

// runLink connects to the peer of a link, and again after each failure, until ctx is
// done.
func (m *Mesh) runLink(ctx context.Context, l *link) {
	isFailureLogged := false
	for ctx.Err() == nil {
		err := m.connect(ctx, l)
		name := l.entry.Swap(nil)
		switch {
		case name != nil:
			event.PeerDown.Log(m.config.Log, logrus.Fields{"peer": *name, "address": l.address, "error": err})
			isFailureLogged = false
		case ctx.Err() == nil && !isFailureLogged && !errors.As(err, new(*SelfError)):
			// Logged once, not at each attempt to an entry that is gone.
			event.PeerUnreachable.Log(m.config.Log, logrus.Fields{"address": l.address, "error": err})
			isFailureLogged = true
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// connect dials the peer of a link and sends queued messages until the connection
// fails or ctx is done.
func (m *Mesh) connect(ctx context.Context, l *link) error {
	// Dial from the listening address, by which peers identify this process.
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(m.config.Listen.Addr(), 0))
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: local}
	conn, err := dialer.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		return err
	}
	defer session.Close()
	messages, err := session.Open()
	if err != nil {
		return err
	}
	documents, err := session.Open()
	if err != nil {
		return err
	}
	entry, err := m.handshake(messages)
	if err != nil {
		return err
	}
	if _, err = m.handshake(documents); err != nil {
		return err
	}
	if entry == m.config.Entry {
		return &SelfError{}
	}
	l.entry.Store(&entry)
	event.PeerUp.Log(m.config.Log, logrus.Fields{"peer": entry, "address": l.address})
	return m.sendAll(ctx, session, l, messages, documents)
}

// handshake exchanges Hello messages on a new stream and returns the peer's name.
func (m *Mesh) handshake(stream net.Conn) (entry string, err error) {
	_ = stream.SetDeadline(time.Now().Add(dialTimeout))
	defer stream.SetDeadline(time.Time{})
	if err = m.writeFrame(stream, m.helloFrame()); err != nil {
		return "", err
	}
	frame, err := readFrame(bufio.NewReader(stream))
	if err != nil {
		return "", err
	}
	return checkHello(frame)
}

func (m *Mesh) helloFrame() *wire.Frame {
	hello := &wire.Hello{Version: Version, Entry: m.config.Entry}
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}
}

// checkHello returns the name of the peer, or a *VersionError. A frame without a Hello
// counts as version 0.
func checkHello(frame *wire.Frame) (entry string, err error) {
	hello := frame.GetHello()
	if hello.GetVersion() != Version {
		return "", &VersionError{Version: hello.GetVersion()}
	}
	return hello.GetEntry(), nil
}

// sendAll sends the queued messages of a link until the session ends or ctx is done.
// A failed write ends the session, so that the link is dialled again.
func (m *Mesh) sendAll(ctx context.Context, session *yamux.Session, l *link, messages, documents net.Conn) error {
	var wait background.Group
	defer wait.Wait()
	defer session.Close()
	send := func(stream net.Conn, queue <-chan *wire.Frame) {
		m.sendQueue(session.CloseChan(), stream, queue)
		_ = session.Close()
	}
	wait.Go(func() { send(documents, l.documents) })
	wait.Go(func() { send(messages, l.messages) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-session.CloseChan():
		return io.ErrUnexpectedEOF
	}
}

// sendQueue writes the messages of a queue to a stream until the session is closed or
// a write fails.
func (m *Mesh) sendQueue(closed <-chan struct{}, stream net.Conn, queue <-chan *wire.Frame) {
	for {
		select {
		case <-closed:
			return
		case frame := <-queue:
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if m.writeFrame(stream, frame) != nil {
				return
			}
		}
	}
}

// writeFrame writes a message and counts it, also if the write fails.
func (m *Mesh) writeFrame(stream io.Writer, frame *wire.Frame) error {
	written, err := protodelim.MarshalTo(stream, frame)
	m.sentBytes.Add(uint64(written))
	m.sentFrames.Add(1)
	return err
}

// reportAcceptFailure logs a failed accept, for instance while all descriptors are in use,
// and that connections are closed at the bound.
func (m *Mesh) reportAcceptFailure(err error) {
	event.PeerUnreachable.Log(m.config.Log, logrus.Fields{"address": m.Address(), "error": err})
}

// serveConn reads the streams of a connection from a peer until it is closed.
func (m *Mesh) serveConn(conn *inbound.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil || m.ctx.Err() != nil {
		return
	}
	defer session.Close()
	var wait background.Group
	defer wait.Wait()
	for range maxStreams {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		wait.Go(func() {
			defer stream.Close()
			err := m.readStream(conn, stream)
			if err == nil {
				return
			}
			if m.ctx.Err() == nil && session.NumStreams() > 0 {
				event.PeerRefused.Log(m.config.Log, logrus.Fields{"address": conn.RemoteAddr().String(), "error": err})
			}
			// The peer dials again instead of sending to a stream that is not read.
			_ = session.Close()
		})
	}
	if _, err = session.Accept(); err == nil {
		event.PeerRefused.Log(m.config.Log, logrus.Fields{"address": conn.RemoteAddr().String(), "error": errTooManyStreams})
		_ = session.Close()
	}
}

// readStream answers the handshake on a stream of a peer's connection and passes its
// messages to Receive. It returns nil when the peer closes the stream or disconnects.
func (m *Mesh) readStream(conn *inbound.Conn, stream net.Conn) error {
	reader := m.memory.NewReader(stream, readBufferSize)
	_ = stream.SetReadDeadline(time.Now().Add(dialTimeout))
	hello := &wire.Frame{}
	release, err := reader.Read(m.ctx, maxHelloSize, hello)
	if err != nil {
		return err
	}
	release()
	entry, err := checkHello(hello)
	if err != nil {
		return err
	}
	conn.Identified()
	if err = m.writeFrame(stream, m.helloFrame()); err != nil {
		return err
	}
	for {
		frame := &wire.Frame{}
		release, err = reader.Read(m.ctx, maxMessageSize, frame)
		if isDisconnect(err) {
			return nil
		}
		if err != nil {
			return err
		}
		m.config.Receive(entry, frame)
		release()
	}
}

func readFrame(reader *bufio.Reader) (*wire.Frame, error) {
	frame := &wire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	return frame, options.UnmarshalFrom(reader, frame)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = 5 * time.Second
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
