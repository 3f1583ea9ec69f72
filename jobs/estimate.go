package jobs

import (
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/forecast"
)

// maxEstimateAge is how long estimates from learned run times are kept for a job. Planning
// reads them for each job 25 times a second, and predicting them each time made it half as
// slow again.
const maxEstimateAge = 500 * time.Millisecond

// estimate holds what is predicted of a step.
type estimate struct {
	// mean is the mean run time of a task, median its 0.5 quantile, slowest the expected run
	// time of the step's slowest task.
	mean, median, slowest time.Duration
}

// refreshEstimates makes all jobs predict their steps anew once maxEstimateAge has passed.
func (c *Cell) refreshEstimates(now time.Time) {
	if now.Sub(c.estimatesAt) >= maxEstimateAge {
		c.estimatesAt = now
		c.estimateRound++
	}
}

// estimateOf returns what is predicted of a step. It must be called only with
// Config.IsForecasting.
func (c *Cell) estimateOf(j *job, number int) estimate {
	if j.estimates == nil || j.estimateRound != c.estimateRound {
		c.estimate(j)
	}
	return j.estimates[number]
}

func (c *Cell) estimate(j *job) {
	if j.estimates == nil {
		j.estimates = make([]estimate, len(j.Steps))
	}
	j.estimateRound = c.estimateRound
	for i := range j.Steps {
		d := c.predict(j, i)
		j.estimates[i] = estimate{mean: d.Mean, median: d.Quantile(orderLevel), slowest: d.Maximum(j.Steps[i].Count)}
	}
}

// predict returns the predicted distribution of the run time of a step's tasks. It must be
// called only with Config.IsForecasting.
func (c *Cell) predict(j *job, number int) forecast.Distribution {
	return c.runTimes.forecaster.Predict(j.kindOf(number))
}
