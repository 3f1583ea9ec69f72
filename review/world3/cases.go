package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func noLabels(int) []string { return nil }

// playPending: the only minion that may run a queue's jobs refuses all starts for a time. The queue must say that the
// jobs wait.
func playPending(w *world) {
	minions := w.addMinions(10, func(i int) []string {
		if i == 0 {
			return []string{"fast"}
		}
		return nil
	})
	w.configure(1, nil)
	w.startDaemons(3)
	time.Sleep(3 * time.Second)
	setGrey := func(isGrey bool) {
		w.fleet.mu.Lock()
		minions[0].isGrey = isGrey
		w.fleet.mu.Unlock()
		w.record.row("minion refuses starts", "minion", minions[0].id, "refuses", isGrey)
	}
	const count = 3
	begun := make(map[string]bool)
	var mu sync.Mutex
	w.onStart = func(_ *minion, o order) {
		mu.Lock()
		defer mu.Unlock()
		job, _ := taskName(o.Task)
		begun[job] = true
	}
	if w.hasTrouble {
		setGrey(true)
	}
	greyAt := time.Now()
	for i := range count {
		w.submit(w.daemons[i%3], fmt.Sprintf("5c0e7a21d94b3%02xf", i), &jobSpec{Spec: "labelled", Steps: []stepSpec{
			{Count: 1, CPU: 1000, MemMb: 100, EstRuntimeMs: 800, Requires: "fast"},
		}})
	}
	acceptedAt := time.Now()
	var broken []string
	for time.Since(greyAt) < 6400*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		if time.Since(acceptedAt) < 5300*time.Millisecond {
			continue
		}
		for _, d := range w.daemons {
			mu.Lock()
			waiting := count - len(begun)
			mu.Unlock()
			status, answer := w.call(d, http.MethodGet, "", nil)
			var body struct {
				Pending int `json:"pending"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil && 2*body.Pending < waiting {
				broken = append(broken, fmt.Sprintf("%s says that %d jobs are pending; %d were accepted over 5 s ago and have not begun", d.name, body.Pending, waiting))
			}
		}
	}
	if w.hasTrouble {
		setGrey(false)
	}
	w.judge("MIXED", broken)
}

// playFlap: the only minion that may run a job that lasts goes down and up by turns. The job must go on afterwards.
func playFlap(w *world) {
	const id = "5c0e7a21d94b36fa"
	minions := w.addMinions(10, func(i int) []string {
		if i == 0 {
			return []string{"fast"}
		}
		return nil
	})
	w.configure(1, nil)
	w.startDaemons(3)
	time.Sleep(3 * time.Second)
	w.submit(w.daemons[0], id, &jobSpec{Spec: "lasts", Steps: []stepSpec{
		{Count: 1, CPU: 1000, MemMb: 100, EstRuntimeMs: 1000, Requires: "fast", LongRunning: true, Image: "app"},
	}})
	isRunning := func() bool {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for _, n := range w.fleet.minions {
			if n.runs[id+".0.0.0"] != nil {
				return true
			}
		}
		return false
	}
	if !w.within(10*time.Second, isRunning) {
		w.fail("the job does not run")
	}
	time.Sleep(3 * time.Second)
	if w.hasTrouble {
		n := minions[0]
		for end := time.Now().Add(6500 * time.Millisecond); time.Now().Before(end); {
			w.record.row("minion goes down", "minion", n.id)
			n.crash()
			time.Sleep(700 * time.Millisecond)
			w.record.row("minion comes up", "minion", n.id)
			n = w.fleet.start(*n)
			time.Sleep(700 * time.Millisecond)
		}
	}
	calmAt := time.Now()
	var broken []string
	for time.Since(calmAt) < 15*time.Second {
		time.Sleep(500 * time.Millisecond)
		if state := w.state(w.daemons[0], id); state == "failed" {
			broken = append(broken, fmt.Sprintf("%.1f s after the minion was back for good, the job is shown as failed; no run of it has ended as failed and nobody has cancelled it", time.Since(calmAt).Seconds()))
			break
		}
	}
	if time.Since(calmAt) >= 14*time.Second && !isRunning() {
		broken = append(broken, "the job does not run 14 s after the minion was back for good")
	}
	w.judge("LOST", broken)
}

// playTwice: a start gets no answer and is carried out seconds later, when its minion has started again under its ID.
// The task has been done elsewhere meanwhile, and must not start again.
func playTwice(w *world) {
	const id, other = "5c0e7a21d94b36fa", "5c0e7a21d94b36fb"
	w.addMinions(8, noLabels)
	w.configure(1, nil)
	var broken []string
	w.onStart = func(n *minion, o order) {
		if at, isDone := w.fleet.done[o.Task]; isDone {
			broken = append(broken, fmt.Sprintf("%s run %d starts on %s %.1f s after the end of a run that was done had been taken note of",
				o.Task, o.RunID, n.id, time.Since(at).Seconds()))
		}
	}
	victim := make(chan *minion, 1)
	if w.hasTrouble {
		isFirst := true
		w.late = func(n *minion, path string, o order) time.Duration {
			if job, _ := taskName(o.Task); path != "/api/run-start" || job != id || !isFirst {
				return 0
			}
			isFirst = false
			victim <- n
			return lateStart
		}
	}
	w.startDaemons(3)
	time.Sleep(2 * time.Second)
	w.submit(w.daemons[0], id, &jobSpec{Spec: "once", Steps: []stepSpec{{Count: 1, CPU: 1000, MemMb: 100, EstRuntimeMs: 800}}})
	// Another job, so that the minion is asked for its runs when the first one ends.
	time.Sleep(500 * time.Millisecond)
	w.submit(w.daemons[0], other, &jobSpec{Spec: "other", Steps: []stepSpec{{Count: 1, CPU: 1000, MemMb: 100, EstRuntimeMs: 2500}}})
	if w.hasTrouble {
		n := <-victim
		w.record.row("start gets no answer", "minion", n.id)
		time.Sleep(3800 * time.Millisecond)
		w.record.row("minion crashes", "minion", n.id)
		n.crash()
		// Its entry is removed after three heartbeat intervals of silence.
		time.AfterFunc(3*heartbeat-time.Second, func() { w.store.set("servers/"+n.id, nil) })
		time.Sleep(downTime)
		next := *n
		next.registerAfter = heartbeat / 2
		w.fleet.start(next)
		w.record.row("minion is back", "minion", n.id)
	}
	time.Sleep(6 * time.Second)
	w.state(w.daemons[0], id)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if len(w.fleet.done) == 0 {
		w.fail("the task was not done")
	}
	w.judge("TWICE", broken)
}

const (
	// lateStart is how long after its arrival a start without an answer is carried out: 2 to 12 s by the pages.
	lateStart = 9300 * time.Millisecond
	// downTime is how long the crashed minion is down: 4.5 s at most in the site file.
	downTime = 4500 * time.Millisecond
)

// playStray: the minion of a task that lasts is dark for some seconds, comes back, and is lost for good soon after. The
// task must be at work elsewhere in time.
func playStray(w *world) {
	const id = "5c0e7a21d94b36fa"
	minions := w.addMinions(8, func(i int) []string {
		if i < 2 {
			return []string{"fast"}
		}
		return nil
	})
	w.configure(1, nil)
	w.startDaemons(3)
	time.Sleep(3 * time.Second)
	w.submit(w.daemons[0], id, &jobSpec{Spec: "lasts", Steps: []stepSpec{
		{Count: 1, CPU: 1000, MemMb: 100, EstRuntimeMs: 1000, Requires: "fast", LongRunning: true, Image: "app"},
	}})
	runsOn := func() string {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for _, n := range w.fleet.minions {
			if n.runs[id+".0.0.0"] != nil {
				return n.id
			}
		}
		return ""
	}
	if !w.within(10*time.Second, func() bool { return runsOn() != "" }) {
		w.fail("the job does not run")
	}
	time.Sleep(3 * time.Second)
	if w.hasTrouble {
		n := minions[0]
		if runsOn() != n.id {
			n = minions[1]
		}
		w.record.row("minion is dark", "minion", n.id)
		n.goDark()
		time.Sleep(darkTime)
		n = n.restart()
		w.record.row("minion is back", "minion", n.id)
		time.Sleep(backTime)
		w.record.row("minion is lost for good", "minion", n.id, "task is on", runsOn())
		n.crash()
		time.AfterFunc(3*heartbeat, func() { w.store.set("servers/"+n.id, nil) })
	}
	lostAt := time.Now()
	var broken []string
	gap := time.Duration(0)
	for since := time.Now(); time.Since(lostAt) < 16*time.Second; time.Sleep(20 * time.Millisecond) {
		if runsOn() != "" {
			since = time.Now()
		}
		gap = max(gap, time.Since(since))
	}
	w.record.row("longest time without a run", "seconds", gap.Seconds())
	if gap >= 9*time.Second {
		broken = append(broken, fmt.Sprintf("the task that lasts has not run for %.1f s, with room for it on a minion that is up", gap.Seconds()))
	}
	w.state(w.daemons[0], id)
	w.judge("LOST", broken)
}

const (
	// darkTime is how long the minion is dark: 4.5 s at most in the site file.
	darkTime = 4 * time.Second
	// backTime is how long it is up before it is lost for good.
	backTime = 600 * time.Millisecond
)

// playQuota: the cap of a tenant is lowered. While it uses under half of the cap and there is room, no job may wait.
func playQuota(w *world) {
	const (
		services, each         = 4, 4
		largestCPU, largestMem = 6000, 3000
		trafficTime            = 14 * time.Second
		finishTime             = 14 * time.Second
		// patience is the 3 s of the rule and some time for looking.
		patience = 3200 * time.Millisecond
	)
	for i := range services {
		for k := range each {
			w.cloud.add(w.fleet.start(minion{
				id: fmt.Sprintf("i-%d%03d", i, k+1), machine: fmt.Sprintf("m-%d%03d", i, k+1), pool: serviceName(i),
				zone: "zone-a", labels: []string{"r1-1"}, cpu: cpu, address: "127.0.0.1:0",
			}))
		}
	}
	w.configure(services, map[string]int{"cpu": 200000, "memMb": 400000, "gpus": 0})
	w.startDaemons(3)
	time.Sleep(2 * time.Second)
	limit := map[string]int{"cpu": 200000, "memMb": 400000, "gpus": 0}
	rng := rand.New(rand.NewSource(502))
	isOpen := make(map[string]bool)
	since := make(map[string]time.Time)
	begin := time.Now()
	isLowered := !w.hasTrouble
	for i := 0; time.Since(begin) < trafficTime; i++ {
		if !isLowered && time.Since(begin) > 4*time.Second {
			isLowered = true
			limit = map[string]int{"cpu": largestCPU * 24 / 10, "memMb": largestMem * 19 / 10, "gpus": 0}
			w.configure(services, limit)
		}
		id := fmt.Sprintf("%015xf", 0x5c0e7a210000000+i)
		w.queues[id] = rng.Intn(services)
		job := &jobSpec{Spec: "quota"}
		for range 1 + rng.Intn(2) {
			t := stepSpec{Count: 1 + rng.Intn(3), CPU: 100 + rng.Intn(largestCPU-100), MemMb: 50 + rng.Intn(largestMem-50), EstRuntimeMs: 300 + rng.Intn(1500)}
			switch rng.Intn(4) {
			case 0:
				t.CPU, t.MemMb = largestCPU, 100
			case 1:
				t.CPU, t.MemMb = 100, largestMem
			}
			job.Steps = append(job.Steps, t)
		}
		w.fleet.mu.Lock()
		w.fleet.jobs[id] = job
		w.fleet.mu.Unlock()
		if status, _ := w.call(w.daemons[i%3], http.MethodPost, id, job); status == http.StatusOK {
			isOpen[id] = true
		}
		time.Sleep(time.Duration(30+rng.Intn(220)) * time.Millisecond)
	}
	w.record.row("end of the traffic", "jobs", len(isOpen))
	ended := time.Now()
	for id := range isOpen {
		since[id] = ended
	}
	isDone := func(id string) bool {
		state := w.state(w.daemons[0], id)
		return state == "completed" || state == "failed" || state == ""
	}
	var broken []string
	askedAt := ended
	for ; time.Since(ended) < 85*time.Second && len(isOpen) > 0 && len(broken) < 10; time.Sleep(40 * time.Millisecond) {
		now := time.Now()
		cpuUsed, memUsed := w.usage(func(job string) { since[job] = now })
		isUnderHalf := 2*cpuUsed < limit["cpu"] && 2*memUsed < limit["memMb"]
		for id := range isOpen {
			if !isUnderHalf || !w.hasRoom(id, limit["cpu"]-cpuUsed, limit["memMb"]-memUsed) {
				since[id] = now
			}
		}
		isAsking := now.Sub(askedAt) > 2*time.Second
		if isAsking {
			askedAt = now
		}
		for id := range isOpen {
			isStarved := now.Sub(ended) > finishTime && now.Sub(since[id]) > patience
			switch {
			case !isStarved && !isAsking:
			case isDone(id):
				delete(isOpen, id)
			case isStarved:
				broken = append(broken, fmt.Sprintf("job %s has had nothing running for %.1f s, %.0f s after the end of the traffic; the tenant has %d of %d thousandths of a core and %d of %d MB; %d jobs wait",
					id, now.Sub(since[id]).Seconds(), now.Sub(ended).Seconds(), cpuUsed, limit["cpu"], memUsed, limit["memMb"], len(isOpen)))
				since[id] = now
			}
		}
	}
	w.record.row("end of the watch", "jobs that are open", len(isOpen))
	if !w.hasTrouble && len(isOpen) > 0 {
		broken = append(broken, fmt.Sprintf("%d jobs were not done", len(isOpen)))
	}
	w.judge("LOST", broken)
}

// hasRoom reports whether a task of a job waits that fits what is left of the cap, and for which its service has room
// twice over, with under half of the service's capacity in use. All steps of these jobs have their turn at once.
func (w *world) hasRoom(job string, cpuLeft, memLeft int) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	isRunning := make(map[string]bool)
	var room [][2]int
	total, used := [2]int{}, [2]int{}
	for _, n := range w.fleet.minions {
		free := [2]int{cpu, memMb}
		for _, r := range n.runs {
			isRunning[r.task] = true
			if s := w.fleet.stepOf(r.task); s != nil {
				free[0], free[1] = free[0]-s.CPU, free[1]-s.MemMb
			}
		}
		if n.pool != serviceName(w.queues[job]) {
			continue
		}
		room = append(room, free)
		total[0], total[1] = total[0]+cpu, total[1]+memMb
		used[0], used[1] = used[0]+cpu-free[0], used[1]+memMb-free[1]
	}
	if 2*used[0] >= total[0] || 2*used[1] >= total[1] {
		return false
	}
	for number, s := range w.fleet.jobs[job].Steps {
		places := 0
		for _, free := range room {
			places += min(free[0]/s.CPU, free[1]/s.MemMb)
		}
		if places < 2 || s.CPU > cpuLeft || s.MemMb > memLeft {
			continue
		}
		for index := range s.Count {
			if task := fmt.Sprintf("%s.0.%d.%d", job, number, index); !isRunning[task] && !w.fleet.hasEnded[task] {
				return true
			}
		}
	}
	return false
}

// usage returns what all runs take, and calls visit with the job of each.
func (w *world) usage(visit func(job string)) (cpuUsed, memUsed int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, n := range w.fleet.minions {
		for _, r := range n.runs {
			job, _ := taskName(r.task)
			visit(job)
			if s := w.fleet.stepOf(r.task); s != nil {
				cpuUsed, memUsed = cpuUsed+s.CPU, memUsed+s.MemMb
			}
		}
	}
	return cpuUsed, memUsed
}
