package units

import "time"

// Want is a request from a borrower to one lender for units of any number of
// resources. It carries the complete state, not a change: the Want with the
// highest Sequence replaces all earlier ones.
type Want struct {
	From     string
	To       string
	Sequence uint64
	// MaxRunTime is the maximum run time of the work that the borrower starts on the
	// lent units after this Want. If it is 0, the lender assumes the largest that it
	// has known.
	MaxRunTime time.Duration
	Items      []WantItem
}

// WantItem requests units of one resource. If a Want has no item for a resource,
// the borrower holds no units of it from this lender.
type WantItem struct {
	Name string
	// Hold is the number of the lender's units that the borrower keeps until it
	// receives the reply. It has returned all others.
	Hold uint32
	// Want is the total number of units requested, including those in Hold.
	Want uint32
}

// Lend is the reply of the lender to the Want with the same Sequence.
type Lend struct {
	From     string
	To       string
	Sequence uint64
	// Term is how long the borrower may start work on the units, counted from
	// when it sent the Want.
	Term  time.Duration
	Items []LendItem
}

// LendItem lends units of one resource. If a Lend has no item for a resource in
// the Want, the borrower may use the units in Hold, and Spare is 0.
type LendItem struct {
	Name string
	// Units is the total number of units that the borrower may use. If it is less
	// than Hold, the borrower must return the difference as its work ends.
	Units uint32
	// Spare is the number of further units that the lender could lend now.
	Spare uint32
}
