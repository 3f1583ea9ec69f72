// Package steward carries out the moves and the maintenance of machines that package
// pools plans. One entry at a time holds the stewardship; the epoch of its ownership
// is the fencing token of all its orders.
package steward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// stepInterval is how often the steward reads the demand and plans.
	stepInterval = 200 * time.Millisecond
	// idleListInterval is how often machines are listed while no operation is in
	// progress, busyListInterval while one is.
	idleListInterval = 1500 * time.Millisecond
	busyListInterval = 400 * time.Millisecond
	// ownerTimeout bounds a call to the owner of a pool, so that an unreachable owner
	// does not delay the other pools.
	ownerTimeout = 350 * time.Millisecond
	// callTimeout bounds a call to the cloud or the store.
	callTimeout = 1200 * time.Millisecond
	// CordonDuration is how long a cordon lasts unless it is renewed. It is longer
	// than an order can be in progress.
	CordonDuration = 4 * time.Second
	// forceAfter is how long maintenance waits for the short-lived work on its
	// machine to end; after that the work is abandoned.
	forceAfter = 7 * time.Second
	// orderRetention is how long an ordered machine stays in the stored state. It is
	// longer than the time in which an order is repeated plus the quiet period of the
	// next holder.
	orderRetention = 6 * time.Second
	// moveDrainLimit is how long a machine may be kept free of new work for a move
	// before the move is given up.
	moveDrainLimit = 4 * time.Second
	// maintenanceDrainLimit is the same for maintenance. It exceeds forceAfter. A machine
	// that cannot be emptied of long-running tasks is given back for
	// maintenanceRetryDelay, so that tasks that can run nowhere else are started there.
	maintenanceDrainLimit = 9 * time.Second
	maintenanceRetryDelay = 3 * time.Second
	// refusalBackoff is how long a machine gets no orders after a refusal. Such a
	// machine is already moving or in maintenance, which takes seconds.
	refusalBackoff = 2 * time.Second
	// returnLimit is how long after its order a machine is expected back; after that
	// the operation is dropped.
	returnLimit = 12 * time.Second
)

// Cells calls the owners of pools.
type Cells struct {
	// Survey returns the demand of a pool and the load of each of its endpoints.
	Survey func(ctx context.Context, pool string) (jobs.Demand, []jobs.Load, error)
	// Cordon keeps new work off endpoints for a duration and returns their loads.
	// With evacuate, long-running tasks are moved elsewhere as far as their steps
	// allow.
	Cordon func(ctx context.Context, pool string, endpoints []string, duration time.Duration, evacuate bool) ([]jobs.Load, error)
}

// Wave is a maintenance wave.
type Wave struct {
	cloud.Wave
	// FirstSeen is when the wave was first read.
	FirstSeen time.Time
}

