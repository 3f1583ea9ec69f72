package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of the site rotavert.
const (
	maxHold      = 10 * time.Second
	stopGrace    = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	checkpointMs = 1000
	heartbeat    = 1500 * time.Millisecond
	maxEnds      = 500
)

// run is a run of a task on a minion.
type run struct {
	task    string
	number  int
	job     *job
	step    int
	started time.Time
	// worksSince is when the run began to work, zero while a gang is not complete; base is the
	// progress that it resumed from, in milliseconds.
	worksSince time.Time
	base       int64
	checkpoint string
	stopAt     time.Time
}

// progress returns the work done so far in milliseconds.
func (r *run) progress(now time.Time) int64 {
	if r.worksSince.IsZero() {
		return r.base
	}
	return r.base + now.Sub(r.worksSince).Milliseconds()
}

// saved returns the last checkpoint: a new one with each checkpointMs of work.
func (r *run) saved(now time.Time) string {
	if !r.job.Steps[r.step].Checkpoint {
		return ""
	}
	if p := r.progress(now) / checkpointMs * checkpointMs; p > r.base {
		return fmt.Sprintf("%08x%s", p, r.job.ID[8:])
	}
	return r.checkpoint
}

type end struct {
	number int64
	run    *run
	how    string
	saved  string
}

// minion is a stand-in for a worker. One value is one life of a machine.
type minion struct {
	w       *world
	id      string
	service string
	machine string
	zone    string
	labels  []string
	address string

	mu     sync.Mutex
	isUp   bool
	server *http.Server
	born   time.Time
	fence  int64
	until  int64
	runs   map[string]*run
	ends   []end
	ended  int64
	// highest is the highest number of a run of each task that was stopped or has ended.
	highest map[string]int
	seq     int
	wake    chan struct{}
	life    int
}

// up starts the minion, also after a crash, under the same id and address.
func (m *minion) up() {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		m.w.fail("minion %s cannot listen: %v", m.id, err)
	}
	m.mu.Lock()
	m.address = listener.Addr().String()
	m.isUp, m.born, m.fence, m.until, m.ended, m.seq = true, time.Now(), 0, 0, 0, 0
	m.runs, m.highest, m.ends = make(map[string]*run), make(map[string]int), nil
	m.wake = make(chan struct{})
	m.server = &http.Server{Handler: m}
	m.life++
	life := m.life
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go m.beat(life)
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			if !m.tick(life) {
				return
			}
		}
	}()
	m.w.rec("minion %s is up (life %d)", m.id, life)
}

// down ends the minion at once, as a crash does. Its entry in the store stays until it expires.
func (m *minion) down(why string) {
	m.mu.Lock()
	if !m.isUp {
		m.mu.Unlock()
		return
	}
	m.isUp = false
	server := m.server
	lost := len(m.runs)
	for _, r := range m.runs {
		if r.job.Steps[r.step].Gang {
			m.w.gangs.leave(r)
		}
		m.w.runEnded(r, m, "gone with its minion")
	}
	m.runs = make(map[string]*run)
	close(m.wake)
	m.wake = make(chan struct{})
	life := m.life
	m.mu.Unlock()
	_ = server.Close()
	m.w.rec("minion %s is down (%s), %d runs are gone", m.id, why, lost)
	time.AfterFunc(3*heartbeat, func() {
		m.mu.Lock()
		isGone := !m.isUp && m.life == life
		m.mu.Unlock()
		if isGone {
			m.w.store.Remove("servers/" + m.id)
		}
	})
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) beat(life int) {
	for {
		m.mu.Lock()
		if !m.isUp || m.life != life {
			m.mu.Unlock()
			return
		}
		m.seq++
		entry := map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": capacity, "labels": m.labels, "clockMs": m.clock(),
			"seq": m.seq, "born": m.born.UnixMilli(), "machine": m.machine,
		}
		m.mu.Unlock()
		m.w.store.Put("servers/"+m.id, entry)
		time.Sleep(heartbeat)
	}
}

// tick ends runs that are done, stopped or without a lease. It returns false once the life is over.
func (m *minion) tick(life int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUp || m.life != life {
		return false
	}
	now := time.Now()
	for _, r := range m.runs {
		step := &r.job.Steps[r.step]
		switch {
		case m.clock() > m.until:
			m.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(r, "stopped", now)
		case step.Gang && m.w.gangs.isBroken(r):
			m.end(r, "broken", now)
		case step.Gang && r.worksSince.IsZero():
			if since, ok := m.w.gangs.worksSince(r); ok {
				r.worksSince = since
			} else if now.Sub(r.started) > gangTimeout {
				m.end(r, "alone", now)
			}
		case !step.LongRunning && r.progress(now) >= r.job.workMs:
			m.end(r, "done", now)
		}
	}
	return true
}

