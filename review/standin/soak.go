package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// soak plays random jobs under one kind of random disruption and checks what the minions see.
func soak(w *world) {
	kind := os.Getenv("KIND")
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	r := newRoute("mixed", "pool-a")
	w.addMinions("pool-a", 8, cores16, mem64, func(i int) []string {
		label := "a"
		if i%4 == 3 {
			label = "b"
		}
		return []string{label, fmt.Sprintf("r1-%d", i/4+1)}
	})
	w.configure([]*route{r}, "pool-a")
	broken := []string{}
	report := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		broken = append(broken, text)
		w.log.add("VIOLATION %s", text)
	}
	done, doneNoted, failedNoted := map[string]bool{}, map[string]time.Time{}, map[string]map[int]bool{}
	failedEnds := map[string]map[int]bool{}
	cancelled := map[string]time.Time{}
	gangCarry := map[string]string{}
	stepName := func(task string) string { return task[:strings.LastIndexByte(task, '.')] }
	var disturbedAt atomic.Int64
	mark := func() { disturbedAt.Store(time.Now().UnixNano()) }
	mark()
	w.onStart = func(m *minion, t *taskRun) {
		s := t.spec()
		if s == nil {
			report("UNASKED %s", t.task)
			return
		}
		parts := strings.Split(t.task, ".")
		used := int64(0)
		same := 0
		for _, other := range w.minions {
			for name, o := range other.runs {
				if name == t.task && o != t && other.isUp && !s.Speculative {
					report("TWICE %s run %d on %s, run %d on %s", t.task, t.run, m.id, o.run, other.id)
				}
				if other == m {
					if os := o.spec(); os != nil {
						used += os.CPU
					}
					if o != t && stepName(name) == stepName(t.task) {
						same++
					}
				}
			}
		}
		if used > m.cpu {
			report("LIMIT %s on %s: %d", t.task, m.id, used)
		}
		if s.AntiAffinity > 0 && same+1 > s.AntiAffinity {
			report("ROUTE antiAffinity %s on %s", t.task, m.id)
		}
		if s.Requires != "" && m.labels[0] != s.Requires {
			report("ROUTE label %s on %s", t.task, m.id)
		}
		if at, ok := doneNoted[t.task]; ok && (!s.Speculative || time.Since(at) > time.Second) {
			report("TWICE %s run %d on %s after its end was noted", t.task, t.run, m.id)
		}
		for _, earlier := range s.After {
			for k := range t.job.Steps[earlier].Count {
				if !done[fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], earlier, k)] && !t.job.Steps[earlier].Gang {
					report("ORDER %s", t.task)
				}
			}
		}
		if t.job.Times > 0 {
			k, _ := strconv.ParseInt(parts[1], 10, 64)
			due := time.UnixMilli(t.job.StartAtMs + k*t.job.IntervalMs)
			if time.Until(due) > 250*time.Millisecond {
				report("ORDER %s started %s early", t.task, time.Until(due))
			}
		}
		if len(failedNoted[t.task]) >= 3 && !s.LongRunning && !s.Gang {
			report("BUDGET %s", t.task)
		}
		if at, ok := cancelled[parts[0]]; ok && time.Since(at) > 3*time.Second && kind != "late" {
			report("UNASKED %s %s after the cancel", t.task, time.Since(at))
		}
		if s.Gang {
			key := gangKey(t)
			if c, ok := gangCarry[key]; ok && c != t.carry {
				w.log.add("gang values differ: %s", key)
			}
			gangCarry[key] = t.carry
		}
		t.fails = !s.LongRunning && rand.Float64() < 0.02
	}
	w.onEnd = func(m *minion, t *taskRun, e runEnd) {
		switch e.how {
		case "done":
			done[e.task] = true
		case "failed":
			if failedEnds[e.task] == nil {
				failedEnds[e.task] = map[int]bool{}
			}
			failedEnds[e.task][e.run] = true
		case "alone":
			if time.Since(time.Unix(0, disturbedAt.Load())) > 6*time.Second {
				report("GANG %s alone", e.task)
			}
		}
	}
	w.onNoted = func(m *minion, e runEnd) {
		switch e.how {
		case "done":
			if _, ok := doneNoted[e.task]; !ok {
				doneNoted[e.task] = time.Now()
			}
		case "failed":
			if failedNoted[e.task] == nil {
				failedNoted[e.task] = map[int]bool{}
			}
			failedNoted[e.task][e.run] = true
		}
	}
	w.startDaemons(3)
	end := time.Now().Add(45 * time.Second)
	trouble := time.Now().Add(35 * time.Second)
	go func() {
		for time.Now().Before(trouble) {
			w.disturbOnce(kind, random, mark)
		}
		w.mu.Lock()
		w.isLate = nil
		w.mu.Unlock()
		w.store.disturb = nil
		mark()
	}()
	var accepted []*job
	for time.Now().Before(end) {
		j := randomJob(r)
		if w.submit(j, 5) {
			accepted = append(accepted, j)
			if rand.Float64() < 0.12 || j.Steps[0].LongRunning && rand.Float64() < 0.4 {
				go func() {
					time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Second))))
					for try := range 8 {
						status, answer := w.call(w.daemons[try%3], http.MethodDelete, r, j.id, nil)
						w.log.add("client: DELETE %s -> %d %s", j.id, status, answer)
						if status == 200 || status == 410 {
							if status == 410 {
								w.mu.Lock()
								report("LOST DELETE %s answered 410", j.id)
								w.mu.Unlock()
							}
							w.mu.Lock()
							cancelled[j.id] = time.Now()
							w.mu.Unlock()
							return
						}
						time.Sleep(time.Second)
					}
				}()
			}
		}
		if rand.Float64() < 0.15 && len(accepted) > 0 {
			j := accepted[len(accepted)-1]
			go func() {
				body, _ := json.Marshal(j)
				status, _ := w.call(w.daemons[rand.IntN(3)], http.MethodPost, r, j.id, body)
				w.log.add("client: POST %s again -> %d", j.id, status)
			}()
		}
		time.Sleep(time.Duration(rand.Int64N(int64(900 * time.Millisecond))))
	}
	time.Sleep(30 * time.Second)
	for _, j := range accepted {
		status, answer := w.state(j)
		w.mu.Lock()
		_, isCancelled := cancelled[j.id]
		failures := 0
		for _, s := range failedEnds {
			failures = max(failures, len(s))
		}
		w.mu.Unlock()
		switch {
		case isCancelled:
		case status != 200:
			report("LOST %s: %d %s", j.id, status, answer)
		case j.Steps[0].LongRunning:
			if n := len(w.running(j)); n != j.Steps[0].Count {
				report("LOST lasting %s: %d of %d run, %s", j.id, n, j.Steps[0].Count, answer)
			}
		case strings.Contains(answer, "failed"):
			if failures < 3 {
				report("LOST %s failed without cause", j.id)
			}
		case !strings.Contains(answer, "completed"):
			report("LOST %s is %s at the end", j.id, answer)
		}
	}
	rejected := 0
	w.mu.Lock()
	for id, j := range w.jobs {
		if !j.isRejected {
			continue
		}
		rejected++
		for _, s := range w.starts {
			if strings.HasPrefix(s.task, id) {
				report("REFUSED %s started, and all attempts were rejected", s.task)
				break
			}
		}
	}
	w.mu.Unlock()
	w.log.add("%d jobs accepted, %d rejected, %d starts", len(accepted), rejected, len(w.starts))
	if len(broken) > 0 {
		w.verdict(fmt.Sprintf("%d violations, the first: %s", len(broken), broken[0]))
	}
	w.verdict("")
}

