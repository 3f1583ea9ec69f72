package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

var errFenced = errors.New("an endpoint has seen a later owner")

const (
	// pollWait is how long an endpoint may hold a poll open while it waits for a run
	// to end. Progress and measurements in the cell are at most this old.
	pollWait = 700 * time.Millisecond
	// minPollGap is the minimum pause between two polls of an endpoint, so that runs
	// that end close together are reported in one listing.
	minPollGap = 60 * time.Millisecond
	// minRestartGap is the minimum pause between two polls of an endpoint that refuses connections and whose restart has to
	// be noticed soon. restartGapEach is added up for all of them instead if that is more, so that an owner makes 67 such
	// polls a second at most.
	minRestartGap  = 10 * time.Millisecond
	restartGapEach = 15 * time.Millisecond
	// pollMargin is added to the requested wait to get the timeout of a poll.
	pollMargin = 600 * time.Millisecond
	// idleCheckInterval is how often the loop of an endpoint that needs no poll
	// checks whether one is needed.
	idleCheckInterval = 250 * time.Millisecond
	// lostAfterFailures is the number of consecutive failed polls after which the
	// endpoint is logged as lost.
	lostAfterFailures = 2
)

// poller polls one endpoint, one poll at a time. A poll lists the endpoint's runs and
// extends its grant.
type poller struct {
	target endpoint.Target
	// inFlight is a semaphore that limits the concurrent orders to the endpoint.
	inFlight chan struct{}
	// queued holds the stops and paces that have no answer yet. It belongs to the owner's loop.
	queued map[orderKey]bool
	// wake ends the pause of an idle poll loop early.
	wake chan struct{}
	stop context.CancelFunc
	// failures counts consecutive failed polls. It belongs to the owner's loop.
	failures int
}

// wakeUp makes an idle poll loop check at once whether a poll is needed. It never
// blocks.
func (p *poller) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// SetEndpoints replaces the endpoints of the cell by those that discovery lists. It
// starts a poller for each new endpoint, replaces the poller of an endpoint whose
// address has changed, and stops the pollers of endpoints that the cell no longer
// tracks. Endpoints that the previous owner has handed on without being listed are polled, too.
func (o *Owner) SetEndpoints(registrations []endpoint.Registration) {
	o.post(func() {
		now := boot.Now()
		profiles := make([]jobs.Profile, len(registrations))
		for i, registration := range registrations {
			profiles[i] = registration.Profile
			profiles[i].Address = registration.Address
			p := o.pollers[registration.Profile.ID]
			if p != nil && p.target.Address == registration.Address {
				continue
			}
			if p != nil {
				o.stopPoller(p)
			}
			o.startPoller(endpoint.Target{ID: registration.Profile.ID, Address: registration.Address})
			event.EndpointAdded.Log(o.config.Log, logrus.Fields{
				"endpoint": registration.Profile.ID, "machine": registration.Profile.Machine, "rack": registration.Profile.Rack,
				"cpu": registration.Profile.Capacity.CPU, "draining": registration.Profile.IsDraining,
			})
		}
		o.cell.SetEndpoints(now, profiles)
		for _, id := range o.leaving {
			o.cell.Evacuate(now, id, o.leavingUntil, false)
		}
		for _, open := range o.cell.UnlistedOpenStarts() {
			if o.pollers[open.Endpoint] == nil {
				o.startPoller(endpoint.Target{ID: open.Endpoint, Address: open.Address})
			}
		}
		for id, p := range o.pollers {
			if _, isKnown := o.cell.NextPoll(now, id); !isKnown {
				event.EndpointRemoved.Log(o.config.Log, logrus.Fields{"endpoint": id, "starts": o.cell.OpenStarts(now, id)})
				o.stopPoller(p)
				delete(o.pollers, id)
			}
		}
	})
}

// SetMachines tells the owner which endpoints are listed in all cells, by machine.
func (o *Owner) SetMachines(machines map[string]string) {
	o.post(func() { o.cell.CloseMovedStarts(machines) })
}

// startPoller starts polling an endpoint. It runs in the owner's loop.
func (o *Owner) startPoller(target endpoint.Target) {
	ctx, cancel := context.WithCancel(o.ctx)
	p := &poller{
		target:   target,
		inFlight: make(chan struct{}, maxOrdersPerEndpoint),
		queued:   make(map[orderKey]bool),
		wake:     make(chan struct{}, 1),
		stop:     cancel,
	}
	o.pollers[target.ID] = p
	o.workers.Go(func() { o.pollLoop(ctx, p) })
}

