package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

const (
	// idlePollInterval is how often a leaving entry looks whether its work has ended.
	idlePollInterval = 50 * time.Millisecond
	// returnTimeout bounds how long a leaving entry gives its lenders to take
	// their units back.
	returnTimeout = 5 * time.Second
)

// leave ends the service without cutting a request: the balancer is told, the
// requests that still come are served, then those under way, then the slices
// go back to the table.
func (e *Entry) leave() {
	event.Leaving.Log(e.log, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Stop))
	defer cancel()
	e.isLeaving.Store(true)
	e.mu.Lock()
	e.ownMember().Leaving = true
	e.applyMemberChange()
	e.mu.Unlock()
	e.teams.StopLending()
	e.slots.StopLending()
	sleep(ctx, time.Duration(e.settings.Linger))
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests were still open at the end of the stop time")
	}
	isIdle := waitUntil(ctx, func() bool { return e.teams.IsIdle() && e.slots.IsIdle() })
	// What a lender was not returnContext of stays counted there for long.
	returnContext, cancelReturn := context.WithTimeout(ctx, returnTimeout)
	waitUntil(returnContext, func() bool { return !e.teams.HasBorrowed() && !e.slots.HasBorrowed() })
	cancelReturn()
	if isIdle {
		e.releaseSlice(ctx)
	}
	e.deregister(ctx)
	event.Leaving.Log(e.log, logrus.Fields{"idle": isIdle})
}

// waitUntil looks again and again whether something is so, until it is or the
// context ends.
func waitUntil(ctx context.Context, isDone func() bool) bool {
	for ctx.Err() == nil {
		if isDone() {
			return true
		}
		sleep(ctx, idlePollInterval)
	}
	return false
}

// releaseSlice writes a table without this entry. If that fails, the others find
// out later that this process is gone.
func (e *Entry) releaseSlice(ctx context.Context) {
	for range maxWriteAttempts {
		e.mu.Lock()
		holders := e.desiredHolders(e.config.Timer.Now())
		delete(holders, e.id)
		_, isHolder := e.state.table.Holders[e.id]
		next, ok := e.composeTable(holders)
		version, isReachable := e.state.storedTable.version, e.state.isReachable
		e.mu.Unlock()
		if !isHolder || !ok || !isReachable || e.writeTable(ctx, next, version) == nil {
			return
		}
	}
}

// deregister takes this entry off the platform's list of members.
func (e *Entry) deregister(ctx context.Context) {
	e.mu.Lock()
	lease, isReachable := e.state.lease, e.state.isReachable
	e.mu.Unlock()
	if lease != 0 && isReachable {
		_ = e.platform.Revoke(ctx, lease)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
