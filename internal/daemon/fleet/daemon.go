// Package fleet implements the entry daemon for jobs. It connects the HTTP listener
// for submitters, the owners of the cells that this entry holds, the calls between
// entries, the metadata store and the steward.
package fleet

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/cell/homes"
	"gitlab.com/chicorypin/chicorypin/internal/cell/ledger"
	"gitlab.com/chicorypin/chicorypin/internal/cell/owner"
	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/internal/cell/steward"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/relay"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// sessionTTL is how long the store keeps an entry's keys without a renewal of the
	// lease, after which the cells of a dead entry are taken over. The lease is
	// renewed four times per TTL, so two renewals may fail. If it expires needlessly,
	// another entry serves the cells within 0.1 s.
	sessionTTL = 2 * time.Second
	// manageInterval is how often the ownership of cells is checked if no change of
	// the roster triggers a check.
	manageInterval = 100 * time.Millisecond
	// balanceInterval is how often the limits of client accounts are divided among
	// the cells.
	balanceInterval = 300 * time.Millisecond
	// endpointWatchGap is the minimum time between two responses of the watch on
	// endpoints. It batches their updates, about one per second from each endpoint.
	endpointWatchGap = 200 * time.Millisecond
	// handoverTimeout bounds the preparation and release of cells in a handover.
	handoverTimeout = 1500 * time.Millisecond
)

// Platform holds the clients, keys and formats of the platform that the daemon runs
// on.
type Platform struct {
	Store     *store.Client
	Endpoints *endpoint.Client
	// Cloud is nil if machines are not moved or maintained.
	Cloud *cloud.Client
	// Advise returns a ticket for each of the endpoints that may run a step, by
	// endpoint ID, and how long the tickets are valid. It is nil if no queue needs
	// advice.
	Advise func(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
	Codec  submitter.Codec
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Prefixes and keys in the store, and the decoders of the values stored there.
	OperatorPrefix, ConfigKey, WavePrefix, EndpointPrefix string
	// EvacuationPrefix is the prefix of the keys that request the evacuation of a data
	// centre, whose name follows. If it is empty, data centres are not evacuated.
	EvacuationPrefix string
	DecodeConfig     func(value []byte, revision int64) (*setup.Setup, error)
	DecodeEndpoint   func(key string, value []byte) (endpoint.Registration, error)
	DecodeWave       func(value []byte) (cloud.Wave, error)
	// EncodeWaveStatus returns the key and value that publish the status of a wave.
	EncodeWaveStatus func(number int, isCompleted bool) (key string, value []byte)
}

// Config configures a Daemon.
type Config struct {
	Settings Settings
	Platform Platform
	Clock    *timer.Clock
	Log      *logrus.Entry
	Scope    tally.Scope
}

// Daemon is an entry that serves jobs. Run is called once; the other methods are safe
// for concurrent use.
type Daemon struct {
	config   Config
	platform Platform
	log      *logrus.Entry
	self     roster.Member
	mesh     *call.Mesh
	// store calls the store, by way of storePath if Settings.Relay is set: directly, or
	// relayed by a peer. storePath is nil otherwise. relay serves the calls that peers
	// relay through this entry.
	store       *store.Client
	storePath   *relay.Path
	relay       *relay.Server
	session     *store.Session
	roster      *roster.Roster
	ledger      *ledger.Ledger
	homes       *homes.Homes
	adviceTurns adviceTurns
	setup       atomic.Pointer[setup.Setup]
	// submitters is the server for submitters, nil until the daemon runs.
	submitters  atomic.Pointer[intake.Server]
	storeHealth storeHealth
	// directory holds the endpoints that are registered in the store.
	directory   *directory
	evacuations *evacuations

	workers background.Group
	// manageNow makes manageCells check the ownership at once. It is buffered, so
	// signals sent before the check are merged.
	manageNow chan struct{}
	// ownershipGained receives a value when this entry becomes the owner of a cell.
	ownershipGained chan struct{}

	mu sync.Mutex
	// owners holds the owners of cells in this entry, and takingOver the cells whose
	// takeover is in progress, both by cell.
	owners     map[string]*owner.Owner
	takingOver map[string]bool
	// waves holds the maintenance waves by key in the store.
	waves     map[string]storedWave
	steward   *steward.Steward
	isLeaving bool
}

// New returns a daemon that listens for calls from peers. Everything else starts with
// Run.
func New(config Config) (daemon *Daemon, err error) {
	d := &Daemon{
		config: config, platform: config.Platform, log: config.Log,
		manageNow: make(chan struct{}, 1), ownershipGained: make(chan struct{}, 1), owners: make(map[string]*owner.Owner), takingOver: make(map[string]bool),
		waves: make(map[string]storedWave),
	}
	s := config.Settings
	d.self = roster.Member{Name: s.Name, Centre: s.Centre, Peer: s.Peer, Cores: s.Cores, Incarnation: uuid.NewString()}
	d.mesh, err = call.New(call.Config{Listen: s.Peer, Serve: d.serve, ReportFailure: func(err error) {
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "accept peer", "error": err.Error()})
	}})
	if err != nil {
		return nil, err
	}
	d.storeHealth = storeHealth{log: d.log}
	d.relay = relay.NewServer(d.platform.Store)
	d.store = d.platform.Store
	if s.Relay {
		d.storePath = relay.New(relay.Config{
			Direct: d.platform.Store, Peers: d.relayPeers, Log: d.log,
			Call: func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error) {
				return d.mesh.Call(ctx, peer, request)
			},
		})
		d.store = d.storePath.Client()
	}
	d.directory = newDirectory(directoryConfig{
		Prefix: d.platform.EndpointPrefix, Decode: d.platform.DecodeEndpoint, OnChange: d.distributeEndpoints, Log: d.log,
	})
	d.evacuations = newEvacuations(evacuationsConfig{
		Prefix: d.platform.EvacuationPrefix, Client: d.store, IsStoreUp: d.isStoreUp, IsNeeded: d.isOwner, Log: d.log,
	})
	d.roster = roster.New(roster.Config{Client: d.store, Self: d.self, OnChange: d.wakeManager})
	d.ledger, d.homes = ledger.New(d.store, d.log), homes.New(d.store, d.log)
	d.ledger.IsOwned = func(cell string) bool {
		_, isOwned := d.roster.Owner(cell)
		return isOwned
	}
	d.session = store.NewSession(store.SessionConfig{
		Client: d.store, TTL: sessionTTL,
		OnGrant: d.onLeaseGranted, OnExpiry: d.onLeaseLost, OnFailure: d.storeHealth.recordFailure, OnSuccess: d.storeHealth.recordSuccess,
	})
	return d, nil
}

