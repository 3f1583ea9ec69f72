package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Bounds of the minions; those of the sites rotavert and kumagera-hkd.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopGrace   = 200 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	gangTimeout = 3 * time.Second
	tick        = 10 * time.Millisecond
	warmUp      = 100 * time.Millisecond
	maxEnds     = 500
)

type taskRun struct {
	task   string
	run    int
	job    *job
	step   int
	carry  string
	since  time.Time
	worked time.Duration
	saved  string
	// stopAt is when the run ends by a stop, zero if none was ordered.
	stopAt time.Time
	hasEnd bool
}

type runEnd struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// minion is one life of a machine.
type minion struct {
	w       *world
	id      string
	machine string
	service string
	zone    string
	labels  []string
	cpu     int64
	memMb   int64
	addr    string
	isUp    bool

	born    time.Time
	token   int64
	until   time.Duration
	runs    map[string]*taskRun
	highest map[string]int
	ended   []runEnd
	lastEnd int64
	seq     int
	state   string
	server  *http.Server
	changed chan struct{}
	life    int
	// quiet is how long the minion is up before it registers.
	quiet time.Duration
	// isCut reports that the minion is cut off: it runs on, and no call reaches it.
	isCut bool
	// isGone reports that the machine has another minion.
	isGone bool
}

// start brings the minion up as a new incarnation. It holds and knows nothing of before.
func (m *minion) start() {
	m.w.mu.Lock()
	m.life++
	life := m.life
	m.born, m.token, m.until, m.lastEnd, m.seq = time.Now(), 0, 0, 0, 0
	m.runs, m.highest, m.ended = map[string]*taskRun{}, map[string]int{}, nil
	m.isUp, m.state, m.changed = true, "ready", make(chan struct{})
	m.w.mu.Unlock()
	address := m.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 200 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		m.w.cannotRun("minion %s: %v", m.id, err)
	}
	m.w.mu.Lock()
	m.addr = l.Addr().String()
	m.server = &http.Server{Handler: m.handler(life)}
	server := m.server
	m.w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	m.w.log.add("minion %s is up as born %d at %s, labels %v, cpu %d", m.id, m.born.UnixMilli(), m.addr, m.labels, m.cpu)
	go func() {
		time.Sleep(m.quiet)
		for {
			m.w.mu.Lock()
			isCurrent := m.isUp && m.life == life
			m.w.mu.Unlock()
			if !isCurrent {
				return
			}
			m.register()
			time.Sleep(heartbeat)
		}
	}()
}

// crash ends the minion without notice: what runs there ends, and its port is closed.
func (m *minion) crash() {
	m.w.mu.Lock()
	m.isUp = false
	var gone []string
	for _, r := range m.runs {
		gone = append(gone, fmt.Sprintf("%s run %d", r.task, r.run))
		m.w.runGone(r)
	}
	m.runs = map[string]*taskRun{}
	server := m.server
	m.w.mu.Unlock()
	_ = server.Close()
	m.w.log.add("minion %s crashes with %d runs: %.300s", m.id, len(gone), strings.Join(gone, ", "))
}

// isCutOff reports whether the minion is cut off.
func (m *minion) isCutOff() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.isCut
}

// cut cuts the minion off, or ends that.
func (m *minion) cut(isCut bool) {
	m.w.mu.Lock()
	m.isCut = isCut
	until := m.until - m.clock()
	m.w.mu.Unlock()
	m.w.log.add("minion %s cut off: %v; the lease of what runs there lasts another %d ms", m.id, isCut, until.Milliseconds())
}

func (m *minion) register() {
	if m.isCutOff() {
		return
	}
	m.w.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state,
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpus": 0},
		"labels": m.labels, "clockMs": m.clock().Milliseconds(), "seq": m.seq, "born": m.born.UnixMilli(), "machine": m.machine,
	}
	m.w.mu.Unlock()
	m.w.store.put("servers/"+m.id, entry)
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

