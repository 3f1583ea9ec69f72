package main

import (
	"encoding/json"
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
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 100 * time.Millisecond
	maxEnds   = 500
	// cpu and memMb are the size of a minion.
	cpu   = 16000
	memMb = 64000
)

// fleet holds the minions and the jobs that the clients have sent, by which the minions know how
// long a task is at work.
type fleet struct {
	world *world
	mu    sync.Mutex
	jobs  map[string]*jobSpec
	// minions are those that are up, by ID.
	minions map[string]*minion
	// done holds when the end of a run that was done was taken note of, by task.
	done map[string]time.Time
	// hasEnded tells which tasks have a run that ended done, taken note of or not.
	hasEnded map[string]bool
}

// jobSpec is a job as its client sends it.
type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMb        int    `json:"memMb"`
	EstRuntimeMs int    `json:"estRuntimeMs"`
	Requires     string `json:"requires,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Image        string `json:"image,omitempty"`
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
	// registerAfter is how long after its start the minion first writes its entry.
	registerAfter time.Duration

	server *http.Server
	stop   chan struct{}
	born   time.Time

	// The mutex of the fleet guards the fields from here on. A dark minion answers nothing.
	isUp      bool
	isDark    bool
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
	stopAt  time.Time
}

type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// taskName splits the name of a task.
func taskName(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
	}
	return parts[0], step
}

func (f *fleet) stepOf(task string) *stepSpec {
	job, step := taskName(task)
	if j := f.jobs[job]; j != nil && step < len(j.Steps) {
		return &j.Steps[step]
	}
	return nil
}

// start brings a minion up at its address, as a new incarnation.
func (f *fleet) start(m minion) *minion {
	n := &minion{
		fleet: f, id: m.id, machine: m.machine, pool: m.pool, zone: m.zone, labels: m.labels, cpu: m.cpu, address: m.address,
		registerAfter: m.registerAfter, stop: make(chan struct{}), born: time.Now(), isUp: true, runs: make(map[string]*taskRun), highest: make(map[string]int),
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
	n.lose(false)
	_ = n.server.Close()
}

// goDark ends a minion whose machine loses power: its runs are gone, and nothing at its address answers until
// restart is called.
func (n *minion) goDark() { n.lose(true) }

// restart brings a dark minion up again, under its ID and at its address.
func (n *minion) restart() *minion {
	_ = n.server.Close()
	return n.fleet.start(*n)
}

func (n *minion) lose(isDark bool) {
	f := n.fleet
	f.mu.Lock()
	n.isUp, n.isDark = false, isDark
	for _, r := range n.runs {
		f.world.record.row("gone", "minion", n.id, "task", r.task, "run", r.number)
	}
	n.runs = make(map[string]*taskRun)
	delete(f.minions, n.id)
	f.mu.Unlock()
	close(n.stop)
}

// run registers the minion and lets its runs work.
func (n *minion) run() {
	work := time.NewTicker(10 * time.Millisecond)
	defer work.Stop()
	next := time.Now().Add(n.registerAfter)
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
		"seq": n.seq, "capacity": map[string]int{"cpu": n.cpu, "memMb": memMb, "gpus": 0}, "labels": n.labels,
		"machine": n.machine, "born": n.born.UnixMilli(), "clockMs": n.clock(), "coldRemainingMs": 0,
	}
	isUp := n.isUp
	n.fleet.mu.Unlock()
	if isUp {
		n.fleet.world.store.set("servers/"+n.id, entry)
	}
}

func (n *minion) clock() int64 { return time.Since(n.born).Milliseconds() }

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
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			n.end(r, "stopped")
		case n.clock() >= n.holdUntil:
			n.end(r, "lapsed")
		case s != nil && !s.LongRunning && r.progress(now) >= int64(s.EstRuntimeMs):
			n.end(r, "done")
		}
	}
}

// progress returns for how long the run has been at work, in milliseconds.
func (r *taskRun) progress(now time.Time) int64 { return now.Sub(r.startAt).Milliseconds() }

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
	n.fleet.hasEnded[r.task] = n.fleet.hasEnded[r.task] || how == "done"
	n.lastEnd++
	n.ends = append(n.ends, taskEnd{n.lastEnd, r.task, r.number, how})
	n.fleet.world.record.row("ended", "minion", n.id, "task", r.task, "run", r.number, "how", how)
	close(n.changed)
	n.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
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
		n.abort(r)
	}
	if late := n.fleet.world.late; late != nil {
		if delay := late(n, r.URL.Path, o); delay > 0 {
			n.fleet.mu.Unlock()
			time.AfterFunc(delay, func() { n.fleet.carryOut(n.id, r.URL.Path, o) })
			// No answer: the caller gives up.
			<-r.Context().Done()
			return
		}
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

// abort ends a call to a minion that is gone: at once, or once the caller gives up if the minion is dark.
func (n *minion) abort(r *http.Request) {
	if n.isDark {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// carryOut carries a start out that got no answer. The minion may have started again under its ID since.
func (f *fleet) carryOut(id, path string, o order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.minions[id]
	if n == nil || o.FencingToken < n.fence || path != "/api/run-start" {
		return
	}
	status, reason := n.startRun(o)
	f.world.record.row("late start", "minion", id, "clock", n.clock(), "task", o.Task, "run", o.RunID, "status", status, "reason", reason)
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
	n.runs[o.Task] = &taskRun{task: o.Task, number: o.RunID, startAt: time.Now()}
	rec.row("started", "minion", n.id, "task", o.Task, "run", o.RunID, "fence", o.FencingToken)
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
		f.world.record.row("end noted", "minion", n.id, "task", n.ends[0].task, "run", n.ends[0].run, "how", n.ends[0].how)
		if n.ends[0].how == "done" {
			f.done[n.ends[0].task] = time.Now()
		}
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
	if !n.isUp {
		f.mu.Unlock()
		n.abort(r)
	}
	running, ended := []any{}, []any{}
	for _, run := range n.sorted() {
		percent := 100
		if s := f.stepOf(run.task); s != nil && !s.LongRunning && s.EstRuntimeMs > 0 {
			percent = min(int(100*run.progress(time.Now())/int64(s.EstRuntimeMs)), 99)
		}
		running = append(running, []any{run.task, run.number, "", percent, 100})
	}
	for _, e := range n.ends[:min(len(n.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": n.clock(), "born": n.born.UnixMilli(), "running": running, "ended": ended}
	f.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}
