package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func noLabels(int) []string { return nil }

// playWave: an order of upkeep gets no answer and is carried out seconds later, and the steward that sent it is
// killed. The next one must not have more machines down than the wave allows.
func playWave(w *world) {
	const number, most = 1, 4
	minions := w.addMinions(16, noLabels)
	w.configure(3)
	wv := &wave{Wave: number, WithinS: 40, Cap: most}
	for _, n := range minions {
		wv.Machines = append(wv.Machines, n.machine)
	}
	w.cloud.waves[number] = wv
	var mu sync.Mutex
	var broken []string
	begun := 0
	w.cloud.onUpkeep = func(id string, down int) {
		mu.Lock()
		defer mu.Unlock()
		begun++
		if down >= most {
			broken = append(broken, fmt.Sprintf("the upkeep of %s begins while %d machines of its wave are down, %d may be", id, down, most))
		}
	}
	victim := make(chan string, 1)
	seen := 0
	var firstAt time.Time
	if w.hasTrouble {
		w.cloud.late = func(holder, _ string, number int) time.Duration {
			if number == 0 {
				return 0
			}
			if seen++; seen == 1 {
				firstAt = time.Now()
				victim <- holder
			}
			// Each second order of upkeep within a second.
			if seen%2 == 1 || time.Since(firstAt) > time.Second {
				return 0
			}
			return lateOrder
		}
	}
	w.startDaemons(3)
	time.Sleep(4 * time.Second)
	w.store.set("op/wave/1", wv)
	w.record.row("wave requested", "cap", most, "machines", len(wv.Machines))
	if w.hasTrouble {
		select {
		case name := <-victim:
			time.Sleep(100 * time.Millisecond)
			for _, d := range w.daemons {
				if d.name == name {
					d.kill()
					time.Sleep(darkTime)
					d.start()
				}
			}
		case <-time.After(20 * time.Second):
			w.fail("no order of upkeep came")
		}
	}
	w.within(40*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return begun == len(wv.Machines)
	})
	mu.Lock()
	defer mu.Unlock()
	if begun == 0 {
		w.fail("no upkeep began")
	}
	w.judge("LIMIT", broken)
}

const (
	// lateOrder is how long after its arrival an order without an answer is carried out: 2 to 12 s by the pages.
	lateOrder = 4 * time.Second
	// darkTime is how long a killed daemon stays away: 3.5 s at most in the site file.
	darkTime = 3500 * time.Millisecond
)

// playGang: a minion crashes under members of gangs, and later another one. All members of a gang must start again
// from the same checkpoint.
func playGang(w *world) {
	const gangs, members = 6, 3
	w.addMinions(8, noLabels)
	w.configure(3)
	var mu sync.Mutex
	// values holds the checkpoints of the starts by job, run and task.
	values := make(map[string]map[int]map[string]string)
	restarts := 0
	w.onStart = func(_ *minion, o order) {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := taskName(o.Task)
		if values[id] == nil {
			values[id] = make(map[int]map[string]string)
		}
		if values[id][o.RunID] == nil {
			values[id][o.RunID] = make(map[string]string)
		}
		values[id][o.RunID][o.Task] = o.LastCheckpoint
		restarts = max(restarts, o.RunID-1)
	}
	w.startDaemons(3)
	time.Sleep(3 * time.Second)
	var ids []string
	for i := range gangs {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b36f%d", i))
		w.submit(w.daemons[i%3], ids[i], &jobSpec{Spec: "gang", Steps: []stepSpec{
			{Count: members, CPU: 1000, MemMb: 100, EstRuntimeMs: 15000, Gang: true, Checkpoint: true, AntiAffinity: 1},
		}})
		time.Sleep(140 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if w.hasTrouble {
		for range 2 {
			victim := w.busiestMinion()
			w.record.row("minion crashes", "minion", victim.id)
			victim.crash()
			time.Sleep(crashTime)
			w.fleet.start(*victim)
			w.record.row("minion is back", "minion", victim.id)
			time.Sleep(4 * time.Second)
		}
	}
	isOpen := func(id string) bool { return w.state(w.daemons[0], id) != "completed" }
	w.within(35*time.Second, func() bool {
		time.Sleep(time.Second)
		return !slices.ContainsFunc(ids, isOpen)
	})
	var broken []string
	for _, id := range ids {
		mu.Lock()
		byRun := values[id]
		mu.Unlock()
		for run := 1; run <= len(byRun); run++ {
			distinct := make(map[string]bool)
			for _, value := range byRun[run] {
				distinct[value] = true
			}
			if len(distinct) > 1 {
				broken = append(broken, fmt.Sprintf("the members of run %d of the gang of job %s are started with different checkpoints: %v", run, id, byRun[run]))
				break
			}
		}
		w.record.row("job", "id", id, "starts of the gang", len(byRun), "completed", !isOpen(id))
	}
	if w.hasTrouble && restarts == 0 {
		w.fail("no gang was started again")
	}
	w.judge("UNASKED", broken)
}

// crashTime is how long a crashed minion is down: 4.5 s at most in the site file.
const crashTime = 3 * time.Second

// busiestMinion returns the minion with the most runs.
func (w *world) busiestMinion() (busiest *minion) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, n := range w.fleet.minions {
		if busiest == nil || len(n.runs) > len(busiest.runs) || len(n.runs) == len(busiest.runs) && n.id < busiest.id {
			busiest = n
		}
	}
	return busiest
}

// playPending: the only minion that may run a queue's jobs refuses all starts for a time. The queue must say that the
// jobs wait.
func playPending(w *world) {
	minions := w.addMinions(10, func(i int) []string {
		if i == 0 {
			return []string{"fast"}
		}
		return nil
	})
	w.configure(3)
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
		job, _, _ := taskName(o.Task)
		begun[job] = true
	}
	if w.hasTrouble {
		setGrey(true)
	}
	greyAt := time.Now()
	for i := range count {
		w.submit(w.daemons[i%3], fmt.Sprintf("5c0e7a21d94b36f%d", i), &jobSpec{Spec: "labelled", Steps: []stepSpec{
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
	const id = "5c0e7a21d94b36f8"
	minions := w.addMinions(10, func(i int) []string {
		if i == 0 {
			return []string{"fast"}
		}
		return nil
	})
	w.configure(3)
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
