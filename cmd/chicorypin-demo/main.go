// Command chicorypin-demo shows the whole system in one process on the loopback
// interface: a stand-in for the platform, four minions, and three entries in two
// data centres.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/host"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	minionstandin "gitlab.com/chicorypin/chicorypin/internal/standin/minion"
	platformstandin "gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const (
	operatorKey = "demo-operator"
	teamKey     = "demo-key-of-the-gate-desk"
	// stepTimeout limits the wait for the result of each step, and for the header of a
	// request to a stand-in.
	stepTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// centres are the data centres of the entries, one each. The minions alternate
// between the first and the last.
var centres = []string{"east", "east", "west"}

// demo holds the running entries.
type demo struct {
	entries []*entry.Entry
	// cancels holds the cancel function of each entry's context.
	cancels []context.CancelFunc
	group   background.Group
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "the demo failed:", err)
		os.Exit(1)
	}
}

func run() error {
	d := &demo{}
	steps := []struct {
		title string
		call  func() error
	}{
		{"starting a platform stand-in, 4 minions and 3 entries in 2 data centres", d.start},
		{"applying a document: 1 pool, 1 service, 2 teams", d.apply},
		{"sending 30 requests through all entries", d.send},
		{"sending one with a wrong key", d.sendWrongKey},
		{"draining minion worker-1", d.drain},
		{"sending 30 more requests", d.send},
		{"stopping all entries gracefully", d.stop},
		{"running a job of two steps through an entry for jobs, 2 endpoints", d.runJob},
	}
	for _, step := range steps {
		fmt.Println("-", step.title)
		if err := step.call(); err != nil {
			return err
		}
	}
	fmt.Println("done")
	return nil
}

func (d *demo) start() error {
	store := platformstandin.NewServer()
	address, err := serve(store)
	if err != nil {
		return err
	}
	var instances []platformstandin.TargetGroup
	for i := range 4 {
		name := fmt.Sprintf("worker-%d", i+1)
		minionAddress, err := serve(minionstandin.NewServer(name))
		if err != nil {
			return err
		}
		instances = append(instances, platformstandin.TargetGroup{
			Targets: []string{minionAddress.String()},
			Labels: map[string]string{
				"instance": name, "pool": "rota", "centre": centres[i%2*2], "rack": name, "slots": "8", "state": "live",
			},
		})
	}
	store.SetInstances(instances)
	for i, centre := range centres {
		if err = d.startEntry(fmt.Sprintf("entry-%d", i+1), centre, address); err != nil {
			return err
		}
	}
	return await("all entries are ready", func() bool {
		for _, e := range d.entries {
			if !e.IsReady() || len(e.Dump().Connected) < len(d.entries)-1 {
				return false
			}
		}
		return true
	})
}

func (d *demo) startEntry(name, centre string, store netip.AddrPort) error {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := host.New(entry.Settings{
		Name: name, Centre: centre, Caller: local, Operator: local, Peer: local,
		Platform: []netip.AddrPort{store}, List: store,
		Operators: []string{document.Digest(operatorKey)},
		TTL:       document.Duration(entry.DefaultTTL),
		Linger:    document.Duration(200 * time.Millisecond),
		Stop:      document.Duration(entry.DefaultStop),
		Level:     "error",
	}, os.Stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.entries = append(d.entries, e)
	d.cancels = append(d.cancels, cancel)
	d.group.Go(func() { e.Run(ctx) })
	fmt.Printf("    %s in %s serves callers at %s\n", name, centre, e.CallerAddress())
	return nil
}

func (d *demo) apply() error {
	config := fmt.Sprintf(`{
  "spare": "rota",
  "pools": [{"name": "rota", "least": 0.5}],
  "services": [{"name": "publish", "pool": "rota", "longest": "5s", "stops": true}],
  "teams": [
    {"name": "gate", "share": 60, "limit": 12, "keys": [%q]},
    {"name": "vet", "share": 40, "limit": 8}
  ]
}`, document.Digest(teamKey))
	ctx, cancel := entry.WithApplyTimeout(context.Background())
	defer cancel()
	applied, err := d.entries[0].Apply(ctx, 0, []byte(config))
	if err != nil {
		return err
	}
	fmt.Printf("    revision %d is %s\n", applied.Revision, applied.State)
	return await("the minions are in the pool", func() bool {
		for _, e := range d.entries {
			if len(e.Dump().Fleet.Instances) < 4 {
				return false
			}
		}
		return true
	})
}

func (d *demo) send() error {
	served := make(map[string]int)
	for i := range 30 {
		e := d.entries[i%len(d.entries)]
		status, body, err := request(e, teamKey, fmt.Sprintf("request-%d", i))
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return &statusError{status, body}
		}
		name, _, _ := strings.Cut(body, " ")
		served[name]++
	}
	for i := range 4 {
		name := fmt.Sprintf("worker-%d", i+1)
		fmt.Printf("    %s served %d\n", name, served[name])
	}
	return nil
}

func (d *demo) sendWrongKey() error {
	status, body, err := request(d.entries[0], "wrong", "request-wrong")
	if err != nil {
		return err
	}
	fmt.Printf("    %d %s", status, body)
	if status != http.StatusUnauthorized {
		return &statusError{status, body}
	}
	return nil
}

func (d *demo) drain() error {
	if _, err := d.entries[0].Drain(context.Background(), "worker-1"); err != nil {
		return err
	}
	return await("every entry has stopped using it", func() bool {
		for _, e := range d.entries {
			dump := e.Dump()
			position := dump.Fleet.Find("worker-1")
			if dump.Fleet.Instances[position].State != fleet.Draining {
				return false
			}
		}
		return true
	})
}

func (d *demo) stop() error {
	for _, cancel := range d.cancels {
		cancel()
	}
	d.group.Wait()
	return nil
}

// statusError reports a response with a status that the demo did not expect.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// timeoutError reports a condition that was not met in time.
type timeoutError struct {
	what string
}

// Error implements error.
func (e *timeoutError) Error() string { return "still waiting until " + e.what }

// await polls a condition until it holds, and prints what was awaited. It returns
// a timeoutError if the condition does not hold in time.
func await(what string, isDone func() bool) error {
	deadline := time.Now().Add(stepTimeout)
	for !isDone() {
		if time.Now().After(deadline) {
			return &timeoutError{what}
		}
		time.Sleep(pollInterval)
	}
	fmt.Println("   ", what)
	return nil
}

// serve serves the handler on a free loopback port until the process exits.
func serve(handler http.Handler) (address netip.AddrPort, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: stepTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// request sends a request to the demo's service through an entry. The id names the
// request to the minions.
func request(e *entry.Entry, key, id string) (status int, body string, err error) {
	url := fmt.Sprintf("http://%s/publish/week-49", e.CallerAddress())
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(minionstandin.HeaderRequest, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
