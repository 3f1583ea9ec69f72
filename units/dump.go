package units

import (
	"cmp"
	"slices"
)

// AccountDump is the state of one account, for people to read.
type AccountDump struct {
	Name    string            `json:"name"`
	Share   uint32            `json:"share"`
	Held    uint32            `json:"held"`
	Used    uint32            `json:"used"`
	Waiting int64             `json:"waiting"`
	Lent    map[string]uint32 `json:"lent,omitempty"`
	Loans   map[string]uint32 `json:"loans,omitempty"`
}

// Dump returns the state of all accounts, sorted by name.
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
