package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/standin/subprocess"
)

// A panic while a message was handled ended the stream that it came on and was not
// logged; locks and units that the handler held stayed so.
func TestPanicInReceiveEndsTheProcess(t *testing.T) {
	output, exitCode := subprocess.Run(t, func() {
		receiver, err := NewMesh(Config{
			Entry: "receiver", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: logrus.NewEntry(logrus.New()),
			Receive: func(string, *wire.Frame) { panic("cannot receive") },
		})
		if err != nil {
			t.Fatal(err)
		}
		sender := newTestMesh(t, "sender")
		sender.SetAddresses([]netip.AddrPort{receiver.Address()})
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			sender.Broadcast(&wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{}}})
		}
	})
	Convey("A panic while a message is handled ends the process at once and writes the stack", t, func() {
		So(output, ShouldContainSubstring, "panic: cannot receive")
		So(output, ShouldContainSubstring, "readStream")
		So(exitCode, ShouldEqual, 2)
	})
}
