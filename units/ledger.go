package units

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultTerm     = 15 * time.Second
	DefaultLongest  = 30 * time.Second
	DefaultInterval = 200 * time.Millisecond
	DefaultTimeout  = time.Second
	DefaultPause    = 2 * time.Second
)

// termMargin is the part of a term that a borrower leaves unused, for clocks
// that run at different rates.
const termMargin = 16

// Config sets up a Ledger. Zero durations take the defaults.
type Config struct {
	// Self is the name of this member, unique for each start of its process.
	Self string
	// Term is how long work may start on lent units.
	Term time.Duration
	// Longest is the longest run of any work.
	Longest time.Duration
	// Interval is the least time between two wants to the same lender.
	Interval time.Duration
	// Timeout is how long the answer to a want is awaited.
	Timeout time.Duration
	// Pause is how long after a tick units are given out.
	Pause time.Duration
	// Now reads a monotonic clock; time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	setDefault(&c.Term, DefaultTerm)
	setDefault(&c.Longest, DefaultLongest)
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.Pause, DefaultPause)
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

// Ledger keeps the accounts of one member and trades units with the others.
type Ledger struct {
	config   Config
	created  time.Time
	lastTick atomic.Int64
	// maxRunTime is the maxRunTime run of any work in nanoseconds.
	maxRunTime atomic.Int64

	// index is a copy of accounts that is replaced as a whole.
	index atomic.Pointer[map[string]*Account]

	mu               sync.Mutex
	isLendingStopped bool
	accounts         map[string]*Account
	peers            []string
	lenders          map[string]*lenderState
	borrowers        map[string]*borrowerState
}

// borrowerState is the state of one borrower's wants here.
type borrowerState struct {
	received time.Time
	sequence uint64
	answer   Lend
}

// NewLedger returns a Ledger without accounts.
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
	l.maxRunTime.Store(int64(l.config.Longest))
	return l
}

// Account returns the account of the resource, a new one if there is none.
func (l *Ledger) Account(name string) *Account {
	if a := (*l.index.Load())[name]; a != nil {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(name)
}

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

// ExtendLongest raises the longest run of any work. It never lowers it, since
// longer work may still be running.
func (l *Ledger) ExtendLongest(longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRunTime.Store(max(l.maxRunTime.Load(), int64(longest)))
}

// Withdraw makes the ledger lend no more and ask back what is lent. It is called
// when the member is about to leave.
func (l *Ledger) Withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLendingStopped = true
}

// Recovery is how long after a member was last known to be able to start work
// nothing of it can still be running.
func (l *Ledger) Recovery() time.Duration {
	return l.config.Term + time.Duration(l.maxRunTime.Load())
}

// Names returns the names of all accounts.
func (l *Ledger) Names() []string {
	return slices.Collect(maps.Keys(*l.index.Load()))
}

// SetPeers names the other members, the preferred lenders first.
func (l *Ledger) SetPeers(peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.Clone(peers)
}

// SetLenders names the members that may own units of the resource, in place of
// all peers.
func (l *Ledger) SetLenders(name string, lenders []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(name).lenders = append(make([]string, 0, len(lenders)), lenders...)
}

// SetShare sets how many units of the resource the member owns. Units in use
// or lent above it are not taken back, but no more start.
func (l *Ledger) SetShare(name string, share uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	a.share = share
	a.updateOwnedLimit()
}

// Fits returns whether the own units in use and lent lie within the shares,
// for every account that the function gives a share for.
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

// IsIdle returns whether nothing is in use here or lent to others.
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

// HasBorrowed returns whether any lender counts units as lent to this member, as
// far as it is known here.
func (l *Ledger) HasBorrowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		for _, loan := range *a.loans.Load() {
			if loan.lenderCount > 0 {
				return true
			}
		}
	}
	return false
}

// IsIdleAt returns whether nothing of one resource is in use here or lent.
func (l *Ledger) IsIdleAt(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a == nil || a.Used() == 0 && a.lentTotal() == 0
}

