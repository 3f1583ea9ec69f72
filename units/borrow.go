package units

import (
	"slices"
	"time"
)

const (
	// renewalsPerTerm is how many times a loan is renewed within its term.
	renewalsPerTerm = 3
	// maxReturnBackoffFactor limits the backoff factor for a Want that returns
	// units. It is lower than MaxBackoffFactor so that lenders get units back soon.
	maxReturnBackoffFactor = 4
	// MaxBackoffFactor is the largest factor by which Config.Interval grows while
	// replies change nothing.
	MaxBackoffFactor = 16
	// peerRetention is how long the state of another member is kept after the last
	// Want to it or from it.
	peerRetention = time.Hour
	// hintLifetime is how long a reported number of spare units is used.
	hintLifetime = 2 * time.Second
	// demandDecayFactor is the fraction of its demand that an account retains per
	// tick, so that units are not returned at the first dip of the demand.
	demandDecayFactor = 0.875
)

// lenderState is the state of this member's requests to one lender.
type lenderState struct {
	// sequence, sent and items are those of the newest Want.
	sequence uint64
	// isOutstanding is true until the newest Want has been answered.
	isOutstanding bool
	sent          time.Time
	// renewed is when the newest answered Want was sent, or the first one if none was
	// answered.
	renewed time.Time
	// backoffFactor multiplies Config.Interval. It is a plain number, not a time.
	backoffFactor time.Duration
	// isIdle is true if the lender has answered a Want without items, or was
	// never sent a Want: nothing is borrowed or requested from it.
	isIdle bool
	items  []WantItem
	// maxRunTime is that of the newest Want, answeredRunTime that of the newest
	// answered one.
	maxRunTime      time.Duration
	answeredRunTime time.Duration
}

// Tick updates the accounts for the given time and returns the Wants to send, at
// most one per lender. Call it several times a second: after a pause longer than
// Config.PauseLimit no units can be acquired until the next call.
func (l *Ledger) Tick(now time.Time) (wants []Want) {
	l.mu.Lock()
	defer l.mu.Unlock()
	items := make(map[string][]WantItem)
	changes := make(map[string]change)
	for _, a := range l.accounts {
		if a.isSelfSufficient() {
			continue
		}
		a.expireLendings(now)
		l.plan(now, a, items, changes)
	}
	l.lastTick.Store(max(int64(now.Sub(l.created)), 1))
	l.dropStale(now)
	for _, lender := range l.lenderNames(items) {
		if want, ok := l.nextWant(now, lender, items[lender], changes[lender]); ok {
			wants = append(wants, want)
		}
	}
	return wants
}

// dropStale drops the state of members with which no Want has been exchanged for
// long, and hints that have expired. The processes of such members have most likely
// ended; a restarted process has a new name.
func (l *Ledger) dropStale(now time.Time) {
	for name, s := range l.lenders {
		if s.isIdle && now.Sub(s.sent) > peerRetention {
			delete(l.lenders, name)
		}
	}
	for name, b := range l.borrowers {
		if now.Sub(b.received) > peerRetention+l.RecoveryTime() {
			delete(l.borrowers, name)
		}
	}
	for _, a := range l.accounts {
		for lender, h := range a.hints {
			if now.Sub(h.at) > hintLifetime {
				delete(a.hints, lender)
			}
		}
	}
}

// change classifies how a Want differs from the state known to its lender. If
// several apply, the highest value decides when the Want is sent.
type change int

const (
	// changeNone means that nothing has changed; only renewals can be due.
	changeNone change = iota
	// changeMore means that more units are requested than were lent.
	changeMore
	// changeReturn means that units are returned.
	changeReturn
	// changeNewResource means that the previous Want had no item for a resource.
	changeNewResource
	// changeRunTime means that the maximum run time differs from the one that the
	// lender has last answered.
	changeRunTime
)

