package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// busyRetry is when to come back while the cell cannot take jobs; a takeover or
// a short outage of the store is over by then.
const busyRetry = time.Second

// Submit takes a job in. ErrOpen says that it may have been accepted.
func (o *Owner) Submit(ctx context.Context, job jobs.Job) (verdict jobs.Verdict, err error) {
	stored := make(chan error, 1)
	arrived := boot.Now()
	err = o.ask(ctx, func() {
		now := boot.Now()
		isStuck := o.isWriting && now.Sub(o.writing) > stuckAfter
		if o.isLeaving || isStuck || !o.config.IsStoreUp() {
			verdict = jobs.Verdict{Retry: busyRetry, Reason: "the cell cannot store jobs now"}
			stored <- ErrNotDone
			return
		}
		verdict = o.cell.Admit(now, &job)
		if !verdict.IsAccepted {
			stored <- nil
			return
		}
		isNew := o.cell.Submit(now, job)
		o.waiters = append(o.waiters, func(err error) { stored <- err })
		verdict.Reason = "new"
		if !isNew {
			verdict.Reason = "known"
		}
	})
	if err != nil {
		return jobs.Verdict{Retry: busyRetry}, err
	}
	err = o.await(ctx, stored)
	fields := logrus.Fields{
		"job": job.ID, "queue": job.Queue, "account": job.Account, "reason": verdict.Reason,
		"took": boot.Now().Sub(arrived).Milliseconds(),
	}
	switch {
	case errors.Is(err, ErrNotDone):
		event.JobRejected.Log(o.config.Log, fields)
	case err != nil:
		event.JobRequestUnanswered.Log(o.config.Log, fields)
	case verdict.IsAccepted:
		event.JobAccepted.Log(o.config.Log, fields)
	default:
		fields["retry"] = verdict.Retry.Milliseconds()
		event.JobRejected.Log(o.config.Log, fields)
	}
	return verdict, err
}

// await waits until what a request has changed is stored. ErrOpen says that it
// is not known whether it was.
func (o *Owner) await(ctx context.Context, stored <-chan error) error {
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ErrOpen
	case <-o.done:
		return ErrOpen
	}
}

// Status returns the state of a job.
func (o *Owner) Status(ctx context.Context, id string) (state jobs.State, isKnown bool, err error) {
	err = o.ask(ctx, func() { state, isKnown = o.cell.Status(id) })
	return state, isKnown, err
}

// Pending returns how many accepted jobs of a queue have not begun.
func (o *Owner) Pending(ctx context.Context, queue string) (count int, err error) {
	err = o.ask(ctx, func() { count = o.cell.Pending(queue) })
	return count, err
}

// Cancel ends a job. ErrOpen says that it may have been cancelled.
func (o *Owner) Cancel(ctx context.Context, id string) (isKnown bool, err error) {
	stored := make(chan error, 1)
	err = o.ask(ctx, func() {
		isKnown = o.cell.Cancel(boot.Now(), id)
		if !isKnown {
			stored <- nil
			return
		}
		o.waiters = append(o.waiters, func(err error) { stored <- err })
	})
	if err != nil {
		return false, err
	}
	err = o.await(ctx, stored)
	event.JobCancelled.Log(o.config.Log, logrus.Fields{"job": id, "known": isKnown, "open": err != nil})
	return isKnown, err
}

// Needs returns what each client account uses and wants in the cell.
func (o *Owner) Needs(ctx context.Context) (needs map[string]jobs.Need, err error) {
	err = o.ask(ctx, func() { needs = o.cell.Needs() })
	return needs, err
}

// Cordon keeps new work off endpoints for a time and returns what runs there.
func (o *Owner) Cordon(ctx context.Context, ids []string, length time.Duration, evacuate bool) (loads []jobs.Load, err error) {
	err = o.ask(ctx, func() {
		now := boot.Now()
		for _, id := range ids {
			loads = append(loads, o.cell.Evacuate(now, id, now.Add(length), evacuate))
		}
	})
	return loads, err
}

// Survey returns what the cell could use and what runs on each endpoint.
func (o *Owner) Survey(ctx context.Context) (demand jobs.Demand, loads []jobs.Load, err error) {
	err = o.ask(ctx, func() { demand, loads = o.cell.Survey(boot.Now()) })
	return demand, loads, err
}

// Dump returns the state of the cell.
func (o *Owner) Dump(ctx context.Context) (dump jobs.Dump, err error) {
	err = o.ask(ctx, func() { dump = o.cell.Dump(boot.Now()) })
	return dump, err
}
