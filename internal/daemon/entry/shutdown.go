package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

const (
	// idlePollInterval is how often a leaving entry checks whether its work has
	// ended.
	idlePollInterval = 50 * time.Millisecond
	// lingerDivisor is the part of the stop time, one in lingerDivisor, for which a
	// leaving entry accepts requests at most. The remainder is for those accepted last.
	lingerDivisor = 4
	// returnTimeout bounds how long a leaving entry waits for borrowed units to
	// be returned to their lenders.
	returnTimeout = 5 * time.Second
)

// leave ends the service without cutting off a request. It reports the entry as
// not ready, accepts requests until the load balancer has noticed, waits for the
// open requests, returns borrowed units to their lenders and releases the slice.
// All of it takes at most the stop time of the settings.
func (e *Entry) leave() {
	event.ShuttingDown.Log(e.log, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Stop))
	defer cancel()
	e.isLeaving.Store(true)
	e.mu.Lock()
	e.ownMember().Leaving = true
	e.applyMemberChange()
	e.mu.Unlock()
	e.teams.StopLending()
	e.slots.StopLending()
	e.listener.StopKeepAlive()
	e.serveUntilQuiet(ctx)
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests still open at the end of the stop time")
	}
	e.teams.StopBorrowing()
	e.slots.StopBorrowing()
	isIdle := waitUntil(ctx, func() bool { return e.teams.IsIdle() && e.slots.IsIdle() })
	// A lender that does not learn of the return counts its units as lent until
	// its loans expire.
	returnContext, cancelReturn := context.WithTimeout(ctx, returnTimeout)
	waitUntil(returnContext, func() bool { return !e.teams.IsBorrowing() && !e.slots.IsBorrowing() })
	cancelReturn()
	if isIdle {
		e.releaseSlice(ctx)
	}
	e.deregister(ctx)
	event.WorkEnded.Log(e.log, logrus.Fields{"idle": isIdle})
}

// serveUntilQuiet returns when no request has arrived for the linger time, and after
// a part of the stop time at the latest.
func (e *Entry) serveUntilQuiet(ctx context.Context) {
	linger := time.Duration(e.settings.Linger)
	ctx, cancel := context.WithTimeout(ctx, max(linger, time.Duration(e.settings.Stop)/lingerDivisor))
	defer cancel()
	received, quietSince := e.listener.Received(), e.config.Clock.Now()
	isQuiet := waitUntil(ctx, func() bool {
		now := e.config.Clock.Now()
		if latest := e.listener.Received(); latest != received {
			received, quietSince = latest, now
		}
		return now.Sub(quietSince) >= linger
	})
	if !isQuiet {
		event.StopUnnoticed.Log(e.log, nil)
	}
}

// waitUntil polls the condition until it is true or the context ends, and
// reports whether it was true.
func waitUntil(ctx context.Context, isDone func() bool) bool {
	for ctx.Err() == nil {
		if isDone() {
			return true
		}
		sleep(ctx, idlePollInterval)
	}
	return false
}

// releaseSlice writes a table without this entry. If that fails, the other
// entries remove this one later, once they know that its process is gone.
func (e *Entry) releaseSlice(ctx context.Context) {
	for range maxWriteAttempts {
		e.mu.Lock()
		holders := e.desiredHolders(e.config.Clock.Now())
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

// deregister revokes the lease of this entry, which removes its member document
// and, if it is the steward, the steward's document from the platform.
func (e *Entry) deregister(ctx context.Context) {
	e.mu.Lock()
	lease, isReachable := e.state.lease, e.state.isReachable
	e.mu.Unlock()
	if lease != 0 && isReachable {
		_ = e.platform.Revoke(ctx, lease)
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
