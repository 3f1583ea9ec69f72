package units

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// round is how much time one step of a scenario takes.
const round = 200 * time.Millisecond

// pair returns a lender that owns all units and a borrower that owns none.
func pair(limit uint32) (w *world, lender, borrower *worldMember) {
	w = newWorld(1, limit)
	lender = w.members[0]
	borrower = w.join()
	w.observe(borrower)
	return w, lender, borrower
}

// borrow lets the borrower take all units on loan.
func borrow(w *world, borrower *worldMember, count int) {
	borrower.ledger.Account(teamName).SetWaiting(count)
	w.step()
	w.step()
}

func TestTerms(t *testing.T) {
	runCases(t, map[string]func(){
		"a loan ends with its term, also while the borrower is cut off": func() {
			w, lender, borrower := pair(1)
			borrow(w, borrower, 1)
			borrower.isCut = true
			w.advance(worldTerm)
			w.tick(borrower)
			So(w.start(borrower), ShouldBeFalse)
			lender.ledger.Tick(w.now)
			So(w.start(lender), ShouldBeFalse)
			w.advance(worldLongest)
			lender.ledger.Tick(w.now)
			So(w.start(lender), ShouldBeTrue)
		},
		"the term counts from when the units were asked for": func() {
			w, _, borrower := pair(1)
			borrower.ledger.Account(teamName).SetWaiting(1)
			w.tick(borrower)
			answer := w.takeLend()
			w.advance(worldTerm)
			borrower.ledger.ReceiveLend(answer)
			So(borrower.ledger.Account(teamName).Free(), ShouldEqual, 0)
		},
		"a member that was paused starts nothing before it has ticked": func() {
			w, lender, _ := pair(1)
			w.tick(lender)
			w.advance(worldPause + time.Millisecond)
			So(lender.ledger.Account(teamName).Acquire(), ShouldBeNil)
			w.tick(lender)
			So(lender.ledger.Account(teamName).Acquire(), ShouldNotBeNil)
		},
		"a permit held over a pause is no longer valid": func() {
			w, lender, _ := pair(1)
			w.tick(lender)
			permit := lender.ledger.Account(teamName).Acquire()
			w.advance(worldPause + time.Millisecond)
			So(permit.IsValid(w.now), ShouldBeFalse)
		},
		"a permit is given back once, however often it is released": func() {
			w, lender, _ := pair(2)
			w.tick(lender)
			first, second := lender.ledger.Account(teamName).Acquire(), lender.ledger.Account(teamName).Acquire()
			first.Release()
			first.Release()
			So(lender.ledger.Account(teamName).Used(), ShouldEqual, 1)
			second.Release()
			So(lender.ledger.Account(teamName).Used(), ShouldEqual, 0)
		},
	})
}

func TestTrade(t *testing.T) {
	runCases(t, map[string]func(){
		"two members that both ask get half each": func() {
			w := newWorld(2, 10)
			for _, m := range w.members {
				m.ledger.Account(teamName).SetWaiting(10)
			}
			for range 10 {
				w.step()
			}
			for _, m := range w.members {
				So(m.ledger.Account(teamName).Held(), ShouldEqual, 5)
			}
		},
		"units lent to a member that has more than its part come back as work ends": func() {
			w, lender, borrower := pair(4)
			borrow(w, borrower, 4)
			for range 4 {
				So(w.start(borrower), ShouldBeTrue)
			}
			lender.ledger.Account(teamName).SetWaiting(4)
			borrower.ledger.Account(teamName).SetWaiting(4)
			w.step()
			w.end(0)
			w.end(0)
			for range 10 {
				w.step()
			}
			So(w.start(borrower), ShouldBeFalse)
			So(lender.ledger.Account(teamName).Free(), ShouldEqual, 2)
		},
	})
}

