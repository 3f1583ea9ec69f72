package units

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stepDuration is the time by which simulation.step advances the clock.
const stepDuration = 200 * time.Millisecond

// lowMaxRunTime is lower than simulatedMaxRunTime, that of the members at first.
const lowMaxRunTime = 3 * time.Second

// newLenderAndBorrower returns a simulation of two members: a lender that owns
// all units and a borrower that owns none.
func newLenderAndBorrower(limit uint32) (s *simulation, lender, borrower *simulatedMember) {
	s = newSimulation(1, limit)
	lender = s.members[0]
	borrower = s.addMember()
	s.loadDocuments(borrower)
	return s, lender, borrower
}

// borrowUnits lets the borrower request count units, and runs the two steps in
// which it gets them.
func borrowUnits(s *simulation, borrower *simulatedMember, count int) {
	borrower.ledger.Account(resourceName).SetWaiting(count)
	s.step()
	s.step()
}

func TestTerms(t *testing.T) {
	runCases(t, map[string]func(){
		"a loan expires at the end of its term even if the borrower is partitioned": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			borrowUnits(s, borrower, 1)
			borrower.isPartitioned = true
			s.advance(simulatedTerm)
			s.tick(borrower)
			So(s.startJob(borrower), ShouldBeFalse)
			lender.ledger.Tick(s.now)
			So(s.startJob(lender), ShouldBeFalse)
			s.advance(simulatedMaxRunTime)
			lender.ledger.Tick(s.now)
			So(s.startJob(lender), ShouldBeTrue)
		},
		"the units of a silent borrower are counted until its own maximum run time has passed": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			borrower.setMaxRunTime(lowMaxRunTime)
			borrowUnits(s, borrower, 1)
			s.crash(borrower)
			s.advance(simulatedTerm + lowMaxRunTime - time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeFalse)
			s.advance(2 * time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
		},
		"work that was started under a higher maximum run time is counted until it must have ended": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			borrowUnits(s, borrower, 1)
			requested := borrower.ledger.lenders[lender.name].sent
			So(s.startJob(borrower), ShouldBeTrue)
			borrower.setMaxRunTime(lowMaxRunTime)
			s.step()
			s.crash(borrower)
			restarted := s.addMember()
			s.loadDocuments(restarted)
			restarted.setMaxRunTime(lowMaxRunTime)
			borrowUnits(s, restarted, 1)
			So(s.startJob(restarted), ShouldBeFalse)
			s.advance(requested.Add(simulatedTerm + simulatedMaxRunTime - time.Second).Sub(s.now))
			s.tick(lender)
			So(s.startJob(lender), ShouldBeFalse)
			s.advance(2 * time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
		},
		"after the maximum run time was raised, borrowed units are used once the lender has learnt of it": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			borrower.setMaxRunTime(lowMaxRunTime)
			borrowUnits(s, borrower, 1)
			permit := borrower.ledger.Account(resourceName).Acquire()
			borrower.setMaxRunTime(simulatedMaxRunTime)
			So(permit.IsValid(s.now, simulatedMaxRunTime), ShouldBeFalse)
			So(permit.IsValid(s.now, lowMaxRunTime), ShouldBeTrue)
			permit.Release()
			So(borrower.ledger.Account(resourceName).Acquire(), ShouldBeNil)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			s.step()
			So(s.startJob(borrower), ShouldBeTrue)
			s.crash(borrower)
			s.advance(simulatedTerm + lowMaxRunTime + time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeFalse)
		},
		"an answer covers the maximum run time of its request, not one that was raised meanwhile": func() {
			s, _, borrower := newLenderAndBorrower(1)
			borrower.setMaxRunTime(lowMaxRunTime)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			s.tick(borrower)
			reply := s.answerFirstWant()
			borrower.setMaxRunTime(simulatedMaxRunTime)
			borrower.ledger.ReceiveLend(reply)
			So(s.startJob(borrower), ShouldBeFalse)
		},
		"a borrower that does not state its maximum run time may have the largest known": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			lender.setMaxRunTime(lowMaxRunTime)
			_, ok := lender.ledger.ReceiveWant(s.now, Want{From: borrower.name, To: lender.name, Sequence: 1, Items: []WantItem{{Name: resourceName, Want: 1}}})
			So(ok, ShouldBeTrue)
			s.advance(simulatedTerm + simulatedMaxRunTime - time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeFalse)
			s.advance(2 * time.Second)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
		},
		"the term counts from when the units were requested": func() {
			s, _, borrower := newLenderAndBorrower(1)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			s.tick(borrower)
			reply := s.answerFirstWant()
			s.advance(simulatedTerm)
			borrower.ledger.ReceiveLend(reply)
			So(borrower.ledger.Account(resourceName).Free(), ShouldEqual, 0)
		},
		"a member that was paused acquires no units before its next tick": func() {
			s, lender, _ := newLenderAndBorrower(1)
			s.tick(lender)
			s.advance(simulatedPauseLimit + time.Millisecond)
			So(lender.ledger.Account(resourceName).Acquire(), ShouldBeNil)
			s.tick(lender)
			So(lender.ledger.Account(resourceName).Acquire(), ShouldNotBeNil)
		},
		"a permit is not valid after a pause beyond the limit": func() {
			s, lender, _ := newLenderAndBorrower(1)
			s.tick(lender)
			permit := lender.ledger.Account(resourceName).Acquire()
			s.advance(simulatedPauseLimit + time.Millisecond)
			So(permit.IsValid(s.now, simulatedMaxRunTime), ShouldBeFalse)
		},
		// The lender had used the unit again; the late renewal made the permit valid anew.
		"a permit of a loan that has lapsed stays invalid when the loan is renewed": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			borrowUnits(s, borrower, 1)
			permit := borrower.ledger.Account(resourceName).Acquire()
			So(permit, ShouldNotBeNil)
			s.advance(simulatedTerm + simulatedMaxRunTime)
			lender.ledger.Tick(s.now)
			So(s.startJob(lender), ShouldBeTrue)
			s.step()
			So(permit.IsValid(s.now, simulatedMaxRunTime), ShouldBeFalse)
		},
		"a permit stays valid while its loan is renewed in time": func() {
			s, _, borrower := newLenderAndBorrower(1)
			borrowUnits(s, borrower, 1)
			permit := borrower.ledger.Account(resourceName).Acquire()
			for begin := s.now; s.now.Sub(begin) < 3*simulatedTerm; {
				s.step()
			}
			So(permit.IsValid(s.now, simulatedMaxRunTime), ShouldBeTrue)
		},
		// The renewal lent the unit a second time, once its first work had been released.
		"units of a loan that has lapsed are not lent again while the lender uses them": func() {
			s, lender, borrower := newLenderAndBorrower(2)
			borrowUnits(s, borrower, 1)
			permit := borrower.ledger.Account(resourceName).Acquire()
			s.advance(simulatedTerm)
			s.tick(lender)
			s.advance(simulatedMaxRunTime)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
			So(s.startJob(lender), ShouldBeTrue)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			for range 20 {
				s.step()
			}
			permit.Release()
			So(s.startJob(borrower), ShouldBeFalse)
			s.endJob(0)
			for range 20 {
				s.step()
			}
			So(s.startJob(borrower), ShouldBeTrue)
		},
		"releasing a permit twice returns its unit once": func() {
			s, lender, _ := newLenderAndBorrower(2)
			s.tick(lender)
			first, second := lender.ledger.Account(resourceName).Acquire(), lender.ledger.Account(resourceName).Acquire()
			first.Release()
			first.Release()
			So(lender.ledger.Account(resourceName).Used(), ShouldEqual, 1)
			second.Release()
			So(lender.ledger.Account(resourceName).Used(), ShouldEqual, 0)
		},
	})
}

