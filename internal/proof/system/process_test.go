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

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/minion"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const (
	operatorKey = "operator-key"
	// timeout ends a wait that would fail anyway. It is no performance target.
	timeout      = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// binaryFolder holds the programs under test, which TestMain builds.
var binaryFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, with the race detector if RACE is set in the
// environment, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chicorypin")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binaryFolder = folder
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

// process is a program that a test has started. done is closed when it has ended.
type process struct {
	command *exec.Cmd
	logFile *os.File
	done    chan struct{}
}

// crashMarks are the texts that a data race, a panic, or a panic of a handler leaves in
// the log of a process.
var crashMarks = []string{"DATA RACE", "panic:", "panic serving", fmt.Sprintf(`"event":%d,`, event.HandlerPanicked.Number)}

// startProcess starts a program and kills it at the end of the test. The test fails
// if the log of the process reports a data race or a panic.
func startProcess(t testing.TB, name string, program string, args ...string) *process {
	t.Helper()
	logFile, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(filepath.Join(binaryFolder, program), args...), logFile: logFile, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = logFile, logFile
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
		text, _ := os.ReadFile(logFile.Name())
		for _, mark := range crashMarks {
			if position := bytes.Index(text, []byte(mark)); position >= 0 {
				t.Errorf("%s reported a data race or a panic:\n%s", name, text[position:min(position+tailBytes, len(text))])
			}
		}
		if t.Failed() && os.Getenv("LOGS") != "" {
			t.Logf("log of %s:\n%s", name, tail(text))
		}
	})
	return p
}

// tailBytes is the size of the part of a log that is printed.
const tailBytes = 4000

// tail returns the end of a log.
func tail(text []byte) []byte { return text[max(0, len(text)-tailBytes):] }

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process with SIGKILL and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and returns whether the process ended successfully before the
// timeout.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.command.ProcessState.Success()
	case <-time.After(timeout):
		return false
	}
}

// entryProcess is one entry, run as a process of its own. path is its settings file.
type entryProcess struct {
	*process
	settings entry.Settings
	path     string
}

// minionInstance is one minion as the platform lists it.
type minionInstance struct {
	name    string
	centre  string
	rack    string
	address netip.AddrPort
}

// cluster is a set of entries, minions and a platform stand-in, run as processes.
// Entries reach each other and the platform through network only.
type cluster struct {
	t        testing.TB
	platform netip.AddrPort
	meter    netip.AddrPort
	network  *network
	entries  []*entryProcess
	minions  []*minionInstance
	pool     string
	// unlisted holds the instances that the platform does not list, leaving those
	// that it lists in the state "leaving".
	unlisted   map[string]bool
	leaving    map[string]bool
	bootCounts map[string]int
	// appliedRevision is the highest config revision that apply has put in force.
	appliedRevision uint64
	// stewardProcess is the process of the steward that findSteward found last.
	stewardProcess *process
}

// topology is the size of a cluster.
type topology struct {
	// entriesPerCentre and minionsPerCentre are counts by data centre.
	entriesPerCentre map[string]int
	minionsPerCentre map[string]int
	minionsPerRack   int
}

var centreNames = []string{"east", "west", "north"}

// newCluster starts a cluster and returns once all its entries are ready.
func newCluster(t *testing.T, tp topology) *cluster {
	t.Helper()
	c := &cluster{t: t, pool: "rota", unlisted: map[string]bool{}, leaving: map[string]bool{}, bootCounts: map[string]int{}}
	c.network = newNetwork(t)
	c.platform = freeAddress(t)
	startProcess(t, "platform", "chicorypin-standin", "--platform", c.platform.String())
	c.await("the platform responds", func() bool { return c.setFaults(platform.Faults{}) == nil })
	for _, centre := range centreNames {
		for range tp.minionsPerCentre[centre] {
			c.addMinion(centre, max(tp.minionsPerRack, 1))
		}
	}
	c.startMinions()
	for _, centre := range centreNames {
		for range tp.entriesPerCentre[centre] {
			c.addEntry(fmt.Sprintf("entry-%d", len(c.entries)+1), centre)
		}
	}
	c.publishInstances()
	c.awaitReady()
	return c
}

func (c *cluster) addMinion(centre string, minionsPerRack int) {
	m := &minionInstance{
		name:    fmt.Sprintf("worker-%d", len(c.minions)+1),
		centre:  centre,
		rack:    fmt.Sprintf("rack-%d", len(c.minions)/minionsPerRack+1),
		address: freeAddress(c.t),
	}
	c.minions = append(c.minions, m)
}

// startMinions runs all minions in one process, so that it can count the requests
// that run on all of them at the same time.
func (c *cluster) startMinions() {
	c.meter = freeAddress(c.t)
	args := []string{"--meter", c.meter.String()}
	for _, m := range c.minions {
		args = append(args, "--minion", m.address.String())
	}
	startProcess(c.t, "minions", "chicorypin-standin", args...)
}

// maxRunning returns the largest number of requests that ran at the same time on all
// minions together, by team.
func (c *cluster) maxRunning() (byTeam map[string]int) {
	c.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/", c.meter))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err = json.NewDecoder(response.Body).Decode(&byTeam); err != nil {
		c.t.Fatal(err)
	}
	return byTeam
}

