package forecast

import (
	"cmp"
	"slices"
	"time"
)

// Report is the accuracy of the predictions for a queue and step, as measured while runs
// ended.
type Report struct {
	Queue string `json:"queue"`
	Step  int    `json:"step"`
	// Median and Upper are the 0.5 and 0.95 quantiles of the run time.
	Median time.Duration `json:"median"`
	Upper  time.Duration `json:"upper"`
	// Confidence is that of a prediction, Runs the number of runs that it is based on.
	Confidence float64 `json:"confidence"`
	Runs       int     `json:"runs"`
	// Coverage holds the fractions of runs up to the 0.5, 0.9 and 0.95 quantiles, Error the
	// mean pinball loss of these, in logarithms. Both are 0 before runs were scored.
	Coverage [len(scoredLevels)]float32 `json:"coverage"`
	Error    float32                    `json:"error"`
}

// Reports returns the accuracy by queue and step, sorted by these. The coarsest kinds are
// reported, since there are few of them.
func (f *Forecaster) Reports() []Report {
	reports := make([]Report, 0, len(f.queues))
	for id, k := range f.queues {
		d := k.predict(0, ByQueue)
		reports = append(reports, Report{
			Queue: id.queue, Step: id.step, Median: d.Quantile(0.5), Upper: d.Quantile(0.95),
			Confidence: d.Confidence, Runs: d.Runs, Coverage: k.times.coverage, Error: k.times.loss,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step)) })
	return reports
}