func TestLending(t *testing.T) {
	runCases(t, map[string]func(){
		"two members that request all units get half each": func() {
			s := newSimulation(2, 10)
			for _, m := range s.members {
				m.ledger.Account(resourceName).SetWaiting(10)
			}
			for range 10 {
				s.step()
			}
			for _, m := range s.members {
				So(m.ledger.Account(resourceName).Held(), ShouldEqual, 5)
			}
		},
		"a borrower with more than its fair share returns units as work ends": func() {
			s, lender, borrower := newLenderAndBorrower(4)
			borrowUnits(s, borrower, 4)
			for range 4 {
				So(s.startJob(borrower), ShouldBeTrue)
			}
			lender.ledger.Account(resourceName).SetWaiting(4)
			borrower.ledger.Account(resourceName).SetWaiting(4)
			s.step()
			s.endJob(0)
			s.endJob(0)
			for range 10 {
				s.step()
			}
			So(s.startJob(borrower), ShouldBeFalse)
			So(lender.ledger.Account(resourceName).Free(), ShouldEqual, 2)
		},
	})
}

func TestChangesAreSentPromptly(t *testing.T) {
	runCases(t, map[string]func(){
		"a new resource is requested without the backoff of earlier requests": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			for range 40 {
				s.step()
				s.jobs[0].started = s.now
			}
			So(borrower.ledger.lenders[lender.name].backoffFactor, ShouldEqual, MaxBackoffFactor)
			borrower.ledger.Account("other").SetWaiting(1)
			s.advance(stepDuration)
			So(borrower.ledger.Tick(s.now), ShouldNotBeEmpty)
		},
		"units that are not needed any longer are returned despite the backoff": func() {
			s, lender, borrower := newLenderAndBorrower(3)
			borrowUnits(s, borrower, 2)
			So(s.startJob(borrower), ShouldBeTrue)
			So(s.startJob(borrower), ShouldBeTrue)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
			borrower.ledger.Account(resourceName).SetWaiting(1)
			keepRunning := func() {
				s.step()
				for _, j := range s.jobs {
					j.started = s.now
				}
			}
			state := borrower.ledger.lenders[lender.name]
			for i, sent := 0, state.sent; i < 40 || state.sent.Equal(sent); i++ {
				sent = state.sent
				keepRunning()
			}
			s.endJob(0)
			borrower.ledger.Account(resourceName).SetWaiting(0)
			// The demand decays over several ticks before the unit is returned.
			for range 12 {
				keepRunning()
			}
			So(lender.ledger.Account(resourceName).Free(), ShouldEqual, 1)
		},
		"a member that stops lending gets all units back even if the borrower needs them": func() {
			s, lender, borrower := newLenderAndBorrower(4)
			borrowUnits(s, borrower, 4)
			for range 4 {
				So(s.startJob(borrower), ShouldBeTrue)
			}
			borrower.ledger.Account(resourceName).SetWaiting(4)
			lender.ledger.StopLending()
			for i := 0; !lender.ledger.IsIdle(); i++ {
				So(i, ShouldBeLessThan, 100)
				s.step()
				if len(s.jobs) > 0 {
					s.endJob(0)
					s.startJob(borrower)
				}
			}
			So(borrower.ledger.Account(resourceName).Held(), ShouldEqual, 0)
		},
		// Such a claim kept other members from a part of the limit after the borrower
		// had left.
		"a member that has stopped borrowing leaves no unmet claim": func() {
			s, lender, borrower := newLenderAndBorrower(1)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
			borrowUnits(s, borrower, 1)
			So(lender.ledger.Account(resourceName).lent, ShouldContainKey, borrower.name)
			borrower.ledger.StopBorrowing()
			for i := 0; borrower.ledger.IsBorrowing(); i++ {
				So(i, ShouldBeLessThan, 100)
				s.step()
			}
			So(lender.ledger.Account(resourceName).lent, ShouldBeEmpty)
		},
		"the unmet claim of a silent member ends with its term": func() {
			s, lender, borrower := newLenderAndBorrower(2)
			s.tick(lender)
			So(s.startJob(lender), ShouldBeTrue)
			So(s.startJob(lender), ShouldBeTrue)
			borrowUnits(s, borrower, 2)
			So(lender.ledger.Account(resourceName).lent, ShouldContainKey, borrower.name)
			borrower.isPartitioned = true
			s.advance(simulatedTerm + time.Second)
			s.tick(lender)
			So(lender.ledger.Account(resourceName).lent, ShouldBeEmpty)
		},
		"the state of silent members is dropped, and a returning one can borrow again": func() {
			s, lender, borrower := newLenderAndBorrower(4)
			borrowUnits(s, borrower, 4)
			borrower.ledger.Account(resourceName).SetWaiting(0)
			for range 20 {
				s.step()
			}
			s.advance(2 * peerRetention)
			for range 3 {
				s.step()
			}
			So(lender.ledger.borrowers, ShouldBeEmpty)
			So(borrower.ledger.lenders, ShouldBeEmpty)
			So(borrower.ledger.Account(resourceName).hints, ShouldBeEmpty)
			// After the long pause the lender is suspect: its share is 0 until it
			// loads the documents again.
			s.loadDocuments(lender)
			borrowUnits(s, borrower, 4)
			So(borrower.ledger.Account(resourceName).Held(), ShouldEqual, 4)
		},
		"an idle borrower returns all units": func() {
			s, lender, borrower := newLenderAndBorrower(4)
			borrowUnits(s, borrower, 4)
			So(borrower.ledger.Account(resourceName).Held(), ShouldEqual, 4)
			borrower.ledger.Account(resourceName).SetWaiting(0)
			for range 20 {
				s.step()
			}
			So(lender.ledger.Account(resourceName).Free(), ShouldEqual, 4)
			So(borrower.ledger.Account(resourceName).Held(), ShouldEqual, 0)
		},
	})
}

