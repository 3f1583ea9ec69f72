package main

import (
	"fmt"
	"time"
)

// reborn has a minion start again under its ID as one of another kind.
func reborn(w *world) {
	r := newRoute("kinds", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, func(i int) []string {
		if i == 3 {
			return []string{"b", "r1-1"}
		}
		return plainLabels(i)
	})
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	for range 4 {
		j := &job{route: r, Spec: "b only", Steps: []step{{Count: 20, CPU: 1000, MemMb: 256, EstRuntimeMs: 1000, Requires: "b", work: time.Second}}}
		if !w.submit(j, 5) {
			w.log.add("not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	m := w.minion("i-pool-a-04")
	if w.trouble {
		m.crash()
		time.Sleep(time.Second)
		m.labels, m.quiet = []string{"a", "r1-1"}, 300*time.Millisecond
		m.start()
	}
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	broken := ""
	for _, s := range w.starts {
		if s.labels[0] != "b" {
			broken = fmt.Sprintf("ROUTE: %s run %d is started on %s, which has the labels %v and not b", s.task, s.run, s.minion, s.labels)
			w.log.add("%s", broken)
		}
	}
	w.mu.Unlock()
	w.verdict(broken)
}
