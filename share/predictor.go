package share

import (
	"math"
	"sync"
	"time"
)

const (
	// learning is the least weight of the newest run time in an average. The
	// first ones have equal weights.
	learning = 0.05
	// trust is how many runs of a team make its own average count as much as
	// that of the service.
	trust = 5
	// unknownRun is predicted for work of a service that was never measured. It
	// does not count as quick.
	unknownRun = 5 * time.Second
)

// Kind is what run times are learned by.
type Kind struct {
	Team    string
	Service string
}

// Predictor learns the run time of work by kind. It averages logarithms, so
// that one very long run does not hide many short ones. What is not yet known
// of a team is taken from all teams that use the service. It is safe for
// concurrent use.
type Predictor struct {
	mu       sync.RWMutex
	kinds    map[Kind]average
	services map[string]average
}

// average is that of the natural logarithms of run times in seconds.
type average struct {
	value float64
	count int
}

// NewPredictor returns a Predictor that has measured nothing.
func NewPredictor() *Predictor {
	return &Predictor{kinds: make(map[Kind]average), services: make(map[string]average)}
}

// Predict returns the expected run time of work of the kind.
func (p *Predictor) Predict(kind Kind) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	service := p.services[kind.Service]
	if service.count == 0 {
		return unknownRun
	}
	own := p.kinds[kind]
	weight := float64(own.count) / float64(own.count+trust)
	logarithm := weight*own.value + (1-weight)*service.value
	return time.Duration(math.Exp(logarithm) * float64(time.Second))
}

// Learn corrects the prediction by a measured run time.
func (p *Predictor) Learn(kind Kind, run time.Duration) {
	logarithm := math.Log(max(run, time.Microsecond).Seconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[kind] = p.kinds[kind].with(logarithm)
	p.services[kind.Service] = p.services[kind.Service].with(logarithm)
}

func (a average) with(logarithm float64) average {
	a.count++
	weight := max(learning, 1/float64(a.count))
	a.value += weight * (logarithm - a.value)
	return a
}
