package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// adviceTurns lets the cells of an entry call the advice service one after the other, as it handles one call
// at a time for each entry: a call that waits there need not be answered in time. It is safe for
// concurrent use.
type adviceTurns struct {
	mu      sync.Mutex
	isTaken bool
	waiting []adviceWaiter
}

// adviceWaiter is a cell that waits for its turn.
type adviceWaiter struct {
	turn time.Time
	// granted is closed when the cell has the turn.
	granted chan struct{}
}

// await is owner.Config.AwaitAdviceTurn.
func (a *adviceTurns) await(ctx context.Context, turn time.Time, releaseLast func()) (release func(), err error) {
	w := adviceWaiter{turn: turn, granted: make(chan struct{})}
	a.mu.Lock()
	if a.isTaken {
		a.waiting = append(a.waiting, w)
	} else {
		a.isTaken = true
		close(w.granted)
	}
	a.mu.Unlock()
	if releaseLast != nil {
		releaseLast()
	}
	select {
	case <-w.granted:
		return a.release, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	isWaiting := func(other adviceWaiter) bool { return other.granted == w.granted }
	if slices.ContainsFunc(a.waiting, isWaiting) {
		a.waiting = slices.DeleteFunc(a.waiting, isWaiting)
	} else {
		a.grantNext()
	}
	return nil, ctx.Err()
}

func (a *adviceTurns) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantNext()
}

// grantNext gives the turn to the waiting cell with the earliest one. It must be called with mu locked.
func (a *adviceTurns) grantNext() {
	if a.isTaken = len(a.waiting) > 0; !a.isTaken {
		return
	}
	next := 0
	for i, w := range a.waiting {
		if w.turn.Before(a.waiting[next].turn) {
			next = i
		}
	}
	close(a.waiting[next].granted)
	a.waiting = slices.Delete(a.waiting, next, next+1)
}

// adviceTerms returns what calls for advice of a queue cost by the configuration in force.
func (d *Daemon) adviceTerms(queue string) jobs.AdviceTerms {
	s := d.setup.Load()
	if s == nil {
		return jobs.AdviceTerms{}
	}
	q := s.Queue(queue)
	if q == nil || q.Advice == nil {
		return jobs.AdviceTerms{}
	}
	return jobs.AdviceTerms{DecisionTime: q.Advice.DecisionTime, TimePerEndpoint: q.Advice.TimePerEndpoint, Validity: q.Advice.TicketValidity}
}
