// Package share decides whose work starts next when teams compete for slots.
//
// A Queue orders the waiting items of one pool: the team that occupies the
// fewest slots for its share goes first. What other processes report about the
// slots that the teams occupy there is made up for in part, so that the order
// is fair across all of them. A Reserve learns how many slots to keep free of
// long work, a Predictor learns run times, and a Scheduler puts queue and
// reserve together.
package share
