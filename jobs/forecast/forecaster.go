package forecast

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the kinds by image and by client account, maxQueueKinds those by
	// queue. With both, a Forecaster takes at most some 0.5 MB.
	maxKinds      = 256
	maxQueueKinds = 64
	// maxStep bounds the step number that tells kinds apart; later steps share a kind.
	maxStep = 15
	// minRuns is the number of runs from which a kind is preferred to a coarser one,
	// minAnyRuns that from which it is preferred to the declared run time.
	minRuns    = 10
	minAnyRuns = 3
	// ratioAdvantage is the loss of the ratio to the declared run time, relative to that of
	// the run time itself, below which the ratio is used.
	ratioAdvantage = 0.97
	// defaultRunTime is assumed if a run time is neither measured nor declared.
	defaultRunTime = time.Second
)

// Task describes a task whose run time is observed or predicted.
type Task struct {
	Image, Queue, Account string
	Step                  int
	// Declared is the run time that the submitter states, 0 if none.
	Declared time.Duration
}

// Run is a run that has ended.
type Run struct {
	Task
	Duration time.Duration
	// IsCensored reports that the run was ended before its work was done, so that Duration
	// is only a lower bound.
	IsCensored bool
	// Tasks is the number of tasks of the step, Siblings the number of runs of the same step
	// of the same job that were observed before. Their run times resemble each other.
	Tasks, Siblings int
}

// Forecaster learns run times.
type Forecaster struct {
	kinds  map[key]*kind
	queues map[key]*kind
	// counter counts observations, to find the kind that was not used for longest.
	counter uint64
}

// New returns a Forecaster that has learned nothing.
func New() *Forecaster {
	return &Forecaster{kinds: make(map[key]*kind), queues: make(map[key]*kind)}
}

// Observe learns from a run.
func (f *Forecaster) Observe(r Run) {
	if r.Duration <= 0 {
		return
	}
	if r.IsCensored && !f.isInformative(r) {
		return
	}
	f.counter++
	for _, source := range [...]Source{ByImage, ByAccount, ByQueue} {
		if k := f.kindOf(r.Task, source); k != nil {
			k.observe(r, f.counter)
		}
	}
}

// isInformative reports whether a run that was ended early has lasted longer than almost all
// runs of its kind. Shorter ones show nothing, and learning only from those that ended would
// make run times seem too short.
func (f *Forecaster) isInformative(r Run) bool {
	d := f.Predict(r.Task)
	return d.Source != Declared && r.Duration > d.Quantile(0.95)
}

// ObserveStep learns how the tasks of a step differ from their run times in seconds, which it
// sorts.
func (f *Forecaster) ObserveStep(t Task, seconds []float64) {
	if len(seconds) < 2 || len(seconds) > maxSpreadTasks {
		return
	}
	for _, source := range [...]Source{ByImage, ByAccount, ByQueue} {
		if k := f.find(t, source); k != nil {
			k.spread.observe(seconds)
		}
	}
}

// Predict returns the distribution of a task's run time. It does not allocate.
func (f *Forecaster) Predict(t Task) Distribution {
	var fallback *kind
	fallbackSource := Declared
	for _, source := range [...]Source{ByImage, ByAccount, ByQueue} {
		k := f.find(t, source)
		if k == nil {
			continue
		}
		m, _ := k.choose(t.Declared)
		if m.window.count >= minRuns && m.miscoverage() <= maxMiscoverage {
			return k.predict(t.Declared, source)
		}
		if m.window.count >= minAnyRuns && (fallback == nil || k.isBetter(fallback, t.Declared)) {
			fallback, fallbackSource = k, source
		}
	}
	if fallback != nil {
		return fallback.predict(t.Declared, fallbackSource)
	}
	if t.Declared <= 0 {
		return declared(defaultRunTime)
	}
	return declared(t.Declared)
}

// logarithmOf returns the logarithm of a duration in seconds.
func logarithmOf(d time.Duration) float64 { return math.Log(d.Seconds()) }
