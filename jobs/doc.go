// Package jobs is the state machine of one cell: a set of endpoints, the jobs
// that run on them and the runs of their tasks.
//
// A Cell reads no clock, does no I/O and logs nothing. Its owner feeds it with
// events (a job was submitted, an endpoint listed its runs, an order was
// answered) and carries out what it asks for: records to be stored before
// anything that depends on them may be seen outside, and orders to endpoints.
//
// Safety rests on two rules. No start is ordered before its placement is
// stored, under the condition that the cell is still owned; and a task is
// placed again only when its last run is surely gone: its end is listed, or the
// endpoint answered a stop and lists it no more, or the endpoint lives another
// life, or its grant has run out on the slowest clock allowed.
package jobs