// Run serves until the context is cancelled, then hands all cells over, goes on
// answering for a time so that callers can move to other entries, and stops. It
// returns an error only if a listener cannot be opened.
func (d *Daemon) Run(ctx context.Context) (err error) {
	event.Started.Log(d.log, logrus.Fields{"name": d.self.Name, "centre": d.self.Centre, "life": d.self.Incarnation})
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.workers.Go(func() { d.session.Run(background) })
	d.workers.Go(func() { d.watchOperators(background) })
	d.workers.Go(func() { d.evacuations.run(background) })
	d.workers.Go(func() { d.watchRoster(background) })
	d.workers.Go(func() { d.watchEndpoints(background) })
	d.workers.Go(func() { d.manageCells(background) })
	d.workers.Go(func() {
		d.config.Clock.Every(background, balanceInterval, func(time.Time) { d.balanceLimits(background) })
	})
	<-ctx.Done()
	waited := d.leave()
	listeners.close(d.lingerTime() - waited)
	cancel()
	d.mesh.Close()
	d.stopOwners()
	d.workers.Wait()
	event.Stopped.Log(d.log, nil)
	return nil
}

// Reload applies the settings that can change in a running entry: the log level at
// once, and the bounds for cells that are taken over from now on.
func (d *Daemon) Reload(settings Settings) {
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		d.log.Logger.SetLevel(level)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Settings.Bounds, d.config.Settings.LogLevel = settings.Bounds, settings.LogLevel
}

// bounds returns the bounds for a cell that is taken over now.
func (d *Daemon) bounds() jobs.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Settings.bounds()
}

