package units

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of the durations in Config.
const (
	DefaultTerm       = 15 * time.Second
	DefaultMaxRunTime = 30 * time.Second
	DefaultInterval   = 200 * time.Millisecond
	DefaultTimeout    = time.Second
	DefaultPauseLimit = 2 * time.Second
)

// termMarginDivisor sets the margin by which a borrower shortens a term: one part
// in 16. It covers the drift between the clocks of lender and borrower.
const termMarginDivisor = 16

// Config configures a Ledger. Zero durations are replaced by the defaults.
type Config struct {
	// Self is the name of this member. It must be different for each start of
	// its process.
	Self string
	// Term is how long a borrower may start work on lent units, counted from when
	// it sent the Want.
	Term time.Duration
	// MaxRunTime is the maximum run time of any work, until SetMaxRunTime is called.
	MaxRunTime time.Duration
	// Interval is the minimum time between two Wants to the same lender, except
	// for a Want without items, which is sent at once.
	Interval time.Duration
	// Timeout is how long to wait for the reply to a Want before the next Want.
	Timeout time.Duration
	// PauseLimit is the maximum age of the last tick. Beyond it no units can be
	// acquired and no permit is valid: the process was paused or is overloaded.
	PauseLimit time.Duration
	// Now returns the current time of a monotonic clock. The default is time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	setDefault(&c.Term, DefaultTerm)
	setDefault(&c.MaxRunTime, DefaultMaxRunTime)
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.PauseLimit, DefaultPauseLimit)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Ledger holds the accounts of one member, lends units to other members and
// borrows units from them. Its methods are safe for concurrent use.
type Ledger struct {
	config Config
	// created is the time from which lastTick and the expiries are counted.
	created time.Time
	// lastTick is the time of the last tick, in nanoseconds since created.
	lastTick atomic.Int64
	// maxRunTime is the maximum run time of the work that starts at this member now,
	// longestRunTime the largest value that it has had, both in nanoseconds.
	maxRunTime     atomic.Int64
	longestRunTime atomic.Int64

	// index is a copy of accounts for reads without the lock. It is replaced as a
	// whole and never changed.
	index atomic.Pointer[map[string]*Account]

	// mu guards the fields below.
	mu                 sync.Mutex
	isLendingStopped   bool
	isBorrowingStopped bool
	accounts           map[string]*Account
	peers              []string
	lenders            map[string]*lenderState
	borrowers          map[string]*borrowerState
}

// borrowerState is the state of the requests received from one borrower: the
// time and the sequence of the newest Want, and the reply to it.
type borrowerState struct {
	received time.Time
	sequence uint64
	reply    Lend
}

// NewLedger returns a Ledger without accounts. Its creation counts as a tick.
func NewLedger(config Config) *Ledger {
	l := &Ledger{
		config:    config.withDefaults(),
		accounts:  make(map[string]*Account),
		lenders:   make(map[string]*lenderState),
		borrowers: make(map[string]*borrowerState),
	}
	l.index.Store(&map[string]*Account{})
	l.created = l.config.Now()
	l.lastTick.Store(1)
	l.SetMaxRunTime(l.config.MaxRunTime)
	return l
}

// Account returns the account of the resource and creates it if needed.
func (l *Ledger) Account(name string) *Account {
	if a := (*l.index.Load())[name]; a != nil {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(name)
}

// account is Account for callers that hold l.mu.
func (l *Ledger) account(name string) *Account {
	a := l.accounts[name]
	if a == nil {
		a = &Account{name: name, ledger: l, lent: make(map[string]*lending), hints: make(map[string]hint)}
		a.loans.Store(&[]*loan{})
		l.accounts[name] = a
		index := maps.Clone(l.accounts)
		l.index.Store(&index)
	}
	return a
}

// SetMaxRunTime sets the maximum run time of the work that starts at this member from
// now on. Lenders learn of it from the next Want. After it was raised, no borrowed unit
// can be acquired until its lender has answered such a Want.
func (l *Ledger) SetMaxRunTime(maxRunTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRunTime.Store(int64(maxRunTime))
	l.longestRunTime.Store(max(l.longestRunTime.Load(), int64(maxRunTime)))
}

// StopLending stops lending: no more units are lent, and replies to borrowers ask
// for all lent units back. Call it when the member is about to leave. It cannot
// be undone.
func (l *Ledger) StopLending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLendingStopped = true
}

