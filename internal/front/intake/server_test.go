package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestConnectionBound(t *testing.T) {
	limits := testLimits()
	limits.Connections = 3
	cases := map[string]func(s *testServer){
		"The oldest connection without a request is closed, one that serves a request is not": func(s *testServer) {
			serving := s.dial().get("/held")
			<-s.held
			first, second := s.dial(), s.dial()
			So(s.openIs(3), ShouldBeTrue)
			third := s.dial()
			So(first.isClosedByServer(), ShouldBeTrue)
			So(second.get("/").status(), ShouldEqual, 200)
			So(third.get("/").status(), ShouldEqual, 200)
			s.release <- struct{}{}
			So(serving.status(), ShouldEqual, 200)
			So(s.count("connections_closed"), ShouldEqual, 1)
			So(s.logs.lines(690), ShouldHaveLength, 1)
		},
		"A whole request makes a connection the newest": func(s *testServer) {
			first := s.dial().get("/")
			So(first.status(), ShouldEqual, 200)
			second := s.dial()
			So(s.waitingIs(2), ShouldBeTrue)
			So(first.get("/").status(), ShouldEqual, 200)
			third := s.dial()
			So(s.waitingIs(3), ShouldBeTrue)
			fourth := s.dial()
			So(second.isClosedByServer(), ShouldBeTrue)
			for _, c := range []*client{first, third, fourth} {
				So(c.get("/").status(), ShouldEqual, 200)
			}
		},
		"If all connections serve requests, the new one is closed": func(s *testServer) {
			var serving []*client
			for range 3 {
				serving = append(serving, s.dial().get("/held"))
				<-s.held
			}
			So(s.dial().isClosedByServer(), ShouldBeTrue)
			for range serving {
				s.release <- struct{}{}
			}
			for _, c := range serving {
				So(c.status(), ShouldEqual, 200)
			}
		},
		"A connection with a part of a body is closed, and its memory released": func(s *testServer) {
			first := s.startParts(1)[0]
			for range 3 {
				s.dial()
			}
			So(first.isClosedByServer(), ShouldBeTrue)
			So(s.reservedIs(0), ShouldBeTrue)
		},
		"A crowd that sends nothing does not keep an ordinary client out": func(s *testServer) {
			for range 50 {
				s.dial()
			}
			So(s.dial().get("/").status(), ShouldEqual, 200)
			So(s.openIs(3), ShouldBeTrue)
		},
		"A crowd without a key does not keep an ordinary client out": func(s *testServer) {
			for range 50 {
				s.dial().post("/refused", maxBody).bytes(partBytes)
			}
			So(s.dial().get("/").status(), ShouldEqual, 200)
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			s := newTestServer(t, limits).start()
			test(s)
			So(s.stop(), ShouldBeNil)
		})
	}
	Convey("A body is not whole if its connection was closed before its end was read", t, func() {
		s := newTestServer(t, limits)
		conn, _ := net.Pipe()
		c := s.connections.add(conn)
		s.connections.remove(c)
		body := &trackedBody{ReadCloser: io.NopCloser(strings.NewReader("")), conn: c}
		_, err := body.Read(make([]byte, 1))
		So(err, ShouldEqual, net.ErrClosed)
		So(s.stop(), ShouldBeNil)
	})
}

// A request that was refused before its body had been received left its connection and its
// goroutine to the client.
func TestUnreadBodyOfRefusedRequest(t *testing.T) {
	cases := map[string]func(c *client) *client{
		"declared":            func(c *client) *client { return c.post("/refused", maxBody).bytes(partBytes) },
		"declared, not begun": func(c *client) *client { return c.post("/refused", maxBody) },
		"declared, large":     func(c *client) *client { return c.post("/refused", 1<<30).bytes(partBytes) },
		"chunked":             func(c *client) *client { return c.postChunked("/refused").chunk(partBytes) },
	}
	for name, send := range cases {
		Convey("The client gets the answer and the connection is closed: "+name, t, func() {
			s := newTestServer(t, testLimits()).start()
			c := send(s.dial())
			status, _, isClosed := c.answer()
			So(status, ShouldEqual, 401)
			So(isClosed, ShouldBeTrue)
			So(c.isClosedByServer(), ShouldBeTrue)
			So(s.openIs(0), ShouldBeTrue)
			So(s.count("refused_unread"), ShouldEqual, 1)
			So(s.stop(), ShouldBeNil)
		})
	}
}

func TestLinger(t *testing.T) {
	Convey("A client that still sends a refused body is not reset before it has read the answer", t, func() {
		limits := testLimits()
		limits.BodyTime, limits.LingerTime = 50*time.Millisecond, waitTimeout
		s := newTestServer(t, limits).start()
		c := s.dial().postChunked("/").send("ff\r\n").bytes(1)
		So(c.status(), ShouldEqual, 503)
		for range 5 {
			_, err := io.WriteString(c, "x")
			So(err, ShouldBeNil)
			time.Sleep(10 * time.Millisecond)
		}
		So(c.Close(), ShouldBeNil)
		So(s.openIs(0), ShouldBeTrue)
		So(s.stop(), ShouldBeNil)
	})
}

