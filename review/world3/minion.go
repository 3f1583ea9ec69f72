package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the minions, within the bounds of PROTOCOL.md and of the site sheets.
const (
	heartbeat       = 1500 * time.Millisecond
	maxHold         = 10 * time.Second
	stopTime        = 100 * time.Millisecond
	checkpointEvery = time.Second
	gangTimeout     = 3 * time.Second
	maxEnds         = 500
)

// fleet holds the minions and the jobs that the clients have sent, by which the minions know how
// long a task is at work.
type fleet struct {
	world *world
	mu    sync.Mutex
	jobs  map[string]*jobSpec
	// minions are those that are up, by ID.
	minions map[string]*minion
}

// jobSpec is a job as its client sends it.
type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

type stepSpec struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu"`
	MemMb          int    `json:"memMb"`
	EstRuntimeMs   int    `json:"estRuntimeMs"`
	After          []int  `json:"after,omitempty"`
	Checkpoint     bool   `json:"checkpoint,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Requires       string `json:"requires,omitempty"`
	AntiAffinity   int    `json:"antiAffinity,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	Image          string `json:"image,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
}

// minion is one incarnation of a minion.
type minion struct {
	fleet   *fleet
	id      string
	machine string
	pool    string
	zone    string
	labels  []string
	cpu     int
	address string

	server *http.Server
	stop   chan struct{}
	born   time.Time

	// The mutex of the fleet guards the fields from here on.
	isUp      bool
	isGrey    bool
	fence     int64
	holdUntil int64
	runs      map[string]*taskRun
	highest   map[string]int
	ends      []taskEnd
	lastEnd   int64
	seq       int
	changed   chan struct{}
}

type taskRun struct {
	task    string
	number  int
	startAt time.Time
	// startedFrom is the checkpoint that the start carried, from the progress that it stands for in milliseconds.
	startedFrom string
	from        int64
	// worked is the work of this run in milliseconds, since workedAt.
	worked   int64
	workedAt time.Time
	saved    string
	stopAt   time.Time
}

type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// taskName splits the name of a task.
func taskName(task string) (job string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
		index, _ = strconv.Atoi(parts[3])
	}
	return parts[0], step, index
}

func (f *fleet) stepOf(task string) *stepSpec {
	job, step, _ := taskName(task)
	if j := f.jobs[job]; j != nil && step < len(j.Steps) {
		return &j.Steps[step]
	}
	return nil
}

// start brings a minion up at its address, as a new incarnation.
func (f *fleet) start(m minion) *minion {
	n := &minion{
		fleet: f, id: m.id, machine: m.machine, pool: m.pool, zone: m.zone, labels: m.labels, cpu: m.cpu, address: m.address,
		stop: make(chan struct{}), born: time.Now(), isUp: true, runs: make(map[string]*taskRun), highest: make(map[string]int),
		changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		f.world.fail("minion %s: %v", n.id, err)
	}
	n.address = listener.Addr().String()
	n.server = &http.Server{Handler: n}
	go func() { _ = n.server.Serve(listener) }()
	f.mu.Lock()
	f.minions[n.id] = n
	f.mu.Unlock()
	go n.run()
	return n
}

// crash ends a minion without notice: it is not at its address any more, and its runs are gone.
func (n *minion) crash() {
	f := n.fleet
	f.mu.Lock()
	n.isUp = false
	for _, r := range n.runs {
		f.world.record.row("gone", "minion", n.id, "task", r.task, "run", r.number)
	}
	n.runs = make(map[string]*taskRun)
	delete(f.minions, n.id)
	f.mu.Unlock()
	close(n.stop)
	_ = n.server.Close()
}

// leave ends a minion that the platform takes down: its entry is removed too.
func (n *minion) leave() {
	n.crash()
	n.fleet.world.store.set("servers/"+n.id, nil)
}

// run registers the minion and lets its runs work.
func (n *minion) run() {
	work := time.NewTicker(10 * time.Millisecond)
	defer work.Stop()
	next := time.Now()
	for {
		if !time.Now().Before(next) {
			next = time.Now().Add(heartbeat)
			n.register()
		}
		select {
		case <-n.stop:
			return
		case <-work.C:
			n.work()
		}
	}
}

