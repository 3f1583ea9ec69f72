package units

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// The verdict is the same every time; -rapid.seed on the command line wins.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "6000")
	_ = flag.Set("rapid.steps", "60")
}

const (
	worldTerm    = 6 * time.Second
	worldLongest = 10 * time.Second
	worldPause   = 2 * time.Second
	// worldRecovery is how long after it was last heard of nothing that a gone
	// member started can still run.
	worldRecovery = worldTerm + worldLongest
	teamName      = "gate"
)

// world is a group of members that exchange messages over a bad network, and
// the oracle that counts what runs.
type world struct {
	now     time.Time
	members []*worldMember
	bag     []any
	limits  []Limits
	tables  []Table
	jobs    []*job
	nextID  int
	// gone holds the members known to be gone, with what they had in force.
	gone map[string]goneMember
	sent int
}

type worldMember struct {
	name     string
	ledger   *Ledger
	barrier  *Barrier
	isPaused bool
	// isCut tells that no message comes to the member or leaves it.
	isCut bool
	// ticked is when the member last ticked.
	ticked time.Time
	// isSuspect tells that the member was paused for so long that its slice may
	// be another's; it owns nothing until it sees the newest documents.
	isSuspect bool
}

// job is work that a minion runs, whatever becomes of the member.
type job struct {
	member  string
	permit  *Permit
	started time.Time
}

type goneMember struct {
	since time.Time
	force Force
}

type reportMessage struct {
	from  string
	to    string
	force Force
}

func newWorld(count int, limit uint32) *world {
	w := &world{now: time.Unix(1_000_000, 0), gone: make(map[string]goneMember)}
	w.limits = []Limits{{Revision: 1, Units: map[string]uint32{teamName: limit}}}
	for range count {
		w.join()
	}
	w.tables = []Table{Split(1, w.names())}
	for _, m := range w.members {
		w.observe(m)
	}
	return w
}

func (w *world) names() (names []string) {
	for _, m := range w.members {
		names = append(names, m.name)
	}
	return names
}

func (w *world) join() *worldMember {
	w.nextID++
	name := fmt.Sprintf("m%d", w.nextID)
	m := &worldMember{name: name, barrier: NewBarrier(name), ticked: w.now}
	m.ledger = NewLedger(Config{
		Self: name, Term: worldTerm, Longest: worldLongest, Pause: worldPause,
		Now: func() time.Time { return w.now },
	})
	w.members = append(w.members, m)
	return m
}

// observe gives a member the newest documents of the platform.
func (w *world) observe(m *worldMember) {
	m.barrier.AddLimits(w.limits)
	m.barrier.AddTables(w.tables)
	m.isSuspect = false
	m.refresh()
}

func (m *worldMember) refresh() {
	if m.isSuspect {
		m.ledger.SetShare(teamName, 0)
		return
	}
	m.ledger.SetShare(teamName, m.barrier.Share(teamName))
	m.barrier.Settle(func() bool {
		return m.ledger.Fits(func(name string) (uint32, bool) { return m.barrier.Share(name), true })
	})
}

// tick moves one member on and puts its messages into the bag.
func (w *world) tick(m *worldMember) {
	m.isSuspect = m.isSuspect || w.now.Sub(m.ticked) > worldRecovery
	m.ticked = w.now
	m.refresh()
	m.ledger.SetPeers(slices.DeleteFunc(w.names(), func(name string) bool { return name == m.name }))
	for _, want := range m.ledger.Tick(w.now) {
		w.post(want)
	}
	m.refresh()
	for _, name := range w.names() {
		if name != m.name {
			w.post(reportMessage{from: m.name, to: name, force: m.barrier.Reported(m.name)})
		}
	}
}

func (w *world) post(message any) {
	w.sent++
	w.bag = append(w.bag, message)
}