// addEntry starts an entry with new addresses. It does not list it at the platform.
func (c *cluster) addEntry(name, centre string) {
	peer, advertised, platformAddress := c.network.join(name, c.platform)
	e := &entryProcess{settings: entry.Settings{
		Name: name, Centre: centre,
		Caller: freeAddress(c.t), Operator: freeAddress(c.t), Peer: peer, Advertise: advertised,
		Platform: []netip.AddrPort{platformAddress}, List: platformAddress,
		Operators: []string{document.Digest(operatorKey)},
		TTL:       document.Duration(2 * time.Second),
		Linger:    document.Duration(500 * time.Millisecond),
		Stop:      document.Duration(40 * time.Second),
		Level:     "info",
	}}
	c.launch(e)
	c.entries = append(c.entries, e)
}

// launch writes the settings file of an entry and starts its process.
func (c *cluster) launch(e *entryProcess) {
	data, err := json.Marshal(e.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	e.path = filepath.Join(c.t.TempDir(), "settings.json")
	if err = os.WriteFile(e.path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	e.process = startProcess(c.t, e.settings.Name, "chicorypind", e.path)
}

// publishInstances sets the list of instances of the platform stand-in.
func (c *cluster) publishInstances() {
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
				"state": state, "boot": fmt.Sprint(c.bootCounts[name]),
			}})
		}
	}
	for _, m := range c.minions {
		add(m.name, c.pool, m.centre, m.rack, m.address)
	}
	for _, e := range c.entries {
		add(e.settings.Name, "entry", e.settings.Centre, "", e.settings.Caller)
	}
	c.put(c.platform, "/standin/instances", targets)
}

func (c *cluster) setFaults(f platform.Faults) error {
	return c.tryPut(c.platform, "/standin/faults", f)
}

func (c *cluster) put(address netip.AddrPort, path string, body any) {
	c.t.Helper()
	if err := c.tryPut(address, path, body); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) tryPut(address netip.AddrPort, path string, body any) error {
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

func (c *cluster) bootOf(m *minionInstance) string { return fmt.Sprint(c.bootCounts[m.name]) }

// countsAt returns the requests that a minion has run and is running. The counts are
// zero if the minion does not respond.
func (c *cluster) countsAt(m *minionInstance) (counts minion.Counts) {
	response, err := http.Get(fmt.Sprintf("http://%s/standin/counts", m.address))
	if err != nil {
		return counts
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&counts)
	return counts
}

// counts returns how often each request has run on all minions, by request ID.
func (c *cluster) counts() map[string]int {
	total := make(map[string]int)
	for _, m := range c.minions {
		for id, runs := range c.countsAt(m).Runs {
			total[id] += runs
		}
	}
	return total
}

// callOperator calls the operators' API of an entry and decodes the response into
// target unless that is nil.
func (c *cluster) callOperator(e *entryProcess, method, path string, body []byte, target any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", e.settings.Operator, path), bytes.NewReader(body))
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

// dump returns the dump of an entry, which is zero if the entry does not respond.
func (c *cluster) dump(e *entryProcess) (dump entry.Dump) {
	_, _ = c.callOperator(e, http.MethodGet, "/dump", nil, &dump)
	return dump
}

// apply replaces the config document and expects it to be in force.
func (c *cluster) apply(e *entryProcess, config string) {
	c.t.Helper()
	var applied entry.Applied
	revision := c.dump(e).Config
	status, err := c.callOperator(e, http.MethodPut, fmt.Sprintf("/config?revision=%d", revision), []byte(config), &applied)
	if err != nil || status != http.StatusOK {
		c.logRevisions()
		c.t.Fatalf("apply: status %d, response %+v, error %v", status, applied, err)
	}
	c.appliedRevision = max(c.appliedRevision, applied.Revision)
}

// logRevisions logs what determines which revisions each entry has in force: those that
// it knows, and the units that it uses and has lent.
func (c *cluster) logRevisions() {
	c.t.Helper()
	for _, e := range c.entries {
		d := c.dump(e)
		c.t.Logf("%s, process %q: config %d, table %d, in force %+v, pending tables %d, suspect %t, platform reached %t, age %s, holders %v, teams %+v",
			e.settings.Name, d.Entry, d.Config, d.Table.Revision(), d.InForce, len(d.Table.Tables), d.Suspect, d.Reached, d.Age, d.Table.Holders, d.Teams)
	}
}

// awaitReady waits until all entries are connected to each other and hold slices, and
// each has its table in force.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await("all entries are ready and hold slices", func() bool {
		for _, e := range c.entries {
			d := c.dump(e)
			if !d.Ready || len(d.Connected) < len(c.entries)-1 || len(d.Table.Holders) != len(c.entries) ||
				d.InForce.Table != d.Table.Revision() {
				return false
			}
		}
		return true
	})
}

// awaitInstances waits until every entry knows as many instances as there are minions.
func (c *cluster) awaitInstances() {
	c.t.Helper()
	c.await("every entry knows all minions", func() bool {
		for _, e := range c.entries {
			if len(c.dump(e).Fleet.Instances) < len(c.minions) {
				return false
			}
		}
		return true
	})
}

// await waits until isMet returns true. It fails the test after the timeout.
func (c *cluster) await(what string, isMet func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out before %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// portsTried is the number of ports that freeAddress has tried. The ports lie below the
// ephemeral range, because an outgoing connection could occupy an ephemeral port before
// the process under test listens on it.
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
