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
	// A fixed seed makes the result reproducible; -rapid.seed on the command line
	// overrides it.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "6000")
	_ = flag.Set("rapid.steps", "60")
}

const (
	simulatedTerm       = 6 * time.Second
	simulatedMaxRunTime = 10 * time.Second
	simulatedPauseLimit = 2 * time.Second
	// simulatedRecoveryDelay is the time after which no job of a departed member
	// can be running any more, counted from its last message.
	simulatedRecoveryDelay = simulatedTerm + simulatedMaxRunTime
	resourceName           = "gate"
)

// simulation is a group of members that exchange messages over an unreliable
// network on a simulated clock. It counts the running jobs and computes how many
// may run.
type simulation struct {
	now     time.Time
	members []*simulatedMember
	// inFlight holds the messages that are sent but not delivered.
	inFlight []any
	limits   []Limits
	tables   []Table
	jobs     []*job
	// requests holds the requests that have a unit and have not started a job yet.
	requests []*job
	nextID   int
	// departed holds the members that crashed or left, with the revisions that
	// they had in force.
	departed  map[string]departedMember
	sentCount int
}

type simulatedMember struct {
	name     string
	ledger   *Ledger
	barrier  *Barrier
	isPaused bool
	// isPartitioned is true if all messages to and from the member are lost.
	isPartitioned bool
	// lastTick is the time of the member's last tick.
	lastTick time.Time
	// maxRunTime is the maximum run time in the member's documents.
	maxRunTime time.Duration
	// isSuspect is true if the member was paused for so long that its slice may
	// have been assigned to another one. It owns no units until it loads the
	// newest documents.
	isSuspect bool
}

// job is work that runs on a minion. It continues when the member that started
// it crashes or pauses.
type job struct {
	member     string
	permit     *Permit
	started    time.Time
	maxRunTime time.Duration
}

// departedMember is a member that crashed at the time since, or left in an
// orderly way if since is zero.
type departedMember struct {
	since     time.Time
	revisions Revisions
}

// reportMessage carries the revisions in force at one member to another.
type reportMessage struct {
	from      string
	to        string
	revisions Revisions
}

func newSimulation(count int, limit uint32) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), departed: make(map[string]departedMember)}
	s.limits = []Limits{{Revision: 1, Units: map[string]uint32{resourceName: limit}}}
	for range count {
		s.addMember()
	}
	s.tables = []Table{NewEqualTable(1, s.names())}
	for _, m := range s.members {
		s.loadDocuments(m)
	}
	return s
}

func (s *simulation) names() (names []string) {
	for _, m := range s.members {
		names = append(names, m.name)
	}
	return names
}

func (s *simulation) addMember() *simulatedMember {
	s.nextID++
	name := fmt.Sprintf("m%d", s.nextID)
	m := &simulatedMember{name: name, barrier: NewBarrier(name), lastTick: s.now, maxRunTime: simulatedMaxRunTime}
	m.ledger = NewLedger(Config{
		Self: name, Term: simulatedTerm, MaxRunTime: simulatedMaxRunTime, PauseLimit: simulatedPauseLimit,
		Now: func() time.Time { return s.now },
	})
	s.members = append(s.members, m)
	return m
}

// loadDocuments gives a member the newest limits and tables.
func (s *simulation) loadDocuments(m *simulatedMember) {
	m.barrier.AddLimits(s.limits)
	m.barrier.AddTables(s.tables)
	m.isSuspect = false
	m.refresh()
}

// setMaxRunTime gives a member a document with another maximum run time.
func (m *simulatedMember) setMaxRunTime(maxRunTime time.Duration) {
	m.ledger.SetMaxRunTime(maxRunTime)
	m.maxRunTime = maxRunTime
}

// refresh updates the member's share from its documents and puts the newest
// revisions in force if what it uses and has lent fits.
func (m *simulatedMember) refresh() {
	if m.isSuspect {
		m.ledger.SetShare(resourceName, 0)
		return
	}
	m.ledger.SetShare(resourceName, m.barrier.Share(resourceName))
	m.barrier.ApplyNewest(func() bool {
		return m.ledger.Fits(func(name string) (uint32, bool) { return m.barrier.Share(name), true })
	})
}

