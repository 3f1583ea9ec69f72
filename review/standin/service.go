package main

import (
	"fmt"
	"net/http"
	"time"
)

// service moves a queue to another service while a job of it is accepted.
func service(w *world) {
	a, b := newRoute("queue", "pool-a"), newRoute("other", "pool-b")
	w.addMinions("pool-a", 4, cores16, mem64, plainLabels)
	w.addMinions("pool-b", 4, cores16, mem64, plainLabels)
	w.configure([]*route{a, b}, "pool-a", "pool-b")
	w.startDaemons(3)
	j := simple(a, 2, 20*time.Second)
	if !w.submit(j, 5) {
		w.cannotRun("the job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if status, _ := w.state(j); status != 200 {
		w.cannotRun("the job is not shown")
	}
	if w.trouble {
		w.configure([]*route{b}, "pool-a", "pool-b")
		time.Sleep(2500 * time.Millisecond)
		moved := *a
		moved.Service = "pool-b"
		j.route = &moved
		w.configure([]*route{&moved, b}, "pool-a", "pool-b")
	} else {
		w.configure([]*route{a, b, newRoute("third", "pool-b")}, "pool-a", "pool-b")
		time.Sleep(2500 * time.Millisecond)
		w.configure([]*route{a, b}, "pool-a", "pool-b")
	}
	time.Sleep(3 * time.Second)
	status, answer := 0, ""
	for _, d := range w.daemons {
		status, answer = w.call(d, http.MethodGet, j.route, j.id, nil)
		w.log.add("client: GET %s%s at %s -> %d %s", j.route.Prefix, j.id, d.name, status, answer)
	}
	// A request with the ID of an accepted job may arrive again seconds after its answer.
	if !w.submit(j, 5) {
		w.log.add("the repeated request is not accepted")
	}
	time.Sleep(3 * time.Second)
	twice := w.twice()
	switch {
	case twice != "":
		w.verdict("TWICE: " + twice + fmt.Sprintf("; a GET before was answered %d %s", status, answer))
	case status == 410:
		w.verdict("LOST: a GET for an accepted job that nobody has cancelled is answered 410 " + answer)
	}
	w.verdict("")
}

// twice tells of a task of which two runs are on minions that are up.
func (w *world) twice() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	places := map[string]string{}
	for _, m := range w.minions {
		for name, t := range m.runs {
			place := fmt.Sprintf("run %d on %s (%s)", t.run, m.id, m.service)
			if other := places[name]; other != "" {
				return fmt.Sprintf("%s has %s and %s at the same time", name, other, place)
			}
			places[name] = place
		}
	}
	return ""
}
