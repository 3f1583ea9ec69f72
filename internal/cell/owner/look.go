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
	// lookWait is how long an endpoint may wait for an end until it answers;
	// progress and readings are that old at most.
	lookWait = 700 * time.Millisecond
	// lookGap is the least time between two looks at an endpoint, so that ends
	// close to each other are listed together.
	lookGap = 60 * time.Millisecond
	// lookMargin is added to the wait before a look is given up.
	lookMargin = 600 * time.Millisecond
	// lookPause is how often an idle endpoint is considered.
	lookPause = 250 * time.Millisecond
	// lostAfter is how many looks in a row must fail until that is logged.
	lostAfter = 2
)

// looker looks at one endpoint, one look at a time.
type looker struct {
	target endpoint.Target
	// slots bounds the orders under way.
	slots chan struct{}
	wake  chan struct{}
	stop  context.CancelFunc
	// fails counts the looks in a row that had no answer.
	fails int
}

// nudge ends a pause.
func (l *looker) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SetEndpoints takes the endpoints of the cell as discovery lists them.
func (o *Owner) SetEndpoints(entries []endpoint.Entry) {
	o.post(func() {
		now := boot.Now()
		profiles := make([]jobs.Profile, len(entries))
		listed := make(map[string]bool, len(entries))
		for i, entry := range entries {
			profiles[i] = entry.Profile
			listed[entry.Profile.ID] = true
			l := o.lookers[entry.Profile.ID]
			if l != nil && l.target.Address == entry.Address {
				continue
			}
			if l != nil {
				l.stop()
			}
			o.startLooker(entry)
		}
		o.cell.SetEndpoints(profiles)
		for id, l := range o.lookers {
			if _, isKnown := o.cell.NextPoll(now, id); !isKnown {
				event.EndpointRemoved.Log(o.config.Log, logrus.Fields{"endpoint": id})
				l.stop()
				delete(o.lookers, id)
			}
		}
	})
}

func (o *Owner) startLooker(entry endpoint.Entry) {
	ctx, cancel := context.WithCancel(o.ctx)
	l := &looker{
		target: endpoint.Target{ID: entry.Profile.ID, Address: entry.Address},
		slots:  make(chan struct{}, ordersAtOnce),
		wake:   make(chan struct{}, 1),
		stop:   cancel,
	}
	o.lookers[entry.Profile.ID] = l
	event.EndpointAdded.Log(o.config.Log, logrus.Fields{
		"endpoint": entry.Profile.ID, "machine": entry.Profile.Machine, "rack": entry.Profile.Rack,
		"cpu": entry.Profile.Capacity.CPU, "draining": entry.Profile.IsDraining,
	})
	o.wait.Go(func() { o.lookLoop(ctx, l) })
}

func (o *Owner) lookLoop(ctx context.Context, l *looker) {
	for ctx.Err() == nil {
		var look jobs.Poll
		isKnown := false
		if o.ask(ctx, func() { look, isKnown = o.cell.NextPoll(boot.Now(), l.target.ID) }) != nil {
			return
		}
		if !isKnown || !look.IsNeeded || !o.config.IsValid() {
			sleep(ctx, lookPause, l.wake)
			continue
		}
		o.lookOnce(ctx, l, look)
		sleep(ctx, lookGap, nil)
	}
}

func (o *Owner) lookOnce(ctx context.Context, l *looker, look jobs.Poll) {
	wait := lookWait
	if look.IsUrgent {
		wait = 0
	}
	began := boot.Now()
	call, cancel := context.WithTimeout(ctx, wait+lookMargin)
	listing, receipt := o.config.Endpoints.Look(call, l.target, endpoint.Look{
		Epoch: o.epoch, Seen: look.Seen, Until: look.Until, Wait: wait,
	})
	cancel()
	if ctx.Err() != nil {
		return
	}
	o.metrics.looks.Inc(1)
	o.metrics.look.RecordDuration(boot.Now().Sub(began))
	stored := make(chan struct{})
	asked := o.ask(ctx, func() {
		o.looked(l, listing, receipt)
		o.waiters = append(o.waiters, func(error) { close(stored) })
	})
	if asked != nil {
		return
	}
	// Ends are acknowledged by the next look, so they have to be stored first.
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

func (o *Owner) looked(l *looker, listing jobs.Listing, receipt endpoint.Receipt) {
	fields := logrus.Fields{"endpoint": l.target.ID, "reason": receipt.Reason}
	if receipt.Answer != jobs.Accepted {
		o.cell.MarkUnresponsive(l.target.ID)
		l.fails++
		if l.fails == lostAfter {
			event.EndpointUnresponsive.Log(o.config.Log, fields)
		}
		if receipt.Answer == jobs.Fenced {
			o.lose(errFenced)
		}
		return
	}
	if l.fails >= lostAfter {
		event.EndpointResponsive.Log(o.config.Log, fields)
	}
	l.fails = 0
	for _, stray := range o.cell.ApplyListing(boot.Now(), listing) {
		event.OrphanFound.Log(o.config.Log, logrus.Fields{"endpoint": stray.Endpoint, "task": stray.Task, "run": stray.Run})
		o.orderStop(stray)
	}
}

func sleep(ctx context.Context, length time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
