package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/platform"
)

const (
	// metricsInterval is how often counters are copied to the metrics page, which is
	// scraped every few seconds.
	metricsInterval = 2 * time.Second
	// smallHeapGrowth and largeHeapGrowth are targets of the garbage collector (GOGC): how
	// far the heap may grow over the live heap before the next collection, in percent.
	// Memory costs more than processor time on small instances. The owner of a large cell
	// is on an instance with largeInstanceMegabytes or more, where the processor is what
	// runs short.
	smallHeapGrowth        = 50
	largeHeapGrowth        = 150
	largeInstanceMegabytes = 400
	// memoryLimitShare is the part of the process's memory limit that is set as the soft
	// limit of the Go runtime.
	memoryLimitShare = 0.8
	megabyte         = 1 << 20
	// dropReportInterval is how often dropped log lines are reported.
	dropReportInterval = 5 * time.Second
)

// runFleet runs an entry that serves jobs until the context ends. It also serves the
// metrics and the dump, and reads the settings at the path again when they change.
func runFleet(ctx context.Context, path string, settings fleet.Settings, logs io.Writer) error {
	debug.SetGCPercent(heapGrowth(settings.MemoryMegabytes))
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes*megabyte) * memoryLimitShare))
	}
	logQueue := event.NewAsyncWriter(logs)
	defer logQueue.Close()
	log := newFleetLog(settings, logQueue)
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, scopeCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chicorypin", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	defer scopeCloser.Close()
	daemon, err := fleet.New(fleet.Config{
		Settings: settings, Platform: newPlatform(settings), Clock: timer.New(), Log: log, Scope: scope,
	})
	if err != nil {
		return err
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", reporter.HTTPHandler())
	router.HandlerFunc(http.MethodGet, fleet.DumpPath, daemon.ServeDump)
	server := intake.New(intake.Config{Name: "metrics", Handler: router, Limits: intake.SmallLimits(), Log: log, Scope: scope})
	go func() {
		if err := serveMetrics(server, settings.Metrics); !errors.Is(err, http.ErrServerClosed) {
			event.OperationFailed.Log(log, logrus.Fields{"call": "metrics", "error": err.Error()})
		}
	}()
	defer func() {
		// The process exits next, which closes the connections in any case.
		_ = server.Close()
	}()
	go reportDropped(ctx, logQueue, log)
	go logDumps(ctx, daemon, log)
	go reloadSettings(ctx, path, daemon, log)
	return daemon.Run(ctx)
}

// serveMetrics listens on an address and serves until the server is closed. Its error is never nil.
func serveMetrics(server *intake.Server, address netip.AddrPort) error {
	listener, err := intake.Listen(address.String())
	if err != nil {
		return err
	}
	return server.Serve(listener)
}

// heapGrowth returns the target of the garbage collector for an instance's memory, 0 if
// that is unknown.
func heapGrowth(memoryMegabytes int64) int {
	if memoryMegabytes >= largeInstanceMegabytes {
		return largeHeapGrowth
	}
	return smallHeapGrowth
}

// logDumps logs the state of the entry at each SIGUSR1 until the context ends.
func logDumps(ctx context.Context, daemon *fleet.Daemon, log *logrus.Entry) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			event.Dumped.Log(log, logrus.Fields{"state": daemon.Dump(ctx)})
		}
	}
}

// settingsReminder is how often a settings file that cannot be applied is reported.
const settingsReminder = time.Minute

// settingsInterval is how often the settings file is checked for changes, since it
// may change without a SIGHUP.
const settingsInterval = 2 * time.Second

// reloadSettings applies the settings file again at each SIGHUP and when its contents
// have changed, until the context ends. Settings that cannot be read or are not valid
// are not applied; the daemon keeps those that it has and logs the error, again each
// settingsReminder while it lasts.
func reloadSettings(ctx context.Context, path string, daemon *fleet.Daemon, log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	lastRead := mustRead(path)
	lastReported := time.Time{}
	clock := timer.New()
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		isSignalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			isSignalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		isChanged := err == nil && !bytes.Equal(data, lastRead)
		isReminderDue := !lastReported.IsZero() && clock.Now().Sub(lastReported) >= settingsReminder
		isFirstFailure := err != nil && lastReported.IsZero()
		if !isSignalled && !isChanged && !isReminderDue && !isFirstFailure {
			continue
		}
		var settings fleet.Settings
		if err == nil {
			lastRead = data
			settings, err = fleet.ParseSettings(data)
		}
		if err != nil {
			lastReported = clock.Now()
			event.SettingsInvalid.Log(log, logrus.Fields{"error": err.Error(), "asked": isSignalled})
			continue
		}
		lastReported = time.Time{}
		daemon.Reload(settings)
		event.SettingsRead.Log(log, logrus.Fields{"asked": isSignalled})
	}
}

// newPlatform returns the platform's clients, paths and codecs. The cloud and the
// advice service are optional; without an address their clients are left unset.
func newPlatform(settings fleet.Settings) fleet.Platform {
	p := fleet.Platform{
		Store: platform.NewStore(settings.Store), Endpoints: platform.NewEndpoints(), Codec: platform.NewCodec(),
		ReadyPath: platform.ReadyPath, OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigKey,
		WavePrefix: platform.WavePrefix, EvacuationPrefix: platform.EvacuationPrefix, EndpointPrefix: platform.EndpointPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeEndpoint: platform.DecodeEndpoint, DecodeWave: platform.DecodeWave,
		EncodeWaveStatus: platform.EncodeWaveStatus,
	}
	if settings.Cloud.IsValid() {
		p.Cloud = platform.NewCloud(settings.Cloud)
	}
	if settings.Advice.IsValid() {
		p.Advise = platform.NewAdvice(settings.Advice)
	}
	return p
}

// newFleetLog returns a logger that writes JSON lines. The level is info if the
// settings name none, or an unknown one.
func newFleetLog(settings fleet.Settings, out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logrus.NewEntry(logger)
}

// reportDropped logs at each interval how many log lines were dropped since the last
// report, if any, until the context ends.
func reportDropped(ctx context.Context, queue *event.AsyncWriter, log *logrus.Entry) {
	reported := int64(0)
	timer.New().Every(ctx, dropReportInterval, func(time.Time) {
		if dropped := queue.Dropped(); dropped > reported {
			event.LinesDropped.Log(log, logrus.Fields{"lines": dropped - reported})
			reported = dropped
		}
	})
}

// mustRead reads a file. If that fails, it prints the error and exits.
func mustRead(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	return data
}
