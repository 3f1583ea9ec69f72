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

// busyRetryDelay is the retry delay returned to submitters while the cell cannot
// store jobs. A takeover or a short outage of the store is over by then.
const busyRetryDelay = time.Second

// Submit adds a job and returns once it is stored, or returns a verdict that rejects
// it. A job whose ID is already known is accepted and left unchanged.
// ErrIndeterminate means that the job may have been accepted, ErrNotDone that it was
// not.
func (o *Owner) Submit(ctx context.Context, job jobs.Job) (verdict jobs.Verdict, err error) {
	stored := make(chan error, 1)
	receivedAt := boot.Now()
	verdict, err = queryLoop(ctx, o, func() jobs.Verdict {
		now := boot.Now()
		isStoreSlow := o.isWriting && now.Sub(o.writeStarted) > slowWriteLimit
		if o.isHandingOver || isStoreSlow || !o.config.IsStoreUp() {
			stored <- ErrNotDone
			return jobs.Verdict{RetryAfter: busyRetryDelay, Reason: "the cell cannot store jobs now"}
		}
		admitted := o.cell.Admit(now, &job)
		if !admitted.IsAccepted {
			stored <- nil
			return admitted
		}
		isNew := o.cell.Submit(now, job)
		o.onStored = append(o.onStored, func(err error) { stored <- err })
		admitted.Reason = "new"
		if !isNew {
			admitted.Reason = "known"
		}
		return admitted
	})
	if err != nil {
		return jobs.Verdict{RetryAfter: busyRetryDelay}, err
	}
	err = o.awaitStored(ctx, stored)
	fields := logrus.Fields{
		"job": job.ID, "queue": job.Queue, "account": job.Account, "reason": verdict.Reason,
		"took": boot.Now().Sub(receivedAt).Milliseconds(),
	}
	switch {
	case errors.Is(err, ErrNotDone):
		event.JobRejected.Log(o.config.Log, fields)
	case err != nil:
		event.JobRequestUnanswered.Log(o.config.Log, fields)
	case verdict.IsAccepted:
		event.JobAccepted.Log(o.config.Log, fields)
	default:
		fields["retry"] = verdict.RetryAfter.Milliseconds()
		event.JobRejected.Log(o.config.Log, fields)
	}
	return verdict, err
}

// awaitStored waits for the result of storing a request's changes. It returns
// ErrIndeterminate if the context or the owner ends first.
func (o *Owner) awaitStored(ctx context.Context, stored <-chan error) error {
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ErrIndeterminate
	case <-o.done:
		return ErrIndeterminate
	}
}

// Status returns the state of a job; isKnown is false if the cell has no such job.
func (o *Owner) Status(ctx context.Context, id string) (state jobs.State, isKnown bool, err error) {
	type status struct {
		state   jobs.State
		isKnown bool
	}
	found, err := queryLoop(ctx, o, func() (s status) {
		s.state, s.isKnown = o.cell.Status(id)
		return s
	})
	return found.state, found.isKnown, err
}

// Pending returns the number of accepted jobs in a queue of which no task has
// started.
func (o *Owner) Pending(ctx context.Context, queue string) (count int, err error) {
	return queryLoop(ctx, o, func() int { return o.cell.Pending(queue) })
}

// Cancel cancels a job and returns once that is stored; isKnown is false if the cell
// has no such job. ErrIndeterminate means that the job may have been cancelled.
func (o *Owner) Cancel(ctx context.Context, id string) (isKnown bool, err error) {
	stored := make(chan error, 1)
	isKnown, err = queryLoop(ctx, o, func() bool {
		if !o.cell.Cancel(boot.Now(), id) {
			stored <- nil
			return false
		}
		o.onStored = append(o.onStored, func(err error) { stored <- err })
		return true
	})
	if err != nil {
		return false, err
	}
	err = o.awaitStored(ctx, stored)
	event.JobCancelled.Log(o.config.Log, logrus.Fields{"job": id, "known": isKnown, "open": err != nil})
	return isKnown, err
}

// Needs returns, by client account, the resources in use in the cell and those that
// waiting work could use.
func (o *Owner) Needs(ctx context.Context) (needs map[string]jobs.Need, err error) {
	return queryLoop(ctx, o, o.cell.Needs)
}

// Cordon keeps new work off endpoints for a duration and returns the load of each.
// With evacuate, long-running tasks there are stopped as far as their steps allow, so
// that they start elsewhere.
func (o *Owner) Cordon(ctx context.Context, ids []string, duration time.Duration, evacuate bool) (loads []jobs.Load, err error) {
	return queryLoop(ctx, o, func() []jobs.Load {
		now := boot.Now()
		list := make([]jobs.Load, 0, len(ids))
		for _, id := range ids {
			list = append(list, o.cell.Evacuate(now, id, now.Add(duration), evacuate))
		}
		return list
	})
}

// Survey returns the resource demand of the cell and the load of each endpoint.
func (o *Owner) Survey(ctx context.Context) (demand jobs.Demand, loads []jobs.Load, err error) {
	type survey struct {
		demand jobs.Demand
		loads  []jobs.Load
	}
	found, err := queryLoop(ctx, o, func() (s survey) {
		s.demand, s.loads = o.cell.Survey(boot.Now())
		return s
	})
	return found.demand, found.loads, err
}

// Dump returns the state of the cell for diagnosis.
func (o *Owner) Dump(ctx context.Context) (dump jobs.Dump, err error) {
	return queryLoop(ctx, o, func() jobs.Dump { return o.cell.Dump(boot.Now()) })
}
