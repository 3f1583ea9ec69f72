package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/standin/subprocess"
)

// panickingScope panics when a gauge is used.
type panickingScope struct{ tally.Scope }

func (panickingScope) Gauge(string) tally.Gauge { panic("no gauge") }

// An entry served on without the loop that had panicked, and logged nothing before it was
// stopped.
func TestPanicInALoopEndsTheProcess(t *testing.T) {
	output, exitCode := subprocess.Run(t, func() {
		e := newScaledEntry(t, scale{entries: 1, teams: 1, pools: 1, instances: 1})
		e.config.Scope = panickingScope{tally.NoopScope}
		go e.Run(context.Background())
		time.Sleep(4 * metricsPeriod)
	})
	Convey("A panic in a loop of an entry ends the process at once and writes the stack", t, func() {
		So(output, ShouldContainSubstring, "panic: no gauge")
		So(output, ShouldContainSubstring, "reportMetrics")
		So(exitCode, ShouldEqual, 2)
	})
}

// A panic of a handler was in no event and no metric.
func TestPanicInAHandlerIsLogged(t *testing.T) {
	Convey("A panic while a request of a caller is served is an event, and the connection is aborted", t, func() {
		e := newScaledEntry(t, scale{entries: 1, teams: 1, pools: 1, instances: 1})
		var lines bytes.Buffer
		e.log.Logger.SetOutput(&lines)
		e.index.Store(nil)
		serve := func() {
			e.callerServer.Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/service-0/x", nil))
		}
		So(serve, ShouldPanicWith, http.ErrAbortHandler)
		So(lines.String(), ShouldContainSubstring, "event=106")
		So(lines.String(), ShouldContainSubstring, "nil pointer dereference")
	})
}
