package share

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides
	// it.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "80")
}

var testTime = time.Unix(1_000_000, 0)

func everyTeamReady(string) bool { return true }

// waitingItem is the model's record of a waiting item.
type waitingItem struct {
	item *Item[int]
	team string
}

// TestQueueAgainstOracle compares the queue with a plain list under random operations:
// no item is lost, duplicated or started after it was cancelled, the counts agree,
// and a team that is not ready gets no slots.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{queue: NewQueue[int](Config{})}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"push":   m.push,
			"pop":    m.pop,
			"cancel": m.cancel,
			"remote": m.remote,
			"finish": m.finish,
		})
	})
}

// queueModel holds a queue and the plain lists with which it is compared.
type queueModel struct {
	queue     *Queue[int]
	waiting   []waitingItem
	running   []*Item[int]
	lastValue int
}

var oracleTeams = []string{"a", "b", "c"}

func (m *queueModel) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) {
		t.Fatalf("length %d, want %d", m.queue.Len(), len(m.waiting))
	}
	sum := 0
	for _, count := range m.queue.Running() {
		sum += count
	}
	if sum != len(m.running) {
		t.Fatalf("%d items running, want %d", sum, len(m.running))
	}
}

func (m *queueModel) push(t *rapid.T) {
	team := rapid.SampledFrom(oracleTeams).Draw(t, "team")
	run := time.Duration(rapid.IntRange(1, 2000).Draw(t, "run")) * time.Millisecond
	service := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")
	m.lastValue++
	m.waiting = append(m.waiting, waitingItem{m.queue.Push(team, service, run, m.lastValue), team})
}

func (m *queueModel) pop(t *rapid.T) {
	ready := rapid.SampledFrom(oracleTeams).Draw(t, "ready")
	isReady := func(team string) bool { return team == ready }
	isQuick := rapid.Bool().Draw(t, "quick")
	pop := m.queue.Pop
	if isQuick {
		pop = m.queue.PopQuick
	}
	popped := pop(isReady)
	if popped == nil {
		if hasEligible(m.waiting, ready, isQuick) {
			t.Fatalf("team %s has waiting items but Pop returned none", ready)
		}
		return
	}
	position := find(m.waiting, popped)
	if position < 0 || popped.Team != ready || isQuick && !popped.IsQuick() {
		t.Fatalf("item %d of team %s was popped although it may not start", popped.Value, popped.Team)
	}
	if rapid.Bool().Draw(t, "returned") {
		m.queue.Requeue(popped)
		return
	}
	m.running = append(m.running, popped)
	m.waiting = append(m.waiting[:position], m.waiting[position+1:]...)
}

func (m *queueModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("empty")
	}
	position := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "position")
	item := m.waiting[position].item
	if !m.queue.Cancel(item) || m.queue.Cancel(item) {
		t.Fatal("Cancel must return true once and false afterwards")
	}
	m.waiting = append(m.waiting[:position], m.waiting[position+1:]...)
}

func (m *queueModel) remote(t *rapid.T) {
	team := rapid.SampledFrom(oracleTeams).Draw(t, "team")
	m.queue.SetRemote(map[string]int{team: 3}, 2)
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	m.queue.Finish(m.running[0])
	m.running = m.running[1:]
}

func find(list []waitingItem, item *Item[int]) int {
	for i, w := range list {
		if w.item == item {
			return i
		}
	}
	return -1
}

// hasEligible reports whether a team has an item that Pop may return, or PopQuick if
// isQuick is set. PopQuick considers only the first item of each service.
func hasEligible(list []waitingItem, team string, isQuick bool) bool {
	seen := make(map[string]bool)
	for _, w := range list {
		if w.team != team || seen[w.item.Service] {
			continue
		}
		seen[w.item.Service] = true
		if w.item.IsQuick() || !isQuick {
			return true
		}
	}
	return false
}

// startItems pops one item per slot and returns the number of running items by team.
func startItems(q *Queue[int], slots int) map[string]int {
	for range slots {
		q.Pop(everyTeamReady)
	}
	return q.Running()
}

func pushMany(q *Queue[int], count int, teams ...string) {
	for i := range count {
		for _, team := range teams {
			q.Push(team, "x", 2*time.Second, i)
		}
	}
}