func (w *world) find(name string) *worldMember {
	for _, m := range w.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// deliver hands a message to its receiver. A paused one gets it when it runs
// again, so here it stays in the bag.
func (w *world) deliver(message any) (delivered bool) {
	if w.isLost(message) {
		return true
	}
	switch body := message.(type) {
	case Want:
		to := w.find(body.To)
		if to == nil || to.isPaused {
			return to == nil
		}
		if answer, ok := to.ledger.ReceiveWant(w.now, body); ok {
			w.post(answer)
		}
	case Lend:
		to := w.find(body.To)
		if to == nil || to.isPaused {
			return to == nil
		}
		to.ledger.ReceiveLend(body)
	case reportMessage:
		to := w.find(body.to)
		if to == nil || to.isPaused {
			return to == nil
		}
		to.barrier.Report(body.from, body.force)
		to.refresh()
	}
	return true
}

// isLost returns whether a cut keeps the message from its receiver.
func (w *world) isLost(message any) bool {
	var from, to string
	switch body := message.(type) {
	case Want:
		from, to = body.From, body.To
	case Lend:
		from, to = body.From, body.To
	case reportMessage:
		from, to = body.from, body.to
	}
	sender, receiver := w.find(from), w.find(to)
	return sender != nil && sender.isCut || receiver != nil && receiver.isCut
}

// start starts a job at a member if it may.
func (w *world) start(m *worldMember) bool {
	permit := m.ledger.Account(teamName).Acquire()
	if permit == nil || !permit.IsValid(w.now) {
		return false
	}
	w.jobs = append(w.jobs, &job{member: m.name, permit: permit, started: w.now})
	return true
}

// end ends a job; its member, if it still runs, frees the unit.
func (w *world) end(position int) {
	j := w.jobs[position]
	w.jobs = slices.Delete(w.jobs, position, position+1)
	if m := w.find(j.member); m != nil && !m.isPaused {
		j.permit.Release()
	} else if m != nil {
		// The member learns of it when it runs again.
		w.bag = append(w.bag, releaseMessage{j.permit, j.member})
	}
}

type releaseMessage struct {
	permit *Permit
	member string
}

// advance moves the clock. No job runs longer than the longest run time.
func (w *world) advance(step time.Duration) {
	w.now = w.now.Add(step)
	for i := len(w.jobs) - 1; i >= 0; i-- {
		if w.now.Sub(w.jobs[i].started) > worldLongest {
			w.end(i)
		}
	}
}

// crash ends the process of a member; its jobs run on.
func (w *world) crash(m *worldMember) {
	w.members = slices.DeleteFunc(w.members, func(other *worldMember) bool { return other == m })
	w.gone[m.name] = goneMember{since: w.now, force: m.barrier.Reported(m.name)}
}

// retable writes a table with the members that are there and those that may
// still be running work.
func (w *world) retable() {
	newest := w.tables[len(w.tables)-1]
	var holders []string
	for _, m := range w.members {
		// The instance of a member that was paused for long may be listed as gone.
		if !m.isPaused || w.now.Sub(m.ticked) <= worldRecovery {
			holders = append(holders, m.name)
		}
	}
	for name := range newest.Slices {
		gone, isGone := w.gone[name]
		if isGone && w.now.Sub(gone.since) <= worldRecovery {
			holders = append(holders, name)
		}
	}
	if len(holders) > 0 {
		w.tables = append(w.tables, Split(newest.Revision+1, holders))
	}
}

// allowed is the oracle: the largest limit of any revision that some holder of
// the newest table may still go by.
func (w *world) allowed() (most uint32) {
	oldest := w.limits[len(w.limits)-1].Revision
	for name := range w.tables[len(w.tables)-1].Slices {
		force := w.gone[name].force
		if m := w.find(name); m != nil {
			force = m.barrier.Reported(name)
		}
		oldest = min(oldest, force.Limits)
	}
	for _, l := range w.limits {
		if l.Revision >= oldest {
			most = max(most, l.Units[teamName])
		}
	}
	return most
}

func (w *world) pick(t *rapid.T) *worldMember {
	if len(w.members) == 0 {
		t.Skip("no member")
	}
	return rapid.SampledFrom(w.members).Draw(t, "member")
}

// step lets every member that is not paused tick, delivers all messages and
// moves the clock.
func (w *world) step() {
	for _, m := range w.members {
		if !m.isPaused {
			w.tick(m)
		}
	}
	for len(w.bag) > 0 {
		message := w.bag[0]
		w.bag = w.bag[1:]
		w.deliver(message)
	}
	w.advance(round)
}

func TestLimitHoldsUnderAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "members"), uint32(rapid.IntRange(0, 9).Draw(t, "limit")))
		t.Repeat(w.actions())
	})
}

// TestLoansHold has no changes of limits or members but long delays and cuts, so
// that it gets far into the life of loans.
func TestLoansHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 3).Draw(t, "members"), uint32(rapid.IntRange(2, 6).Draw(t, "limit")))
		actions := w.actions()
		for _, name := range []string{"limit", "table", "join", "crash", "leave", "observe0", "observe1", "observe2", "observe3"} {
			delete(actions, name)
		}
		actions["double2"] = actions["double"]
		actions["sleep"] = func(t *rapid.T) { w.sleep(t) }
		actions["sleep2"] = actions["sleep"]
		t.Repeat(actions)
	})
}