// end lists the end of a run. The caller holds mu.
func (m *minion) end(r *run, how string, now time.Time) {
	m.ended++
	saved := r.saved(now)
	m.ends = append(m.ends, end{number: m.ended, run: r, how: how, saved: saved})
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	if r.job.Steps[r.step].Gang && how != "done" {
		m.w.gangs.leave(r)
	}
	close(m.wake)
	m.wake = make(chan struct{})
	m.w.runEnded(r, m, how)
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		reply(w, 200, nil)
		return
	}
	if id := r.Header.Get("X-Chicorypin-Expect-Instance"); id != "" && id != m.id {
		reply(w, 421, nil)
		return
	}
	var body struct {
		Task           string `json:"task"`
		RunID          int    `json:"runId"`
		Spec           string `json:"spec"`
		UntilMs        int64  `json:"untilMs"`
		FencingToken   int64  `json:"fencingToken"`
		LastCheckpoint string `json:"lastCheckpoint"`
		LastSeen       int64  `json:"lastSeen"`
		WaitMs         int64  `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, 400, nil)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUp {
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) {
		reply(w, 409, map[string]any{"clockMs": m.clock(), "reason": reason})
	}
	if body.FencingToken < m.fence {
		refuse("fence")
		return
	}
	m.fence = body.FencingToken
	extend := func() { m.until = max(m.until, min(body.UntilMs, m.clock()+maxHold.Milliseconds())) }
	ok := func() { reply(w, 200, map[string]any{"clockMs": m.clock()}) }
	switch r.URL.Path {
	case "/api/run-start":
		if present := m.runs[body.Task]; present != nil && present.number == body.RunID {
			extend()
			ok()
			return
		}
		if body.UntilMs <= m.clock() {
			refuse("late")
			return
		}
		extend()
		if body.RunID <= m.highest[body.Task] || m.runs[body.Task] != nil {
			refuse("old")
			return
		}
		started := m.w.newRun(m, body.Task, body.RunID, body.Spec, body.LastCheckpoint)
		if started == nil {
			reply(w, 400, nil)
			return
		}
		m.runs[body.Task] = started
		ok()
	case "/api/run-stop":
		m.highest[body.Task] = max(m.highest[body.Task], body.RunID)
		if present := m.runs[body.Task]; present != nil && present.number <= body.RunID && present.stopAt.IsZero() {
			present.stopAt = time.Now().Add(stopGrace / 2)
		}
		ok()
	case "/api/pace":
		ok()
	case "/api/hold":
		for len(m.ends) > 0 && m.ends[0].number <= body.LastSeen {
			m.w.noted(m.ends[0])
			m.ends = m.ends[1:]
		}
		if body.UntilMs > 0 {
			extend()
		}
		if len(m.ends) == 0 && body.WaitMs > 0 {
			life, wake := m.life, m.wake
			m.mu.Unlock()
			timer := time.NewTimer(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond)
			select {
			case <-wake:
			case <-timer.C:
			case <-r.Context().Done():
			}
			timer.Stop()
			m.mu.Lock()
			if !m.isUp || m.life != life {
				panic(http.ErrAbortHandler)
			}
		}
		now := time.Now()
		running, ends := [][]any{}, [][]any{}
		for _, p := range m.runs {
			percent := p.progress(now) * 100 / p.job.workMs
			if p.job.Steps[p.step].LongRunning {
				percent = 100
			}
			running = append(running, []any{p.task, p.number, p.saved(now), min(percent, 100), 0})
		}
		for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
			ends = append(ends, []any{e.number, e.run.task, e.run.number, e.how, e.saved})
		}
		reply(w, 200, map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ends})
	default:
		reply(w, 404, nil)
	}
}

// gangs knows which members of each run of a gang are there. The tasks of a gang work from when all
// of one run are present, with the same checkpoint.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]*run
	since   map[string]time.Time
	broken  map[string]bool
}

func newGangs() *gangs {
	return &gangs{members: make(map[string]map[string]*run), since: make(map[string]time.Time), broken: make(map[string]bool)}
}

func gangKey(r *run) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.Itoa(r.number)
}

func (g *gangs) join(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	if g.members[key] == nil {
		g.members[key] = make(map[string]*run)
	}
	g.members[key][r.task] = r
	if len(g.members[key]) < r.job.Steps[r.step].Count || !g.since[key].IsZero() {
		return
	}
	for _, other := range g.members[key] {
		if other.checkpoint != r.checkpoint {
			return
		}
	}
	g.since[key] = time.Now()
}

// leave records that a member is gone before the gang was done.
func (g *gangs) leave(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	delete(g.members[key], r.task)
	if !g.since[key].IsZero() {
		g.broken[key] = true
	}
}

func (g *gangs) worksSince(r *run) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.since[gangKey(r)]
	return since, ok
}

func (g *gangs) isBroken(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken[gangKey(r)]
}
