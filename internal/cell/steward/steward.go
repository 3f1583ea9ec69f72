// Package steward carries out what package pools decides on machines. One entry
// holds the stewardship; its epoch is the fencing token of all orders.
package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// stateKey is where a holder notes what the next one has to know.
const stateKey = "steward/state"

// state is what outlasts a holder.
type state struct {
	// Done are the machines that each wave has maintained.
	Done map[int][]string `json:"done,omitempty"`
	// Ordered are the machines for which orders were given lately. It is written
	// before they are given.
	Ordered []string `json:"ordered,omitempty"`
}

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
	// saveAfter is how long short-lived work may go on before what saves its
	// progress is stopped, forceAfter before the rest is given up.
	saveAfter  = 2500 * time.Millisecond
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

// phase is how far a duty is.
type phase int

const (
	// freeing duties keep work off the machine.
	freeing phase = iota
	// ordered duties wait for the answer to the order.
	ordered
	// open duties had no answer; the order is given again.
	open
	// settling duties wait for the machine to come back.
	settling
)

// duty is one thing to do with a machine.
type duty struct {
	machine  string
	endpoint string
	from     string
	// pool is where the machine moves, empty for an upkeep.
	pool  string
	wave  int
	phase phase
	since time.Time
	// tried is when the order was last given.
	tried time.Time
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

// load reads what earlier holders have done.
func (s *Steward) load() bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	item, err := s.config.Store.Get(ctx, stateKey)
	if errors.Is(err, store.ErrAbsent) {
		return true
	}
	var last state
	if err == nil {
		err = json.Unmarshal(item.Value, &last)
	}
	if err != nil {
		event.CallFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
		return false
	}
	if last.Done != nil {
		s.done = last.Done
	}
	now := boot.Now()
	for _, machine := range last.Ordered {
		s.quiet[machine] = now.Add(s.config.Quiet)
		s.ordered[machine] = now
	}
	return true
}

// note stores what the next holder has to know, with the machines that are to
// be ordered now. Nothing may be ordered before it has succeeded.
func (s *Steward) note(now time.Time, next []*duty) bool {
	s.mu.Lock()
	for _, d := range next {
		s.ordered[d.machine] = now
	}
	current := state{Done: s.done}
	for machine, at := range s.ordered {
		if now.Sub(at) < noteFor {
			current.Ordered = append(current.Ordered, machine)
		} else {
			delete(s.ordered, machine)
		}
	}
	slices.Sort(current.Ordered)
	value, err := json.Marshal(current)
	s.changed = false
	s.mu.Unlock()
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		_, err = s.config.Store.Commit(ctx, store.Change{
			If: []store.Condition{s.config.Condition}, Puts: []store.Put{{Key: stateKey, Value: value}},
		})
	}
	if err != nil {
		s.mu.Lock()
		s.changed = true
		s.mu.Unlock()
		event.CallFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
	}
	return err == nil
}

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

// list reads the machines if it is time to.
func (s *Steward) list(now time.Time) (isKnown bool) {
	s.mu.Lock()
	every := listEvery
	if len(s.duties) > 0 {
		every = listSoon
	}
	isFresh := now.Sub(s.listed) < every && s.machines != nil
	s.mu.Unlock()
	if isFresh {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	machines, err := s.config.Cloud.Machines(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !s.isLost {
			s.isLost = true
			event.CloudLost.Log(s.config.Log, logrus.Fields{"error": err.Error()})
		}
		return false
	}
	if s.isLost {
		s.isLost = false
		event.CloudBack.Log(s.config.Log, nil)
	}
	s.machines, s.listed = machines, now
	return true
}

// view puts together what the planner goes by.
func (s *Steward) view(now time.Time) pools.View {
	v := pools.View{Pools: s.config.Pools()}
	loads := make(map[string]jobs.Load)
	var mu sync.Mutex
	var wait conc.WaitGroup
	for i := range v.Pools {
		p := &v.Pools[i]
		if p.IsStandby {
			continue
		}
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
			defer cancel()
			demand, found, err := s.config.Cells.Survey(ctx, p.Name)
			if err != nil {
				// The pool stays without a survey, and so keeps its machines.
				event.CallFailed.Log(s.config.Log, logrus.Fields{"call": "survey", "cell": p.Name, "error": err.Error()})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.IsSurveyed = true
			p.Present, p.Arriving, p.Lasting, p.Least = demand.Present, demand.Arriving, demand.Lasting, demand.Least
			for _, load := range found {
				loads[load.Endpoint] = load
			}
		})
	}
	wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		v.Machines = append(v.Machines, s.describe(now, m, loads))
	}
	for _, w := range s.config.Waves() {
		v.Waves = append(v.Waves, s.describeWave(now, w, v.Machines))
	}
	return v
}

