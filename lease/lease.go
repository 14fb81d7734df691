package lease

import (
	"sync"
	"time"
)

// Margin is how long before its expiry a holder stops relying on a lease, because clocks run at different speeds.
const Margin = 200 * time.Millisecond

// Lease is the holder's view of a lease with an epoch. Its times are since boot, by a clock that counts suspended time.
type Lease struct {
	mu         sync.Mutex
	epoch      uint64
	validUntil time.Duration
}

// Granted records that the lease was granted or renewed for ttl, by a request sent at sentAt.
func (l *Lease) Granted(epoch uint64, sentAt, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.validUntil = epoch, sentAt+ttl-Margin
}

// Lost records that another holder has the lease or that it was released.
func (l *Lease) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = 0
}

// Valid returns the epoch and whether the lease is valid at now.
func (l *Lease) Valid(now time.Duration) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, now < l.validUntil
}

// Remaining returns how long the lease stays valid after now, or 0 if it isn't valid.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.validUntil-now)
}
