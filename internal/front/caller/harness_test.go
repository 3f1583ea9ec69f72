package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/units"
)

const gateKey = "key-of-the-gate-desk"

// scriptFunc writes the responses of a fakeMinion on one connection. It is called for
// each request that has been read completely, with the number of the request on the
// connection, starting at 1. If it returns false, the connection is closed.
type scriptFunc func(conn net.Conn, r *http.Request, number int) (isKeptOpen bool)

// fakeMinion is a minion whose responses are written by a script. It counts the
// requests that it has read completely: each of them may have run.
type fakeMinion struct {
	address netip.AddrPort
	socket  net.Listener
	// isAccepted, if set, is called with the number of each new connection, starting
	// at 1. If it returns false, the connection is closed.
	isAccepted func(number int) bool

	mu     sync.Mutex
	script scriptFunc
	// requestCounts are the numbers of requests read, by Request-Id.
	requestCounts map[string]int
	connCount     int
}

func newFakeMinion(tb testing.TB, script scriptFunc) *fakeMinion {
	tb.Helper()
	return newFilteringMinion(tb, script, nil)
}

// newFilteringMinion returns a fakeMinion that closes new connections for which
// isAccepted returns false.
func newFilteringMinion(tb testing.TB, script scriptFunc, isAccepted func(number int) bool) *fakeMinion {
	tb.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	m := &fakeMinion{
		address: socket.Addr().(*net.TCPAddr).AddrPort(), socket: socket, script: script, isAccepted: isAccepted, requestCounts: make(map[string]int),
	}
	go m.accept()
	tb.Cleanup(func() { _ = socket.Close() })
	return m
}

func (m *fakeMinion) accept() {
	for {
		conn, err := m.socket.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.connCount++
		number := m.connCount
		m.mu.Unlock()
		if m.isAccepted != nil && !m.isAccepted(number) {
			_ = conn.Close()
			continue
		}
		go m.serve(conn)
	}
}

func (m *fakeMinion) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		m.mu.Lock()
		m.requestCounts[r.Header.Get("Request-Id")]++
		script := m.script
		m.mu.Unlock()
		if !script(conn, r, number) {
			return
		}
	}
}

func (m *fakeMinion) setScript(script scriptFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.script = script
}

func (m *fakeMinion) requestCount(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requestCounts[id]
}

// totalRequests returns the number of requests read, and so of runs that are possible.
func (m *fakeMinion) totalRequests() (total int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, count := range m.requestCounts {
		total += count
	}
	return total
}

// respond writes a complete response with the attempt's id.
func respond(conn net.Conn, r *http.Request, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Attempt-Id"), len(body), body)
}

func respondOK(conn net.Conn, r *http.Request, _ int) bool {
	respond(conn, r, http.StatusOK, "ran "+r.Header.Get("Request-Id"))
	return true
}

// fixture is a Listener with fake minions and two teams.
type fixture struct {
	tb         testing.TB
	config     Config
	dispatcher *Dispatcher
	listener   *Listener
	server     *httptest.Server
	minions    []*fakeMinion
	index      *document.Index
	cancel     context.CancelFunc
}

// fixtureOptions are the settings that differ between tests. Zero limits and slots have
// defaults.
type fixtureOptions struct {
	service document.Service
	limit   uint32
	slots   uint32
	// limits and bodyTimeout are those of Config.
	limits      intake.Limits
	bodyTimeout time.Duration
}

func newFixture(tb testing.TB, options fixtureOptions, minions ...*fakeMinion) *fixture {
	tb.Helper()
	options.service.Name, options.service.Pool = "publish", "rota"
	if options.limit == 0 {
		options.limit = 100
	}
	if options.slots == 0 {
		options.slots = 8
	}
	if options.bodyTimeout == 0 {
		options.bodyTimeout = 200 * time.Millisecond
	}
	parsed := document.Document{
		Pools:    []document.Pool{{Name: "rota"}},
		Services: []document.Service{options.service, {Name: "public", Pool: "rota", AnonymousTeam: "gate"}},
		Teams: []document.Team{
			{Name: "gate", Share: 60, Limit: options.limit, KeyDigests: []string{document.Digest(gateKey)}},
			{Name: "vet", Share: 40, Limit: options.limit, KeyDigests: []string{document.Digest("vet")}},
		},
	}
	fx := &fixture{tb: tb, minions: minions, index: document.NewIndex(1, parsed)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	slots := units.NewLedger(units.Config{Self: "slots"})
	fx.config = Config{
		Entry: "entry-1", Centre: "east",
		Index:      func() *document.Index { return fx.index },
		IsIsolated: func() bool { return false },
		Teams:      units.NewLedger(units.Config{Self: "teams"}),
		Roster:     minion.NewRoster(log),
		Client:     minion.NewClient(time.Second),
		Clock:      timer.New(),
		Log:        log,
		Scope:      tally.NoopScope,

		Limits:      options.limits,
		BodyTimeout: options.bodyTimeout,
	}
	var roster []*minion.Minion
	for i, m := range minions {
		name := fmt.Sprintf("worker-%d", i+1)
		slots.SetShare(name, options.slots)
		fx.config.Client.SetMaxIdle(m.address, int(options.slots))
		roster = append(roster, &minion.Minion{
			Name: name, Centre: "east", Address: m.address, Slots: slots.Account(name), Capacity: options.slots,
		})
	}
	fx.config.Roster.Replace(map[string][]*minion.Minion{"rota": roster})
	for _, t := range parsed.Teams {
		fx.config.Teams.SetShare(t.Name, options.limit)
	}
	fx.dispatcher = NewDispatcher(fx.config)
	fx.listener = NewListener(fx.config, fx.dispatcher)
	fx.server = httptest.NewServer(fx.listener)
	ctx, cancel := context.WithCancel(context.Background())
	fx.cancel = cancel
	go fx.config.Clock.Every(ctx, 20*time.Millisecond, func(now time.Time) {
		fx.config.Teams.Tick(now)
		slots.Tick(now)
		fx.dispatcher.DispatchAll()
	})
	tb.Cleanup(func() {
		cancel()
		fx.server.CloseClientConnections()
		fx.server.Close()
		fx.config.Client.Close()
	})
	return fx
}

// reply is the result of a request as the caller sees it.
type reply struct {
	status  int
	outcome string
	retry   string
	body    string
	// isTruncated is set if the caller got no response or an incomplete one.
	isTruncated bool
}

func (fx *fixture) send(method, id string) reply {
	return fx.sendTo(method, "/publish/week", id, gateKey, "body of "+id)
}

func (fx *fixture) sendTo(method, path, id, key, body string) reply {
	var reader io.Reader
	if method != http.MethodGet && method != http.MethodHead {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, fx.server.URL+path, reader)
	if err != nil {
		fx.tb.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{isTruncated: true, body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, outcome: response.Header.Get(HeaderOutcome),
		retry: response.Header.Get("Retry-After"), body: string(data), isTruncated: err != nil,
	}
}

func (fx *fixture) totalRequestCount(id string) (total int) {
	for _, m := range fx.minions {
		total += m.requestCount(id)
	}
	return total
}
