package lease

import (
	"sync"
	"time"
)

// Margin is how long before its end a holder stops to rely on a lease, against clocks that run at different speeds.
const Margin = 200 * time.Millisecond

// Lease is the holder's view of a lease with an epoch.
type Lease struct {
	mu         sync.Mutex
	epoch      uint64
	validUntil time.Time
}

// Granted notes that the lease was granted or renewed for ttl by a call that was sent at sent.
func (l *Lease) Granted(epoch uint64, sentAt time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.validUntil = epoch, sentAt.Add(ttl-Margin)
}

// Lost notes that the lease is somebody else's or was released.
func (l *Lease) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = time.Time{}
}

// Valid returns the epoch and whether the lease is in force at now.
func (l *Lease) Valid(now time.Time) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, now.Before(l.validUntil)
}

// Remaining returns how long the lease is in force after now, 0 if it is not.
func (l *Lease) Remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.validUntil.Sub(now))
}
