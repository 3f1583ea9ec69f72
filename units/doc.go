// Package units divides counted resources among the members of a group that
// has no leader.
//
// A resource is a named counter with a capacity, for example the upper limit
// of one team or the slots of one minion. Every unit of it has one owner at a
// time. A Table splits each capacity into slices, one per member; a Barrier
// tells a member how much of its slice it may use while members are still on
// different revisions; a Ledger holds the units in use and lends free ones to
// other members for a bounded term.
//
// The package sends nothing and starts no goroutine. The caller carries Want
// and Lend messages between ledgers and calls Tick. Messages may be lost,
// doubled, delayed or reordered: the units in use never exceed the capacity.
package units
