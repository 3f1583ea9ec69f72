package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// busyCell is a cell with a queue of equal tasks of one account.
type busyCell struct {
	Cell
	entry int
	// task is the size of a task or of a gang, room how many fit into the cell.
	task jobs.Size
	room int
	// running holds the round in which each run ends.
	running         []int
	waiting, starts int
	// startedAt is the round of the last start, longestWait the longest time between two.
	startedAt, longestWait int
}

func (c *busyCell) used() jobs.Size { return c.task.Times(int64(len(c.running))) }

// busyWorld is an account whose cells are balanced in random order by several entries.
type busyWorld struct {
	random  *rand.Rand
	store   *keyvalue.Store
	entries []*Ledger
	cells   []*busyCell
	limit   jobs.Size
	round   int
	// runRounds is for how many rounds a task runs.
	runRounds int
	// writes counts those that were carried out.
	writes int
	// idleSince is since when nothing runs, longestIdle the longest time of that.
	idleSince, longestIdle int
	// beyond describes a start beyond the limit.
	beyond string
}

func newBusyWorld(seed uint64, entries int, limit jobs.Size, tasks []jobs.Size) *busyWorld {
	w := &busyWorld{random: rand.New(rand.NewPCG(seed, 1)), store: keyvalue.New(), runRounds: 3}
	for range entries {
		client := w.store.Client(nil)
		counting := *client
		counting.Commit = func(ctx context.Context, change store.Change) (int64, error) {
			revision, err := client.Commit(ctx, change)
			if err == nil {
				w.writes++
			}
			return revision, err
		}
		w.entries = append(w.entries, New(&counting, discardLog()))
	}
	w.setLimit(limit)
	for i, task := range tasks {
		name := fmt.Sprintf("c%02d", i)
		c := &busyCell{entry: i % entries, task: task, room: 23, waiting: 100000}
		c.Cell = Cell{Name: name, Condition: takeOwnership(w.store, name), Needs: func(context.Context) (map[string]jobs.Need, error) {
			return map[string]jobs.Need{"a": w.need(c)}, nil
		}}
		w.cells = append(w.cells, c)
	}
	return w
}

func (w *busyWorld) setLimit(limit jobs.Size) {
	w.limit = limit
	for _, l := range w.entries {
		l.SetSetup(&setup.Setup{Accounts: map[string]setup.Account{"a": {Name: "a", Limit: limit}}})
	}
}

// mayStart reports whether a cell has work and room for one more task.
func (c *busyCell) mayStart() bool { return c.waiting > 0 && len(c.running) < c.room }

func (w *busyWorld) isWithinAllocation(c *busyCell) bool {
	allocation, _ := w.entries[c.entry].Allocation(c.Name, "a")
	return c.used().Plus(c.task).Fits(allocation)
}

func (w *busyWorld) need(c *busyCell) jobs.Need {
	need := jobs.Need{Used: c.used()}
	if c.mayStart() && !w.isWithinAllocation(c) {
		need.Wanted, need.Units = c.task, []jobs.Size{c.task}
	}
	return need
}

// play lets rounds pass. In each one, all cells end and start tasks and all entries balance
// theirs, in random order.
func (w *busyWorld) play(rounds int) {
	for range rounds {
		w.round++
		for _, i := range w.random.Perm(len(w.cells) + len(w.entries)) {
			if i < len(w.cells) {
				w.run(w.cells[i])
			} else {
				w.balance(i - len(w.cells))
			}
		}
		if w.total() != (jobs.Size{}) {
			w.idleSince = w.round
		}
		w.longestIdle = max(w.longestIdle, w.round-w.idleSince)
	}
}

func (w *busyWorld) total() (total jobs.Size) {
	for _, c := range w.cells {
		total = total.Plus(c.used())
	}
	return total
}

// run ends the runs of a cell that are due and starts tasks.
func (w *busyWorld) run(c *busyCell) {
	left := c.running[:0]
	for _, end := range c.running {
		if end > w.round {
			left = append(left, end)
		}
	}
	c.running = left
	for c.mayStart() && w.isWithinAllocation(c) {
		c.running = append(c.running, w.round+w.runRounds)
		c.waiting--
		c.starts++
		c.startedAt = w.round
		if total := w.total(); !total.Fits(ceilingOf(w.limit)) {
			w.beyond = fmt.Sprintf("round %d: %s starts, so that %v of %v are used", w.round, c.Name, total, w.limit)
		}
	}
	if c.waiting > 0 {
		c.longestWait = max(c.longestWait, w.round-c.startedAt)
	}
}

