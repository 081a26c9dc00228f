package routing

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryPerSuccess is the fraction of a retry that one success adds to the budget.
	retryPerSuccess = 0.1
	// maxRetries is the capacity of the budget, which starts full.
	maxRetries = 50.0
	// firstRetryDelay bounds the first delay of a request. The bound doubles with each retry, up
	// to maxRetryDelay.
	firstRetryDelay = 5 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
)

// RetryBudget limits retries to a fraction of recent successes, so that a failing pool does not
// multiply its load. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetries} }

// Succeeded adds the fraction of a retry that one success earns.
func (b *RetryBudget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryPerSuccess, maxRetries)
}

// Take consumes one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryDelay returns the delay before retry n (from 0) of a request: a random time up to an
// exponentially growing bound.
func RetryDelay(n int) time.Duration {
	bound := min(firstRetryDelay<<min(n, 10), maxRetryDelay)
	return time.Duration(rand.Int64N(int64(bound) + 1))
}