// tick ticks the ledger of one member and sends its Wants and reports.
func (s *simulation) tick(m *simulatedMember) {
	m.isSuspect = m.isSuspect || s.now.Sub(m.lastTick) > simulatedRecoveryDelay
	m.lastTick = s.now
	m.refresh()
	m.ledger.SetPeers(slices.DeleteFunc(s.names(), func(name string) bool { return name == m.name }))
	for _, want := range m.ledger.Tick(s.now) {
		s.send(want)
	}
	m.refresh()
	for _, name := range s.names() {
		if name != m.name {
			s.send(reportMessage{from: m.name, to: name, revisions: m.barrier.Reported(m.name)})
		}
	}
}

func (s *simulation) send(message any) {
	s.sentCount++
	s.inFlight = append(s.inFlight, message)
}

func (s *simulation) find(name string) *simulatedMember {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// deliver delivers a message to its receiver. It returns false if the receiver is
// paused; the caller then keeps the message in flight.
func (s *simulation) deliver(message any) (delivered bool) {
	if s.isDropped(message) {
		return true
	}
	switch body := message.(type) {
	case Want:
		to := s.find(body.To)
		if to == nil || to.isPaused {
			return to == nil
		}
		if reply, ok := to.ledger.ReceiveWant(s.now, body); ok {
			s.send(reply)
		}
	case Lend:
		to := s.find(body.To)
		if to == nil || to.isPaused {
			return to == nil
		}
		to.ledger.ReceiveLend(body)
	case reportMessage:
		to := s.find(body.to)
		if to == nil || to.isPaused {
			return to == nil
		}
		to.barrier.Report(body.from, body.revisions)
		to.refresh()
	}
	return true
}

// isDropped returns whether the sender or the receiver is partitioned.
func (s *simulation) isDropped(message any) bool {
	var from, to string
	switch body := message.(type) {
	case Want:
		from, to = body.From, body.To
	case Lend:
		from, to = body.From, body.To
	case reportMessage:
		from, to = body.from, body.to
	}
	sender, receiver := s.find(from), s.find(to)
	return sender != nil && sender.isPartitioned || receiver != nil && receiver.isPartitioned
}

// startJob starts a job at a member if it has a free unit, and returns whether
// it did.
func (s *simulation) startJob(m *simulatedMember) bool {
	permit := m.ledger.Account(resourceName).Acquire()
	if permit == nil {
		return false
	}
	if !permit.IsValid(s.now, m.maxRunTime) {
		permit.Release()
		return false
	}
	s.jobs = append(s.jobs, &job{member: m.name, permit: permit, started: s.now, maxRunTime: m.maxRunTime})
	return true
}

// admit lets a member acquire a unit for a request whose job starts later, with the
// maximum run time of now.
func (s *simulation) admit(m *simulatedMember) {
	if permit := m.ledger.Account(resourceName).Acquire(); permit != nil {
		s.requests = append(s.requests, &job{member: m.name, permit: permit, maxRunTime: m.maxRunTime})
	}
}

// startAdmitted starts the job of a request that was admitted earlier, or releases its
// unit if the permit is no longer valid. A member that is paused does nothing.
func (s *simulation) startAdmitted(position int) {
	j := s.requests[position]
	m := s.find(j.member)
	if m != nil && m.isPaused {
		return
	}
	s.requests = slices.Delete(s.requests, position, position+1)
	switch {
	case m == nil:
	case j.permit.IsValid(s.now, j.maxRunTime):
		j.started = s.now
		s.jobs = append(s.jobs, j)
	default:
		j.permit.Release()
	}
}

// endJob ends a job. Its member releases the unit: now if it is running, on
// resuming if it is paused, and never if it has departed.
func (s *simulation) endJob(position int) {
	j := s.jobs[position]
	s.jobs = slices.Delete(s.jobs, position, position+1)
	if m := s.find(j.member); m != nil && !m.isPaused {
		j.permit.Release()
	} else if m != nil {
		// The message is processed when the member resumes.
		s.inFlight = append(s.inFlight, releaseMessage{j.permit, j.member})
	}
}

// releaseMessage tells a paused member that a job has ended.
type releaseMessage struct {
	permit *Permit
	member string
}

// advance moves the clock forward and ends the jobs that exceed the maximum run
// time.
func (s *simulation) advance(step time.Duration) {
	s.now = s.now.Add(step)
	for i := len(s.jobs) - 1; i >= 0; i-- {
		if s.now.Sub(s.jobs[i].started) > s.jobs[i].maxRunTime {
			s.endJob(i)
		}
	}
}

// crash removes a member without notice. Its jobs continue.
func (s *simulation) crash(m *simulatedMember) {
	s.members = slices.DeleteFunc(s.members, func(other *simulatedMember) bool { return other == m })
	s.departed[m.name] = departedMember{since: s.now, revisions: m.barrier.Reported(m.name)}
}

// addTable adds a table with the current members and the departed ones whose
// jobs may still be running.
func (s *simulation) addTable() {
	newest := s.tables[len(s.tables)-1]
	var holders []string
	for _, m := range s.members {
		// The instance of a member that was paused for long may be listed as
		// departed, so it gets no slice.
		if !m.isPaused || s.now.Sub(m.lastTick) <= simulatedRecoveryDelay {
			holders = append(holders, m.name)
		}
	}
	for name := range newest.Slices {
		member, isDeparted := s.departed[name]
		if isDeparted && s.now.Sub(member.since) <= simulatedRecoveryDelay {
			holders = append(holders, name)
		}
	}
	if len(holders) > 0 {
		s.tables = append(s.tables, NewEqualTable(newest.Revision+1, holders))
	}
}

// maxAllowed returns how many jobs may run: the largest limit among the revisions
// that any member in the newest table may still have in force.
func (s *simulation) maxAllowed() (most uint32) {
	oldest := s.limits[len(s.limits)-1].Revision
	for name := range s.tables[len(s.tables)-1].Slices {
		revisions := s.departed[name].revisions
		if m := s.find(name); m != nil {
			revisions = m.barrier.Reported(name)
		}
		oldest = min(oldest, revisions.Limits)
	}
	for _, l := range s.limits {
		if l.Revision >= oldest {
			most = max(most, l.Units[resourceName])
		}
	}
	return most
}

// drawMember returns a random member and skips the action if there is none.
func (s *simulation) drawMember(t *rapid.T) *simulatedMember {
	if len(s.members) == 0 {
		t.Skip("no member")
	}
	return rapid.SampledFrom(s.members).Draw(t, "member")
}

// step ticks every member that is not paused, delivers all messages in the order
// in which they were sent, and advances the clock by stepDuration.
func (s *simulation) step() {
	for _, m := range s.members {
		if !m.isPaused {
			s.tick(m)
		}
	}
	for len(s.inFlight) > 0 {
		message := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.deliver(message)
	}
	s.advance(stepDuration)
}

// TestLimitHoldsUnderFaults guards against more jobs running than the limit
// allows, under changes of limits, tables and members, pauses, partitions, and
// lost, duplicated and reordered messages.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "members"), uint32(rapid.IntRange(0, 9).Draw(t, "limit")))
		t.Repeat(s.actions())
	})
}

