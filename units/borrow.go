package units

import (
	"slices"
	"time"
)

const (
	// renewals is how often a loan is renewed within its term.
	renewals = 3
	// returnBackoff bounds the same for giving units back.
	returnBackoff = 4
	// MaxBackoff bounds how many times the interval grows while nothing is gained.
	MaxBackoff = 16
	// forgetAge is how long a silent member is remembered.
	forgetAge = time.Hour
	// hintAge is how long what a lender said that it could spare is believed.
	hintAge = 2 * time.Second
	// demandDecay is the part of its demand that an account keeps per tick.
	demandDecay = 0.875
)

// link is the state of this member's wants towards one lender.
type link struct {
	sequence    uint64
	outstanding bool
	sent        time.Time
	renewed     time.Time
	backoff     time.Duration
	isIdle      bool
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
		if a.isQuiet() {
			continue
		}
		a.expire(now, time.Duration(l.longest.Load()))
		l.plan(now, a, items, pending)
	}
	l.ticked.Store(max(int64(now.Sub(l.epoch)), 1))
	l.forget(now)
	for _, lender := range l.lenders(items) {
		if want, ok := l.compose(now, lender, items[lender], pending[lender]); ok {
			wants = append(wants, want)
		}
	}
	return wants
}

// forget drops what is known of members that were silent for long. They are
// most likely gone: a new process has a new name.
func (l *Ledger) forget(now time.Time) {
	for name, k := range l.links {
		if k.isIdle && now.Sub(k.sent) > forgetAge {
			delete(l.links, name)
		}
	}
	for name, box := range l.borrowers {
		if now.Sub(box.received) > forgetAge+l.Recovery() {
			delete(l.borrowers, name)
		}
	}
	for _, a := range l.accounts {
		for lender, h := range a.hints {
			if now.Sub(h.at) > hintAge {
				delete(a.hints, lender)
			}
		}
	}
}

// change says how much a want differs from what its lender knows.
type change int

const (
	// steady tells that nothing has changed but that loans may be due for
	// renewal.
	steady change = iota
	// lacking tells that more is wanted than was lent.
	lacking
	// returning tells that units are given back.
	returning
	// beginning tells that a resource is wanted that was not before.
	beginning
)

// lenders returns everyone to whom there is, or was, something to say.
func (l *Ledger) lenders(items map[string][]WantItem) []string {
	names := make([]string, 0, len(items)+len(l.links))
	for name := range items {
		names = append(names, name)
	}
	for name := range l.links {
		if _, ok := items[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// compose makes the next want for a lender if one is due.
func (l *Ledger) compose(now time.Time, lender string, items []WantItem, how change) (want Want, ok bool) {
	k := l.links[lender]
	if k == nil {
		// Sequences start at the time, so that they still go up if the link
		// was forgotten before.
		k = &link{isIdle: true, backoff: 1, sequence: uint64(now.Sub(l.epoch))}
		l.links[lender] = k
	}
	if k.outstanding && now.Sub(k.sent) < l.config.Timeout {
		return Want{}, false
	}
	if !l.isDue(now, k, items, how) {
		return Want{}, false
	}
	k.sequence++
	k.outstanding = true
	k.sent = now
	k.isIdle = false
	k.items = items
	return Want{From: l.config.Self, To: lender, Sequence: k.sequence, Items: items}, true
}

func (l *Ledger) isDue(now time.Time, k *link, items []WantItem, how change) bool {
	if len(items) == 0 {
		return !k.isIdle
	}
	interval := l.config.Term / renewals
	switch how {
	case beginning:
		interval = l.config.Interval
	case returning:
		interval = l.config.Interval * min(k.backoff, returnBackoff)
	case lacking:
		interval = l.config.Interval * k.backoff
	case steady:
		return now.Sub(k.renewed) >= interval
	}
	return now.Sub(k.sent) >= interval
}

// plan adds what the account wants to the items of each lender, and marks
// those lenders from which something changes.
func (l *Ledger) plan(now time.Time, a *Account, items map[string][]WantItem, pending map[string]change) {
	waiting := uint32(max(a.waiting.Load(), 0))
	current := float64(a.Used() + waiting)
	a.demand = max(current, a.demand*demandDecay)
	limit, used := a.own.load()
	need := saturatingSub(uint32(a.demand), max(limit, used))

	lenders := a.lenders
	if lenders == nil {
		lenders = l.peers
	}
	wanted := a.spread(now, lenders, need)
	for _, loan := range *a.loans.Load() {
		keep := wanted[loan.lender]
		if !l.isBefore(now, &loan.until) {
			keep = 0
		}
		hold := loan.units.lower(keep)
		if hold == 0 && wanted[loan.lender] == 0 {
			if loan.told > 0 {
				pending[loan.lender] = max(pending[loan.lender], returning)
			}
			continue
		}
		want := max(wanted[loan.lender], hold)
		items[loan.lender] = append(items[loan.lender], WantItem{Name: a.name, Hold: hold, Want: want})
		pending[loan.lender] = max(pending[loan.lender], compareHold(loan.told, hold, want))
		delete(wanted, loan.lender)
	}
	for lender, want := range wanted {
		if want > 0 && l.loanOf(a, lender) == nil {
			items[lender] = append(items[lender], WantItem{Name: a.name, Want: want})
			pending[lender] = max(pending[lender], l.compareAsked(lender, a.name))
		}
	}
	a.dropLoans()
}

func compareHold(told, hold, want uint32) change {
	switch {
	case told > hold:
		return returning
	case want > hold:
		return lacking
	}
	return steady
}

// compareAsked tells whether the last want asked the lender for the resource.
func (l *Ledger) compareAsked(lender, name string) change {
	k := l.links[lender]
	if k != nil && slices.ContainsFunc(k.items, func(item WantItem) bool { return item.Name == name }) {
		return lacking
	}
	return beginning
}

func (l *Ledger) loanOf(a *Account, lender string) *loan {
	for _, loan := range *a.loans.Load() {
		if loan.lender == lender {
			return loan
		}
	}
	return nil
}

// spread divides the need among the lenders: units already held first, then
// those known to be spare. What is still missing is asked of the lenders that
// have not told lately what they can spare, at least one unit of each, or
// evenly of all.
func (a *Account) spread(now time.Time, lenders []string, need uint32) map[string]uint32 {
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
		if !ok || now.Sub(h.at) > hintAge {
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

func nextBackoff(current time.Duration, gained bool) time.Duration {
	if gained {
		return 1
	}
	return min(current*2, MaxBackoff)
}
