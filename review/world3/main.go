// Command world3 plays the scripts of review/11 to review/15: it starts the daemons of the deploy file as
// processes, with a store, a cloud, minions and clients of its own that follow the pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

var cases = map[string]func(w *world){
	"pending": playPending,
	"quota":   playQuota,
	"flap":    playFlap,
	"stray":   playStray,
	"twice":   playTwice,
}

func main() {
	runtime.LockOSThread()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE ROOT RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Args[3])
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
			w.fail("interrupted")
		case <-time.After(timeLimit):
			w.fail("it takes too long")
		}
	}()
	cases[os.Args[1]](w)
}
