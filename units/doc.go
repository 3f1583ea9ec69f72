// Package units divides counted resources among the members of a group
// without a leader.
//
// A resource has a name and a limit, the number of its units: for example the
// upper limit of one team or the slots of one minion. Each unit is owned by
// exactly one member at a time. A Table assigns every member a slice of each
// limit. A Barrier computes how much of its slice a member may use while members
// are still on different revisions of the limits or the table. A Ledger tracks the
// units in use and lends free units to other members for a bounded term.
//
// The package sends no messages and starts no goroutines. The caller transports
// Want and Lend messages between ledgers and calls Ledger.Tick several times a
// second. Messages may be lost, duplicated, delayed or reordered; the units in
// use never exceed the limit.
package units