func TestOrder(t *testing.T) {
	cases := map[string]func(){
		"teams occupy slots in proportion to their shares": func() {
			q := NewQueue[int](Config{})
			q.SetShare("a", 3)
			q.SetShare("b", 1)
			pushMany(q, 100, "a", "b")
			So(startItems(q, 40), ShouldResemble, map[string]int{"a": 30, "b": 10})
		},
		"slots that one team does not use go to the others": func() {
			q := NewQueue[int](Config{})
			q.SetShare("a", 3)
			q.SetShare("b", 1)
			pushMany(q, 100, "b")
			pushMany(q, 5, "a")
			So(startItems(q, 40), ShouldResemble, map[string]int{"a": 5, "b": 35})
		},
		"a team that returns with work gets the next free slots": func() {
			q := NewQueue[int](Config{})
			pushMany(q, 100, "a")
			var started []*Item[int]
			for range 10 {
				started = append(started, q.Pop(everyTeamReady))
			}
			pushMany(q, 100, "b")
			for _, item := range started[:5] {
				q.Finish(item)
				So(q.Pop(everyTeamReady).Team, ShouldEqual, "b")
			}
			q.Finish(started[5])
			q.Pop(everyTeamReady)
			q.Finish(started[6])
			So(q.Pop(everyTeamReady), ShouldNotBeNil)
			So(q.Running()["a"], ShouldBeBetweenOrEqual, 4, 5)
		},
		"a deficit in other processes is compensated in part": func() {
			q := NewQueue[int](Config{})
			pushMany(q, 100, "a", "b")
			// b occupies none of 20 slots through the other process, a deficit of 10,
			// of which this process, one of two, compensates for 5.
			q.SetRemote(map[string]int{"a": 20}, 2)
			So(startItems(q, 20), ShouldResemble, map[string]int{"a": 5, "b": 15})
		},
		"a team without free units is skipped": func() {
			q := NewQueue[int](Config{})
			pushMany(q, 10, "a", "b")
			isReady := func(team string) bool { return team == "b" }
			for range 10 {
				So(q.Pop(isReady).Team, ShouldEqual, "b")
			}
			So(q.Pop(isReady), ShouldBeNil)
		},
		"within a team the services share the slots, and one with a single item is served at once": func() {
			q := NewQueue[int](Config{})
			for i := range 100 {
				q.Push("a", "digest", 20*time.Second, i)
				q.Push("a", "photo", 5*time.Second, i)
			}
			q.Push("a", "search", time.Second, 0)
			counts := make(map[string]int)
			for range 21 {
				counts[q.Pop(everyTeamReady).Service]++
			}
			So(counts, ShouldResemble, map[string]int{"digest": 10, "photo": 10, "search": 1})
		},
		"on a single slot the services share the slot time": func() {
			q := NewQueue[int](Config{})
			for i := range 1000 {
				q.Push("a", "digest", 20*time.Second, i)
				q.Push("a", "search", time.Second, i)
			}
			counts := make(map[string]int)
			for range 210 {
				item := q.Pop(everyTeamReady)
				counts[item.Service]++
				q.Finish(item)
			}
			So(counts["digest"], ShouldBeBetweenOrEqual, 9, 11)
		},
		"a returned item is next again": func() {
			q := NewQueue[int](Config{})
			pushMany(q, 3, "a")
			item := q.Pop(everyTeamReady)
			q.Requeue(item)
			So(q.Pop(everyTeamReady), ShouldEqual, item)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, check)
	}
}

func TestReserve(t *testing.T) {
	cases := map[string]struct {
		act  func(r *Reserve)
		want int
	}{
		"no arrivals":     {func(*Reserve) {}, 0},
		"only long work":  {func(r *Reserve) { r.Arrive(testTime, false) }, 0},
		"only quick work": {func(r *Reserve) { r.Arrive(testTime, true) }, 0},
		"both":            {func(r *Reserve) { r.Arrive(testTime, true); r.Arrive(testTime, false) }, 1},
		"quick work long ago": {func(r *Reserve) {
			r.Arrive(testTime.Add(-2*activityWindow), true)
			r.Arrive(testTime, false)
		}, 0},
		"quick work that runs uses up the reserve": {func(r *Reserve) {
			r.Arrive(testTime, true)
			r.Arrive(testTime, false)
			r.Start(testTime, true)
		}, 0},
		"the reserve for much quick work is bounded": {func(r *Reserve) {
			r.Arrive(testTime, true)
			r.Arrive(testTime, false)
			for range 50 {
				r.Start(testTime.Add(-time.Minute), true)
			}
			for range 50 {
				r.End(testTime, true)
			}
		}, 5},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			r := &Reserve{}
			c.act(r)
			So(r.Reserved(testTime, 20), ShouldEqual, c.want)
		})
	}
}

// TestCancelAllocatesNothing checks that Cancel allocates nothing when many items are
// cancelled in succession.
func TestCancelAllocatesNothing(t *testing.T) {
	for _, size := range []int{1000, 100000} {
		Convey(fmt.Sprintf("With %d waiting items a cancellation allocates nothing", size), t, func() {
			q := NewQueue[int](Config{})
			items := make([]*Item[int], size)
			for i := range items {
				items[i] = q.Push("a", "x", time.Second, i)
			}
			next := 0
			allocations := testing.AllocsPerRun(size-10, func() {
				q.Cancel(items[next])
				next++
			})
			So(allocations, ShouldEqual, 0)
		})
	}
}

// BenchmarkCancel measures whether the time of a cancellation depends on the
// number of waiting items.
func BenchmarkCancel(b *testing.B) {
	for _, size := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := NewQueue[int](Config{})
			var items []*Item[int]
			for range b.N {
				if len(items) == 0 {
					b.StopTimer()
					for i := range size {
						items = append(items, q.Push("a", "x", time.Second, i))
					}
					b.StartTimer()
				}
				q.Cancel(items[len(items)-1])
				items = items[:len(items)-1]
			}
		})
	}
}
