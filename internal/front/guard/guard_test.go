package guard

import (
	"bytes"
	"log"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
)

// A panic of a handler was written to standard error by net/http, between the lines of the
// log and without an event, so that neither the log nor the metrics showed it.
func TestPanicOfAHandler(t *testing.T) {
	cases := map[string]struct {
		panics   any
		panicked int64
	}{
		"a panic is logged with the stack and counted":          {"out of order", 1},
		"an answer that is aborted on purpose is no such panic": {http.ErrAbortHandler, 0},
	}
	for name, c := range cases {
		Convey("The caller's connection is closed, and "+name, t, func() {
			var lines, serverLines bytes.Buffer
			logger := logrus.New()
			logger.SetOutput(&lines)
			logger.SetFormatter(&logrus.JSONFormatter{})
			scope := tally.NewTestScope("", nil)
			handler := func(http.ResponseWriter, *http.Request) { panic(c.panics) }
			server := httptest.NewUnstartedServer(New(Config{
				Name: "caller", Log: logrus.NewEntry(logger), Scope: scope,
			}, http.HandlerFunc(handler)))
			server.Config.ErrorLog = log.New(&serverLines, "", 0)
			server.Start()
			_, err := http.Post(server.URL, "", nil)
			server.Close()
			So(err, ShouldNotBeNil)
			So(serverLines.String(), ShouldBeEmpty)
			So(scope.Snapshot().Counters()["panicked+listener=caller"].Value(), ShouldEqual, c.panicked)
			if c.panicked == 0 {
				So(lines.String(), ShouldBeEmpty)
				return
			}
			So(lines.String(), ShouldContainSubstring, `"event":106`)
			So(lines.String(), ShouldContainSubstring, `"panic":"out of order"`)
			So(lines.String(), ShouldContainSubstring, "guard_test.go")
		})
	}
}