// TestLoansHold guards against units in use by both lender and borrower after a
// loan has expired. It omits changes of limits, tables and members, and adds long
// delays and more duplicates, so that many loans are renewed and expire.
func TestLoansHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 3).Draw(t, "members"), uint32(rapid.IntRange(2, 6).Draw(t, "limit")))
		actions := s.actions()
		for _, name := range []string{"limit", "table", "join", "crash", "leave", "observe0", "observe1", "observe2", "observe3"} {
			delete(actions, name)
		}
		actions["double2"] = actions["double"]
		actions["runtime2"] = actions["runtime"]
		actions["sleep"] = func(t *rapid.T) { s.sleep(t) }
		actions["sleep2"] = actions["sleep"]
		t.Repeat(actions)
	})
}

// TestLoansHoldWhenRunTimesChange guards against units that a lender uses while work
// that its borrower started under another maximum run time still runs on them. It omits
// the other faults, and only the member that owns no unit has requests waiting, so that
// run times change often while the unit is lent.
func TestLoansHoldWhenRunTimesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(2, 1)
		borrower := s.members[0]
		if borrower.barrier.Share(resourceName) > 0 {
			t.Fatal("the borrower owns the unit")
		}
		all := s.actions()
		step := func(*rapid.T) {
			borrower.ledger.Account(resourceName).SetWaiting(1)
			s.step()
		}
		start := func(t *rapid.T) { s.startJob(s.drawMember(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"": all[""], "admit": all["admit"], "begin": all["begin"],
			"start0": start, "start1": start, "step0": step, "step1": step,
			"runtime": func(t *rapid.T) {
				s.drawMember(t).setMaxRunTime(rapid.SampledFrom([]time.Duration{time.Second, simulatedMaxRunTime}).Draw(t, "maximum"))
			},
			"cut": func(t *rapid.T) {
				seconds := rapid.SampledFrom([]int{1, 3, 8}).Draw(t, "seconds")
				for range seconds {
					s.advance(time.Second)
					for _, m := range s.members {
						s.tick(m)
					}
					s.inFlight = nil
				}
			},
		})
	})
}

