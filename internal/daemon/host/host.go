// Package host builds a daemon from its settings: the entry, the operators'
// listener, the metrics and the logger.
package host

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/front/operator"
)

// metricsInterval is how often the counters are copied to the metrics endpoint.
const metricsInterval = time.Second

// New returns a daemon that serves once its Run is called. It logs to the
// writer as JSON lines.
func New(settings entry.Settings, logs io.Writer) (*entry.Entry, error) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "chicorypin",
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return entry.New(entry.Config{
		Settings: settings,
		Clock:    timer.New(),
		Log:      newLog(settings, logs),
		Scope:    scope,
		OperatorHandler: func(e *entry.Entry) http.Handler {
			return operator.NewListener(operator.Config{Entry: e, Metrics: reporter.HTTPHandler()})
		},
	})
}

// newLog returns a logger of the level in the settings, or of level info if
// that is unknown.
func newLog(settings entry.Settings, logs io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(logs)
	logger.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logrus.NewEntry(logger)
}