func (m *minion) handler(life int) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(w http.ResponseWriter, r *http.Request, body []byte)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			data := make([]byte, 0, 512)
			buffer := make([]byte, 4096)
			for {
				n, err := r.Body.Read(buffer)
				data = append(data, buffer[:n]...)
				if err != nil {
					break
				}
			}
			w.Header().Set("X-Chicorypin-Instance-Id", m.id)
			if want := r.Header.Get("X-Chicorypin-Expect-Instance"); want != "" && want != m.id {
				reply(w, 421, empty{})
				return
			}
			m.w.mu.Lock()
			isCurrent := m.isUp && m.life == life
			m.w.mu.Unlock()
			if !isCurrent {
				panic(http.ErrAbortHandler)
			}
			if m.isCutOff() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			f(w, r, data)
		})
	}
	handle("/health", func(w http.ResponseWriter, _ *http.Request, _ []byte) { reply(w, 200, empty{}) })
	handle("/api/run-start", m.serveStart)
	handle("/api/run-stop", m.serveStop)
	handle("/api/pace", m.servePace)
	handle("/api/hold", m.serveHold)
	return mux
}

type receipt struct {
	ClockMs int64  `json:"clockMs"`
	Reason  string `json:"reason,omitempty"`
}

func (m *minion) receipt(reason string) receipt { return receipt{m.clock().Milliseconds(), reason} }

// fence reports whether a call has a lower token than one before. The caller holds the lock.
func (m *minion) fence(token int64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

func (m *minion) hold(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, m.clock()+maxHold)
	m.until = max(m.until, until)
}

