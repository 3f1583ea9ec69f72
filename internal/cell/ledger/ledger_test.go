package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func setupWithLimit(cpu int64) *setup.Setup {
	return &setup.Setup{
		Pools:    []setup.Pool{{Name: "c0"}, {Name: "c1"}, {Name: "c2"}},
		Accounts: map[string]setup.Account{"a": {Name: "a", Limit: jobs.Size{CPU: cpu}}},
	}
}

// takeOwnership makes a new owner of a cell in the store; conditions of earlier
// owners fail from then on.
func takeOwnership(s *keyvalue.Store, cell string) store.Condition {
	revision, _ := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: "owner/" + cell, Value: []byte("v")}}})
	return store.Condition{Key: "owner/" + cell, Revision: revision}
}

// needsOf returns a function that reports the processor time that the client account "a"
// uses and wants.
func needsOf(used, wanted int64) func(context.Context) (map[string]jobs.Need, error) {
	return func(context.Context) (map[string]jobs.Need, error) {
		return map[string]jobs.Need{"a": {Used: jobs.Size{CPU: used}, Wanted: jobs.Size{CPU: wanted}}}, nil
	}
}

func TestLedger(t *testing.T) {
	Convey("A cell that needs more gets what the allocations of the others leave of the limit", t, func() {
		s := keyvalue.New()
		one, two := New(s.Client(nil), discardLog()), New(s.Client(nil), discardLog())
		one.SetSetup(setupWithLimit(1000))
		two.SetSetup(setupWithLimit(1000))
		first := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 600)}
		second := Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 900)}
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		allocation, _ := one.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 700)
		allocation, _ = two.Allocation("c1", "a")
		So(allocation.CPU, ShouldEqual, 300)
		first.Needs = needsOf(100, 0)
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		allocation, _ = two.Allocation("c1", "a")
		So(allocation.CPU, ShouldEqual, 800)
	})
	Convey("A cell may use nothing before the document was read", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		allocation, isBounded := l.Allocation("c0", "a")
		So(isBounded, ShouldBeTrue)
		So(allocation.CPU, ShouldEqual, 0)
	})
	Convey("The cells with allocations are those of the document, of other entries too", t, func() {
		s := keyvalue.New()
		for _, cell := range []string{"c1", "c0"} {
			l := New(s.Client(nil), discardLog())
			l.SetSetup(setupWithLimit(1000))
			So(l.Cells(), ShouldBeEmpty)
			c := Cell{Name: cell, Condition: takeOwnership(s, cell), Needs: needsOf(0, 100)}
			So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
			So(l.Cells(), ShouldResemble, map[string][]string{"c1": {"c1"}, "c0": {"c0", "c1"}}[cell])
		}
	})
	Convey("A resource without a limit is unbounded", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		So(l.Balance(context.Background(), []Cell{{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 0)}}), ShouldBeNil)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.Memory, ShouldEqual, unbounded)
	})
}

func TestLowerAllocationStaysInForce(t *testing.T) {
	Convey("A configuration that arrives while the outcome of a write is unknown does not restore the allocation before the write", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		c := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 900)}
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		s.LoseResponses(func(store.Change) bool { return true })
		c.Needs = needsOf(100, 0)
		So(l.Balance(context.Background(), []Cell{c}), ShouldNotBeNil)
		lowered, _ := l.Allocation("c0", "a")
		So(lowered.CPU, ShouldBeLessThan, 900)
		l.SetSetup(setupWithLimit(1000))
		allocation, _ := l.Allocation("c0", "a")
		So(allocation, ShouldResemble, lowered)
	})
	Convey("A cell that the entry has lost may use nothing any more", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		first, second := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 0)}, Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 0)}
		So(l.Balance(context.Background(), []Cell{first, second}), ShouldBeNil)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldBeGreaterThan, 0)
		So(l.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		allocation, _ = l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 0)
	})
}

// isLedgerWrite reports whether a change writes the allocation document.
func isLedgerWrite(change store.Change) bool { return change.Puts[0].Key == Key }

