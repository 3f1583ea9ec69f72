package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/homes"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// busyRetryDelay is the retry delay returned to submitters while the cell cannot
// store jobs. A takeover or a short outage of the store is over by then.
const busyRetryDelay = time.Second

// ErrTaken reports that the cell has a job with the ID that the caller may not ask for.
var ErrTaken = errors.New("the ID is that of another client's job")

// errUndecided reports that the caller's queue may have the job by a later configuration than the one
// in force here.
var errUndecided = fmt.Errorf("%w: the configuration of the request is not in force at the owner yet", ErrNotDone)

// Submit adds a job and returns once it is stored, or returns a verdict that rejects
// it. A job whose ID is already known is accepted and left unchanged.
// ErrIndeterminate means that the job may have been accepted, ErrNotDone that it was
// not, as does ErrTaken.
func (o *Owner) Submit(ctx context.Context, job jobs.Job) (verdict jobs.Verdict, err error) {
	return o.SubmitAfter(ctx, job, Origin{})
}

// Origin is what a submission goes by.
type Origin struct {
	// Move is that of homes.Row.Move, Setup the store revision of the configuration.
	Move, Setup int64
}

// SubmitAfter is Submit for a job whose queue has this cell as its home since a move. The error is
// homes.ErrMoved, and the job was not accepted, if that is not so.
func (o *Owner) SubmitAfter(ctx context.Context, job jobs.Job, origin Origin) (verdict jobs.Verdict, err error) {
	stored := make(chan error, 1)
	receivedAt := boot.Now()
	verdict, err = queryLoop(ctx, o, func() jobs.Verdict {
		v, err := o.accept(job, origin)
		if v.IsAccepted {
			o.onStored = append(o.onStored, func(err error) { stored <- err })
		} else {
			stored <- err
		}
		return v
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
	case errors.Is(err, ErrNotDone), errors.Is(err, ErrTaken), errors.Is(err, homes.ErrMoved):
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

// accept adds a job to the cell if it may, and returns the verdict. The job counts as accepted once
// it is stored. It runs in the loop. The errors are those of SubmitAfter.
func (o *Owner) accept(job jobs.Job, origin Origin) (verdict jobs.Verdict, err error) {
	now := boot.Now()
	isStoreSlow := o.isWriting && now.Sub(o.writeStarted) > slowWriteLimit
	if o.isHandingOver || isStoreSlow || !o.config.IsStoreUp() {
		return jobs.Verdict{RetryAfter: busyRetryDelay, Reason: "the cell cannot store jobs now"}, ErrNotDone
	}
	access := o.cell.Access(job.ID, jobs.Caller{Queue: job.Queue, Path: job.Path, Setup: origin.Setup, Account: job.Account})
	switch access {
	case jobs.Denied:
		return jobs.Verdict{Reason: ErrTaken.Error()}, ErrTaken
	case jobs.Undecided:
		return jobs.Verdict{RetryAfter: busyRetryDelay, Reason: errUndecided.Error()}, errUndecided
	}
	acceptance := homes.Acceptance{Queue: job.Queue, Path: job.Path, Move: origin.Move}
	if access == jobs.NoSuchJob && o.config.Guard != nil {
		if _, err := o.config.Guard([]homes.Acceptance{acceptance}, nil); err != nil {
			return jobs.Verdict{RetryAfter: busyRetryDelay, Reason: err.Error()}, err
		}
	}
	verdict = o.cell.Admit(now, &job)
	if !verdict.IsAccepted {
		return verdict, nil
	}
	isNew := o.cell.Submit(now, job)
	if isNew && o.config.Guard != nil {
		o.accepted = append(o.accepted, acceptance)
	}
	verdict.Reason = "new"
	if !isNew {
		verdict.Reason = "known"
	}
	return verdict, nil
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

// Lookup names a job and who asks for it.
type Lookup struct {
	ID string
	// Caller is nil if every job may be asked for.
	Caller *jobs.Caller
	// IsStored makes the answer that the job is known wait until it is stored, and the answer that
	// the caller may not ask for it ErrTaken.
	IsStored bool
}

// check reports whether the cell has the job and the caller may ask for it. The error wraps ErrNotDone
// if that cannot be told now. It runs in the loop.
func (o *Owner) check(l Lookup) (isAllowed bool, err error) {
	if l.Caller == nil {
		return true, nil
	}
	switch o.cell.Access(l.ID, *l.Caller) {
	case jobs.Allowed:
		return true, nil
	case jobs.Undecided:
		return false, errUndecided
	case jobs.Denied:
		if l.IsStored {
			return false, ErrTaken
		}
	}
	return false, nil
}

// Status returns the state of a job; isKnown is false if the cell has no such job, or the caller
// may not ask for it.
func (o *Owner) Status(ctx context.Context, l Lookup) (state jobs.State, isKnown bool, err error) {
	type status struct {
		state   jobs.State
		isKnown bool
	}
	stored := make(chan error, 1)
	found, err := queryLoop(ctx, o, func() (s status) {
		isAllowed, err := o.check(l)
		if isAllowed {
			s.state, s.isKnown = o.cell.Status(l.ID)
		}
		if s.isKnown && l.IsStored {
			o.onStored = append(o.onStored, func(err error) { stored <- err })
		} else {
			stored <- err
		}
		return s
	})
	if err == nil {
		err = o.awaitStored(ctx, stored)
	}
	return found.state, found.isKnown, err
}

// Pending returns the number of accepted jobs that belong to the caller's queue and of which no task has
// started.
func (o *Owner) Pending(ctx context.Context, caller jobs.Caller) (count int, err error) {
	return queryLoop(ctx, o, func() int { return o.cell.Pending(caller) })
}

// Cancel cancels a job and returns once that is stored; isKnown is false if the cell
// has no such job, or the caller may not ask for it. ErrIndeterminate means that the job may have
// been cancelled.
func (o *Owner) Cancel(ctx context.Context, l Lookup) (isKnown bool, err error) {
	stored := make(chan error, 1)
	isKnown, err = queryLoop(ctx, o, func() bool {
		if isAllowed, err := o.check(l); !isAllowed || !o.cell.Cancel(boot.Now(), l.ID) {
			stored <- err
			return false
		}
		o.onStored = append(o.onStored, func(err error) { stored <- err })
		return true
	})
	if err != nil {
		return false, err
	}
	err = o.awaitStored(ctx, stored)
	event.JobCancelled.Log(o.config.Log, logrus.Fields{"job": l.ID, "known": isKnown, "open": err != nil})
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
