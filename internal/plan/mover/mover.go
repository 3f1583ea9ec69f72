// Package mover rebalances instances between pools according to sustained
// demand. Bursts of a few seconds cause no moves; they are absorbed within the pool.
// Instances are taken from the spare pool first and returned to it when they are no
// longer needed.
package mover

import (
	"math"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// Defaults of Config.
const (
	DefaultBucket      = 30 * time.Second
	DefaultWindow      = 5 * time.Minute
	DefaultMoveDelay   = 2 * time.Minute
	DefaultReturnDelay = 10 * time.Minute
	DefaultMinSurplus  = 2
)

// Config configures a Mover. Zero values select the defaults.
type Config struct {
	// Bucket is the interval whose demand samples are averaged into one value.
	Bucket time.Duration
	// Window is the period over which demand is averaged, in whole buckets. It must
	// span many bursts of a few seconds, so that none is mistaken for sustained
	// demand.
	Window time.Duration
	// MoveDelay is how long a pool must be short of instances before one is moved
	// to it, and how long it must have had a surplus before one is taken from it
	// for another pool.
	MoveDelay time.Duration
	// ReturnDelay is how long a pool must have had a surplus before one of its
	// instances is returned to the spare pool.
	ReturnDelay time.Duration
	// MinSurplus is the smallest number of instances beyond the required number
	// that counts as a surplus.
	MinSurplus int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Bucket, DefaultBucket)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.MoveDelay, DefaultMoveDelay)
	setDefault(&c.ReturnDelay, DefaultReturnDelay)
	setDefault(&c.MinSurplus, DefaultMinSurplus)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Mover tracks the demand of the pools and plans moves. It is not safe for
// concurrent use. Its state is kept in memory only and may be discarded at any
// time; a new Mover plans no moves until it has observed a full window.
type Mover struct {
	config Config
	pools  map[string]*poolDemand
}

// poolDemand is the observed demand of one pool, in slots.
type poolDemand struct {
	bucketStart   time.Time
	bucketSum     float64
	bucketSamples int
	// bucketAverages holds the averages of the buckets in the window, oldest first.
	bucketAverages []float64
	// shortSince and surplusSince are the times at which the current shortage or
	// surplus of instances began, zero if there is none.
	shortSince   time.Time
	surplusSince time.Time
}

// Move is a proposal to move an instance to the pool Target.
type Move struct {
	Instance string
	Target   string
}

// NewMover returns a Mover without observations.
func NewMover(config Config) *Mover {
	return &Mover{config: config.withDefaults(), pools: make(map[string]*poolDemand)}
}

// Observe records a demand sample of a pool: the number of slots that its running
// and waiting work needs in the whole fleet. It is to be called for every pool
// about once a second.
func (m *Mover) Observe(now time.Time, pool string, slots int) {
	d := m.pools[pool]
	if d == nil {
		d = &poolDemand{bucketStart: now}
		m.pools[pool] = d
	}
	d.bucketSum += float64(slots)
	d.bucketSamples++
	if now.Sub(d.bucketStart) < m.config.Bucket {
		return
	}
	d.bucketAverages = append(d.bucketAverages, d.bucketSum/float64(d.bucketSamples))
	if maxBuckets := int(m.config.Window / m.config.Bucket); len(d.bucketAverages) > maxBuckets {
		d.bucketAverages = d.bucketAverages[1:]
	}
	d.bucketStart, d.bucketSum, d.bucketSamples = now, 0, 0
}

// Plan returns the moves that sustained demand calls for, at most one into each
// pool that is short of instances. It returns none while an earlier move is in
// progress or if the document names no spare pool. The caller must apply the moves
// one after another and check the budget of the source pool each time: Plan checks
// the budget for each move against the current fleet alone.
func (m *Mover) Plan(now time.Time, current fleet.Fleet, doc document.Document) (moves []Move) {
	if doc.SparePool == "" || isMoveInProgress(current) {
		return nil
	}
	sizes := m.measurePools(now, current, doc)
	for _, p := range doc.Pools {
		if p.Name == doc.SparePool || !m.isDue(now, m.shortageStart(p.Name), m.config.MoveDelay) {
			continue
		}
		source := m.chooseSource(now, sizes, doc, p.Name)
		if instance := pickInstance(current, doc, source, p.Name, moves); instance != "" {
			moves = append(moves, Move{Instance: instance, Target: p.Name})
			sizes[source].actual--
		}
	}
	return append(moves, m.planReturns(now, current, doc, sizes)...)
}

// planReturns plans moves to the spare pool from pools whose surplus has lasted
// for ReturnDelay. While any pool is short of instances it plans none, since the
// surplus is then needed there.
func (m *Mover) planReturns(now time.Time, current fleet.Fleet, doc document.Document, sizes map[string]*poolSize) (moves []Move) {
	if hasShortage(sizes) {
		return nil
	}
	for _, p := range doc.Pools {
		s := sizes[p.Name]
		if p.Name == doc.SparePool || !s.hasSurplus(m.config.MinSurplus) || !m.isDue(now, m.surplusStart(p.Name), m.config.ReturnDelay) {
			continue
		}
		if instance := pickInstance(current, doc, p.Name, doc.SparePool, moves); instance != "" {
			moves = append(moves, Move{Instance: instance, Target: doc.SparePool})
		}
	}
	return moves
}