// stopPoller stops polling an endpoint that gets no more calls at its address.
func (o *Owner) stopPoller(p *poller) {
	p.stop()
	if o.config.Endpoints.Forget != nil {
		o.config.Endpoints.Forget(p.target)
	}
}

// pollLoop polls an endpoint whenever the cell needs it and the ownership is valid,
// until the context ends.
func (o *Owner) pollLoop(ctx context.Context, p *poller) {
	for ctx.Err() == nil {
		var poll jobs.Poll
		isKnown := false
		if o.runInLoop(ctx, func() { poll, isKnown = o.cell.NextPoll(boot.Now(), p.target.ID) }) != nil {
			return
		}
		if !isKnown || !poll.IsNeeded || !o.config.IsValid() {
			sleep(ctx, idleCheckInterval, p.wake)
			continue
		}
		answer := o.pollOnce(ctx, p, poll)
		if poll.IsRestartAwaited && answer == jobs.ConnectionRefused {
			o.awaitRestart(ctx)
			continue
		}
		sleep(ctx, minPollGap, nil)
	}
}

// awaitRestart pauses between two polls of an endpoint that is down and whose restart has to be noticed soon.
func (o *Owner) awaitRestart(ctx context.Context) {
	count := o.awaitedRestarts.Add(1)
	defer o.awaitedRestarts.Add(-1)
	sleep(ctx, max(minRestartGap, time.Duration(count)*restartGapEach), nil)
}

// pollOnce polls an endpoint, passes the answer to the owner's loop and returns when
// the resulting records are stored. A poll that was refused has none.
func (o *Owner) pollOnce(ctx context.Context, p *poller, poll jobs.Poll) (answer jobs.Answer) {
	wait := pollWait
	if poll.IsUrgent {
		wait = 0
	}
	startedAt := boot.Now()
	pollCtx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	listing, receipt := o.config.Endpoints.Poll(pollCtx, p.target, endpoint.Poll{
		Epoch: o.epoch, Born: poll.Born, Seen: poll.Seen, Until: poll.Until, Wait: wait,
	})
	cancel()
	listing.AskedAt = startedAt
	if ctx.Err() != nil {
		return receipt.Answer
	}
	o.metrics.polls.Inc(1)
	o.metrics.pollDuration.RecordDuration(boot.Now().Sub(startedAt))
	stored := make(chan struct{})
	err := o.runInLoop(ctx, func() {
		if receipt.IsSilent && poll.Until > 0 {
			o.cell.GrantUnanswered(boot.Now(), p.target.ID, poll.Born)
		}
		o.handlePoll(p, listing, receipt)
		if receipt.Answer == jobs.ConnectionRefused {
			close(stored)
			return
		}
		o.onStored = append(o.onStored, func(err error) {
			// After an error the owner ends, and with it the context.
			if err == nil {
				close(stored)
			}
		})
	})
	if err != nil {
		return receipt.Answer
	}
	// Only then does the next poll acknowledge the ended runs. An earlier one would
	// return them again at once.
	select {
	case <-stored:
	case <-ctx.Done():
	}
	return receipt.Answer
}

// handlePoll applies the answer to a poll. It stops runs that the cell does not know,
// and ends the owner if the endpoint has seen a later epoch.
func (o *Owner) handlePoll(p *poller, listing jobs.Listing, receipt endpoint.Receipt) {
	fields := logrus.Fields{"endpoint": p.target.ID, "reason": receipt.Reason}
	if receipt.Answer != jobs.Accepted {
		o.cell.PollFailed(boot.Now(), p.target.ID, receipt.Answer)
		p.failures++
		if p.failures == lostAfterFailures {
			event.EndpointUnresponsive.Log(o.config.Log, fields)
		}
		switch receipt.Answer {
		case jobs.OtherIncarnation:
			o.cell.CloseOpenStarts(p.target.ID)
		case jobs.Fenced:
			if !o.cell.CloseOpenStarts(p.target.ID) {
				o.abort(errFenced)
			}
		}
		return
	}
	if p.failures >= lostAfterFailures {
		event.EndpointResponsive.Log(o.config.Log, fields)
	}
	p.failures = 0
	for _, orphan := range o.cell.ApplyListing(boot.Now(), listing) {
		o.logOrphan(orphan, listing)
		o.sendStop(orphan)
	}
	for _, stop := range o.cell.LateStops(boot.Now(), p.target.ID) {
		o.sendStop(stop)
	}
}

// sleep returns after a duration, or earlier if the context ends or wake receives. A
// nil wake never does.
func sleep(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