func (s *Steward) describe(now time.Time, m cloud.Machine, loads map[string]jobs.Load) pools.Machine {
	described := pools.Machine{Machine: m, CPU: s.config.CPU(m.Endpoint), IsEngaged: s.isEngaged(now, m.ID)}
	if described.CPU == 0 {
		described.CPU = s.cpu
	}
	s.cpu = max(s.cpu, described.CPU)
	if load, ok := loads[m.Endpoint]; ok && load.IsKnown {
		described.IsSurveyed, described.Runs, described.Lasting = true, load.Runs, load.Lasting
	}
	if described.IsSurveyed && described.Runs == 0 {
		if s.idle[m.ID].IsZero() {
			s.idle[m.ID] = now
		}
		described.Idle = now.Sub(s.idle[m.ID])
	} else {
		delete(s.idle, m.ID)
	}
	for _, w := range s.config.Waves() {
		if slices.Contains(w.Machines, m.ID) && !slices.Contains(s.done[w.Number], m.ID) {
			described.Wave = w.Number
		}
	}
	return described
}

// isEngaged tells whether a machine has a duty or is left alone for now.
func (s *Steward) isEngaged(now time.Time, machine string) bool {
	return s.duties[machine] != nil || now.Before(s.quiet[machine])
}

func (s *Steward) describeWave(now time.Time, w Wave, machines []pools.Machine) pools.Wave {
	described := pools.Wave{
		Number: w.Number, Most: w.Most, Passed: now.Sub(w.Seen), Length: time.Duration(w.Seconds * float64(time.Second)),
	}
	for _, m := range machines {
		d := s.duties[m.ID]
		isDown := d != nil && d.wave == w.Number
		// A machine that an earlier holder has sent away counts too.
		isDown = isDown || d == nil && m.State == cloud.Upkeep && slices.Contains(w.Machines, m.ID)
		if isDown {
			described.Down++
		}
	}
	return described
}

// plan takes on new duties.
func (s *Steward) plan(now time.Time, v pools.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range pools.Upkeeps(v) {
		s.take(now, &duty{machine: u.Machine.ID, endpoint: u.Machine.Endpoint, from: u.Machine.Pool, wave: u.Wave})
	}
	for i := range v.Machines {
		v.Machines[i].IsEngaged = s.isEngaged(now, v.Machines[i].ID)
	}
	moves := pools.Moves(v)
	if len(moves) > 0 {
		s.logSizes(v, len(moves))
	}
	for _, m := range moves {
		s.take(now, &duty{machine: m.Machine.ID, endpoint: m.Machine.Endpoint, from: m.Machine.Pool, pool: m.Pool})
	}
}

// logSizes logs what a plan went by: for each pool the machines it has and
// needs, and the demand behind that.
func (s *Steward) logSizes(v pools.View, moves int) {
	fields := logrus.Fields{"moves": moves, "listed": boot.Now().Sub(s.listed).Milliseconds()}
	for _, size := range pools.Sizes(v) {
		fields[size.Pool] = fmt.Sprintf("have %d need %d", size.Have, size.Need)
	}
	for _, p := range v.Pools {
		if !p.IsStandby {
			fields[p.Name+".demand"] = fmt.Sprintf("present %d arriving %d lasting %d", p.Present, p.Arriving, p.Lasting)
		}
	}
	event.PoolsSized.Log(s.config.Log, fields)
}

func (s *Steward) take(now time.Time, d *duty) {
	if s.duties[d.machine] == nil {
		d.since = now
		s.duties[d.machine] = d
	}
}

// advance looks at the duties whose machines were to come back.
func (s *Steward) advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]cloud.Machine, len(s.machines))
	for _, m := range s.machines {
		known[m.ID] = m
	}
	for id, d := range s.duties {
		m, isListed := known[id]
		isFresh := s.listed.After(d.tried)
		switch {
		case !isListed || m.State == cloud.Down || d.isOver(now, m, isFresh):
			delete(s.duties, id)
		case d.phase == open && isFresh && (m.State == cloud.Upkeep || m.State == cloud.Moving):
			s.began(d)
		}
	}
}

// isOver tells whether a duty is done or to be given up.
func (d *duty) isOver(now time.Time, m cloud.Machine, isFresh bool) bool {
	switch d.phase {
	case freeing:
		return m.Endpoint != d.endpoint || d.pool != "" && now.Sub(d.since) > giveUpAfter
	case settling:
		isBack := isFresh && m.State == cloud.Up && m.Endpoint != d.endpoint
		return isBack || now.Sub(d.tried) > settleLimit
	default:
		return false
	}
}

// began notes that a machine has been taken down for its duty.
func (s *Steward) began(d *duty) {
	d.phase = settling
	if d.wave != 0 && !slices.Contains(s.done[d.wave], d.machine) {
		s.done[d.wave] = append(s.done[d.wave], d.machine)
		s.changed = true
	}
}