// TestLateWritesExceedLimit guards against a cell that uses the allocation it has read
// although a lower one that it has written may still be stored and the rest given away.
func TestLateWritesExceedLimit(t *testing.T) {
	// returnWithoutAnswer returns a ledger whose cell has 1000 of 1000 stored and has
	// sent writes without an answer, one for each need given.
	returnWithoutAnswer := func(s *keyvalue.Store, needs ...int64) (l *Ledger, c Cell) {
		l = New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		c = Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 950)}
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		s.Defer(isLedgerWrite)
		for _, wanted := range needs {
			c.Needs = needsOf(0, wanted)
			So(l.Balance(context.Background(), []Cell{c}), ShouldNotBeNil)
		}
		return l, c
	}
	Convey("Two cells stay within the limit when a write is carried out after the document was read again", t, func() {
		s := keyvalue.New()
		one, first := returnWithoutAnswer(s, 0)
		first.Needs = needsOf(0, 950)
		// Whether this reports an error depends on whether it writes.
		_ = one.Balance(context.Background(), []Cell{first})
		inUse, _ := one.Allocation("c0", "a")
		So(s.ApplyDeferred(), ShouldEqual, 1)
		s.Defer(nil)
		two := New(s.Client(nil), discardLog())
		two.SetSetup(setupWithLimit(1000))
		second := Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 1000)}
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		taken, _ := two.Allocation("c1", "a")
		So(inUse.CPU+taken.CPU, ShouldBeLessThanOrEqualTo, 1000)
	})
	Convey("The lowest of several writes without an answer stays in force", t, func() {
		s := keyvalue.New()
		l, _ := returnWithoutAnswer(s, 300, 0, 500)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 100)
	})
	Convey("A write that the store refuses lowers nothing that is stored", t, func() {
		s := keyvalue.New()
		l, c := returnWithoutAnswer(s)
		s.Defer(nil)
		isDown := false
		client := s.Client(nil)
		refusing := *client
		refusing.Commit = func(ctx context.Context, change store.Change) (int64, error) {
			if isDown {
				return 0, store.ErrRefused
			}
			return client.Commit(ctx, change)
		}
		l.client = &refusing
		isDown = true
		c.Needs = needsOf(0, 0)
		So(l.Balance(context.Background(), []Cell{c}), ShouldNotBeNil)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 1000)
	})
	Convey("A conflict with a lost ownership leaves the lower allocation in force, one with another document ends it", t, func() {
		s := keyvalue.New()
		l, c := returnWithoutAnswer(s, 0)
		s.Defer(nil)
		stale := c
		stale.Condition.Revision++
		So(l.Balance(context.Background(), []Cell{stale}), ShouldNotBeNil)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 100)
		other := New(s.Client(nil), discardLog())
		other.SetSetup(setupWithLimit(1000))
		second := Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 100)}
		So(other.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		So(s.ApplyDeferred(), ShouldEqual, 0)
		c.Needs = needsOf(0, 950)
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		allocation, _ = l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 1000)
	})
	Convey("A cell that needs its stored allocation again gets it with the next write that is answered", t, func() {
		s := keyvalue.New()
		l, c := returnWithoutAnswer(s, 0)
		s.Defer(nil)
		c.Needs = needsOf(0, 950)
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 1000)
		So(s.ApplyDeferred(), ShouldEqual, 0)
	})
}

// TestLoweredLimitLowersAllocationBelowUse guards against an allocation that is set below
// the use when a cell needs more than a limit that was lowered.
func TestLoweredLimitLowersAllocationBelowUse(t *testing.T) {
	Convey("Two cells stay within the limit when it was lowered below the use of one and raised again", t, func() {
		s := keyvalue.New()
		one, two := New(s.Client(nil), discardLog()), New(s.Client(nil), discardLog())
		one.SetSetup(setupWithLimit(1000))
		two.SetSetup(setupWithLimit(1000))
		first := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 800)}
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		allocation, _ := one.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 900)
		first.Needs = needsOf(900, 100)
		one.SetSetup(setupWithLimit(500))
		So(one.Balance(context.Background(), []Cell{first}), ShouldBeNil)
		second := Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 1000)}
		So(two.Balance(context.Background(), []Cell{second}), ShouldBeNil)
		taken, _ := two.Allocation("c1", "a")
		So(taken.CPU, ShouldEqual, 100)
	})
}

// clientCalling returns a client of the store that calls f with the name of the call before
// and after each Get and Commit.
func clientCalling(s *keyvalue.Store, f func(call string)) *store.Client {
	client := s.Client(nil)
	calling := *client
	calling.Get = func(ctx context.Context, key string) (store.Item, error) {
		f("Get")
		defer f("Get")
		return client.Get(ctx, key)
	}
	calling.Commit = func(ctx context.Context, change store.Change) (int64, error) {
		f("Commit")
		defer f("Commit")
		return client.Commit(ctx, change)
	}
	return &calling
}

