package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// metrics holds the counters and duration histograms of an owner.
type metrics struct {
	scope                                      tally.Scope
	writeDuration, startDuration, pollDuration tally.Histogram
	startsSent, stopsSent                      tally.Counter
	ordersRefused, ordersUnanswered            tally.Counter
	polls                                      tally.Counter
	adviceDuration, adviceWait                 tally.Histogram
	adviceFailed, adviceUnused                 tally.Counter
	shareDistance                              tally.Gauge
}

// newMetrics registers the metrics in a scope; a nil scope discards them.
func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return metrics{
		scope:            scope,
		writeDuration:    scope.Histogram("journal_write", buckets),
		startDuration:    scope.Histogram("start", buckets),
		pollDuration:     scope.Histogram("look", buckets),
		startsSent:       scope.Counter("starts"),
		stopsSent:        scope.Counter("stops"),
		ordersRefused:    scope.Counter("orders_refused"),
		ordersUnanswered: scope.Counter("orders_open"),
		polls:            scope.Counter("looks"),
		adviceDuration:   scope.Histogram("advice", buckets),
		adviceWait:       scope.Histogram("advice_wait", buckets),
		adviceFailed:     scope.Counter("advice_failed"),
		adviceUnused:     scope.Counter("advice_unused"),
		shareDistance:    scope.Gauge("share_distance"),
	}
}

// sendOrder sends an order to an endpoint in the background, at most
// maxOrdersPerEndpoint at a time, and passes the receipt to handle in the owner's
// loop. An order that had to wait for others is sent only if isWanted still holds; a
// nil isWanted always holds. Nothing is sent while the ownership is not certain.
// handle is called at once if the endpoint is unknown.
func (o *Owner) sendOrder(id string, isWanted func() bool, send func(ctx context.Context, target endpoint.Target) endpoint.Receipt, handle func(receipt endpoint.Receipt)) {
	p := o.pollers[id]
	if p == nil {
		handle(endpoint.Receipt{Answer: jobs.Refused, Reason: "endpoint is not known any more"})
		return
	}
	target := p.target
	o.workers.Go(func() {
		receipt := endpoint.Receipt{Answer: jobs.Refused, Reason: "ownership is not certain"}
		isDelayed, isAcquired := false, false
		select {
		case p.inFlight <- struct{}{}:
			isAcquired = true
		default:
			isDelayed = true
			select {
			case p.inFlight <- struct{}{}:
				isAcquired = true
			case <-o.ctx.Done():
			}
		}
		if isAcquired {
			if isDelayed && !o.isStillWanted(isWanted) {
				receipt.Reason = "no longer wanted"
			} else if o.config.IsValid() {
				ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
				receipt = send(ctx, target)
				cancel()
			}
			<-p.inFlight
		}
		o.post(func() {
			handle(receipt)
			if receipt.Answer == jobs.Fenced {
				o.abort(errFenced)
			}
			p.wakeUp()
		})
	})
}

// orderKey identifies the stops, or the paces, of a run.
type orderKey struct {
	kind, task string
	run        int
}

// sendOnce is sendOrder for an order that the cell repeats until it has taken effect. While an
// earlier one with the same key has no answer nothing is sent: an endpoint that answers slowly would only
// get further behind, and starts with it. It reports whether the order was accepted for sending.
func (o *Owner) sendOnce(id string, key orderKey, isWanted func() bool, send func(ctx context.Context, target endpoint.Target) endpoint.Receipt, handle func(receipt endpoint.Receipt)) (isSent bool) {
	p := o.pollers[id]
	if p == nil || p.queued[key] {
		return false
	}
	p.queued[key] = true
	o.sendOrder(id, isWanted, send, func(receipt endpoint.Receipt) {
		delete(p.queued, key)
		handle(receipt)
	})
	return true
}

// isStillWanted evaluates isWanted in the owner's loop. A nil isWanted counts as
// true; it returns false if the loop has ended.
func (o *Owner) isStillWanted(isWanted func() bool) bool {
	if isWanted == nil {
		return true
	}
	isCurrent := false
	return o.runInLoop(o.ctx, func() { isCurrent = isWanted() }) == nil && isCurrent
}

