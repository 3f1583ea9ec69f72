// Package fleet is the entry daemon for jobs: it wires the submitters' listener,
// the cells that this entry owns, the peers, the store and the steward together.
package fleet

import (
	"context"
	"maps"
	"net/netip"
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
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/cell/ledger"
	"gitlab.com/chicorypin/chicorypin/internal/cell/owner"
	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/internal/cell/steward"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/relay"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// sessionTTL is how long the store keeps an entry's keys without a renewal.
	// A dead owner is replaced after it. Renewals come four times in it, so two may
	// fail; a cell that is lost for nothing is served elsewhere within 0.1 s.
	sessionTTL = 2 * time.Second
	// manageEvery is how often ownership is looked at without a change.
	manageEvery = 100 * time.Millisecond
	// balanceEvery is how often limits are divided anew.
	balanceEvery = 300 * time.Millisecond
	// registryGap is the least time between two answers of the watch on
	// endpoints, which write about once a second each.
	registryGap = 200 * time.Millisecond
	// settleTimeout bounds the end of a cell's work before it is handed over.
	settleTimeout = 1500 * time.Millisecond
)

// Platform is what the daemon runs on.
type Platform struct {
	Store     *store.Client
	Endpoints *endpoint.Client
	// Cloud is nil where machines are not moved or maintained.
	Cloud *cloud.Client
	// Advise is nil where no queue has a policy.
	Advise func(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
	Codec  submitter.Codec
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	// Prefixes and keys in the store, and how to read what lies there.
	OperatorPrefix, ConfigKey, WavePrefix, EndpointPrefix string
	DecodeConfig                                          func(value []byte, revision int64) (*setup.Setup, error)
	DecodeEndpoint                                        func(key string, value []byte) (endpoint.Entry, error)
	DecodeWave                                            func(value []byte) (cloud.Wave, error)
	EncodeWaveStatus                                      func(number int, isCompleted bool) (key string, value []byte)
}

// Config sets up a Daemon.
type Config struct {
	Settings Settings
	Platform Platform
	Timer    *timer.Service
	Log      *logrus.Entry
	Scope    tally.Scope
}

// Daemon is an entry that serves jobs.
type Daemon struct {
	config   Config
	platform Platform
	log      *logrus.Entry
	self     roster.Member
	mesh     *call.Mesh
	// store is reached directly or through a peer; relay makes calls for peers.
	store   *store.Client
	path    *relay.Path
	relay   *relay.Server
	session *store.Session
	roster  *roster.Roster
	ledger  *ledger.Ledger
	setup   atomic.Pointer[setup.Setup]
	contact contact
	// directory holds the endpoints that discovery lists.
	directory *directory

	wait conc.WaitGroup
	wake chan struct{}
	// owning is told when this entry begins to own something.
	owning chan struct{}

	mu     sync.Mutex
	owners map[string]*owner.Owner
	taking map[string]bool
	// waves are those of the operators.
	waves     map[string]knownWave
	steward   *steward.Steward
	isLeaving bool
}

// New returns a daemon; Run serves.
func New(config Config) (daemon *Daemon, err error) {
	d := &Daemon{
		config: config, platform: config.Platform, log: config.Log,
		wake: make(chan struct{}, 1), owning: make(chan struct{}, 1), owners: make(map[string]*owner.Owner), taking: make(map[string]bool),
		waves: make(map[string]knownWave),
	}
	s := config.Settings
	d.self = roster.Member{Name: s.Name, Centre: s.Centre, Peer: s.Peer, Cores: s.Power, Life: uuid.NewString()}
	d.mesh, err = call.New(call.Config{Listen: s.Peer, Serve: d.serve})
	if err != nil {
		return nil, err
	}
	d.contact = contact{log: d.log}
	d.relay = relay.NewServer(d.platform.Store)
	d.path = relay.New(relay.Config{
		Direct: d.platform.Store, Peers: d.relays, Log: d.log,
		Call: func(ctx context.Context, peer netip.AddrPort, request *wire.Request) (*wire.Response, error) {
			return d.mesh.Call(ctx, peer, request)
		},
	})
	d.store = d.path.Client()
	d.directory = newDirectory(directoryConfig{
		Prefix: d.platform.EndpointPrefix, Decode: d.platform.DecodeEndpoint, Pass: d.passEntries, Log: d.log,
	})
	d.roster = roster.New(roster.Config{Client: d.store, Self: d.self, OnChange: d.nudge})
	d.ledger = ledger.New(d.store, d.log)
	d.session = store.NewSession(store.SessionConfig{
		Client: d.store, TTL: sessionTTL,
		OnGrant: d.sessionMade, OnExpiry: d.sessionLost, OnFailure: d.contact.failed, OnSuccess: d.contact.reached,
	})
	return d, nil
}

// Run serves until the context ends, then hands over and stops.
func (d *Daemon) Run(ctx context.Context) (err error) {
	event.Started.Log(d.log, logrus.Fields{"name": d.self.Name, "centre": d.self.Centre, "life": d.self.Life})
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.wait.Go(func() { d.session.Run(background) })
	d.wait.Go(func() { d.watchOperators(background) })
	d.wait.Go(func() { d.watchRoster(background) })
	d.wait.Go(func() { d.watchEndpoints(background) })
	d.wait.Go(func() { d.manage(background) })
	d.wait.Go(func() { d.config.Timer.Every(background, balanceEvery, func(time.Time) { d.balance(background) }) })
	<-ctx.Done()
	d.leave()
	listeners.close(d.lingering())
	cancel()
	d.mesh.Close()
	d.stopOwners()
	d.wait.Wait()
	event.Stopped.Log(d.log, nil)
	return nil
}

// Reload brings changed settings in force, as far as a running entry can change:
// the level of the log and the figures of cells that are taken from now on.
func (d *Daemon) Reload(settings Settings) {
	if level, err := logrus.ParseLevel(settings.Level); err == nil {
		d.log.Logger.SetLevel(level)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Settings.Bounds, d.config.Settings.Level = settings.Bounds, settings.Level
}

// bounds returns the figures for a cell that is taken now.
func (d *Daemon) bounds() jobs.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Settings.bounds()
}

// relays returns the entries that may make calls to the store for this one: those
// of other data centres first, since what cuts an entry off often cuts off its
// neighbours too.
func (d *Daemon) relays() []netip.AddrPort {
	if !d.config.Settings.Relay {
		return nil
	}
	var near, far []netip.AddrPort
	for _, m := range d.roster.Members() {
		switch {
		case m.Name == d.self.Name || m.IsLeaving:
		case m.Centre == d.self.Centre:
			near = append(near, m.Peer)
		default:
			far = append(far, m.Peer)
		}
	}
	return append(far, near...)
}

// nudge makes manage look at ownership at once.
func (d *Daemon) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// IsReady tells whether the balancer should send callers here.
func (d *Daemon) IsReady() bool {
	d.mu.Lock()
	isLeaving := d.isLeaving
	d.mu.Unlock()
	return !isLeaving && d.setup.Load() != nil && d.contact.isUp()
}

func (d *Daemon) sessionMade(lease store.Lease) {
	event.SessionMade.Log(d.log, logrus.Fields{"lease": int64(lease)})
	d.wait.Go(func() { d.announce(lease) })
}

// announce writes the entry's own key until it is written or the lease is
// another one.
func (d *Daemon) announce(lease store.Lease) {
	for d.session.Lease() == lease {
		err := d.roster.Announce(context.Background(), lease)
		if err == nil {
			d.nudge()
			return
		}
		event.CallFailed.Log(d.log, logrus.Fields{"call": "announce", "error": err.Error()})
		time.Sleep(manageEvery)
	}
}

func (d *Daemon) sessionLost(lease store.Lease) {
	event.SessionLost.Log(d.log, logrus.Fields{"lease": int64(lease)})
	for cell, o := range d.detachOwners() {
		event.CellLost.Log(d.log, logrus.Fields{"cell": cell, "reason": "the session lapsed"})
		go o.Stop()
	}
}

// currentOwners returns the owners of the cells that this entry has now.
func (d *Daemon) currentOwners() map[string]*owner.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.owners)
}

