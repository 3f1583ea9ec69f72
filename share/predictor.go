package share

import (
	"math"
	"sync"
	"time"
)

const (
	// learning is the weight of the newest run time in the average.
	learning = 0.2
	// unknownRun is predicted for work that was never measured.
	unknownRun = time.Second
)

// Predictor learns the run time of work by kind. It averages logarithms, so
// that one very long run does not hide many short ones. It is safe for
// concurrent use.
type Predictor[K comparable] struct {
	mu   sync.RWMutex
	runs map[K]float64
}

// NewPredictor returns a Predictor that has measured nothing.
func NewPredictor[K comparable]() *Predictor[K] {
	return &Predictor[K]{runs: make(map[K]float64)}
}

// Predict returns the expected run time of work of the kind.
func (p *Predictor[K]) Predict(kind K) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	logarithm, ok := p.runs[kind]
	if !ok {
		return unknownRun
	}
	return time.Duration(math.Exp(logarithm))
}

// Learn corrects the prediction by a measured run time.
func (p *Predictor[K]) Learn(kind K, run time.Duration) {
	logarithm := math.Log(float64(max(run, time.Microsecond)))
	p.mu.Lock()
	defer p.mu.Unlock()
	before, ok := p.runs[kind]
	if !ok {
		before = logarithm
	}
	p.runs[kind] = before + learning*(logarithm-before)
}
