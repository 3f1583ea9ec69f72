package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/homes"
	"gitlab.com/chicorypin/chicorypin/internal/cell/ledger"
	"gitlab.com/chicorypin/chicorypin/internal/cell/owner"
	"gitlab.com/chicorypin/chicorypin/internal/cell/roster"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// peerTimeout bounds a call to a peer, so that an unresponsive peer is detected while
// the caller still waits.
const peerTimeout = 1500 * time.Millisecond

const (
	// handoverWait is how long a request waits for the next owner of a cell that is
	// being handed over, which takes 25 to 60 ms. Requests for a cell that has been
	// without an owner for longer are refused at once.
	handoverWait = 150 * time.Millisecond
	// lateResponseWait is how long a call to an owner goes on once the cell has another
	// owner. An owner that hands its cell over sends its last responses before the next
	// owner has it.
	lateResponseWait = 100 * time.Millisecond
	// takeoverWait is how long a request whose owner did not answer within
	// peerTimeout waits for the next owner: until the lease of the dead owner has
	// expired and another entry has taken over the cell, less peerTimeout.
	takeoverWait = sessionTTL + 700*time.Millisecond - peerTimeout
)

// ownerOf returns the owner of a cell in this entry, nil if this entry does not own
// the cell.
func (d *Daemon) ownerOf(cell string) *owner.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[cell]
}

// backend returns the functions by which the HTTP handler for submitters calls the
// owners of cells.
func (d *Daemon) backend() submitter.Backend {
	return submitter.Backend{Submit: d.submit, Status: d.status, Cancel: d.cancelJob, Pending: d.pending}
}

// callOwner sends a request to the owner of its cell, in this entry or at a peer. If
// the owner is unavailable or does not answer, it waits for the next owner and sends
// the request once more. That is safe because a request carries the ID of its job, so
// carrying it out twice has the same effect as once.
//
// The error wraps submitter.ErrUnavailable if the request was not carried out, and
// submitter.ErrIndeterminate if it may have been.
func (d *Daemon) callOwner(ctx context.Context, request *wire.Request) (response *wire.Response, err error) {
	current, isKnown := d.roster.Owner(request.GetCell())
	if d.ownerOf(request.GetCell()) != nil {
		current = roster.Ownership{Incarnation: d.self.Incarnation}
	} else if !isKnown {
		current = roster.Ownership{}
	}
	response, err = d.callOwnerOnce(ctx, current, request)
	isIndeterminate := errors.Is(err, submitter.ErrIndeterminate)
	limit := handoverWait
	switch {
	case isIndeterminate:
		limit = takeoverWait
	case !errors.Is(err, submitter.ErrUnavailable):
		return response, err
	}
	next, isFound := d.roster.AwaitNextOwner(ctx, request.GetCell(), current.Incarnation, limit)
	if !isFound {
		return nil, err
	}
	second, secondErr := d.callOwnerOnce(ctx, next, request)
	if isIndeterminate && (secondErr != nil || second.GetOutcome() == call.Refused) {
		// The first owner may have carried out the request, so the outcome stays
		// indeterminate.
		return nil, err
	}
	return second, secondErr
}

// callOwnerOnce sends a request to one owner, or to this entry if it owns the cell
// now. Errors are those of callOwner.
func (d *Daemon) callOwnerOnce(ctx context.Context, target roster.Ownership, request *wire.Request) (response *wire.Response, err error) {
	switch {
	case d.ownerOf(request.GetCell()) != nil:
		response = d.serve(ctx, request)
	case target.Incarnation == "" || target.Incarnation == d.self.Incarnation:
		return nil, fmt.Errorf("%w: cell %s has no owner", submitter.ErrUnavailable, request.GetCell())
	default:
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		// Cancels the call lateResponseWait after the cell has another owner. The
		// goroutine ends at the latest when the call does.
		go func() {
			if _, isFound := d.roster.AwaitNextOwner(callCtx, request.GetCell(), target.Incarnation, peerTimeout); isFound {
				time.AfterFunc(lateResponseWait, cancel)
			}
		}()
		response, err = d.mesh.Call(callCtx, target.Peer, request)
		cancel()
		if err != nil {
			event.OperationFailed.Log(d.log, logrus.Fields{"peer": target.Name, "cell": request.GetCell(), "error": err.Error()})
		}
		if errors.Is(err, call.ErrNotSent) {
			return nil, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", submitter.ErrIndeterminate, err)
		}
	}
	switch response.GetOutcome() {
	case call.NotOwner, call.Unavailable:
		return nil, fmt.Errorf("%w: %s", submitter.ErrUnavailable, response.GetReason())
	case call.Indeterminate:
		return nil, submitter.ErrIndeterminate
	}
	return response, nil
}

// serve handles a request of a peer or of this entry as the owner of its cell, or makes
// a relayed call to the store. It is safe for concurrent use.
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
	response := handle(ctx, o, request)
	if !o.IsServing() && response.GetOutcome() == call.UnknownJob {
		// An owner that has lost its cell may not know jobs that the next owner has
		// accepted.
		return &wire.Response{Outcome: call.Unavailable, Reason: "the ownership of the cell is not certain"}
	}
	return response
}

