package system

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// regionDelay is one way between the regions.
const regionDelay = 60 * time.Millisecond

func TestTwoRegions(t *testing.T) {
	Convey("Given four entries in two regions far apart, the platform in the first", t, func() {
		c := newSystem(t, shape{
			entries: map[string]int{"east": 2, "west": 2},
			workers: map[string]int{"east": 3, "west": 3},
		})
		c.network.setRegions(map[string]int{"entry-3": 1, "entry-4": 1}, regionDelay)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()

		Convey("changes made in either are accepted, the limit holds, and one entry alone reaches it", func() {
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			c.apply(c.nodes[3], twoTeams(teamLimit/2))
			c.apply(c.nodes[0], twoTeams(teamLimit))
			time.Sleep(time.Second)
			results := l.stop()
			Println(tallyResults(results), c.most())
			So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(tallyResults(results)["cut"], ShouldEqual, 0)
			So(c.audit(results), ShouldBeEmpty)
			So(c.reach(c.nodes[3], "gate"), ShouldEqual, teamLimit)
		})
		Convey("the regions lose each other and find each other again", func() {
			for _, a := range c.nodes[:2] {
				for _, b := range c.nodes[2:] {
					c.network.cut(a.settings.Name, b.settings.Name)
				}
			}
			for _, b := range c.nodes[2:] {
				c.network.cut(b.settings.Name, storeName)
			}
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(3 * time.Second)
			for _, n := range c.nodes {
				So(c.servedBy(l, n), ShouldBeGreaterThan, 0)
			}
			c.network.heal()
			c.awaitReady()
			results := l.stop()
			Println(tallyResults(results), c.most())
			So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(tallyResults(results)["cut"], ShouldEqual, 0)
			So(c.audit(results), ShouldBeEmpty)
		})
	})
}
