// Package entry implements the daemon. It keeps the documents and the list of
// members up to date, runs the periodic loops, and connects the listeners, the
// ledgers of units and the dispatcher.
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
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/caller"
	"gitlab.com/chicorypin/chicorypin/internal/front/guard"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/peer"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/plan/mover"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// minionDialTimeout bounds a dial to a minion.
	minionDialTimeout = time.Second
	// pauseLimit is the maximum time since the last tick at which this process
	// may start work. After a longer gap the process is treated as having been
	// paused.
	pauseLimit = 2 * time.Second
	// idleTimeout is how long the connection of a client may stay unused.
	idleTimeout = time.Minute
	// answerTimeout is how long a client may take for each part of an answer.
	answerTimeout = 10 * time.Second
	// maxOperatorConnections is the maximum number of connections of operators, probes and
	// readers of metrics.
	maxOperatorConnections = 128
)

// Periods of the loops. memberPeriod is how often the member document is
// checked for changes.
const (
	ledgerPassPeriod = 50 * time.Millisecond
	heartbeatPeriod  = 250 * time.Millisecond
	tablePeriod      = 500 * time.Millisecond
	stewardPeriod    = 500 * time.Millisecond
	metricsPeriod    = time.Second
	instancesPeriod  = 2 * time.Second
	memberPeriod     = 100 * time.Millisecond
)

// Config configures an Entry. All fields are required.
type Config struct {
	Settings Settings
	Clock    *timer.Clock
	Log      *logrus.Entry
	Scope    tally.Scope
	// OperatorHandler returns the handler of the operators' listener. It is
	// called once, while New runs.
	OperatorHandler func(e *Entry) http.Handler
}

// Entry is a running daemon. Its exported methods are safe for concurrent use.
type Entry struct {
	config   Config
	settings Settings
	id       string
	log      *logrus.Entry
	started  time.Time

	platform *platform.Client
	mesh     *peer.Mesh
	// teams is the ledger of the teams' units, slots that of the slots of the
	// minions, by instance name.
	teams      *units.Ledger
	slots      *units.Ledger
	roster     *minion.Roster
	minions    *minion.Client
	dispatcher *caller.Dispatcher
	mover      *mover.Mover
	listener   *caller.Listener

	callerServer   *intake.Server
	operatorServer *intake.Server
	// sockets are the callers' and the operators' listening sockets, in this
	// order.
	sockets    []net.Listener
	goroutines background.Group

	// index and isIsolated are read in every request, so they are atomic
	// instead of being guarded by mu.
	index      atomic.Pointer[document.Index]
	isIsolated atomic.Bool
	isLeaving  atomic.Bool
	isReady    atomic.Bool

	// mu guards state.
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
		started:  config.Clock.Now(),
		platform: platform.NewClient(platform.Config{Addresses: s.Platform, ListAddress: s.List}),
		minions:  minion.NewClient(minionDialTimeout),
		mover:    mover.NewMover(mover.Config{}),
	}
	e.log = config.Log.WithField("entry", e.id)
	e.roster = minion.NewRoster(e.log)
	e.teams = units.NewLedger(e.ledgerConfig())
	e.slots = units.NewLedger(e.ledgerConfig())
	e.index.Store(document.NewIndex(0, document.Document{}))
	e.state = newState(e.id, e.started)
	e.buildServers()
	return e, e.listen()
}

func (e *Entry) ledgerConfig() units.Config {
	return units.Config{Self: e.id, Now: e.config.Clock.Now, PauseLimit: pauseLimit}
}

func (e *Entry) buildServers() {
	callerConfig := caller.Config{
		Entry:      e.id,
		Centre:     e.settings.Centre,
		Index:      e.index.Load,
		IsIsolated: e.isIsolated.Load,
		Teams:      e.teams,
		Roster:     e.roster,
		Client:     e.minions,
		Limits:     e.settings.limits(),
		Clock:      e.config.Clock,
		Log:        e.log,
		Scope:      e.config.Scope.SubScope("caller"),
	}
	e.dispatcher = caller.NewDispatcher(callerConfig)
	e.listener = caller.NewListener(callerConfig, e.dispatcher)
	e.callerServer = e.newServer("caller", callerConfig.Limits, e.listener)
	operatorLimits := e.settings.limits()
	operatorLimits.Connections = min(operatorLimits.Connections, maxOperatorConnections)
	e.operatorServer = e.newServer("operator", operatorLimits, e.config.OperatorHandler(e))
}

