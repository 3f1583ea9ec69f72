package steward

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

const (
	// stepPeriod is the pace of the steward, drainTime how long work runs on a
	// draining instance, rebootTime how long the platform takes to maintain one.
	stepPeriod = time.Second
	drainTime  = 30 * time.Second
	rebootTime = 5 * time.Minute
	// listLag is how old the platform's list is.
	listLag = 5 * time.Second
	// rollOutGoal is the longest roll-out over its lower bound.
	rollOutGoal = 1.15
)

// rollOut is a maintenance cycle on a fake clock.
type rollOut struct {
	document document.Document
	fleet    fleet.Fleet
	live     map[string]platform.Instance
	listed   map[string]platform.Instance
	now      time.Duration
	due      map[string]time.Duration
	boots    map[string]int
	steps    int
	mostOut  map[string]uint32
}

// newRollOut spreads the instances over pools and data centres, four to a rack.
func newRollOut(instances, pools, centres int, least float64) *rollOut {
	r := &rollOut{
		live: make(map[string]platform.Instance), due: make(map[string]time.Duration),
		boots: make(map[string]int), mostOut: make(map[string]uint32),
	}
	for i := range pools {
		r.document.Pools = append(r.document.Pools, document.Pool{Name: fmt.Sprintf("p%02d", i), Least: least})
	}
	for i := range instances {
		name := fmt.Sprintf("w%03d", i)
		rack := i / 4
		r.live[name] = platform.Instance{
			Name: name, Pool: fmt.Sprintf("p%02d", rack%pools), Centre: fmt.Sprintf("c%d", rack%centres),
			Rack: fmt.Sprintf("r%03d", rack), Slots: 8, Boot: "0",
		}
	}
	r.pass()
	r.fleet.Cycle++
	return r
}

// pass makes one steward pass; entries report every revision at once, and work
// runs out drainTime after a drain began.
func (r *rollOut) pass() {
	if r.now%listLag == 0 {
		r.listed = make(map[string]platform.Instance)
		for name, i := range r.live {
			i.Boot = fmt.Sprint(r.boots[name])
			r.listed[name] = i
		}
	}
	plan := NewPlan(Snapshot{Fleet: r.fleet, Document: r.document, Live: r.listed, Busy: func(name string, _ uint64) []string {
		if r.due[name] > r.now {
			return []string{"e"}
		}
		return nil
	}})
	if plan.Changes > 0 {
		r.note(plan.Next)
		r.fleet = plan.Next
		r.steps++
	}
	for name, due := range r.due {
		position := r.fleet.Find(name)
		if r.fleet.Instances[position].State == fleet.Rebooting && due <= r.now {
			r.boots[name]++
			delete(r.due, name)
		}
	}
	r.now += stepPeriod
}

// note sets the clocks of the instances that change their state.
func (r *rollOut) note(next fleet.Fleet) {
	out := make(map[string]uint32)
	for position, i := range next.Instances {
		if !i.IsServing() {
			out[i.Pool] += i.Slots
		}
		if position >= len(r.fleet.Instances) || r.fleet.Instances[position].State == i.State {
			continue
		}
		switch i.State {
		case fleet.Draining:
			r.due[i.Name] = r.now + drainTime
		case fleet.Rebooting:
			r.due[i.Name] = r.now + rebootTime
		}
	}
	for pool, slots := range out {
		r.mostOut[pool] = max(r.mostOut[pool], slots)
	}
}

func (r *rollOut) isDone() bool {
	for _, i := range r.fleet.Instances {
		if i.Cycle < r.fleet.Cycle || !i.IsServing() {
			return false
		}
	}
	return true
}

// bound is the shortest roll-out that the budgets allow: that of the pool, or
// part of a pool in one data centre, that needs the most rounds, each of one
// drain and one reboot. All instances have the same slots.
func (r *rollOut) bound() (bound time.Duration) {
	for _, p := range r.document.Pools {
		budgets := []fleet.Budget{r.fleet.PoolBudget(p.Name, p.Least)}
		for _, i := range r.fleet.Instances {
			if i.Pool == p.Name {
				budgets = append(budgets, r.fleet.CentreBudget(p.Name, i.Centre, p.Least))
			}
		}
		for _, b := range budgets {
			atOnce := b.Allowed / 8
			rounds := (b.Total/8 + atOnce - 1) / atOnce
			bound = max(bound, time.Duration(rounds)*(drainTime+rebootTime))
		}
	}
	return bound
}

func TestRollOut(t *testing.T) {
	cases := map[string]struct {
		instances, pools, centres int
		least                     float64
	}{
		"today":                   {50, 5, 3, 0.75},
		"today, tight":            {50, 5, 3, 0.8},
		"the size aimed for":      {610, 26, 5, 0.75},
		"the size aimed, tighter": {610, 26, 5, 0.9},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			r := newRollOut(c.instances, c.pools, c.centres, c.least)
			bound := r.bound()
			for !r.isDone() && r.now < 20*bound {
				r.pass()
			}
			ratio := r.now.Seconds() / bound.Seconds()
			Printf("%s, bound %s, ratio %.3f, %d steps ", r.now, bound, ratio, r.steps)
			So(r.isDone(), ShouldBeTrue)
			So(ratio, ShouldBeLessThanOrEqualTo, rollOutGoal)
			for _, p := range r.document.Pools {
				So(r.mostOut[p.Name], ShouldBeLessThanOrEqualTo, r.fleet.PoolBudget(p.Name, p.Least).Allowed)
			}
		})
	}
}

func TestWavePausesForFailures(t *testing.T) {
	Convey("Given a wave under way and an instance that fails", t, func() {
		r := newRollOut(20, 1, 2, 0.5)
		r.pass()
		failed := ""
		for _, i := range r.fleet.Instances {
			if i.IsServing() {
				failed = i.Name
				break
			}
		}
		instance := r.live[failed]
		delete(r.live, failed)
		for range 60 * 20 {
			r.pass()
		}
		started := 0
		for _, i := range r.fleet.Instances {
			if i.Cycle == r.fleet.Cycle || i.Reason == fleet.ByWave {
				started++
			}
		}
		// Only what had begun was finished.
		So(started, ShouldBeLessThanOrEqualTo, 10)
		So(r.isDone(), ShouldBeFalse)

		Convey("it goes on when the instance is back", func() {
			r.live[failed] = instance
			for range 60 * 60 {
				r.pass()
			}
			So(r.isDone(), ShouldBeTrue)
		})
	})
}
