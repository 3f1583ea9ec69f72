package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/ledger"
	"gitlab.com/chicorypin/chicorypin/internal/cell/owner"
	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// peerTimeout bounds a call to a peer, so that one that has gone silent is found
// while the caller still waits.
const peerTimeout = 1500 * time.Millisecond

const (
	// handOverWait is how long a request waits for the next owner of a cell that
	// is being handed over, which takes 25 to 60 ms. A cell that has been without
	// an owner for longer than that is refused at once.
	handOverWait = 150 * time.Millisecond
	// deposedWait is how long an answer of an owner is waited for after the next one
	// is there; one that has handed over sends its last answers before.
	deposedWait = 100 * time.Millisecond
	// takeoverWait is how long a request whose owner did not answer waits for the
	// next one, beyond peerTimeout: until the lease of a dead owner has lapsed and
	// the cell is taken.
	takeoverWait = sessionTTL + 700*time.Millisecond - peerTimeout
)

// ownerOf returns the owner of a cell in this entry, nil if it has none.
func (d *Daemon) ownerOf(cell string) *owner.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[cell]
}

// desk returns how submitters reach the owners of cells.
func (d *Daemon) desk() submitter.Backend {
	return submitter.Backend{Submit: d.submit, Status: d.status, Cancel: d.cancelJob, Pending: d.pending}
}

// ask has the owner of a cell answer a request, here or at a peer. If the owner
// changes meanwhile, the request goes to the next one: requests carry the ID of
// their job, so they may be carried out twice.
func (d *Daemon) ask(ctx context.Context, request *wire.Request) (response *wire.Response, err error) {
	holder, isKnown := d.roster.Owner(request.GetCell())
	if d.ownerOf(request.GetCell()) != nil {
		holder = roster.Ownership{Life: d.self.Life}
	} else if !isKnown {
		holder = roster.Ownership{}
	}
	response, err = d.askHolder(ctx, holder, request)
	isOpen := errors.Is(err, submitter.ErrOpen)
	limit := handOverWait
	switch {
	case isOpen:
		limit = takeoverWait
	case !errors.Is(err, submitter.ErrUnavailable):
		return response, err
	}
	next, isFound := d.roster.AwaitNextOwner(ctx, request.GetCell(), holder.Life, limit)
	if !isFound {
		return nil, err
	}
	again, errAgain := d.askHolder(ctx, next, request)
	if isOpen && (errAgain != nil || again.GetOutcome() == call.Refused) {
		// The first owner may have carried it out after all.
		return nil, err
	}
	return again, errAgain
}

// askHolder has one owner answer a request.
func (d *Daemon) askHolder(ctx context.Context, holder roster.Ownership, request *wire.Request) (response *wire.Response, err error) {
	switch {
	case d.ownerOf(request.GetCell()) != nil:
		response = d.serve(ctx, request)
	case holder.Life == "" || holder.Life == d.self.Life:
		return nil, fmt.Errorf("%w: cell %s has no owner", submitter.ErrUnavailable, request.GetCell())
	default:
		limited, cancel := context.WithTimeout(ctx, peerTimeout)
		// Ends the call soon after the cell has another owner; Next ends with the call.
		go func() {
			if _, isFound := d.roster.AwaitNextOwner(limited, request.GetCell(), holder.Life, peerTimeout); isFound {
				time.AfterFunc(deposedWait, cancel)
			}
		}()
		response, err = d.mesh.Call(limited, holder.Peer, request)
		cancel()
		if err != nil {
			event.OperationFailed.Log(d.log, logrus.Fields{"peer": holder.Name, "cell": request.GetCell(), "error": err.Error()})
		}
		if errors.Is(err, call.ErrNotSent) {
			return nil, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", submitter.ErrOpen, err)
		}
	}
	switch response.GetOutcome() {
	case call.NotOwner, call.Unavailable:
		return nil, fmt.Errorf("%w: %s", submitter.ErrUnavailable, response.GetReason())
	case call.Indeterminate:
		return nil, submitter.ErrOpen
	}
	return response, nil
}

func (d *Daemon) submit(ctx context.Context, cell string, job jobs.Job) (verdict jobs.Verdict, err error) {
	data, err := json.Marshal(job)
	if err != nil {
		return jobs.Verdict{}, err
	}
	request := &wire.Request{Cell: cell, Body: &wire.Request_Submit{Submit: &wire.Submit{Job: data}}}
	response, err := d.ask(ctx, request)
	if err != nil {
		return jobs.Verdict{}, err
	}
	return jobs.Verdict{
		IsAccepted: response.GetOutcome() == call.Done,
		RetryAfter: time.Duration(response.GetRetry()) * time.Millisecond,
		Reason:     response.GetReason(),
	}, nil
}

func (d *Daemon) status(ctx context.Context, cell, id string) (state jobs.State, isKnown bool, err error) {
	response, err := d.ask(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Status{Status: &wire.Status{Job: id}}})
	return jobs.State(response.GetState()), response.GetOutcome() == call.Done, err
}

