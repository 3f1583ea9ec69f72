package call

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/inbound"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds the waits of the tests. It is generous so that a busy machine does
// not fail them.
const waitTimeout = 10 * time.Second

// newTestMesh returns a mesh on a free port that is closed at the end of the test.
func newTestMesh(t *testing.T, serve func(ctx context.Context, request *wire.Request) *wire.Response) (mesh *Mesh, address netip.AddrPort) {
	t.Helper()
	return newLimitedMesh(t, inbound.Limits{}, serve)
}

// newLimitedMesh returns a mesh as newTestMesh does, with limits.
func newLimitedMesh(
	t *testing.T, limits inbound.Limits, serve func(ctx context.Context, request *wire.Request) *wire.Response,
) (mesh *Mesh, address netip.AddrPort) {
	t.Helper()
	mesh, err := New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Serve: serve, Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(mesh.Close)
	return mesh, mesh.inbound.Address()
}

// serveByCell answers at once, except that a request for the cell "slow" is answered
// when released is closed.
func serveByCell(released <-chan struct{}) func(ctx context.Context, request *wire.Request) *wire.Response {
	return func(ctx context.Context, request *wire.Request) *wire.Response {
		if request.GetCell() == "slow" {
			select {
			case <-released:
			case <-ctx.Done():
			}
		}
		return &wire.Response{Outcome: Done, State: request.GetCell()}
	}
}

// callWithTimeout makes a call. It fails if the response is not that to the request.
func callWithTimeout(m *Mesh, address netip.AddrPort, cell string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := m.Call(ctx, address, &wire.Request{Cell: cell})
	if err == nil && response.GetState() != cell {
		return errors.New("a response to another request")
	}
	return err
}

// returnsWithin reports whether f returns within waitTimeout.
func returnsWithin(f func()) bool {
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(waitTimeout):
		return false
	}
}

func TestSlowCall(t *testing.T) {
	Convey("A call that times out does not end the other calls to a peer that answers", t, func() {
		released := make(chan struct{})
		_, address := newTestMesh(t, serveByCell(released))
		caller, _ := newTestMesh(t, nil)
		var wait sync.WaitGroup
		var slowErr error
		wait.Go(func() { slowErr = callWithTimeout(caller, address, "slow", waitTimeout) })
		// Keeps the session in use, so that its peer is seen to answer.
		stop := make(chan struct{})
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					_ = callWithTimeout(caller, address, "fast", waitTimeout)
				}
			}
		})
		err := callWithTimeout(caller, address, "slow", 200*time.Millisecond)
		So(err, ShouldNotBeNil)
		close(released)
		close(stop)
		wait.Wait()
		So(slowErr, ShouldBeNil)
	})
	Convey("A session whose peer has gone silent is replaced after a call timed out", t, func() {
		caller, proxy := newConnectedCaller(t)
		proxy.silence()
		err := callWithTimeout(caller, proxy.address, "fast", 100*time.Millisecond)
		So(err, ShouldNotBeNil)
		err = callWithTimeout(caller, proxy.address, "fast", waitTimeout)
		So(err, ShouldBeNil)
	})
}

func TestSilentPeer(t *testing.T) {
	// isSent reports whether a call is sent, that is, does not fail with ErrNotSent.
	isSent := func(err error) bool { return !errors.Is(err, ErrNotSent) }
	Convey("While a peer is silent, calls to it are not sent and fail at once; afterwards they are served", t, func() {
		caller, proxy := newConnectedCaller(t)
		proxy.silence()
		first := make(chan error, 1)
		go func() {
			err := callWithTimeout(caller, proxy.address, "fast", 5*silenceLimit)
			first <- err
		}()
		time.Sleep(2 * silenceLimit)
		startedAt := time.Now()
		err := callWithTimeout(caller, proxy.address, "fast", waitTimeout)
		So(isSent(err), ShouldBeFalse)
		So(time.Since(startedAt), ShouldBeLessThan, waitTimeout/2)
		err = <-first
		So(err, ShouldNotBeNil)
		So(isSent(err), ShouldBeTrue)
		err = callWithTimeout(caller, proxy.address, "fast", waitTimeout)
		So(err, ShouldBeNil)
	})
	Convey("A peer that is slow with all calls, but answers pings, gets further calls", t, func() {
		released := make(chan struct{})
		_, address := newTestMesh(t, serveByCell(released))
		caller, _ := newTestMesh(t, nil)
		var wait sync.WaitGroup
		for range 5 {
			wait.Go(func() { _ = callWithTimeout(caller, address, "slow", waitTimeout) })
			time.Sleep(silenceLimit / 2)
		}
		err := callWithTimeout(caller, address, "fast", waitTimeout)
		So(err, ShouldBeNil)
		close(released)
		wait.Wait()
	})
}

