// Command chicorypin-standin serves stand-ins for the platform and for minions,
// for use in tests. It exits when any of its servers fails.
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

// headerTimeout limits how long a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

type arguments struct {
	Platform string   `arg:"--platform" help:"address to serve the platform on"`
	Minions  []string `arg:"--minion,separate" help:"address to serve a minion on; may be repeated"`
	Meter    string   `arg:"--meter" help:"address to serve the most that ran at once on all these minions, by team"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	errs := make(chan error)
	if args.Platform != "" {
		go serve(errs, newServer(args.Platform, platform.NewServer()))
	}
	meter := minion.NewMeter()
	for _, address := range args.Minions {
		server := minion.NewServer(address)
		server.Observe = meter.Observe
		httpServer := newServer(address, server)
		httpServer.ConnState = server.TrackConn
		go serve(errs, httpServer)
	}
	if args.Meter != "" {
		go serve(errs, newServer(args.Meter, meter))
	}
	fmt.Fprintln(os.Stderr, <-errs)
	os.Exit(1)
}

func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func serve(errs chan<- error, server *http.Server) { errs <- server.ListenAndServe() }
