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
			h.recordResult(now, now, true)
		}
	}
	cases := map[string]func(){
		"occasional failures do not eject": func() {
			h := &health{}
			for i := range 100 {
				h.recordResult(now, now, i%3 == 0)
				So(h.isUnavailable(now), ShouldBeFalse)
			}
		},
		"consecutive failures eject": func() {
			h := &health{}
			isEjected := false
			for range 4 {
				isNewlyEjected, _ := h.recordResult(now, now, true)
				isEjected = isEjected || isNewlyEjected
			}
			So(isEjected, ShouldBeTrue)
			So(h.tryAllow(now), ShouldBeFalse)
		},
		"after the ejection time only one attempt is allowed": func() {
			h := &health{}
			eject(h)
			afterEjection := now.Add(maxEjectTime + time.Second)
			So(h.tryAllow(afterEjection), ShouldBeTrue)
			So(h.tryAllow(afterEjection), ShouldBeFalse)
			h.cancelProbe(afterEjection)
			So(h.tryAllow(afterEjection), ShouldBeTrue)
		},
		"a successful probe readmits the minion": func() {
			h := &health{}
			eject(h)
			afterEjection := now.Add(maxEjectTime + time.Second)
			So(h.tryAllow(afterEjection), ShouldBeTrue)
			_, isReadmitted := h.recordResult(afterEjection, afterEjection, false)
			So(isReadmitted, ShouldBeTrue)
			So(h.tryAllow(afterEjection), ShouldBeTrue)
			So(h.tryAllow(afterEjection), ShouldBeTrue)
		},
		"a failed probe doubles the ejection time, up to a maximum": func() {
			h := &health{}
			eject(h)
			probeTime := now
			for range 10 {
				probeTime = h.ejectedUntil
				So(h.tryAllow(probeTime), ShouldBeTrue)
				h.recordResult(probeTime, probeTime, true)
				So(h.ejectedUntil.Sub(probeTime), ShouldBeLessThanOrEqualTo, maxEjectTime)
			}
			So(h.ejectedUntil.Sub(probeTime), ShouldEqual, maxEjectTime)
		},
		"an attempt sent before the ejection is not taken for the probe": func() {
			h := &health{}
			eject(h)
			sentBefore, afterEjection := now.Add(-time.Second), now.Add(maxEjectTime+time.Second)
			ejectTime := h.ejectTime
			So(h.tryAllow(afterEjection), ShouldBeTrue)
			_, isReadmitted := h.recordResult(afterEjection, sentBefore, false)
			So(isReadmitted, ShouldBeFalse)
			h.recordResult(afterEjection, sentBefore, true)
			So(h.ejectTime, ShouldEqual, ejectTime)
			h.cancelProbe(sentBefore)
			So(h.tryAllow(afterEjection), ShouldBeFalse)
			_, isReadmitted = h.recordResult(afterEjection, afterEjection, false)
			So(isReadmitted, ShouldBeTrue)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, check)
	}
}