// TestStartsDuringBalanceExceedLimit guards against an allocation that is lowered below
// what the cell has started since its needs were read.
func TestStartsDuringBalanceExceedLimit(t *testing.T) {
	for name, calls := range map[string][]string{
		"after its needs were read":       {"Needs 1"},
		"while the document is read":      {"Get"},
		"after its needs were read again": {"Needs 2"},
		"while the document is written":   {"Commit"},
		"during each call":                {"Needs 1", "Get", "Needs 2", "Commit"},
	} {
		Convey("Two cells stay within the limit when one starts work "+name, t, func() {
			s := keyvalue.New()
			var l *Ledger
			var used int64
			reads := 0
			start := func(call string) {
				if reads > 0 && slices.Contains(calls, call) {
					allocation, _ := l.Allocation("c0", "a")
					used = max(used, allocation.CPU)
				}
			}
			l = New(clientCalling(s, start), discardLog())
			l.SetSetup(setupWithLimit(1000))
			first := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 1000)}
			So(l.Balance(context.Background(), []Cell{first}), ShouldBeNil)
			first.Needs = func(ctx context.Context) (map[string]jobs.Need, error) {
				reads++
				defer start(fmt.Sprintf("Needs %d", reads))
				return needsOf(used, 0)(ctx)
			}
			// The document is read again for a cell that is new to the entry.
			second := Cell{Name: "c2", Condition: takeOwnership(s, "c2"), Needs: needsOf(0, 0)}
			So(l.Balance(context.Background(), []Cell{first, second}), ShouldBeNil)
			So(used, ShouldBeGreaterThan, 0)
			other := New(s.Client(nil), discardLog())
			other.SetSetup(setupWithLimit(1000))
			third := Cell{Name: "c1", Condition: takeOwnership(s, "c1"), Needs: needsOf(0, 1000)}
			So(other.Balance(context.Background(), []Cell{third}), ShouldBeNil)
			taken, _ := other.Allocation("c1", "a")
			So(used+taken.CPU, ShouldBeLessThanOrEqualTo, 1000)
			So(reads, ShouldEqual, 2)
		})
	}
	Convey("Needs are read once if no allocation is lowered", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		reads := 0
		c := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: func(ctx context.Context) (map[string]jobs.Need, error) {
			reads++
			return needsOf(0, 500)(ctx)
		}}
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		So(reads, ShouldEqual, 1)
	})
	Convey("An allocation is not lowered if the needs cannot be read again", t, func() {
		s := keyvalue.New()
		l := New(s.Client(nil), discardLog())
		l.SetSetup(setupWithLimit(1000))
		c := Cell{Name: "c0", Condition: takeOwnership(s, "c0"), Needs: needsOf(0, 1000)}
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		reads := 0
		c.Needs = func(ctx context.Context) (map[string]jobs.Need, error) {
			if reads++; reads > 1 {
				return nil, errors.New("the owner has stopped")
			}
			return needsOf(0, 0)(ctx)
		}
		So(l.Balance(context.Background(), []Cell{c}), ShouldBeNil)
		So(reads, ShouldEqual, 2)
		allocation, _ := l.Allocation("c0", "a")
		So(allocation.CPU, ShouldEqual, 1000)
	})
}

// sharedLimit is three cells that use the limit of an account on two entries.
type sharedLimit struct {
	store *keyvalue.Store
	// limit is in force on both entries; 0 is none.
	limit   int64
	entries [2]*Ledger
	// owner holds the entry of each cell.
	owner        map[string]int
	conditions   map[string]store.Condition
	used, wanted map[string]int64
	// arriving is what each cell comes to want during the calls of Balance.
	arriving int64
	// unit is the size that each cell waits to add to its use, 0 if it claims nothing.
	unit int64
}

func newSharedLimit(t *rapid.T) *sharedLimit {
	l := &sharedLimit{
		store: keyvalue.New(), owner: make(map[string]int), conditions: make(map[string]store.Condition),
		used: make(map[string]int64), wanted: make(map[string]int64),
	}
	for i := range l.entries {
		l.entries[i] = New(clientCalling(l.store, func(string) { l.arrive(t, i) }), discardLog())
	}
	l.set(1000)
	for i := range 3 {
		l.take(fmt.Sprintf("c%d", i), i%2)
	}
	return l
}

func (l *sharedLimit) set(limit int64) {
	l.limit = limit
	for _, entry := range l.entries {
		entry.SetSetup(setupWithLimit(limit))
	}
}

func (l *sharedLimit) take(cell string, entry int) {
	l.owner[cell], l.conditions[cell] = entry, takeOwnership(l.store, cell)
}

// total returns the total use.
func (l *sharedLimit) total() int64 { return l.used["c0"] + l.used["c1"] + l.used["c2"] }

