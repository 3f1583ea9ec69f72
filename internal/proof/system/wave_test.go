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

// maintainer plays the part of the platform that reboots instances: whatever
// the fleet document shows as rebooting comes up on a new boot.
type maintainer struct {
	system *system
	done   chan bool
	// least is the least number of serving instances that was ever seen.
	least int
	// early counts reboots of instances on which work still ran.
	early int
}

func (c *system) startMaintainer() *maintainer {
	m := &maintainer{system: c, done: make(chan bool), least: len(c.workers)}
	go func() {
		for {
			select {
			case <-m.done:
				m.done <- true
				return
			case <-time.After(2 * poll):
				m.look()
			}
		}
	}()
	return m
}

func (m *maintainer) stop() {
	m.done <- true
	<-m.done
}

func (m *maintainer) look() {
	for _, n := range m.system.nodes {
		d := m.system.dump(n)
		if len(d.Fleet.Instances) == 0 {
			continue
		}
		serving := 0
		for _, i := range d.Fleet.Instances {
			if i.IsServing() {
				serving++
			}
			if i.State == fleet.Rebooting {
				m.reboot(i)
			}
		}
		m.least = min(m.least, serving)
	}
}

func (m *maintainer) reboot(i fleet.Instance) {
	for _, w := range m.system.workers {
		if w.name != i.Name || m.system.bootOf(w) != i.BootID {
			continue
		}
		if m.system.countsAt(w).Running > 0 {
			m.early++
		}
		m.system.boots[w.name]++
		m.system.publish()
	}
}

func TestWaveThroughFreezesAndAnOutage(t *testing.T) {
	Convey("Given a wave over eight workers in two data centres, under load", t, func() {
		c := newSystem(t, shape{
			entries: map[string]int{"east": 2, "west": 2},
			workers: map[string]int{"east": 4, "west": 4},
			perRack: 2,
		})
		c.apply(c.nodes[0], twoTeams(40))
		c.awaitPool()
		l := c.startLoad("gate", gateKey, "/publish/week?run=100", 20)
		slow := c.startLoad("slow", vetKey, "/publish/week?run=1500", 12)
		m := c.startMaintainer()
		status, err := c.ask(c.nodes[0], http.MethodPost, "/wave?do=start", nil, nil)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		time.Sleep(time.Second)

		c.steward().signal(syscall.SIGSTOP)
		frozen := c.frozen
		time.Sleep(4 * time.Second)
		frozen.signal(syscall.SIGCONT)
		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(c.setFaults(platform.Faults{}), ShouldBeNil)
		time.Sleep(time.Second)
		c.steward().stop()
		for i, n := range c.nodes {
			if n.process == c.frozen {
				c.restart(i)
			}
		}
		c.await("the wave is done", func() bool {
			for _, n := range c.nodes {
				for _, i := range c.dump(n).Fleet.Instances {
					if i.Cycle == 0 || !i.IsServing() {
						return false
					}
				}
			}
			return true
		})
		m.stop()
		results := append(l.stop(), slow.stop()...)
		Println(tallyResults(results), "least serving", m.least)
		So(m.early, ShouldEqual, 0)
		// The least share of the pool is a half.
		So(m.least, ShouldBeGreaterThanOrEqualTo, 4)
		So(m.least, ShouldBeLessThan, 8)
		So(tallyResults(results)["cut"], ShouldEqual, 0)
		So(tallyResults(results)["unknown"], ShouldEqual, 0)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// steward returns the process of the entry that plans maintenance, and keeps it.
func (c *system) steward() *process {
	c.await("there is a steward", func() bool {
		for _, n := range c.nodes {
			d := c.dump(n)
			if d.Steward != "" && d.Steward == d.Entry {
				c.frozen = n.process
				return true
			}
		}
		return false
	})
	return c.frozen
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	Convey("Given load on four workers", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(20))
		c.awaitPool()
		l := c.startLoad("gate", gateKey, "/publish/week?run=10", 12)
		time.Sleep(time.Second)
		leave := map[string]func(w *worker){
			"the platform's list": func(w *worker) {
				c.leaving[w.name] = true
				c.publish()
			},
			"the platform's list, gone at once": func(w *worker) {
				c.unlisted[w.name] = true
				c.publish()
			},
			"the platform's list, while the key-value service is down": func(w *worker) {
				So(c.setFaults(platform.Faults{StoreOutage: true}), ShouldBeNil)
				c.leaving[w.name] = true
				c.publish()
			},
			"an operator's drain": func(w *worker) {
				status, err := c.ask(c.nodes[1], http.MethodPost, "/instances/"+w.name+"/drain", nil, nil)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			},
		}
		for name, act := range leave {
			w := c.workers[0]
			act(w)
			// The list is read every two seconds.
			time.Sleep(3 * time.Second)
			before := c.ranAt(w)
			time.Sleep(time.Second)
			Println(name)
			So(c.ranAt(w), ShouldEqual, before)
			clear(c.leaving)
			clear(c.unlisted)
			c.publish()
			So(c.setFaults(platform.Faults{}), ShouldBeNil)
			_, _ = c.ask(c.nodes[0], http.MethodPost, "/instances/"+w.name+"/return", nil, nil)
			c.await("it gets work again", func() bool { return c.ranAt(w) > before })
		}
		results := l.stop()
		So(tallyResults(results)["cut"], ShouldEqual, 0)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// ranAt returns how many requests a minion has run.
func (c *system) ranAt(w *worker) (total int) {
	for _, runs := range c.countsAt(w).Runs {
		total += runs
	}
	return total
}
