package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Goals of the users.
const (
	shareGoal  = 0.05
	urgentGoal = 4400 * time.Millisecond
)

const (
	poolSlots = 80
	warmUp    = 60 * time.Second
	span      = 180 * time.Second
)

var policies = map[string]func() policy{
	"fair":   fairPolicy,
	"fifo":   fifoPolicy,
	"static": staticPolicy,
}

func isQuick(t *task) bool { return t.kind == "check" || t.kind == "search" }

func fullLoad(time.Duration, account) float64 { return 1 }

func TestNearnessToShareAtFullLoad(t *testing.T) {
	Convey("Given six accounts that all ask for more than their share", t, func() {
		farthest := make(map[string]float64)
		urgent := make(map[string]time.Duration)
		for name, create := range policies {
			p := newPoolRun(poolSlots, 1, create)
			p.simulate(warmUp+span, fullLoad)
			most, mean := p.farthest(warmUp, warmUp+span)
			waits := p.waits(warmUp, warmUp+span, isQuick)
			farthest[name], urgent[name] = most, quantile(waits, 0.99)
			Printf("\n  %-6s distance from share: most %.3f, mean %.3f; quick work: %d started, p50 %s, p99 %s; idle slots %.1f",
				name, most, mean, len(waits), quantile(waits, 0.5), quantile(waits, 0.99), p.idle.Seconds()/p.now.Seconds())
		}
		So(farthest["fair"], ShouldBeLessThanOrEqualTo, shareGoal)
		So(urgent["fair"], ShouldBeLessThanOrEqualTo, urgentGoal)
		So(farthest["fair"], ShouldBeLessThan, farthest["fifo"])
		So(urgent["fair"], ShouldBeLessThan, urgent["fifo"])
		So(urgent["fair"], ShouldBeLessThan, urgent["static"])
	})
}