func (w *busyWorld) balance(entry int) {
	var cells []Cell
	for _, c := range w.cells {
		if c.entry == entry {
			cells = append(cells, c.Cell)
		}
	}
	// After a failure the allocations are unchanged or lower.
	_ = w.entries[entry].Balance(context.Background(), cells)
}

// beginWait forgets what was counted so far.
func (w *busyWorld) beginWait() {
	w.idleSince, w.longestIdle, w.writes = w.round, 0, 0
	for _, c := range w.cells {
		c.starts, c.startedAt, c.longestWait = 0, w.round, 0
	}
}

func repeated(size jobs.Size, count int) (sizes []jobs.Size) {
	for range count {
		sizes = append(sizes, size)
	}
	return sizes
}

// scarceLimits are limits that are smaller than what several cells need, from review/5 on.
var scarceLimits = map[string]struct {
	// before is the limit of the first rounds, zero for a limit that is never changed.
	before, limit jobs.Size
	tasks         []jobs.Size
	// atOnce is how many cells can have a task at the same time.
	atOnce int
}{
	"lowered to one and a half tasks":     {before: jobs.Size{CPU: 689000}, limit: jobs.Size{CPU: 4050}, tasks: repeated(jobs.Size{CPU: 2700}, 4), atOnce: 1},
	"one and a half tasks from the start": {limit: jobs.Size{CPU: 4050}, tasks: repeated(jobs.Size{CPU: 2700}, 4), atOnce: 1},
	"lowered, two resources": {
		before: jobs.Size{CPU: 1000, Memory: 1000}, limit: jobs.Size{CPU: 10, Memory: 10},
		tasks: []jobs.Size{{CPU: 9, Memory: 1}, {CPU: 1, Memory: 9}, {CPU: 6, Memory: 6}}, atOnce: 1,
	},
	"two resources from the start": {
		limit: jobs.Size{CPU: 10, Memory: 10}, tasks: []jobs.Size{{CPU: 9, Memory: 1}, {CPU: 1, Memory: 9}, {CPU: 6, Memory: 6}}, atOnce: 1,
	},
	"lowered to two tasks":    {before: jobs.Size{CPU: 260000}, limit: jobs.Size{CPU: 2000}, tasks: repeated(jobs.Size{CPU: 1000}, 26), atOnce: 2},
	"lowered to three tasks":  {before: jobs.Size{CPU: 260000}, limit: jobs.Size{CPU: 3000}, tasks: repeated(jobs.Size{CPU: 1000}, 8), atOnce: 3},
	"lowered to thirty tasks": {before: jobs.Size{CPU: 260000}, limit: jobs.Size{CPU: 30000}, tasks: repeated(jobs.Size{CPU: 1000}, 26), atOnce: 26},
	"a large task among small ones": {
		limit: jobs.Size{CPU: 1000}, tasks: append(repeated(jobs.Size{CPU: 50}, 3), jobs.Size{CPU: 900}), atOnce: 1,
	},
	"whole GPUs":                    {limit: jobs.Size{CPU: 100000, GPUs: 2}, tasks: repeated(jobs.Size{CPU: 1000, GPUs: 1}, 5), atOnce: 2},
	"gangs that need the limit":     {before: jobs.Size{CPU: 90000}, limit: jobs.Size{CPU: 9000}, tasks: repeated(jobs.Size{CPU: 9000}, 3), atOnce: 1},
	"a resource without a limit":    {limit: jobs.Size{Memory: 300}, tasks: repeated(jobs.Size{CPU: 64000, Memory: 200}, 4), atOnce: 1},
	"a task that can never fit too": {limit: jobs.Size{CPU: 1000}, tasks: append(repeated(jobs.Size{CPU: 600}, 3), jobs.Size{CPU: 1500}), atOnce: 1},
}

