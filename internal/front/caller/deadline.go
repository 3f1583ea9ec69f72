package caller

import (
	"context"
	"time"
)

// wakeGrace is how much longer an attempt gets if its time ran out while this
// process was paused: its answer may have arrived in the meantime.
const wakeGrace = 500 * time.Millisecond

// lateTimer is how late a timer fires only because the process was paused.
const lateTimer = 100 * time.Millisecond

// withDeadline returns a context that ends with context.DeadlineExceeded as its
// cause after the time, or a little later if the process was paused then.
func withDeadline(parent context.Context, limit time.Duration, now func() time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	due := now().Add(limit)
	timer := time.AfterFunc(limit, func() {
		if now().Sub(due) < lateTimer {
			expire()
			return
		}
		time.AfterFunc(wakeGrace, expire)
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
