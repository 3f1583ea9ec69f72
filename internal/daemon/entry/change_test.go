package entry

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	standin "gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

// An entry that had the newest document from a peer refused a change as stale.
func TestChangeOfADocumentFromAPeer(t *testing.T) {
	Convey("Given an entry that has the newest config from a peer and not yet from the platform", t, func() {
		size := scale{entries: 1, teams: 1, pools: 1, instances: 8}
		e := newScaledEntry(t, size)
		server := httptest.NewServer(standin.NewServer())
		Reset(server.Close)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		e.platform = platform.NewClient(platform.Config{Addresses: []netip.AddrPort{address}, ListAddress: address})
		first, err := e.platform.CompareAndSwap(t.Context(), keyConfig, 0, e.state.configData, 0)
		So(err, ShouldBeNil)
		e.state.storedConfig.record(first, 1)
		config, err := document.NewConfig(1, e.state.barrier.Limits(), size.document())
		So(err, ShouldBeNil)
		_, err = e.platform.CompareAndSwap(t.Context(), keyConfig, first, encode(t, config), 0)
		So(err, ShouldBeNil)
		e.receiveSnapshot(&wire.Snapshot{Config: encode(t, config)})

		Convey("a change that is based on it is written", func() {
			applied, err := e.Apply(t.Context(), 2, encode(t, size.document()))
			So(err, ShouldBeNil)
			So(applied.Revision, ShouldEqual, 3)
		})
		Convey("a change that is based on an older one is refused", func() {
			_, err := e.Apply(t.Context(), 1, encode(t, size.document()))
			So(err, ShouldResemble, &StaleRevisionError{Read: 1, Current: 2})
		})
	})
}
