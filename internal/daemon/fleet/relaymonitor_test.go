package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRelayMonitor(t *testing.T) {
	type observation struct{ isRelayed, isSessionValid bool }
	Convey("Cells are handed over after the session became invalid on the relayed path, once it is valid again", t, func() {
		for name, c := range map[string]struct {
			observations []observation
			unfit        []bool
		}{
			"the own path works":              {[]observation{{false, true}, {false, false}, {false, true}}, []bool{false, false, false}},
			"a good path through a peer":      {[]observation{{true, true}, {true, true}}, []bool{false, false}},
			"a bad path through a peer":       {[]observation{{true, true}, {true, false}, {true, false}, {true, true}, {true, true}}, []bool{false, false, false, true, false}},
			"the own path is back in between": {[]observation{{true, false}, {false, true}, {true, true}}, []bool{false, false, false}},
		} {
			m := relayMonitor{}
			now := time.Unix(1, 0)
			for i, o := range c.observations {
				SoMsg(name, m.update(now, o.isRelayed, o.isSessionValid), ShouldEqual, c.unfit[i])
			}
			SoMsg(name, m.isBackingOff(now.Add(takeoverBackoff/2)), ShouldEqual, name == "a bad path through a peer")
			SoMsg(name, m.isBackingOff(now.Add(takeoverBackoff)), ShouldBeFalse)
		}
	})
}
