package system

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

// rebooter stands in for the part of the platform that reboots instances: it lists
// every instance that is in the state rebooting with a new boot ID.
type rebooter struct {
	cluster *cluster
	done    chan bool
	// minServing is the smallest number of serving instances observed.
	minServing int
	// earlyReboots counts reboots of instances that were still running requests.
	earlyReboots int
}

func (c *cluster) startRebooter() *rebooter {
	r := &rebooter{cluster: c, done: make(chan bool), minServing: len(c.minions)}
	go func() {
		for {
			select {
			case <-r.done:
				r.done <- true
				return
			case <-time.After(2 * pollInterval):
				r.checkFleet()
			}
		}
	}()
	return r
}

func (r *rebooter) stop() {
	r.done <- true
	<-r.done
}

// checkFleet reads the fleet of every entry, updates minServing and reboots the
// instances that are due.
func (r *rebooter) checkFleet() {
	for _, e := range r.cluster.entries {
		d := r.cluster.dump(e)
		if len(d.Fleet.Instances) == 0 {
			continue
		}
		serving := 0
		for _, i := range d.Fleet.Instances {
			if i.IsServing() {
				serving++
			}
			if i.State == fleet.Rebooting {
				r.reboot(i)
			}
		}
		r.minServing = min(r.minServing, serving)
	}
}

// reboot publishes a new boot ID for the instance unless that has been done already.
func (r *rebooter) reboot(i fleet.Instance) {
	for _, m := range r.cluster.minions {
		if m.name != i.Name || r.cluster.bootOf(m) != i.BootID {
			continue
		}
		if r.cluster.countsAt(m).Running > 0 {
			r.earlyReboots++
		}
		r.cluster.bootCounts[m.name]++
		r.cluster.publishInstances()
	}
}

func TestWaveThroughFreezesAndAnOutage(t *testing.T) {
	Convey("Given a wave over eight minions in two data centres, under load", t, func() {
		c := newCluster(t, topology{
			entriesPerCentre: map[string]int{"east": 2, "west": 2},
			minionsPerCentre: map[string]int{"east": 4, "west": 4},
			minionsPerRack:   2,
		})
		c.apply(c.entries[0], twoTeamDocument(40))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=100", 20)
		slow := c.startLoad("slow", vetKey, "/publish/week?run=1500", 12)
		r := c.startRebooter()
		status, err := c.callOperator(c.entries[0], http.MethodPost, "/wave?do=start", nil, nil)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		time.Sleep(time.Second)

		c.findSteward().signal(syscall.SIGSTOP)
		frozen := c.stewardProcess
		time.Sleep(4 * time.Second)
		frozen.signal(syscall.SIGCONT)
		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(c.setFaults(platform.Faults{}), ShouldBeNil)
		time.Sleep(time.Second)
		c.findSteward().stop()
		for i, e := range c.entries {
			if e.process == c.stewardProcess {
				c.restart(i)
			}
		}
		c.await("the wave is done", func() bool {
			for _, e := range c.entries {
				for _, i := range c.dump(e).Fleet.Instances {
					if i.Cycle == 0 || !i.IsServing() {
						return false
					}
				}
			}
			return true
		})
		r.stop()
		results := append(l.stop(), slow.stop()...)
		Println(tallyResults(results), "minimum serving", r.minServing)
		So(r.earlyReboots, ShouldEqual, 0)
		// The minimum share of the pool in service is one half.
		So(r.minServing, ShouldBeGreaterThanOrEqualTo, 4)
		So(r.minServing, ShouldBeLessThan, 8)
		So(cutRequests(results), ShouldBeEmpty)
		So(tallyResults(results)["unknown"], ShouldEqual, 0)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// findSteward waits until an entry is the steward, which plans maintenance. It returns
// the process of that entry and stores it in stewardProcess.
func (c *cluster) findSteward() *process {
	c.await("an entry is the steward", func() bool {
		for _, e := range c.entries {
			d := c.dump(e)
			if d.Steward != "" && d.Steward == d.Entry {
				c.stewardProcess = e.process
				return true
			}
		}
		return false
	})
	return c.stewardProcess
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	Convey("Given load on four minions", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(20))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=10", 12)
		time.Sleep(time.Second)
		removals := map[string]func(m *minionInstance){
			"listed as leaving": func(m *minionInstance) {
				c.leaving[m.name] = true
				c.publishInstances()
			},
			"removed from the list": func(m *minionInstance) {
				c.unlisted[m.name] = true
				c.publishInstances()
			},
			"listed as leaving while the key-value service is down": func(m *minionInstance) {
				So(c.setFaults(platform.Faults{StoreOutage: true}), ShouldBeNil)
				c.leaving[m.name] = true
				c.publishInstances()
			},
			"drained by an operator": func(m *minionInstance) {
				status, err := c.callOperator(c.entries[1], http.MethodPost, "/instances/"+m.name+"/drain", nil, nil)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			},
		}
		for name, remove := range removals {
			m := c.minions[0]
			remove(m)
			// Entries read the list every two seconds.
			time.Sleep(3 * time.Second)
			before := c.runsAt(m)
			time.Sleep(time.Second)
			Println(name)
			So(c.runsAt(m), ShouldEqual, before)
			clear(c.leaving)
			clear(c.unlisted)
			c.publishInstances()
			So(c.setFaults(platform.Faults{}), ShouldBeNil)
			_, _ = c.callOperator(c.entries[0], http.MethodPost, "/instances/"+m.name+"/return", nil, nil)
			c.await("the instance runs requests again", func() bool { return c.runsAt(m) > before })
		}
		results := l.stop()
		So(cutRequests(results), ShouldBeEmpty)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// runsAt returns the number of runs of all requests on a minion.
func (c *cluster) runsAt(m *minionInstance) (total int) {
	for _, runs := range c.countsAt(m).Runs {
		total += runs
	}
	return total
}
