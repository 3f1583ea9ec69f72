package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

func TestDeadline(t *testing.T) {
	cases := map[string]struct {
		// paused is how far the clock is ahead when the timer fires.
		paused time.Duration
		least  time.Duration
	}{
		"it ends in time":                        {0, 20 * time.Millisecond},
		"after a pause an answer can still come": {time.Second, 20*time.Millisecond + wakeGrace},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			since := time.Now()
			var calls atomic.Int32
			ctx, cancel := withDeadline(context.Background(), 20*time.Millisecond, func() time.Time {
				if calls.Add(1) == 1 {
					return time.Now()
				}
				return time.Now().Add(c.paused)
			})
			defer cancel()
			<-ctx.Done()
			So(context.Cause(ctx), ShouldEqual, context.DeadlineExceeded)
			So(time.Since(since), ShouldBeGreaterThanOrEqualTo, c.least)
		})
	}
}

func TestMinionThatTakesTooLong(t *testing.T) {
	Convey("Given a minion slower than its service allows, the caller is told at once when the time is over", t, func() {
		m := newScripted(t, func(conn net.Conn, r *http.Request, number int) bool {
			time.Sleep(2 * time.Second)
			return healthy(conn, r, number)
		})
		b := newBench(t, benchOptions{service: document.Service{MaxRunTime: document.Duration(100 * time.Millisecond)}}, m)
		r := b.send(http.MethodPost, "slow")
		So(r.status, ShouldEqual, http.StatusGatewayTimeout)
		So(r.outcome, ShouldEqual, "unknown")
		So(m.count("slow"), ShouldEqual, 1)
	})
}
