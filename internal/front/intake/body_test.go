package intake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// partBytes is a part of a body for whose buffer partReserved bytes are reserved.
	partBytes    = maxBody - 1
	partReserved = maxBody - 4<<10
)

// startParts starts a number of bodies that stop short of their last byte.
func (s *testServer) startParts(count int) (clients []*client) {
	for i := range count {
		clients = append(clients, s.dial().post("/", maxBody).bytes(partBytes))
		So(s.reservedIs(int64(i+1)*partReserved), ShouldBeTrue)
	}
	return clients
}

func TestBodyMemory(t *testing.T) {
	cases := map[string]func(s *testServer){
		"Memory is not reserved for what a client only declares": func(s *testServer) {
			for range 50 {
				s.dial().post("/", maxBody).bytes(1)
			}
			So(s.arrivingIs(50), ShouldBeTrue)
			So(s.reservedIs(0), ShouldBeTrue)
			So(s.dial().post("/", maxBody).bytes(maxBody).status(), ShouldEqual, 200)
			So(s.count("bodies_given_up"), ShouldEqual, 0)
		},
		"Bodies that arrive slowly are served while there is memory": func(s *testServer) {
			for _, c := range s.startParts(3) {
				status, body, _ := c.bytes(1).answer()
				So(status, ShouldEqual, 200)
				So(body, ShouldEqual, strconv.Itoa(maxBody))
			}
			So(s.count("bodies_given_up"), ShouldEqual, 0)
		},
		"The body that has been arriving for longest is given up": func(s *testServer) {
			parts := s.startParts(3)
			So(s.dial().post("/", maxBody).bytes(maxBody).status(), ShouldEqual, 200)
			status, _, isClosed := parts[0].answer()
			So(status, ShouldEqual, 503)
			So(isClosed, ShouldBeTrue)
			So(parts[0].isClosedByServer(), ShouldBeTrue)
			So(parts[1].bytes(1).status(), ShouldEqual, 200)
			So(parts[2].bytes(1).status(), ShouldEqual, 200)
			So(s.count("bodies_given_up"), ShouldEqual, 1)
			So(s.logs.lines(691), ShouldHaveLength, 1)
		},
		"Chunked bodies are reserved as they arrive, too": func(s *testServer) {
			for i := range 3 {
				s.dial().postChunked("/").chunk(partBytes)
				So(s.reservedIs(int64(i+1)*partReserved), ShouldBeTrue)
			}
			c := s.dial().postChunked("/").chunk(maxBody / 2).chunk(maxBody / 2).send("0\r\n\r\n")
			So(c.status(), ShouldEqual, 200)
			So(s.count("bodies_given_up"), ShouldEqual, 1)
		},
		"Small bodies are served while the memory is taken": func(s *testServer) {
			s.startParts(3)
			for range 20 {
				So(s.dial().post("/", 4<<10).bytes(4<<10).status(), ShouldEqual, 200)
			}
			So(s.count("bodies_given_up"), ShouldEqual, 0)
		},
		"A small body that has been arriving for longest is not given up for a large one": func(s *testServer) {
			small := s.dial().post("/", 4<<10).bytes(1)
			So(s.arrivingIs(1), ShouldBeTrue)
			s.startParts(3)
			So(s.dial().post("/", maxBody).bytes(maxBody).status(), ShouldEqual, 200)
			So(small.bytes(4<<10-1).status(), ShouldEqual, 200)
			So(s.count("bodies_given_up"), ShouldEqual, 1)
		},
		"A crowd that starts bodies without end does not keep a whole one out": func(s *testServer) {
			for range 40 {
				s.dial().post("/", maxBody).bytes(partBytes)
			}
			So(s.dial().post("/", maxBody).bytes(maxBody).status(), ShouldEqual, 200)
			s.bodies.mu.Lock()
			defer s.bodies.mu.Unlock()
			So(s.bodies.used, ShouldBeLessThanOrEqualTo, s.bodies.limits.BodyMemory)
		},
		"A body that is broken off is not served": func(s *testServer) {
			c := s.dial().post("/", maxBody).bytes(partBytes)
			So(s.reservedIs(partReserved), ShouldBeTrue)
			So(c.Close(), ShouldBeNil)
			So(s.reservedIs(0), ShouldBeTrue)
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			s := newTestServer(t, testLimits()).start()
			test(s)
			So(s.stop(), ShouldBeNil)
		})
	}
}

func TestBodyOfAnySize(t *testing.T) {
	cases := map[string]struct {
		send   func(c *client)
		status int
		body   string
	}{
		"no body":                      {func(c *client) { c.get("/") }, 200, "0"},
		"an empty body":                {func(c *client) { c.post("/", 0) }, 200, "0"},
		"a byte":                       {func(c *client) { c.post("/", 1).bytes(1) }, 200, "1"},
		"the largest":                  {func(c *client) { c.post("/", maxBody).bytes(maxBody) }, 200, strconv.Itoa(maxBody)},
		"one byte too large":           {func(c *client) { c.post("/", maxBody+1) }, 413, ""},
		"chunks, none":                 {func(c *client) { c.postChunked("/").send("0\r\n\r\n") }, 200, "0"},
		"chunks, the largest":          {func(c *client) { c.postChunked("/").chunk(maxBody).send("0\r\n\r\n") }, 200, strconv.Itoa(maxBody)},
		"chunks, one byte too large":   {func(c *client) { c.postChunked("/").chunk(maxBody + 1).send("0\r\n\r\n") }, 413, ""},
		"chunks, one without its size": {func(c *client) { c.postChunked("/").send("x\r\n") }, 400, ""},
	}
	for name, test := range cases {
		Convey("The answer to "+name, t, func() {
			s := newTestServer(t, testLimits()).start()
			c := s.dial()
			test.send(c)
			status, body, _ := c.answer()
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(s.stop(), ShouldBeNil)
		})
	}
}

func TestBodyTime(t *testing.T) {
	Convey("A body that is not received in time is refused", t, func() {
		limits := testLimits()
		limits.BodyTime = 50 * time.Millisecond
		s := newTestServer(t, limits).start()
		c := s.dial().post("/", maxBody).bytes(partBytes)
		So(c.status(), ShouldEqual, 503)
		So(c.isClosedByServer(), ShouldBeTrue)
		So(s.stop(), ShouldBeNil)
	})
	Convey("A body larger than the memory for bodies is received if there is no other one", t, func() {
		limits := testLimits()
		limits.BodyMemory = 1
		s := newTestServer(t, limits).start()
		So(s.dial().post("/", maxBody).bytes(maxBody).status(), ShouldEqual, 200)
		So(s.stop(), ShouldBeNil)
	})
}

// readerFunc is a body whose Read is a function.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func TestBodyGivenUpAtItsEnd(t *testing.T) {
	Convey("A body that is given up while its last byte is read is not returned", t, func() {
		s := newTestServer(t, testLimits())
		r := httptest.NewRequest(http.MethodPost, "/", readerFunc(func([]byte) (int, error) {
			s.bodies.mu.Lock()
			defer s.bodies.mu.Unlock()
			s.bodies.giveUpLocked(s.bodies.arriving.Front().Value.(*arrival))
			return 1, io.EOF
		}))
		body, release, err := s.bodies.Read(httptest.NewRecorder(), r, maxBody, time.Minute)
		release()
		So(err, ShouldEqual, ErrGivenUp)
		So(body, ShouldBeNil)
		So(s.stop(), ShouldBeNil)
	})
}
