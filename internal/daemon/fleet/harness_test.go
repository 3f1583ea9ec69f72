package fleet

import (
	"bytes"
	"cmp"
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/internal/standin/worker"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// taskDuration is how long tasks run in these tests.
const taskDuration = 150 * time.Millisecond

// system is an installation in one process: a store, endpoints of two pools and some
// entries.
type system struct {
	t       *testing.T
	store   *keyvalue.Store
	workers *worker.Fleet
	entries []*entry
	// isRelayAllowed lets entries relay calls to the store for each other.
	isRelayAllowed bool
	// stopSeconds is the stop time of entries; 0 stands for 0.4 s.
	stopSeconds float64
	// advise is Platform.Advise.
	advise func(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
	// wrapStore changes the client of the store that an entry uses; nil leaves it as it is.
	wrapStore func(e *entry, client *store.Client)
}

// entry is a running daemon of a system.
type entry struct {
	daemon *Daemon
	url    string
	cancel context.CancelFunc
	done   chan struct{}
	logs   *logBuffer

	// isHeldBack is set while the entry gets no changes of the configuration (holdBackConfig).
	isHeldBack atomic.Bool

	mu sync.Mutex
	// isDisconnected is set while the entry cannot reach the store directly.
	isDisconnected bool
}

// logBuffer is a writer that collects the log of a daemon. It is safe for concurrent
// use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newSystem returns an installation with a number of running entries.
func newSystem(t *testing.T, entries int) *system {
	return (&system{t: t, store: keyvalue.New()}).startAll(entries)
}

// newRelayedSystem returns an installation whose entries relay calls to the store for
// entries that cannot reach it directly.
func newRelayedSystem(t *testing.T, entries int) *system {
	return (&system{t: t, store: keyvalue.New(), isRelayAllowed: true}).startAll(entries)
}

// startAll starts the endpoints and entries, and stops the entries at the end of the
// test.
func (s *system) startAll(entries int) *system {
	s.workers = worker.NewFleet(func(task string) time.Duration {
		if strings.HasPrefix(task, "f") {
			return 0 // Tasks of jobs whose ID begins with f run until they are stopped.
		}
		return taskDuration
	})
	s.store.Put("op/config", []byte(`1`))
	for i := range 4 {
		s.addEndpoint(fmt.Sprintf("i-%d", i), []string{"red", "blue"}[i%2])
	}
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i))
	}
	s.t.Cleanup(func() {
		for _, e := range s.entries {
			e.stop()
		}
	})
	return s
}

// addEndpoint starts an endpoint and registers it in the store.
func (s *system) addEndpoint(id, pool string) { s.addEndpointIn("", id, pool) }

// addEndpointIn starts an endpoint in a data centre and registers it in the store.
func (s *system) addEndpointIn(centre, id, pool string) {
	listed := s.workers.Add(id, pool, "r0-0", jobs.Size{CPU: 8000, Memory: 8000})
	listed.Profile.Centre = centre
	value, err := json.Marshal(listed)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("servers/"+id, value)
}

// loopback is a loopback address derived from the process ID, so that no other process
// takes a port between its choice and its use.
var loopback = func() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)})
}()

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns an address that is free and was not returned before.
func freeAddress(t *testing.T) netip.AddrPort {
	for {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		listener.Close()
		if _, isTaken := usedAddresses.LoadOrStore(address, true); !isTaken {
			return address
		}
	}
}

