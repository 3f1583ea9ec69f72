package fleet

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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/internal/standin/worker"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// taskTime is how long tasks run in these tests.
const taskTime = 150 * time.Millisecond

// site is a whole installation in one process: a store, endpoints of two pools
// and some entries.
type site struct {
	t       *testing.T
	store   *keyvalue.Store
	workers *worker.Fleet
	entries []*entry
	// isRelayed lets entries ask the store through each other.
	isRelayed bool
}

// entry is one daemon.
type entry struct {
	daemon *Daemon
	url    string
	cancel context.CancelFunc
	done   chan struct{}
	logs   *lines
	// isCut says that the entry does not reach the store.
	mu    sync.Mutex
	isCut bool
}

// lines keeps what a daemon logs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newSite(t *testing.T, entries int) *site {
	return (&site{t: t, store: keyvalue.New()}).begin(entries)
}

// newRelayedSite returns an installation whose entries ask the store through each
// other when they do not reach it themselves.
func newRelayedSite(t *testing.T, entries int) *site {
	return (&site{t: t, store: keyvalue.New(), isRelayed: true}).begin(entries)
}

func (s *site) begin(entries int) *site {
	s.workers = worker.NewFleet(func(task string) time.Duration {
		if strings.HasPrefix(task, "f") {
			return 0 // Jobs whose ID begins with f last.
		}
		return taskTime
	})
	s.store.Put("op/config", []byte(`1`))
	for i := range 4 {
		s.addWorker(fmt.Sprintf("i-%d", i), []string{"red", "blue"}[i%2])
	}
	for i := range entries {
		s.start(fmt.Sprintf("entry-%d", i))
	}
	s.t.Cleanup(func() {
		for _, e := range s.entries {
			e.stop()
		}
	})
	return s
}

func (s *site) addWorker(id, pool string) {
	listed := s.workers.Add(id, pool, "r0-0", jobs.Size{CPU: 8000, Memory: 8000})
	value, err := json.Marshal(listed)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("servers/"+id, value)
}

// loopback is an address of this process alone, so that no other one takes a
// port between its choice and its use.
var loopback = func() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)})
}()

// chosen are the addresses that were given out.
var chosen sync.Map

// freeAddress returns an address that is free and was not given out before.
func freeAddress(t *testing.T) netip.AddrPort {
	for {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		listener.Close()
		if _, isTaken := chosen.LoadOrStore(address, true); !isTaken {
			return address
		}
	}
}

func (s *site) start(name string) *entry {
	settings := Settings{
		Name: name, Centre: "c", Submitters: freeAddress(s.t), Ready: freeAddress(s.t), Peer: freeAddress(s.t),
		Metrics: freeAddress(s.t), Orders: ordersOnRequest, Stop: 0.4, Relay: s.isRelayed,
	}
	settings.Bounds.Hold = 5000
	e := &entry{url: "http://" + settings.Submitters.String(), done: make(chan struct{}), logs: &lines{}}
	logger := logrus.New()
	logger.SetOutput(e.logs)
	reach := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.isCut
	}
	daemon, err := New(Config{
		Settings: settings, Timer: timer.New(), Log: logrus.NewEntry(logger), Scope: tally.NoopScope,
		Platform: Platform{
			Store: s.store.Client(reach), Endpoints: s.workers.Client(), Codec: submitter.NewCodec(), ReadyPath: "/ready",
			OperatorPrefix: "op/", ConfigKey: "op/config", WavePrefix: "op/wave/", EndpointPrefix: "servers/",
			DecodeConfig: testConfig, DecodeEndpoint: testEndpoint,
			DecodeWave: func([]byte) (cloud.Wave, error) { return cloud.Wave{}, nil },
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	e.daemon = daemon
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		if err := daemon.Run(ctx); err != nil {
			fmt.Fprintln(e.logs, "the daemon ended:", err)
		}
	}()
	s.entries = append(s.entries, e)
	return e
}

// stop ends the entry as SIGTERM would.
func (e *entry) stop() {
	e.cancel()
	<-e.done
}

func (e *entry) cut(isCut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isCut = isCut
}

func testEndpoint(_ string, value []byte) (entry endpoint.Entry, err error) {
	err = json.Unmarshal(value, &entry)
	return entry, err
}

// testConfig stands for any configuration: two queues, one of them open.
func testConfig(_ []byte, revision int64) (*setup.Setup, error) {
	s := &setup.Setup{
		Version: revision, Revision: revision,
		Queues: []setup.Queue{
			{Name: "quick", Host: "h", Prefix: "/quick/", Pool: "red", MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "blue", IsAnonymous: true, MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second},
		},
		Pools:    []setup.Pool{{Name: "red"}, {Name: "blue"}},
		Accounts: map[string]setup.Account{"team": {Name: "team", Weight: 1, Limit: jobs.Size{CPU: 12000, Memory: 12000}}},
		Keys:     make(map[setup.Digest]string),
	}
	s.Keys[digest("secret")] = "team"
	s.BuildIndex()
	return s, nil
}

// call makes a request at an entry.
func (s *site) call(number int, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, s.entries[number].url+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer secret")
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// twoSteps is a job of two steps of three tasks.
const twoSteps = `{"spec":"s","steps":[{"n":3,"each":{"cpu":500,"mem":10}},{"n":3,"each":{"cpu":500,"mem":10},"after":[0]}]}`

// eventually waits until a condition holds.
func (s *site) eventually(limit time.Duration, isMet func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if isMet() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// submit hands a job in until it is accepted. If it is not, the log of the entry
// tells why.
func (s *site) submit(number int, path string) bool {
	last := ""
	isAccepted := s.eventually(8*time.Second, func() bool {
		status, answer := s.call(number, http.MethodPost, path, twoSteps)
		last = fmt.Sprintf("%d %s", status, answer)
		return status == http.StatusOK
	})
	if !isAccepted {
		s.t.Logf("%s at entry %d: %s\n%s", path, number, last, s.entries[number].logs)
	}
	return isAccepted
}

func (s *site) completes(number int, path string, limit time.Duration) bool {
	return s.eventually(limit, func() bool {
		_, state := s.call(number, http.MethodGet, path, "")
		return state == `{"state":"completed"}`
	})
}

// owner returns the number of the entry that owns a cell, -1 if none does.
func (s *site) owner(cell string) int {
	for i, e := range s.entries {
		if o := e.daemon.ownerOf(cell); o != nil && o.IsServing() {
			return i
		}
	}
	return -1
}
