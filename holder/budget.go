package holder

import "sync"

// One retry is allowed per successesPerRetry successful requests. At most maxRetryTokens retries are saved up; the budget
// starts with as many.
const (
	successesPerRetry = 10
	maxRetryTokens    = 20
)

// retryBudget is a token bucket that limits retries to a share of the successful requests, so that they never multiply a
// load peak.
type retryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lazyInit()
	b.tokens = min(maxRetryTokens, b.tokens+1.0/successesPerRetry)
}

func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lazyInit()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) lazyInit() {
	if !b.initialized {
		b.tokens, b.initialized = maxRetryTokens, true
	}
}
