package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/internal/standin/subprocess"
)

// An entry for jobs ran on without the worker that had panicked, and logged nothing before
// it was stopped.
func TestPanicInAWorkerEndsTheProcess(t *testing.T) {
	output, exitCode := subprocess.Run(t, func() {
		s := &system{t: t, store: keyvalue.New(), wrapStore: func(_ *entry, client *store.Client) {
			client.Renew = func(context.Context, store.Lease) (time.Duration, error) { panic("cannot renew") }
		}}
		s.startAll(1)
		time.Sleep(2 * sessionTTL)
	})
	Convey("A panic in a worker of an entry for jobs ends the process at once and writes the stack", t, func() {
		So(output, ShouldContainSubstring, "panic: cannot renew")
		So(output, ShouldContainSubstring, "renewOrGrant")
		So(exitCode, ShouldEqual, 2)
	})
}