// Cells were left with parts of a limit in which none of them could start a task (LOST), or one cell
// kept a limit as long as it had work, and the others waited without bound (review/5).
func TestScarceLimitKeepsCellsWaiting(t *testing.T) {
	// turnRounds is what a turn takes: the run, and three passes for each of giving back and
	// taking.
	const turnRounds = 3 + 6
	for name, c := range scarceLimits {
		Convey("Each cell starts tasks within turns of the others: "+name, t, func() {
			for seed := range uint64(10) {
				w := newBusyWorld(seed, 1+int(seed)%min(len(c.tasks), 8), c.limit, c.tasks)
				if !c.before.IsZero() {
					w.setLimit(c.before)
					w.play(10)
					w.setLimit(c.limit)
				}
				// Work of before the limit was lowered ends.
				w.play(10)
				w.beginWait()
				const rounds = 200
				w.play(rounds)
				turns := (len(c.tasks) + c.atOnce - 1) / c.atOnce
				SoMsg(fmt.Sprint("seed ", seed), w.beyond, ShouldBeEmpty)
				SoMsg(fmt.Sprint("seed ", seed, " idle"), w.longestIdle, ShouldBeLessThanOrEqualTo, 6)
				starts := 0
				for _, cell := range w.cells {
					starts += cell.starts
					if cell.task.Fits(ceilingOf(c.limit)) {
						SoMsg(fmt.Sprint("seed ", seed, " ", cell.Name), cell.longestWait, ShouldBeLessThanOrEqualTo, (turns+1)*turnRounds)
					}
				}
				SoMsg(fmt.Sprint("seed ", seed, " writes for ", starts, " starts"), w.writes, ShouldBeLessThanOrEqualTo, 4*starts+50)
			}
		})
	}
}

// playTrouble lets rounds pass in which writes are lost or carried out late and cells get other
// owners.
func (w *busyWorld) playTrouble(rounds int) {
	isDue := func(share float64) bool { return w.random.Float64() < share }
	for range rounds {
		if isDue(0.2) {
			isLost := isDue(0.4)
			w.store.LoseResponses(func(store.Change) bool { return isLost })
		}
		if isDue(0.2) {
			isDeferred := isDue(0.4)
			w.store.Defer(func(change store.Change) bool { return isDeferred && isLedgerWrite(change) })
		}
		if isDue(0.2) {
			w.store.ApplyDeferred()
		}
		if isDue(0.1) {
			w.takeOver(w.cells[w.random.IntN(len(w.cells))], w.random.IntN(len(w.entries)))
		}
		w.play(1)
	}
	w.store.LoseResponses(func(store.Change) bool { return false })
	w.store.ApplyDeferred()
	w.store.Defer(nil)
	for _, c := range w.cells {
		// A takeover whose answer was lost has given no condition.
		w.takeOver(c, c.entry)
	}
}

func (w *busyWorld) takeOver(c *busyCell, entry int) {
	c.entry, c.Condition = entry, takeOwnership(w.store, c.Name)
}

// Claims that were written by owners of before, or not written after all, must not keep cells
// waiting, and no cell may use more than the limit through them.
func TestScarceLimitAfterTrouble(t *testing.T) {
	for name, c := range scarceLimits {
		Convey("Each cell starts tasks after takeovers and lost and late writes: "+name, t, func() {
			for seed := range uint64(5) {
				w := newBusyWorld(seed, 1+int(seed)%min(len(c.tasks), 8), c.limit, c.tasks)
				w.playTrouble(100)
				w.play(40)
				w.beginWait()
				w.play(150)
				SoMsg(fmt.Sprint("seed ", seed), w.beyond, ShouldBeEmpty)
				for _, cell := range w.cells {
					if cell.task.Fits(ceilingOf(c.limit)) {
						SoMsg(fmt.Sprint("seed ", seed, " ", cell.Name), cell.starts, ShouldBeGreaterThan, 0)
					}
				}
			}
		})
	}
}

// A claim of a cell that has no owner any more kept the other cells from using the limit.
func TestClaimWithoutOwnerIsPassedOver(t *testing.T) {
	Convey("Cells go on although a cell that claims the whole limit has lost its owner", t, func() {
		for seed := range uint64(10) {
			w := newBusyWorld(seed, 4, jobs.Size{CPU: 1000}, append(repeated(jobs.Size{CPU: 50}, 3), jobs.Size{CPU: 900}))
			isClaimedOnly := func() bool {
				a := w.entries[3].stored["a"]["c03"]
				return a.Claim != nil && a.CPU == 0
			}
			for !isClaimedOnly() {
				w.play(1)
			}
			w.cells[3].running, w.cells[3].waiting = nil, 0
			w.entries = w.entries[:3]
			w.beginWait()
			w.play(200)
			for _, c := range w.cells[:3] {
				// The claim is passed over for longer from time to time. Meanwhile the others work.
				So(c.starts, ShouldBeGreaterThan, 200)
			}
		}
	})
}
