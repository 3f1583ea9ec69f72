package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, a cloud, minions and daemons, all on loopback addresses.
type world struct {
	root, dir  string
	record     *record
	store      *store
	fleet      *fleet
	cloud      *cloud
	daemons    []*daemon
	hasTrouble bool
	// version is that of the last configuration, queues the number of the queue of each job, 0 if none is given.
	version int
	queues  map[string]int
	onStart func(n *minion, o order)
	// late decides how long after its arrival an order to a minion is carried out without an answer, 0 for at once
	// and answered. It is called with the mutex of the fleet held.
	late      func(n *minion, path string, o order) time.Duration
	listeners []net.Listener
}

// record writes the rows of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) row(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.begin).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, line)
}

// daemon is a process of the deploy file's role.
type daemon struct {
	world    *world
	name     string
	settings string
	front    string
	ready    string
	command  *exec.Cmd
	done     chan struct{}
}

func newWorld(root, recordPath string) *world {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "world3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{root: root, dir: dir, record: &record{file: file, begin: time.Now()}, store: newStore(), queues: make(map[string]int), hasTrouble: os.Getenv("TROUBLE") != "0"}
	w.record.row("begins", "trouble", w.hasTrouble)
	w.fleet = &fleet{world: w, jobs: make(map[string]*jobSpec), minions: make(map[string]*minion), done: make(map[string]time.Time), hasEnded: make(map[string]bool)}
	w.cloud = newCloud(w.fleet)
	return w
}

// fail ends the case as one that could not run.
func (w *world) fail(format string, args ...any) {
	w.record.row("the case could not run: " + fmt.Sprintf(format, args...))
	w.finish(2)
}

// finish ends all processes and exits.
func (w *world) finish(code int) {
	for _, d := range w.daemons {
		d.kill()
	}
	w.record.row("ends", "exit", code)
	_ = os.RemoveAll(w.dir)
	os.Exit(code)
}

// judge ends the case: broken names what broke the rule, empty if nothing did.
func (w *world) judge(rule string, broken []string) {
	for _, text := range broken {
		w.record.row("BROKEN "+rule+":", "what", text)
		fmt.Println("BROKEN", rule+":", text)
	}
	if len(broken) > 0 {
		w.finish(1)
	}
	fmt.Println("held:", rule)
	w.finish(0)
}

func (w *world) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// freeAddresses returns a number of addresses on which nothing listens, on a loopback address that depends on this
// process, so that the connections of other programs do not take their ports.
func (w *world) freeAddresses(count int) (list []string) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+len(w.daemons), pid>>8&255, pid&255)
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			w.fail("%v", err)
		}
		defer listener.Close()
		list = append(list, listener.Addr().String())
	}
	return list
}

// startDaemons starts a number of daemons, as the deploy file says, and waits until they are ready.
func (w *world) startDaemons(count int) {
	storeAddress, cloudAddress := w.serve(w.store), w.serve(w.cloud)
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "settings.json"))
	if err != nil {
		w.fail("%v", err)
	}
	for i := range count {
		free := w.freeAddresses(4)
		d := &daemon{world: w, name: fmt.Sprintf("edge-%d", i+1), front: free[0], ready: free[1]}
		peer, metrics := free[2], free[3]
		text := strings.NewReplacer(
			"{{nodeName}}", d.name, "{{zone}}", []string{"zone-a", "zone-b", "zone-c"}[i%3],
			"{{listenAddrs.front}}", d.front, "{{listenAddrs.ready}}", d.ready,
			"{{ip}}:{{portRange.0}}", peer, "{{ip}}:7015", metrics,
			"{{platform.address}}", storeAddress, "{{cloudApi.address}}", cloudAddress, "{{advice}}", "", "{{orders}}", "request",
			"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{limits.cpuShare}}", "0.4", "{{bounds.graceS}}", "6",
			"{{bounds.maxHoldMs}}", "10000", "{{bounds.leaseMs}}", "3000", "{{bounds.status_s}}", "120",
		).Replace(string(template))
		d.settings = filepath.Join(w.dir, d.name+".json")
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			w.fail("%v", err)
		}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	for _, d := range w.daemons {
		if !w.within(15*time.Second, d.isReady) {
			w.fail("%s is not ready", d.name)
		}
	}
	w.record.row("daemons are ready", "count", count)
}

