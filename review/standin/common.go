package main

import (
	"strings"
	"time"
)

const (
	cores16 = 16000
	mem64   = 65536
)

// lasting returns a job whose tasks run until it is cancelled.
func lasting(r *route, count int, requires string) *job {
	return &job{route: r, Spec: "lasting", Steps: []step{{
		Count: count, CPU: 500, MemMb: 256, EstRuntimeMs: 60000, LongRunning: true, Requires: requires,
	}}}
}

// simple returns a job of one step of short tasks.
func simple(r *route, count int, work time.Duration) *job {
	return &job{route: r, Spec: "simple", Steps: []step{{Count: count, CPU: 500, MemMb: 256, EstRuntimeMs: work.Milliseconds(), work: work}}}
}

// awaitRunning waits until all tasks of a lasting job run.
func (w *world) awaitRunning(j *job, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if len(w.running(j)) == j.Steps[0].Count {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// awaitState waits until a job has a state.
func (w *world) awaitState(j *job, state string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if _, answer := w.state(j); strings.Contains(answer, state) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
