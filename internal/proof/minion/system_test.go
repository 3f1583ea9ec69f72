package minion

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

const (
	accountKey = "k3yofateam0000000000"
	queueHost  = "jobs.example"
	pool       = "pool-a"
	otherPool  = "pool-b"
	// storeLatency is the time that each call to the store takes. Starts are sent when their records
	// are stored, so they are under way for at least as long.
	storeLatency = 8 * time.Millisecond
	// entryMemory is the memory that an entry may use, in megabytes.
	entryMemory = 284
	// timeout ends a wait that would fail anyway.
	timeout = 30 * time.Second
)

// systemConfig configures a system.
type systemConfig struct {
	entries, endpoints int
	// listingDelay is the time from copying the runs for a listing to reading the clock for it.
	listingDelay time.Duration
	// isSilent makes the requests that an endpoint has received when it is killed stay unanswered,
	// instead of breaking their connections.
	isSilent bool
	// hasOtherPool puts each second endpoint into otherPool.
	hasOtherPool bool
	// hasLinks puts links before the endpoints instead of forwarders, with this outage.
	hasLinks bool
	outage   outage
	// memory is the memory that each entry may use in megabytes, entryMemory if it is 0. descriptors is the
	// number of descriptors, 0 for the usual one.
	memory, descriptors int
	seed                uint64
}

// system is a set of entries and endpoints that run as processes, and a store.
type system struct {
	t         testing.TB
	config    systemConfig
	store     *keyvalue.Store
	address   netip.AddrPort
	record    *record
	entries   []*entryProcess
	endpoints []*endpointHost
	client    *http.Client

	mu sync.Mutex
	// jobs are the IDs of the accepted jobs.
	jobs []string
}

// entryProcess is an entry that runs as a process.
type entryProcess struct {
	name              string
	submitters, ready netip.AddrPort
	logPath           string
	settingsPath      string
	command           *exec.Cmd
}

// newSystem starts a system and returns once all its entries serve jobs.
func newSystem(t testing.TB, config systemConfig) *system {
	t.Helper()
	s := &system{
		t: t, config: config, store: keyvalue.New(), record: &record{},
		client: &http.Client{Timeout: 4 * time.Second},
	}
	s.store.SetDelay(storeLatency)
	s.address = startServer(t, newStoreHandler(s.store))
	s.configure(3, pool)
	for i := range config.endpoints {
		s.endpoints = append(s.endpoints, s.startEndpoint(i))
	}
	for i := range config.entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for _, e := range s.entries {
		s.await(e.name+" is ready", func() bool {
			status, _ := s.call(http.MethodGet, fmt.Sprintf("http://%s/api/ready", e.ready), nil)
			return status == http.StatusOK
		})
	}
	s.await("a job is accepted", func() bool { return s.submit(0, config.seed) })
	s.await("that job is completed", func() bool { return s.state(s.jobs[0]) == "completed" })
	return s
}

func (s *system) await(what string, isMet func() bool) {
	s.t.Helper()
	if !await.Until(timeout, isMet) {
		s.t.Fatalf("timed out before %s", what)
	}
}

// configure writes a version of the configuration, with one queue to a pool.
func (s *system) configure(version int, target string) {
	var services []map[string]any
	for _, name := range []string{pool, otherPool} {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
			"admissionCheck": false, "standby": false,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-tasks", "host": queueHost, "prefix": "/tasks/", "type": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": target, "maxAttempts": 3, "stretch": 1.6, "anonymous": false,
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "team", "apiKeys": []string{accountKey}, "priority": 1, "weight": 100,
			"cap": map[string]int64{"cpu": 1_000_000, "memMb": 4_000_000, "gpus": 0},
		}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op/config", data)
}

// startEntry starts an entry and kills it at the end of the test.
func (s *system) startEntry(number int) *entryProcess {
	s.t.Helper()
	folder := s.t.TempDir()
	e := &entryProcess{
		name: fmt.Sprintf("entry-%d", number+1), submitters: freeAddress(s.t), ready: freeAddress(s.t),
		logPath: filepath.Join(folder, "log"),
	}
	fields := map[string]any{
		"name": e.name, "centre": fmt.Sprintf("z%d", number+1), "submitters": e.submitters, "ready": e.ready,
		"peer": freeAddress(s.t), "metrics": freeAddress(s.t), "store": s.address, "orders": "request",
		"memory": cmp.Or(s.config.memory, entryMemory), "power": 1, "stop": 6,
		"bounds": map[string]any{"hold": 10000, "lease": 3000, "kept": 120},
	}
	if s.config.descriptors > 0 {
		fields["descriptors"] = s.config.descriptors
	}
	settings, err := json.Marshal(fields)
	if err != nil {
		s.t.Fatal(err)
	}
	e.settingsPath = filepath.Join(folder, "settings.json")
	if err = os.WriteFile(e.settingsPath, settings, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err = e.start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		e.kill()
		if folder := os.Getenv("LOGS"); s.t.Failed() && folder != "" {
			_ = os.Rename(e.logPath, filepath.Join(folder, s.t.Name()+"-"+e.name+".log"))
		}
	})
	return e
}

