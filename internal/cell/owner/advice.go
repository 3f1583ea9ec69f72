package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// requestAdvice asks the advice service in the background which endpoints may run the next
// step that lacks nothing but tickets. There is one call at a time: the service answers them in turn, and
// the tickets of one that has to wait may have expired when they arrive.
func (o *Owner) requestAdvice(now time.Time) {
	if o.config.Advise == nil || o.isAdviceRequested {
		return
	}
	turn, isNeeded := o.cell.AdviceTurn(now)
	if !isNeeded {
		return
	}
	o.isAdviceRequested = true
	o.workers.Go(func() {
		o.advise(turn)
		o.post(func() { o.isAdviceRequested = false })
	})
}

// advise makes calls for advice, each in its turn, until none is needed or the owner ends. It must not be
// called in the loop.
func (o *Owner) advise(turn time.Time) {
	var release func()
	for isNeeded := true; isNeeded; {
		wantedAt := boot.Now()
		next, err := o.config.AwaitAdviceTurn(o.ctx, turn, release)
		if err != nil {
			return
		}
		release = next
		turn, isNeeded = o.makeAdviceCall(boot.Now().Sub(wantedAt))
	}
	release()
}

// makeAdviceCall makes the call that is due now, passes its answer to the cell, and returns the turn of the
// next one. waited is how long the turn took to come.
func (o *Owner) makeAdviceCall(waited time.Duration) (turn time.Time, isNeeded bool) {
	requests, err := queryLoop(o.ctx, o, func() []jobs.AdviceRequest {
		if o.isPaused || o.isHandingOver {
			return nil
		}
		return o.cell.AdviceRequests(boot.Now(), 1)
	})
	if err != nil || len(requests) == 0 {
		return time.Time{}, false
	}
	q := requests[0]
	ctx, cancel := context.WithTimeout(o.ctx, q.Timeout)
	defer cancel()
	sentAt := boot.Now()
	tickets, validity, adviceErr := o.config.Advise(ctx, q.Step, q.Endpoints)
	if o.ctx.Err() != nil {
		return time.Time{}, false
	}
	o.reportAdvice(q, waited, boot.Now().Sub(sentAt), adviceErr)
	var nextTurn time.Time
	var isNextNeeded bool
	err = o.runInLoop(o.ctx, func() {
		now := boot.Now()
		if adviceErr != nil {
			o.cell.AdviceFailed(now, q)
			return
		}
		// When the service made its decision is not known.
		o.cell.AdviceAnswered(now, q, tickets, sentAt.Add(validity))
		nextTurn, isNextNeeded = o.cell.AdviceTurn(now)
	})
	if err != nil {
		return time.Time{}, false
	}
	return nextTurn, isNextNeeded
}

// reportAdvice counts and logs a call for advice that has ended.
func (o *Owner) reportAdvice(q jobs.AdviceRequest, waited, took time.Duration, err error) {
	o.metrics.adviceWait.RecordDuration(waited)
	o.metrics.adviceDuration.RecordDuration(took)
	if err != nil {
		o.metrics.adviceFailed.Inc(1)
		event.AdviceFailed.Log(o.config.Log, logrus.Fields{
			"step": q.Step, "endpoints": len(q.Endpoints), "waited": waited.Milliseconds(), "took": took.Milliseconds(),
			"timeout": q.Timeout.Milliseconds(), "error": err.Error(), "epoch": int64(o.epoch),
		})
	}
	if last := q.Unused; last.Tickets > 0 {
		o.metrics.adviceUnused.Inc(1)
		event.AdviceUnused.Log(o.config.Log, logrus.Fields{
			"step": q.Step, "tickets": last.Tickets, "took": last.Took.Milliseconds(), "valid": last.Validity.Milliseconds(),
			"epoch": int64(o.epoch),
		})
	}
}
