// Package entry puts the parts of the daemon together: what it knows of the
// documents and of the other entries, and the loops that keep that up to date.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/caller"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/peer"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/plan/mover"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// minionDial bounds a dial to a minion.
	minionDial = time.Second
	// pauseLimit is the longest time without a tick after which this process
	// still starts work.
	pauseLimit = 2 * time.Second
)

// Periods of the loops.
const (
	tradePeriod  = 50 * time.Millisecond
	beatPeriod   = 250 * time.Millisecond
	tablePeriod  = 500 * time.Millisecond
	fleetPeriod  = 500 * time.Millisecond
	reportPeriod = time.Second
	listPeriod   = 2 * time.Second
	memberPeriod = 100 * time.Millisecond
)

// Config sets up an Entry.
type Config struct {
	Settings Settings
	Timer    *timer.Service
	Log      *logrus.Entry
	Scope    tally.Scope
	// Operator returns the handler of the operators' listener.
	Operator func(e *Entry) http.Handler
}

// Entry is one running daemon.
type Entry struct {
	config   Config
	settings Settings
	id       string
	log      *logrus.Entry
	started  time.Time

	platform   *platform.Client
	mesh       *peer.Mesh
	teams      *units.Ledger
	slots      *units.Ledger
	roster     *minion.Roster
	minions    *minion.Client
	dispatcher *caller.Dispatcher
	mover      *mover.Mover
	listener   *caller.Listener

	callers   *http.Server
	operators *http.Server
	sockets   []net.Listener
	wait      conc.WaitGroup

	// index and isolated are read on the path of every request.
	index    atomic.Pointer[document.Index]
	isolated atomic.Bool
	leaving  atomic.Bool
	ready    atomic.Bool

	mu    sync.Mutex
	state state
}

// New opens the listeners and returns an Entry that serves once Run is called.
func New(config Config) (e *Entry, err error) {
	defer fault.Annotate(&err, "starting entry %s", config.Settings.Name)
	s := config.Settings
	e = &Entry{
		config:   config,
		settings: s,
		id:       s.Name + "." + uuid.NewString()[:8],
		started:  config.Timer.Now(),
		platform: platform.NewClient(platform.Config{Addresses: s.Platform, ListAddress: s.List}),
		minions:  minion.NewClient(minionDial),
		mover:    mover.NewMover(mover.Config{}),
	}
	e.log = config.Log.WithField("entry", e.id)
	e.roster = minion.NewRoster(e.log)
	e.teams = units.NewLedger(e.ledgerConfig())
	e.slots = units.NewLedger(e.ledgerConfig())
	e.index.Store(document.NewIndex(0, document.Document{}))
	e.state = newState(e.id, e.started)
	e.buildFront()
	return e, e.listen()
}

func (e *Entry) ledgerConfig() units.Config {
	return units.Config{Self: e.id, Now: e.config.Timer.Now, PauseLimit: pauseLimit}
}

func (e *Entry) buildFront() {
	front := caller.Config{
		Entry:      e.id,
		Centre:     e.settings.Centre,
		Index:      e.index.Load,
		IsIsolated: e.isolated.Load,
		Teams:      e.teams,
		Roster:     e.roster,
		Client:     e.minions,
		Timer:      e.config.Timer,
		Log:        e.log,
		Scope:      e.config.Scope.SubScope("caller"),
	}
	e.dispatcher = caller.NewDispatcher(front)
	e.listener = caller.NewListener(front, e.dispatcher)
	e.callers = newServer(e.listener)
	e.operators = newServer(e.config.Operator(e))
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: caller.HeaderTimeout,
		MaxHeaderBytes:    caller.MaxHeader,
		IdleTimeout:       time.Minute,
	}
}

func (e *Entry) listen() (err error) {
	e.mesh, err = peer.NewMesh(peer.Config{
		Entry: e.id, Listen: e.settings.Peer, Advertise: e.settings.Advertise, Receive: e.receive, Log: e.log,
	})
	if err != nil {
		return err
	}
	for _, address := range []netip.AddrPort{e.settings.Caller, e.settings.Operator} {
		socket, err := net.Listen("tcp", address.String())
		if err != nil {
			e.close()
			return err
		}
		e.sockets = append(e.sockets, socket)
	}
	return nil
}

// ID returns the name of this process, unique for each start.
func (e *Entry) ID() string { return e.id }

// Caller returns the address that callers reach this process at.
func (e *Entry) Caller() netip.AddrPort { return e.sockets[0].Addr().(*net.TCPAddr).AddrPort() }

// Operator returns the address that operators reach this process at.
func (e *Entry) Operator() netip.AddrPort { return e.sockets[1].Addr().(*net.TCPAddr).AddrPort() }

// Settings returns the settings.
func (e *Entry) Settings() Settings { return e.settings }

// Run serves until the context ends, then leaves gracefully.
func (e *Entry) Run(ctx context.Context) {
	event.Started.Log(e.log, logrus.Fields{
		"caller": e.Caller(), "operator": e.Operator(), "peer": e.mesh.Address(), "centre": e.settings.Centre,
	})
	loops, cancel := context.WithCancel(context.Background())
	e.wait.Go(func() { e.serveHTTP(e.callers, e.sockets[0]) })
	e.wait.Go(func() { e.serveHTTP(e.operators, e.sockets[1]) })
	e.wait.Go(func() { e.follow(loops) })
	e.wait.Go(func() { e.keepMember(loops) })
	e.every(loops, tradePeriod, e.trade)
	e.every(loops, beatPeriod, e.beat)
	e.every(loops, tablePeriod, func(now time.Time) { e.tendTable(loops, now) })
	e.every(loops, fleetPeriod, func(now time.Time) { e.tendFleet(loops, now) })
	e.every(loops, reportPeriod, e.reportMetrics)
	e.every(loops, listPeriod, func(now time.Time) { e.readList(loops, now) })
	e.link()
	<-ctx.Done()
	e.leave()
	cancel()
	e.close()
	e.wait.Wait()
	event.Stopped.Log(e.log, nil)
}

func (e *Entry) every(ctx context.Context, period time.Duration, call func(now time.Time)) {
	e.wait.Go(func() { e.config.Timer.Every(ctx, period, call) })
}

func (e *Entry) serveHTTP(server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Error("listener failed")
	}
}

func (e *Entry) close() {
	_ = e.operators.Close()
	_ = e.callers.Close()
	for _, socket := range e.sockets {
		_ = socket.Close()
	}
	if e.mesh != nil {
		e.mesh.Close()
	}
	e.minions.Close()
	e.platform.Close()
}

// IsReady returns whether the balancer may send requests here.
func (e *Entry) IsReady() bool { return e.ready.Load() && !e.leaving.Load() }

// receive takes one message of a peer.
func (e *Entry) receive(from string, frame *wire.Frame) {
	switch body := frame.Body.(type) {
	case *wire.Frame_Beat:
		e.receiveBeat(from, body.Beat)
	case *wire.Frame_Want:
		e.receiveWant(from, body.Want)
	case *wire.Frame_Lend:
		e.receiveLend(from, body.Lend)
	case *wire.Frame_Pull:
		e.receivePull(from, body.Pull)
	case *wire.Frame_Snapshot:
		e.receiveSnapshot(body.Snapshot)
	}
}

// Now reads the clock of the entry.
func (e *Entry) Now() time.Time { return e.config.Timer.Now() }

// Log returns the log of the entry.
func (e *Entry) Log() *logrus.Entry { return e.log }