// silencer is a proxy whose open connections can be made to pass nothing on without
// being closed.
type silencer struct {
	address netip.AddrPort
	mu      sync.Mutex
	// silenced is closed to silence the connections opened so far.
	silenced chan struct{}
}

func newSilencer(t *testing.T, target netip.AddrPort) *silencer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &silencer{address: listener.Addr().(*net.TCPAddr).AddrPort(), silenced: make(chan struct{})}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = from.Close()
				continue
			}
			t.Cleanup(func() {
				_ = from.Close()
				_ = to.Close()
			})
			s.mu.Lock()
			silenced := s.silenced
			s.mu.Unlock()
			go pass(from, to, silenced)
			go pass(to, from, silenced)
		}
	}()
	return s
}

// pass copies data until silenced is closed; from then on it drops the data.
func pass(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silenced:
		default:
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// newConnectedCaller returns a mesh that has called a peer, and the proxy between both.
func newConnectedCaller(t *testing.T) (caller *Mesh, proxy *silencer) {
	t.Helper()
	_, address := newTestMesh(t, serveByCell(nil))
	proxy = newSilencer(t, address)
	caller, _ = newTestMesh(t, nil)
	err := callWithTimeout(caller, proxy.address, "fast", waitTimeout)
	So(err, ShouldBeNil)
	return caller, proxy
}

func TestRequestTimeout(t *testing.T) {
	Convey("A stream that carries no request is closed after a time", t, func() {
		_, address := newTestMesh(t, serveByCell(nil))
		conn, err := net.Dial("tcp", address.String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		session, err := yamux.Client(conn, sessionConfig())
		So(err, ShouldBeNil)
		stream, err := session.OpenStream()
		So(err, ShouldBeNil)
		_, err = stream.Write([]byte{1})
		So(err, ShouldBeNil)
		So(returnsWithin(func() { _, _ = stream.Read(make([]byte, 1)) }), ShouldBeTrue)
	})
}

// A session on which no request was sent was kept for good.
func TestSessionWithoutRequestIsClosed(t *testing.T) {
	const identifyTimeout = time.Second
	cases := map[string]struct {
		send     func(session *yamux.Session) error
		isClosed bool
	}{
		"no bytes": {func(*yamux.Session) error { return nil }, true},
		"a session without a stream": {func(session *yamux.Session) error {
			_, err := session.Ping()
			return err
		}, true},
		"a stream that is no request": {func(session *yamux.Session) error {
			stream, err := session.OpenStream()
			if err == nil {
				_, err = stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			}
			return err
		}, true},
		"a request": {func(session *yamux.Session) error {
			stream, err := session.OpenStream()
			if err == nil {
				_, err = protodelim.MarshalTo(stream, &wire.Request{Cell: "fast"})
			}
			if err == nil {
				err = protodelim.UnmarshalFrom(bufio.NewReader(stream), &wire.Response{})
			}
			return err
		}, false},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			_, address := newLimitedMesh(t, inbound.Limits{IdentifyTimeout: identifyTimeout}, serveByCell(nil))
			session := newSession(t, address)
			So(c.send(session), ShouldBeNil)
			timeout := waitTimeout
			if !c.isClosed {
				timeout = 2 * identifyTimeout
			}
			isClosed := await.Until(timeout, session.IsClosed)
			So(isClosed, ShouldEqual, c.isClosed)
		})
	}
}

