package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// quotaTask is the size of a task; it is the largest of the queue draft-swap of rotavert.
	quotaTask = 2700
	quotaJobs = 6
	lowCap    = 4000
)

// quota lowers the cap of a tenant that has work waiting in two pools.
func quota(w *world) {
	services := []string{"pool-a", "pool-b", "pool-c", "pool-d"}
	var routes []*route
	for _, service := range services {
		w.addMinions(service, 4, cores16, mem64, plainLabels)
		routes = append(routes, newRoute("of-"+service, service))
	}
	w.configure(routes, services...)
	w.startDaemons(3)
	var jobs []*job
	hand := func() {
		for _, r := range routes {
			j := &job{route: r, Spec: "quota", Steps: []step{{Count: 4, CPU: quotaTask, MemMb: 512, EstRuntimeMs: 1000, work: time.Second}}}
			if w.submit(j, 1) {
				jobs = append(jobs, j)
			}
		}
	}
	for i := range quotaJobs {
		if i == quotaJobs/2 {
			if w.trouble {
				w.capCPU = lowCap
			}
			w.configure(routes, services...)
		}
		hand()
		time.Sleep(200 * time.Millisecond)
	}
	w.log.add("end of the traffic")
	time.Sleep(40 * time.Second)
	w.mu.Lock()
	lastStart := w.starts[len(w.starts)-1].at
	before := len(w.starts)
	w.mu.Unlock()
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	after := len(w.starts)
	w.mu.Unlock()
	stuck := 0
	running := 0
	for _, j := range jobs {
		if _, answer := w.state(j); !strings.Contains(answer, "completed") {
			stuck++
		}
		running += len(w.running(j))
	}
	w.log.add("%d of %d accepted jobs are not completed, %d tasks run; starts in the last 15 s: %d; the last one before was %.1f s ago", stuck, len(jobs), running, after-before, time.Since(lastStart).Seconds())
	if stuck > 0 && after == before && running == 0 {
		w.verdict(fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for %.1f s, though the pools are empty and the tenant uses nothing of its cap", stuck, len(jobs), time.Since(lastStart).Seconds()))
	}
	if stuck > 0 && !w.trouble {
		w.verdict("jobs are left without the disruption")
	}
	w.verdict("")
}
