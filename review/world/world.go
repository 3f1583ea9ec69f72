// Command world plays one case of the review: it starts the entries of a small deployment as separate
// processes, stands in for the platform, the minions, the operator and the clients, brings the
// disruption of the case about, and checks a rule by what clients, minions and the platform have seen.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
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

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// capacity is that of every minion.
var capacity = map[string]int{"cpu": 16000, "memMb": 65536, "gpus": 0}

// step and job are written as clients write them.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMb        int    `json:"memMb"`
	EstRuntimeMs int    `json:"estRuntimeMs,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
}

type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	// workMs is how long each task works.
	workMs int64
}

type entry struct {
	name, front, path string
	cmd               *exec.Cmd
	exited            chan struct{}
}

type world struct {
	bin       string
	dir       string
	isTrouble bool
	// isTerse keeps the starts and ends of single runs out of the record.
	isTerse bool
	store   *store
	cloud   *cloud
	gangs   *gangs
	storeAt string
	cloudAt string

	mu       sync.Mutex
	record   *bufio.Writer
	began    time.Time
	jobs     map[string]*job
	minions  []*minion
	entries  []*entry
	broken   []string
	present  map[string]*run
	failures map[string]int
	// onStart and onEnd are called for each run, with mu held.
	onStart func(r *run, m *minion)
	onEnd   func(r *run, m *minion, how string)
}

// rec writes a line to the record.
func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recLocked(format, args...)
}

func (w *world) recLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(format, args...)
}

func (w *world) breaksLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.recLocked("BROKEN: %s", text)
}

func (w *world) brokenCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken)
}

// fail ends the program: the case could not run.
func (w *world) fail(format string, args ...any) {
	w.rec("the case could not run: %s", fmt.Sprintf(format, args...))
	w.exit(exitNotRun)
}

// exit ends all processes that were started, and the program.
func (w *world) exit(code int) {
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	w.rec("exit code %d", code)
	w.mu.Lock()
	_ = w.record.Flush()
	os.Exit(code)
}

func (w *world) addMinion(m *minion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.minions = append(w.minions, m)
}

// newRun adds a run that a minion was told to start, nil if it is of no job. The caller holds m.mu.
func (w *world) newRun(m *minion, task string, number int, spec, checkpoint string) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 || w.jobs[parts[0]] == nil {
		w.breaksLocked("UNASKED: %s is told to start %s, which no client sent", m.id, task)
		return nil
	}
	j := w.jobs[parts[0]]
	number0, _ := strconv.Atoi(parts[2])
	if spec != j.Spec {
		w.breaksLocked("UNASKED: %s is told to start %s with another spec", m.id, task)
	}
	r := &run{task: task, number: number, job: j, step: number0, started: time.Now(), checkpoint: checkpoint}
	if len(checkpoint) >= 8 {
		r.base, _ = strconv.ParseInt(checkpoint[:8], 16, 64)
	}
	if !w.isTerse {
		w.recLocked("%s starts %s run %d, lastCheckpoint %q", m.id, task, number, checkpoint)
	}
	if other := w.present[task]; other != nil {
		w.breaksLocked("TWICE: %s run %d starts while run %d is there", task, number, other.number)
	}
	w.present[task] = r
	if j.Steps[r.step].Gang {
		w.gangs.join(r)
	} else {
		r.worksSince = r.started
	}
	if w.onStart != nil {
		w.onStart(r, m)
	}
	return r
}

// runEnded records the end of a run. The caller holds m.mu.
func (w *world) runEnded(r *run, m *minion, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.present[r.task] == r {
		delete(w.present, r.task)
	}
	if how == "failed" {
		w.failures[r.task]++
	}
	if !w.isTerse {
		w.recLocked("%s: %s run %d ends: %s, after %.1f s", m.id, r.task, r.number, how, time.Since(r.started).Seconds())
	}
	if w.onEnd != nil {
		w.onEnd(r, m, how)
	}
}

// noted is called when the system has taken note of an end.
func (w *world) noted(e end) {}

// minion returns the last life of a machine's minion.
func (w *world) minionOf(machine string) *minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.minions) - 1; i >= 0; i-- {
		if w.minions[i].machine == machine {
			return w.minions[i]
		}
	}
	return nil
}

// serve listens on a free port of the loopback interface.
func (w *world) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// freeAddress returns an address with a port that was free just now.
func (w *world) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startEntries writes the settings of entries as the deploy file's template does, and starts them.
func (w *world) startEntries(count int) {
	for i := range count {
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), front: w.freeAddress()}
		e.path = filepath.Join(w.dir, e.name+".json")
		settings := map[string]any{
			"name": e.name, "centre": fmt.Sprintf("zone-%d", i%3+1), "submitters": e.front, "ready": w.freeAddress(), "peer": w.freeAddress(),
			"metrics": w.freeAddress(), "store": w.storeAt, "cloud": w.cloudAt, "orders": "request", "memory": 284, "power": 0.4, "stop": 6,
			"bounds": map[string]any{"hold": 10000, "lease": 3000, "kept": 120},
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err == nil {
			err = os.WriteFile(e.path, data, 0o600)
		}
		if err != nil {
			w.fail("settings: %v", err)
		}
		w.entries = append(w.entries, e)
		w.start(e)
	}
}

func (w *world) start(e *entry) {
	logs, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("log: %v", err)
	}
	cmd := exec.Command(w.bin)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "CHICORYPIN_CONFIG=" + e.path}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited := make(chan struct{})
	started := make(chan error, 1)
	// The parent's thread must live as long as the process, or Pdeathsig ends it.
	go func() {
		runtime.LockOSThread()
		started <- cmd.Start()
		_ = cmd.Wait()
		_ = logs.Close()
		close(exited)
	}()
	if err := <-started; err != nil {
		w.fail("%s: %v", e.name, err)
	}
	e.cmd, e.exited = cmd, exited
	w.rec("%s is started", e.name)
}

// kill ends an entry with SIGKILL and starts it again after a pause, as the platform does.
func (w *world) kill(name string, pause time.Duration) {
	for _, e := range w.entries {
		if e.name == name {
			_ = e.cmd.Process.Kill()
			<-e.exited
			w.rec("%s is killed", name)
			time.AfterFunc(pause, func() { w.start(e) })
		}
	}
}

// call makes a client's call to an entry and returns the status and the body.
func (w *world) call(e *entry, method, path string, body any) (status int, answer string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			w.fail("%v", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, reader)
	if err != nil {
		w.fail("%v", err)
	}
	request.Host = "jobs.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer key-of-tenant")
	request.Header.Set("X-Chicorypin-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in until it is accepted.
func (w *world) submit(j *job, patience time.Duration) {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	deadline := time.Now().Add(patience)
	for i := 0; ; i++ {
		e := w.entries[i%len(w.entries)]
		status, answer := w.call(e, http.MethodPost, "/q/"+j.ID, j)
		w.rec("client: POST %s at %s: %d %s", j.ID, e.name, status, answer)
		if status/100 == 2 {
			return
		}
		if time.Now().After(deadline) {
			w.fail("job %s was not accepted in %s", j.ID, patience)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state returns the state of a job that an entry shows, empty if none does.
func (w *world) state(j *job) string {
	for _, e := range w.entries {
		status, answer := w.call(e, http.MethodGet, "/q/"+j.ID, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(answer), &body) == nil {
			return body.State
		}
		if status == 410 {
			return "410"
		}
	}
	return ""
}

// await polls the state of a job until it is one of the given ones, or the time is over.
func (w *world) await(j *job, limit time.Duration, states ...string) string {
	deadline := time.Now().Add(limit)
	last := ""
	for time.Now().Before(deadline) {
		if state := w.state(j); state != last && state != "" {
			w.rec("client: GET %s: %s", j.ID, state)
			last = state
		}
		for _, s := range states {
			if last == s {
				return last
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

func (w *world) cancel(j *job) {
	for range 10 {
		for _, e := range w.entries {
			status, answer := w.call(e, http.MethodDelete, "/q/"+j.ID, nil)
			w.rec("client: DELETE %s at %s: %d %s", j.ID, e.name, status, answer)
			if status/100 == 2 || status == 410 {
				return
			}
		}
	}
}

// route is a queue of the configuration.
type route struct {
	name, service string
	isAnonymous   bool
}

// configure writes the operator's configuration: two queues whose jobs run in the pool main, and a
// pool on standby if there is one.
func (w *world) configure(hasStandby bool) {
	w.configureAs(7, route{name: "r-q", service: "main"}, hasStandby)
}

// configureAs is configure for another version and first queue, and with more services.
func (w *world) configureAs(version int, r route, hasStandby bool, more ...string) {
	service := func(name string, isStandby bool) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": isStandby,
		}
	}
	queue := func(r route, prefix string) map[string]any {
		return map[string]any{
			"name": r.name, "host": "jobs.example", "prefix": prefix, "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 2500,
			"priority": 0, "service": r.service, "maxAttempts": 4, "stretch": 2.2, "anonymous": r.isAnonymous,
		}
	}
	services := []any{service("main", false)}
	for _, name := range more {
		services = append(services, service(name, false))
	}
	if hasStandby {
		w.cloud.standby["spare"] = true
		services = append(services, service("spare", true))
	}
	w.store.Put("op/config", map[string]any{
		"version": version,
		"routes":  []any{queue(r, "/q/"), queue(route{name: "r-z", service: "main"}, "/z/")},

		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "tenant", "apiKeys": []string{"key-of-tenant"}, "priority": 1, "weight": 1,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpus": 0},
		}},
	})
}

func main() {
	name := flag.String("case", "", "the case to play")
	bin := flag.String("bin", "", "the entry program")
	record := flag.String("record", "", "the record to write")
	dir := flag.String("dir", "", "a folder for settings and logs")
	flag.Parse()
	play := cases[*name]
	file, err := os.Create(*record)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(exitNotRun)
	}
	w := &world{
		bin: *bin, dir: *dir, isTrouble: os.Getenv("TROUBLE") != "0", store: newStore(), gangs: newGangs(),
		record: bufio.NewWriter(file), began: time.Now(), jobs: make(map[string]*job), present: make(map[string]*run),
		failures: make(map[string]int),
	}
	w.cloud = newCloud(w)
	w.storeAt, w.cloudAt = w.serve(w.store), w.serve(w.cloud)
	time.AfterFunc(110*time.Second, func() { w.fail("the case takes too long") })
	w.rec("case %s, trouble %v", *name, w.isTrouble)
	play(w)
	w.mu.Lock()
	broken := len(w.broken)
	w.mu.Unlock()
	if broken > 0 {
		w.exit(exitBroken)
	}
	w.exit(exitHeld)
}
