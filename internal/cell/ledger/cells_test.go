package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
	"gitlab.com/chicorypin/chicorypin/jobs/emulator"
)

// Times of the cells of a fleet.
const (
	fleetStep = 20 * time.Millisecond
	// fleetPass is the time between two calls of Balance in an entry.
	fleetPass = 300 * time.Millisecond
	// maxIdle is the 3 s of the rule.
	maxIdle = 3 * time.Second
)

var errNoOwner = errors.New("the cell has no owner")

// fleetCell is an emulated cell that shares the limits of client accounts with others.
type fleetCell struct {
	Cell
	world *emulator.World
	// entry is the one that owns the cell since epoch, none with -1.
	entry int
	epoch int64
	// isAbandoned keeps the cell without an owner.
	isAbandoned bool
}

// fleet is a number of cells in virtual time whose limits several entries divide.
type fleet struct {
	random  *rand.Rand
	store   *keyvalue.Store
	entries []*Ledger
	cells   []*fleetCell
	limit   jobs.Size
	elapsed time.Duration
	// wasWithin reports that the use has been within the limit since that was set.
	wasWithin bool
	// durations holds the run times of tasks by job.
	durations map[string]time.Duration
	jobCount  int
	// idleFor is for how long less than half of the limit has been in use although a task that fits the rest waits, longestIdle the
	// longest time of that.
	idleFor, longestIdle time.Duration
	// usedMoments sums up the part of the limit in use while a task waits, of the resource that is used most.
	usedMoments float64
	moments     int
	// beyond describes a use beyond the limit.
	beyond string
}

func newFleet(seed uint64, entries, cells int, limit jobs.Size) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 14)), store: keyvalue.New(), durations: make(map[string]time.Duration)}
	for range entries {
		l := New(f.store.Client(nil), discardLog())
		l.IsOwned = f.isOwned
		f.entries = append(f.entries, l)
	}
	f.setLimit(limit)
	for i := range cells {
		c := &fleetCell{entry: i % entries}
		c.Name = fmt.Sprintf("svc-%d", i)
		c.world = emulator.New(emulator.Config{
			Seed: seed*100 + uint64(i), Endpoints: 4, Capacity: jobs.Size{CPU: 16000, Memory: 64000, GPUs: 8},
			Work: func(_ *emulator.World, task string) (time.Duration, bool) {
				name, _ := jobs.ParseTaskName(task)
				return f.durations[name.Job], false
			},
			AccountLimit: func(account string) (jobs.Size, bool) {
				if c.entry < 0 {
					return jobs.Size{}, true
				}
				return f.entries[c.entry].Allocation(c.Name, account)
			},
			AccountReach: func(account string) jobs.Size {
				if c.entry < 0 {
					return jobs.Size{}
				}
				return f.entries[c.entry].Reach(account)
			},
			AccountTotal: func(string) jobs.Size { return f.limit },
		})
		c.Needs = func(context.Context) (map[string]jobs.Need, error) {
			if c.entry < 0 {
				return nil, errNoOwner
			}
			return c.world.Needs(), nil
		}
		c.Condition = takeOwnership(f.store, c.Name)
		c.epoch, _ = c.world.Epoch()
		f.cells = append(f.cells, c)
	}
	return f
}

func (f *fleet) isOwned(cell string) bool {
	return slices.ContainsFunc(f.cells, func(c *fleetCell) bool { return c.Name == cell && c.entry >= 0 })
}

func (f *fleet) setLimit(limit jobs.Size) {
	f.limit, f.wasWithin = limit, false
	for _, l := range f.entries {
		l.SetSetup(&setup.Setup{Accounts: map[string]setup.Account{"a": {Name: "a", Limit: limit}}})
	}
}