// RecoveryTime returns the time after which no work of a member can be running any
// more, counted from when the member was last known to be able to start work.
// It is the loan term plus the largest maximum run time so far. It never decreases,
// since a member may still start work under an old maximum.
func (l *Ledger) RecoveryTime() time.Duration {
	return l.config.Term + time.Duration(l.longestRunTime.Load())
}

// Names returns the names of all accounts in no particular order.
func (l *Ledger) Names() []string {
	return slices.Collect(maps.Keys(*l.index.Load()))
}

// SetPeers sets the names of the other members, preferred lenders first.
func (l *Ledger) SetPeers(peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.Clone(peers)
}

// SetLenders sets the members that may own units of the resource, preferred
// lenders first. Units are requested from them instead of from all peers.
func (l *Ledger) SetLenders(name string, lenders []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(name).lenders = append(make([]string, 0, len(lenders)), lenders...)
}

// SetShare sets how many units of the resource the member owns. Units in use or
// lent beyond the share are not revoked, but no more can be acquired or lent
// until enough of them are returned.
func (l *Ledger) SetShare(name string, share uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	a.share = share
	a.updateOwnedLimit()
}

// Fits returns whether the owned units in use and lent are within the share for
// every account for which share returns ok. share is called with the mutex of
// the ledger held, so it must not call methods of the ledger.
func (l *Ledger) Fits(share func(name string) (units uint32, ok bool)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if units, ok := share(name); ok && !a.fits(units) {
			return false
		}
	}
	return true
}

// IsIdle returns whether this member neither uses nor has lent any units.
func (l *Ledger) IsIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.Used() > 0 || a.lentTotal() > 0 {
			return false
		}
	}
	return true
}

// StopBorrowing stops borrowing: no more units are requested, and borrowed units are
// returned once they are free. Call it when the member starts no more work. It cannot
// be undone.
func (l *Ledger) StopBorrowing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isBorrowingStopped = true
}

// IsBorrowing returns whether a lender may count units as lent to this member, or as
// wanted by it: it has not yet answered a Want without items. A lender that has not
// answered for a term is left out.
func (l *Ledger) IsBorrowing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for _, s := range l.lenders {
		if !s.isIdle && now.Sub(s.renewed) <= l.config.Term {
			return true
		}
	}
	return false
}

// IsResourceIdle returns whether this member neither uses nor has lent any units of
// the resource. It is true for a resource without an account.
func (l *Ledger) IsResourceIdle(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a == nil || a.Used() == 0 && a.lentTotal() == 0
}

// ReceiveWant processes a Want from a borrower and returns the reply to send. A
// duplicate of the newest Want gets the same reply again. ok is false for a Want
// older than the newest one, which must not be answered.
func (l *Ledger) ReceiveWant(now time.Time, want Want) (reply Lend, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowers[want.From]
	if b == nil {
		b = &borrowerState{}
		l.borrowers[want.From] = b
	}
	if want.Sequence <= b.sequence {
		return b.reply, want.Sequence == b.sequence
	}
	b.received = now
	b.sequence = want.Sequence
	b.reply = Lend{From: l.config.Self, To: want.From, Sequence: want.Sequence, Term: l.config.Term}
	end := now.Add(l.workDuration(want))
	listed := make(map[string]bool, len(want.Items))
	for _, item := range want.Items {
		listed[item.Name] = true
		a := l.account(item.Name)
		lent := a.applyWantItem(want.From, item, now.Add(l.config.Term), end)
		if lent.Units != item.Hold || lent.Spare > 0 {
			b.reply.Items = append(b.reply.Items, lent)
		}
	}
	l.endOmittedLendings(want.From, listed)
	return b.reply, true
}

// workDuration returns the time after which no work can be running any more that the
// borrower starts on the units lent in reply to the Want.
func (l *Ledger) workDuration(want Want) time.Duration {
	if want.MaxRunTime <= 0 {
		return l.RecoveryTime()
	}
	return l.config.Term + want.MaxRunTime
}