func (n *minion) register() {
	n.fleet.mu.Lock()
	n.seq++
	entry := map[string]any{
		"service": n.pool, "address": n.address, "zone": n.zone, "version": "v1", "slots": 8, "state": "ready",
		"seq": n.seq, "capacity": map[string]int{"cpu": n.cpu, "memMb": 64000, "gpus": 0}, "labels": n.labels,
		"machine": n.machine, "born": n.born.UnixMilli(), "clockMs": n.clock(), "coldRemainingMs": 0,
	}
	isUp := n.isUp
	n.fleet.mu.Unlock()
	if isUp {
		n.fleet.world.store.set("servers/"+n.id, entry)
	}
}

func (n *minion) clock() int64 { return time.Since(n.born).Milliseconds() }

// members returns the runs of a gang's run, by index of the task.
func (f *fleet) members(task string, number int) map[int]*taskRun {
	job, step, _ := taskName(task)
	found := make(map[int]*taskRun)
	for _, n := range f.minions {
		for _, r := range n.runs {
			j, s, index := taskName(r.task)
			if j == job && s == step && r.number == number {
				found[index] = r
			}
		}
	}
	return found
}

// isGangWhole reports whether all members of a gang's run are present. Members that were started from different
// checkpoints do not work together: all must carry the same value.
func (f *fleet) isGangWhole(run *taskRun, count int) bool {
	members := f.members(run.task, run.number)
	for _, r := range members {
		if r.startedFrom != run.startedFrom {
			return false
		}
	}
	return len(members) == count
}

// work advances the runs and ends those that are due.
func (n *minion) work() {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !n.isUp {
		return
	}
	now := time.Now()
	for _, r := range n.sorted() {
		s := f.stepOf(r.task)
		isWhole := true
		if s != nil && s.Gang {
			isWhole = f.isGangWhole(r, s.Count)
		}
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			r.save(s, r.from+r.worked)
			n.end(r, "stopped")
			continue
		case n.clock() >= n.holdUntil:
			n.end(r, "lapsed")
			continue
		case s == nil:
			continue
		case s.Gang && !isWhole && r.worked > 0:
			n.end(r, "broken")
			continue
		case s.Gang && !isWhole && now.Sub(r.startAt) >= gangTimeout:
			n.end(r, "alone")
			continue
		}
		if !r.workedAt.IsZero() && isWhole {
			every := checkpointEvery.Milliseconds()
			before := (r.from + r.worked) / every
			r.worked = now.Sub(r.workedAt).Milliseconds()
			if count := (r.from + r.worked) / every; count > before {
				r.save(s, count*every)
			}
		} else if isWhole {
			r.workedAt = now
		}
		if !s.LongRunning && r.from+r.worked >= int64(s.EstRuntimeMs) {
			n.end(r, "done")
			if s.Gang {
				f.endGang(r)
			}
		}
	}
}

// endGang ends the other members of a gang that is done.
func (f *fleet) endGang(done *taskRun) {
	job, step, _ := taskName(done.task)
	for _, n := range f.minions {
		for _, r := range n.sorted() {
			if j, s, _ := taskName(r.task); j == job && s == step && r.number == done.number {
				n.end(r, "done")
			}
		}
	}
}

// save makes a checkpoint of a progress in milliseconds. Members of a gang with the same progress have the same value.
func (r *taskRun) save(s *stepSpec, progress int64) {
	if s != nil && s.Checkpoint {
		r.saved = fmt.Sprintf("%08x%s", progress, r.task[4:12])
	}
}

