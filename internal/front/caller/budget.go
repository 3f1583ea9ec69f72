package caller

import "sync"

const (
	// retryRatio is the number of retry tokens that each request adds.
	retryRatio = 0.1
	// maxRetryTokens bounds the retries that can be made in one burst.
	maxRetryTokens = 10.0
)

// retryBudget is a token bucket that limits retries to a fraction of the requests,
// so that a failure of minions does not multiply the load. The zero value has no
// tokens. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds the tokens for one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes the token for one retry. It returns false if none is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
