// Package jobs is the state machine of one cell: a set of endpoints, the jobs
// that run on them and the runs of their tasks.
//
// A Cell reads no clock, does no I/O and logs nothing. Its owner reports events
// to it (a job was submitted, an endpoint listed its runs, an order was
// answered) and executes the results: records that must be stored before any
// state that depends on them is visible outside, and orders to endpoints.
//
// Two rules keep a task from running twice. A start is ordered only after its
// placement has been stored, in a write that is conditional on the cell still
// having the same owner. A task is placed again only when its last run cannot be
// running any more: an endpoint listed the end of the run; or it answered the start
// or the stop of the run, and a listing that was asked for after that does not
// contain the run; or another endpoint is up on its machine; or its grant has
// expired even if its clock is as slow as Bounds.ClockSlack permits.
//
// What an endpoint lists takes precedence over what follows from answers, clocks and
// service discovery: whether an endpoint has restarted, and what it runs then, is
// known from its listing alone. While any endpoint lists a run of a task, no other one is
// started.
package jobs
