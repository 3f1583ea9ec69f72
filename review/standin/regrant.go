package main

import (
	"fmt"
	"time"
)

const (
	// restartTime is how long the minion is down, shorter than any for_s of srv_crash.
	restartTime = 300 * time.Millisecond
	// quietTime is how long the minion is up before it registers; it writes every 1.5 s.
	quietTime = 300 * time.Millisecond
	// cutTime is the for_s of node_cut with how servers in the troubles of the site rotavert.
	cutTime = 5500 * time.Millisecond
)

// regrant has a minion restart under its ID between two polls and cuts it off soon after.
func regrant(w *world) {
	r := newRoute("serving", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, func(i int) []string {
		if i >= 5 {
			return []string{"b", "r1-2"}
		}
		return plainLabels(i)
	})
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	j := lasting(r, 1, "b")
	if !w.submit(j, 5) || !w.awaitRunning(j, 10*time.Second) {
		w.cannotRun("the lasting job does not run")
	}
	var m *minion
	for _, id := range w.running(j) {
		m = w.minion(id)
	}
	time.Sleep(10 * time.Second)
	// The other minion with the label has no room until this job is done.
	large := &job{route: r, Spec: "large", Steps: []step{{Count: 1, CPU: cores16, MemMb: 1024, EstRuntimeMs: 4000, Requires: "b", work: 4 * time.Second}}}
	if !w.submit(large, 5) || !w.awaitRunning(large, 5*time.Second) {
		w.cannotRun("the large task does not run")
	}
	if w.trouble {
		m.quiet = quietTime
		m.crash()
		time.Sleep(restartTime)
		m.start()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		m.cut(true)
	}
	broken := ""
	healed := time.Now().Add(cutTime)
	for end := healed.Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m.isCutOff() && time.Now().After(healed) {
			m.cut(false)
		}
		if text := w.twice(); text != "" && broken == "" {
			broken = text
			w.log.add("TWICE: %s", broken)
		}
	}
	if broken != "" {
		w.verdict(fmt.Sprintf("TWICE: %s", broken))
	}
	w.verdict("")
}
