package fairshare

import (
	"slices"
	"strings"
	"time"
)

// Standing is the position of an account's work relative to its share, best first.
type Standing int

const (
	// WithinRate is work within the account's rate and share, or any work without
	// contention between accounts.
	WithinRate Standing = iota
	// WithinShare is work beyond the rate that the account's share has room for, and work
	// within the rate beyond the share.
	WithinShare
	// AboveShare is work beyond the share.
	AboveShare
)

// Shares holds the accounts of a cell, their entitlements and their recorded usage. The zero
// value is ready for use. It is not safe for concurrent use.
type Shares struct {
	accounts map[string]*account
	// updatedAt is the time of the last update; contended is the length of the contention
	// recorded so far.
	updatedAt   time.Time
	contended   time.Duration
	isContended bool
	// withinBacklog is the sum of Demand.WithinBacklog.
	withinBacklog float64
}

// account is the state of a client account.
type account struct {
	demand      Demand
	entitlement Entitlement
	bucket      bucket
	window      window
	// seenAt is when the account last had work.
	seenAt time.Time
	// retryAt is the latest time for which a rejected submitter was asked to return.
	retryAt time.Time
	// heldAt is when the account was last reported as held back.
	heldAt time.Time
}

// Update replaces the demand of all accounts, records the usage since the last update and
// computes the entitlements. Accounts that have had no work for Window are forgotten.
func (s *Shares) Update(now time.Time, demands []Demand) {
	s.record(now)
	for _, a := range s.accounts {
		a.demand = Demand{Account: a.demand.Account, Weight: a.demand.Weight}
		a.entitlement = Entitlement{}
	}
	s.withinBacklog = 0
	entitlements, isContended := Allocate(demands)
	for i, d := range demands {
		a := s.account(d.Account)
		a.demand, a.entitlement, a.seenAt = d, entitlements[i], now
		s.withinBacklog += d.WithinBacklog
		a.entitlement.IsAhead = s.isAhead(a)
	}
	s.isContended = isContended && countAsking(demands) > 1
	for name, a := range s.accounts {
		if now.Sub(a.seenAt) > Window && now.Sub(a.bucket.at) > Window {
			delete(s.accounts, name)
		}
	}
}

// isAhead reports whether an account has got more over the last Window of contention than its
// present share would have given it. Small accounts are entitled to less than one job at a
// time, so each job puts them ahead.
func (s *Shares) isAhead(a *account) bool {
	a.window.advance(s.slot())
	return a.window.totalUsed > a.entitlement.WithinRate*min(s.contended, Window).Seconds()+epsilon
}

// countAsking returns the number of accounts that have work.
func countAsking(demands []Demand) (count int) {
	for _, d := range demands {
		if d.Total > 0 {
			count++
		}
	}
	return count
}

// record adds the state since the last update to the windows, if there was contention.
func (s *Shares) record(now time.Time) {
	elapsed := min(max(now.Sub(s.updatedAt), 0), maxStep)
	s.updatedAt = now
	if !s.isContended {
		return
	}
	slot := s.slot()
	s.contended += elapsed
	for _, a := range s.accounts {
		a.window.add(slot, a.demand.Used*elapsed.Seconds(), 0)
	}
}

func (s *Shares) account(name string) *account {
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	a := s.accounts[name]
	if a == nil {
		a = &account{demand: Demand{Account: name}}
		s.accounts[name] = a
	}
	return a
}

// slot is the number of the slot that contention is recorded in now.
func (s *Shares) slot() int64 { return int64(s.contended / slotLength) }

// IsContended reports whether several accounts together asked for more than the cell at the
// last update.
func (s *Shares) IsContended() bool { return s.isContended }

// HasOthers reports whether an account other than the given one had work at the last update.
func (s *Shares) HasOthers(name string) bool {
	for other, a := range s.accounts {
		if other != name && a.demand.Total > 0 {
			return true
		}
	}
	return false
}

// UpdatedAt returns the time of the last update, zero before the first.
func (s *Shares) UpdatedAt() time.Time { return s.updatedAt }

// TakeRate reports whether a job that an account submits now is within its rate, and counts
// it.
func (s *Shares) TakeRate(now time.Time, name string, weight float64) bool {
	a := s.account(name)
	a.demand.Weight = weight
	return a.bucket.take(now, weight)
}

// Entitlement returns the entitlement of an account as of the last update.
func (s *Shares) Entitlement(name string) Entitlement {
	if a := s.accounts[name]; a != nil {
		return a.entitlement
	}
	return Entitlement{}
}

// Standing returns the standing, during contention, of work of an account that uses a share
// already, including the work that goes before. isWithinRate is the result of TakeRate for
// its job.
func (e Entitlement) Standing(isWithinRate bool, used float64) Standing {
	switch {
	case used < e.Within-epsilon && !e.IsAhead:
		return WithinRate
	case isWithinRate || used < e.Total-epsilon:
		return WithinShare
	default:
		return AboveShare
	}
}

// AddBacklog adds the work of an accepted job until the next update, in shares times seconds.
func (s *Shares) AddBacklog(name string, isWithinRate bool, work float64) {
	a := s.account(name)
	a.demand.Backlog += work
	if isWithinRate {
		a.demand.WithinBacklog += work
		s.withinBacklog += work
	}
}

// Report is the state of an account.
type Report struct {
	Account string
	Demand  Demand
	// Entitlement is that of the last update.
	Entitlement Entitlement
	// Entitled and Used are the fractions over the last Window of contention.
	Entitled, Used float64
	// IsHeldBack reports that the account has waiting work above its share while others
	// need the room.
	IsHeldBack bool
}

// Reports returns the state of all accounts, sorted by name.
func (s *Shares) Reports() []Report {
	accounts, entitled, used := s.fractions()
	reports := make([]Report, len(accounts))
	for i, a := range accounts {
		reports[i] = Report{
			Account: a.demand.Account, Demand: a.demand, Entitlement: a.entitlement, IsHeldBack: s.isHeldBack(a),
			Entitled: entitled[i], Used: used[i],
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Account, b.Account) })
	return reports
}

func (s *Shares) isHeldBack(a *account) bool {
	return s.isContended && a.demand.Total > a.entitlement.Total+epsilon && a.demand.Used < a.demand.Total-epsilon
}

// heldReportInterval is the minimum time between two reports that an account is held back.
const heldReportInterval = time.Second

// TakeHeldBack returns reports on the accounts that are held back, each at most once per
// second.
func (s *Shares) TakeHeldBack(now time.Time) (reports []Report) {
	if !s.isContended {
		return nil
	}
	isAny := false
	for _, a := range s.accounts {
		isAny = isAny || s.isHeldBack(a) && now.Sub(a.heldAt) >= heldReportInterval
	}
	if !isAny {
		return nil
	}
	for _, r := range s.Reports() {
		if a := s.accounts[r.Account]; r.IsHeldBack && now.Sub(a.heldAt) >= heldReportInterval {
			a.heldAt = now
			reports = append(reports, r)
		}
	}
	return reports
}
