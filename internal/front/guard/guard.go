// Package guard logs and counts the panics of HTTP handlers.
package guard

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// Config configures a guarded handler.
type Config struct {
	// Name is the name of the listener in the log and in the metrics.
	Name  string
	Log   *logrus.Entry
	Scope tally.Scope
}

// guarded is a handler that logs and counts the panics of the next one.
type guarded struct {
	config   Config
	next     http.Handler
	panicked tally.Counter
}

// New returns a handler that calls next, and logs and counts its panics. The connection of
// such a request is aborted. http.ErrAbortHandler, which does just that, is passed on.
func New(config Config, next http.Handler) http.Handler {
	scope := config.Scope.Tagged(map[string]string{"listener": config.Name})
	return &guarded{config: config, next: next, panicked: scope.Counter("panicked")}
}

// ServeHTTP implements http.Handler.
func (g *guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way.
			g.panicked.Inc(1)
			event.HandlerPanicked.Log(g.config.Log, logrus.Fields{
				"listener": g.config.Name, "method": r.Method, "panic": fmt.Sprint(cause), "stack": string(debug.Stack()),
			})
		}
		panic(http.ErrAbortHandler)
	}()
	g.next.ServeHTTP(w, r)
}
