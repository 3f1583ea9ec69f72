package main

import (
	"fmt"
	"strings"
	"time"
)

// odd hands in jobs that the pages allow and that are rare, and looks whether all of them are run.
func odd(w *world) {
	r := newRoute("odd", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, plainLabels)
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	s := func(change func(t *step)) step {
		t := step{Count: 2, CPU: 500, MemMb: 256, EstRuntimeMs: 500, work: 500 * time.Millisecond}
		change(&t)
		return t
	}
	now := time.Now().UnixMilli()
	jobs := map[string]*job{
		"zero size":      {Steps: []step{s(func(t *step) { t.CPU, t.MemMb = 0, 0 })}},
		"no estimate":    {Steps: []step{s(func(t *step) { t.EstRuntimeMs = 0 })}},
		"gang of one":    {Steps: []step{s(func(t *step) { t.Count, t.Gang = 1, true })}},
		"gang wide":      {Steps: []step{s(func(t *step) { t.Count, t.Gang, t.CPU = 14, true, 4000 })}},
		"gang same rack": {Steps: []step{s(func(t *step) { t.Count, t.Gang, t.SameRack, t.CPU = 4, true, true, 9000 })}},
		"after twice":    {Steps: []step{s(func(*step) {}), s(func(t *step) { t.After = []int{0, 0} })}},
		"past":           {Steps: []step{s(func(*step) {})}, Times: 3, StartAtMs: now - 100000, IntervalMs: 1000},
		"no interval":    {Steps: []step{s(func(*step) {})}, Times: 5, StartAtMs: now},
		"no start":       {Steps: []step{s(func(*step) {})}, Times: 2, IntervalMs: 100},
		"once":           {Steps: []step{s(func(*step) {})}, Times: 1, StartAtMs: now + 3000},
		"affinity":       {Steps: []step{s(func(t *step) { t.Affinity = "r9-9" })}},
		"fills":          {Steps: []step{s(func(t *step) { t.Fills, t.Image, t.CPU = true, "x", 8000 })}},
		"spec gang":      {Steps: []step{s(func(t *step) { t.Gang, t.Speculative = true, true })}},
		"big":            {Steps: []step{s(func(t *step) { t.CPU, t.MemMb = 12000, 40000 })}},
		"far estimate":   {Steps: []step{s(func(t *step) { t.EstRuntimeMs = 3600000 })}},
		"apart":          {Steps: []step{s(func(t *step) { t.Count, t.AntiAffinity = 7, 1 })}},
		"apart more":     {Steps: []step{s(func(t *step) { t.Count, t.AntiAffinity = 30, 2 })}},
		"long chain":     {},
		"timed gang":     {Steps: []step{s(func(t *step) { t.Gang, t.Checkpoint = true, true })}, Times: 4, StartAtMs: now + 2000, IntervalMs: 300},
	}
	chain := jobs["long chain"]
	for i := range 40 {
		chain.Steps = append(chain.Steps, s(func(t *step) {
			t.Count, t.EstRuntimeMs, t.work = 1, 50, 50*time.Millisecond
			if i > 0 {
				t.After = []int{i - 1}
			}
		}))
	}
	last := map[string]*job{
		"lasting":        {Steps: []step{s(func(t *step) { t.LongRunning = true })}},
		"lasting spec":   {Steps: []step{s(func(t *step) { t.LongRunning, t.Speculative = true, true })}},
		"lasting gang":   {Steps: []step{s(func(t *step) { t.LongRunning, t.Gang = true, true })}},
		"lasting target": {Steps: []step{s(func(t *step) { t.LongRunning, t.TargetMs, t.Image = true, 50, "y" })}},
		"lasting fills":  {Steps: []step{s(func(t *step) { t.LongRunning, t.Fills, t.Image = true, true, "z" })}},
		"lasting wide":   {Steps: []step{s(func(t *step) { t.LongRunning, t.Count, t.AntiAffinity = true, 7, 1 })}},
	}
	refused := ""
	for name, j := range jobs {
		j.route, j.Spec = r, name
		if !w.submit(j, 8) {
			refused += " " + name
			delete(jobs, name)
		}
	}
	for name, j := range last {
		j.route, j.Spec = r, name
		if !w.submit(j, 8) {
			refused += " " + name
			delete(last, name)
		}
	}
	time.Sleep(35 * time.Second)
	broken := ""
	for name, j := range jobs {
		if _, answer := w.state(j); !strings.Contains(answer, "completed") {
			broken += fmt.Sprintf(" %s (%s %s);", name, j.id, answer)
		}
	}
	for name, j := range last {
		if n := len(w.running(j)); n != j.Steps[0].Count {
			broken += fmt.Sprintf(" %s (%s): %d of %d run;", name, j.id, n, j.Steps[0].Count)
		}
	}
	for _, d := range w.daemons {
		select {
		case <-d.done:
			broken += " " + d.name + " has ended;"
		default:
		}
	}
	w.log.add("refused:%s; not done:%s", refused, broken)
	w.verdict(broken)
}