// submit hands a job in to a cell and returns its ID.
func (f *fleet) submit(cell int, duration time.Duration, steps ...jobs.Step) (id string) {
	f.jobCount++
	id = fmt.Sprintf("%016x", f.jobCount)
	f.durations[id] = duration
	f.cells[cell].world.Submit(jobs.Job{
		ID: id, Queue: "q", Account: "a", Attempts: 3, Stretch: 1.6, Target: time.Second, Spec: "s", Steps: steps,
	})
	return id
}

// advance plays the fleet.
func (f *fleet) advance(duration time.Duration) {
	for end := f.elapsed + duration; f.elapsed < end; f.elapsed += fleetStep {
		for _, c := range f.cells {
			c.world.Advance(fleetStep)
			f.updateOwner(c)
		}
		for i, l := range f.entries {
			if (f.elapsed+time.Duration(i)*fleetPass/time.Duration(len(f.entries)))%fleetPass < fleetStep {
				f.balance(i, l)
			}
		}
		f.watch()
	}
}

// updateOwner follows a change of the owner of a cell: it has none until the takeover, and then another entry.
func (f *fleet) updateOwner(c *fleetCell) {
	epoch, isServing := c.world.Epoch()
	switch {
	case !isServing || c.isAbandoned:
		c.entry = -1
	case epoch != c.epoch:
		c.entry, c.epoch, c.Condition = int(epoch)%len(f.entries), epoch, takeOwnership(f.store, c.Name)
	}
}

func (f *fleet) balance(entry int, l *Ledger) {
	var cells []Cell
	for _, c := range f.cells {
		if c.entry == entry {
			cells = append(cells, c.Cell)
		}
	}
	_ = l.Balance(context.Background(), cells)
}

// usage returns what the account has running in all cells.
func (f *fleet) usage() (used jobs.Size) {
	for _, c := range f.cells {
		used = used.Plus(c.world.Usage("a"))
	}
	return used
}

// watch measures the use of the limit.
func (f *fleet) watch() {
	used := f.usage()
	allowed := f.limit.Plus(divided(f.limit, 10))
	f.wasWithin = f.wasWithin || used.Fits(allowed)
	if limit := f.limit; f.wasWithin && !used.Fits(allowed) && f.beyond == "" {
		f.beyond = fmt.Sprintf("%v of %v in use after %s", used, limit, f.elapsed)
	}
	limit := f.limit.Minus(f.abandoned())
	isWaiting := f.isWaiting(limit.Minus(used))
	share := max(float64(used.CPU)/float64(limit.CPU), float64(used.Memory)/float64(limit.Memory))
	if limit.GPUs > 0 {
		share = max(share, float64(used.GPUs)/float64(limit.GPUs))
	}
	if isWaiting || f.isWaiting(limit) {
		f.usedMoments, f.moments = f.usedMoments+share, f.moments+1
	}
	if share >= 0.5 || !isWaiting {
		f.idleFor = 0
		return
	}
	f.idleFor += fleetStep
	f.longestIdle = max(f.longestIdle, f.idleFor)
}

// openJobs returns the number of accepted jobs that are not completed.
func (f *fleet) openJobs() (count int) {
	for _, c := range f.cells {
		for id := range c.world.Accepted() {
			if state, _ := c.world.Status(id); state != jobs.Completed {
				count++
			}
		}
	}
	return count
}

// abandoned returns the allocations of cells that are kept without an owner.
func (f *fleet) abandoned() (size jobs.Size) {
	for _, c := range f.cells {
		if c.isAbandoned {
			size = size.Plus(limited(f.entries[0].stored["a"][c.Name].Size, ceilingOf(f.limit)))
		}
	}
	return size
}

// isWaiting reports whether a task waits that fits what is left of the limit.
func (f *fleet) isWaiting(left jobs.Size) bool {
	for _, c := range f.cells {
		if c.entry < 0 {
			continue
		}
		for _, size := range c.world.Waiting("a") {
			if size.Fits(left) {
				return true
			}
		}
	}
	return false
}

