package units

import "time"

// Want asks one lender for units of several resources. It is a report of
// state, not a change: the newest one replaces all before it.
type Want struct {
	From     string
	To       string
	Sequence uint64
	Items    []WantItem
}

// WantItem asks for units of one resource. A resource that a Want leaves out
// is one of which the borrower holds nothing.
type WantItem struct {
	Name string
	// Hold is how many units of the lender the borrower keeps until it is
	// answered; it has given up the rest.
	Hold uint32
	// Want is how many units it asks for in all.
	Want uint32
}

// Lend answers the Want with the same sequence.
type Lend struct {
	From     string
	To       string
	Sequence uint64
	// Term is how long work may start on the units, counted by the borrower
	// from when it sent the Want.
	Term  time.Duration
	Items []LendItem
}

// LendItem lends units of one resource. For a resource that a Lend leaves out
// the borrower may use what it holds, and no more can be spared.
type LendItem struct {
	Name string
	// Units is how many units the borrower may use in all. It may be less than
	// it holds: the lender then wants some back as work ends.
	Units uint32
	// Spare is how many more the lender could lend now.
	Spare uint32
}
