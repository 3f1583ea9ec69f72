package units

import (
	"cmp"
	"slices"
)

// AccountDump is a snapshot of one account for diagnosis. All numbers are units.
type AccountDump struct {
	Name string `json:"name"`
	// Share is the number of units that the member owns.
	Share uint32 `json:"share"`
	// Held is the number of owned and borrowed units that the member may use.
	Held uint32 `json:"held"`
	Used uint32 `json:"used"`
	// Waiting is the number last passed to Account.SetWaiting.
	Waiting int64 `json:"waiting"`
	// Lent holds the lent units by borrower.
	Lent map[string]uint32 `json:"lent,omitempty"`
	// Loans holds the borrowed units by lender.
	Loans map[string]uint32 `json:"loans,omitempty"`
}

// Dump returns the state of all accounts, sorted by name. It is safe for
// concurrent use; units acquired or released meanwhile may be counted or not.
func (l *Ledger) Dump() (dump []AccountDump) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		dump = append(dump, a.dump())
	}
	slices.SortFunc(dump, func(a, b AccountDump) int { return cmp.Compare(a.Name, b.Name) })
	return dump
}

func (a *Account) dump() AccountDump {
	d := AccountDump{
		Name:    a.name,
		Share:   a.share,
		Held:    a.Held(),
		Used:    a.Used(),
		Waiting: a.waiting.Load(),
		Lent:    make(map[string]uint32),
		Loans:   make(map[string]uint32),
	}
	for borrower, l := range a.lent {
		d.Lent[borrower] = l.units
	}
	for _, loan := range *a.loans.Load() {
		d.Loans[loan.lender], _ = loan.units.load()
	}
	return d
}