func TestChangesAreToldSoon(t *testing.T) {
	runCases(t, map[string]func(){
		"after a time of vain asking, what was not wanted before is asked for at once": func() {
			w, lender, borrower := pair(1)
			w.tick(lender)
			So(w.start(lender), ShouldBeTrue)
			borrower.ledger.Account(teamName).SetWaiting(1)
			for range 40 {
				w.step()
				w.jobs[0].started = w.now
			}
			So(borrower.ledger.lenders[lender.name].backoffFactor, ShouldEqual, MaxBackoff)
			borrower.ledger.Account("other").SetWaiting(1)
			w.advance(round)
			So(borrower.ledger.Tick(w.now), ShouldNotBeEmpty)
		},
		"and what is not needed any longer is given back soon": func() {
			w, lender, borrower := pair(3)
			borrow(w, borrower, 2)
			So(w.start(borrower), ShouldBeTrue)
			So(w.start(borrower), ShouldBeTrue)
			w.tick(lender)
			So(w.start(lender), ShouldBeTrue)
			borrower.ledger.Account(teamName).SetWaiting(1)
			keepRunning := func() {
				w.step()
				for _, j := range w.jobs {
					j.started = w.now
				}
			}
			link := borrower.ledger.lenders[lender.name]
			for i, sent := 0, link.sent; i < 40 || link.sent.Equal(sent); i++ {
				sent = link.sent
				keepRunning()
			}
			w.end(0)
			borrower.ledger.Account(teamName).SetWaiting(0)
			// The demand that is remembered has to fade before.
			for range 12 {
				keepRunning()
			}
			So(lender.ledger.Account(teamName).Free(), ShouldEqual, 1)
		},
		"a member that withdraws gets everything back, though it is wanted": func() {
			w, lender, borrower := pair(4)
			borrow(w, borrower, 4)
			for range 4 {
				So(w.start(borrower), ShouldBeTrue)
			}
			borrower.ledger.Account(teamName).SetWaiting(4)
			lender.ledger.Withdraw()
			for i := 0; !lender.ledger.IsIdle(); i++ {
				So(i, ShouldBeLessThan, 100)
				w.step()
				if len(w.jobs) > 0 {
					w.end(0)
					w.start(borrower)
				}
			}
			So(borrower.ledger.Account(teamName).Held(), ShouldEqual, 0)
		},
		"members that are gone are forgotten, and one that comes back is heard": func() {
			w, lender, borrower := pair(4)
			borrow(w, borrower, 4)
			borrower.ledger.Account(teamName).SetWaiting(0)
			for range 20 {
				w.step()
			}
			w.advance(2 * peerRetention)
			for range 3 {
				w.step()
			}
			So(lender.ledger.borrowers, ShouldBeEmpty)
			So(borrower.ledger.lenders, ShouldBeEmpty)
			So(borrower.ledger.Account(teamName).hints, ShouldBeEmpty)
			// The long silence has made the lender doubt its slice.
			w.observe(lender)
			borrow(w, borrower, 4)
			So(borrower.ledger.Account(teamName).Held(), ShouldEqual, 4)
		},
		"an idle borrower gives everything back": func() {
			w, lender, borrower := pair(4)
			borrow(w, borrower, 4)
			So(borrower.ledger.Account(teamName).Held(), ShouldEqual, 4)
			borrower.ledger.Account(teamName).SetWaiting(0)
			for range 20 {
				w.step()
			}
			So(lender.ledger.Account(teamName).Free(), ShouldEqual, 4)
			So(borrower.ledger.Account(teamName).Held(), ShouldEqual, 0)
		},
	})
}

// runCases runs every case under its name.
func runCases(t *testing.T, cases map[string]func()) {
	t.Helper()
	for name, check := range cases {
		Convey("Case: "+name, t, check)
	}
}

// takeLend lets the first member answer the want in the bag and returns the
// answer without delivering it.
func (w *world) takeLend() Lend {
	for _, message := range w.bag {
		if want, ok := message.(Want); ok {
			answer, _ := w.members[0].ledger.ReceiveWant(w.now, want)
			return answer
		}
	}
	return Lend{}
}

// reachLimit lets one member alone ask for everything and returns after how
// many rounds it has it and how many messages that took.
func reachLimit(members int, limit uint32) (rounds, messages int) {
	w := newWorld(members, limit)
	w.step()
	w.sent = 0
	first := w.members[0]
	account := first.ledger.Account(teamName)
	for rounds < 100 && account.Used() < limit {
		account.SetWaiting(int(limit - account.Used()))
		w.step()
		rounds++
		for w.start(first) {
			continue
		}
		for _, j := range w.jobs {
			j.started = w.now
		}
	}
	return rounds, w.sent - rounds*members*(members-1)
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
			rounds, messages := reachLimit(c.members, c.limit)
			Printf("%d rounds of %s, %d messages ", rounds, round, messages)
			// Asking everyone twice is enough: once to learn who has units to
			// spare, once to take them.
			So(rounds, ShouldBeLessThanOrEqualTo, 3)
			So(messages, ShouldBeLessThanOrEqualTo, 4*(c.members-1))
		})
	}
}

func TestSlicesAddUp(t *testing.T) {
	Convey("The slices of any table add up to any limit", t, func() {
		for members := 1; members <= 9; members++ {
			table := Split(1, newWorld(members, 1).names())
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