func (d *Daemon) cancelJob(ctx context.Context, cell, id string) (isKnown bool, err error) {
	response, err := d.ask(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Cancel{Cancel: &wire.Cancel{Job: id}}})
	return response.GetOutcome() == call.Done, err
}

func (d *Daemon) pending(ctx context.Context, cell, queue string) (count int, err error) {
	response, err := d.ask(ctx, &wire.Request{Cell: cell, Body: &wire.Request_Pending{Pending: &wire.Pending{Queue: queue}}})
	return int(response.GetCount()), err
}

// serve answers a request as the owner of its cell.
func (d *Daemon) serve(ctx context.Context, request *wire.Request) *wire.Response {
	if relay := request.GetRelay(); relay != nil {
		return d.relay.Serve(ctx, relay)
	}
	o := d.ownerOf(request.GetCell())
	if o == nil {
		return &wire.Response{Outcome: call.NotOwner, Reason: "this entry does not own the cell"}
	}
	if !o.IsServing() {
		return &wire.Response{Outcome: call.Unavailable, Reason: "the owner of the cell is not ready"}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response := answer(ctx, o, request)
	if !o.IsServing() && response.GetOutcome() == call.UnknownJob {
		// A deposed owner may not know jobs that its successor has taken.
		return &wire.Response{Outcome: call.Unavailable, Reason: "the ownership of the cell is not certain"}
	}
	return response
}

func answer(ctx context.Context, o *owner.Owner, request *wire.Request) *wire.Response {
	switch body := request.GetBody().(type) {
	case *wire.Request_Submit:
		return answerSubmit(ctx, o, body.Submit)
	case *wire.Request_Status:
		state, isKnown, err := o.Status(ctx, body.Status.GetJob())
		return &wire.Response{Outcome: outcome(isKnown, err), State: string(state)}
	case *wire.Request_Cancel:
		isKnown, err := o.Cancel(ctx, body.Cancel.GetJob())
		return &wire.Response{Outcome: outcome(isKnown, err)}
	case *wire.Request_Pending:
		count, err := o.Pending(ctx, body.Pending.GetQueue())
		return &wire.Response{Outcome: outcome(true, err), Count: uint32(count)}
	case *wire.Request_Cordon:
		return answerCordon(ctx, o, body.Cordon)
	case *wire.Request_Survey:
		return answerSurvey(ctx, o)
	}
	return &wire.Response{Outcome: call.Unavailable, Reason: "the request is not known"}
}

func answerSubmit(ctx context.Context, o *owner.Owner, body *wire.Submit) *wire.Response {
	var job jobs.Job
	if err := json.Unmarshal(body.GetJob(), &job); err != nil {
		return &wire.Response{Outcome: call.Refused, Reason: err.Error()}
	}
	verdict, err := o.Submit(ctx, job)
	if err != nil {
		return &wire.Response{Outcome: outcome(true, err)}
	}
	if !verdict.IsAccepted {
		return &wire.Response{
			Outcome: call.Refused, Reason: verdict.Reason, Retry: uint32(verdict.RetryAfter.Milliseconds()),
		}
	}
	return &wire.Response{Outcome: call.Done}
}

func answerCordon(ctx context.Context, o *owner.Owner, body *wire.Cordon) *wire.Response {
	length := time.Duration(body.GetMilliseconds()) * time.Millisecond
	loads, err := o.Cordon(ctx, body.GetEndpoint(), length, body.GetEvacuate())
	return &wire.Response{Outcome: outcome(true, err), Load: wireLoads(loads)}
}

func answerSurvey(ctx context.Context, o *owner.Owner) *wire.Response {
	demand, loads, err := o.Survey(ctx)
	return &wire.Response{
		Outcome: outcome(true, err), Load: wireLoads(loads),
		Demand: &wire.Demand{
			Present: demand.Present, Arriving: demand.Arriving, Lasting: demand.LongRunningCPU, Least: uint32(demand.MinEndpoints),
		},
	}
}

func wireLoads(loads []jobs.Load) []*wire.Load {
	list := make([]*wire.Load, len(loads))
	for i, load := range loads {
		list[i] = &wire.Load{
			Endpoint: load.Endpoint, Runs: uint32(load.Runs), Lasting: uint32(load.LongRunningRuns), Known: load.IsKnown, Cpu: load.CPU,
		}
	}
	return list
}

func outcome(isKnown bool, err error) uint32 {
	switch {
	case errors.Is(err, owner.ErrNotDone):
		return call.Unavailable
	case err != nil:
		return call.Indeterminate
	case !isKnown:
		return call.UnknownJob
	}
	return call.Done
}

// balance divides the limits of client accounts among the cells anew.
func (d *Daemon) balance(ctx context.Context) {
	if !d.session.IsValid() {
		return
	}
	var cells []ledger.Cell
	for cell, o := range d.currentOwners() {
		if !o.IsServing() {
			continue
		}
		needs, err := o.Needs(ctx)
		if err != nil {
			// The owner has just ended; the next one asks for itself.
			continue
		}
		cells = append(cells, ledger.Cell{Name: cell, Condition: o.Condition(), Needs: needs})
	}
	if err := d.ledger.Balance(ctx, cells); err != nil {
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "ledger", "error": err.Error()})
	}
}
