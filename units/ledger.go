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

const (
	// termMargin is the part of a term that a borrower leaves unused, for
	// clocks that run at different rates.
	termMargin = 16
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
	config Config
	epoch  time.Time
	ticked atomic.Int64
	// longest is the longest run of any work in nanoseconds.
	longest atomic.Int64

	// index is a copy of accounts that is replaced as a whole.
	index atomic.Pointer[map[string]*Account]

	mu        sync.Mutex
	accounts  map[string]*Account
	peers     []string
	links     map[string]*link
	borrowers map[string]*inbox
}

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

// inbox is the state of one borrower's wants here.
type inbox struct {
	received time.Time
	sequence uint64
	answer   Lend
}

// NewLedger returns a Ledger without accounts.
func NewLedger(config Config) *Ledger {
	l := &Ledger{
		config:    config.withDefaults(),
		accounts:  make(map[string]*Account),
		links:     make(map[string]*link),
		borrowers: make(map[string]*inbox),
	}
	l.index.Store(&map[string]*Account{})
	l.epoch = l.config.Now()
	l.ticked.Store(1)
	l.longest.Store(int64(l.config.Longest))
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
	l.longest.Store(max(l.longest.Load(), int64(longest)))
}

// Recovery is how long after a member was last known to be able to start work
// nothing of it can still be running.
func (l *Ledger) Recovery() time.Duration {
	return l.config.Term + time.Duration(l.longest.Load())
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
	a.refresh()
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

// IsIdleAt returns whether nothing of one resource is in use here or lent.
func (l *Ledger) IsIdleAt(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a == nil || a.Used() == 0 && a.lentTotal() == 0
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
		held, _ := loan.units.load()
		hold := loan.units.lower(keep)
		if hold == 0 && wanted[loan.lender] == 0 {
			if held > 0 {
				pending[loan.lender] = max(pending[loan.lender], returning)
			}
			continue
		}
		want := max(wanted[loan.lender], hold)
		items[loan.lender] = append(items[loan.lender], WantItem{Name: a.name, Hold: hold, Want: want})
		pending[loan.lender] = max(pending[loan.lender], compareHold(held, hold, want))
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

func compareHold(held, hold, want uint32) change {
	switch {
	case held > hold:
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

// ReceiveWant answers a want of a borrower. ok is false for one that came too
// late to be answered.
func (l *Ledger) ReceiveWant(now time.Time, want Want) (answer Lend, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	box := l.borrowers[want.From]
	if box == nil {
		box = &inbox{}
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
		lent := a.answer(want.From, item, now.Add(l.config.Term))
		if lent.Units != item.Hold || lent.Spare > 0 {
			box.answer.Items = append(box.answer.Items, lent)
		}
	}
	l.takeBack(want.From, listed)
	return box.answer, true
}

// takeBack ends the lendings to a borrower that its newest want left out.
func (l *Ledger) takeBack(borrower string, listed map[string]bool) {
	for name, a := range l.accounts {
		if _, ok := a.lent[borrower]; ok && !listed[name] {
			delete(a.lent, borrower)
			a.refresh()
		}
	}
}

// ReceiveLend puts the units of an answer to use. An answer to any want but
// the newest is dropped.
func (l *Ledger) ReceiveLend(answer Lend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[answer.From]
	if k == nil || !k.outstanding || answer.Sequence != k.sequence {
		return
	}
	k.outstanding = false
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
		gained = l.applyLend(answer.From, item, until) || gained
	}
	k.backoff = nextBackoff(k.backoff, gained)
}

func (l *Ledger) applyLend(lender string, item LendItem, until time.Time) (gained bool) {
	a := l.account(item.Name)
	a.hints[lender] = hint{spare: item.Spare, at: l.config.Now()}
	loan := a.loanFrom(lender)
	before, _ := loan.units.load()
	// The cap goes first: a term that has ended must not come back to life
	// with the cap of the old loan.
	loan.units.setLimit(item.Units)
	loan.until.Store(int64(until.Sub(l.epoch)))
	return item.Units != before
}

func nextBackoff(current time.Duration, gained bool) time.Duration {
	if gained {
		return 1
	}
	return min(current*2, MaxBackoff)
}

// IsAwake returns whether the ledger was ticked recently: if not, the process
// was paused or is overloaded, and no unit is given out.
func (l *Ledger) IsAwake(now time.Time) bool {
	return int64(now.Sub(l.epoch))-l.ticked.Load() <= int64(l.config.Pause)
}

func (l *Ledger) isBefore(now time.Time, until *atomic.Int64) bool {
	return int64(now.Sub(l.epoch)) < until.Load()
}