// cordon keeps work off the machines with duties and gives the orders for those
// that are free.
func (s *Steward) cordon(now time.Time) {
	s.mu.Lock()
	byPool := make(map[string][]*duty)
	standby := make(map[string]bool)
	for _, p := range s.config.Pools() {
		standby[p.Name] = p.IsStandby
	}
	var free []*duty
	for _, d := range s.duties {
		switch {
		case d.phase == settling:
		case standby[d.from]:
			free = append(free, d)
		default:
			byPool[d.from] = append(byPool[d.from], d)
		}
	}
	s.mu.Unlock()
	var mu sync.Mutex
	var wait conc.WaitGroup
	for pool, duties := range byPool {
		wait.Go(func() {
			found := s.cordonPool(now, pool, duties)
			mu.Lock()
			free = append(free, found...)
			mu.Unlock()
		})
	}
	wait.Wait()
	free = slices.DeleteFunc(free, func(d *duty) bool { return !s.mayOrder(now, d) })
	if len(free) == 0 || !s.note(now, free) || !s.config.IsValid() {
		return
	}
	for _, d := range free {
		s.order(d)
	}
}

// cordonPool returns the duties whose machines are free.
func (s *Steward) cordonPool(now time.Time, pool string, duties []*duty) (free []*duty) {
	ids := make([]string, len(duties))
	for i, d := range duties {
		ids[i] = d.endpoint
	}
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	loads, err := s.config.Cells.Cordon(ctx, pool, ids, cordonLength, true)
	if err != nil {
		// The machines are not known to be free, so they wait.
		event.CallFailed.Log(s.config.Log, logrus.Fields{"call": "cordon", "cell": pool, "error": err.Error()})
		return nil
	}
	for _, load := range loads {
		for _, d := range duties {
			if d.endpoint != load.Endpoint || !load.IsKnown {
				continue
			}
			isOver := d.wave != 0 && load.Lasting == 0 && now.Sub(d.since) > forceAfter
			if load.Runs == 0 || isOver {
				free = append(free, d)
			}
		}
	}
	return free
}

// mayOrder tells whether it is time to give the order of a duty.
func (s *Steward) mayOrder(now time.Time, d *duty) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.quiet[d.machine]) {
		return false
	}
	return d.phase == freeing || d.phase == open && now.Sub(d.tried) >= callTimeout
}

// order gives the order of a duty in the background.
func (s *Steward) order(d *duty) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.phase, d.tried = ordered, boot.Now()
	machine, pool, wave := d.machine, d.pool, d.wave
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		if pool != "" {
			err = s.config.Cloud.Move(ctx, s.config.Holder, machine, pool)
		} else {
			err = s.config.Cloud.Maintain(ctx, s.config.Holder, machine, wave)
		}
		s.answered(d, err)
	})
}

func (s *Steward) answered(d *duty, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{
		"machine": d.machine, "endpoint": d.endpoint, "from": d.from, "pool": d.pool, "wave": d.wave,
		"epoch": s.config.Holder.Epoch, "waited": boot.Now().Sub(d.since).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	switch {
	case err == nil && d.pool != "":
		event.MachineMoved.Log(s.config.Log, fields)
		s.began(d)
	case err == nil:
		event.MachineDown.Log(s.config.Log, fields)
		s.began(d)
	case errors.Is(err, cloud.ErrOpen):
		event.DutyOpen.Log(s.config.Log, fields)
		d.phase = open
	default:
		event.DutyRefused.Log(s.config.Log, fields)
		s.quiet[d.machine] = boot.Now().Add(refusedWait)
		s.fenced = s.fenced || errors.Is(err, cloud.ErrFenced)
		delete(s.duties, d.machine)
	}
}

// tell writes the state of waves.
func (s *Steward) tell() {
	s.mu.Lock()
	isChanged := s.changed
	s.mu.Unlock()
	if isChanged && !s.note(boot.Now(), nil) {
		return
	}
	s.mu.Lock()
	change := store.Change{If: []store.Condition{s.config.Condition}}
	told := make(map[int]bool)
	present := make(map[string]bool, len(s.machines))
	for _, m := range s.machines {
		present[m.ID] = true
	}
	for _, w := range s.config.Waves() {
		isCompleted := !slices.ContainsFunc(w.Machines, func(id string) bool {
			return present[id] && !slices.Contains(s.done[w.Number], id)
		})
		before, isTold := s.told[w.Number]
		if isTold && before == isCompleted || before {
			continue
		}
		key, value := s.config.EncodeStatus(w.Number, isCompleted)
		change.Puts = append(change.Puts, store.Put{Key: key, Value: value})
		told[w.Number] = isCompleted
	}
	s.mu.Unlock()
	if len(change.Puts) == 0 || len(change.Puts) >= store.MaxChange {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if _, err := s.config.Store.Commit(ctx, change); err != nil {
		event.CallFailed.Log(s.config.Log, logrus.Fields{"call": "wave status", "error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, isCompleted := range told {
		s.told[number] = isCompleted
		if isCompleted {
			event.WaveDone.Log(s.config.Log, logrus.Fields{"wave": number})
		}
	}
}
