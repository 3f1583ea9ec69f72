package caller

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// A request that was resolved before the maximum run time was lowered ran for the old one,
// for which lenders no longer count the units.
func TestRequestFromBeforeALowerMaxRunTime(t *testing.T) {
	Convey("Given a minion that never responds and a document that lowers the maximum run time", t, func() {
		const lowered = 100 * time.Millisecond
		isOver := make(chan bool)
		m := newFakeMinion(t, func(net.Conn, *http.Request, int) bool {
			<-isOver
			return false
		})
		fx := newFixture(t, fixtureOptions{service: document.Service{MaxRunTime: document.Duration(time.Minute / 2)}}, m)
		Reset(func() { close(isOver) })
		r := request{service: fx.index.Service("publish"), team: "gate", incoming: httptest.NewRequest(http.MethodPost, "/publish/week", nil)}
		fx.index = document.NewIndex(2, document.Document{MaxRunTime: document.Duration(lowered)})

		Convey("a request from before it runs no longer than the lower one", func() {
			begin := time.Now()
			_, err := fx.listener.run(r)
			var refusal *RefusalError
			So(errors.As(err, &refusal), ShouldBeTrue)
			So(refusal.Status, ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(begin), ShouldBeBetween, lowered, 10*time.Second)
			So(await.Until(waitTimeout, func() bool { return fx.config.Teams.Account("gate").Used() == 0 }), ShouldBeTrue)
		})
	})
}
