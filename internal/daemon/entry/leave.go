package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

const (
	// idlePoll is how often a leaving entry looks whether its work has ended.
	idlePoll = 50 * time.Millisecond
	// returnTime bounds how long a leaving entry gives its lenders to take
	// their units back.
	returnTime = 5 * time.Second
)

// leave ends the service without cutting a request: the balancer is told, the
// requests that still come are served, then those under way, then the slices
// go back to the table.
func (e *Entry) leave() {
	event.ShuttingDown.Log(e.log, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Stop))
	defer cancel()
	e.leaving.Store(true)
	e.mu.Lock()
	e.self().Leaving = true
	e.afterChange()
	e.mu.Unlock()
	e.teams.StopLending()
	e.slots.StopLending()
	sleep(ctx, time.Duration(e.settings.Linger))
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests were still open at the end of the stop time")
	}
	isIdle := await(ctx, func() bool { return e.teams.IsIdle() && e.slots.IsIdle() })
	// What a lender was not told of stays counted there for long.
	told, cancelTold := context.WithTimeout(ctx, returnTime)
	await(told, func() bool { return !e.teams.HasBorrowed() && !e.slots.HasBorrowed() })
	cancelTold()
	if isIdle {
		e.giveUpSlice(ctx)
	}
	e.deregister(ctx)
	event.ShuttingDown.Log(e.log, logrus.Fields{"idle": isIdle})
}

// await looks again and again whether something is so, until it is or the
// context ends.
func await(ctx context.Context, isSo func() bool) bool {
	for ctx.Err() == nil {
		if isSo() {
			return true
		}
		sleep(ctx, idlePoll)
	}
	return false
}

// giveUpSlice writes a table without this entry. If that fails, the others find
// out later that this process is gone.
func (e *Entry) giveUpSlice(ctx context.Context) {
	for range maxRaces {
		e.mu.Lock()
		holders := e.wantedHolders(e.config.Timer.Now())
		delete(holders, e.id)
		_, isHolder := e.state.table.Holders[e.id]
		next, ok := e.composeTable(holders)
		version, isReached := e.state.tableStore.version, e.state.reached
		e.mu.Unlock()
		if !isHolder || !ok || !isReached || e.writeTable(ctx, next, version) == nil {
			return
		}
	}
}

// deregister takes this entry off the platform's list of members.
func (e *Entry) deregister(ctx context.Context) {
	e.mu.Lock()
	lease, isReached := e.state.lease, e.state.reached
	e.mu.Unlock()
	if lease != 0 && isReached {
		_ = e.platform.Revoke(ctx, lease)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
