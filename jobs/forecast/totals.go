package forecast

import "math"

// totalsWeight is the weight of a new run in the totals, which cover roughly the last 64.
const totalsWeight = 1.0 / 64

// totals are moving averages of run times and of their units. Their quotient is the mean run
// time for a unit. The mean of the ratios would be dominated by tasks with very short
// declared run times.
type totals struct {
	runTime, unit float64
	// typicalRunTime and typicalUnit are the same without stragglers.
	typicalRunTime, typicalUnit float64
	count                       int
}

// add adds a value. One above limit is a straggler.
func (t *totals) add(v value, limit float64) {
	t.count++
	weight := max(totalsWeight, 1/float64(t.count))
	runTime := v.unit * math.Exp(v.logarithm)
	t.runTime += weight * (runTime - t.runTime)
	t.unit += weight * (v.unit - t.unit)
	if t.count > 1 && v.logarithm > limit {
		return
	}
	t.typicalRunTime += weight * (runTime - t.typicalRunTime)
	t.typicalUnit += weight * (v.unit - t.typicalUnit)
}

// movedPart is the part of a change by which the totals move at once. The change is known
// from few runs: with all of it, the means were too high by up to an eighth.
const movedPart = 0.8

// move multiplies the run times by a factor given as its logarithm.
func (t *totals) move(shift float64) {
	t.runTime *= math.Exp(movedPart * shift)
	t.typicalRunTime *= math.Exp(movedPart * shift)
}

// means returns the mean run time for a unit with and without stragglers.
func (t *totals) means() (all, typical float64) {
	return t.runTime / t.unit, t.typicalRunTime / t.typicalUnit
}