// seeds returns the number of seeds to play: 2, or SEEDS.
func seeds() uint64 {
	count, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 32)
	if err != nil {
		return 2
	}
	return count
}

// drawSteps draws the steps of a job as those of review/14: of one to three tasks, a quarter of them the largest by processor, a quarter
// by memory.
func (f *fleet) drawSteps(largest jobs.Size) (steps []jobs.Step) {
	for range 1 + f.random.IntN(2) {
		s := jobs.Step{Count: 1 + f.random.IntN(3)}
		switch f.random.IntN(4) {
		case 0:
			s.Each = jobs.Size{CPU: largest.CPU, Memory: largest.Memory / 30}
		case 1:
			s.Each = jobs.Size{CPU: largest.CPU / 60, Memory: largest.Memory}
		default:
			s.Each = jobs.Size{CPU: 100 + f.random.Int64N(largest.CPU-100), Memory: 50 + f.random.Int64N(largest.Memory-50)}
		}
		steps = append(steps, s)
	}
	return steps
}

// The limit of an account was granted to cells that could start nothing with it, as they kept it free for other steps than those that the
// grants were for: jobs waited while the account had under half of its limit at work (LOST, review/14).
func TestGrantsAreNotUsed(t *testing.T) {
	largest := jobs.Size{CPU: 6000, Memory: 3000}
	tenths := func(cpu, memory int64) jobs.Size {
		return jobs.Size{CPU: largest.CPU * cpu / 10, Memory: largest.Memory * memory / 10}
	}
	for name, c := range map[string]struct {
		limit  jobs.Size
		cells  int
		isGang bool
		// seconds is the longest run time of tasks, 1.8 s if it is 0.
		seconds int
		// disturb is called when the limit is lowered.
		disturb func(f *fleet)
		// delay is how long after that.
		delay time.Duration
	}{
		"the limits of review/14": {limit: tenths(24, 19), cells: 4},
		"little more than a task": {limit: tenths(12, 11), cells: 4},
		"eight cells":             {limit: tenths(24, 19), cells: 8},
		"a limit of processors":   {limit: tenths(24, 1000), cells: 4},
		"an owner that is killed": {limit: tenths(24, 19), cells: 4, disturb: func(f *fleet) { f.cells[1].world.KillOwner() }},
		"gangs":                   {limit: tenths(32, 30), cells: 4, isGang: true},
		"tasks that run for 7 s":  {limit: tenths(24, 19), cells: 4, seconds: 7},
		"a third resource":        {limit: tenths(24, 24).Plus(jobs.Size{GPUs: 3}), cells: 4},
		"a task that lasts and keeps the largest from the limit": {limit: tenths(15, 15), cells: 4, disturb: func(f *fleet) {
			f.submitLongRunning(2, divided(tenths(15, 15), 20).Times(9))
		}},
		"a task that runs for a minute": {limit: tenths(13, 13), cells: 4, disturb: func(f *fleet) {
			f.submit(2, time.Minute, jobs.Step{Count: 1, Each: divided(tenths(13, 13), 20).Times(7)})
		}},
		"a cell without an owner": {limit: tenths(24, 19), cells: 4, delay: 6 * time.Second, disturb: func(f *fleet) { f.cells[1].isAbandoned = true }},
		"two tasks that last": {limit: tenths(24, 19), cells: 4, disturb: func(f *fleet) {
			f.submitLongRunning(2, divided(tenths(24, 19), 20).Times(4))
			f.submitLongRunning(3, divided(tenths(24, 19), 20).Times(4))
		}},
		"a task that lasts": {limit: tenths(24, 24), cells: 4, disturb: func(f *fleet) { f.submitLongRunning(2, jobs.Size{CPU: 2000, Memory: 1000}) }},
	} {
		Convey("While tasks of an account wait that fit the rest of its limit it is not under half of that for long: "+name, t, func() {
			var broken []string
			for seed := range seeds() {
				f := newFleet(seed+1, 3, c.cells, jobs.Size{CPU: 200000, Memory: 400000, GPUs: c.limit.GPUs * 100})
				f.advance(2 * time.Second)
				isDisturbed := false
				for f.elapsed < 16*time.Second {
					if f.elapsed > 6*time.Second && f.limit != c.limit {
						f.setLimit(c.limit)
					}
					if f.elapsed > 6*time.Second+c.delay && c.disturb != nil && !isDisturbed {
						isDisturbed = true
						c.disturb(f)
					}
					steps := f.drawSteps(largest)
					if c.isGang {
						steps[0].Gang, steps[0].Count, steps[0].Each = true, 2, divided(steps[0].Each, 2)
					}
					if c.limit.GPUs > 0 {
						steps[0].Each.GPUs = f.random.Int64N(3)
					}
					longest := 1500
					if c.seconds > 0 {
						longest = c.seconds * 1000
					}
					f.submit(f.random.IntN(c.cells), 300*time.Millisecond+time.Duration(f.random.IntN(longest))*time.Millisecond, steps...)
					f.advance((30*time.Millisecond + time.Duration(f.random.IntN(220))*time.Millisecond).Round(fleetStep))
				}
				f.idleFor, f.longestIdle, f.usedMoments, f.moments = 0, 0, 0, 0
				f.advance(40 * time.Second)
				So(f.moments, ShouldBeGreaterThan, 0)
				t.Logf("%s, seed %d: idle for %s, %.2f of the limit in use, %d of %d jobs open",
					name, seed+1, f.longestIdle, f.usedMoments/float64(f.moments), f.openJobs(), f.jobCount)
				So(f.beyond, ShouldBeEmpty)
				if f.longestIdle >= maxIdle {
					broken = append(broken, fmt.Sprintf("seed %d: %s", seed+1, f.longestIdle))
				}
			}
			So(broken, ShouldBeEmpty)
		})
	}
}