// relayPeers returns the entries that may relay calls to the store for this one,
// those of other data centres first: a fault that disconnects an entry from the store
// often affects its whole data centre.
func (d *Daemon) relayPeers() []netip.AddrPort {
	var sameCentre, otherCentres []netip.AddrPort
	for _, m := range d.roster.Members() {
		switch {
		case m.Name == d.self.Name || m.IsLeaving:
		case m.Centre == d.self.Centre:
			sameCentre = append(sameCentre, m.Peer)
		default:
			otherCentres = append(otherCentres, m.Peer)
		}
	}
	return append(otherCentres, sameCentre...)
}

// wakeManager makes manageCells check the ownership at once. It does not block.
func (d *Daemon) wakeManager() {
	select {
	case d.manageNow <- struct{}{}:
	default:
	}
}

// IsReady reports whether the load balancer should send callers to this entry: it is
// not leaving, has a configuration and reaches the store.
func (d *Daemon) IsReady() bool {
	d.mu.Lock()
	isLeaving := d.isLeaving
	d.mu.Unlock()
	return !isLeaving && d.setup.Load() != nil && d.storeHealth.isReachable()
}

// onLeaseGranted starts to announce this entry under a new lease of the session.
func (d *Daemon) onLeaseGranted(lease store.Lease) {
	event.SessionEstablished.Log(d.log, logrus.Fields{"lease": int64(lease)})
	d.workers.Go(func() { d.announce(lease) })
}

// announce writes this entry's member key, with retries until it succeeds or the
// session has another lease.
func (d *Daemon) announce(lease store.Lease) {
	for d.session.Lease() == lease {
		err := d.roster.Announce(context.Background(), lease)
		if err == nil {
			d.wakeManager()
			return
		}
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "announce", "error": err.Error()})
		time.Sleep(manageInterval)
	}
}

// onLeaseLost stops the steward and all owners, since the store has removed the
// ownership keys with the lease.
func (d *Daemon) onLeaseLost(lease store.Lease) {
	event.SessionExpired.Log(d.log, logrus.Fields{"lease": int64(lease)})
	for cell, o := range d.detachOwners() {
		event.CellLost.Log(d.log, logrus.Fields{"cell": cell, "reason": "the lease of the store session expired"})
		go o.Stop()
	}
}

// currentOwners returns a copy of the map of owners by cell.
func (d *Daemon) currentOwners() map[string]*owner.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.owners)
}

// detachOwners stops the steward, and removes and returns the owners by cell. They get
// no more requests; the caller must stop them.
func (d *Daemon) detachOwners() map[string]*owner.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steward != nil {
		d.steward.Stop()
	}
	owners := d.owners
	d.owners = make(map[string]*owner.Owner)
	return owners
}

// stopOwners stops the steward and all owners, and waits for the owners.
func (d *Daemon) stopOwners() {
	for _, o := range d.detachOwners() {
		o.Stop()
	}
}

// manageCells takes over the cells, and the stewardship, that the roster assigns to
// this entry, until the context ends. It hands all cells over if calls to the store are
// relayed and that proves unreliable.
func (d *Daemon) manageCells(ctx context.Context) {
	monitor := relayMonitor{}
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.manageNow:
		}
		isRelayed := d.storePath != nil && d.storePath.IsDirectDown()
		if monitor.update(boot.Now(), isRelayed, d.session.IsValid()) {
			d.handOverAll()
		}
		s := d.setup.Load()
		if s == nil || !d.session.IsValid() || monitor.isBackingOff(boot.Now()) {
			continue
		}
		// The owner of a cell that is not configured any more returns its allocations.
		// The jobs of a queue are where it was before, too.
		cells := slices.Concat(configuredCells(s), d.ledger.Cells(), d.homes.Cells())
		slices.Sort(cells)
		cells = slices.Compact(cells)
		if d.platform.Cloud != nil {
			cells = append(cells, stewardCell)
		}
		for _, cell := range d.roster.CellsToTakeOver(cells, d.isRunning) {
			d.takeOver(cell)
		}
	}
}

// configuredCells returns the cells of a configuration: all pools but those on standby
// that no queue sends jobs to.
func configuredCells(s *setup.Setup) []string {
	var cells []string
	for _, pool := range s.Pools {
		isUsed := !pool.IsStandby
		for i := range s.Queues {
			isUsed = isUsed || s.Queues[i].Pool == pool.Name
		}
		if isUsed {
			cells = append(cells, pool.Name)
		}
	}
	return cells
}