// endOmittedLendings removes the lendings to a borrower for which its newest Want
// has no item: the borrower holds none of their units any more.
func (l *Ledger) endOmittedLendings(borrower string, listed map[string]bool) {
	for name, a := range l.accounts {
		if _, ok := a.lent[borrower]; ok && !listed[name] {
			delete(a.lent, borrower)
			a.updateOwnedLimit()
		}
	}
}

// ReceiveLend makes the units of a reply available. A duplicate, or a reply to a
// Want other than the newest, is ignored. The term counts from when the Want was
// sent, shortened by the margin for clock drift.
func (l *Ledger) ReceiveLend(reply Lend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.lenders[reply.From]
	if s == nil || !s.isOutstanding || reply.Sequence != s.sequence {
		return
	}
	s.isOutstanding = false
	s.renewed = s.sent
	s.answeredRunTime = s.maxRunTime
	s.isIdle = len(s.items) == 0
	isChanged := false
	expiry := s.sent.Add(reply.Term - reply.Term/termMarginDivisor)
	lent := make(map[string]LendItem, len(reply.Items))
	for _, item := range reply.Items {
		lent[item.Name] = item
	}
	for _, requested := range s.items {
		item, ok := lent[requested.Name]
		if !ok {
			item = LendItem{Name: requested.Name, Units: requested.Hold}
		}
		isChanged = l.applyLendItem(reply.From, item, s.maxRunTime, expiry) || isChanged
	}
	l.updateLenderCounts(reply.From, s.items, lent)
	s.backoffFactor = nextBackoffFactor(s.backoffFactor, isChanged)
}

// updateLenderCounts records how many units of each resource the lender counts as
// lent after its reply to the requested items: Hold, or Units if those are more.
func (l *Ledger) updateLenderCounts(lender string, requested []WantItem, lent map[string]LendItem) {
	counts := make(map[string]uint32, len(requested))
	for _, item := range requested {
		counts[item.Name] = max(item.Hold, lent[item.Name].Units)
	}
	for name, a := range l.accounts {
		if loan := l.findLoan(a, lender); loan != nil {
			loan.lenderCount = counts[name]
		}
	}
}

// applyLendItem updates the loan and the hint from one item of a reply to a Want with
// the given maximum run time. It returns whether the number of borrowed units has
// changed.
func (l *Ledger) applyLendItem(lender string, item LendItem, maxRunTime time.Duration, expiry time.Time) (isChanged bool) {
	a := l.account(item.Name)
	a.hints[lender] = hint{spare: item.Spare, at: l.config.Now()}
	loan := a.ensureLoan(lender)
	before, _ := loan.units.load()
	if !l.isUnexpired(l.config.Now(), &loan.expiry) {
		loan.lapses.Add(1)
	}
	// The limit and the maximum run time are set before the expiry. In the reverse
	// order, an expired loan would briefly be valid again with its old ones.
	loan.units.setLimit(item.Units)
	loan.maxRunTime.Store(int64(maxRunTime))
	loan.expiry.Store(int64(expiry.Sub(l.created)))
	return item.Units != before
}

// IsTickRecent returns whether the last tick is no older than Config.PauseLimit.
// If it is older, the process was paused or is overloaded, and no units can be
// acquired.
func (l *Ledger) IsTickRecent(now time.Time) bool {
	return int64(now.Sub(l.created))-l.lastTick.Load() <= int64(l.config.PauseLimit)
}

// isUsable returns whether work may start now on the units of the loan: it has not
// expired, and the lender has learnt of the maximum run time.
func (l *Ledger) isUsable(now time.Time, borrowed *loan) bool {
	return l.isUnexpired(now, &borrowed.expiry) && borrowed.maxRunTime.Load() >= l.maxRunTime.Load()
}

// isUnexpired returns whether now is before the expiry, which is in nanoseconds
// since l.created.
func (l *Ledger) isUnexpired(now time.Time, expiry *atomic.Int64) bool {
	return int64(now.Sub(l.created)) < expiry.Load()
}