// submitLongRunning hands a job in to a cell whose task lasts.
func (f *fleet) submitLongRunning(cell int, size jobs.Size) {
	f.submit(cell, 0, jobs.Step{Count: 1, LongRunning: true, Each: size, MaxUnavailable: 1})
}

// Tasks that are small against the limit of their account arrive in all cells and take most of it. A large one must get its turn beside
// them, in its own cell and in the others.
func TestLargeTaskGetsItsTurn(t *testing.T) {
	limit := jobs.Size{CPU: 10000, Memory: 10000}
	for name, each := range map[string]jobs.Size{
		"most of the limit":        {CPU: 8000, Memory: 1000},
		"all of a resource":        {CPU: 1000, Memory: 10000},
		"little more than a share": {CPU: 3000, Memory: 3000},
	} {
		Convey("A task that takes "+name+" is started beside small ones", t, func() {
			for seed := range seeds() {
				f := newFleet(seed+1, 3, 4, limit)
				f.advance(2 * time.Second)
				large, startedAfter := "", time.Duration(0)
				for f.elapsed < 40*time.Second {
					f.submit(f.random.IntN(4), 500*time.Millisecond, jobs.Step{Count: 1, Each: jobs.Size{CPU: 1000, Memory: 1000}})
					if large == "" && f.elapsed > 8*time.Second {
						large = f.submit(1, time.Second, jobs.Step{Count: 1, Each: each})
						startedAfter = -f.elapsed
					}
					f.advance(3 * fleetStep)
					if state, _ := f.cells[1].world.Status(large); large != "" && state == jobs.Running && startedAfter < 0 {
						startedAfter += f.elapsed
					}
				}
				t.Logf("%s, seed %d: started after %s, %.2f of the limit in use", name, seed+1, startedAfter, f.usedMoments/float64(f.moments))
				So(f.beyond, ShouldBeEmpty)
				So(startedAfter, ShouldBeBetween, 0, 9*time.Second)
			}
		})
	}
}
