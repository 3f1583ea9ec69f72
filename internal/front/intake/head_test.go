package intake

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A head of many short lines took some seventeen times its size, and a crowd of them more than the memory of the
// process.
func TestHeadOfManyLinesTakesMemory(t *testing.T) {
	limits := testLimits()
	limits.HeaderLines = 20
	lines := func(count int) string {
		var text strings.Builder
		for n := range count {
			_, _ = fmt.Fprintf(&text, "a%d:\r\n", n)
		}
		return text.String()
	}
	// The request line and Host are two lines.
	request := func(count int) string { return "GET / HTTP/1.1\r\nHost: test\r\n" + lines(count-2) + "\r\n" }
	for name, c := range map[string]struct {
		sent []string
		// areServed says which of them are answered with 200.
		areServed []bool
	}{
		"as many lines as allowed":             {[]string{request(20)}, []bool{true}},
		"too many lines":                       {[]string{request(22)}, []bool{false}},
		"too many lines, without end":          {[]string{"GET / HTTP/1.1\r\n" + lines(22)}, []bool{false}},
		"each head of a connection by itself":  {[]string{request(20), request(20), request(20)}, []bool{true, true, true}},
		"too many lines in the second request": {[]string{request(20), request(22)}, []bool{true, false}},
		"a body of many lines": {
			[]string{"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("\n", 200)}, []bool{true},
		},
	} {
		Convey("A connection is closed if a head has too many lines: "+name, t, func() {
			s := newTestServer(t, limits).start()
			conn := s.dial()
			var areServed []bool
			for _, text := range c.sent {
				areServed = append(areServed, conn.send(text).status() == http.StatusOK)
			}
			So(areServed, ShouldResemble, c.areServed)
			_ = conn.Close()
			So(s.stop(), ShouldBeNil)
		})
	}
}

// A request with a body that no handler waits for counted as one that was not received whole, so that its connection was
// closed while it was served, and its handler went on.
func TestServedRequestWithUnreadBodyIsClosed(t *testing.T) {
	for name, request := range map[string]string{
		"a body that is not sent": "GET /held HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\n",
		"a whole body":            "DELETE /held HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx",
		"no body":                 "GET /held HTTP/1.1\r\nHost: test\r\n\r\n",
	} {
		Convey("A connection whose request is being served is not closed for want of room: "+name, t, func() {
			limits := testLimits()
			limits.Connections = 3
			begun, end := make(chan struct{}, 30), make(chan struct{})
			s := newTestServerOf(t, limits, func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				<-end
			}).start()
			first := s.dial().send(request)
			for range limits.Connections - 1 {
				s.dial().send(request)
			}
			for range limits.Connections {
				<-begun
			}
			for range 10 {
				// The server may reset the connection before it is known to be open.
				if conn, err := net.Dial("tcp", s.address); err == nil {
					_, _ = conn.Write([]byte(request))
					defer conn.Close()
				}
			}
			select {
			case <-begun:
				t.Error("more requests are served than there are connections")
			case <-time.After(100 * time.Millisecond):
			}
			close(end)
			So(first.status(), ShouldEqual, http.StatusOK)
			So(s.stop(), ShouldBeNil)
		})
	}
}
