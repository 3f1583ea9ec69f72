// Package owner runs a cell: it feeds the state machine of package jobs with
// what submitters and endpoints say, stores its records and gives its orders.
package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/journal"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// cycleGap is the least time between two plans. It bounds the store calls of
	// a cell and lets records share a write.
	cycleGap = 40 * time.Millisecond
	// tick is how often the cell plans without an event, for time-outs.
	tick = 200 * time.Millisecond
	// forgetEvery is how often ended jobs are looked through.
	forgetEvery = 5 * time.Second
	// stuckAfter is how long a write may take until submitters are turned away.
	stuckAfter = 600 * time.Millisecond
	// inboxLength is how many events wait for the loop.
	inboxLength = 512
	// startTimeout bounds an order. Endpoints answer in milliseconds; a task whose
	// start is open cannot run elsewhere meanwhile.
	startTimeout = 450 * time.Millisecond
	// ordersAtOnce bounds the orders to one endpoint at a time.
	ordersAtOnce = 4
)

// ErrOpen says that a request may have been carried out.
var ErrOpen = errors.New("the outcome is open")

// ErrNotDone says that a request was not carried out and never will be.
var ErrNotDone = errors.New("not carried out")

// Config sets up an Owner.
type Config struct {
	Cell      string
	Store     *store.Client
	Endpoints *endpoint.Client
	// Condition is the key of the ownership at the revision that is held, which
	// is the epoch of all orders.
	Condition store.Condition
	// IsValid tells whether the ownership is surely held now.
	IsValid func() bool
	// IsStoreUp tells whether the store has answered lately.
	IsStoreUp func() bool
	Bounds    jobs.Bounds
	// Inherited is when the ownership began.
	Inherited time.Time
	// Entitled returns what a client account may run in this cell.
	Entitled func(account string) (limit jobs.Size, isBounded bool)
	// Advise asks which endpoints may run a step; nil where no queue needs it.
	Advise func(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Owner runs one cell. It is safe for concurrent use.
type Owner struct {
	config  Config
	epoch   endpoint.Epoch
	cell    *jobs.Cell
	journal *journal.Journal
	inbox   chan func()
	ctx     context.Context
	cancel  context.CancelFunc
	wait    conc.WaitGroup
	isReady atomic.Bool

	// The fields below belong to the loop.
	lookers map[string]*looker
	waiters []func(err error)
	// writing is since when a write is under way.
	writing   time.Time
	isWriting bool
	isDirty   bool
	// isPaused says that the ownership is not certain.
	isPaused  bool
	isLeaving bool
	// isSaved says that the state was stored whole since the owner began to leave.
	isSaved   bool
	planned   time.Time
	forgotten time.Time

	metrics metrics
	failure error
	done    chan struct{}
}

// New returns an owner; Run serves the cell.
func New(config Config) *Owner {
	o := &Owner{
		config:  config,
		epoch:   endpoint.Epoch(config.Condition.Revision),
		inbox:   make(chan func(), inboxLength),
		lookers: make(map[string]*looker),
		done:    make(chan struct{}),
		metrics: newMetrics(config.Scope),
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.cell = jobs.New(jobs.Config{Bounds: config.Bounds, Inherited: config.Inherited, Entitled: config.Entitled})
	return o
}

// Run reads the state of the cell and serves it until Stop is called or the
// cell is lost. It returns why it ended.
func (o *Owner) Run() (err error) {
	defer close(o.done)
	defer o.wait.Wait()
	defer o.cancel()
	o.journal, err = journal.Load(o.ctx, o.config.Store, o.config.Cell, o.config.Condition, o.cell, boot.Now())
	if err != nil {
		return err
	}
	o.isReady.Store(true)
	event.CellServing.Log(o.config.Log, logrus.Fields{"jobs": o.cell.Active(), "epoch": int64(o.epoch)})
	o.loop()
	o.fail(ErrOpen)
	return o.failure
}

func (o *Owner) loop() {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.inbox:
			f()
			o.drain()
			o.isDirty = true
		case <-timer.C:
			o.isDirty = true
		case <-soon.C:
		}
		if wait := o.cycle(); wait > 0 {
			soon.Reset(wait)
		}
	}
}

func (o *Owner) drain() {
	for {
		select {
		case f := <-o.inbox:
			f()
		default:
			return
		}
	}
}

// cycle plans and writes if it is time to, and returns when to come again.
func (o *Owner) cycle() (again time.Duration) {
	now := boot.Now()
	o.noteValidity()
	if !o.isDirty || o.isWriting || o.isPaused {
		return 0
	}
	if wait := cycleGap - now.Sub(o.planned); wait > 0 {
		return wait
	}
	o.planned, o.isDirty = now, false
	if now.Sub(o.forgotten) > forgetEvery {
		o.forgotten = now
		o.cell.Forget(now)
	}
	if !o.isLeaving {
		o.cell.Plan(now, time.Now())
		o.logWaits(now)
	}
	o.orderStops(now)
	o.orderPaces(now)
	o.askAdvice(now)
	batch := o.cell.Take()
	o.logEnds(batch.Ends)
	if len(batch.Records) == 0 && (!o.isLeaving || o.isSaved) {
		o.stored(batch)
		return 0
	}
	o.write(now, batch)
	return 0
}

// noteValidity logs when the ownership becomes uncertain and certain again.
func (o *Owner) noteValidity() {
	isPaused := !o.config.IsValid()
	if isPaused == o.isPaused {
		return
	}
	o.isPaused = isPaused
	if isPaused {
		event.CellPaused.Log(o.config.Log, logrus.Fields{"epoch": int64(o.epoch)})
	} else {
		event.CellResumed.Log(o.config.Log, logrus.Fields{"epoch": int64(o.epoch)})
	}
}

// write stores a batch in the background.
func (o *Owner) write(now time.Time, batch jobs.Batch) {
	o.isWriting, o.writing = true, now
	waiters := o.waiters
	o.waiters = nil
	var state *jobs.Snapshot
	isLast := o.isLeaving && !o.isSaved
	if o.journal.WantsSnapshot() || isLast {
		s := o.cell.Snapshot()
		state = &s
	}
	o.wait.Go(func() {
		var err error
		if state != nil {
			err = o.journal.Rewrite(o.ctx, *state)
		} else {
			err = o.journal.Append(o.ctx, batch.Records)
		}
		took := boot.Now().Sub(now)
		o.post(func() {
			o.isWriting = false
			o.metrics.write.RecordDuration(took)
			if err != nil {
				o.lose(err)
				for _, waiter := range waiters {
					waiter(ErrOpen)
				}
				return
			}
			for _, waiter := range waiters {
				waiter(nil)
			}
			o.isSaved = o.isSaved || isLast
			o.stored(batch)
		})
	})
}

// stored carries out what had to wait for a batch to be stored.
func (o *Owner) stored(batch jobs.Batch) {
	now := boot.Now()
	if !o.isWriting && len(batch.Records) == 0 {
		waiters := o.waiters
		o.waiters = nil
		for _, waiter := range waiters {
			waiter(nil)
		}
	}
	for _, start := range o.cell.Stored(now, batch) {
		o.orderStart(start)
	}
	for _, id := range batch.Finished() {
		state, _ := o.cell.Status(id)
		event.JobEnded.Log(o.config.Log, logrus.Fields{"job": id, "state": string(state)})
	}
}

// lose ends the owner for an error.
func (o *Owner) lose(err error) {
	o.failure = err
	o.cancel()
}

// fail answers all requests that wait.
func (o *Owner) fail(err error) {
	for _, waiter := range o.waiters {
		waiter(err)
	}
	o.waiters = nil
}

// post hands a function to the loop. It is dropped if the owner has ended.
func (o *Owner) post(f func()) {
	select {
	case o.inbox <- f:
	case <-o.ctx.Done():
	}
}

// ask runs a function in the loop and waits for it.
func (o *Owner) ask(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	select {
	case o.inbox <- func() { f(); close(finished) }:
	case <-o.ctx.Done():
		return ErrNotDone
	case <-ctx.Done():
		return ErrNotDone
	}
	select {
	case <-finished:
		return nil
	case <-o.done:
		return ErrOpen
	case <-ctx.Done():
		return ErrOpen
	}
}

// IsServing tells whether requests can be answered now.
func (o *Owner) IsServing() bool {
	return o.isReady.Load() && o.ctx.Err() == nil && o.config.IsValid()
}

// Condition returns the condition under which the cell is owned.
func (o *Owner) Condition() store.Condition { return o.config.Condition }

// Stop ends the owner without handing over.
func (o *Owner) Stop() {
	o.cancel()
	<-o.done
}

// Settle ends planning and waits until the state is stored with all that was
// decided before, so that the cell can be handed over. Ends that endpoints list
// meanwhile need not be stored: they list them to the next owner again.
func (o *Owner) Settle(ctx context.Context) {
	o.post(func() { o.isLeaving, o.isDirty = true, true })
	for ctx.Err() == nil && o.ctx.Err() == nil {
		isSaved := false
		if o.ask(ctx, func() { isSaved = o.isSaved }) != nil || isSaved {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(cycleGap / 4):
		}
	}
}
