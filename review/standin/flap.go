package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the flapping minion, of srv_flap in the troubles of the site mejawaris-kl-grown:
// share = 0.1, gap_s = 1.4, for_s = 6.5.
const (
	flapMinions = 10
	flapPeriod  = 1400 * time.Millisecond
	flapLength  = 6500 * time.Millisecond
)

// flap has the minion that a lasting job needs go down and up by turns.
func flap(w *world) {
	r := newRoute("serving", "pool-a")
	w.addMinions("pool-a", flapMinions, cores16, mem64, func(i int) []string {
		if i == 3 {
			return []string{"b", "r1-1"}
		}
		return plainLabels(i)
	})
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	j := lasting(r, 1, "b")
	if !w.submit(j, 5) || !w.awaitRunning(j, 10*time.Second) {
		w.cannotRun("the lasting job does not run")
	}
	time.Sleep(4 * time.Second)
	m := w.minion("i-pool-a-04")
	if w.trouble {
		for end := time.Now().Add(flapLength); time.Now().Before(end); {
			m.crash()
			time.Sleep(min(flapPeriod/2, time.Until(end)))
			m.start()
			time.Sleep(min(flapPeriod/2, time.Until(end)))
		}
	}
	w.log.add("the minion is up for good; calm for 20 s")
	absent := time.Time{}
	longest := time.Duration(0)
	var last map[string]string
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		last = w.running(j)
		if len(last) == j.Steps[0].Count {
			absent = time.Time{}
			continue
		}
		if absent.IsZero() {
			absent = time.Now()
		}
		longest = max(longest, time.Since(absent))
	}
	_, answer := w.state(j)
	w.log.add("at the end %d of %d tasks run; longest time with one missing %.1f s; shown as %s", len(last), j.Steps[0].Count, longest.Seconds(), answer)
	if len(last) < j.Steps[0].Count && longest > 13*time.Second {
		w.verdict(fmt.Sprintf("LOST: of the job that lasts, %d tasks have had no run for %.1f s on a calm minion with room", j.Steps[0].Count-len(last), longest.Seconds()))
	}
	if strings.Contains(answer, "failed") {
		w.verdict("LOST: the job is shown as failed, and no run of it has ended failed")
	}
	w.verdict("")
}
