package main

import (
	"fmt"
	"time"
)

const (
	// usualJobs are handed in beside poisonJobs, which makes these a share of 0.05.
	usualJobs  = 57
	poisonJobs = 3
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// overflow hands in some jobs that can never be done, since the numbers of their tasks add up
// to more than an integer holds.
func overflow(w *world) {
	var routes []*route
	for _, service := range []string{"pool-a", "pool-b", "pool-c"} {
		w.addMinions(service, 4, cores16, mem64, plainLabels)
		routes = append(routes, newRoute("of-"+service, service))
	}
	w.configure(routes, "pool-a", "pool-b", "pool-c")
	w.startDaemons(3)
	for _, d := range w.daemons {
		go func() {
			for {
				w.mu.Lock()
				cmd, done := d.cmd, d.done
				w.mu.Unlock()
				<-done
				w.mu.Lock()
				d.ends++
				w.mu.Unlock()
				w.log.add("%s has ended by itself: %v", d.name, cmd.ProcessState)
				time.Sleep(restartDelay)
				w.launch(d)
			}
		}()
	}
	finished := make(chan bool)
	go func() {
		for i := range usualJobs {
			w.submit(simple(routes[i%len(routes)], 2, 300*time.Millisecond), 5)
			time.Sleep(300 * time.Millisecond)
		}
		close(finished)
	}()
	for i := range poisonJobs {
		j := &job{route: routes[i], Spec: "never", Steps: []step{{Count: 1 << 62, CPU: 100}, {Count: 1 << 62, CPU: 100}}}
		if !w.trouble {
			j.Steps[0].Count, j.Steps[1].Count = 1<<20, 1<<20
		}
		w.submit(j, 5)
		time.Sleep(2 * time.Second)
	}
	<-finished
	often := 0
	w.mu.Lock()
	for _, d := range w.daemons {
		w.log.add("%s has ended by itself %d times", d.name, d.ends)
		if d.ends >= 3 {
			often++
		}
	}
	w.mu.Unlock()
	if often >= 2 {
		w.verdict(fmt.Sprintf("Fault: on %d of 3 machines the process has ended by itself three times or more", often))
	}
	w.verdict("")
}