// sleep advances the clock by some seconds, during which random members tick and
// no message is delivered.
func (s *simulation) sleep(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "seconds") {
		s.advance(time.Second)
		for _, m := range s.members {
			if !m.isPaused && rapid.Bool().Draw(t, "ticks") {
				s.tick(m)
			}
		}
	}
}

// actions returns the actions that rapid draws from, by name. The action with the
// empty name is the invariant, which rapid checks after each other one.
func (s *simulation) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if running, allowed := len(s.jobs), s.maxAllowed(); running > int(allowed) {
				t.Fatalf("%d run, %d are allowed", running, allowed)
			}
		},
		"advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"tick": func(t *rapid.T) {
			if m := s.drawMember(t); !m.isPaused {
				s.tick(m)
			}
		},
		"deliver": func(t *rapid.T) { s.deliverOneMessage(t, true) },
		"double":  func(t *rapid.T) { s.deliverOneMessage(t, false) },
		"lose":    func(t *rapid.T) { s.removeOneMessage(t) },
		"idle":    func(t *rapid.T) { s.drawMember(t).ledger.Account(resourceName).SetWaiting(0) },
		"limit":   func(t *rapid.T) { s.addLimits(uint32(rapid.IntRange(0, 9).Draw(t, "limit"))) },
		"table":   func(*rapid.T) { s.addTable() },
		"join": func(*rapid.T) {
			if len(s.members) < 5 {
				s.loadDocuments(s.addMember())
			}
		},
		"crash": func(t *rapid.T) {
			if m := s.drawMember(t); len(s.members) > 2 && isOneInFour(t) {
				s.crash(m)
			}
		},
		"cut":  func(t *rapid.T) { s.drawMember(t).isPartitioned = isOneInFour(t) },
		"heal": func(t *rapid.T) { s.drawMember(t).isPartitioned = false },
		"wake": func(t *rapid.T) {
			// A member that resumes may try to start a job before it ticks.
			m := s.drawMember(t)
			m.isPaused = false
			s.startJob(m)
		},
		"runtime": func(t *rapid.T) {
			maximum := rapid.IntRange(1, int(simulatedMaxRunTime/time.Second)).Draw(t, "maximum")
			s.drawMember(t).setMaxRunTime(time.Duration(maximum) * time.Second)
		},
		"admit": func(t *rapid.T) {
			if m := s.drawMember(t); !m.isPaused {
				s.admit(m)
			}
		},
		"begin": func(t *rapid.T) {
			if len(s.requests) == 0 {
				t.Skip("no request")
			}
			s.startAdmitted(rapid.IntRange(0, len(s.requests)-1).Draw(t, "request"))
		},
		"pause":  func(t *rapid.T) { s.drawMember(t).isPaused = isOneInFour(t) },
		"resume": func(t *rapid.T) { s.drawMember(t).isPaused = false },
		"leave": func(t *rapid.T) {
			if m := s.drawMember(t); len(s.members) > 2 && isOneInFour(t) {
				s.leave(m)
			}
		},
	}
	// These actions are listed four times so that rapid draws them more often
	// than the faults: in most steps the network works and jobs are run.
	for i := range 4 {
		actions[fmt.Sprintf("round%d", i)] = s.runRound
		actions[fmt.Sprintf("start%d", i)] = s.startJobs
		actions[fmt.Sprintf("end%d", i)] = s.endOneJob
		actions[fmt.Sprintf("observe%d", i)] = s.observeOneMember
	}
	return actions
}

