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
			p := newPoolRun(1, create)
			p.simulate(fullLoad)
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

func TestNothingStarves(t *testing.T) {
	Convey("Given the full load, work of every kind of every account is started again and again", t, func() {
		p := newPoolRun(2, fairPolicy)
		p.simulate(fullLoad)
		const part = span / 3
		for _, a := range accounts {
			for _, k := range kinds {
				for from := warmUp; from < warmUp+span; from += part {
					started := 0
					for _, t := range append(p.done, p.running...) {
						if t.team == a.name && t.kind == k.name && t.started >= from && t.started < from+part {
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
	Convey("Given two accounts that ask for everything and four that pause", t, func() {
		p := newPoolRun(3, fairPolicy)
		p.simulate(func(_ time.Duration, a account) float64 {
			if a.name == "rota-day" || a.name == "rota-late" {
				return 2
			}
			return 0
		})
		used := p.used(warmUp, warmUp+span)
		total := (poolSlots * span).Seconds()
		Printf("idle part %.3f ", 1-(used["rota-day"]+used["rota-late"]).Seconds()/total)
		So(used["rota-day"].Seconds()/used["rota-late"].Seconds(), ShouldAlmostEqual, 35.0/25, 0.1)
		// Only the reserve for quick work stays idle at times.
		So((used["rota-day"]+used["rota-late"]).Seconds()/total, ShouldBeGreaterThan, 0.9)
	})
}

// TestPulses lets the accounts ask in turns: five times the mean for ten
// seconds, a twentieth in between.
func TestPulses(t *testing.T) {
	Convey("Given demand that rises and falls in turns", t, func() {
		urgent := make(map[string]time.Duration)
		for name, create := range policies {
			p := newPoolRun(4, create)
			p.simulate(pulses)
			waits := p.waits(warmUp, warmUp+span, isQuick)
			urgent[name] = quantile(waits, 0.99)
			Printf("\n  %-6s quick work: %d, p50 %s, p99 %s; refused %d; idle slots %.1f",
				name, len(waits), quantile(waits, 0.5), urgent[name], len(p.refused), p.idle.Seconds()/p.now.Seconds())
		}
		So(urgent["fair"], ShouldBeLessThanOrEqualTo, urgentGoal)
		So(urgent["fair"], ShouldBeLessThan, urgent["fifo"])
		So(urgent["fair"], ShouldBeLessThan, urgent["static"])
	})
}

func pulses(now time.Duration, a account) float64 {
	const (
		pulse = 10 * time.Second
		most  = 2.5
		least = 0.025
	)
	turn := int(now/pulse) % len(accounts)
	if accounts[turn].name == a.name {
		return most
	}
	return least
}
