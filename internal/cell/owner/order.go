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

// metrics are the counters and histograms of an owner.
type metrics struct {
	write, start, look tally.Histogram
	starts, stops      tally.Counter
	refused, open      tally.Counter
	looks              tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return metrics{
		write:   scope.Histogram("journal_write", buckets),
		start:   scope.Histogram("start", buckets),
		look:    scope.Histogram("look", buckets),
		starts:  scope.Counter("starts"),
		stops:   scope.Counter("stops"),
		refused: scope.Counter("orders_refused"),
		open:    scope.Counter("orders_open"),
		looks:   scope.Counter("looks"),
	}
}

// order gives an order in the background, a few at a time for each endpoint. One
// that had to wait for others is sent only if it is still wanted. With an ownership
// that is not certain nothing is sent.
func (o *Owner) order(id string, isWanted func() bool, give func(ctx context.Context, target endpoint.Target) endpoint.Receipt, take func(receipt endpoint.Receipt)) {
	l := o.lookers[id]
	if l == nil {
		take(endpoint.Receipt{Answer: jobs.Refused, Reason: "endpoint is not known any more"})
		return
	}
	target := l.target
	o.wait.Go(func() {
		receipt := endpoint.Receipt{Answer: jobs.Refused, Reason: "ownership is not certain"}
		hasWaited, isSent := false, false
		select {
		case l.slots <- struct{}{}:
			isSent = true
		default:
			hasWaited = true
			select {
			case l.slots <- struct{}{}:
				isSent = true
			case <-o.ctx.Done():
			}
		}
		if isSent {
			if hasWaited && !o.stillWanted(isWanted) {
				receipt.Reason = "no longer wanted"
			} else if o.config.IsValid() {
				ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
				receipt = give(ctx, target)
				cancel()
			}
			<-l.slots
		}
		o.post(func() {
			take(receipt)
			if receipt.Answer == jobs.Fenced {
				o.lose(errFenced)
			}
			l.nudge()
		})
	})
}

// stillWanted asks the loop whether an order is still wanted; nil stands for always.
func (o *Owner) stillWanted(isWanted func() bool) bool {
	if isWanted == nil {
		return true
	}
	is := false
	return o.ask(o.ctx, func() { is = isWanted() }) == nil && is
}

// note logs an order that was not accepted.
func (o *Owner) note(kind, id, task string, run int, receipt endpoint.Receipt) {
	fields := logrus.Fields{
		"order": kind, "endpoint": id, "task": task, "run": run, "reason": receipt.Reason,
		"clock": receipt.Clock, "epoch": int64(o.epoch),
	}
	switch receipt.Answer {
	case jobs.Accepted:
	case jobs.Unanswered:
		o.metrics.open.Inc(1)
		event.OrderUnanswered.Log(o.config.Log, fields)
	default:
		o.metrics.refused.Inc(1)
		event.OrderRefused.Log(o.config.Log, fields)
	}
}

// isSampled tells whether all lines of a task's job are logged. It goes by the
// job's ID alone, so that every owner chooses the same jobs.
func isSampled(task string) bool {
	if len(task) < jobs.IDLength {
		return true
	}
	last := task[jobs.IDLength-1]
	return last == '0' || last == '8'
}

// logEnds logs the ends of runs: all that failed, and those of sampled jobs.
func (o *Owner) logEnds(ends []jobs.RunEnd) {
	for _, end := range ends {
		if end.Outcome != jobs.Failed && !isSampled(end.Task) {
			continue
		}
		event.RunEnded.Log(o.config.Log, logrus.Fields{
			"task": end.Task, "run": end.Run, "endpoint": end.Endpoint, "how": string(end.Outcome),
			"took": end.Took.Milliseconds(), "epoch": int64(o.epoch),
		})
	}
}

// logWaits logs why jobs wait, a few at a time.
func (o *Owner) logWaits(now time.Time) {
	for _, wait := range o.cell.Waits(now) {
		event.JobWaiting.Log(o.config.Log, logrus.Fields{
			"task": wait.Task, "since": wait.Since.Milliseconds(), "cpu": wait.Size.CPU, "memory": wait.Size.Memory,
			"gpus": wait.Size.GPUs, "together": wait.Together, "endpoints": wait.Endpoints, "epoch": int64(o.epoch),
		})
	}
}

func (o *Owner) orderStart(start jobs.Start) {
	began := boot.Now()
	if isSampled(start.Task) {
		event.RunStartOrdered.Log(o.config.Log, logrus.Fields{
			"task": start.Task, "run": start.Run, "endpoint": start.Endpoint, "until": start.Until, "epoch": int64(o.epoch),
		})
	}
	o.metrics.starts.Inc(1)
	o.order(start.Endpoint, func() bool { return o.cell.IsWanted(start) }, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
		return o.config.Endpoints.Start(ctx, target, o.epoch, start)
	}, func(receipt endpoint.Receipt) {
		now := boot.Now()
		o.metrics.start.RecordDuration(now.Sub(began))
		o.note("start", start.Endpoint, start.Task, start.Run, receipt)
		o.cell.StartAnswered(now, start, receipt.Answer, receipt.Clock)
	})
}

func (o *Owner) orderStops(now time.Time) {
	for _, stop := range o.cell.Stops(now) {
		// Without an address there is nowhere to send it; the run's grant ends it.
		if o.lookers[stop.Endpoint] != nil {
			o.orderStop(stop)
		}
	}
}

func (o *Owner) orderStop(stop jobs.Stop) {
	o.metrics.stops.Inc(1)
	event.RunStopOrdered.Log(o.config.Log, logrus.Fields{
		"task": stop.Task, "run": stop.Run, "endpoint": stop.Endpoint, "reason": stop.Reason,
	})
	o.order(stop.Endpoint, nil, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
		return o.config.Endpoints.Stop(ctx, target, o.epoch, stop)
	}, func(receipt endpoint.Receipt) {
		o.note("stop", stop.Endpoint, stop.Task, stop.Run, receipt)
		o.cell.StopAnswered(boot.Now(), stop, receipt.Answer, receipt.Clock)
	})
}

func (o *Owner) orderPaces(now time.Time) {
	for _, pace := range o.cell.Paces(now) {
		o.order(pace.Endpoint, nil, func(ctx context.Context, target endpoint.Target) endpoint.Receipt {
			return o.config.Endpoints.Pace(ctx, target, o.epoch, pace)
		}, func(receipt endpoint.Receipt) {
			o.note("pace", pace.Endpoint, pace.Task, pace.Run, receipt)
			o.cell.PaceAnswered(pace, receipt.Answer)
		})
	}
}

func (o *Owner) askAdvice(now time.Time) {
	if o.config.Advise == nil {
		return
	}
	for _, question := range o.cell.Questions(now) {
		o.wait.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
			defer cancel()
			asked := boot.Now()
			tickets, valid, err := o.config.Advise(ctx, question.Step, question.Endpoints)
			if err != nil {
				event.OperationFailed.Log(o.config.Log, logrus.Fields{"step": question.Step, "error": err.Error()})
				return
			}
			o.post(func() { o.cell.Advised(question, tickets, asked.Add(valid)) })
		})
	}
}

// adviceTimeout bounds a question; the service answers one at a time for each
// caller, a decision taking some tenths of a second.
const adviceTimeout = 3 * time.Second
