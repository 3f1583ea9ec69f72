package forecast

import (
	"math"
	"time"
)

// Source is what a prediction is based on.
type Source int

// Sources of predictions, from coarse to fine.
const (
	// Declared is the declared run time, or the default.
	Declared Source = iota
	// ByQueue are the runs of the same queue and step.
	ByQueue
	// ByAccount are the runs of the same client account, queue and step.
	ByAccount
	// ByImage are the runs of the same image, queue and step.
	ByImage
)

// String returns the source as shown in dumps.
func (s Source) String() string {
	return [...]string{"declared", "queue", "account", "image"}[s]
}

// Distribution is the predicted distribution of a task's run time.
type Distribution struct {
	Source Source
	// Confidence is from 0 (the declared run time) to 1.
	Confidence float64
	// Runs is the number of runs that the prediction is based on.
	Runs int
	// Mean and Typical are the mean run times with and without stragglers.
	Mean, Typical time.Duration

	// factor is multiplied with the quantiles of the model.
	factor    float64
	quantiles [len(levels)]float32
	spread    *spread
}

// Quantile returns the run time that the task does not exceed with a probability from 0.05
// to 0.99.
func (d *Distribution) Quantile(level float64) time.Duration {
	i := 1
	for i < len(levels)-1 && levels[i] < level {
		i++
	}
	position := min(max((level-levels[i-1])/(levels[i]-levels[i-1]), 0), 1)
	logarithm := float64(d.quantiles[i-1]) + position*float64(d.quantiles[i]-d.quantiles[i-1])
	return seconds(d.factor * math.Exp(logarithm))
}

// Maximum returns the expected run time of the slowest of several tasks of one step,
// stragglers left out.
func (d *Distribution) Maximum(tasks int) time.Duration {
	return time.Duration(d.spread.maximum(tasks) * float64(d.Typical))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// declaredQuantiles are the quantiles of the ratio of run time to declared run time that are
// assumed without measurements: those of a log-normal distribution with a sigma of 0.5.
var declaredQuantiles = [len(levels)]float32{-0.82, -0.34, 0, 0.34, 0.64, 0.82, 1.16}

// declared returns the prediction from the declared run time alone.
func declared(runTime time.Duration) Distribution {
	return Distribution{Mean: runTime, Typical: runTime, factor: runTime.Seconds(), quantiles: declaredQuantiles}
}