func (m *minion) serveStart(w http.ResponseWriter, _ *http.Request, data []byte) {
	var body struct {
		Task           string `json:"task"`
		RunID          int    `json:"runId"`
		Spec           string `json:"spec"`
		UntilMs        int64  `json:"untilMs"`
		FencingToken   int64  `json:"fencingToken"`
		LastCheckpoint string `json:"lastCheckpoint"`
	}
	if json.Unmarshal(data, &body) != nil {
		reply(w, 400, empty{})
		return
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.fence(body.FencingToken) {
		reply(w, 409, m.receipt("fence"))
		return
	}
	present := m.runs[body.Task]
	if present != nil && present.run == body.RunID {
		m.hold(body.UntilMs)
		reply(w, 200, m.receipt(""))
		return
	}
	if body.RunID <= m.highest[body.Task] || present != nil {
		m.hold(body.UntilMs)
		reply(w, 409, m.receipt("old"))
		return
	}
	if time.Duration(body.UntilMs)*time.Millisecond <= m.clock() {
		reply(w, 409, m.receipt("late"))
		return
	}
	m.hold(body.UntilMs)
	j, step := m.w.findTask(body.Task)
	r := &taskRun{task: body.Task, run: body.RunID, job: j, step: step, carry: body.LastCheckpoint, saved: body.LastCheckpoint, since: time.Now()}
	r.worked = parseCheckpoint(body.LastCheckpoint)
	m.runs[body.Task] = r
	m.w.runStarted(m, r)
	reply(w, 200, m.receipt(""))
}

func (m *minion) serveStop(w http.ResponseWriter, _ *http.Request, data []byte) {
	var body struct {
		Task         string `json:"task"`
		RunID        int    `json:"runId"`
		FencingToken int64  `json:"fencingToken"`
	}
	_ = json.Unmarshal(data, &body)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.fence(body.FencingToken) {
		reply(w, 409, m.receipt("fence"))
		return
	}
	m.highest[body.Task] = max(m.highest[body.Task], body.RunID)
	if r := m.runs[body.Task]; r != nil && r.run <= body.RunID && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	reply(w, 200, m.receipt(""))
}

func (m *minion) servePace(w http.ResponseWriter, _ *http.Request, data []byte) {
	var body struct {
		FencingToken int64 `json:"fencingToken"`
	}
	_ = json.Unmarshal(data, &body)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.fence(body.FencingToken) {
		reply(w, 409, m.receipt("fence"))
		return
	}
	reply(w, 200, m.receipt(""))
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request, data []byte) {
	var body struct {
		UntilMs      int64 `json:"untilMs"`
		FencingToken int64 `json:"fencingToken"`
		LastSeen     int64 `json:"lastSeen"`
		WaitMs       int64 `json:"waitMs"`
	}
	_ = json.Unmarshal(data, &body)
	deadline := time.After(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond)
	isOver := body.WaitMs == 0
	m.w.mu.Lock()
	for {
		if m.fence(body.FencingToken) {
			reply(w, 409, m.receipt("fence"))
			m.w.mu.Unlock()
			return
		}
		if body.UntilMs > 0 {
			m.hold(body.UntilMs)
		}
		kept := m.ended[:0]
		for _, e := range m.ended {
			if e.n > body.LastSeen {
				kept = append(kept, e)
			} else {
				m.w.endNoted(m, e)
			}
		}
		m.ended = kept
		if len(m.ended) > 0 || isOver || !m.isUp {
			break
		}
		changed := m.changed
		m.w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		m.w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range m.runs {
		running = append(running, []any{t.task, t.run, t.saved, t.percent()})
	}
	for _, e := range m.ended[:min(len(m.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	if m.isCut {
		// The answer is lost.
		m.w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer := struct {
		ClockMs int64   `json:"clockMs"`
		Born    int64   `json:"born"`
		Running [][]any `json:"running"`
		Ended   [][]any `json:"ended"`
	}{m.clock().Milliseconds(), m.born.UnixMilli(), running, ended}
	m.w.mu.Unlock()
	reply(w, 200, answer)
}

func (t *taskRun) spec() *step {
	if t.job == nil {
		return nil
	}
	return &t.job.Steps[t.step]
}

func (t *taskRun) percent() int {
	s := t.spec()
	switch {
	case s == nil:
		return 0
	case s.LongRunning:
		if time.Since(t.since) > warmUp {
			return 100
		}
		return 0
	default:
		return int(100 * t.worked / s.work)
	}
}

// end ends a run and lists its end. The caller holds the lock.
func (m *minion) end(t *taskRun, how string) {
	if t.hasEnd {
		return
	}
	t.hasEnd = true
	delete(m.runs, t.task)
	m.highest[t.task] = max(m.highest[t.task], t.run)
	if s := t.spec(); how == "stopped" && s != nil && s.Checkpoint {
		t.saved = checkpoint(t.job.id, t.worked)
	}
	m.lastEnd++
	e := runEnd{n: m.lastEnd, task: t.task, run: t.run, how: how, saved: t.saved}
	m.ended = append(m.ended, e)
	m.w.runEnded(m, t, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

// advance lets the runs of the minion work for a tick. The caller holds the lock.
func (m *minion) advance(passed time.Duration) {
	if !m.isUp {
		return
	}
	now := time.Now()
	for _, t := range m.runs {
		s := t.spec()
		switch {
		case m.clock() > m.until:
			m.end(t, "lapsed")
			continue
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			m.end(t, "stopped")
			continue
		case s == nil:
			continue
		}
		if s.Gang {
			isWhole, isBroken := m.w.gangState(t)
			if isBroken {
				m.end(t, "broken")
				continue
			}
			if !isWhole {
				if now.Sub(t.since) > gangTimeout {
					m.end(t, "alone")
				}
				continue
			}
		}
		if s.LongRunning {
			continue
		}
		before := t.worked
		t.worked += passed
		if s.Checkpoint && before/checkpointEvery != t.worked/checkpointEvery {
			t.saved = checkpoint(t.job.id, t.worked/checkpointEvery*checkpointEvery)
		}
		if t.worked >= s.work {
			m.end(t, "done")
		}
	}
}

// checkpointEvery is the checkpointS of the site rotavert-now-grown.
const checkpointEvery = 500 * time.Millisecond

// checkpoint returns the text of a checkpoint in the form of the example of the pages.
func checkpoint(id string, worked time.Duration) string {
	return fmt.Sprintf("%08x%s", worked.Milliseconds(), id[4:12])
}

func parseCheckpoint(text string) time.Duration {
	var ms int64
	if len(text) < 8 {
		return 0
	}
	_, _ = fmt.Sscanf(strings.TrimLeft(text[:8], " "), "%x", &ms)
	return time.Duration(ms) * time.Millisecond
}