// startEntry starts an entry and appends it to s.entries.
func (s *system) startEntry(name string) {
	settings := Settings{
		Name: name, Centre: "c", Submitters: freeAddress(s.t), Ready: freeAddress(s.t), Peer: freeAddress(s.t),
		Metrics: freeAddress(s.t), Orders: ordersOnRequest, StopSeconds: cmp.Or(s.stopSeconds, 0.4), Relay: s.isRelayAllowed,
	}
	settings.Bounds.MaxGrantMilliseconds = 5000
	e := &entry{url: "http://" + settings.Submitters.String(), done: make(chan struct{}), logs: &logBuffer{}}
	logger := logrus.New()
	logger.SetOutput(e.logs)
	isReachable := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.isDisconnected
	}
	client := s.store.Client(isReachable)
	if s.wrapStore != nil {
		s.wrapStore(e, client)
	}
	daemon, err := New(Config{
		Settings: settings, Clock: timer.New(), Log: logrus.NewEntry(logger), Scope: tally.NoopScope,
		Platform: Platform{
			Store: client, Endpoints: s.workers.Client(), Codec: submitter.NewCodec(), ReadyPath: "/ready",
			OperatorPrefix: "op/", ConfigKey: "op/config", WavePrefix: "op/wave/", EvacuationPrefix: "op/evacuate/", EndpointPrefix: "servers/",
			Advise: s.advise, DecodeConfig: testConfig, DecodeEndpoint: testEndpoint,
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
}

// stop stops the entry as SIGTERM would, and waits until it has stopped.
func (e *entry) stop() {
	e.cancel()
	<-e.done
}

// setDisconnected sets whether the entry is disconnected from the store.
func (e *entry) setDisconnected(isDisconnected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDisconnected = isDisconnected
}

func testEndpoint(_ string, value []byte) (registration endpoint.Registration, err error) {
	err = json.Unmarshal(value, &registration)
	return registration, err
}

// configQuickInBlue is the value of a configuration that sends the queue "quick" to the pool "blue".
const configQuickInBlue = "quick in blue"

// configAdvised is the value of a configuration in which the queue "quick" needs advice.
const configAdvised = "advised"

// configManyAdvised is the value of a configuration with the queues "q0" to "q7", each with advice and a
// pool of its own, "p0" to "p7".
const configManyAdvised = "many advised"

// configAllInRed is the value of a configuration that sends all queues to the pool "red" and has no
// other pool.
const configAllInRed = "all in red"

// configWithoutQuick is the value of a configuration without the queue "quick".
const configWithoutQuick = "without quick"

// configWithoutBlue is the value of a configuration without the pool "blue" and its queue.
const configWithoutBlue = "without blue"

// configSmallHeads is the value of a configuration with limits of heads: 1,000 bytes, 100 ms for a head
// and 200 ms for an unused connection.
const configSmallHeads = "small heads"

// manyQueues is the number of queues with configManyAdvised.
const manyQueues = 8

// configQueues returns the value of a configuration with these queues alone. Each row has a name, a
// prefix and a pool, and "open" if the queue needs no key.
func configQueues(rows ...string) string { return queuesMark + strings.Join(rows, ";") }

const queuesMark = "queues "

// parseQueues is the inverse of configQueues.
func parseQueues(value string) (queues []setup.Queue) {
	for row := range strings.SplitSeq(strings.TrimPrefix(value, queuesMark), ";") {
		fields := strings.Fields(row)
		queues = append(queues, setup.Queue{
			Name: fields[0], Host: "h", Prefix: fields[1], Pool: fields[2], IsAnonymous: len(fields) > 3, MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second,
		})
	}
	return queues
}

// testConfig returns a configuration with two queues, of which "open" needs no key.
func testConfig(value []byte, revision int64) (*setup.Setup, error) {
	s := &setup.Setup{
		Version: revision, Revision: revision,
		Queues: []setup.Queue{
			{Name: "quick", Host: "h", Prefix: "/quick/", Pool: "red", MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "blue", IsAnonymous: true, MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second},
			{Name: "public", Host: "h", Prefix: "/public/", Pool: "red", IsAnonymous: true, MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second},
		},
		Pools:    []setup.Pool{{Name: "red"}, {Name: "blue"}},
		Accounts: map[string]setup.Account{"team": {Name: "team", Weight: 1, Limit: jobs.Size{CPU: 12000, Memory: 12000}}},
		Keys:     make(map[setup.Digest]string),
	}
	s.Keys[digest("secret")], s.Keys[digest("other secret")] = "team", "other"
	if string(value) == configAdvised {
		s.Queues[0].Advice = &setup.Advice{}
	}
	if string(value) == configManyAdvised {
		s.Queues, s.Pools = nil, nil
		for i := range manyQueues {
			s.Queues = append(s.Queues, setup.Queue{
				Name: fmt.Sprintf("q%d", i), Host: "h", Prefix: fmt.Sprintf("/q%d/", i), Pool: fmt.Sprintf("p%d", i), IsAnonymous: true, MaxAttempts: 3, Stretch: 2, Target: time.Minute,
				Advice: &setup.Advice{},
			})
			s.Pools = append(s.Pools, setup.Pool{Name: fmt.Sprintf("p%d", i)})
		}
	}
	if strings.HasPrefix(string(value), queuesMark) {
		s.Queues = parseQueues(string(value))
	}
	if string(value) == configAllInRed {
		s.Queues[1].Pool, s.Pools = "red", s.Pools[:1]
	}
	if string(value) == configWithoutQuick {
		s.Queues = s.Queues[1:]
	}
	if string(value) == configQuickInBlue {
		s.Queues[0].Pool = "blue"
	}
	if string(value) == configWithoutBlue {
		s.Queues, s.Pools = s.Queues[:1], s.Pools[:1]
	}
	if string(value) == configSmallHeads {
		s.MaxHeaderBytes, s.HeaderTimeout, s.IdleTimeout = 1000, 100*time.Millisecond, 200*time.Millisecond
	}
	s.BuildIndex()
	return s, nil
}

// call sends a request to the entry with a number and returns the status and body of the
// response. Without a response, the status is 0 and content the error.
func (s *system) call(number int, method, path, body string) (status int, content string) {
	return s.callWithKey("secret", number, method, path, body)
}

// callWithKey is call with another key.
func (s *system) callWithKey(key string, number int, method, path, body string) (status int, content string) {
	request, err := http.NewRequest(method, s.entries[number].url+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// twoSteps is a job with two steps of three tasks each, the second after the first.
const twoSteps = `{"spec":"s","steps":[{"n":3,"each":{"cpu":500,"mem":10}},{"n":3,"each":{"cpu":500,"mem":10},"after":[0]}]}`

// submit submits the job twoSteps until it is accepted, for up to 8 s. After a failure
// it prints the last response and the log of the entry.
func (s *system) submit(number int, path string) bool {
	last := ""
	isAccepted := await.Until(8*time.Second, func() bool {
		status, content := s.call(number, http.MethodPost, path, twoSteps)
		last = fmt.Sprintf("%d %s", status, content)
		return status == http.StatusOK
	})
	if !isAccepted {
		s.t.Logf("%s at entry %d: %s\n%s", path, number, last, s.entries[number].logs)
	}
	return isAccepted
}

// completes waits until a job has the state completed.
func (s *system) completes(number int, path string, limit time.Duration) bool {
	return await.Until(limit, func() bool {
		_, state := s.call(number, http.MethodGet, path, "")
		return state == `{"state":"completed"}`
	})
}

// owner returns the number of the entry that owns a cell and serves it, -1 if there is
// none.
func (s *system) owner(cell string) int {
	for i, e := range s.entries {
		if o := e.daemon.ownerOf(cell); o != nil && o.IsServing() {
			return i
		}
	}
	return -1
}
