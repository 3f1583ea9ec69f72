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
//
// The owner sends the orders, and its transport has to keep the incarnations of an endpoint apart: the expiry of a
// grant is a time on the clock of one of them, and each one numbers its ends anew. A Start, and the Until and Seen
// of a Poll, must reach no other incarnation than their Born. To send them only on a connection on which that
// incarnation has listed its runs is enough if connections end with the incarnation that they lead to;
// where something forwards them, Listing.FormerBorn has to report that one has not. A Stop may reach any
// incarnation. A transport that does so sets IsBound of Listing and Reply. Without it an owner counts on stray grants,
// but the next owners don't know of them: a task may run twice if its endpoint restarts quickly and is
// cut off as the owner changes. The same may happen behind a forwarder if the owner ends before it has a listing
// of the next incarnation.
package jobs
