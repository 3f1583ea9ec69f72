// Command chicorypin-standin runs the stand-ins that tests put in the place of
// the platform and of the minions.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"gitlab.com/chicorypin/chicorypin/internal/standin/minion"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

// headerTimeout bounds how long a client may take to send its header.
const headerTimeout = 5 * time.Second

type arguments struct {
	Platform string   `arg:"--platform" help:"address to serve the platform on"`
	Minions  []string `arg:"--minion,separate" help:"address to serve a minion on; may be repeated"`
	Meter    string   `arg:"--meter" help:"address to serve the most that ran at once on all these minions, by team"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := make(chan error)
	if args.Platform != "" {
		go serve(failed, newServer(args.Platform, platform.NewServer()))
	}
	meter := minion.NewMeter()
	for _, address := range args.Minions {
		server := minion.NewServer(address)
		server.Observe = meter.Observe
		listener := newServer(address, server)
		listener.ConnState = server.NoteConn
		go serve(failed, listener)
	}
	if args.Meter != "" {
		go serve(failed, newServer(args.Meter, meter))
	}
	fmt.Fprintln(os.Stderr, <-failed)
	os.Exit(1)
}

func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func serve(failed chan<- error, server *http.Server) { failed <- server.ListenAndServe() }
