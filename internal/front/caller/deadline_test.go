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
		// pause is how far the clock is ahead when the timer fires.
		pause   time.Duration
		minTime time.Duration
	}{
		"without a pause the context ends in time": {0, 20 * time.Millisecond},
		"after a pause the context ends later":     {time.Second, 20*time.Millisecond + pauseGrace},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			startTime := time.Now()
			var calls atomic.Int32
			ctx, cancel := withDeadline(context.Background(), 20*time.Millisecond, func() time.Time {
				if calls.Add(1) == 1 {
					return time.Now()
				}
				return time.Now().Add(c.pause)
			})
			defer cancel()
			<-ctx.Done()
			So(context.Cause(ctx), ShouldEqual, context.DeadlineExceeded)
			So(time.Since(startTime), ShouldBeGreaterThanOrEqualTo, c.minTime)
		})
	}
}

func TestMinionThatTakesTooLong(t *testing.T) {
	Convey("Given a minion slower than its service allows, the caller gets 504 when the maximum run time is over", t, func() {
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, number int) bool {
			time.Sleep(2 * time.Second)
			return respondOK(conn, r, number)
		})
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(100 * time.Millisecond)}}, m)
		r := fx.send(http.MethodPost, "slow")
		So(r.status, ShouldEqual, http.StatusGatewayTimeout)
		So(r.outcome, ShouldEqual, "unknown")
		So(m.requestCount("slow"), ShouldEqual, 1)
	})
}
