// Package background runs the goroutines of a daemon's parts.
package background

import (
	"fmt"
	"os"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// exitCode is the exit status of a process that has panicked, as the runtime's own.
const exitCode = 2

// Group is a set of goroutines that run until the part of a daemon they belong to stops.
// A panic in one of them ends the process at once: the part would go on without it until
// Wait is called. The zero value is ready to use.
type Group struct {
	goroutines conc.WaitGroup
}

// Go calls the function in a new goroutine.
func (g *Group) Go(function func()) {
	g.goroutines.Go(func() {
		if recovered := panics.Try(function); recovered != nil {
			fmt.Fprintf(os.Stderr, "panic: %v\n\n%s", recovered.Value, recovered.Stack)
			os.Exit(exitCode)
		}
	})
}

// Wait returns when all functions have returned.
func (g *Group) Wait() { g.goroutines.Wait() }
