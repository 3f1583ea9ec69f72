// Package share implements weighted fair scheduling of work from several teams on
// the slots of a pool.
//
// A Queue orders the waiting items of one pool: the team that occupies the fewest
// slots relative to its share goes first. Several processes may schedule onto the
// same pool, each with a Queue of its own. Each is given the slots that the teams
// occupy through the others and compensates for its part of the imbalance, so that
// the order is fair across all processes. A Reserve computes how many free slots
// to keep for quick work, a Predictor estimates run times, and a Scheduler combines
// a Queue with a Reserve.
package share
