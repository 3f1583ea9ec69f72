package system

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// interRegionLatency is the one-way latency between the regions.
const interRegionLatency = 60 * time.Millisecond

func TestTwoRegions(t *testing.T) {
	Convey("Given four entries in two distant regions with the platform in the first", t, func() {
		c := newCluster(t, topology{
			entriesPerCentre: map[string]int{"east": 2, "west": 2},
			minionsPerCentre: map[string]int{"east": 3, "west": 3},
		})
		c.network.setRegions(map[string]int{"entry-3": 1, "entry-4": 1}, interRegionLatency)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()

		Convey("changes made in either region are accepted, the limit holds, and one entry alone can use all of it", func() {
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			c.apply(c.entries[3], twoTeamDocument(teamLimit/2))
			c.apply(c.entries[0], twoTeamDocument(teamLimit))
			time.Sleep(time.Second)
			results := l.stop()
			Println(tallyResults(results), c.maxRunning())
			So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(cutRequests(results), ShouldBeEmpty)
			So(c.audit(results), ShouldBeEmpty)
			So(c.maxUnitsUsed(c.entries[3], "gate"), ShouldEqual, teamLimit)
		})
		Convey("both regions serve within the limit during a partition, and are ready again after it", func() {
			for _, a := range c.entries[:2] {
				for _, b := range c.entries[2:] {
					c.network.partition(a.settings.Name, b.settings.Name)
				}
			}
			for _, b := range c.entries[2:] {
				c.network.partition(b.settings.Name, platformName)
			}
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(3 * time.Second)
			for _, e := range c.entries {
				So(c.countServed(l, e), ShouldBeGreaterThan, 0)
			}
			c.network.heal()
			c.awaitReady()
			results := l.stop()
			Println(tallyResults(results), c.maxRunning())
			So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(cutRequests(results), ShouldBeEmpty)
			So(c.audit(results), ShouldBeEmpty)
		})
	})
}