// poolSize compares the instances of a pool with those that its sustained demand
// requires.
type poolSize struct {
	actual   int
	required int
	floor    int
}

// hasSurplus reports whether the pool has at least minSurplus instances more than
// required. A pool at its floor has no surplus.
func (s *poolSize) hasSurplus(minSurplus int) bool {
	return s.actual-s.required >= minSurplus && s.actual > s.floor
}

func hasShortage(sizes map[string]*poolSize) bool {
	for _, s := range sizes {
		if s.required > s.actual {
			return true
		}
	}
	return false
}

// measurePools returns the sizes of all pools by name and updates the start times
// of shortages and surpluses. A pool without a full window of demand, or without
// instances, counts as having the size it requires.
func (m *Mover) measurePools(now time.Time, current fleet.Fleet, doc document.Document) map[string]*poolSize {
	sizes := make(map[string]*poolSize)
	for _, p := range doc.Pools {
		instances, slots := countInstances(current, p.Name)
		s := &poolSize{actual: instances, required: instances, floor: max(p.MinInstances, 1)}
		sizes[p.Name] = s
		demand, isKnown := m.sustainedDemand(p.Name)
		if !isKnown || instances == 0 {
			continue
		}
		s.required = max(int(math.Ceil(demand*float64(instances)/float64(slots))), s.floor)
		d := m.pools[p.Name]
		updateSince(&d.shortSince, now, s.required > s.actual)
		updateSince(&d.surplusSince, now, s.hasSurplus(m.config.MinSurplus))
	}
	return sizes
}

// sustainedDemand returns the demand of a pool in slots, averaged over the window;
// isKnown is false until the window is full.
func (m *Mover) sustainedDemand(pool string) (slots float64, isKnown bool) {
	d := m.pools[pool]
	if d == nil || len(d.bucketAverages) < int(m.config.Window/m.config.Bucket) {
		return 0, false
	}
	for _, average := range d.bucketAverages {
		slots += average
	}
	return slots / float64(len(d.bucketAverages)), true
}

// chooseSource returns the pool from which an instance is moved to the target: the
// spare pool if it is above its floor, else the pool with the largest surplus that
// has lasted for MoveDelay, "" if there is none.
func (m *Mover) chooseSource(now time.Time, sizes map[string]*poolSize, doc document.Document, target string) (source string) {
	if s := sizes[doc.SparePool]; s.actual > s.floor {
		return doc.SparePool
	}
	largest := 0
	for _, p := range doc.Pools {
		s := sizes[p.Name]
		surplus := s.actual - s.required
		isReleasable := s.hasSurplus(m.config.MinSurplus) && m.isDue(now, m.surplusStart(p.Name), m.config.MoveDelay)
		if p.Name != target && p.Name != doc.SparePool && isReleasable && surplus > largest {
			source, largest = p.Name, surplus
		}
	}
	return source
}

func (m *Mover) shortageStart(pool string) time.Time {
	if d := m.pools[pool]; d != nil {
		return d.shortSince
	}
	return time.Time{}
}

func (m *Mover) surplusStart(pool string) time.Time {
	if d := m.pools[pool]; d != nil {
		return d.surplusSince
	}
	return time.Time{}
}

// isDue reports whether a shortage or surplus that began at the given time, zero if
// there is none, has lasted for the delay.
func (m *Mover) isDue(now, since time.Time, delay time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= delay
}

// updateSince sets a start time to now when its condition becomes active and to
// zero when it ends.
func updateSince(since *time.Time, now time.Time, isActive bool) {
	switch {
	case !isActive:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// isMoveInProgress reports whether an instance is draining for a move. The next
// moves are planned only when it has arrived and its effect can be seen.
func isMoveInProgress(current fleet.Fleet) bool {
	return slices.ContainsFunc(current.Instances, func(i fleet.Instance) bool { return i.Reason == fleet.ByMove })
}

// countInstances returns the number of instances of a pool, and of their slots. It
// includes those under maintenance by a wave: they return by themselves, so a wave
// must not look like a shortage.
func countInstances(current fleet.Fleet, pool string) (instances int, slots uint32) {
	for _, i := range current.Instances {
		if i.Pool == pool && (i.IsServing() || i.Reason == fleet.ByWave) {
			instances++
			slots += i.Slots
		}
	}
	return instances, slots
}

// pickInstance chooses a serving instance of the source pool that the pool's budget
// allows to leave, preferring the data centre in which the target pool has the
// fewest instances, and leaving out those of the moves already planned. It returns ""
// if there is none.
func pickInstance(current fleet.Fleet, doc document.Document, source, target string, planned []Move) (instance string) {
	targetPerCentre := make(map[string]int)
	for _, i := range current.Instances {
		if i.Pool == target {
			targetPerCentre[i.Centre]++
		}
	}
	minShare := 0.0
	for _, p := range doc.Pools {
		if p.Name == source {
			minShare = p.MinShare
		}
	}
	fewest := math.MaxInt
	budget := current.PoolBudget(source, minShare)
	for _, i := range current.Instances {
		if slices.ContainsFunc(planned, func(m Move) bool { return m.Instance == i.Name }) {
			continue
		}
		if i.Pool == source && i.IsServing() && budget.Admits(i) && targetPerCentre[i.Centre] < fewest {
			instance, fewest = i.Name, targetPerCentre[i.Centre]
		}
	}
	return instance
}
