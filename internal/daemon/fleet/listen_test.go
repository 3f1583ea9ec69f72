package fleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// statusOfHead sends a request with a head of about size bytes on a new connection to the first
// entry, and returns the status of the response, 0 if there is none.
func (s *system) statusOfHead(size int) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.entries[0].url, "http://"))
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET /none/ HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", size)+"\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// The limits of heads in the configuration were read and not applied.
func TestLimitsOfHeads(t *testing.T) {
	Convey("A configuration's limits of heads apply to new connections, and end with it", t, func() {
		const large = 20_000
		s := newSystem(t, 1)
		s.configure("1")
		So(s.statusOfHead(large), ShouldEqual, http.StatusNotFound)
		s.configure(configSmallHeads)
		isApplied := await.Until(5*time.Second, func() bool {
			return s.statusOfHead(large) == http.StatusRequestHeaderFieldsTooLarge
		})
		So(isApplied, ShouldBeTrue)
		So(s.statusOfHead(900), ShouldEqual, http.StatusNotFound)
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.entries[0].url, "http://"))
		So(err, ShouldBeNil)
		defer conn.Close()
		So(conn.SetDeadline(time.Now().Add(4*time.Second)), ShouldBeNil)
		_, err = conn.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		s.configure("2")
		So(await.Until(5*time.Second, func() bool { return s.statusOfHead(large) == http.StatusNotFound }), ShouldBeTrue)
	})
}

// validSettings returns settings without faults.
func validSettings() Settings {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	s := Settings{
		Name: "e", Submitters: address, Ready: address, Peer: address, Metrics: address, Store: address, Orders: ordersOnRequest,
		MemoryMegabytes: 284, Descriptors: 4100, StopSeconds: 6,
	}
	s.Bounds.MaxGrantMilliseconds = 10_000
	return s
}

func TestIntakeSettings(t *testing.T) {
	Convey("The limits of what submitters may hold come from memory and descriptors", t, func() {
		s := validSettings()
		So(s.check(), ShouldBeNil)
		limits := s.intakeLimits()
		So(limits, ShouldResemble, intake.DefaultLimits(284<<20, 4100))
		s.Connections = 70
		limits.Connections = 70
		So(s.check(), ShouldBeNil)
		So(s.intakeLimits(), ShouldResemble, limits)
	})
	faults := map[string]func(s *Settings){
		"/memory":      func(s *Settings) { s.MemoryMegabytes = -1 },
		"/descriptors": func(s *Settings) { s.Descriptors = -1 },
		"/connections": func(s *Settings) { s.Connections = -1 },
	}
	for path, change := range faults {
		Convey("A negative number is a fault at "+path, t, func() {
			s := validSettings()
			change(&s)
			err := s.check()
			var invalid *fault.ValidationError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, path)
		})
	}
}
