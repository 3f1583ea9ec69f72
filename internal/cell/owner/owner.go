// Package owner runs a cell. It feeds requests of submitters and answers of endpoints
// into the state machine of package jobs, stores the resulting records in the cell's
// journal and sends the orders that follow to endpoints.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/homes"
	"gitlab.com/chicorypin/chicorypin/internal/cell/journal"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// minCycleGap is the minimum time between two planning cycles. It limits the
	// store calls of a cell and lets records share a write.
	minCycleGap = 40 * time.Millisecond
	// planInterval is how often the cell is planned when no events arrive, so that
	// timeouts take effect.
	planInterval = 200 * time.Millisecond
	// forgetInterval is how often expired jobs are purged from memory.
	forgetInterval = 5 * time.Second
	// incompleteDelay is how long the ownership of a cell whose log is incomplete is kept
	// before it is given up, so that entries do not take the cell over in a tight loop.
	incompleteDelay = 5 * time.Second
	// slowWriteLimit is how long a journal write may be in progress before new jobs
	// are rejected.
	slowWriteLimit = 600 * time.Millisecond
	// inboxCapacity is the number of events that can be queued for the loop.
	inboxCapacity = 512
	// orderTimeout bounds an order to an endpoint. Endpoints answer in milliseconds,
	// and a task cannot be placed elsewhere while its start is unanswered.
	orderTimeout = 450 * time.Millisecond
	// maxOrdersPerEndpoint limits the concurrent orders to one endpoint, each of which
	// needs a connection. A second one keeps orders going while one is not answered.
	maxOrdersPerEndpoint = 2
)

// ErrIndeterminate reports that the outcome of a request is unknown: it may have been
// carried out, or may still be.
var ErrIndeterminate = errors.New("the outcome is open")

// ErrNotDone reports that a request was not carried out and will not be carried out
// later.
var ErrNotDone = errors.New("not carried out")

// Config configures an Owner.
type Config struct {
	// Cell is the name of the cell.
	Cell      string
	Store     *store.Client
	Endpoints *endpoint.Client
	// Condition is the ownership key at the revision that this owner holds. Every
	// write depends on it, and its revision is the epoch of all orders.
	Condition store.Condition
	// IsValid reports whether the ownership is certainly held now.
	IsValid func() bool
	// IsStoreUp reports whether the store has answered recently.
	IsStoreUp func() bool
	Bounds    jobs.Bounds
	// OwnedSince is when this ownership began.
	OwnedSince time.Time
	// Guard returns the condition under which the cell may store new jobs. Its error is one of
	// journal.Guard, also without a current state. A nil function sets no condition.
	Guard func(accepted []homes.Acceptance, current *store.Item) (store.Condition, error)
	// AccountLimit returns the resources that a client account may use in this cell.
	// isBounded is false if there is no limit.
	AccountLimit func(account string) (limit jobs.Size, isBounded bool)
	// AccountReach returns the largest size that a client account can start next, as jobs.Config does.
	AccountReach func(account string) jobs.Size
	// AccountTotal returns the limit of a client account in all cells together, as jobs.Config does.
	AccountTotal func(account string) jobs.Size
	// Evacuated returns the evacuated data centres, and AreEvacuationsKnown reports whether
	// that is up to date. While it is not, nothing is started. Both are nil if data centres
	// are not evacuated.
	Evacuated           func() []string
	AreEvacuationsKnown func() bool
	// Leaving returns the endpoints that are to get no work for LeavingDuration after the takeover, since
	// orders for their machines may be carried out. It is nil if there are none.
	Leaving         func(ctx context.Context) (endpoints []string, err error)
	LeavingDuration time.Duration
	// AccountWeight returns the weight of a client account's share of the cell.
	AccountWeight func(account string) (weight float64)
	// QueueAt returns the queue that the configuration in force has at a path, as jobs.Config does.
	QueueAt func(path string) (name string, setup int64)
	// AdviceTerms returns what calls for advice of a queue cost.
	AdviceTerms func(queue string) jobs.AdviceTerms
	// IsForecasting predicts run times from finished runs instead of by their mean.
	IsForecasting bool
	// Advise returns a ticket for each of the endpoints that may run a step, by
	// endpoint ID, and how long the tickets are valid. It is nil if no queue needs
	// advice.
	Advise func(ctx context.Context, step string, ids []string) (tickets map[string]string, validity time.Duration, err error)
	// AwaitAdviceTurn waits until a call of Advise may be made, the earliest turn of all owners first, and
	// returns a function that ends the turn. releaseLast is that function of a turn of this owner that
	// has not ended yet, or nil; it is called once this owner waits for its next one.
	AwaitAdviceTurn func(ctx context.Context, turn time.Time, releaseLast func()) (release func(), err error)
	Log             *logrus.Entry
	Scope           tally.Scope
}

