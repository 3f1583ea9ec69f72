// Package steward carries out what package pools decides on machines. One entry
// holds the stewardship; its epoch is the fencing token of all orders.
package steward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// stepEvery is how often the steward looks at demand.
	stepEvery = 200 * time.Millisecond
	// listEvery is how often machines are listed without a duty under way,
	// listSoon with one.
	listEvery = 1500 * time.Millisecond
	listSoon  = 400 * time.Millisecond
	// askTimeout bounds a question to the owner of a pool. One that is cut off
	// must not hold up the others.
	askTimeout = 350 * time.Millisecond
	// callTimeout bounds a call to the cloud or the store.
	callTimeout = 1200 * time.Millisecond
	// cordonLength is how long an owner keeps work off a machine without hearing
	// again; longer than an order can be under way.
	cordonLength = 4 * time.Second
	// forceAfter is how long short-lived work may go on before it is given up.
	forceAfter = 7 * time.Second
	// noteFor is how long a machine that was ordered is noted for the next holder.
	// It is longer than an order is repeated and the next holder's wait together.
	noteFor = 6 * time.Second
	// giveUpAfter is how long a machine may be kept free for a move.
	giveUpAfter = 4 * time.Second
	// refusedWait is how long a machine is left alone after a refusal: it is on its
	// way somewhere, which takes seconds.
	refusedWait = 2 * time.Second
	// settleLimit is how long a machine may take to come back.
	settleLimit = 12 * time.Second
)

// Cells reaches the owners of pools.
type Cells struct {
	// Survey returns what a pool could use and what runs on its endpoints.
	Survey func(ctx context.Context, pool string) (jobs.Demand, []jobs.Load, error)
	// Cordon keeps new work off endpoints and returns what runs there.
	Cordon func(ctx context.Context, pool string, endpoints []string, length time.Duration, evacuate bool) ([]jobs.Load, error)
}

// Wave is a wave with the time when it was first seen.
type Wave struct {
	cloud.Wave
	Seen time.Time
}

// Config sets up a Steward.
type Config struct {
	Store     *store.Client
	Cloud     *cloud.Client
	Cells     Cells
	Holder    cloud.Holder
	Condition store.Condition
	IsValid   func() bool
	// Quiet is how long to wait for orders of the last holder to be over.
	Quiet time.Duration
	// Pools and Waves return what is in force.
	Pools func() []pools.Pool
	Waves func() []Wave
	// EncodeStatus returns the key and value that tell the state of a wave.
	EncodeStatus func(number int, isCompleted bool) (key string, value []byte)
	// CPU returns the processors of a machine's endpoint, 0 if not known.
	CPU func(endpoint string) int64
	Log *logrus.Entry
}

// Steward keeps machines in pools and maintains them.
type Steward struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu       sync.Mutex
	machines []cloud.Machine
	listed   time.Time
	isLost   bool
	duties   map[string]*duty
	// done are the machines that each wave has maintained, told the states that
	// were written.
	done    map[int][]string
	told    map[int]bool
	changed bool
	// ordered is when each machine was ordered last, quiet until when a machine
	// that the last holder has ordered gets no orders.
	ordered map[string]time.Time
	quiet   map[string]time.Time
	idle    map[string]time.Time
	cpu     int64
	fenced  bool
}

// New returns a steward; Run works until Stop.
func New(config Config) *Steward {
	s := &Steward{
		config: config, duties: make(map[string]*duty), done: make(map[int][]string),
		told: make(map[int]bool), idle: make(map[string]time.Time),
		ordered: make(map[string]time.Time), quiet: make(map[string]time.Time),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Stop ends the steward. Orders under way are waited for.
func (s *Steward) Stop() { s.cancel() }

// Run works until Stop is called or another holder is met.
func (s *Steward) Run() {
	defer s.wait.Wait()
	defer s.cancel()
	for !s.load() {
		if !s.pause(stepEvery) {
			return
		}
	}
	for {
		if s.config.IsValid() {
			s.step()
		}
		if s.isFenced() || !s.pause(stepEvery) {
			return
		}
	}
}

func (s *Steward) pause(length time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

func (s *Steward) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced
}

// Condition returns the condition under which the stewardship is held.
func (s *Steward) Condition() store.Condition { return s.config.Condition }

func (s *Steward) step() {
	now := boot.Now()
	if !s.list(now) {
		return
	}
	view := s.view(now)
	s.advance(now)
	s.plan(now, view)
	s.cordon(now)
	s.tell()
}
