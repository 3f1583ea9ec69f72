package units

import (
	"slices"
	"time"
)

const (
	// renewalsPerTerm is how often a loan is renewed within its term.
	renewalsPerTerm = 3
	// maxReturnBackoffFactor bounds the same for giving units back.
	maxReturnBackoffFactor = 4
	// MaxBackoff bounds how many times the interval grows while nothing is gained.
	MaxBackoff = 16
	// peerRetention is how long a silent member is remembered.
	peerRetention = time.Hour
	// hintLifetime is how long what a lender said that it could spare is believed.
	hintLifetime = 2 * time.Second
	// demandDecayFactor is the part of its demand that an account keeps per tick.
	demandDecayFactor = 0.875
)

// lenderState is the state of this member's wants towards one lender.
type lenderState struct {
	sequence      uint64
	isOutstanding bool
	sent          time.Time
	renewed       time.Time
	backoffFactor time.Duration
	isIdle        bool
	// items are those of the newest want.
	items []WantItem
}

// Tick moves the ledger to the given time and returns the wants to be sent.
// It is called several times a second.
func (l *Ledger) Tick(now time.Time) (wants []Want) {
	l.mu.Lock()
	defer l.mu.Unlock()
	items := make(map[string][]WantItem)
	pending := make(map[string]change)
	for _, a := range l.accounts {
		if a.isSelfSufficient() {
			continue
		}
		a.expireLendings(now, time.Duration(l.maxRunTime.Load()))
		l.plan(now, a, items, pending)
	}
	l.lastTick.Store(max(int64(now.Sub(l.created)), 1))
	l.dropStale(now)
	for _, lender := range l.lenderNames(items) {
		if want, ok := l.nextWant(now, lender, items[lender], pending[lender]); ok {
			wants = append(wants, want)
		}
	}
	return wants
}

// dropStale drops what is known of members that were silent for long. They are
// most likely gone: a new process has a new name.
func (l *Ledger) dropStale(now time.Time) {
	for name, k := range l.lenders {
		if k.isIdle && now.Sub(k.sent) > peerRetention {
			delete(l.lenders, name)
		}
	}
	for name, box := range l.borrowers {
		if now.Sub(box.received) > peerRetention+l.Recovery() {
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

// change says how much a want differs from what its lender knows.
type change int

const (
	// changeNone tells that nothing has changed but that loans may be due for
	// renewal.
	changeNone change = iota
	// changeMore tells that more is wanted than was lent.
	changeMore
	// changeReturn tells that units are given back.
	changeReturn
	// changeNewResource tells that a resource is wanted that was not before.
	changeNewResource
)

// lenderNames returns everyone to whom there is, or was, something to say.
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

// nextWant makes the next want for a lender if one is due.
func (l *Ledger) nextWant(now time.Time, lender string, items []WantItem, how change) (want Want, ok bool) {
	k := l.lenders[lender]
	if k == nil {
		// Sequences start at the time, so that they still go up if the link
		// was forgotten before.
		k = &lenderState{isIdle: true, backoffFactor: 1, sequence: uint64(now.Sub(l.created))}
		l.lenders[lender] = k
	}
	if k.isOutstanding && now.Sub(k.sent) < l.config.Timeout {
		return Want{}, false
	}
	if !l.isDue(now, k, items, how) {
		return Want{}, false
	}
	k.sequence++
	k.isOutstanding = true
	k.sent = now
	k.isIdle = false
	k.items = items
	return Want{From: l.config.Self, To: lender, Sequence: k.sequence, Items: items}, true
}

func (l *Ledger) isDue(now time.Time, k *lenderState, items []WantItem, how change) bool {
	if len(items) == 0 {
		return !k.isIdle
	}
	interval := l.config.Term / renewalsPerTerm
	switch how {
	case changeNewResource:
		interval = l.config.Interval
	case changeReturn:
		interval = l.config.Interval * min(k.backoffFactor, maxReturnBackoffFactor)
	case changeMore:
		interval = l.config.Interval * k.backoffFactor
	case changeNone:
		return now.Sub(k.renewed) >= interval
	}
	return now.Sub(k.sent) >= interval
}

// plan adds what the account wants to the items of each lender, and marks
// those lenders from which something changes.
func (l *Ledger) plan(now time.Time, a *Account, items map[string][]WantItem, pending map[string]change) {
	waiting := uint32(max(a.waiting.Load(), 0))
	current := float64(a.Used() + waiting)
	a.demand = max(current, a.demand*demandDecayFactor)
	limit, used := a.owned.load()
	need := saturatingSub(uint32(a.demand), max(limit, used))

	lenders := a.lenders
	if lenders == nil {
		lenders = l.peers
	}
	wanted := a.distribute(now, lenders, need)
	for _, loan := range *a.loans.Load() {
		keep := wanted[loan.lender]
		if !l.isBefore(now, &loan.expiry) {
			keep = 0
		}
		hold := loan.units.lowerLimit(keep)
		if hold == 0 && wanted[loan.lender] == 0 {
			if loan.lenderCount > 0 {
				pending[loan.lender] = max(pending[loan.lender], changeReturn)
			}
			continue
		}
		want := max(wanted[loan.lender], hold)
		items[loan.lender] = append(items[loan.lender], WantItem{Name: a.name, Hold: hold, Want: want})
		pending[loan.lender] = max(pending[loan.lender], classifyHold(loan.lenderCount, hold, want))
		delete(wanted, loan.lender)
	}
	for lender, want := range wanted {
		if want > 0 && l.findLoan(a, lender) == nil {
			items[lender] = append(items[lender], WantItem{Name: a.name, Want: want})
			pending[lender] = max(pending[lender], l.classifyUnheld(lender, a.name))
		}
	}
	a.dropEmptyLoans()
}

func classifyHold(told, hold, want uint32) change {
	switch {
	case told > hold:
		return changeReturn
	case want > hold:
		return changeMore
	}
	return changeNone
}

// classifyUnheld tells whether the last want asked the lender for the resource.
func (l *Ledger) classifyUnheld(lender, name string) change {
	k := l.lenders[lender]
	if k != nil && slices.ContainsFunc(k.items, func(item WantItem) bool { return item.Name == name }) {
		return changeMore
	}
	return changeNewResource
}

func (l *Ledger) findLoan(a *Account, lender string) *loan {
	for _, loan := range *a.loans.Load() {
		if loan.lender == lender {
			return loan
		}
	}
	return nil
}

// distribute divides the need among the lenders: units already held first, then
// those known to be spare. What is still missing is asked of the lenders that
// have not told lately what they can spare, at least one unit of each, or
// evenly of all.
func (a *Account) distribute(now time.Time, lenders []string, need uint32) map[string]uint32 {
	wanted := make(map[string]uint32, len(lenders))
	for _, loan := range *a.loans.Load() {
		held, used := loan.units.load()
		kept := min(max(held, used), need)
		wanted[loan.lender] = kept
		need -= kept
	}
	var silent []string
	for _, lender := range lenders {
		h, ok := a.hints[lender]
		if !ok || now.Sub(h.at) > hintLifetime {
			silent = append(silent, lender)
			continue
		}
		extra := min(h.spare, need)
		wanted[lender] += extra
		need -= extra
	}
	if len(silent) == 0 {
		silent = lenders
	}
	if need > 0 && len(silent) > 0 {
		each := (need-1)/uint32(len(silent)) + 1
		for _, lender := range silent {
			wanted[lender] += each
		}
	}
	return wanted
}

func nextBackoffFactor(current time.Duration, gained bool) time.Duration {
	if gained {
		return 1
	}
	return min(current*2, MaxBackoff)
}
