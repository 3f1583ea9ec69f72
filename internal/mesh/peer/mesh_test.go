package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/inbound"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds the waits of the tests. It is generous so that a busy machine does
// not fail them; it does not state how fast a Mesh should be.
const waitTimeout = 20 * time.Second

// testMesh is a Mesh that records the messages it receives.
type testMesh struct {
	*Mesh
	mu       sync.Mutex
	received []*wire.Frame
}

func newTestMesh(t *testing.T, name string) *testMesh {
	t.Helper()
	return newLimitedMesh(t, name, inbound.Limits{})
}

// newLimitedMesh returns a mesh as newTestMesh does, with limits.
func newLimitedMesh(t *testing.T, name string, limits inbound.Limits) *testMesh {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := &testMesh{}
	mesh, err := NewMesh(Config{
		Entry: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: logrus.NewEntry(logger), Limits: limits,
		Receive: func(_ string, frame *wire.Frame) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.received = append(m.received, frame)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Mesh = mesh
	t.Cleanup(mesh.Close)
	return m
}

func (m *testMesh) receivedCount() int { return len(m.frames()) }

// frames returns the messages received so far.
func (m *testMesh) frames() []*wire.Frame {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.received)
}

func heartbeat(sequence uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{Sequence: sequence}}}
}

func snapshot(size int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{Fleet: make([]byte, size)}}}
}

func TestMesh(t *testing.T) {
	cases := map[string]func(a, b *testMesh){
		"messages arrive in order": func(a, b *testMesh) {
			for i := range uint64(50) {
				a.Send("b", heartbeat(i))
			}
			So(await.Until(waitTimeout, func() bool { return b.receivedCount() == 50 }), ShouldBeTrue)
			for i, frame := range b.frames() {
				So(frame.GetBeat().GetSequence(), ShouldEqual, i)
			}
		},
		"a document and a short message sent after it both arrive": func(a, b *testMesh) {
			a.Send("b", snapshot(2<<20))
			a.Send("b", heartbeat(1))
			So(await.Until(waitTimeout, func() bool { return b.receivedCount() == 2 }), ShouldBeTrue)
		},
		"a message to an entry that is not connected is dropped, and later ones arrive": func(a, b *testMesh) {
			a.Send("c", heartbeat(1))
			a.Broadcast(heartbeat(2))
			So(await.Until(waitTimeout, func() bool { return b.receivedCount() == 1 }), ShouldBeTrue)
		},
		"the link to an address that is no longer set is closed": func(a, _ *testMesh) {
			a.SetAddresses(nil)
			So(await.Until(waitTimeout, func() bool { return len(a.Connected()) == 0 }), ShouldBeTrue)
		},
		"no link is made to the own address": func(a, _ *testMesh) {
			a.SetAddresses([]netip.AddrPort{a.Address()})
			So(a.links, ShouldBeEmpty)
		},
		"a link is dialled again after a write of a document failed": func(a, b *testMesh) {
			l := a.links[b.Address()]
			before := l.entry.Load()
			// Larger than the peer accepts, so that it ends the stream.
			a.Send("b", snapshot(maxMessageSize+1))
			So(await.Until(waitTimeout, func() bool {
				a.Send("b", snapshot(1<<20))
				return l.entry.Load() != nil && l.entry.Load() != before && b.receivedCount() > 0
			}), ShouldBeTrue)
		},
		"a link is dialled again after the peer closed the connection": func(a, b *testMesh) {
			b.inbound.Disconnect()
			So(await.Until(waitTimeout, func() bool {
				a.Send("b", heartbeat(1))
				return b.receivedCount() > 0
			}), ShouldBeTrue)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, func() {
			a, b := newTestMesh(t, "a"), newTestMesh(t, "b")
			a.SetAddresses([]netip.AddrPort{b.Address()})
			So(await.Until(waitTimeout, func() bool { return len(a.Connected()) == 1 }), ShouldBeTrue)
			check(a, b)
		})
	}
}

func TestInvalidPeers(t *testing.T) {
	cases := map[string]func(session *yamux.Session) error{
		"another version": func(session *yamux.Session) error {
			stream, err := session.Open()
			if err != nil {
				return err
			}
			hello := &wire.Hello{Version: Version + 1, Entry: "x"}
			_, err = protodelim.MarshalTo(stream, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
			return err
		},
		"a message that is too large": func(session *yamux.Session) error {
			stream, err := session.Open()
			if err != nil {
				return err
			}
			_, err = stream.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
			return err
		},
		"bytes that are no message": func(session *yamux.Session) error {
			stream, err := session.Open()
			if err != nil {
				return err
			}
			_, err = stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			return err
		},
	}
	for name, send := range cases {
		Convey("Case: "+name+" is rejected, and messages of other peers still arrive", t, func() {
			b := newTestMesh(t, "b")
			conn, err := net.Dial("tcp", b.Address().String())
			So(err, ShouldBeNil)
			defer conn.Close()
			session, err := yamux.Client(conn, sessionConfig())
			So(err, ShouldBeNil)
			if err := send(session); !errors.Is(err, yamux.ErrSessionShutdown) {
				So(err, ShouldBeNil)
			}
			// The peer is rejected with its connection.
			So(await.Until(waitTimeout, session.IsClosed), ShouldBeTrue)
			a := newTestMesh(t, "a")
			a.SetAddresses([]netip.AddrPort{b.Address()})
			So(await.Until(waitTimeout, func() bool {
				a.Send("b", heartbeat(1))
				return b.receivedCount() > 0
			}), ShouldBeTrue)
			for _, frame := range b.frames() {
				So(frame.GetBeat(), ShouldNotBeNil)
			}
		})
	}
}

// newSession returns a session with a mesh. It is closed at the end of the test.
func newSession(t *testing.T, m *testMesh) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", m.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	return session
}