// Owner runs one cell. All state of the cell is accessed by one goroutine, the loop
// in Run; other goroutines reach it by functions sent to the inbox. Its methods are
// safe for concurrent use.
type Owner struct {
	config  Config
	epoch   endpoint.Epoch
	cell    *jobs.Cell
	journal *journal.Journal
	inbox   chan func()
	// awaitedRestarts is the number of endpoints that are down and whose restarts have to be noticed soon.
	awaitedRestarts atomic.Int64
	ctx             context.Context
	cancel          context.CancelFunc
	workers         background.Group
	isReady         atomic.Bool

	// leaving holds the endpoints of Config.Leaving, leavingUntil when they may get work again. Both
	// are set before the loop.
	leaving      []string
	leavingUntil time.Time

	// The fields from here to lastForgotten belong to the loop. pollers is keyed by
	// endpoint ID.
	pollers map[string]*poller
	// onStored holds the callbacks to run once the changes made so far are stored, or
	// with an error if that is uncertain.
	onStored []func(err error)
	// writeStarted is when the write in progress began; it counts only if isWriting.
	writeStarted time.Time
	isWriting    bool
	// accepted holds the new jobs that are not in a write yet, if Config.Guard is set.
	accepted []homes.Acceptance
	// isAdviceRequested reports that a call of Config.Advise is under way or has its turn to come.
	isAdviceRequested bool
	// isSnapshotNext makes the next write a snapshot, whether one is due or not.
	isSnapshotNext bool
	// unconfirmedRecords is the number of records in the write in progress, or in the
	// one that failed.
	unconfirmedRecords int
	// isCycleDue is set by events and the ticker since the last planning cycle.
	isCycleDue bool
	// isPaused is set while the ownership is not certain; nothing is planned then.
	isPaused bool
	// isHandingOver is set by PrepareHandover; it stops planning.
	isHandingOver bool
	// isFinalStored is set once a full snapshot has been stored after isHandingOver
	// was set.
	isFinalStored bool
	lastPlanned   time.Time
	lastForgotten time.Time
	// accuracyReported is when the accuracy of predicted run times was last reported.
	accuracyReported time.Time

	metrics metrics
	// evacuated holds the data centres of which evacuated_runs was reported, and
	// evacuatedReportedAt when that was last done. Both belong to the loop.
	evacuated           map[string]bool
	evacuatedReportedAt time.Time
	// runErr is the result of Run.
	runErr error
	// done is closed when Run has returned.
	done chan struct{}
}

