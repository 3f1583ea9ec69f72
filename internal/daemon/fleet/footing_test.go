package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFooting(t *testing.T) {
	type moment struct{ isDetour, isAnswering bool }
	Convey("Cells are given up once the way through a peer had no answer in time, and only when it has one again", t, func() {
		for name, each := range map[string]struct {
			moments []moment
			unfit   []bool
		}{
			"the own path works":              {[]moment{{false, true}, {false, false}, {false, true}}, []bool{false, false, false}},
			"a good path through a peer":      {[]moment{{true, true}, {true, true}}, []bool{false, false}},
			"a bad path through a peer":       {[]moment{{true, true}, {true, false}, {true, false}, {true, true}, {true, true}}, []bool{false, false, false, true, false}},
			"the own path is back in between": {[]moment{{true, false}, {false, true}, {true, true}}, []bool{false, false, false}},
		} {
			f := relayMonitor{}
			now := time.Unix(1, 0)
			for i, m := range each.moments {
				SoMsg(name, f.update(now, m.isDetour, m.isAnswering), ShouldEqual, each.unfit[i])
			}
			SoMsg(name, f.isBackingOff(now.Add(takeoverBackoff/2)), ShouldEqual, name == "a bad path through a peer")
			SoMsg(name, f.isBackingOff(now.Add(takeoverBackoff)), ShouldBeFalse)
		}
	})
}
