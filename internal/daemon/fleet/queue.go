package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/cell/homes"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// submit sends a job to the owner of its queue's home and returns its verdict. The cells that held
// the queue before are asked first, as one of them may have accepted the job.
func (d *Daemon) submit(ctx context.Context, target submitter.Target, job jobs.Job) (verdict jobs.Verdict, err error) {
	data, err := json.Marshal(job)
	if err != nil {
		return jobs.Verdict{}, err
	}
	row, err := d.homes.Settle(ctx, target.Queue, target.Revision)
	if err != nil {
		return jobs.Verdict{}, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
	}
	for _, cell := range row.Cells[1:] {
		response, err := d.ask(ctx, cell, target, job.ID, true)
		if err != nil {
			// Nothing was submitted, so a lost answer makes no difference.
			return jobs.Verdict{}, fmt.Errorf("%w: cell %s may have the job: %s", submitter.ErrUnavailable, cell, err.Error())
		}
		switch response.GetOutcome() {
		case call.Done:
			return jobs.Verdict{IsAccepted: true}, nil
		case call.Taken:
			return jobs.Verdict{}, fmt.Errorf("%w: cell %s has it", submitter.ErrTaken, cell)
		}
	}
	response, err := d.callOwner(ctx, &wire.Request{
		Cell: row.Home(), Body: &wire.Request_Submit{Submit: &wire.Submit{Job: data, Move: row.Move, Setup: target.Revision}},
	})
	if err != nil {
		return jobs.Verdict{}, err
	}
	if response.GetOutcome() == call.Taken {
		return jobs.Verdict{}, fmt.Errorf("%w: %s", submitter.ErrTaken, response.GetReason())
	}
	return jobs.Verdict{
		IsAccepted: response.GetOutcome() == call.Done,
		RetryAfter: time.Duration(response.GetRetry()) * time.Millisecond,
		Reason:     response.GetReason(),
	}, nil
}

// ask asks the owner of a cell for the state of a job. With isStored it answers that the job is
// known only once it is stored.
func (d *Daemon) ask(ctx context.Context, cell string, target submitter.Target, id string, isStored bool) (*wire.Response, error) {
	return d.callOwner(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Status{Status: &wire.Status{
		Job: id, Queue: target.Queue.Name, Path: target.Queue.Path(), Setup: target.Revision, Account: target.Account, Stored: isStored,
	}}})
}

// cellsOf returns the cells that may hold jobs of a queue, as far as is known here. Without a row, its
// jobs are from before there were rows, or there are none.
func (d *Daemon) cellsOf(target submitter.Target) []string {
	if cells := d.homes.Row(target.Queue).Cells; len(cells) > 0 {
		return cells
	}
	return []string{target.Queue.Pool}
}

// find calls the owners of the cells that may hold a job, the home first, until one knows the job.
// isKnown is false if none does, as the store's present list of the cells shows. An error of one
// cell is reported if no other one knows the job.
func (d *Daemon) find(ctx context.Context, target submitter.Target, visit func(cell string) (*wire.Response, error)) (response *wire.Response, isKnown bool, err error) {
	var asked []string
	isFresh := false
	for {
		cells := slices.DeleteFunc(d.cellsOf(target), func(cell string) bool { return slices.Contains(asked, cell) })
		for _, cell := range cells {
			response, visitErr := visit(cell)
			if visitErr == nil && response.GetOutcome() == call.Done {
				return response, true, nil
			}
			err = errors.Join(err, visitErr)
		}
		asked = append(asked, cells...)
		switch {
		case errors.Is(err, submitter.ErrIndeterminate):
			return nil, false, fmt.Errorf("%w: %s", submitter.ErrIndeterminate, err.Error())
		case err != nil || isFresh && len(cells) == 0:
			return nil, false, err
		}
		// The queue may have moved since this entry last heard of it.
		if err := d.homes.Refresh(ctx); err != nil {
			return nil, false, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
		}
		isFresh = true
	}
}

// status returns the state of a job; isKnown is false if no cell of the queue has it.
func (d *Daemon) status(ctx context.Context, target submitter.Target, id string) (state jobs.State, isKnown bool, err error) {
	response, isKnown, err := d.find(ctx, target, func(cell string) (*wire.Response, error) { return d.ask(ctx, cell, target, id, false) })
	return jobs.State(response.GetState()), isKnown, err
}

// cancelJob cancels a job; isKnown is false if no cell of the queue has it.
func (d *Daemon) cancelJob(ctx context.Context, target submitter.Target, id string) (isKnown bool, err error) {
	_, isKnown, err = d.find(ctx, target, func(cell string) (*wire.Response, error) {
		return d.callOwner(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Cancel{Cancel: &wire.Cancel{
			Job: id, Queue: target.Queue.Name, Path: target.Queue.Path(), Setup: target.Revision, Account: target.Account,
		}}})
	})
	return isKnown, err
}

// pending returns the number of accepted jobs of a queue, in all its cells, that have not started.
func (d *Daemon) pending(ctx context.Context, target submitter.Target) (count int, err error) {
	for _, cell := range d.cellsOf(target) {
		response, err := d.callOwner(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Pending{Pending: &wire.Pending{
			Queue: target.Queue.Name, Path: target.Queue.Path(),
		}}})
		if err != nil {
			return 0, err
		}
		count += int(response.GetCount())
	}
	return count, nil
}

// guard returns the function by which the owner of a cell checks that new jobs may be stored there.
func (d *Daemon) guard(cell string) func(accepted []homes.Acceptance, current *store.Item) (store.Condition, error) {
	return func(accepted []homes.Acceptance, current *store.Item) (store.Condition, error) {
		return d.homes.Check(cell, accepted, current)
	}
}

// queueAt returns the name of the queue that the configuration in force has at a path, empty if it has
// none there, and the store revision of that configuration, 0 without one.
func (d *Daemon) queueAt(path string) (name string, revision int64) {
	s := d.setup.Load()
	if s == nil {
		return "", 0
	}
	if q := s.QueueAt(path); q != nil {
		name = q.Name
	}
	return name, s.Revision
}