// sleep lets time pass while only some members tick and messages stay where
// they are.
func (w *world) sleep(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "seconds") {
		w.advance(time.Second)
		for _, m := range w.members {
			if !m.isPaused && rapid.Bool().Draw(t, "ticks") {
				w.tick(m)
			}
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if running, allowed := len(w.jobs), w.allowed(); running > int(allowed) {
				t.Fatalf("%d run, %d are allowed", running, allowed)
			}
		},
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"tick": func(t *rapid.T) {
			if m := w.pick(t); !m.isPaused {
				w.tick(m)
			}
		},
		"deliver": func(t *rapid.T) { w.deliverOne(t, true) },
		"double":  func(t *rapid.T) { w.deliverOne(t, false) },
		"lose":    func(t *rapid.T) { w.takeOne(t) },
		"idle":    func(t *rapid.T) { w.pick(t).ledger.Account(teamName).SetWaiting(0) },
		"limit":   func(t *rapid.T) { w.relimit(uint32(rapid.IntRange(0, 9).Draw(t, "limit"))) },
		"table":   func(*rapid.T) { w.retable() },
		"join": func(*rapid.T) {
			if len(w.members) < 5 {
				w.observe(w.join())
			}
		},
		"crash": func(t *rapid.T) {
			if m := w.pick(t); len(w.members) > 2 && isRare(t) {
				w.crash(m)
			}
		},
		"cut":  func(t *rapid.T) { w.pick(t).isCut = isRare(t) },
		"heal": func(t *rapid.T) { w.pick(t).isCut = false },
		"wake": func(t *rapid.T) {
			// A member that resumes may try to start work before it ticks.
			m := w.pick(t)
			m.isPaused = false
			w.start(m)
		},
		"pause":  func(t *rapid.T) { w.pick(t).isPaused = isRare(t) },
		"resume": func(t *rapid.T) { w.pick(t).isPaused = false },
		"leave": func(t *rapid.T) {
			if m := w.pick(t); len(w.members) > 2 && isRare(t) {
				w.leave(m)
			}
		},
	}
	// Most of the time the network works and there is work to do.
	for i := range 4 {
		actions[fmt.Sprintf("round%d", i)] = w.round
		actions[fmt.Sprintf("start%d", i)] = w.startSome
		actions[fmt.Sprintf("end%d", i)] = w.endOne
		actions[fmt.Sprintf("observe%d", i)] = w.observeOne
	}
	return actions
}

func isRare(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 0 }

// round lets all members tick, delivers what there is in any order, and moves
// the clock a little.
func (w *world) round(t *rapid.T) {
	for _, m := range w.members {
		if !m.isPaused {
			w.tick(m)
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "passes") {
		bag := w.bag
		w.bag = nil
		if rapid.Bool().Draw(t, "reversed") {
			slices.Reverse(bag)
		}
		for _, message := range bag {
			if release, ok := message.(releaseMessage); ok && !w.isPaused(release.member) {
				release.permit.Release()
			} else if ok || !w.deliver(message) {
				w.bag = append(w.bag, message)
			}
		}
	}
	w.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) isPaused(member string) bool {
	m := w.find(member)
	return m != nil && m.isPaused
}

// startSome starts as many jobs as it can at one member and lets the rest wait.
func (w *world) startSome(t *rapid.T) {
	m := w.pick(t)
	count := rapid.IntRange(1, 9).Draw(t, "count")
	for count > 0 && w.start(m) {
		count--
	}
	m.ledger.Account(teamName).SetWaiting(count)
}

func (w *world) endOne(t *rapid.T) {
	if len(w.jobs) == 0 {
		t.Skip("no job")
	}
	w.end(rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job"))
}

func (w *world) observeOne(t *rapid.T) {
	if m := w.pick(t); !m.isPaused {
		w.observe(m)
	}
}

// relimit writes a new revision of the limits.
func (w *world) relimit(limit uint32) {
	newest := w.limits[len(w.limits)-1]
	w.limits = append(w.limits, Limits{Revision: newest.Revision + 1, Units: map[string]uint32{teamName: limit}})
}

// leave takes an idle member out of the table at once.
func (w *world) leave(m *worldMember) {
	if m.isPaused || !m.ledger.IsIdle() {
		return
	}
	w.crash(m)
	w.gone[m.name] = goneMember{force: w.gone[m.name].force}
	w.retable()
}

func (w *world) takeOne(t *rapid.T) any {
	if len(w.bag) == 0 {
		t.Skip("no message")
	}
	position := rapid.IntRange(0, len(w.bag)-1).Draw(t, "message")
	message := w.bag[position]
	if release, ok := message.(releaseMessage); ok {
		if w.isPaused(release.member) {
			t.Skip("the member is paused")
		}
		release.permit.Release()
	}
	w.bag = slices.Delete(w.bag, position, position+1)
	return message
}

func (w *world) deliverOne(t *rapid.T, once bool) {
	message := w.takeOne(t)
	if !w.deliver(message) || !once {
		w.bag = append(w.bag, message)
	}
}