func (n *minion) sorted() []*taskRun {
	list := make([]*taskRun, 0, len(n.runs))
	for _, r := range n.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

func (n *minion) end(r *taskRun, how string) {
	delete(n.runs, r.task)
	n.highest[r.task] = max(n.highest[r.task], r.number)
	n.lastEnd++
	n.ends = append(n.ends, taskEnd{n.lastEnd, r.task, r.number, how, r.saved})
	n.fleet.world.record.row("ended", "minion", n.id, "task", r.task, "run", r.number, "how", how, "saved", r.saved)
	close(n.changed)
	n.changed = make(chan struct{})
}

type order struct {
	Task           string `json:"task"`
	RunID          int    `json:"runId"`
	Spec           string `json:"spec"`
	UntilMs        int64  `json:"untilMs"`
	FencingToken   int64  `json:"fencingToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       int64  `json:"lastSeen"`
	WaitMs         int64  `json:"waitMs"`
}

// ServeHTTP serves the calls of PROTOCOL.md, "Running tasks".
func (n *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Chicorypin-Expect-Instance"); expected != "" && expected != n.id {
		n.reply(w, http.StatusMisdirectedRequest, "")
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		n.reply(w, http.StatusBadRequest, "")
		return
	}
	n.fleet.mu.Lock()
	if !n.isUp {
		n.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < n.fence {
		n.fleet.mu.Unlock()
		n.reply(w, http.StatusConflict, "fence")
		return
	}
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := n.startRun(o)
		n.fleet.mu.Unlock()
		n.reply(w, status, reason)
	case "/api/run-stop":
		n.fence = o.FencingToken
		n.highest[o.Task] = max(n.highest[o.Task], o.RunID)
		if run := n.runs[o.Task]; run != nil && run.number <= o.RunID && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		n.fleet.mu.Unlock()
		n.reply(w, http.StatusOK, "")
	case "/api/pace":
		n.fence = o.FencingToken
		n.fleet.mu.Unlock()
		n.reply(w, http.StatusOK, "")
	case "/api/hold":
		n.hold(w, r, o)
	default:
		n.fleet.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (n *minion) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": n.clock(), "born": n.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

// startRun starts a run. The caller holds the mutex of the fleet.
func (n *minion) startRun(o order) (status int, reason string) {
	rec := n.fleet.world.record
	if n.isGrey {
		rec.row("start refused", "minion", n.id, "task", o.Task, "run", o.RunID, "status", 503)
		return http.StatusServiceUnavailable, ""
	}
	n.fence = o.FencingToken
	if run := n.runs[o.Task]; run != nil && run.number == o.RunID {
		return http.StatusOK, ""
	}
	if o.RunID <= n.highest[o.Task] || n.runs[o.Task] != nil {
		n.extend(o.UntilMs)
		return http.StatusConflict, "old"
	}
	if o.UntilMs <= n.clock() {
		return http.StatusConflict, "late"
	}
	n.extend(o.UntilMs)
	run := &taskRun{task: o.Task, number: o.RunID, startAt: time.Now(), saved: o.LastCheckpoint, startedFrom: o.LastCheckpoint}
	if len(o.LastCheckpoint) == 16 {
		run.from, _ = strconv.ParseInt(o.LastCheckpoint[:8], 16, 64)
	}
	n.runs[o.Task] = run
	rec.row("started", "minion", n.id, "task", o.Task, "run", o.RunID, "checkpoint", o.LastCheckpoint, "fence", o.FencingToken)
	if hook := n.fleet.world.onStart; hook != nil {
		hook(n, o)
	}
	return http.StatusOK, ""
}

func (n *minion) extend(until int64) {
	n.holdUntil = max(n.holdUntil, min(until, n.clock()+maxHold.Milliseconds()))
}

// hold lists the runs and the ends. The caller holds the mutex of the fleet, which hold releases.
func (n *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	f := n.fleet
	n.fence = o.FencingToken
	if o.UntilMs > 0 {
		n.extend(o.UntilMs)
	}
	for len(n.ends) > 0 && n.ends[0].number <= o.LastSeen {
		n.ends = n.ends[1:]
	}
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for isOver := false; len(n.ends) == 0 && !isOver; {
		changed := n.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		f.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for _, run := range n.sorted() {
		percent := 100
		if s := f.stepOf(run.task); s != nil && !s.LongRunning && s.EstRuntimeMs > 0 {
			percent = int(100 * (run.from + run.worked) / int64(s.EstRuntimeMs))
		}
		running = append(running, []any{run.task, run.number, run.saved, percent, 100})
	}
	for _, e := range n.ends[:min(len(n.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clockMs": n.clock(), "born": n.born.UnixMilli(), "running": running, "ended": ended}
	f.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}
