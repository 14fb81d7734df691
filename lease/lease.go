package lease

import (
	"sync"
	"time"
)

// Margin is how long before its expiry a holder stops relying on a lease, because clocks run at different speeds.
const Margin = 200 * time.Millisecond

// Lease is the holder's view of a lease with an epoch.
type Lease struct {
	mu         sync.Mutex
	epoch      uint64
	validUntil time.Time
}

// Granted records that the lease was granted or renewed for ttl, by a request sent at sentAt.
func (l *Lease) Granted(epoch uint64, sentAt time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.validUntil = epoch, sentAt.Add(ttl-Margin)
}

// Lost records that another holder has the lease or that it was released.
func (l *Lease) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = time.Time{}
}

// Valid returns the epoch and whether the lease is valid at now.
func (l *Lease) Valid(now time.Time) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, now.Before(l.validUntil)
}

// Remaining returns how long the lease stays valid after now, or 0 if it isn't valid.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.validUntil.Sub(now))
}
