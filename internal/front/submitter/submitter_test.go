package submitter

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	waitTimeout = 20 * time.Second
	// bodyLimit is the maximum size of a body in the configuration, in bytes.
	bodyLimit = 32 << 10
	job       = `{"spec":"s","steps":[{"n":1,"each":{"cpu":500,"mem":10}}]}`
)

// testServer serves a Handler. Its backend accepts all jobs.
type testServer struct {
	*intake.Server
	t         testing.TB
	address   string
	decoder   *intake.Decoder
	submitted atomic.Int32
}

func newTestServer(t testing.TB, limits intake.Limits) *testServer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	config := &setup.Setup{
		MaxBodyBytes: bodyLimit,
		Queues:       []setup.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 1, Stretch: 2, Target: time.Second}},
		Accounts:     map[string]setup.Account{"team": {Name: "team", Weight: 1}},
		Keys:         map[setup.Digest]string{sha256.Sum256([]byte("secret")): "team"},
	}
	config.BuildIndex()
	s := &testServer{t: t}
	s.decoder = intake.NewDecoder(intake.DecoderConfig{Name: "test", Limits: limits, Scope: tally.NoopScope})
	handler := New(Config{
		Backend: Backend{Submit: func(context.Context, Target, jobs.Job) (jobs.Verdict, error) {
			s.submitted.Add(1)
			return jobs.Verdict{IsAccepted: true}, nil
		}},
		Codec: NewCodec(), Setup: func() *setup.Setup { return config }, Log: log, Scope: tally.NoopScope, Decoder: s.decoder,
		Bodies: intake.NewBodies(intake.BodiesConfig{Name: "test", Limits: limits, Log: log, Scope: tally.NoopScope}),
	})
	s.Server = intake.New(intake.Config{Name: "test", Handler: handler, Limits: limits, Log: log, Scope: tally.NoopScope})
	listener, err := intake.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// request is a submission. Its body may be shorter than its length, which is that of the body if it
// is 0.
type request struct {
	key, wait, body string
	length          int
	isBrokenOff     bool
}

// answer sends a request and returns the response.
func (s *testServer) answer(r request) (response *http.Response, err error) {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err = conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return nil, err
	}
	length := r.length
	if length == 0 {
		length = len(r.body)
	}
	_, err = fmt.Fprintf(conn, "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nWait: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.key, r.wait, length, r.body)
	if err != nil {
		return nil, err
	}
	if r.isBrokenOff {
		if err = conn.(*net.TCPConn).CloseWrite(); err != nil {
			return nil, err
		}
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

func TestBodyOfSubmission(t *testing.T) {
	padded := job + strings.Repeat(" ", bodyLimit-len(job))
	cases := map[string]struct {
		request   request
		status    int
		retry     string
		isClosed  bool
		submitted int32
	}{
		"a job is accepted":                                 {request{key: "secret", body: job}, 200, "", false, 1},
		"a job of the largest size is accepted":             {request{key: "secret", body: padded}, 200, "", false, 1},
		"a body that is too large is refused before it":     {request{key: "secret", length: bodyLimit + 1}, 413, "", true, 0},
		"a wrong key is refused before the body":            {request{key: "wrong", length: bodyLimit}, 401, "", true, 0},
		"a body that takes longer than the wait never runs": {request{key: "secret", wait: "100ms", body: padded[1:], length: bodyLimit}, 503, "1", true, 0},
		"a body that is broken off is refused":              {request{key: "secret", body: job, length: bodyLimit, isBrokenOff: true}, 400, "", true, 0},
		"a body that is no job is refused":                  {request{key: "secret", body: "{"}, 400, "", false, 0},
	}
	for name, c := range cases {
		Convey("Submissions: "+name, t, func() {
			s := newTestServer(t, intake.DefaultLimits(64<<20, 100))
			response, err := s.answer(c.request)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, c.status)
			So(response.Header.Get("Retry-After"), ShouldEqual, c.retry)
			So(response.Close, ShouldEqual, c.isClosed)
			So(s.submitted.Load(), ShouldEqual, c.submitted)
		})
	}
	Convey("Submissions: one whose turn to be decoded does not come in time never runs", t, func() {
		limits := intake.DefaultLimits(64<<20, 100)
		s := newTestServer(t, limits)
		release, err := s.decoder.Decode(context.Background(), limits.DecodeMemory, func() error { return nil })
		So(err, ShouldBeNil)
		defer release()
		response, err := s.answer(request{key: "secret", wait: "100ms", body: job})
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get("Retry-After"), ShouldEqual, "1")
		So(s.submitted.Load(), ShouldEqual, 0)
	})
}
