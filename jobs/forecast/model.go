package forecast

import "math"

// levels are the quantiles that are kept ready.
var levels = [...]float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99}

// medianLevel is the index of the median in levels.
const medianLevel = 2

// scoredLevels are the indices in levels of the quantiles whose coverage is measured.
var scoredLevels = [...]int{medianLevel, 4, 5}

const (
	// scoreWeight is the weight of a new run in the measured coverage and error.
	scoreWeight = 0.01
	// stragglerLog is the logarithm of the run time, relative to the median, above which a
	// task counts as a straggler. Tasks of one kind rarely differ by more.
	stragglerLog = 1.386
)

// model is the distribution of the run times of a kind of task, or of their ratios to the
// declared ones, with its error.
type model struct {
	window window
	// admitted accumulates the fractions of values that the window takes, independent is the
	// mean fraction of them that count as independent.
	admitted, independent float64
	totals                totals
	upwards, downwards    drift
	// coverage is the fraction of runs up to each of the scored levels, loss the mean
	// pinball loss of these, in logarithms. scored counts the runs that went into them.
	coverage [len(scoredLevels)]float32
	loss     float32
	scored   int32
	// quantiles are the logarithms at levels, mean and typical the mean with and without
	// stragglers. They are computed by refresh.
	quantiles     [len(levels)]float32
	mean, typical float64
	isOutdated    bool
}

// newModel returns a model without values. The window takes the first value of a large step
// from its middle, since tasks end in the order of their run times.
func newModel() model { return model{admitted: 0.5} }

// value is a run time, or its ratio to the declared one.
type value struct {
	logarithm float64
	// unit is the declared run time in seconds for a ratio, else 1.
	unit float64
	// tasks and siblings are those of Run.
	tasks, siblings int
}

// maxPerStep is the number of runs of one step that the window takes on average. More would
// fill it with the runs of few jobs, whose tasks resemble each other.
const maxPerStep = 4

// observe adds a value.
func (m *model) observe(v value) {
	if m.window.count > 0 {
		m.score(v.logarithm)
	}
	isChanged, recent := m.detectChange(v)
	m.admitted += min(maxPerStep/float64(max(v.tasks, 1)), 1)
	if m.admitted >= 1 {
		m.admitted--
		m.window.add(bucketOf(v.logarithm))
		m.independent += (1/float64(min(max(v.tasks, 1), maxPerStep)) - m.independent) / float64(min(m.window.count, independentSamples))
	}
	m.totals.add(v, float64(m.quantiles[medianLevel])+stragglerLog)
	if isChanged {
		m.totals.move(m.window.move(recent))
		m.upwards, m.downwards, m.scored = drift{}, drift{}, 0
	}
	m.isOutdated = true
}

// detectChange reports whether the last values differ from those before, and the number of
// values in the window since the change began. The weight of a value falls with the number of
// its siblings, so that a single job with unusual run times is not taken for a change.
func (m *model) detectChange(v value) (isChanged bool, recent int) {
	if m.window.count < minDriftRuns {
		return false, 0
	}
	weight := math.Pow(float64(v.siblings+1), siblingExponent)
	deviation := m.window.position(bucketOf(v.logarithm)) - 0.5
	isUp, isDown := m.upwards.add(deviation, weight), m.downwards.add(-deviation, weight)
	runs := m.downwards.runs
	if isUp {
		runs = m.upwards.runs
	}
	share := min(maxPerStep/float64(max(v.tasks, 1)), 1)
	return isUp || isDown, int(math.Ceil(float64(runs) * share))
}

// score updates the measured coverage and loss by the next value.
func (m *model) score(logarithm float64) {
	m.refresh()
	m.scored++
	weight := float32(max(scoreWeight, 1/float64(m.scored)))
	loss := 0.0
	for i, level := range scoredLevels {
		excess := logarithm - float64(m.quantiles[level])
		covered := float32(0)
		if excess <= 0 {
			covered = 1
		}
		m.coverage[i] += weight * (covered - m.coverage[i])
		loss += max(levels[level]*excess, (levels[level]-1)*excess)
	}
	m.loss += weight * (float32(loss) - m.loss)
}

// independentSamples is the number of values over which their independence is averaged.
const independentSamples = 64

// tailWidening is the excess of the distance between a quantile and the median, times the
// number of independent values. Few values show too little of the tails; the excess is that
// of Student's t-distribution over sample quantiles.
const tailWidening = 2.5

// widen moves the quantiles away from the median, the more so the fewer independent values
// there are.
func (m *model) widen() {
	excess := tailWidening / max(float64(m.window.count)*m.independent, 1)
	for i := range m.quantiles {
		m.quantiles[i] += float32(min(excess, 1)) * (m.quantiles[i] - m.quantiles[medianLevel])
	}
}

// refresh computes the quantiles and means anew if values were added.
func (m *model) refresh() {
	if !m.isOutdated {
		return
	}
	m.isOutdated = false
	for i, level := range levels {
		m.quantiles[i] = float32(m.window.quantile(level))
	}
	m.widen()
	m.mean, m.typical = m.totals.means()
}

const (
	// minScored is the number of runs after which the measured coverage counts.
	minScored = 50
	// maxMiscoverage is the distance of the measured coverage from its level above which
	// the quantiles are bad. With scoreWeight, chance alone gives up to some 0.1.
	maxMiscoverage = 0.12
)

// miscoverage returns the largest distance of a measured coverage from its level, 0 if too
// few runs were scored.
func (m *model) miscoverage() float64 {
	if m.scored < minScored {
		return 0
	}
	worst := 0.0
	for i, level := range scoredLevels {
		worst = max(worst, math.Abs(float64(m.coverage[i])-levels[level]))
	}
	return worst
}