func randomJob(r *route) *job {
	work := time.Duration(300+rand.IntN(2500)) * time.Millisecond
	est := work.Milliseconds()
	j := &job{route: r, Spec: "random"}
	switch rand.IntN(8) {
	case 0:
		j.Steps = []step{{Count: 3, CPU: 1500, MemMb: 512, EstRuntimeMs: est, work: work}, {Count: 4, CPU: 900, MemMb: 256, EstRuntimeMs: est, After: []int{0}, work: work}, {Count: 1, CPU: 900, MemMb: 256, EstRuntimeMs: est, After: []int{0, 1}, work: work}}
	case 1:
		j.Steps = []step{{Count: 2, CPU: 900, MemMb: 256, EstRuntimeMs: est, work: work}, {Count: 2, CPU: 500, MemMb: 256, EstRuntimeMs: est, After: []int{0}, work: work / 2}}
		j.Times, j.IntervalMs, j.StartAtMs = 4, 1500, time.Now().Add(1200*time.Millisecond).UnixMilli()
		if rand.IntN(2) == 0 {
			j.Steps[0].Gang, j.Steps[0].Checkpoint = true, true
		}
	case 2:
		j.Steps = []step{{Count: 3, CPU: 3000, MemMb: 512, EstRuntimeMs: est, Gang: true, Checkpoint: true, AntiAffinity: 1, work: 2 * work}, {Count: 2, CPU: 500, MemMb: 256, EstRuntimeMs: est, After: []int{0}, work: work / 2}}
	case 3:
		j.Steps = []step{{Count: 4, CPU: 1200, MemMb: 512, EstRuntimeMs: est, AntiAffinity: 1, work: work}}
	case 4:
		j.Steps = []step{{Count: 3, CPU: 1200, MemMb: 512, EstRuntimeMs: est, Requires: "b", Checkpoint: true, work: work}}
	case 5:
		j.Steps = []step{{Count: 4, CPU: 900, MemMb: 512, EstRuntimeMs: est, Speculative: true, work: work}, {Count: 2, CPU: 900, MemMb: 256, EstRuntimeMs: est, After: []int{0}, work: work}}
	case 6:
		if rand.IntN(3) == 0 {
			j.Steps = []step{{Count: 3, CPU: 700, MemMb: 512, EstRuntimeMs: 60000, LongRunning: true, MaxUnavailable: 1}}
			return j
		}
		fallthrough
	default:
		j.Steps = []step{{Count: 6, CPU: 900, MemMb: 512, EstRuntimeMs: est, work: work}}
	}
	return j
}