// handle has an owner carry out a request and encodes the response.
func handle(ctx context.Context, o *owner.Owner, request *wire.Request) *wire.Response {
	switch body := request.GetBody().(type) {
	case *wire.Request_Submit:
		return handleSubmit(ctx, o, body.Submit)
	case *wire.Request_Status:
		state, isKnown, err := o.Status(ctx, owner.Lookup{ID: body.Status.GetJob(), Caller: callerOf(body.Status), IsStored: body.Status.GetStored()})
		return &wire.Response{Outcome: requestOutcome(isKnown, err), State: string(state)}
	case *wire.Request_Cancel:
		isKnown, err := o.Cancel(ctx, owner.Lookup{ID: body.Cancel.GetJob(), Caller: callerOf(body.Cancel)})
		return &wire.Response{Outcome: requestOutcome(isKnown, err)}
	case *wire.Request_Pending:
		count, err := o.Pending(ctx, jobs.Caller{Queue: body.Pending.GetQueue(), Path: body.Pending.GetPath()})
		return &wire.Response{Outcome: requestOutcome(true, err), Count: uint32(count)}
	case *wire.Request_Cordon:
		return handleCordon(ctx, o, body.Cordon)
	case *wire.Request_Survey:
		return handleSurvey(ctx, o)
	}
	return &wire.Response{Outcome: call.Unavailable, Reason: "the request is not known"}
}

// callerOf returns the caller that a request about a job names.
func callerOf(request interface {
	GetQueue() string
	GetPath() string
	GetSetup() int64
	GetAccount() string
},
) *jobs.Caller {
	return &jobs.Caller{Queue: request.GetQueue(), Path: request.GetPath(), Setup: request.GetSetup(), Account: request.GetAccount()}
}

func handleSubmit(ctx context.Context, o *owner.Owner, body *wire.Submit) *wire.Response {
	var job jobs.Job
	if err := json.Unmarshal(body.GetJob(), &job); err != nil {
		return &wire.Response{Outcome: call.Refused, Reason: err.Error()}
	}
	verdict, err := o.SubmitAfter(ctx, job, owner.Origin{Move: body.GetMove(), Setup: body.GetSetup()})
	if err != nil {
		return &wire.Response{Outcome: requestOutcome(true, err), Reason: err.Error()}
	}
	if !verdict.IsAccepted {
		return &wire.Response{
			Outcome: call.Refused, Reason: verdict.Reason, Retry: uint32(verdict.RetryAfter.Milliseconds()),
		}
	}
	return &wire.Response{Outcome: call.Done}
}

func handleCordon(ctx context.Context, o *owner.Owner, body *wire.Cordon) *wire.Response {
	duration := time.Duration(body.GetMilliseconds()) * time.Millisecond
	loads, err := o.Cordon(ctx, body.GetEndpoint(), duration, body.GetEvacuate())
	return &wire.Response{Outcome: requestOutcome(true, err), Load: encodeLoads(loads)}
}

func handleSurvey(ctx context.Context, o *owner.Owner) *wire.Response {
	demand, loads, err := o.Survey(ctx)
	encoded := &wire.Demand{
		Present: demand.Present, Arriving: demand.Arriving, Lasting: demand.LongRunningCPU, Least: uint32(demand.MinEndpoints),
	}
	for label, cpu := range demand.LabelCPU {
		encoded.Label = append(encoded.Label, &wire.LabelDemand{Label: label, Cpu: cpu})
	}
	return &wire.Response{Outcome: requestOutcome(true, err), Load: encodeLoads(loads), Demand: encoded}
}

func encodeLoads(loads []jobs.Load) []*wire.Load {
	list := make([]*wire.Load, len(loads))
	for i, load := range loads {
		list[i] = &wire.Load{
			Endpoint: load.Endpoint, Runs: uint32(load.Runs), Lasting: uint32(load.LongRunningRuns), Known: load.IsKnown, Cpu: load.CPU,
		}
	}
	return list
}

// requestOutcome returns the outcome number of a request whose owner returned err;
// isKnown tells whether the job exists.
func requestOutcome(isKnown bool, err error) uint32 {
	switch {
	case errors.Is(err, owner.ErrTaken):
		return call.Taken
	case errors.Is(err, owner.ErrNotDone), errors.Is(err, homes.ErrMoved):
		return call.Unavailable
	case err != nil:
		return call.Indeterminate
	case !isKnown:
		return call.UnknownJob
	}
	return call.Done
}

// balanceLimits has the ledger divide the limits of client accounts among the cells,
// according to the needs of the cells that this entry owns.
func (d *Daemon) balanceLimits(ctx context.Context) {
	if !d.session.IsValid() {
		return
	}
	var cells []ledger.Cell
	for cell, o := range d.currentOwners() {
		if !o.IsServing() {
			continue
		}
		cells = append(cells, ledger.Cell{Name: cell, Condition: o.Condition(), Needs: o.Needs})
	}
	if err := d.ledger.Balance(ctx, cells); err != nil {
		event.OperationFailed.Log(d.log, logrus.Fields{"call": "ledger", "error": err.Error()})
	}
}