func TestHead(t *testing.T) {
	const small, slack = 1 << 10, 4 << 10
	// head returns a request with a head of a size.
	head := func(size int) string {
		const before, after = "GET / HTTP/1.1\r\nHost: test\r\nX: ", "\r\n\r\n"
		return before + strings.Repeat("x", size-len(before)-len(after)) + after
	}
	limits := testLimits()
	limits.MaxHeaderBytes = 16 << 10
	Convey("Limits of heads apply to new connections", t, func() {
		s := newTestServer(t, limits).start()
		before := s.dial().get("/")
		So(before.status(), ShouldEqual, 200)
		s.SetHead(small, 0, 0)
		So(before.send(head(limits.MaxHeaderBytes)).status(), ShouldEqual, 200)
		So(s.dial().send(head(small)).status(), ShouldEqual, 200)
		c := s.dial().send(head(small + slack + 1<<10))
		So(c.status(), ShouldEqual, 431)
		So(c.isClosedByServer(), ShouldBeTrue)
		So(before.Close(), ShouldBeNil)
		So(s.stop(), ShouldBeNil)
	})
	Convey("Servers with former limits end with their connections", t, func() {
		s := newTestServer(t, limits).start()
		before := s.dial().get("/")
		So(before.status(), ShouldEqual, 200)
		s.SetHead(small, 0, 0)
		s.SetHead(small, 0, 0)
		So(s.generations, ShouldHaveLength, 2)
		So(before.Close(), ShouldBeNil)
		So(s.openIs(0), ShouldBeTrue)
		So(s.generationsAre(1), ShouldBeTrue)
		So(s.stop(), ShouldBeNil)
	})
	closed := map[string]func(s *testServer) *client{
		"that sends no head": func(s *testServer) *client { s.SetHead(0, time.Millisecond, 0); return s.dial() },
		"whose head does not end": func(s *testServer) *client {
			s.SetHead(0, 50*time.Millisecond, 0)
			return s.dial().send("GET / HTTP/1.1\r\n")
		},
		"whose head is without limit": func(s *testServer) *client { return s.dial().send("GET /" + strings.Repeat("x", 64<<10)) },
		"that sends empty lines":      func(s *testServer) *client { return s.dial().send(strings.Repeat("\r\n", 1<<10)) },
		"that is not used": func(s *testServer) *client {
			s.SetHead(0, 0, time.Millisecond)
			c := s.dial().get("/")
			So(c.status(), ShouldEqual, 200)
			return c
		},
	}
	for name, connect := range closed {
		Convey("A connection is closed "+name, t, func() {
			s := newTestServer(t, limits).start()
			So(connect(s).isClosedByServer(), ShouldBeTrue)
			So(s.openIs(0), ShouldBeTrue)
			So(s.stop(), ShouldBeNil)
		})
	}
}

// generationsAre waits until there are a number of generations.
func (s *testServer) generationsAre(count int) bool {
	deadline := time.Now().Add(waitTimeout)
	for {
		s.mu.Lock()
		isMet := len(s.generations) == count
		s.mu.Unlock()
		if isMet || time.Now().After(deadline) {
			return isMet
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAnswersThatNobodyReads(t *testing.T) {
	Convey("The connection of a client that sends requests and reads no answers is closed", t, func() {
		limits := testLimits()
		limits.AnswerTime = 100 * time.Millisecond
		s := newTestServer(t, limits).start()
		c := s.dial()
		go func() {
			for range 100 {
				c.get("/large")
			}
		}()
		So(s.openIs(1), ShouldBeTrue)
		So(s.openIs(0), ShouldBeTrue)
		So(c.Close(), ShouldBeNil)
		So(s.stop(), ShouldBeNil)
	})
	Convey("A request may take longer than its answer", t, func() {
		limits := testLimits()
		limits.AnswerTime = 50 * time.Millisecond
		s := newTestServer(t, limits).start()
		c := s.dial().get("/held")
		<-s.held
		time.Sleep(2 * limits.AnswerTime)
		s.release <- struct{}{}
		So(c.status(), ShouldEqual, 200)
		So(s.stop(), ShouldBeNil)
	})
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

func TestFailedAccept(t *testing.T) {
	Convey("Failed accepts are repeated, and logged at most once a second", t, func() {
		listener, err := Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		s := newTestServer(t, testLimits()).startOn(&failingListener{Listener: listener, failures: 3})
		So(s.dial().get("/").status(), ShouldEqual, 200)
		lines := s.logs.lines(672)
		So(lines, ShouldHaveLength, 1)
		So(lines[0], ShouldContainSubstring, "too many open files")
		So(s.stop(), ShouldBeNil)
	})
}

func TestShutdown(t *testing.T) {
	Convey("Shutdown waits for requests in progress, those of former limits of heads too", t, func() {
		s := newTestServer(t, testLimits()).start()
		first := s.dial().get("/held")
		<-s.held
		s.SetHead(1<<10, 0, 0)
		second := s.dial().get("/held")
		<-s.held
		unused := s.dial().get("/")
		So(unused.status(), ShouldEqual, 200)
		done := make(chan error)
		go func() { done <- s.Shutdown(context.Background()) }()
		So(unused.isClosedByServer(), ShouldBeTrue)
		s.release <- struct{}{}
		s.release <- struct{}{}
		So(first.status(), ShouldEqual, 200)
		So(second.status(), ShouldEqual, 200)
		So(<-done, ShouldBeNil)
		_, err := net.Dial("tcp", s.address)
		So(err, ShouldNotBeNil)
		So(s.stop(), ShouldBeNil)
	})
	Convey("Shutdown ends with its context, and a closed Server serves no listener", t, func() {
		s := newTestServer(t, testLimits()).start()
		c := s.dial().get("/held")
		<-s.held
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		So(errors.Is(s.Shutdown(ctx), context.DeadlineExceeded), ShouldBeTrue)
		listener, err := Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		So(s.Serve(listener), ShouldNotBeNil)
		s.release <- struct{}{}
		So(c.status(), ShouldEqual, 200)
		So(s.stop(), ShouldBeNil)
	})
}
