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
	// stepPeriod is the time between two passes of the steward, drainTime the time for
	// which work runs on a draining instance, and rebootTime the time that the platform
	// takes to maintain an instance.
	stepPeriod = time.Second
	drainTime  = 30 * time.Second
	rebootTime = 5 * time.Minute
	// listLag is the time between two updates of the platform's list.
	listLag = 5 * time.Second
	// maxRatio is the largest permitted ratio of the duration of a roll-out to its lower
	// bound.
	maxRatio = 1.15
)

// rollOut simulates a maintenance cycle with a fake clock.
type rollOut struct {
	document    document.Document
	fleet       fleet.Fleet
	live        map[string]platform.Instance
	listed      map[string]platform.Instance
	now         time.Duration
	stateEnds   map[string]time.Duration
	boots       map[string]int
	steps       int
	maxSlotsOut map[string]uint32
}

// newRollOut returns a roll-out for a fleet whose instances are spread over pools and
// data centres, four to a rack.
func newRollOut(instances, pools, centres int, minShare float64) *rollOut {
	r := &rollOut{
		live: make(map[string]platform.Instance), stateEnds: make(map[string]time.Duration),
		boots: make(map[string]int), maxSlotsOut: make(map[string]uint32),
	}
	for i := range pools {
		r.document.Pools = append(r.document.Pools, document.Pool{Name: fmt.Sprintf("p%02d", i), MinShare: minShare})
	}
	for i := range instances {
		name := fmt.Sprintf("w%03d", i)
		rack := i / 4
		r.live[name] = platform.Instance{
			Name: name, Pool: fmt.Sprintf("p%02d", rack%pools), Centre: fmt.Sprintf("c%d", rack%centres),
			Rack: fmt.Sprintf("r%03d", rack), Slots: 8, BootID: "0",
		}
	}
	r.pass()
	r.fleet.Cycle++
	return r
}

// pass runs one steward pass and advances the clock. Entries report every revision
// immediately, and work on an instance ends drainTime after its drain began.
func (r *rollOut) pass() {
	if r.now%listLag == 0 {
		r.listed = make(map[string]platform.Instance)
		for name, i := range r.live {
			i.BootID = fmt.Sprint(r.boots[name])
			r.listed[name] = i
		}
	}
	plan := NewPlan(Snapshot{Fleet: r.fleet, Document: r.document, Live: r.listed, BusyEntries: func(name string, _ uint64) []string {
		if r.stateEnds[name] > r.now {
			return []string{"e"}
		}
		return nil
	}})
	if plan.Changes > 0 {
		r.recordStep(plan.Next)
		r.fleet = plan.Next
		r.steps++
	}
	for name, due := range r.stateEnds {
		position := r.fleet.Find(name)
		if r.fleet.Instances[position].State == fleet.Rebooting && due <= r.now {
			r.boots[name]++
			delete(r.stateEnds, name)
		}
	}
	r.now += stepPeriod
}

// recordStep sets the times at which work ends and reboots finish on the instances that
// change their state, and updates the maxima of slots out of service.
func (r *rollOut) recordStep(next fleet.Fleet) {
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
			r.stateEnds[i.Name] = r.now + drainTime
		case fleet.Rebooting:
			r.stateEnds[i.Name] = r.now + rebootTime
		}
	}
	for pool, slots := range out {
		r.maxSlotsOut[pool] = max(r.maxSlotsOut[pool], slots)
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

// lowerBound returns the shortest duration of a roll-out that the budgets allow. It is
// determined by the pool, or the part of a pool in one data centre, that needs the
// most rounds, each of one drain and one reboot. All instances have 8 slots.
func (r *rollOut) lowerBound() (bound time.Duration) {
	for _, p := range r.document.Pools {
		budgets := []fleet.Budget{r.fleet.PoolBudget(p.Name, p.MinShare)}
		for _, i := range r.fleet.Instances {
			if i.Pool == p.Name {
				budgets = append(budgets, r.fleet.CentreBudget(p.Name, i.Centre, p.MinShare))
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
		minShare                  float64
	}{
		"current size":               {50, 5, 3, 0.75},
		"current size, higher share": {50, 5, 3, 0.8},
		"target size":                {610, 26, 5, 0.75},
		"target size, higher share":  {610, 26, 5, 0.9},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			r := newRollOut(c.instances, c.pools, c.centres, c.minShare)
			bound := r.lowerBound()
			for !r.isDone() && r.now < 20*bound {
				r.pass()
			}
			ratio := r.now.Seconds() / bound.Seconds()
			Printf("%s, bound %s, ratio %.3f, %d steps ", r.now, bound, ratio, r.steps)
			So(r.isDone(), ShouldBeTrue)
			So(ratio, ShouldBeLessThanOrEqualTo, maxRatio)
			for _, p := range r.document.Pools {
				So(r.maxSlotsOut[p.Name], ShouldBeLessThanOrEqualTo, r.fleet.PoolBudget(p.Name, p.MinShare).Allowed)
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
		maintained := 0
		for _, i := range r.fleet.Instances {
			if i.Cycle == r.fleet.Cycle || i.Reason == fleet.ByWave {
				maintained++
			}
		}
		// Only drains that had started before the failure were completed.
		So(maintained, ShouldBeLessThanOrEqualTo, 10)
		So(r.isDone(), ShouldBeFalse)

		Convey("the wave continues when the instance is back", func() {
			r.live[failed] = instance
			for range 60 * 60 {
				r.pass()
			}
			So(r.isDone(), ShouldBeTrue)
		})
	})
}
