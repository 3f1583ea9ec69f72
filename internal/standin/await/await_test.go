package await

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUntil(t *testing.T) {
	Convey("Until", t, func() {
		Convey("returns at once if the condition is met, even without time left", func() {
			So(Until(0, func() bool { return true }), ShouldBeTrue)
		})
		Convey("returns when the condition is met", func() {
			checks := 0
			So(Until(time.Minute, func() bool { checks++; return checks == 3 }), ShouldBeTrue)
			So(checks, ShouldEqual, 3)
		})
		Convey("returns false when the condition is not met within the limit, and not before", func() {
			const limit = 30 * time.Millisecond
			startedAt := time.Now()
			So(Until(limit, func() bool { return false }), ShouldBeFalse)
			So(time.Since(startedAt), ShouldBeGreaterThanOrEqualTo, limit)
		})
	})
}