// lenderNames returns the names of all lenders that have items now or have state
// from earlier Wants, sorted.
func (l *Ledger) lenderNames(items map[string][]WantItem) []string {
	names := make([]string, 0, len(items)+len(l.lenders))
	for name := range items {
		names = append(names, name)
	}
	for name := range l.lenders {
		if _, ok := items[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// nextWant returns the next Want for a lender if one is due. While a Want is
// outstanding, the next one is not sent before Config.Timeout has passed.
func (l *Ledger) nextWant(now time.Time, lender string, items []WantItem, kind change) (want Want, ok bool) {
	s := l.lenders[lender]
	if s == nil {
		// Sequences start at the current time in nanoseconds, so that they
		// increase even if the state of this lender was dropped before.
		s = &lenderState{isIdle: true, backoffFactor: 1, renewed: now, sequence: uint64(now.Sub(l.created))}
		l.lenders[lender] = s
	}
	if s.isOutstanding && now.Sub(s.sent) < l.config.Timeout {
		return Want{}, false
	}
	maxRunTime := time.Duration(l.maxRunTime.Load())
	if maxRunTime != s.answeredRunTime {
		kind = changeRunTime
	}
	if !l.isDue(now, s, items, kind) {
		return Want{}, false
	}
	s.sequence++
	s.isOutstanding = true
	s.sent = now
	s.isIdle = false
	s.items = items
	s.maxRunTime = maxRunTime
	return Want{From: l.config.Self, To: lender, Sequence: s.sequence, MaxRunTime: maxRunTime, Items: items}, true
}

// isDue returns whether a Want with these items is due: as a renewal if nothing
// has changed, else after an interval that depends on the kind of change. A Want
// without items reports that nothing is held; it is due until one has been answered.
func (l *Ledger) isDue(now time.Time, s *lenderState, items []WantItem, kind change) bool {
	if len(items) == 0 {
		return !s.isIdle
	}
	interval := l.config.Term / renewalsPerTerm
	switch kind {
	case changeNewResource, changeRunTime:
		interval = l.config.Interval
	case changeReturn:
		interval = l.config.Interval * min(s.backoffFactor, maxReturnBackoffFactor)
	case changeMore:
		interval = l.config.Interval * s.backoffFactor
	case changeNone:
		return now.Sub(s.renewed) >= interval
	}
	return now.Sub(s.sent) >= interval
}

// plan updates the demand of the account, returns borrowed units that are not
// needed or whose loan has expired, unless they are in use, and adds the
// resulting items and kinds of change by lender.
func (l *Ledger) plan(now time.Time, a *Account, items map[string][]WantItem, changes map[string]change) {
	waiting := uint32(max(a.waiting.Load(), 0))
	current := float64(a.Used() + waiting)
	a.demand = max(current, a.demand*demandDecayFactor)
	if l.isBorrowingStopped {
		a.demand = 0
	}
	limit, used := a.owned.load()
	need := saturatingSub(uint32(a.demand), max(limit, used))

	lenders := a.lenders
	if lenders == nil {
		lenders = l.peers
	}
	wanted := a.distribute(now, lenders, need)
	for _, loan := range *a.loans.Load() {
		keep := wanted[loan.lender]
		if !l.isUnexpired(now, &loan.expiry) {
			keep = 0
		}
		hold := loan.units.lowerLimit(keep)
		if hold == 0 && wanted[loan.lender] == 0 {
			if loan.lenderCount > 0 {
				changes[loan.lender] = max(changes[loan.lender], changeReturn)
			}
			continue
		}
		want := max(wanted[loan.lender], hold)
		items[loan.lender] = append(items[loan.lender], WantItem{Name: a.name, Hold: hold, Want: want})
		changes[loan.lender] = max(changes[loan.lender], classifyHold(loan.lenderCount, hold, want))
		delete(wanted, loan.lender)
	}
	for lender, want := range wanted {
		if want > 0 && l.findLoan(a, lender) == nil {
			items[lender] = append(items[lender], WantItem{Name: a.name, Want: want})
			changes[lender] = max(changes[lender], l.classifyUnheld(lender, a.name))
		}
	}
	a.dropEmptyLoans()
}

// classifyHold returns the kind of change for a resource of which the borrower
// holds units or has a loan.
func classifyHold(lenderCount, hold, want uint32) change {
	switch {
	case lenderCount > hold:
		return changeReturn
	case want > hold:
		return changeMore
	}
	return changeNone
}

// classifyUnheld returns the kind of change for a resource without a loan. It
// depends on whether the previous Want to the lender requested the resource.
func (l *Ledger) classifyUnheld(lender, name string) change {
	s := l.lenders[lender]
	if s != nil && slices.ContainsFunc(s.items, func(item WantItem) bool { return item.Name == name }) {
		return changeMore
	}
	return changeNewResource
}

// findLoan returns the loan of the account from the lender, or nil.
func (l *Ledger) findLoan(a *Account, lender string) *loan {
	for _, loan := range *a.loans.Load() {
		if loan.lender == lender {
			return loan
		}
	}
	return nil
}

// distribute returns how many units to request from each lender to cover the
// need: first the units already held, then those reported as spare, in the
// order of lenders. The rest is divided evenly, rounded up, among the lenders
// without a current hint, or among all if every lender has one.
func (a *Account) distribute(now time.Time, lenders []string, need uint32) map[string]uint32 {
	wanted := make(map[string]uint32, len(lenders))
	for _, loan := range *a.loans.Load() {
		held, used := loan.units.load()
		kept := min(max(held, used), need)
		wanted[loan.lender] = kept
		need -= kept
	}
	var unhinted []string
	for _, lender := range lenders {
		h, ok := a.hints[lender]
		if !ok || now.Sub(h.at) > hintLifetime {
			unhinted = append(unhinted, lender)
			continue
		}
		extra := min(h.spare, need)
		wanted[lender] += extra
		need -= extra
	}
	if len(unhinted) == 0 {
		unhinted = lenders
	}
	if need > 0 && len(unhinted) > 0 {
		each := (need-1)/uint32(len(unhinted)) + 1
		for _, lender := range unhinted {
			wanted[lender] += each
		}
	}
	return wanted
}

// nextBackoffFactor resets the factor if the last reply changed a loan, and
// doubles it, up to MaxBackoffFactor, if not.
func nextBackoffFactor(current time.Duration, isChanged bool) time.Duration {
	if isChanged {
		return 1
	}
	return min(current*2, MaxBackoffFactor)
}
