// Command chicorypind is the entry daemon. The settings decide which kind of entry it
// runs: one that serves callers, or one that serves jobs.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/fleet"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/host"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// version is set by the linker.
var version = "development"

type arguments struct {
	Settings string `arg:"positional,required,env:CHICORYPIN_CONFIG" help:"settings file, JSON"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "chicorypind serves callers on the fleet. SIGTERM stops it gracefully, SIGUSR1 dumps its state to standard error."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "chicorypind " + version }

func main() {
	var args arguments
	arg.MustParse(&args)
	if fleet.IsFleet(mustRead(args.Settings)) {
		serveFleet(args)
		return
	}
	settings, err := entry.ReadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("the settings are valid")
		return
	}
	e, err := host.New(settings, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go dumpOnSignal(e)
	e.Run(ctx)
}

// serveFleet runs an entry that serves jobs.
func serveFleet(args arguments) {
	settings, err := fleet.ReadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("the settings are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err = runFleet(ctx, args.Settings, settings, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// dumpOnSignal writes the state of the entry to standard error as JSON at each
// SIGUSR1.
func dumpOnSignal(e *entry.Entry) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		event.Dumped.Log(e.Log(), nil)
		_ = json.NewEncoder(os.Stderr).Encode(e.Dump())
	}
}
