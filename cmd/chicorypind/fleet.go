package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
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
	"gitlab.com/chicorypin/chicorypin/platform"
)

const (
	// metricsPeriod is how often counters go to the metrics page, which is read
	// every few seconds.
	metricsPeriod = 2 * time.Second
	// heapGrowth is how far the heap may grow over what lives before it is
	// collected, in percent: memory costs more than processor time here.
	heapGrowth = 50
	// memoryShare of the limit is what the runtime is told to stay under.
	memoryShare = 0.8
	megabyte    = 1 << 20
	// logInterval is how often dropped log lines are reported.
	logInterval = 5 * time.Second
)

// runFleet serves jobs on the platform until the context ends.
func runFleet(ctx context.Context, path string, settings fleet.Settings, logs io.Writer) error {
	debug.SetGCPercent(heapGrowth)
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes*megabyte) * memoryShare))
	}
	queue := event.NewAsyncWriter(logs)
	defer queue.Close()
	log := newFleetLog(settings, queue)
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chicorypin", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsPeriod)
	defer closer.Close()
	daemon, err := fleet.New(fleet.Config{
		Settings: settings, Platform: newPlatform(settings), Clock: timer.New(), Log: log, Scope: scope,
	})
	if err != nil {
		return err
	}
	pages := httprouter.New()
	pages.Handler(http.MethodGet, "/metrics", reporter.HTTPHandler())
	pages.HandlerFunc(http.MethodGet, fleet.DumpPath, daemon.ServeDump)
	metrics := &http.Server{Addr: settings.Metrics.String(), Handler: pages, ReadHeaderTimeout: time.Second}
	go func() {
		if err := metrics.ListenAndServe(); err != http.ErrServerClosed {
			event.OperationFailed.Log(log, logrus.Fields{"call": "metrics", "error": err.Error()})
		}
	}()
	defer func() {
		// The process ends, and its connections with it.
		_ = metrics.Close()
	}()
	go reportDropped(ctx, queue, log)
	go dumpFleet(ctx, daemon, log)
	go reload(ctx, path, daemon, log)
	return daemon.Run(ctx)
}

// dumpFleet logs the whole state at each SIGUSR1.
func dumpFleet(ctx context.Context, daemon *fleet.Daemon, log *logrus.Entry) {
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

// settingsInterval is how often the settings file is looked at, since it may
// change without a signal.
const settingsInterval = 2 * time.Second

// reload reads the settings again at each SIGHUP and when the file has changed.
// Settings that cannot be read change nothing.
func reload(ctx context.Context, path string, daemon *fleet.Daemon, log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	known := mustRead(path)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		isAsked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			isAsked = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || !isAsked && bytes.Equal(data, known) {
			continue
		}
		known = data
		settings, err := fleet.ParseSettings(data)
		if err != nil {
			event.SettingsRead.Log(log, logrus.Fields{"error": err.Error(), "asked": isAsked})
			continue
		}
		daemon.Reload(settings)
		event.SettingsRead.Log(log, logrus.Fields{"asked": isAsked})
	}
}

func newPlatform(settings fleet.Settings) fleet.Platform {
	p := fleet.Platform{
		Store: platform.NewStore(settings.Store), Endpoints: platform.NewEndpoints(), Codec: platform.NewCodec(),
		ReadyPath: platform.ReadyPath, OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigKey,
		WavePrefix: platform.WavePrefix, EndpointPrefix: platform.EndpointPrefix,
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

func newFleetLog(settings fleet.Settings, logs io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(logs)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logrus.NewEntry(logger)
}

// reportDropped logs how many lines were dropped since the last report.
func reportDropped(ctx context.Context, queue *event.AsyncWriter, log *logrus.Entry) {
	reported := int64(0)
	timer.New().Every(ctx, logInterval, func(time.Time) {
		if dropped := queue.Dropped(); dropped > reported {
			event.LinesDropped.Log(log, logrus.Fields{"lines": dropped - reported})
			reported = dropped
		}
	})
}

// mustRead reads a file or ends the program.
func mustRead(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	return data
}