// newSession returns a session with a mesh. It is closed at the end of the test.
func newSession(t *testing.T, address netip.AddrPort) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
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

// Messages of 8 MB were read and held without a bound on their sum.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	const (
		size       = 150 << 10
		callCount  = 5
		heldAtOnce = 2
	)
	limits := inbound.Limits{MaxMessageMemory: heldAtOnce*size + size/2, MessageTimeout: 2 * time.Second}
	large := func(cell string) *wire.Request { return largeRequest(cell, size) }
	Convey("Of many large requests, as many as fit are served at once, the others are refused, and small ones are served", t, func() {
		released := make(chan struct{})
		_, address := newLimitedMesh(t, limits, serveByCell(released))
		outcomes := make(chan uint32, callCount)
		for range callCount {
			go func() {
				caller, _ := newTestMesh(t, nil)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				response, err := caller.Call(ctx, address, large("slow"))
				if err != nil {
					outcomes <- Indeterminate
					return
				}
				outcomes <- response.GetOutcome()
			}()
		}
		for range callCount - heldAtOnce {
			So(receive(outcomes), ShouldEqual, Unavailable)
		}
		caller, _ := newTestMesh(t, nil)
		err := callWithTimeout(caller, address, "fast", waitTimeout)
		So(err, ShouldBeNil)
		close(released)
		for range heldAtOnce {
			So(receive(outcomes), ShouldEqual, Done)
		}
	})
	Convey("Requests that stop short of their end hold memory for a time only", t, func() {
		_, address := newLimitedMesh(t, limits, serveByCell(nil))
		session := newSession(t, address)
		data, err := proto.Marshal(large("fast"))
		So(err, ShouldBeNil)
		for range heldAtOnce {
			stream, err := session.OpenStream()
			So(err, ShouldBeNil)
			_, err = stream.Write(append(binary.AppendUvarint(nil, uint64(len(data))), data[:len(data)-1]...))
			So(err, ShouldBeNil)
		}
		caller, _ := newTestMesh(t, nil)
		isServed := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			response, err := caller.Call(ctx, address, large("fast"))
			return err == nil && response.GetOutcome() == Done
		}
		So(await.Until(waitTimeout, isServed), ShouldBeTrue)
	})
}

// receive returns the next outcome, or Refused if there is none within waitTimeout.
func receive(outcomes <-chan uint32) uint32 {
	select {
	case outcome := <-outcomes:
		return outcome
	case <-time.After(waitTimeout):
		return Refused
	}
}

// A refused request that was larger than the window of its stream blocked its caller, which
// took it for one that may have been processed.
func TestRefusedRequestIsRead(t *testing.T) {
	Convey("The caller of a large request that gets no memory learns that it was not processed", t, func() {
		const size = 2 * streamWindowSize
		released := make(chan struct{})
		limits := inbound.Limits{MaxMessageMemory: size + size/2, MessageTimeout: time.Second}
		_, address := newLimitedMesh(t, limits, serveByCell(released))
		outcomes := make(chan uint32, 2)
		for range cap(outcomes) {
			go func() {
				caller, _ := newTestMesh(t, nil)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				response, err := caller.Call(ctx, address, largeRequest("slow", size))
				if err != nil {
					outcomes <- Indeterminate
					return
				}
				outcomes <- response.GetOutcome()
			}()
		}
		So(receive(outcomes), ShouldEqual, Unavailable)
		close(released)
		So(receive(outcomes), ShouldEqual, Done)
	})
}

// largeRequest returns a request of more than size bytes.
func largeRequest(cell string, size int) *wire.Request {
	return &wire.Request{Cell: cell, Body: &wire.Request_Submit{Submit: &wire.Submit{Job: make([]byte, size)}}}
}