// ReceiveWant answers a want of a borrower. ok is false for one that came too
// late to be answered.
func (l *Ledger) ReceiveWant(now time.Time, want Want) (answer Lend, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	box := l.borrowers[want.From]
	if box == nil {
		box = &borrowerState{}
		l.borrowers[want.From] = box
	}
	if want.Sequence <= box.sequence {
		return box.answer, want.Sequence == box.sequence
	}
	box.received = now
	box.sequence = want.Sequence
	box.answer = Lend{From: l.config.Self, To: want.From, Sequence: want.Sequence, Term: l.config.Term}
	listed := make(map[string]bool, len(want.Items))
	for _, item := range want.Items {
		listed[item.Name] = true
		a := l.account(item.Name)
		lent := a.applyWantItem(want.From, item, now.Add(l.config.Term))
		if lent.Units != item.Hold || lent.Spare > 0 {
			box.answer.Items = append(box.answer.Items, lent)
		}
	}
	l.endOmittedLendings(want.From, listed)
	return box.answer, true
}

// endOmittedLendings ends the lendings to a borrower that its newest want left out.
func (l *Ledger) endOmittedLendings(borrower string, listed map[string]bool) {
	for name, a := range l.accounts {
		if _, ok := a.lent[borrower]; ok && !listed[name] {
			delete(a.lent, borrower)
			a.updateOwnedLimit()
		}
	}
}

// ReceiveLend puts the units of an answer to use. An answer to any want but
// the newest is dropped.
func (l *Ledger) ReceiveLend(answer Lend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.lenders[answer.From]
	if k == nil || !k.isOutstanding || answer.Sequence != k.sequence {
		return
	}
	k.isOutstanding = false
	k.renewed = k.sent
	k.isIdle = len(k.items) == 0
	gained := false
	until := k.sent.Add(answer.Term - answer.Term/termMargin)
	lent := make(map[string]LendItem, len(answer.Items))
	for _, item := range answer.Items {
		lent[item.Name] = item
	}
	for _, asked := range k.items {
		item, ok := lent[asked.Name]
		if !ok {
			item = LendItem{Name: asked.Name, Units: asked.Hold}
		}
		gained = l.applyLendItem(answer.From, item, until) || gained
	}
	l.updateLenderCounts(answer.From, k.items, lent)
	k.backoffFactor = nextBackoffFactor(k.backoffFactor, gained)
}

// updateLenderCounts notes what the lender counts as lent after its answer to the items.
func (l *Ledger) updateLenderCounts(lender string, asked []WantItem, lent map[string]LendItem) {
	told := make(map[string]uint32, len(asked))
	for _, item := range asked {
		told[item.Name] = max(item.Hold, lent[item.Name].Units)
	}
	for name, a := range l.accounts {
		if loan := l.findLoan(a, lender); loan != nil {
			loan.lenderCount = told[name]
		}
	}
}

func (l *Ledger) applyLendItem(lender string, item LendItem, until time.Time) (gained bool) {
	a := l.account(item.Name)
	a.hints[lender] = hint{spare: item.Spare, at: l.config.Now()}
	loan := a.ensureLoan(lender)
	before, _ := loan.units.load()
	// The cap goes first: a term that has ended must not come back to life
	// with the cap of the old loan.
	loan.units.setLimit(item.Units)
	loan.expiry.Store(int64(until.Sub(l.created)))
	return item.Units != before
}

// IsAwake returns whether the ledger was ticked recently: if not, the process
// was paused or is overloaded, and no unit is given out.
func (l *Ledger) IsAwake(now time.Time) bool {
	return int64(now.Sub(l.created))-l.lastTick.Load() <= int64(l.config.Pause)
}

func (l *Ledger) isBefore(now time.Time, until *atomic.Int64) bool {
	return int64(now.Sub(l.created)) < until.Load()
}
