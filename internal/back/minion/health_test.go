package minion

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	eject := func(h *health) {
		for range 10 {
			h.note(now, true)
		}
	}
	cases := map[string]func(){
		"a few failures among successes do not eject": func() {
			h := &health{}
			for i := range 100 {
				h.note(now, i%3 == 0)
				So(h.isOut(now), ShouldBeFalse)
			}
		},
		"failures in a row eject": func() {
			h := &health{}
			ejected := false
			for range 4 {
				e, _ := h.note(now, true)
				ejected = ejected || e
			}
			So(ejected, ShouldBeTrue)
			So(h.allow(now), ShouldBeFalse)
		},
		"after the time out one attempt alone is let through": func() {
			h := &health{}
			eject(h)
			later := now.Add(ejectMost + time.Second)
			So(h.allow(later), ShouldBeTrue)
			So(h.allow(later), ShouldBeFalse)
			h.cancel()
			So(h.allow(later), ShouldBeTrue)
		},
		"a probe that succeeds lets it back for all": func() {
			h := &health{}
			eject(h)
			later := now.Add(ejectMost + time.Second)
			So(h.allow(later), ShouldBeTrue)
			_, readmitted := h.note(later, false)
			So(readmitted, ShouldBeTrue)
			So(h.allow(later), ShouldBeTrue)
			So(h.allow(later), ShouldBeTrue)
		},
		"a probe that fails doubles the time out, up to a bound": func() {
			h := &health{}
			eject(h)
			at := now
			for range 10 {
				at = h.until
				So(h.allow(at), ShouldBeTrue)
				h.note(at, true)
				So(h.until.Sub(at), ShouldBeLessThanOrEqualTo, ejectMost)
			}
			So(h.until.Sub(at), ShouldEqual, ejectMost)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, check)
	}
}
