package share

import (
	"math"
	"sync"
	"time"
)

const (
	// minWeight is the smallest weight of the newest run time in an average. The
	// first 1/minWeight run times have equal weights.
	minWeight = 0.05
	// serviceWeight is the weight of the average over all teams, in runs: after as
	// many runs of a team, its own average counts as much.
	serviceWeight = 5
	// defaultRunTime is predicted for a service without measurements. It is longer
	// than DefaultQuickThreshold, so that unknown work does not count as quick.
	defaultRunTime = 5 * time.Second
)

// Kind is the kind of work for which run times are averaged.
type Kind struct {
	Team    string
	Service string
}

// Predictor estimates run times by kind of work. It averages logarithms, so that
// a single very long run does not outweigh many short ones. While a team has few
// runs of a service, the average over all teams of the service is used in part. A
// Predictor is safe for concurrent use.
type Predictor struct {
	mu       sync.RWMutex
	kinds    map[Kind]logMean
	services map[string]logMean
}

// logMean is an average of the natural logarithms of run times in seconds.
type logMean struct {
	mean  float64
	count int
}

// NewPredictor returns a Predictor without measurements.
func NewPredictor() *Predictor {
	return &Predictor{kinds: make(map[Kind]logMean), services: make(map[string]logMean)}
}

// Predict returns the expected run time of work of the kind.
func (p *Predictor) Predict(kind Kind) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	service := p.services[kind.Service]
	if service.count == 0 {
		return defaultRunTime
	}
	team := p.kinds[kind]
	weight := float64(team.count) / float64(team.count+serviceWeight)
	logSeconds := weight*team.mean + (1-weight)*service.mean
	return time.Duration(math.Exp(logSeconds) * float64(time.Second))
}

// Learn updates the prediction with a measured run time.
func (p *Predictor) Learn(kind Kind, run time.Duration) {
	logSeconds := math.Log(max(run, time.Microsecond).Seconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[kind] = p.kinds[kind].add(logSeconds)
	p.services[kind.Service] = p.services[kind.Service].add(logSeconds)
}

// add returns the average with one more run time, given as its logarithm.
func (m logMean) add(logSeconds float64) logMean {
	m.count++
	weight := max(minWeight, 1/float64(m.count))
	m.mean += weight * (logSeconds - m.mean)
	return m
}
