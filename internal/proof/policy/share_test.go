package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Targets set by the users.
const (
	// maxShareDeviation bounds the deviation of a team from its share in any window
	// of 10 s, as a fraction of the slot time used.
	maxShareDeviation = 0.05
	// maxQuickWait bounds the 99th percentile of the waiting time of quick work.
	maxQuickWait = 4400 * time.Millisecond
)

const (
	poolSlots    = 80
	warmUp       = 60 * time.Second
	measuredTime = 180 * time.Second
)

var policyCreators = map[string]func() policy{
	"fair":   fairPolicy,
	"fifo":   fifoPolicy,
	"static": staticPolicy,
}

func isQuick(t *task) bool { return t.kind == "check" || t.kind == "search" }

// fullLoad returns a factor of 1, which leaves the load of a team as it is.
func fullLoad(time.Duration, teamLoad) float64 { return 1 }

func TestNearnessToShareAtFullLoad(t *testing.T) {
	Convey("Given six teams that each offer more than their share", t, func() {
		deviations := make(map[string]float64)
		quickP99 := make(map[string]time.Duration)
		for name, create := range policyCreators {
			p := newPoolSimulation(1, create)
			p.simulate(fullLoad)
			maximum, mean := p.shareDeviation(warmUp, warmUp+measuredTime)
			waits := p.waitingTimes(warmUp, warmUp+measuredTime, isQuick)
			deviations[name], quickP99[name] = maximum, quantile(waits, 0.99)
			Printf("\n  %-6s deviation from share: maximum %.3f, mean %.3f; quick work: %d started, p50 %s, p99 %s; idle slots %.1f",
				name, maximum, mean, len(waits), quantile(waits, 0.5), quantile(waits, 0.99), p.idleSlotTime.Seconds()/p.now.Seconds())
		}
		So(deviations["fair"], ShouldBeLessThanOrEqualTo, maxShareDeviation)
		So(quickP99["fair"], ShouldBeLessThanOrEqualTo, maxQuickWait)
		So(deviations["fair"], ShouldBeLessThan, deviations["fifo"])
		So(quickP99["fair"], ShouldBeLessThan, quickP99["fifo"])
		So(quickP99["fair"], ShouldBeLessThan, quickP99["static"])
	})
}

func TestNothingStarves(t *testing.T) {
	Convey("Given full load, work of every kind of every team starts in each third of the measured time", t, func() {
		p := newPoolSimulation(2, fairPolicy)
		p.simulate(fullLoad)
		const third = measuredTime / 3
		for _, tm := range teams {
			for _, k := range kinds {
				for from := warmUp; from < warmUp+measuredTime; from += third {
					started := 0
					for _, t := range append(p.finished, p.running...) {
						if t.team == tm.name && t.kind == k.name && t.started >= from && t.started < from+third {
							started++
						}
					}
					So(started, ShouldBeGreaterThan, 0)
				}
			}
		}
	})
}

func TestUnusedShareIsLent(t *testing.T) {
	Convey("Given two teams that could fill the pool and four without requests", t, func() {
		p := newPoolSimulation(3, fairPolicy)
		p.simulate(func(_ time.Duration, tm teamLoad) float64 {
			if tm.name == "rota-day" || tm.name == "rota-late" {
				return 2
			}
			return 0
		})
		used := p.slotTimeUsed(warmUp, warmUp+measuredTime)
		total := (poolSlots * measuredTime).Seconds()
		Printf("idle fraction %.3f ", 1-(used["rota-day"]+used["rota-late"]).Seconds()/total)
		So(used["rota-day"].Seconds()/used["rota-late"].Seconds(), ShouldAlmostEqual, 35.0/25, 0.1)
		// Only the reserve for quick work may be idle.
		So((used["rota-day"]+used["rota-late"]).Seconds()/total, ShouldBeGreaterThan, 0.9)
	})
}

// TestPulses gives the teams bursts of ten seconds, one team after another. A burst has
// five times the mean demand, the time in between a twentieth of it.
func TestPulses(t *testing.T) {
	Convey("Given bursts of one team after another", t, func() {
		quickP99 := make(map[string]time.Duration)
		for name, create := range policyCreators {
			p := newPoolSimulation(4, create)
			p.simulate(bursts)
			waits := p.waitingTimes(warmUp, warmUp+measuredTime, isQuick)
			quickP99[name] = quantile(waits, 0.99)
			Printf("\n  %-6s quick work: %d, p50 %s, p99 %s; refused %d; idle slots %.1f",
				name, len(waits), quantile(waits, 0.5), quickP99[name], len(p.refused), p.idleSlotTime.Seconds()/p.now.Seconds())
		}
		So(quickP99["fair"], ShouldBeLessThanOrEqualTo, maxQuickWait)
		So(quickP99["fair"], ShouldBeLessThan, quickP99["fifo"])
		So(quickP99["fair"], ShouldBeLessThan, quickP99["static"])
	})
}

// bursts returns the factor by which the load of a team is scaled at a time.
func bursts(now time.Duration, tm teamLoad) float64 {
	const (
		burstLength = 10 * time.Second
		highDemand  = 2.5
		lowDemand   = 0.025
	)
	burstPosition := int(now/burstLength) % len(teams)
	if teams[burstPosition].name == tm.name {
		return highDemand
	}
	return lowDemand
}