// logUnaccepted logs and counts an order that was refused or not answered.
func (o *Owner) logUnaccepted(kind, id, task string, run int, receipt endpoint.Receipt) {
	fields := logrus.Fields{
		"order": kind, "endpoint": id, "task": task, "run": run, "reason": receipt.Reason,
		"clock": receipt.Clock, "epoch": int64(o.epoch),
	}
	switch receipt.Answer {
	case jobs.Accepted:
	case jobs.Unanswered:
		o.metrics.ordersUnanswered.Inc(1)
		event.OrderUnanswered.Log(o.config.Log, fields)
	default:
		o.metrics.ordersRefused.Inc(1)
		event.OrderRefused.Log(o.config.Log, fields)
	}
}

// isSampled reports whether all log lines of a task's job are written. The choice
// depends on the job ID alone, so every owner samples the same jobs. IDs that are too
// short are always logged.
func isSampled(task string) bool {
	if len(task) < jobs.IDLength {
		return true
	}
	last := task[jobs.IDLength-1]
	return last == '0' || last == '8'
}

// logEnds logs ended runs: every failed one, and all runs of sampled jobs.
func (o *Owner) logEnds(ends []jobs.RunEnd) {
	for _, end := range ends {
		if end.Outcome != jobs.Failed && !isSampled(end.Task) {
			continue
		}
		event.RunEnded.Log(o.config.Log, logrus.Fields{
			"task": end.Task, "run": end.Run, "endpoint": end.Endpoint, "how": string(end.Outcome),
			"took": end.RunTime.Milliseconds(), "epoch": int64(o.epoch),
		})
	}
}

// logBlockedTasks logs why ready tasks have not been placed; the cell selects a few
// at a time.
func (o *Owner) logBlockedTasks(now time.Time) {
	for _, t := range o.cell.BlockedTasks(now) {
		event.JobWaiting.Log(o.config.Log, logrus.Fields{
			"task": t.Task, "since": t.BlockedFor.Milliseconds(), "cpu": t.Size.CPU, "memory": t.Size.Memory,
			"gpus": t.Size.GPUs, "together": t.GangSize, "endpoints": t.Endpoints, "epoch": int64(o.epoch),
		})
	}
}

// logCrashes logs the endpoints that have crashed with runs, and the tasks that may be the
// cause.
func (o *Owner) logCrashes() {
	for _, crash := range o.cell.TakeCrashes() {
		tasks := make([]string, len(crash.Tasks))
		for i, t := range crash.Tasks {
			tasks[i] = t.String()
		}
		event.EndpointCrashed.Log(o.config.Log, logrus.Fields{
			"endpoint": crash.Endpoint, "machine": crash.Machine, "symptom": string(crash.Symptom),
			"silent": crash.SilentFor.Milliseconds(), "runs": crash.Runs, "fresh": crash.Fresh, "tasks": tasks,
			"epoch": int64(o.epoch),
		})
	}
}

// logLosses logs the runs that count as lost although their ends were not listed.
func (o *Owner) logLosses() {
	losses, count := o.cell.TakeLosses()
	for _, l := range losses {
		event.RunLost.Log(o.config.Log, logrus.Fields{
			"task": l.Task, "run": l.Run, "endpoint": l.Endpoint, "rule": string(l.Rule), "state": l.State,
			"born": l.Born, "present": l.PresentBorn, "registered": l.RegisteredBorn,
			"clock": l.ListedClock, "ordered": l.OrderedFor.Milliseconds(), "accepted": l.AcceptedFor.Milliseconds(),
			"stopped": l.StoppedFor.Milliseconds(), "connected": l.ConnectedFor.Milliseconds(),
			"listed": l.ListedFor.Milliseconds(), "silent": l.SilentFor.Milliseconds(), "lost": count, "epoch": int64(o.epoch),
			"open": l.OpenFor.Milliseconds(),
		})
	}
}

// logReincarnations logs the restarts of endpoints that may still carry out starts of lost runs.
func (o *Owner) logReincarnations() {
	for _, r := range o.cell.TakeReincarnations() {
		event.OpenStartsMeetRestart.Log(o.config.Log, logrus.Fields{
			"endpoint": r.Endpoint, "born": r.Born, "clock": r.Clock, "starts": r.OpenStarts, "epoch": int64(o.epoch),
		})
	}
}