// run starts what a cell wants and may use.
func (l *sharedLimit) run(t *rapid.T, cell string) {
	allocation, _ := l.entries[l.owner[cell]].Allocation(cell, "a")
	started := min(allocation.CPU, l.wanted[cell]) - l.used[cell]
	if started <= 0 {
		return
	}
	l.used[cell] += started
	if l.limit > 0 && l.total() > l.limit {
		t.Fatalf("%s starts %d, so that %d of %d are used: %v", cell, started, l.total(), l.limit, l.used)
	}
}

// arrive starts work in the cells of an entry.
func (l *sharedLimit) arrive(t *rapid.T, entry int) {
	for cell, holder := range l.owner {
		if holder == entry {
			l.wanted[cell] = max(l.wanted[cell], l.arriving)
			l.run(t, cell)
		}
	}
}

func (l *sharedLimit) balance(t *rapid.T, entry int) {
	var cells []Cell
	for _, cell := range slices.Sorted(maps.Keys(l.owner)) {
		if l.owner[cell] != entry {
			continue
		}
		needs := func(ctx context.Context) (map[string]jobs.Need, error) {
			defer l.arrive(t, entry)
			needs, err := needsOf(l.used[cell], max(l.wanted[cell]-l.used[cell], 0))(ctx)
			if need := needs["a"]; l.unit > 0 && need.Wanted.CPU >= l.unit {
				need.Units = []jobs.Size{{CPU: l.unit}}
				needs["a"] = need
			}
			return needs, err
		}
		cells = append(cells, Cell{Name: cell, Condition: l.conditions[cell], Needs: needs})
	}
	// After a failure the allocations are unchanged or lower.
	_ = l.entries[entry].Balance(context.Background(), cells)
}

// settle ends all work and all trouble with the store. Then the cells must come to use the
// whole limit.
func (l *sharedLimit) settle(t *rapid.T) {
	l.store.LoseResponses(func(store.Change) bool { return false })
	l.store.ApplyDeferred()
	l.store.Defer(nil)
	l.arriving, l.unit = 0, 0
	clear(l.used)
	const wanted = 2000
	for cell, entry := range l.owner {
		l.wanted[cell] = wanted
		// A takeover whose answer was lost has given no condition.
		l.take(cell, entry)
	}
	for range 40 {
		l.balance(t, 0)
		l.balance(t, 1)
	}
	expected := l.limit
	if l.limit == 0 {
		expected = int64(len(l.owner)) * wanted
	}
	if l.total() < expected {
		t.Fatalf("only %d of %d are used: %v", l.total(), expected, l.used)
	}
}

// TestAllocationsNeverExceedLimits runs random sequences of ownership changes, changing
// needs, starts during the calls of Balance, lost answers, writes that are carried out
// late and limits that are changed, removed and set on two entries. A cell that starts work
// within its allocation must never bring the total use above the limit, and no part of the
// limit may be lost.
func TestAllocationsNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newSharedLimit(t)
		cell := func(t *rapid.T) string { return fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "cell")) }
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) { l.take(cell(t), rapid.IntRange(0, 1).Draw(t, "entry")) },
			"want": func(t *rapid.T) { l.wanted[cell(t)] = rapid.Int64Range(0, 1200).Draw(t, "wanted") },
			"end":  func(t *rapid.T) { l.used[cell(t)] = 0 },
			"run":  func(t *rapid.T) { l.run(t, cell(t)) },
			"lose": func(t *rapid.T) {
				isLost := rapid.Bool().Draw(t, "lost")
				l.store.LoseResponses(func(store.Change) bool { return isLost })
			},
			"defer": func(t *rapid.T) {
				isDeferred := rapid.Bool().Draw(t, "deferred")
				l.store.Defer(func(change store.Change) bool { return isDeferred && isLedgerWrite(change) })
			},
			"apply":  func(*rapid.T) { l.store.ApplyDeferred() },
			"claim":  func(t *rapid.T) { l.unit = rapid.SampledFrom([]int64{0, 50, 300, 700}).Draw(t, "unit") },
			"settle": l.settle,
			"limit": func(t *rapid.T) {
				l.set(rapid.OneOf(rapid.Just[int64](0), rapid.Int64Range(500, 1500)).Draw(t, "limit"))
			},
			"balance": func(t *rapid.T) {
				entry := rapid.IntRange(0, 1).Draw(t, "entry")
				l.arriving = rapid.SampledFrom([]int64{0, 0, 100, 1000}).Draw(t, "arriving")
				l.balance(t, entry)
			},
		})
	})
}

