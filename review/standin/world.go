package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happens to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu,omitempty"`
	MemMb          int64  `json:"memMb,omitempty"`
	EstRuntimeMs   int64  `json:"estRuntimeMs,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpoint     bool   `json:"checkpoint,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Requires       string `json:"requires,omitempty"`
	AntiAffinity   int    `json:"antiAffinity,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	Affinity       string `json:"affinity,omitempty"`
	TargetMs       int64  `json:"targetMs,omitempty"`
	Image          string `json:"image,omitempty"`
	SameRack       bool   `json:"sameRack,omitempty"`
	GPUs           int64  `json:"gpus,omitempty"`

	work time.Duration
}

type job struct {
	id    string
	route *route
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	StartAtMs  int64 `json:"startAtMs,omitempty"`
	IntervalMs int64 `json:"intervalMs,omitempty"`
	Times      int   `json:"times,omitempty"`
}

// start is a start that a minion has begun on an order.
type start struct {
	at     time.Time
	task   string
	run    int
	minion string
	labels []string
	carry  string
}

type route struct {
	Name            string       `json:"name"`
	Host            string       `json:"host"`
	Prefix          string       `json:"prefix"`
	Type            string       `json:"type"`
	TimeoutMs       int          `json:"timeoutMs"`
	TargetLatencyMs int          `json:"targetLatencyMs"`
	Priority        int          `json:"priority"`
	Service         string       `json:"service"`
	MaxAttempts     int          `json:"maxAttempts"`
	Stretch         float64      `json:"stretch"`
	Anonymous       bool         `json:"anonymous"`
	Advice          *routeAdvice `json:"advice,omitempty"`
}

// routeAdvice holds the times of the advice service.
type routeAdvice struct {
	DecisionMs int64 `json:"decisionMs"`
	PeriodMs   int64 `json:"periodMs"`
	ValidMs    int64 `json:"validMs"`
}

// world holds the stand-ins of one case and the daemons under test.
type world struct {
	log     *recorder
	store   *store
	root    string
	folder  string
	trouble bool

	mu      sync.Mutex
	minions []*minion
	jobs    map[string]*job
	starts  []start
	ends    []runEnd
	noted   map[string]bool
	// gangs holds the members that are present by run of a gang, brokenGangs those of which
	// a member has ended.
	gangs       map[string]map[string]bool
	brokenGangs map[string]bool
	version     int
	// capCPU is the cap of the tenant.
	capCPU     int64
	daemons    []*daemon
	rows       int
	storeAddr  string
	cloudAddr  string
	adviceAddr string
}

type daemon struct {
	name  string
	front string
	ready string
	// settings is the content of the settings file.
	settings []byte
	cmd      *exec.Cmd
	done     chan struct{}
	// ends counts how often the process has ended by itself.
	ends int
}

const tenantKey = "k3yofatenant00000000"

func newWorld(root, out string) *world {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "chicorypin-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{
		log: &recorder{file: file, begun: time.Now()}, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0",
		capCPU: 689356, jobs: map[string]*job{}, noted: map[string]bool{}, gangs: map[string]map[string]bool{}, brokenGangs: map[string]bool{},
	}
	w.store = newStore(w.log)
	w.storeAddr = w.serve(w.store)
	go func() {
		last := time.Now()
		for {
			time.Sleep(tick)
			now := time.Now()
			w.mu.Lock()
			for _, m := range w.minions {
				m.advance(now.Sub(last))
			}
			w.mu.Unlock()
			last = now
		}
	}()
	return w
}

func (w *world) serve(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

// cannotRun ends the case as one that could not run.
func (w *world) cannotRun(format string, args ...any) {
	w.log.add("the case could not run: "+format, args...)
	w.exit(2)
}

func (w *world) exit(code int) {
	for _, d := range w.daemons {
		if d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	_ = os.RemoveAll(w.folder)
	result := map[int]string{0: "held", 1: "broken", 2: "could not run"}[code]
	w.log.add("result: %s", result)
	fmt.Println("result:", result)
	os.Exit(code)
}

// verdict ends the case; broken tells what broke the rule, empty if it held.
func (w *world) verdict(broken string) {
	if broken == "" {
		w.exit(0)
	}
	w.log.add("BROKEN: %s", broken)
	fmt.Println("BROKEN:", broken)
	w.exit(1)
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// settings returns the settings of a daemon as the template of the deploy file gives them.
func (w *world) settings(d *daemon, zone string) []byte {
	address := func() string { return "127.0.0.1:" + strconv.Itoa(freePort()) }
	d.front, d.ready = address(), address()
	fields := map[string]any{
		"name": d.name, "centre": zone, "submitters": d.front, "ready": d.ready, "peer": address(), "metrics": address(),
		"store": w.storeAddr, "orders": "request", "memory": 284, "power": 0.4, "stop": 6,
		"bounds": map[string]any{"hold": 10000, "lease": 3000, "kept": 120},
	}
	if w.cloudAddr != "" {
		fields["cloud"] = w.cloudAddr
	}
	if w.adviceAddr != "" {
		fields["advice"] = w.adviceAddr
	}
	data, _ := json.MarshalIndent(fields, "", "  ")
	return data
}

// launch starts a daemon with the command of the deploy file.
func (w *world) launch(d *daemon) {
	path := filepath.Join(w.folder, d.name+".json")
	if err := os.WriteFile(path, d.settings, 0o600); err != nil {
		w.cannotRun("settings: %v", err)
	}
	logs, err := os.OpenFile(filepath.Join(w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.cannotRun("log: %v", err)
	}
	cmd, done := exec.Command("target/chicorypind"), make(chan struct{})
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYPIN_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = logs, logs
	// Started is closed once the daemon runs. The thread that starts it has to live as long,
	// since the daemon is to end with the script, however that ends.
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		started <- cmd.Start()
		_ = cmd.Wait()
		_ = logs.Close()
		close(done)
	}()
	if err := <-started; err != nil {
		w.cannotRun("start of the daemon: %v", err)
	}
	w.mu.Lock()
	d.cmd, d.done = cmd, done
	w.mu.Unlock()
}

// isReady reports whether a daemon is ready.
func (d *daemon) isReady() bool {
	resp, err := http.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// startDaemons starts entries, one in each zone.
func (w *world) startDaemons(count int) {
	for i := range count {
		d := &daemon{name: fmt.Sprintf("edge-z%d-1", i+1)}
		d.settings = w.settings(d, fmt.Sprintf("z%d", i+1))
		w.launch(d)
		w.daemons = append(w.daemons, d)
	}
	deadline := time.Now().Add(20 * time.Second)
	for i, d := range w.daemons {
		for !d.isReady() {
			select {
			case <-d.done:
				// Another process has taken one of the ports.
				d.settings = w.settings(d, fmt.Sprintf("z%d", i+1))
				w.launch(d)
			default:
			}
			if time.Now().After(deadline) {
				w.cannotRun("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The cells are taken over and the minions listed.
	time.Sleep(3 * time.Second)
	w.log.add("%d daemons are ready", count)
}

// addMinions adds minions of a service that are up.
func (w *world) addMinions(service string, count int, cpu, memMb int64, labels func(i int) []string) {
	for i := range count {
		m := &minion{
			w: w, id: fmt.Sprintf("i-%s-%02d", service, i+1), machine: fmt.Sprintf("m-%s-%02d", service, i+1), service: service,
			zone: fmt.Sprintf("z%d", i%3+1), cpu: cpu, memMb: memMb, labels: labels(i),
		}
		w.mu.Lock()
		w.minions = append(w.minions, m)
		w.mu.Unlock()
		m.start()
	}
}

func plainLabels(i int) []string { return []string{"a", fmt.Sprintf("r1-%d", i/4+1)} }

// configure writes a new version of the configuration.
func (w *world) configure(routes []*route, services ...string) {
	w.version += 3
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "cugo130", "apiKeys": []string{tenantKey}, "priority": 1, "weight": 54,
			"cap": map[string]int64{"cpu": w.capCPU, "memMb": 1718175, "gpus": 0},
		}},
	})
	w.log.add("operator: version %d of the configuration is acknowledged, cap of the tenant %d", w.version, w.capCPU)
}

func newRoute(name, service string) *route {
	return &route{
		Name: "r-" + name, Host: "jobs.example", Prefix: "/" + name + "/", Type: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 600,
		Service: service, MaxAttempts: 3, Stretch: 1.6,
	}
}

func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

var client = &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends a request of a client to a daemon; the status is 0 without an answer.
func (w *world) call(d *daemon, method string, r *route, id string, body []byte) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+d.front+r.Prefix+id, bytes.NewReader(body))
	if err != nil {
		w.cannotRun("%v", err)
	}
	request.Host = r.Host
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Chicorypin-Deadline-Ms", "3000")
	resp, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in, with retries at other daemons as the pages say, and reports
// whether it was accepted.
func (w *world) submit(j *job, tries int) bool {
	if j.id == "" {
		j.id = newID()
	}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		w.cannotRun("%v", err)
	}
	for try := range tries {
		d := w.daemons[(int(j.id[0])+try)%len(w.daemons)]
		status, answer := w.call(d, http.MethodPost, j.route, j.id, body)
		w.log.add("client: POST %s%s (%d bytes) at %s -> %d %.120s", j.route.Prefix, j.id, len(body), d.name, status, answer)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job at each daemon until one answers with 200 or 410.
func (w *world) state(j *job) (status int, answer string) {
	for _, d := range w.daemons {
		status, answer = w.call(d, http.MethodGet, j.route, j.id, nil)
		if status == 200 || status == 410 {
			break
		}
	}
	w.log.add("client: GET %s%s -> %d %s", j.route.Prefix, j.id, status, answer)
	return status, answer
}

// findTask returns the job and the step of a task. The caller holds the lock.
func (w *world) findTask(task string) (j *job, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	j = w.jobs[parts[0]]
	step, _ = strconv.Atoi(parts[2])
	if j == nil || step >= len(j.Steps) {
		return nil, 0
	}
	return j, step
}

// maxRows is the number of lines on starts and ends in the record. The rest is counted.
const maxRows = 400

// addRow adds a line on a start or an end. The caller holds the lock.
func (w *world) addRow(format string, args ...any) {
	w.rows++
	switch {
	case w.rows <= maxRows:
		w.log.add(format, args...)
	case w.rows%1000 == 0:
		w.log.add("%d starts, %d ends so far; the last: %s", len(w.starts), len(w.ends), fmt.Sprintf(format, args...))
	}
}

// gangKey names a run of a gang: the task without its index, and the run.
func gangKey(t *taskRun) string {
	return fmt.Sprintf("%s/%d", t.task[:strings.LastIndexByte(t.task, '.')], t.run)
}

// runStarted notes a start. The caller holds the lock.
func (w *world) runStarted(m *minion, t *taskRun) {
	w.starts = append(w.starts, start{time.Now(), t.task, t.run, m.id, m.labels, t.carry})
	w.addRow("minion %s starts %s run %d, lastCheckpoint %q", m.id, t.task, t.run, t.carry)
	if s := t.spec(); s != nil && s.Gang {
		key := gangKey(t)
		if w.gangs[key] == nil {
			w.gangs[key] = map[string]bool{}
		}
		w.gangs[key][t.task] = true
	}
}

func (w *world) runEnded(m *minion, t *taskRun, e runEnd) {
	w.ends = append(w.ends, e)
	w.addRow("minion %s lists end %d: %s run %d %s, saved %q", m.id, e.n, e.task, e.run, e.how, e.saved)
	if s := t.spec(); s != nil && s.Gang && e.how != "done" {
		w.brokenGangs[gangKey(t)] = true
	}
}

// runGone notes that a run has ended with its minion. The caller holds the lock.
func (w *world) runGone(t *taskRun) {
	if s := t.spec(); s != nil && s.Gang {
		w.brokenGangs[gangKey(t)] = true
	}
}

func (w *world) endNoted(m *minion, e runEnd) {
	key := fmt.Sprintf("%s/%d", e.task, e.run)
	if !w.noted[key] {
		w.noted[key] = true
		w.addRow("minion %s: end %d of %s run %d is taken note of", m.id, e.n, e.task, e.run)
	}
}

// gangState reports whether all members of the run are present, and whether one has ended.
func (w *world) gangState(t *taskRun) (isWhole, isBroken bool) {
	key := gangKey(t)
	return len(w.gangs[key]) == t.spec().Count, w.brokenGangs[key]
}

// running returns the minions on which a task of the job runs, by task.
func (w *world) running(j *job) map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := map[string]string{}
	for _, m := range w.minions {
		for name := range m.runs {
			if strings.HasPrefix(name, j.id) {
				list[name] = m.id
			}
		}
	}
	return list
}

func (w *world) minion(id string) *minion {
	for _, m := range w.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}