// start starts the process. Its log is appended to that of the one before.
func (e *entryProcess) start() error {
	logFile, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	e.command = exec.Command(program, e.settingsPath)
	e.command.Stdout, e.command.Stderr = logFile, logFile
	return e.command.Start()
}

// kill kills the process with SIGKILL and waits until it has ended.
func (e *entryProcess) kill() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}

// endpointHost runs the incarnations of an endpoint behind a forwarder, one at a time.
type endpointHost struct {
	t       testing.TB
	config  endpointConfig
	record  *record
	process *exec.Cmd
	stdin   io.WriteCloser
	rows    *incarnationRecord
	// done is closed when the process has ended and its rows are recorded.
	done chan struct{}
	// link is nil behind a forwarder.
	link *link
}

func (s *system) poolOf(number int) string {
	if s.config.hasOtherPool && number%2 == 1 {
		return otherPool
	}
	return pool
}

// startEndpoint starts an endpoint and kills it at the end of the test.
func (s *system) startEndpoint(number int) *endpointHost {
	s.t.Helper()
	listen := freeAddress(s.t)
	h := &endpointHost{t: s.t, record: s.record, config: endpointConfig{
		ID: fmt.Sprintf("i-%08x", 0x1f049c00+number), Pool: s.poolOf(number), Centre: fmt.Sprintf("z%d", number%3+1),
		Listen: listen, Store: s.address, ListingDelay: s.config.listingDelay, CPU: capacityCPU,
	}}
	if s.config.hasLinks {
		h.config.CPU = recutCPU
		h.link = startLink(s.t, listen, s.config.outage)
		h.config.Registered, h.config.Clock = h.link.address(), firstClock
	} else {
		h.config.Registered = startForwarder(s.t, listen, s.config.isSilent)
	}
	h.start()
	s.t.Cleanup(h.kill)
	return h
}

// start starts the next incarnation.
func (h *endpointHost) start() {
	config, err := json.Marshal(h.config)
	if err != nil {
		h.t.Error(err)
		return
	}
	h.process = exec.Command(os.Args[0])
	h.process.Env = append(os.Environ(), endpointVariable+"="+string(config))
	h.process.Stderr = os.Stderr
	h.stdin, _ = h.process.StdinPipe()
	rows, err := h.process.StdoutPipe()
	if err != nil {
		h.t.Error(err)
		return
	}
	if err = h.process.Start(); err != nil {
		h.t.Error(err)
		return
	}
	h.rows, h.done = h.record.newIncarnation(h.config.ID), make(chan struct{})
	go h.collect(h.process, rows, h.rows, h.done)
}

// collect records the rows of an incarnation until it has ended.
func (h *endpointHost) collect(process *exec.Cmd, rows io.Reader, incarnation *incarnationRecord, done chan struct{}) {
	defer close(done)
	for decoder := json.NewDecoder(rows); ; {
		var r row
		if decoder.Decode(&r) != nil {
			break
		}
		incarnation.add(r)
	}
	_ = process.Wait()
	incarnation.close()
}

// kill kills the incarnation with SIGKILL and waits until it has ended.
func (h *endpointHost) kill() {
	h.rows.kill(boot.Now())
	_ = h.process.Process.Signal(syscall.SIGKILL)
	<-h.done
}

// call makes a request as a submitter. The status is 0 without a response.
func (s *system) call(method, url string, body []byte) (status int, content string) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Chicorypin-Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit submits a job of a few tasks at an entry, and reports whether it was accepted. number
// determines its ID.
func (s *system) submit(entry int, number uint64) bool {
	return s.submitSpec(entry, number, "s", 4)
}

// submitSpec is submit with the spec of the job and its number of tasks.
func (s *system) submitSpec(entry int, number uint64, spec string, tasks int) bool {
	id := fmt.Sprintf("%016x", number)
	body := fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":500,"memMb":256,"estRuntimeMs":1000}]}`, spec, tasks)
	for range 3 {
		status, _ := s.call(http.MethodPost, s.jobURL(entry, id), body)
		switch {
		case status/100 == 2:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.jobs = append(s.jobs, id)
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			return false
		}
	}
	return false
}

func (s *system) jobURL(entry int, id string) string {
	return fmt.Sprintf("http://%s/tasks/%s", s.entries[entry].submitters, id)
}

// state returns the state of an accepted job, empty if it is unknown.
func (s *system) state(id string) string {
	_, content := s.call(http.MethodGet, s.jobURL(0, id), nil)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(content), &body)
	return body.State
}

// logLines returns the lines of the logs of all entries that contain a text.
func (s *system) logLines(text string) string {
	var lines strings.Builder
	for _, e := range s.entries {
		data, _ := os.ReadFile(e.logPath)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				lines.WriteString(e.name + " " + line)
			}
		}
	}
	return lines.String()
}

// portsTried is the number of ports that freeAddress has tried. The ports lie below the
// ephemeral range, because an outgoing connection could occupy an ephemeral port before
// something listens on it.
var portsTried atomic.Uint32

const (
	firstPort = 12000
	portCount = 18000
)

// freeAddress returns a loopback address on whose port nothing listens.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*97+portsTried.Add(1))%portCount
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}
