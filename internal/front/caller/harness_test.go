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
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/units"
)

const gateKey = "key-of-the-gate-desk"

// script plays one connection of a minion: it is called for each request that
// was read whole, and says whether the connection goes on.
type script func(conn net.Conn, r *http.Request, number int) (goesOn bool)

// scripted is a minion whose bytes are scripted. It counts the requests that
// it has read whole, by request id: each of them may have run.
type scripted struct {
	address netip.AddrPort
	socket  net.Listener
	// greet, if set, is called for a new connection; false closes it.
	greet func(number int) bool

	mu    sync.Mutex
	play  script
	runs  map[string]int
	conns int
}

func newScripted(tb testing.TB, play script) *scripted {
	tb.Helper()
	return newGreeting(tb, play, nil)
}

// newGreeting returns a minion that may close new connections.
func newGreeting(tb testing.TB, play script, greet func(number int) bool) *scripted {
	tb.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &scripted{
		address: socket.Addr().(*net.TCPAddr).AddrPort(), socket: socket, play: play, greet: greet, runs: make(map[string]int),
	}
	go s.accept()
	tb.Cleanup(func() { _ = socket.Close() })
	return s
}

func (s *scripted) accept() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		number := s.conns
		s.mu.Unlock()
		if s.greet != nil && !s.greet(number) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *scripted) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.runs[r.Header.Get("Request-Id")]++
		play := s.play
		s.mu.Unlock()
		if !play(conn, r, number) {
			return
		}
	}
}

func (s *scripted) setPlay(play script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.play = play
}

func (s *scripted) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// total returns how often anything may have run.
func (s *scripted) total() (total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runs := range s.runs {
		total += runs
	}
	return total
}

// answerWith writes a whole answer with the attempt's id.
func answerWith(conn net.Conn, r *http.Request, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Attempt-Id"), len(body), body)
}

func healthy(conn net.Conn, r *http.Request, _ int) bool {
	answerWith(conn, r, http.StatusOK, "ran "+r.Header.Get("Request-Id"))
	return true
}

// bench is a listener with minions and one team.
type bench struct {
	tb         testing.TB
	config     Config
	dispatcher *Dispatcher
	listener   *Listener
	server     *httptest.Server
	minions    []*scripted
	index      *document.Index
	cancel     context.CancelFunc
}

// benchOptions are what differs between tests.
type benchOptions struct {
	service document.Service
	limit   uint32
	slots   uint32
}

func newBench(tb testing.TB, o benchOptions, minions ...*scripted) *bench {
	tb.Helper()
	o.service.Name, o.service.Pool = "publish", "rota"
	if o.limit == 0 {
		o.limit = 100
	}
	if o.slots == 0 {
		o.slots = 8
	}
	parsed := document.Document{
		Pools:    []document.Pool{{Name: "rota"}},
		Services: []document.Service{o.service, {Name: "public", Pool: "rota", AnonymousTeam: "gate"}},
		Teams: []document.Team{
			{Name: "gate", Share: 60, Limit: o.limit, KeyDigests: []string{document.Digest(gateKey)}},
			{Name: "vet", Share: 40, Limit: o.limit, KeyDigests: []string{document.Digest("vet")}},
		},
	}
	b := &bench{tb: tb, minions: minions, index: document.NewIndex(1, parsed)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	slots := units.NewLedger(units.Config{Self: "slots"})
	b.config = Config{
		Entry: "entry-1", Centre: "east",
		Index:      func() *document.Index { return b.index },
		IsIsolated: func() bool { return false },
		Teams:      units.NewLedger(units.Config{Self: "teams"}),
		Roster:     minion.NewRoster(log),
		Client:     minion.NewClient(time.Second),
		Timer:      timer.New(),
		Log:        log,
		Scope:      tally.NoopScope,

		BodyTimeout: 200 * time.Millisecond,
	}
	var roster []*minion.Minion
	for i, m := range minions {
		name := fmt.Sprintf("worker-%d", i+1)
		slots.SetShare(name, o.slots)
		b.config.Client.SetMaxIdle(m.address, int(o.slots))
		roster = append(roster, &minion.Minion{
			Name: name, Centre: "east", Address: m.address, Slots: slots.Account(name), Capacity: o.slots,
		})
	}
	b.config.Roster.Replace(map[string][]*minion.Minion{"rota": roster})
	for _, t := range parsed.Teams {
		b.config.Teams.SetShare(t.Name, o.limit)
	}
	b.dispatcher = NewDispatcher(b.config)
	b.listener = NewListener(b.config, b.dispatcher)
	b.server = httptest.NewServer(b.listener)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.config.Timer.Every(ctx, 20*time.Millisecond, func(now time.Time) {
		b.config.Teams.Tick(now)
		slots.Tick(now)
		b.dispatcher.Kick()
	})
	tb.Cleanup(func() {
		cancel()
		b.server.CloseClientConnections()
		b.server.Close()
		b.config.Client.Close()
	})
	return b
}

// reply is what a caller saw.
type reply struct {
	status  int
	outcome string
	retry   string
	body    string
	isCut   bool
}

func (b *bench) send(method, id string) reply {
	return b.sendTo(method, "/publish/week", id, gateKey, "body of "+id)
}

func (b *bench) sendTo(method, path, id, key, body string) reply {
	var reader io.Reader
	if method != http.MethodGet && method != http.MethodHead {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, b.server.URL+path, reader)
	if err != nil {
		b.tb.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{isCut: true, body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, outcome: response.Header.Get(HeaderOutcome),
		retry: response.Header.Get("Retry-After"), body: string(data), isCut: err != nil,
	}
}

func (b *bench) runs(id string) (total int) {
	for _, m := range b.minions {
		total += m.count(id)
	}
	return total
}
