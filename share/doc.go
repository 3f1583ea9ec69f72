// Package share decides whose work starts next when teams compete for slots.
//
// A Queue orders the waiting items of one pool by start-time fair queueing:
// each team has a virtual time that advances by the slot time it uses divided
// by its share, and the team that is furthest behind goes first. Slot time is
// charged by prediction when work starts and corrected when it ends. Usage
// that other processes report is charged the same way, so that the order is
// fair across all of them. A Predictor learns run times.
package share