// detachOwners stops the steward and returns the owners, which are no longer asked
// and are the caller's to stop.
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

func (d *Daemon) stopOwners() {
	for _, o := range d.detachOwners() {
		o.Stop()
	}
}

// manage takes the cells whose turn it is.
func (d *Daemon) manage(ctx context.Context) {
	footing := footing{}
	ticker := time.NewTicker(manageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		if footing.note(boot.Now(), d.path.IsDetour(), d.session.IsValid()) {
			d.handOver()
		}
		s := d.setup.Load()
		if s == nil || !d.session.IsValid() || footing.isResting(boot.Now()) {
			continue
		}
		cells := cellsOf(s)
		if d.platform.Cloud != nil {
			cells = append(cells, stewardCell)
		}
		for _, cell := range d.roster.CellsToTakeOver(cells, d.isRunning) {
			d.take(cell)
		}
	}
}

// cellsOf returns the cells of a configuration: the pools that are on or that a
// queue sends jobs to.
func cellsOf(s *setup.Setup) []string {
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

func (d *Daemon) isRunning(cell string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isRunningLocked(cell)
}

func (d *Daemon) isRunningLocked(cell string) bool {
	if cell == stewardCell && d.steward != nil {
		return true
	}
	return d.owners[cell] != nil || d.taking[cell]
}

func (d *Daemon) take(cell string) {
	d.mu.Lock()
	// The view may be older than the last take, and a second one would find its
	// own key and run the cell twice.
	if d.isRunningLocked(cell) || d.isLeaving {
		d.mu.Unlock()
		return
	}
	d.taking[cell] = true
	d.mu.Unlock()
	d.wait.Go(func() {
		defer func() {
			d.mu.Lock()
			delete(d.taking, cell)
			d.mu.Unlock()
		}()
		condition, err := d.roster.TakeOver(context.Background(), cell, d.session.Lease())
		if err != nil {
			event.CallFailed.Log(d.log, logrus.Fields{"call": "take", "cell": cell, "error": err.Error()})
			return
		}
		if cell == stewardCell {
			d.runSteward(condition)
			return
		}
		d.own(cell, condition)
	})
}

// own runs a cell in the background.
func (d *Daemon) own(cell string, condition store.Condition) {
	event.CellTaken.Log(d.log, logrus.Fields{"cell": cell, "epoch": condition.Revision})
	o := owner.New(owner.Config{
		Cell: cell, Store: d.store, Endpoints: d.platform.Endpoints, Condition: condition,
		IsValid: d.session.IsValid, IsStoreUp: d.isStoreUp, Bounds: d.bounds(), OwnedSince: boot.Now(),
		AccountLimit: d.entitled(cell), Advise: d.platform.Advise,
		Log:   d.log.WithField("cell", cell),
		Scope: d.config.Scope.Tagged(map[string]string{"cell": cell}),
	})
	d.mu.Lock()
	earlier := d.owners[cell]
	d.owners[cell] = o
	d.mu.Unlock()
	select {
	case d.owning <- struct{}{}:
	default:
	}
	if earlier != nil {
		earlier.Stop()
	}
	d.wait.Go(func() {
		err := o.Run()
		d.mu.Lock()
		if d.owners[cell] == o {
			delete(d.owners, cell)
		}
		d.mu.Unlock()
		if err != nil {
			event.CellLost.Log(d.log, logrus.Fields{"cell": cell, "epoch": condition.Revision, "reason": err.Error()})
			d.nudge()
		}
	})
	d.directory.pass()
}

// isStoreUp tells whether the last renewal of the session is as recent as it is
// while the store answers.
func (d *Daemon) isStoreUp() bool { return boot.Now().Sub(d.session.LastContact()) < renewalLate }

// renewalLate is how old the last renewal may be: renewals come every half
// second.
const renewalLate = 900 * time.Millisecond

// leave hands over all cells.
func (d *Daemon) leave() {
	d.mu.Lock()
	d.isLeaving = true
	owners, s := maps.Clone(d.owners), d.steward
	d.mu.Unlock()
	event.Leaving.Log(d.log, logrus.Fields{"cells": len(owners)})
	d.roster.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if lease := d.session.Lease(); lease != 0 {
		if err := d.roster.Announce(ctx, lease); err != nil {
			event.CallFailed.Log(d.log, logrus.Fields{"call": "announce", "error": err.Error()})
		}
	}
	var wait conc.WaitGroup
	wait.Go(func() { d.giveUp(ctx, owners) })
	if s != nil {
		s.Stop()
		wait.Go(func() {
			if err := d.roster.Release(ctx, s.Condition()); err != nil {
				event.CallFailed.Log(d.log, logrus.Fields{"call": "give up stewardship", "error": err.Error()})
			}
		})
	}
	wait.Wait()
}

// handOver gives all cells to other entries.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	d.giveUp(ctx, d.currentOwners())
}

// giveUp settles cells and removes their ownership.
func (d *Daemon) giveUp(ctx context.Context, owners map[string]*owner.Owner) {
	var wait conc.WaitGroup
	for cell, o := range owners {
		wait.Go(func() {
			o.PrepareHandover(ctx)
			o.Stop()
			err := d.roster.Release(ctx, o.Condition())
			fields := logrus.Fields{"cell": cell, "epoch": o.Condition().Revision}
			if err != nil {
				fields["error"] = err.Error()
			}
			event.CellLeft.Log(d.log, fields)
		})
	}
	wait.Wait()
}

// lingering is how long an entry that leaves still answers, until the callers
// have gone elsewhere: most of the time it has, less what the hand-over took.
func (d *Daemon) lingering() time.Duration {
	return time.Duration(d.config.Settings.Stop * lingerShare * float64(time.Second))
}

// lingerShare leaves room for the hand-over before and the end of requests after.
const lingerShare = 0.5
