package owner

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// accuracyInterval is how often the accuracy of predicted run times is reported.
const accuracyInterval = 30 * time.Second

// reportAccuracy logs and measures how accurate the predicted run times of each queue and
// step are.
func (o *Owner) reportAccuracy(now time.Time) {
	if now.Sub(o.accuracyReported) < accuracyInterval {
		return
	}
	o.accuracyReported = now
	for _, r := range o.cell.RunTimes() {
		coverage := make([]int, len(r.Coverage))
		for i, c := range r.Coverage {
			coverage[i] = int(c*1000 + 0.5)
		}
		event.RunTimesLearned.Log(o.config.Log, logrus.Fields{
			"queue": r.Queue, "step": r.Step, "coverage": coverage, "error": r.Error, "runs": r.Runs,
			"median": r.Median.Milliseconds(), "upper": r.Upper.Milliseconds(), "epoch": int64(o.epoch),
		})
		if o.config.Scope != nil {
			scope := o.config.Scope.Tagged(map[string]string{"queue": r.Queue, "step": strconv.Itoa(r.Step)})
			scope.Gauge("forecast_coverage").Update(float64(r.Coverage[1]))
			scope.Gauge("forecast_error").Update(float64(r.Error))
		}
	}
}
