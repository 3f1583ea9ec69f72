package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
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
		var lines lockedBuffer
		e.log.Logger.SetOutput(&lines)
		e.index.Store(nil)
		serveListeners(t, e)
		_, err := http.Get("http://" + e.CallerAddress().String() + "/service-0/x")
		So(errors.Is(err, io.EOF), ShouldBeTrue)
		So(lines.String(), ShouldContainSubstring, "event=106")
		So(lines.String(), ShouldContainSubstring, "nil pointer dereference")
	})
}

// A panic while a request of an operator was served left the state locked, and with it the
// whole entry.
func TestPanicOfAnOperatorsRequestLeavesTheStateUnlocked(t *testing.T) {
	size := scale{entries: 1, teams: 1, pools: 1, instances: 8}
	requests := map[string]func(e *Entry){
		"Apply": func(e *Entry) {
			_, _ = e.Apply(t.Context(), 1, encode(t, size.document()))
		},
		"AwaitInForce": func(e *Entry) { e.AwaitInForce(t.Context(), 1) },
	}
	for name, request := range requests {
		Convey("The state of an entry can be used after a panic in "+name, t, func() {
			e := newScaledEntry(t, size)
			e.state.barrier = nil
			So(func() { request(e) }, ShouldPanic)
			So(e.mu.TryLock(), ShouldBeTrue)
			e.mu.Unlock()
		})
	}
}
