package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// wide returns a job of two layers: each step of the second waits for all of the first.
func wide(r *route, width int) *job {
	j := &job{route: r, Spec: "two layers"}
	var first []int
	for i := range width {
		first = append(first, i)
		j.Steps = append(j.Steps, step{Count: 1, CPU: 20, MemMb: 16, EstRuntimeMs: 50, work: 50 * time.Millisecond})
	}
	for range width {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 20, MemMb: 16, EstRuntimeMs: 50, After: first, work: 50 * time.Millisecond})
	}
	return j
}

const (
	burstJobs  = 8
	layerWidth = 250
)

// oversize hands several large jobs in at once.
func oversize(w *world) {
	r := newRoute("large", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, plainLabels)
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	serving := lasting(r, 2, "")
	if !w.submit(serving, 5) || !w.awaitRunning(serving, 10*time.Second) {
		w.cannotRun("the lasting job does not run")
	}
	before := simple(r, 2, 500*time.Millisecond)
	if !w.submit(before, 5) || !w.awaitState(before, "completed", 15*time.Second) {
		w.cannotRun("a small job is not completed before the burst")
	}
	done := make(chan bool, burstJobs)
	for range burstJobs {
		j := wide(r, layerWidth)
		if w.trouble {
			go func() { done <- w.submit(j, 5) }()
			continue
		}
		done <- w.submit(j, 5)
		time.Sleep(2 * time.Second)
	}
	accepted := 0
	for range burstJobs {
		if <-done {
			accepted++
		}
	}
	w.log.add("%d of %d large jobs were accepted; 30 s pass", accepted, burstJobs)
	time.Sleep(30 * time.Second)
	after := simple(r, 2, 500*time.Millisecond)
	isAccepted := w.submit(after, 8)
	isDone := isAccepted && w.awaitState(after, "completed", 15*time.Second)
	// The tasks that last may be absent for some seconds, so they are looked at for 10 s.
	isServing := w.awaitRunning(serving, 10*time.Second)
	status, answer := w.state(serving)
	w.mu.Lock()
	last := ""
	for _, e := range w.ends {
		if strings.HasPrefix(e.task, serving.id) {
			last += fmt.Sprintf(" %s run %d %s", e.task, e.run, e.how)
		}
	}
	w.mu.Unlock()
	w.log.add("the lasting job: all tasks at work %v; ends:%s; shown as %d %s; a small job accepted %v, completed %v", isServing, last, status, answer, isAccepted, isDone)
	if !isServing {
		w.verdict("LOST: the tasks of an accepted job that lasts are not at work, though the pool is all but empty")
	}
	if isAccepted && !isDone {
		w.verdict("LOST: an accepted job is not run")
	}
	if !isAccepted {
		w.verdict("LOST: no job is accepted any more")
	}
	w.verdict("")
}

// Size of the wide job and of those that do the same work one after the other.
const (
	wideTasks   = 12500
	narrowTasks = 1250
)

// tiny returns a job of one task and then of many small ones.
func tiny(r *route, count int) *job {
	const work = 500 * time.Millisecond
	return &job{route: r, Spec: "tiny", Steps: []step{
		{Count: 1, CPU: 5, MemMb: 8, EstRuntimeMs: work.Milliseconds(), work: work},
		{Count: count, CPU: 5, MemMb: 8, EstRuntimeMs: work.Milliseconds(), After: []int{0}, work: work},
	}}
}

// wideJob hands in one job of many small tasks, which the pool has room for.
func wideJob(w *world) {
	r := newRoute("large", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, plainLabels)
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	serving := lasting(r, 2, "")
	if !w.submit(serving, 5) || !w.awaitRunning(serving, 10*time.Second) {
		w.cannotRun("the lasting job does not run")
	}
	var large []*job
	if w.trouble {
		large = append(large, tiny(r, wideTasks))
	} else {
		for range wideTasks / narrowTasks {
			large = append(large, tiny(r, narrowTasks))
		}
	}
	for _, j := range large {
		if !w.submit(j, 5) {
			w.cannotRun("the job is not accepted")
		}
		time.Sleep(time.Second)
	}
	time.Sleep(20 * time.Second)
	if os.Getenv("TAKEOVER") == "1" {
		for _, d := range w.daemons {
			_ = d.cmd.Process.Kill()
			<-d.done
			w.launch(d)
			w.log.add("%s is killed and started again", d.name)
		}
	}
	time.Sleep(20 * time.Second)
	isDone := true
	for _, j := range large {
		isDone = w.awaitState(j, "completed", 3*time.Second) && isDone
	}
	after := simple(r, 2, 500*time.Millisecond)
	isAccepted := w.submit(after, 5)
	isServing := w.awaitRunning(serving, 10*time.Second)
	for try := range 3 {
		status, answer := w.call(w.daemons[try], http.MethodDelete, r, large[0].id, nil)
		w.log.add("client: DELETE %s%s at %s -> %d %s", r.Prefix, large[0].id, w.daemons[try].name, status, answer)
	}
	w.log.add("large jobs completed %v; lasting tasks at work %v; another job accepted %v", isDone, isServing, isAccepted)
	if !isDone || !isServing {
		w.verdict(fmt.Sprintf("LOST: accepted jobs have nothing running though the pool is empty: large jobs completed %v, lasting tasks at work %v, another job accepted %v", isDone, isServing, isAccepted))
	}
	w.verdict("")
}