// TestLateWritesNeverExceedLimit runs random sequences of needs on two entries with a cell
// each, whose writes may be carried out late. The total use must never exceed the limit.
func TestLateWritesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		s := keyvalue.New()
		var entries [2]*Ledger
		var cells [2]Cell
		var used [2]int64
		for i := range entries {
			entries[i] = New(s.Client(nil), discardLog())
			entries[i].SetSetup(setupWithLimit(limit))
			name := fmt.Sprintf("c%d", i)
			cells[i] = Cell{Name: name, Condition: takeOwnership(s, name), Needs: needsOf(0, 0)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "entry")
				wanted := rapid.SampledFrom([]int64{0, limit / 2, limit}).Draw(t, "wanted")
				isDeferred := rapid.Bool().Draw(t, "deferred")
				s.Defer(func(store.Change) bool { return isDeferred })
				used[i] = min(used[i], wanted)
				cells[i].Needs = needsOf(used[i], wanted-used[i])
				// After a failure the allocation is unchanged or lower.
				_ = entries[i].Balance(context.Background(), cells[i:i+1])
				allocation, _ := entries[i].Allocation(cells[i].Name, "a")
				used[i] = max(used[i], min(allocation.CPU, wanted))
			},
			"apply": func(*rapid.T) { s.ApplyDeferred() },
			"": func(t *rapid.T) {
				if used[0]+used[1] > limit {
					t.Fatalf("%v of %d are used", used, limit)
				}
			},
		})
	})
}

// TestLoweredLimitExceeded guards against a limit that is divided without regard to what is
// used beyond it: from the time when there was none, or when it was higher.
func TestLoweredLimitExceeded(t *testing.T) {
	const limit, more = 1000, 5000
	for name, earlier := range map[string][]int64{
		"set": {0}, "removed and set again": {limit, 0}, "lowered": {2 * limit}, "lowered twice": {2 * limit, 3 * limit / 2},
	} {
		for order, indices := range map[string][]int{"uses less": {0, 1}, "uses more": {1, 0}} {
			Convey("No cell starts work beyond a limit that is "+name+" if the first to write is the one that "+order, t, func() {
				s := keyvalue.New()
				used := []int64{200, 900}
				var entries [2]*Ledger
				var cells [2]Cell
				for i := range entries {
					entries[i] = New(s.Client(nil), discardLog())
					cell := fmt.Sprintf("c%d", i)
					cells[i] = Cell{Name: cell, Condition: takeOwnership(s, cell), Needs: needsOf(0, used[i])}
				}
				usable := func(i int) int64 {
					allocation, _ := entries[i].Allocation(cells[i].Name, "a")
					return allocation.CPU
				}
				set := func(limit int64) {
					for _, l := range entries {
						l.SetSetup(setupWithLimit(limit))
					}
				}
				balance := func() {
					for _, i := range indices {
						So(entries[i].Balance(context.Background(), cells[i:i+1]), ShouldBeNil)
					}
				}
				for _, limit := range earlier {
					set(limit)
					balance()
				}
				for i := range cells {
					So(usable(i), ShouldBeGreaterThanOrEqualTo, used[i])
					cells[i].Needs = needsOf(used[i], 0)
				}
				balance()
				for i := range cells {
					cells[i].Needs = needsOf(used[i], more)
				}
				set(limit)
				for range 30 {
					for i := range cells {
						So(usable(i), ShouldBeLessThanOrEqualTo, used[i])
					}
					balance()
				}
				// When the work of one ends, the other may use the rest.
				cells[1].Needs = needsOf(0, 0)
				for range 30 {
					balance()
				}
				So(usable(0), ShouldBeGreaterThanOrEqualTo, limit*4/5)
				So(usable(0)+usable(1), ShouldBeLessThanOrEqualTo, limit)
			})
		}
	}
}

// The allocations of all accounts and cells are one value of the store, which takes a megabyte.
func TestDocumentFitsValueOfStore(t *testing.T) {
	Convey("At the design size the document takes less than half of a value, with claims everywhere", t, func() {
		const accounts, cells, valueBytes = 85, 26, 1 << 20
		document := make(allocations)
		for i := range accounts {
			row := make(map[string]allocation)
			for k := range cells {
				size := jobs.Size{CPU: unbounded, Memory: unbounded, GPUs: unbounded}
				row[fmt.Sprintf("pool-of-some-length-%02d", k)] = allocation{Size: size, Claim: &claim{Size: size, Since: unbounded}}
			}
			document[fmt.Sprintf("account-of-some-length-%02d", i)] = row
		}
		data, err := json.Marshal(document)
		So(err, ShouldBeNil)
		So(len(data), ShouldBeLessThan, valueBytes/2)
	})
}
