package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/minion"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const (
	operatorKey = "operator-key"
	// patience bounds every wait; it is no target.
	patience = 60 * time.Second
	poll     = 50 * time.Millisecond
)

// binaries is the folder with the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chicorypin")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binaries = folder
	args := []string{"build", "-o", folder}
	if os.Getenv("RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "gitlab.com/chicorypin/chicorypin/cmd/...")...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(output))
		return 1
	}
	return m.Run()
}

// process is a program that a test has started.
type process struct {
	command *exec.Cmd
	logs    *os.File
	done    chan struct{}
}

func start(t testing.TB, name string, program string, args ...string) *process {
	t.Helper()
	logs, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(filepath.Join(binaries, program), args...), logs: logs, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = logs, logs
	if err = p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		text, _ := os.ReadFile(logs.Name())
		if bytes.Contains(text, []byte("DATA RACE")) || bytes.Contains(text, []byte("panic:")) {
			t.Errorf("%s reported a fault in itself:\n%s", name, tail(text))
		}
		if t.Failed() && os.Getenv("LOGS") != "" {
			t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
	return p
}

func tail(text []byte) []byte {
	const most = 4000
	return text[max(0, len(text)-most):]
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process gracefully and tells whether it did end.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.command.ProcessState.Success()
	case <-time.After(patience):
		return false
	}
}

// node is one entry.
type node struct {
	*process
	settings entry.Settings
	path     string
}

// worker is one minion.
type worker struct {
	name    string
	centre  string
	rack    string
	address netip.AddrPort
}

// system is a whole system of processes.
type system struct {
	t        testing.TB
	platform netip.AddrPort
	meter    netip.AddrPort
	network  *network
	nodes    []*node
	workers  []*worker
	pool     string
	// unlisted are instances that the platform's list leaves out, leaving
	// those that it shows as leaving.
	unlisted map[string]bool
	leaving  map[string]bool
	boots    map[string]int
	// frozen is the process that was last found to be the steward's.
	frozen *process
}

// shape says what a system consists of.
type shape struct {
	// entries and workers count for each data centre.
	entries map[string]int
	workers map[string]int
	perRack int
}

var centreNames = []string{"east", "west", "north"}

func newSystem(t *testing.T, s shape) *system {
	t.Helper()
	c := &system{t: t, pool: "rota", unlisted: map[string]bool{}, leaving: map[string]bool{}, boots: map[string]int{}}
	c.network = newNetwork(t)
	c.platform = freeAddress(t)
	start(t, "platform", "chicorypin-standin", "--platform", c.platform.String())
	c.await("the platform answers", func() bool { return c.setFaults(platform.Faults{}) == nil })
	for _, centre := range centreNames {
		for range s.workers[centre] {
			c.addWorker(centre, max(s.perRack, 1))
		}
	}
	c.startWorkers()
	for _, centre := range centreNames {
		for range s.entries[centre] {
			c.addEntry(fmt.Sprintf("entry-%d", len(c.nodes)+1), centre)
		}
	}
	c.publish()
	c.awaitReady()
	return c
}

func (c *system) addWorker(centre string, perRack int) {
	w := &worker{
		name:    fmt.Sprintf("worker-%d", len(c.workers)+1),
		centre:  centre,
		rack:    fmt.Sprintf("rack-%d", len(c.workers)/perRack+1),
		address: freeAddress(c.t),
	}
	c.workers = append(c.workers, w)
}

// startWorkers runs all minions in one process, so that it can count what runs
// on all of them at once.
func (c *system) startWorkers() {
	c.meter = freeAddress(c.t)
	args := []string{"--meter", c.meter.String()}
	for _, w := range c.workers {
		args = append(args, "--minion", w.address.String())
	}
	start(c.t, "minions", "chicorypin-standin", args...)
}

// most returns the most that ran at once, by team.
func (c *system) most() (most map[string]int) {
	c.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/", c.meter))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err = json.NewDecoder(response.Body).Decode(&most); err != nil {
		c.t.Fatal(err)
	}
	return most
}

// addEntry starts an entry with new addresses.
func (c *system) addEntry(name, centre string) {
	peer, advertised, store := c.network.join(name, c.platform)
	n := &node{settings: entry.Settings{
		Name: name, Centre: centre,
		Caller: freeAddress(c.t), Operator: freeAddress(c.t), Peer: peer, Advertise: advertised,
		Platform: []netip.AddrPort{store}, List: store,
		Operators: []string{document.Digest(operatorKey)},
		TTL:       document.Duration(2 * time.Second),
		Linger:    document.Duration(500 * time.Millisecond),
		Stop:      document.Duration(40 * time.Second),
		Level:     "info",
	}}
	c.launch(n)
	c.nodes = append(c.nodes, n)
}