// newServer returns a server for the listener of the given name.
func (e *Entry) newServer(name string, limits intake.Limits, handler http.Handler) *intake.Server {
	limits.MaxHeaderBytes, limits.HeaderTimeout, limits.IdleTimeout = caller.MaxHeaderBytes, caller.HeaderTimeout, idleTimeout
	guarded := guard.New(guard.Config{Name: name, Log: e.log, Scope: e.config.Scope}, handler)
	return intake.New(intake.Config{
		Name: name, Handler: renewDeadlines(limits.AnswerTime, guarded), Limits: limits, Log: e.log, Scope: e.config.Scope,
	})
}

func (e *Entry) listen() (err error) {
	e.mesh, err = peer.NewMesh(peer.Config{
		Entry: e.id, Listen: e.settings.Peer, Advertise: e.settings.Advertise, Receive: e.receive, Log: e.log,
	})
	if err != nil {
		return err
	}
	for _, address := range []netip.AddrPort{e.settings.Caller, e.settings.Operator} {
		socket, err := intake.Listen(address.String())
		if err != nil {
			e.close()
			return err
		}
		e.sockets = append(e.sockets, socket)
	}
	return nil
}

// ID returns the name of this process: the entry's name with a random suffix
// that differs after each start.
func (e *Entry) ID() string { return e.id }

// CallerAddress returns the address of the callers' listener.
func (e *Entry) CallerAddress() netip.AddrPort { return e.sockets[0].Addr().(*net.TCPAddr).AddrPort() }

// OperatorAddress returns the address of the operators' listener.
func (e *Entry) OperatorAddress() netip.AddrPort {
	return e.sockets[1].Addr().(*net.TCPAddr).AddrPort()
}

// Settings returns the settings that the entry was started with.
func (e *Entry) Settings() Settings { return e.settings }

// Run serves until the context ends, then shuts down gracefully and returns. It
// must be called once.
func (e *Entry) Run(ctx context.Context) {
	event.Started.Log(e.log, logrus.Fields{
		"caller": e.CallerAddress(), "operator": e.OperatorAddress(), "peer": e.mesh.Address(), "centre": e.settings.Centre,
	})
	loopContext, cancel := context.WithCancel(context.Background())
	e.goroutines.Go(func() { e.serveHTTP(e.callerServer, e.sockets[0]) })
	e.goroutines.Go(func() { e.serveHTTP(e.operatorServer, e.sockets[1]) })
	e.goroutines.Go(func() { e.watchDocuments(loopContext) })
	e.goroutines.Go(func() { e.maintainRegistration(loopContext) })
	e.runEvery(loopContext, ledgerPassPeriod, e.runLedgerPass)
	e.runEvery(loopContext, heartbeatPeriod, e.sendHeartbeat)
	e.runEvery(loopContext, tablePeriod, func(now time.Time) { e.updateTable(loopContext, now) })
	e.runEvery(loopContext, stewardPeriod, func(now time.Time) { e.runStewardPass(loopContext, now) })
	e.runEvery(loopContext, metricsPeriod, e.reportMetrics)
	e.runEvery(loopContext, instancesPeriod, func(now time.Time) { e.readInstances(loopContext, now) })
	e.connectMembers()
	<-ctx.Done()
	e.leave()
	cancel()
	e.close()
	e.goroutines.Wait()
	event.Stopped.Log(e.log, nil)
}

// runEvery starts a goroutine that calls the function once in each period until
// the context ends.
func (e *Entry) runEvery(ctx context.Context, period time.Duration, pass func(now time.Time)) {
	e.goroutines.Go(func() { e.config.Clock.Every(ctx, period, pass) })
}

func (e *Entry) serveHTTP(server *intake.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Error("HTTP server stopped unexpectedly")
	}
}

// close closes the listeners and all connections without waiting for open
// requests.
func (e *Entry) close() {
	_ = e.operatorServer.Close()
	_ = e.callerServer.Close()
	for _, socket := range e.sockets {
		_ = socket.Close()
	}
	if e.mesh != nil {
		e.mesh.Close()
	}
	e.minions.Close()
	e.platform.Close()
}

// IsReady reports whether the load balancer may send requests here: the keys of
// the platform have been read, or a peer has sent a config, and the entry is
// not leaving.
func (e *Entry) IsReady() bool { return e.isReady.Load() && !e.isLeaving.Load() }

// receive handles a message from a peer.
func (e *Entry) receive(from string, frame *wire.Frame) {
	switch body := frame.Body.(type) {
	case *wire.Frame_Beat:
		e.receiveHeartbeat(from, body.Beat)
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

// Now returns the time of the entry's clock.
func (e *Entry) Now() time.Time { return e.config.Clock.Now() }

// Log returns the entry's logger.
func (e *Entry) Log() *logrus.Entry { return e.log }
