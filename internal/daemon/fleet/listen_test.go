package fleet

import (
	"errors"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
)

// validSettings returns settings without faults.
func validSettings() Settings {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	s := Settings{
		Name: "e", Submitters: address, Ready: address, Peer: address, Metrics: address, Store: address, Orders: ordersOnRequest,
		MemoryMegabytes: 284, Descriptors: 4100, StopSeconds: 6,
	}
	s.Bounds.MaxGrantMilliseconds = 10_000
	return s
}

func TestIntakeSettings(t *testing.T) {
	Convey("The limits of what submitters may hold come from memory and descriptors", t, func() {
		s := validSettings()
		So(s.check(), ShouldBeNil)
		limits := s.intakeLimits()
		So(limits, ShouldResemble, intake.DefaultLimits(284<<20, 4100))
		s.Connections = 70
		limits.Connections = 70
		So(s.check(), ShouldBeNil)
		So(s.intakeLimits(), ShouldResemble, limits)
	})
	faults := map[string]func(s *Settings){
		"/memory":      func(s *Settings) { s.MemoryMegabytes = -1 },
		"/descriptors": func(s *Settings) { s.Descriptors = -1 },
		"/connections": func(s *Settings) { s.Connections = -1 },
	}
	for path, change := range faults {
		Convey("A negative number is a fault at "+path, t, func() {
			s := validSettings()
			change(&s)
			err := s.check()
			var invalid *fault.ValidationError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, path)
		})
	}
}
