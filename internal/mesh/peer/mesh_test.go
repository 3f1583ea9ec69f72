package peer

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protodelim"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

// patience bounds every wait; it is no target.
const patience = 20 * time.Second

// station is a mesh that keeps what it receives.
type station struct {
	*Mesh
	mu       sync.Mutex
	received []*wire.Frame
}

func newStation(t *testing.T, name string) *station {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &station{}
	mesh, err := NewMesh(Config{
		Entry: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: logrus.NewEntry(logger),
		Receive: func(_ string, frame *wire.Frame) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.received = append(s.received, frame)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Mesh = mesh
	t.Cleanup(mesh.Close)
	return s
}

func (s *station) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

func eventually(isDone func() bool) bool {
	deadline := time.Now().Add(patience)
	for !isDone() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

func beat(sequence uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{Sequence: sequence}}}
}

func snapshot(size int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{Fleet: make([]byte, size)}}}
}

func TestMesh(t *testing.T) {
	cases := map[string]func(a, b *station){
		"messages arrive in order": func(a, b *station) {
			for i := range uint64(50) {
				a.Send("b", beat(i))
			}
			So(eventually(func() bool { return b.count() == 50 }), ShouldBeTrue)
			for i, frame := range b.received {
				So(frame.GetBeat().GetSequence(), ShouldEqual, i)
			}
		},
		"a document arrives, and so do short messages behind it": func(a, b *station) {
			a.Send("b", snapshot(2<<20))
			a.Send("b", beat(1))
			So(eventually(func() bool { return b.count() == 2 }), ShouldBeTrue)
		},
		"a message to nobody is dropped without harm": func(a, b *station) {
			a.Send("c", beat(1))
			a.Broadcast(beat(2))
			So(eventually(func() bool { return b.count() == 1 }), ShouldBeTrue)
		},
		"an address that is named no longer is left": func(a, _ *station) {
			a.SetAddresses(nil)
			So(eventually(func() bool { return len(a.Connected()) == 0 }), ShouldBeTrue)
		},
		"a link to itself is not kept": func(a, _ *station) {
			a.SetAddresses([]netip.AddrPort{a.Address()})
			So(a.links, ShouldBeEmpty)
		},
		"a peer that comes back is found again": func(a, b *station) {
			b.Mesh.mu.Lock()
			for conn := range b.accepted {
				conn.Close()
			}
			b.Mesh.mu.Unlock()
			So(eventually(func() bool {
				a.Send("b", beat(1))
				return b.count() > 0
			}), ShouldBeTrue)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, func() {
			a, b := newStation(t, "a"), newStation(t, "b")
			a.SetAddresses([]netip.AddrPort{b.Address()})
			So(eventually(func() bool { return len(a.Connected()) == 1 }), ShouldBeTrue)
			check(a, b)
		})
	}
}

func TestStrangers(t *testing.T) {
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
		"no message at all": func(session *yamux.Session) error {
			stream, err := session.Open()
			if err != nil {
				return err
			}
			_, err = stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			return err
		},
	}
	for name, act := range cases {
		Convey("Case: "+name+" is turned away, and others are heard", t, func() {
			b := newStation(t, "b")
			conn, err := net.Dial("tcp", b.Address().String())
			So(err, ShouldBeNil)
			defer conn.Close()
			session, err := yamux.Client(conn, sessionConfig())
			So(err, ShouldBeNil)
			So(act(session), ShouldBeNil)
			a := newStation(t, "a")
			a.SetAddresses([]netip.AddrPort{b.Address()})
			So(eventually(func() bool {
				a.Send("b", beat(1))
				return b.count() > 0
			}), ShouldBeTrue)
			for _, frame := range b.received {
				So(frame.GetBeat(), ShouldNotBeNil)
			}
		})
	}
}