// New returns an owner that does nothing until Run is called.
func New(config Config) *Owner {
	o := &Owner{
		config:  config,
		epoch:   endpoint.Epoch(config.Condition.Revision),
		inbox:   make(chan func(), inboxCapacity),
		pollers: make(map[string]*poller),
		done:    make(chan struct{}),
		metrics: newMetrics(config.Scope), evacuated: make(map[string]bool),
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.cell = jobs.New(jobs.Config{
		Bounds: config.Bounds, Inherited: config.OwnedSince, AccountLimit: config.AccountLimit, AccountReach: config.AccountReach, AccountTotal: config.AccountTotal, AccountWeight: config.AccountWeight,
		QueueAt: config.QueueAt, AdviceTerms: config.AdviceTerms, IsForecasting: config.IsForecasting,
	})
	return o
}

// Run loads the state of the cell and serves it until Stop is called or the owner
// fails, for instance because the cell has a later owner. It returns nil after Stop,
// unless loading was interrupted. It must be called once.
func (o *Owner) Run() (err error) {
	defer close(o.done)
	defer o.workers.Wait()
	defer o.cancel()
	leaving := make(chan error, 1)
	o.workers.Go(func() { leaving <- o.readLeaving() })
	o.journal, err = journal.Load(o.ctx, journal.Config{
		Client: o.config.Store, Cell: o.config.Cell, Owner: o.config.Condition, Log: o.config.Log,
	}, o.cell, boot.Now())
	if errors.Is(err, journal.ErrIncomplete) {
		event.StateIncomplete.Log(o.config.Log, logrus.Fields{"epoch": int64(o.epoch), "error": err.Error()})
		sleep(o.ctx, incompleteDelay, nil)
	}
	if err != nil {
		return err
	}
	if err = <-leaving; err != nil {
		return err
	}
	o.isReady.Store(true)
	event.CellServing.Log(o.config.Log, logrus.Fields{"jobs": o.cell.Active(), "epoch": int64(o.epoch)})
	o.loop()
	o.clearEvacuatedRuns()
	o.logUnstored()
	runCallbacks(o.takeCallbacks(), ErrIndeterminate)
	return o.runErr
}

// readLeaving reads the endpoints that are to get no work after the takeover.
func (o *Owner) readLeaving() (err error) {
	if o.config.Leaving == nil {
		return nil
	}
	o.leaving, err = o.config.Leaving(o.ctx)
	o.leavingUntil = boot.Now().Add(o.config.LeavingDuration)
	return err
}

// loop handles events and runs planning cycles until the owner ends.
func (o *Owner) loop() {
	timer := time.NewTicker(planInterval)
	defer timer.Stop()
	delayed := time.NewTimer(time.Hour)
	defer delayed.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.inbox:
			f()
			o.drainInbox()
			o.isCycleDue = true
		case <-timer.C:
			o.isCycleDue = true
		case <-delayed.C:
		}
		if wait := o.runCycle(); wait > 0 {
			delayed.Reset(wait)
		}
	}
}

// drainInbox runs the functions that are already queued, so that they share one
// planning cycle.
func (o *Owner) drainInbox() {
	for {
		select {
		case f := <-o.inbox:
			f()
		default:
			return
		}
	}
}

// runCycle plans, sends orders and starts a write, if a cycle is due. If the last
// cycle was too recent it does nothing and returns the time to wait; otherwise it
// returns 0.
func (o *Owner) runCycle() (delay time.Duration) {
	now := boot.Now()
	o.updatePaused()
	o.updateEvacuated(now)
	// After an abort nothing is stored any more, so nothing must be confirmed.
	if !o.isCycleDue || o.isWriting || o.isPaused || o.ctx.Err() != nil {
		return 0
	}
	if wait := minCycleGap - now.Sub(o.lastPlanned); wait > 0 {
		return wait
	}
	o.lastPlanned, o.isCycleDue = now, false
	if now.Sub(o.lastForgotten) > forgetInterval {
		o.lastForgotten = now
		o.cell.Forget(now)
	}
	if !o.isHandingOver {
		o.cell.Plan(now, time.Now())
		o.logBlockedTasks(now)
		o.logUnresolvedRuns(now)
		o.reportShares(now)
	}
	o.reportEvacuatedRuns(now)
	o.logCrashes()
	o.logLosses()
	o.logReincarnations()
	o.reportAccuracy(now)
	o.sendStops(now)
	o.sendPaces(now)
	o.requestAdvice(now)
	batch := o.cell.TakeBatch()
	o.logEnds(batch.Ends)
	if len(batch.Records) == 0 && (!o.isHandingOver || o.isFinalStored) {
		runCallbacks(o.takeCallbacks(), nil)
		o.handleStored(batch)
		return 0
	}
	o.write(now, batch)
	return 0
}

