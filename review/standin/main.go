// Command standin plays one case of the review: it starts stand-ins for the platform's
// store, minions and clients, and the project's daemons as processes of their own.
package main

import (
	"fmt"
	"os"
)

// cases are those that the scripts play, trials what was tried beside them.
var (
	cases = map[string]func(w *world){
		"wide": wideJob, "regrant": regrant, "service": service, "advised": advised, "quota": quota,
	}
	trials = map[string]func(w *world){
		"flap": flap, "gang": gang, "wave": wave, "reborn": reborn, "overflow": overflow, "oversize": oversize,
	}
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		play = trials[os.Args[1]]
	}
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	play(newWorld(os.Args[2], os.Args[3]))
}
