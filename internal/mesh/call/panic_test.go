package call

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/standin/subprocess"
)

// A panic while a request was served was reported to the peer as a lost response and was
// not logged.
func TestPanicInServeEndsTheProcess(t *testing.T) {
	output, exitCode := subprocess.Run(t, func() {
		_, address := newTestMesh(t, func(context.Context, *wire.Request) *wire.Response { panic("cannot serve") })
		caller, _ := newTestMesh(t, nil)
		_ = callWithTimeout(caller, address, "red", time.Second)
		time.Sleep(time.Second)
	})
	Convey("A panic while a request is served ends the process at once and writes the stack", t, func() {
		So(output, ShouldContainSubstring, "panic: cannot serve")
		So(output, ShouldContainSubstring, "handleStream")
		So(exitCode, ShouldEqual, 2)
	})
}