// isRunning reports whether this entry owns a cell or is taking it over.
func (d *Daemon) isRunning(cell string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isRunningLocked(cell)
}

// isRunningLocked is isRunning for callers that hold d.mu.
func (d *Daemon) isRunningLocked(cell string) bool {
	if cell == stewardCell && d.steward != nil {
		return true
	}
	return d.owners[cell] != nil || d.takingOver[cell]
}

// takeOver starts the takeover of a cell in the background.
func (d *Daemon) takeOver(cell string) {
	d.mu.Lock()
	// The roster may not show the last takeover yet. A second one would find the
	// entry's own key and start a second owner of the cell.
	if d.isRunningLocked(cell) || d.isLeaving {
		d.mu.Unlock()
		return
	}
	d.takingOver[cell] = true
	d.mu.Unlock()
	d.workers.Go(func() {
		defer func() {
			d.mu.Lock()
			delete(d.takingOver, cell)
			d.mu.Unlock()
		}()
		lease := d.session.Lease()
		condition, err := d.roster.TakeOver(context.Background(), cell, lease)
		if err != nil {
			event.OperationFailed.Log(d.log, logrus.Fields{"call": "take", "cell": cell, "error": err.Error()})
			return
		}
		if cell == stewardCell {
			d.startSteward(condition, lease)
			return
		}
		d.startOwner(cell, condition, lease)
	})
}

// startOwner runs the owner of a cell in the background. The condition is the
// ownership key of the cell, whose revision is the epoch, and lease the one of the key. It
// does nothing if the lease has expired, and releases the cell if this entry is leaving.
func (d *Daemon) startOwner(cell string, condition store.Condition, lease store.Lease) {
	event.CellTakenOver.Log(d.log, logrus.Fields{"cell": cell, "epoch": condition.Revision})
	// The keys are read while the owner loads its state, so that it can start work at once.
	d.evacuations.readSoon()
	o := owner.New(owner.Config{
		Cell: cell, Store: d.store, Endpoints: d.platform.Endpoints, Condition: condition,
		IsValid: d.session.IsValid, IsStoreUp: d.isStoreUp, Bounds: d.bounds(), OwnedSince: boot.Now(),
		Guard: d.guard(cell), AccountLimit: d.accountLimit(cell), AccountReach: d.ledger.Reach, AccountTotal: d.accountTotal, AccountWeight: d.accountWeight,
		Advise: d.platform.Advise, AwaitAdviceTurn: d.adviceTurns.await, QueueAt: d.queueAt, AdviceTerms: d.adviceTerms,
		Evacuated: d.evacuations.centres, AreEvacuationsKnown: d.evacuations.areKnown,
		IsForecasting: d.config.Settings.Forecast,
		Leaving:       d.leaving(cell), LeavingDuration: steward.CordonDuration,
		Log:   d.log.WithField("cell", cell),
		Scope: d.config.Scope.Tagged(map[string]string{"cell": cell}),
	})
	d.mu.Lock()
	// onLeaseLost stops the owners that were added before under the same lock.
	if d.session.Lease() != lease {
		d.mu.Unlock()
		event.CellLost.Log(d.log, logrus.Fields{"cell": cell, "epoch": condition.Revision, "reason": errLeaseExpired.Error()})
		return
	}
	// leave hands over the owners that were added before under the same lock.
	if d.isLeaving {
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		d.releaseCell(ctx, cell, condition)
		return
	}
	previous := d.owners[cell]
	d.owners[cell] = o
	d.mu.Unlock()
	select {
	case d.ownershipGained <- struct{}{}:
	default:
	}
	if previous != nil {
		previous.Stop()
	}
	d.workers.Go(func() {
		err := o.Run()
		d.mu.Lock()
		if d.owners[cell] == o {
			delete(d.owners, cell)
		}
		d.mu.Unlock()
		if err != nil {
			event.CellLost.Log(d.log, logrus.Fields{"cell": cell, "epoch": condition.Revision, "reason": err.Error()})
			d.wakeManager()
		}
	})
	d.directory.publish()
}

// errLeaseExpired reports that an ownership key was removed with its lease before the
// owner or steward was started. It would count as valid under the next lease.
var errLeaseExpired = errors.New("the lease of the store session expired during the takeover")