// isOneInFour returns true in about one of four draws.
func isOneInFour(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 0 }

// runRound ticks all members that are not paused, delivers the messages in flight
// in up to two passes, each in the order of sending or in reverse, and advances
// the clock by up to 400 ms.
func (s *simulation) runRound(t *rapid.T) {
	for _, m := range s.members {
		if !m.isPaused {
			s.tick(m)
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "passes") {
		messages := s.inFlight
		s.inFlight = nil
		if rapid.Bool().Draw(t, "reversed") {
			slices.Reverse(messages)
		}
		for _, message := range messages {
			if release, ok := message.(releaseMessage); ok && !s.isPaused(release.member) {
				release.permit.Release()
			} else if ok || !s.deliver(message) {
				s.inFlight = append(s.inFlight, message)
			}
		}
	}
	s.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
}

func (s *simulation) isPaused(member string) bool {
	m := s.find(member)
	return m != nil && m.isPaused
}

// startJobs starts up to a random number of jobs at one member. The jobs that
// get no unit are set as waiting.
func (s *simulation) startJobs(t *rapid.T) {
	m := s.drawMember(t)
	count := rapid.IntRange(1, 9).Draw(t, "count")
	for count > 0 && s.startJob(m) {
		count--
	}
	m.ledger.Account(resourceName).SetWaiting(count)
}

func (s *simulation) endOneJob(t *rapid.T) {
	if len(s.jobs) == 0 {
		t.Skip("no job")
	}
	s.endJob(rapid.IntRange(0, len(s.jobs)-1).Draw(t, "job"))
}

func (s *simulation) observeOneMember(t *rapid.T) {
	if m := s.drawMember(t); !m.isPaused {
		s.loadDocuments(m)
	}
}

// addLimits adds a new revision of the limits.
func (s *simulation) addLimits(limit uint32) {
	newest := s.limits[len(s.limits)-1]
	s.limits = append(s.limits, Limits{Revision: newest.Revision + 1, Units: map[string]uint32{resourceName: limit}})
}

// leave removes a member that is idle, and takes it out of the table at once.
func (s *simulation) leave(m *simulatedMember) {
	if m.isPaused || !m.ledger.IsIdle() {
		return
	}
	s.crash(m)
	s.departed[m.name] = departedMember{revisions: s.departed[m.name].revisions}
	s.addTable()
}

// removeOneMessage removes a random message from those in flight and returns it.
// If it is a releaseMessage, it is processed first.
func (s *simulation) removeOneMessage(t *rapid.T) any {
	if len(s.inFlight) == 0 {
		t.Skip("no message")
	}
	position := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	message := s.inFlight[position]
	if release, ok := message.(releaseMessage); ok {
		if s.isPaused(release.member) {
			t.Skip("the member is paused")
		}
		release.permit.Release()
	}
	s.inFlight = slices.Delete(s.inFlight, position, position+1)
	return message
}

// deliverOneMessage delivers a random message. If isOnce is false, the message
// stays in flight, so that it is delivered again.
func (s *simulation) deliverOneMessage(t *rapid.T, isOnce bool) {
	message := s.removeOneMessage(t)
	if !s.deliver(message) || !isOnce {
		s.inFlight = append(s.inFlight, message)
	}
}