// logOrphan logs a run in a listing that the cell does not have.
func (o *Owner) logOrphan(orphan jobs.Stop, listing jobs.Listing) {
	now := boot.Now()
	origin := o.cell.OrphanOrigin(now, orphan)
	event.OrphanFound.Log(o.config.Log, logrus.Fields{
		"endpoint": orphan.Endpoint, "task": orphan.Task, "run": orphan.Run, "born": listing.Born, "clock": listing.Clock,
		"asked": now.Sub(listing.AskedAt).Milliseconds(), "last_run": origin.LastRun, "current_run": origin.CurrentRun,
		"current_endpoint": origin.CurrentEndpoint, "lost_by": string(origin.Rule), "lost": origin.LostFor.Milliseconds(),
		"epoch": int64(o.epoch),
	})
}

// logUnresolvedRuns logs why long-running tasks without a confirmed run are not placed
// again; the cell selects a few at a time.
func (o *Owner) logUnresolvedRuns(now time.Time) {
	runs, due := o.cell.UnresolvedRuns(now)
	for _, r := range runs {
		event.RunUnresolved.Log(o.config.Log, logrus.Fields{
			"task": r.Task, "run": r.Run, "endpoint": r.Endpoint, "state": r.State, "endpoint_state": r.EndpointState,
			"since": r.UnresolvedFor.Milliseconds(), "expires": r.ExpiresIn.Milliseconds(), "due": due, "epoch": int64(o.epoch),
		})
	}
}

// sendStart orders an endpoint to start a run whose record is stored.
func (o *Owner) sendStart(start jobs.Start) {
	startedAt := boot.Now()
	if isSampled(start.Task) {
		event.RunStartOrdered.Log(o.config.Log, logrus.Fields{
			"task": start.Task, "run": start.Run, "endpoint": start.Endpoint, "until": start.Until, "epoch": int64(o.epoch),
		})
	}
	o.metrics.startsSent.Inc(1)
	isWanted := func() bool {
		if !o.isStartWanted(start) {
			return false
		}
		start = o.cell.RenewStart(boot.Now(), start)
		return true
	}
	o.sendOrder(start.Endpoint, isWanted, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
		return o.config.Endpoints.Start(ctx, target, o.epoch, start)
	}, func(receipt endpoint.Receipt) {
		now := boot.Now()
		o.metrics.startDuration.RecordDuration(now.Sub(startedAt))
		o.logUnaccepted("start", start.Endpoint, start.Task, start.Run, receipt)
		o.cell.StartAnswered(now, start, jobs.Reply{
			Answer: receipt.Answer, Clock: receipt.Clock, ConnectedAt: receipt.ConnectedAt, IsBound: receipt.IsBound, IsSilent: receipt.IsSilent,
		})
	})
}

// sendStops sends the stop orders that are due.
func (o *Owner) sendStops(now time.Time) {
	for _, stop := range o.cell.Stops(now) {
		o.sendStop(stop)
	}
}

// sendStop sends a stop. Without an address it cannot be sent; the run ends when its grant expires.
func (o *Owner) sendStop(stop jobs.Stop) {
	key := orderKey{kind: "stop", task: stop.Task, run: stop.Run}
	isSent := o.sendOnce(stop.Endpoint, key, func() bool { return o.cell.IsStopCurrent(stop) }, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
		return o.config.Endpoints.Stop(ctx, target, o.epoch, stop)
	}, func(receipt endpoint.Receipt) {
		o.logUnaccepted("stop", stop.Endpoint, stop.Task, stop.Run, receipt)
		o.cell.StopAnswered(boot.Now(), stop, receipt.Answer, receipt.Clock)
	})
	if isSent {
		o.metrics.stopsSent.Inc(1)
		event.RunStopOrdered.Log(o.config.Log, logrus.Fields{
			"task": stop.Task, "run": stop.Run, "endpoint": stop.Endpoint, "reason": stop.Reason,
		})
	}
}

// sendPaces sends the pace orders that are due.
func (o *Owner) sendPaces(now time.Time) {
	for _, pace := range o.cell.Paces(now) {
		key := orderKey{kind: "pace", task: pace.Task, run: pace.Run}
		o.sendOnce(pace.Endpoint, key, nil, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
			return o.config.Endpoints.Pace(ctx, target, o.epoch, pace)
		}, func(receipt endpoint.Receipt) {
			o.logUnaccepted("pace", pace.Endpoint, pace.Task, pace.Run, receipt)
			o.cell.PaceAnswered(pace, receipt.Answer)
		})
	}
}