func (c *system) launch(n *node) {
	data, err := json.Marshal(n.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	n.path = filepath.Join(c.t.TempDir(), "settings.json")
	if err = os.WriteFile(n.path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.process = start(c.t, n.settings.Name, "chicorypind", n.path)
}

// publish gives the platform's list of instances to the stand-in.
func (c *system) publish() {
	c.t.Helper()
	var targets []platform.TargetGroup
	add := func(name, pool, centre, rack string, address netip.AddrPort) {
		state := "live"
		if c.leaving[name] {
			state = "leaving"
		}
		if !c.unlisted[name] {
			targets = append(targets, platform.TargetGroup{Targets: []string{address.String()}, Labels: map[string]string{
				"instance": name, "pool": pool, "centre": centre, "rack": rack, "slots": "8",
				"state": state, "boot": fmt.Sprint(c.boots[name]),
			}})
		}
	}
	for _, w := range c.workers {
		add(w.name, c.pool, w.centre, w.rack, w.address)
	}
	for _, n := range c.nodes {
		add(n.settings.Name, "entry", n.settings.Centre, "", n.settings.Caller)
	}
	c.put(c.platform, "/standin/instances", targets)
}

func (c *system) setFaults(f platform.Faults) error {
	return c.tryPut(c.platform, "/standin/faults", f)
}

func (c *system) put(address netip.AddrPort, path string, body any) {
	c.t.Helper()
	if err := c.tryPut(address, path, body); err != nil {
		c.t.Fatal(err)
	}
}

func (c *system) tryPut(address netip.AddrPort, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s%s", address, path), bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *system) bootOf(w *worker) string { return fmt.Sprint(c.boots[w.name]) }

// countsAt returns what a minion has run and is running.
func (c *system) countsAt(w *worker) (counts minion.Counts) {
	response, err := http.Get(fmt.Sprintf("http://%s/standin/counts", w.address))
	if err != nil {
		return counts
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&counts)
	return counts
}

// counts adds up what all minions have run, by request.
func (c *system) counts() map[string]int {
	total := make(map[string]int)
	for _, w := range c.workers {
		for id, runs := range c.countsAt(w).Runs {
			total[id] += runs
		}
	}
	return total
}

// ask calls the operators' API of an entry.
func (c *system) ask(n *node, method, path string, body []byte, target any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", n.settings.Operator, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && target != nil {
		err = json.Unmarshal(data, target)
	}
	return response.StatusCode, err
}

func (c *system) dump(n *node) (dump entry.Dump) {
	_, _ = c.ask(n, http.MethodGet, "/dump", nil, &dump)
	return dump
}

// apply puts a document in force and expects it to be accepted.
func (c *system) apply(n *node, text string) {
	c.t.Helper()
	var applied entry.Applied
	revision := c.dump(n).Config
	status, err := c.ask(n, http.MethodPut, fmt.Sprintf("/config?revision=%d", revision), []byte(text), &applied)
	if err != nil || status != http.StatusOK {
		c.t.Fatalf("apply answered %d %+v %v", status, applied, err)
	}
}

// awaitReady waits until all entries know each other and all hold slices.
func (c *system) awaitReady() {
	c.t.Helper()
	c.await("all entries are ready and hold slices", func() bool {
		for _, n := range c.nodes {
			d := c.dump(n)
			if !d.Ready || len(d.Connected) < len(c.nodes)-1 || len(d.Table.Holders) != len(c.nodes) ||
				d.InForce.Table != d.Table.Revision() {
				return false
			}
		}
		return true
	})
}

// awaitPool waits until every entry knows all workers.
func (c *system) awaitPool() {
	c.t.Helper()
	c.await("every entry knows all workers", func() bool {
		for _, n := range c.nodes {
			if len(c.dump(n).Fleet.Instances) < len(c.workers) {
				return false
			}
		}
		return true
	})
}

func (c *system) await(what string, isDone func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !isDone() {
		if time.Now().After(deadline) {
			c.t.Fatalf("still waiting until %s", what)
		}
		time.Sleep(poll)
	}
}

// nextPort counts through ports below those that the system gives to outgoing
// connections, which could take a free one before its process listens on it.
var nextPort atomic.Uint32

const (
	firstPort = 12000
	portCount = 18000
)

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*97+nextPort.Add(1))%portCount
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		socket, err := net.Listen("tcp", address.String())
		if err == nil {
			socket.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}
