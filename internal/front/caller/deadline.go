package caller

import (
	"context"
	"time"
)

// pauseGrace extends the deadline of an attempt that expired while this process
// was paused, because its response may have arrived during the pause.
const pauseGrace = 500 * time.Millisecond

// pauseThreshold is the delay of a timer from which the process is taken to have been
// paused, since scheduling alone does not delay a timer as much.
const pauseThreshold = 100 * time.Millisecond

// withDeadline returns a context that is cancelled after limit, measured with now,
// with the cause context.DeadlineExceeded. If the process was paused at that time,
// the context is cancelled pauseGrace later. The caller must call the returned
// function to release the timer.
func withDeadline(parent context.Context, limit time.Duration, now func() time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	due := now().Add(limit)
	timer := time.AfterFunc(limit, func() {
		if now().Sub(due) < pauseThreshold {
			expire()
			return
		}
		time.AfterFunc(pauseGrace, expire)
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