// disturbOnce brings one disruption about and waits for a while.
func (w *world) disturbOnce(kind string, random *rand.Rand, mark func()) {
	if strings.Contains(kind, "+") {
		list := strings.Split(kind, "+")
		kind = list[random.IntN(len(list))]
	}
	pause := func(lowest, span time.Duration) { time.Sleep(lowest + time.Duration(random.Int64N(int64(span)))) }
	d := w.daemons[random.IntN(len(w.daemons))]
	mark()
	switch kind {
	case "kill":
		w.log.add("SIGKILL %s", d.name)
		_ = d.cmd.Process.Kill()
		<-d.done
		pause(100*time.Millisecond, 3*time.Second)
		w.launch(d)
		mark()
		pause(time.Second, 4*time.Second)
	case "freeze":
		w.log.add("SIGSTOP %s", d.name)
		_ = d.cmd.Process.Signal(syscall.SIGSTOP)
		pause(time.Second, 4*time.Second)
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		w.log.add("SIGCONT %s", d.name)
		mark()
		pause(500*time.Millisecond, 3*time.Second)
	case "term":
		w.log.add("SIGTERM %s", d.name)
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		<-d.done
		w.launch(d)
		mark()
		pause(200*time.Millisecond, time.Second)
	case "crash":
		m := w.minions[random.IntN(len(w.minions))]
		m.crash()
		pause(100*time.Millisecond, 3*time.Second)
		m.start()
		mark()
		pause(500*time.Millisecond, 2*time.Second)
	case "late":
		w.mu.Lock()
		w.isLate = func(path string) bool { return strings.HasPrefix(path, "/api/run-") && rand.Float64() < 0.5 }
		w.mu.Unlock()
		pause(5*time.Second, 3*time.Second)
		w.mu.Lock()
		w.isLate = nil
		w.mu.Unlock()
		mark()
		pause(time.Second, 3*time.Second)
	case "down":
		mode := random.IntN(2)
		w.log.add("store down, mode %d", mode)
		w.store.disturb = func(rw http.ResponseWriter, r *http.Request) bool {
			if mode == 0 {
				reply(rw, 503, empty{})
				return true
			}
			panic(http.ErrAbortHandler)
		}
		pause(time.Second, 4*time.Second)
		w.store.disturb = nil
		w.log.add("store up")
		mark()
		pause(3*time.Second, 3*time.Second)
	case "lost":
		w.store.disturb = func(rw http.ResponseWriter, r *http.Request) bool {
			if r.Method == http.MethodPost && !strings.Contains(r.URL.Path, "keep") && rand.Float64() < 0.35 {
				w.store.serveTxnSilently(r, rand.IntN(2) == 0)
				panic(http.ErrAbortHandler)
			}
			return false
		}
		pause(3*time.Second, 2*time.Second)
		w.store.disturb = nil
		mark()
		pause(time.Second, 3*time.Second)
	case "slow":
		w.store.disturb = func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(236 * time.Millisecond)
			return false
		}
		pause(3*time.Second, 2*time.Second)
		w.store.disturb = nil
		mark()
		pause(time.Second, 3*time.Second)
	default:
		pause(time.Second, time.Second)
	}
}