// greet opens a stream and exchanges Hello messages on it.
func greet(m *testMesh, session *yamux.Session) (stream net.Conn, err error) {
	stream, err = session.Open()
	if err == nil {
		_, err = m.handshake(stream)
	}
	return stream, err
}

// A session on which no peer said its name was kept for good.
func TestSessionWithoutHelloIsClosed(t *testing.T) {
	const identifyTimeout = time.Second
	cases := map[string]struct {
		send     func(m *testMesh, session *yamux.Session) error
		isClosed bool
	}{
		"no bytes": {func(*testMesh, *yamux.Session) error { return nil }, true},
		"a session without a stream": {func(_ *testMesh, session *yamux.Session) error {
			_, err := session.Ping()
			return err
		}, true},
		"a stream without a Hello": {func(_ *testMesh, session *yamux.Session) error {
			stream, err := session.Open()
			if err == nil {
				_, err = protodelim.MarshalTo(stream, heartbeat(1))
			}
			return err
		}, true},
		"a Hello": {func(m *testMesh, session *yamux.Session) error {
			_, err := greet(m, session)
			return err
		}, false},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			m := newLimitedMesh(t, "b", inbound.Limits{IdentifyTimeout: identifyTimeout})
			session := newSession(t, m)
			So(c.send(m, session), ShouldBeNil)
			timeout := waitTimeout
			if !c.isClosed {
				timeout = 2 * identifyTimeout
			}
			isClosed := await.Until(timeout, session.IsClosed)
			So(isClosed, ShouldEqual, c.isClosed)
		})
	}
}

// Documents of 4 MB were read without a bound on their sum, and had no time to arrive.
func TestMemoryOfMessagesIsBounded(t *testing.T) {
	const size = 150 << 10
	limits := inbound.Limits{MaxMessageMemory: size + size/2, MessageTimeout: time.Second}
	writePartly := func(m *testMesh, session *yamux.Session) error {
		stream, err := greet(m, session)
		if err == nil {
			_, err = stream.Write(append(binary.AppendUvarint(nil, size), 1))
		}
		return err
	}
	Convey("The session of a message that stops short of its end is closed, and other messages arrive", t, func() {
		b := newLimitedMesh(t, "b", limits)
		session := newSession(t, b)
		So(writePartly(b, session), ShouldBeNil)
		So(await.Until(waitTimeout, session.IsClosed), ShouldBeTrue)
		a := newTestMesh(t, "a")
		a.SetAddresses([]netip.AddrPort{b.Address()})
		So(await.Until(waitTimeout, func() bool {
			a.Send("b", snapshot(size))
			return b.receivedCount() > 0
		}), ShouldBeTrue)
	})
	Convey("While as many bytes as are allowed are held, the sessions of other large messages are closed", t, func() {
		b := newLimitedMesh(t, "b", limits)
		var sessions []*yamux.Session
		release := sync.OnceFunc(b.mu.Unlock)
		b.mu.Lock()
		defer release()
		for range 3 {
			session := newSession(t, b)
			stream, err := greet(b, session)
			So(err, ShouldBeNil)
			_, err = protodelim.MarshalTo(stream, snapshot(size))
			So(err, ShouldBeNil)
			sessions = append(sessions, session)
		}
		So(await.Until(waitTimeout, func() bool {
			return len(slices.DeleteFunc(slices.Clone(sessions), (*yamux.Session).IsClosed)) == 1
		}), ShouldBeTrue)
		release()
		So(await.Until(waitTimeout, func() bool { return b.receivedCount() == 1 }), ShouldBeTrue)
	})
}

// A session could open any number of streams, each with a buffer of 256 KB.
func TestStreamsOfASessionAreBounded(t *testing.T) {
	Convey("A session with more streams than peers open is closed", t, func() {
		b := newTestMesh(t, "b")
		session := newSession(t, b)
		for range 2 {
			_, err := greet(b, session)
			So(err, ShouldBeNil)
		}
		_, err := session.Open()
		So(err, ShouldBeNil)
		So(await.Until(waitTimeout, session.IsClosed), ShouldBeTrue)
	})
}

// The first message of a stream, which only names the peer, could have 4 MB.
func TestHelloIsBounded(t *testing.T) {
	Convey("A Hello that is larger than any peer sends is refused", t, func() {
		b := newTestMesh(t, "b")
		stream, err := newSession(t, b).Open()
		So(err, ShouldBeNil)
		hello := &wire.Hello{Version: Version, Entry: strings.Repeat("x", 1<<20)}
		go func() { _, _ = protodelim.MarshalTo(stream, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}) }()
		_ = stream.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = readFrame(bufio.NewReader(stream))
		So(err, ShouldNotBeNil)
	})
}
