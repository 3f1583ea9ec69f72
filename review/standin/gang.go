package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	gangRounds = 3
	gangJobs   = 3
	// downTime is the for_s of srv_crash in the sites; one of seven minions is a share of 0.143.
	downTime = 4500 * time.Millisecond
)

// gang crashes a minion on which members of gangs work.
func gang(w *world) {
	r := newRoute("gangs", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, plainLabels)
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	var jobs []*job
	for range gangRounds {
		for range gangJobs {
			j := &job{route: r, Spec: "gang", Steps: []step{{
				Count: 3, CPU: 5000, MemMb: 1024, EstRuntimeMs: 6000, Gang: true, Checkpoint: true, AntiAffinity: 1, work: 6 * time.Second,
			}}}
			if !w.submit(j, 5) {
				w.cannotRun("a gang is not accepted")
			}
			jobs = append(jobs, j)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(1500*time.Millisecond + time.Duration(rand.Int64N(int64(time.Second))))
		var most *minion
		w.mu.Lock()
		for _, m := range w.minions {
			if most == nil || len(m.runs) > len(most.runs) {
				most = m
			}
		}
		w.mu.Unlock()
		if w.trouble {
			most.crash()
		}
		time.Sleep(downTime)
		if w.trouble {
			most.start()
		}
		time.Sleep(4 * time.Second)
	}
	isDone := true
	for _, j := range jobs {
		isDone = w.awaitState(j, "completed", 25*time.Second) && isDone
	}
	w.mu.Lock()
	carried := map[string]map[string][]string{}
	for _, s := range w.starts {
		parts := strings.Split(s.task, ".")
		key := fmt.Sprintf("%s run %d", parts[0], s.run)
		if carried[key] == nil {
			carried[key] = map[string][]string{}
		}
		carried[key][s.carry] = append(carried[key][s.carry], s.task)
	}
	alone := 0
	for _, e := range w.ends {
		if e.how == "alone" {
			alone++
		}
	}
	w.mu.Unlock()
	broken := ""
	for key, values := range carried {
		if len(values) > 1 {
			broken = fmt.Sprintf("UNASKED: the members of one run of a gang are started with different values of lastCheckpoint: %s %v", key, values)
			w.log.add("%s", broken)
		}
	}
	w.log.add("all gangs completed: %v; ends alone: %d", isDone, alone)
	w.verdict(broken)
}