// runCases runs each case as a Convey scope with its name.
func runCases(t *testing.T, cases map[string]func()) {
	t.Helper()
	for name, check := range cases {
		Convey("Case: "+name, t, check)
	}
}

// answerFirstWant passes the first Want in flight to the first member and returns
// the reply without delivering it.
func (s *simulation) answerFirstWant() Lend {
	for _, message := range s.inFlight {
		if want, ok := message.(Want); ok {
			reply, _ := s.members[0].ledger.ReceiveWant(s.now, want)
			return reply
		}
	}
	return Lend{}
}

// measureBorrowing lets one member request all units while the others request
// none. It returns how many steps it took until all were in use, at most 100, and
// how many messages were sent for it, not counting reports.
func measureBorrowing(members int, limit uint32) (steps, messages int) {
	s := newSimulation(members, limit)
	s.step()
	s.sentCount = 0
	first := s.members[0]
	account := first.ledger.Account(resourceName)
	for steps < 100 && account.Used() < limit {
		account.SetWaiting(int(limit - account.Used()))
		s.step()
		steps++
		for s.startJob(first) {
			continue
		}
		for _, j := range s.jobs {
			j.started = s.now
		}
	}
	return steps, s.sentCount - steps*members*(members-1)
}

func TestOneTeamAloneReachesItsLimit(t *testing.T) {
	cases := map[string]struct {
		members int
		limit   uint32
	}{
		"two members, few units":   {2, 2},
		"eight members, few units": {8, 5},
		"eight members, many":      {8, 1000},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			steps, messages := measureBorrowing(c.members, c.limit)
			Printf("%d steps of %s, %d messages ", steps, stepDuration, messages)
			// Two requests to each lender suffice: one to learn how many units it
			// can spare, one to borrow them.
			So(steps, ShouldBeLessThanOrEqualTo, 3)
			So(messages, ShouldBeLessThanOrEqualTo, 4*(c.members-1))
		})
	}
}

func TestSlicesAddUp(t *testing.T) {
	Convey("The slices of any table add up to any limit", t, func() {
		for members := 1; members <= 9; members++ {
			table := NewEqualTable(1, newSimulation(members, 1).names())
			for limit := range uint32(200) {
				sum := uint32(0)
				for name := range table.Slices {
					sum += table.Units(name, limit)
				}
				So(sum, ShouldEqual, limit)
			}
		}
	})
}