// updatePaused updates isPaused and logs each change.
func (o *Owner) updatePaused() {
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

// write stores a batch in the background: as a snapshot of the whole state if one is
// due, otherwise as appended records. The callbacks registered so far run when the
// write ends. Those registered while it is in progress belong to changes that it does not
// contain, so they wait for the next write.
func (o *Owner) write(now time.Time, batch jobs.Batch) {
	// Records after a final snapshot would outdate it, so another one takes their place.
	isSnapshot := o.journal.IsSnapshotDue() || o.isSnapshotNext || o.isHandingOver
	o.isSnapshotNext = false
	accepted := o.accepted
	o.accepted = nil
	o.storeBatch(now, batch, o.takeCallbacks(), accepted, isSnapshot, false)
}

// storeBatch is the part of write that is done again in the other form, as a snapshot or as records,
// if the store does not take the first one. isRetry reports that this is the second one. The changes
// that were made meanwhile are stored with it.
func (o *Owner) storeBatch(now time.Time, batch jobs.Batch, callbacks []func(err error), accepted []homes.Acceptance, isSnapshot, isRetry bool) {
	o.isWriting, o.writeStarted, o.unconfirmedRecords = true, now, len(batch.Records)
	var snapshot *jobs.Snapshot
	isFinal := isSnapshot && o.isHandingOver
	if isSnapshot {
		s := o.snapshot(now, isFinal)
		snapshot = &s
	}
	var guard journal.Guard
	if len(accepted) > 0 {
		guard = func(current *store.Item) (store.Condition, error) { return o.config.Guard(accepted, current) }
	}
	o.workers.Go(func() {
		var err error
		if snapshot != nil {
			err = o.journal.WriteSnapshotGuarded(o.ctx, *snapshot, guard)
		} else {
			err = o.journal.AppendGuarded(o.ctx, batch.Records, guard)
		}
		took := boot.Now().Sub(now)
		o.post(func() {
			o.isWriting = false
			o.metrics.writeDuration.RecordDuration(took)
			if errors.Is(err, store.ErrInvalid) {
				o.logInvalidWrite(batch, isSnapshot, err)
				if !isRetry {
					more := slices.Concat(callbacks, o.takeCallbacks())
					accepted = slices.Concat(accepted, o.accepted)
					o.accepted = nil
					o.storeBatch(now, batch.Followed(o.cell.TakeBatch()), more, accepted, !isSnapshot, true)
					return
				}
			}
			if err != nil {
				o.abort(err)
				runCallbacks(callbacks, ErrIndeterminate)
				return
			}
			o.unconfirmedRecords = 0
			runCallbacks(callbacks, nil)
			o.isFinalStored = o.isFinalStored || isFinal
			o.handleStored(batch)
		})
	})
}

// logInvalidWrite logs a write that the store does not take. For records it names the largest.
func (o *Owner) logInvalidWrite(batch jobs.Batch, isSnapshot bool, err error) {
	fields := logrus.Fields{"snapshot": isSnapshot, "records": len(batch.Records), "error": err.Error(), "epoch": int64(o.epoch)}
	largest := 0
	for _, record := range batch.Records {
		encoded, err := json.Marshal(record)
		if err == nil && len(encoded) > largest {
			largest = len(encoded)
			fields["bytes"], fields["largest"] = largest, string(encoded[:min(largest, maxLoggedRecord)])
		}
	}
	event.WriteInvalid.Log(o.config.Log, fields)
}

// maxLoggedRecord is how many bytes of a record are logged: its kind and its job.
const maxLoggedRecord = 120

// snapshot returns the state of the cell, for the next owner if it is final.
func (o *Owner) snapshot(now time.Time, isFinal bool) jobs.Snapshot {
	if isFinal {
		return o.cell.HandoverSnapshot(now)
	}
	return o.cell.Snapshot()
}

// handleStored performs the actions that had to wait until a batch was stored: it sends
// start orders and logs finished jobs.
func (o *Owner) handleStored(batch jobs.Batch) {
	now := boot.Now()
	// The write may have taken seconds.
	o.updateEvacuated(now)
	for _, start := range o.cell.ConfirmStored(now, batch) {
		o.sendStart(start)
	}
	for _, id := range batch.Finished() {
		state, _ := o.cell.Status(id)
		event.JobEnded.Log(o.config.Log, logrus.Fields{"job": id, "state": string(state)})
	}
}

// abort ends the owner; Run returns err.
func (o *Owner) abort(err error) {
	o.runErr = err
	o.cancel()
}

// logUnstored logs the end of an owner whose last records are not stored, as far as it
// knows. It is called once, after the loop.
func (o *Owner) logUnstored() {
	count := o.unconfirmedRecords + len(o.cell.TakeBatch().Records)
	if count > 0 {
		event.CellEndedUnstored.Log(o.config.Log, logrus.Fields{"records": count, "epoch": int64(o.epoch)})
	}
}

// takeCallbacks returns the registered callbacks and removes them.
func (o *Owner) takeCallbacks() []func(err error) {
	callbacks := o.onStored
	o.onStored = nil
	return callbacks
}

func runCallbacks(callbacks []func(err error), err error) {
	for _, f := range callbacks {
		f(err)
	}
}

// post queues a function for the loop and does not wait for it. The function is
// dropped if the owner has ended.
func (o *Owner) post(f func()) {
	select {
	case o.inbox <- f:
	case <-o.ctx.Done():
	}
}

// runInLoop runs a function in the loop and waits for it. ErrNotDone means that the
// function will not run, ErrIndeterminate that it may have run or may still run: what it
// writes may be read only if the error is nil.
func (o *Owner) runInLoop(ctx context.Context, f func()) error {
	_, err := queryLoop(ctx, o, func() struct{} {
		f()
		return struct{}{}
	})
	return err
}

// queryLoop runs a function in the loop and returns its result. The errors are those of
// runInLoop; with them the result is the zero value, also if the function runs meanwhile.
func queryLoop[T any](ctx context.Context, o *Owner, f func() T) (result T, err error) {
	// The buffer of one lets the loop go on if nobody waits any more.
	results := make(chan T, 1)
	select {
	case o.inbox <- func() { results <- f() }:
	case <-o.ctx.Done():
		return result, ErrNotDone
	case <-ctx.Done():
		return result, ErrNotDone
	}
	select {
	case result = <-results:
		return result, nil
	case <-o.done:
		return result, ErrIndeterminate
	case <-ctx.Done():
		return result, ErrIndeterminate
	}
}

// IsServing reports whether the state is loaded, the owner has not ended and the
// ownership is certain.
func (o *Owner) IsServing() bool {
	return o.isReady.Load() && o.ctx.Err() == nil && o.config.IsValid()
}

// Condition returns the condition that holds while this owner owns the cell.
func (o *Owner) Condition() store.Condition { return o.config.Condition }

// Stop ends the owner without storing its state for a successor, and waits until Run
// has returned. Run must have been called.
func (o *Owner) Stop() {
	o.cancel()
	<-o.done
}

// PrepareHandover prepares the cell for a handover: it stops planning and waits until
// a snapshot with all earlier decisions is stored, the owner ends or the context ends.
// Runs that end meanwhile need not be stored, as endpoints list them again to the next
// owner.
func (o *Owner) PrepareHandover(ctx context.Context) {
	o.post(func() { o.isHandingOver, o.isCycleDue = true, true })
	for ctx.Err() == nil && o.ctx.Err() == nil {
		isStored := false
		if o.runInLoop(ctx, func() { isStored = o.isFinalStored }) != nil || isStored {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(minCycleGap / 4):
		}
	}
}
