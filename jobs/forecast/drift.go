package forecast

import "math"

// Constants of the detection of changes.
const (
	// driftAllowance is the deviation of the mean position from the middle that does not
	// count, driftLimit the accumulated one that counts as a change. Halved run times, the
	// smallest change to be found, deviate by 0.34 and are found after some 14 runs.
	driftAllowance = 0.15
	driftLimit     = 1.9
	// siblingExponent is the power of its number with which the weight of a run falls in its
	// step. With a power nearer to 0, steps of 20 tasks were taken for changes too often.
	siblingExponent = -0.55
	// minDriftRuns is the number of runs from which a change can be detected.
	minDriftRuns = 20
	// keptAfterChange is the number of runs from before a change that are kept, moved by
	// the change. They give the distribution its shape until there are enough new runs.
	keptAfterChange = 48
)

// drift accumulates the deviations of values to one side (a one-sided CUSUM test).
type drift struct {
	sum float32
	// runs counts the values since sum was last 0.
	runs int32
}

// add adds a deviation and reports whether the accumulated ones show a change.
func (d *drift) add(deviation, weight float64) (isChanged bool) {
	d.sum += float32(weight * (deviation - driftAllowance))
	d.runs++
	if d.sum <= 0 {
		*d = drift{}
	}
	return d.sum > driftLimit
}

// move shifts the values older than the last recent ones by the change of the median, which it
// returns as a logarithm, and drops all but keptAfterChange of them.
func (w *window) move(recent int) (change float64) {
	recent = min(max(recent, 1), w.count-1)
	var before, after window
	for age := w.count - 1; age >= 0; age-- {
		if age >= recent {
			before.add(w.at(age))
		} else {
			after.add(w.at(age))
		}
	}
	change = after.quantile(0.5) - before.quantile(0.5)
	shift := int(math.Round(change / bucketWidth))
	kept := min(before.count, keptAfterChange)
	var moved window
	for age := kept - 1; age >= 0; age-- {
		moved.add(uint8(min(max(int(before.at(age))+shift, 0), bucketCount-1)))
	}
	for age := after.count - 1; age >= 0; age-- {
		moved.add(after.at(age))
	}
	*w = moved
	return change
}