// isStoreUp reports whether the last renewal of the session is recent enough to show
// that the store answers.
func (d *Daemon) isStoreUp() bool { return boot.Now().Sub(d.session.LastContact()) < maxRenewalAge }

// maxRenewalAge is the age up to which the last renewal counts as recent. The session
// is renewed every half second.
const maxRenewalAge = 900 * time.Millisecond

// leave announces that this entry is leaving, and hands over all cells and the
// stewardship. Cells are kept until another entry is there that stays, for a part of the
// linger time at most; waited is how long that took. handoverTimeout bounds the calls to the
// store.
func (d *Daemon) leave() (waited time.Duration) {
	d.mu.Lock()
	d.isLeaving = true
	s := d.steward
	d.mu.Unlock()
	event.ShuttingDown.Log(d.log, logrus.Fields{"cells": len(d.currentOwners())})
	d.roster.Leave()
	startedAt := boot.Now()
	d.announceLeaving()
	if len(d.currentOwners()) > 0 {
		d.awaitSuccessor(startedAt)
		waited = boot.Now().Sub(startedAt)
	}
	owners := d.currentOwners()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var releases conc.WaitGroup
	releases.Go(func() { d.releaseCells(ctx, owners) })
	if s != nil {
		s.Stop()
		releases.Go(func() { d.releaseStewardship(ctx, s.Condition()) })
	}
	releases.Wait()
	return waited
}

// announceLeaving makes known that this entry takes over no more cells.
func (d *Daemon) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	lease := d.session.Lease()
	if lease == 0 {
		return
	}
	if err := d.roster.Announce(ctx, lease); err != nil {
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "announce", "error": err.Error()})
	}
}

// awaitSuccessor waits until there is another entry that stays, as far as is known once entries
// that were stopped at the same time have announced it. While all entries are leaving, a cell
// that is handed over has no owner. leftAt is when this entry began to leave.
func (d *Daemon) awaitSuccessor(leftAt time.Time) {
	limit := time.Duration(successorFraction*float64(d.lingerTime())) - boot.Now().Sub(leftAt)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-time.After(announcementTime):
		d.roster.AwaitStayingMember(ctx)
	case <-ctx.Done():
	}
}

// handOverAll hands all cells over to other entries, but not the stewardship.
// handoverTimeout bounds the calls to the store.
func (d *Daemon) handOverAll() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	d.releaseCells(ctx, d.currentOwners())
}

// releaseCells prepares cells for the handover, stops their owners and removes their
// ownership keys. It returns when all are done.
func (d *Daemon) releaseCells(ctx context.Context, owners map[string]*owner.Owner) {
	var releases conc.WaitGroup
	for cell, o := range owners {
		releases.Go(func() {
			o.PrepareHandover(ctx)
			o.Stop()
			d.releaseCell(ctx, cell, o.Condition())
		})
	}
	releases.Wait()
}

// releaseCell removes the ownership key of a cell that is not served any more, so that
// another entry takes it over at once.
func (d *Daemon) releaseCell(ctx context.Context, cell string, condition store.Condition) {
	fields := logrus.Fields{"cell": cell, "epoch": condition.Revision}
	if err := d.roster.Release(ctx, condition); err != nil {
		fields["error"] = err.Error()
	}
	event.CellHandedOver.Log(d.log, fields)
}

// releaseStewardship removes the ownership key of the stewardship, as releaseCell does.
func (d *Daemon) releaseStewardship(ctx context.Context, condition store.Condition) {
	if err := d.roster.Release(ctx, condition); err != nil {
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "release stewardship", "error": err.Error()})
	}
}

// lingerTime returns how long a leaving entry goes on answering requests after the
// handover, while its callers move to other entries.
func (d *Daemon) lingerTime() time.Duration {
	return time.Duration(d.config.Settings.StopSeconds * lingerFraction * float64(time.Second))
}

// lingerFraction is the part of the stop time for which a leaving entry goes on
// answering. The rest is for the handover before and the end of requests after.
const lingerFraction = 0.5

// successorFraction is the part of the linger time for which a leaving entry keeps its cells
// while no entry stays. The rest is for callers to notice the handover.
const successorFraction = 0.8

// announcementTime is how long it takes until entries that are stopped together know it of each
// other: a write to the store and its watch.
const announcementTime = 200 * time.Millisecond
