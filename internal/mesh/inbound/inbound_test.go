package inbound

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// waitTimeout bounds the waits of the tests. It is generous so that a busy machine does
// not fail them; it does not state how fast a Listener should be.
const waitTimeout = 20 * time.Second

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

// newTestListener returns a listener on a free port that is closed at the end of the
// test. It is not started. Its connections are served until they are closed.
func newTestListener(t *testing.T, reportFailure func(err error)) (l *Listener, servedCount *atomic.Int32) {
	t.Helper()
	return newLimitedListener(t, Limits{}, reportFailure)
}

// newLimitedListener returns a listener as newTestListener does, with limits.
func newLimitedListener(t *testing.T, limits Limits, reportFailure func(err error)) (l *Listener, servedCount *atomic.Int32) {
	t.Helper()
	servedCount = &atomic.Int32{}
	l, err := Listen(Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), RetryDelay: time.Millisecond, ReportFailure: reportFailure, Limits: limits,
		Serve: func(conn *Conn) {
			conn.Identified()
			servedCount.Add(1)
			_, _ = conn.Read(make([]byte, 1))
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, servedCount
}

// dial connects to a listener until the end of the test.
func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isClosedByPeer reports whether a read on a connection ends within waitTimeout with
// an error.
func isClosedByPeer(conn net.Conn) bool {
	var err error
	return returnsWithin(func() { _, err = conn.Read(make([]byte, 1)) }) && err != nil
}

// failingListener fails a number of accepts before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// dialUntilServed connects to a listener and waits until it serves the connection.
func dialUntilServed(t *testing.T, l *Listener, servedCount *atomic.Int32) net.Conn {
	t.Helper()
	before := servedCount.Load()
	conn := dial(t, l)
	deadline := time.Now().Add(waitTimeout)
	for servedCount.Load() == before {
		if time.Now().After(deadline) {
			t.Fatal("the connection is not served")
		}
		time.Sleep(time.Millisecond)
	}
	return conn
}

func TestListener(t *testing.T) {
	Convey("Disconnect closes the open connections, and new ones are still accepted", t, func() {
		l, servedCount := newTestListener(t, nil)
		l.Start()
		for range 2 {
			conn := dialUntilServed(t, l, servedCount)
			l.Disconnect()
			So(isClosedByPeer(conn), ShouldBeTrue)
		}
	})
	Convey("Close closes the open connections and refuses new ones", t, func() {
		l, servedCount := newTestListener(t, nil)
		l.Start()
		conn := dialUntilServed(t, l, servedCount)
		So(returnsWithin(l.Close), ShouldBeTrue)
		So(isClosedByPeer(conn), ShouldBeTrue)
		So(l.open, ShouldBeEmpty)
		_, err := net.Dial("tcp", l.Address().String())
		So(err, ShouldNotBeNil)
	})
	Convey("A connection that was accepted just before Close is not served, so Close does not wait for it", t, func() {
		l, servedCount := newTestListener(t, nil)
		l.Close()
		server, client := net.Pipe()
		So(returnsWithin(func() { l.serve(server) }), ShouldBeTrue)
		_, err := client.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(servedCount.Load(), ShouldEqual, 0)
	})
	Convey("A failed accept is reported and tried again", t, func() {
		var reportedCount atomic.Int32
		l, servedCount := newTestListener(t, func(error) { reportedCount.Add(1) })
		l.listener = &failingListener{Listener: l.listener, failures: 3}
		l.Start()
		dialUntilServed(t, l, servedCount)
		So(reportedCount.Load(), ShouldEqual, 3)
	})
	Convey("An address that is in use is an error", t, func() {
		l, _ := newTestListener(t, nil)
		_, err := Listen(Config{Listen: l.Address()})
		So(err, ShouldNotBeNil)
	})
}

// Connections of peers were accepted until no descriptor was left.
func TestConnectionsAreBounded(t *testing.T) {
	Convey("Given as many open connections as are allowed", t, func() {
		var reported atomic.Pointer[error]
		var reportedCount atomic.Int32
		limits := Limits{MaxConnections: 3, ReportInterval: time.Hour}
		l, servedCount := newLimitedListener(t, limits, func(err error) {
			reported.Store(&err)
			reportedCount.Add(1)
		})
		l.Start()
		var first net.Conn
		for range limits.MaxConnections {
			first = dialUntilServed(t, l, servedCount)
		}
		Convey("Further ones are closed and reported once in an interval", func() {
			for range 4 {
				So(isClosedByPeer(dial(t, l)), ShouldBeTrue)
			}
			So(servedCount.Load(), ShouldEqual, limits.MaxConnections)
			So(reportedCount.Load(), ShouldEqual, 1)
			So(*reported.Load(), ShouldEqual, ErrTooManyConnections)
		})
		Convey("Another one is served once one of them has been closed", func() {
			_ = first.Close()
			isServed := func() bool {
				_ = dial(t, l)
				return servedCount.Load() > int32(limits.MaxConnections)
			}
			So(await.Until(waitTimeout, isServed), ShouldBeTrue)
		})
	})
}

// Connections on which nothing was sent were kept for good.
func TestSilentConnectionIsClosed(t *testing.T) {
	Convey("A connection whose peer is not identified in time is closed, another one stays open", t, func() {
		const identifyTimeout = time.Second
		conns := make(chan *Conn)
		l, err := Listen(Config{
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Limits: Limits{IdentifyTimeout: identifyTimeout},
			Serve: func(conn *Conn) {
				conns <- conn
				_, _ = io.Copy(conn, conn)
			},
		})
		So(err, ShouldBeNil)
		defer l.Close()
		l.Start()
		identified := dial(t, l)
		(<-conns).Identified()
		silent := dial(t, l)
		<-conns
		So(isClosedByPeer(silent), ShouldBeTrue)
		_, err = identified.Write([]byte{1})
		So(err, ShouldBeNil)
		_, err = io.ReadFull(identified, make([]byte, 1))
		So(err, ShouldBeNil)
	})
}
