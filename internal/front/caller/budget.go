package caller

import "sync"

const (
	// retryPart is how many retries each first attempt allows.
	retryPart = 0.1
	// retryStock is the most retries that are saved up.
	retryStock = 10.0
)

// retryBudget keeps retries to a part of the first attempts, so that an outage
// of minions does not multiply the load.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

// earn counts a first attempt.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryPart, retryStock)
}

// spend takes one retry; it returns false if none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