// Config configures a Steward.
type Config struct {
	Store *store.Client
	Cloud *cloud.Client
	Cells Cells
	// Holder names this entry and its epoch in orders.
	Holder cloud.Holder
	// Condition is the ownership key of the stewardship at the revision that is held;
	// every write depends on it.
	Condition store.Condition
	// IsValid reports whether the stewardship is certainly held now.
	IsValid func() bool
	// QuietPeriod is how long machines ordered by the previous holder get no orders;
	// by then its orders must have ended.
	QuietPeriod time.Duration
	// Pools and Waves return the current configuration.
	Pools func() []pools.Pool
	Waves func() []Wave
	// Evacuated returns the evacuated data centres; it may be nil.
	Evacuated func() []string
	// EncodeStatus returns the key and value that publish the status of a wave.
	EncodeStatus func(number int, isCompleted bool) (key string, value []byte)
	// CPU returns the capacity of an endpoint in thousandths of a core, 0 if unknown.
	CPU func(endpoint string) int64
	Log *logrus.Entry
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Steward moves machines between pools and maintains them. Run is called once; the
// other methods are safe for concurrent use.
type Steward struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	workers background.Group

	mu       sync.Mutex
	machines []cloud.Machine
	// listedAt is when machines was read.
	listedAt time.Time
	// isCloudLost is set while the machines cannot be listed.
	isCloudLost bool
	// operations holds the operation in progress of each machine, by machine ID.
	operations map[string]*operation
	// maintained lists the machines that each wave has maintained, published the
	// completion last written for each wave.
	maintained map[int][]string
	published  map[int]bool
	// knownSince is since when earlier holders had known each wave, by number.
	knownSince map[int]time.Time
	// savedAt is when the state was last saved.
	savedAt time.Time
	// isStateChanged is set while maintained differs from the stored state, or that names an
	// endpoint whose order was refused.
	isStateChanged bool
	// lastOrdered is when each machine was last ordered, quietUntil the time before
	// which it gets no orders.
	lastOrdered map[string]time.Time
	quietUntil  map[string]time.Time
	// inheritedLeaving is state.Leaving of the previous holder, whose orders have ended by inheritedUntil.
	inheritedLeaving map[string][]string
	inheritedUntil   time.Time
	// idleSince is when each machine was first seen without runs.
	idleSince map[string]time.Time
	// served holds the last endpoint of each machine that an owner knew, unservedSince since
	// when the present one has not been known although the pool's owner answers.
	served        map[string]string
	unservedSince map[string]time.Time
	// hasEndpoints reports by pool whether the owner listed any endpoint in the last survey.
	hasEndpoints map[string]bool
	// revisions holds the last known store revision of each key that the steward writes. It
	// is used by Run alone.
	revisions map[string]int64
	// labels is used by buildView alone, under its lock.
	labels *pools.LabelHistory
	// maxCPU is the largest capacity seen, used for machines whose capacity is
	// unknown.
	maxCPU int64
	// isOrderFenced is set when the cloud has refused an order because of a later
	// holder.
	isOrderFenced bool
	usage         usageReport
}

// New returns a steward that does nothing until Run is called.
func New(config Config) *Steward {
	s := &Steward{
		config: config, operations: make(map[string]*operation), maintained: make(map[int][]string),
		published: make(map[int]bool), knownSince: make(map[int]time.Time), idleSince: make(map[string]time.Time),
		lastOrdered: make(map[string]time.Time), quietUntil: make(map[string]time.Time), labels: pools.NewLabelHistory(),
		revisions: make(map[string]int64), served: make(map[string]string), unservedSince: make(map[string]time.Time),
		hasEndpoints: make(map[string]bool), usage: newUsageReport(config.Scope, config.Log),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Stop makes Run return; it does not wait for that. Run itself waits for orders in
// progress.
func (s *Steward) Stop() { s.cancel() }

// Run loads the state and works until Stop is called or an order is refused because
// of a later holder.
func (s *Steward) Run() {
	defer s.workers.Wait()
	defer s.cancel()
	for !s.loadState() {
		if !s.pause(stepInterval) {
			return
		}
	}
	for {
		if s.config.IsValid() {
			s.step()
		}
		if s.isFenced() || !s.pause(stepInterval) {
			return
		}
	}
}

// pause waits for a duration and returns false if the steward was stopped.
func (s *Steward) pause(duration time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// isFenced reports whether the cloud has refused an order because of a later holder.
func (s *Steward) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOrderFenced
}

// Condition returns the condition that holds while this steward holds the
// stewardship.
func (s *Steward) Condition() store.Condition { return s.config.Condition }

// step runs one planning cycle. Nothing is planned if the machines cannot be listed.
func (s *Steward) step() {
	now := boot.Now()
	if !s.listMachines(now) {
		return
	}
	view := s.buildView(now)
	s.usage.update(now, view)
	s.updateOperations(now)
	s.planOperations(now, view)
	s.cordonMachines(now)
	s.publishWaveStatus()
}