func (d *daemon) start() {
	logs, err := os.OpenFile(filepath.Join(d.world.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.world.fail("%v", err)
	}
	d.command = exec.Command(filepath.Join(d.world.root, "target", "chicorypind"))
	d.command.Env = []string{"CHICORYPIN_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	// The daemon ends with this process, also if that is killed. main keeps the thread that starts it.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.command.Dir, d.command.Stdout, d.command.Stderr = d.world.root, logs, logs
	if os.Getenv("LOGS") != "" {
		file, err := os.OpenFile(filepath.Join(os.Getenv("LOGS"), d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			d.command.Stdout, d.command.Stderr = file, file
		}
	}
	if err := d.command.Start(); err != nil {
		d.world.fail("%s: %v", d.name, err)
	}
	d.done = make(chan struct{})
	go func() {
		_ = d.command.Wait()
		close(d.done)
	}()
	d.world.record.row("daemon starts", "name", d.name, "pid", d.command.Process.Pid)
}

// kill ends the process with SIGKILL and waits for its end.
func (d *daemon) kill() {
	if d.done == nil {
		return // It was never started.
	}
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.done
	d.world.record.row("daemon killed", "name", d.name)
}

func (d *daemon) isReady() bool {
	resp, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// within waits until a condition holds, for a time at most, and reports whether it does.
func (w *world) within(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

var client = &http.Client{Timeout: 4 * time.Second}

const host = "jobs.example"

// call makes a call of a client of the queue of a job and records it.
func (w *world) call(d *daemon, method, id string, body any) (status int, answer string) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s/q%d/%s", d.front, w.queues[id], id), bytes.NewReader(data))
	request.Host = host
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("X-Chicorypin-Deadline-Ms", "3000")
	sentAt := time.Now()
	resp, err := client.Do(request)
	if err != nil {
		w.record.row("call", "method", method, "id", id, "at", d.name, "error", err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	answer = strings.TrimSpace(string(text))
	w.record.row("call", "method", method, "id", id, "at", d.name, "status", resp.StatusCode, "answer", answer, "took", time.Since(sentAt).Milliseconds())
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (w *world) submit(d *daemon, id string, job *jobSpec) {
	w.fleet.mu.Lock()
	w.fleet.jobs[id] = job
	w.fleet.mu.Unlock()
	for range 40 {
		if status, _ := w.call(d, http.MethodPost, id, job); status >= 200 && status < 300 {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.fail("job %s was not accepted", id)
}

// state returns the state of a job as a daemon shows it, empty without an answer.
func (w *world) state(d *daemon, id string) string {
	status, answer := w.call(d, http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// configure writes a configuration with one queue for each of a number of services. limit is the cap of the tenant, nil
// for none.
func (w *world) configure(services int, limit map[string]int) {
	w.version += 2
	tenant := map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "weight": 10.0}
	if limit != nil {
		tenant["cap"] = limit
	}
	var routes, list []any
	for i := range services {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-q%d", i), "host": host, "prefix": fmt.Sprintf("/q%d/", i), "service": serviceName(i), "timeoutMs": 3000,
			"priority": 0, "maxAttempts": 3, "stretch": 8.0, "targetLatencyMs": 20000,
		})
		list = append(list, map[string]any{"name": serviceName(i), "admissionCheck": false})
	}
	w.store.set("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": list, "tenants": []any{tenant}, "limits": map[string]any{"maxBodyBytes": 262144},
	})
	w.record.row("configuration", "version", w.version, "cap", limit)
}

func serviceName(i int) string { return fmt.Sprintf("svc-%d", i) }

// addMinions starts a number of minions of the service, each on a machine of its own. labels returns the labels of
// each beside its rack.
func (w *world) addMinions(count int, labels func(i int) []string) (list []*minion) {
	for i := range count {
		n := w.fleet.start(minion{
			id: fmt.Sprintf("i-%04d", i+1), machine: fmt.Sprintf("m-%04d", i+1), pool: serviceName(0), zone: []string{"zone-a", "zone-b", "zone-c"}[i%3],
			labels: append([]string{fmt.Sprintf("r1-%d", i/4+1)}, labels(i)...), cpu: cpu, address: "127.0.0.1:0",
		})
		w.cloud.add(n)
		list = append(list, n)
	}
	return list
}
