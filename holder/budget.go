package holder

import "sync"

// Retries may be one in retryEvery of the requests that succeeded, and some more at the start.
const (
	retryEvery  = 10
	retrySaving = 20
)

// budget keeps retries to a share of what succeeds, so that they never multiply a crest.
type budget struct {
	mu     sync.Mutex
	tokens float64
	filled bool
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(retrySaving, b.tokens+1.0/retryEvery)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) fill() {
	if !b.filled {
		b.tokens, b.filled = retrySaving, true
	}
}
