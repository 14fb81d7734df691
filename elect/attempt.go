package elect

import "time"

// Attempt is an attempt to acquire a lease, with what the host knew of the earlier holders.
type Attempt struct {
	// Epoch is the epoch that the attempt writes; its version is 0 until it is known to have taken effect.
	Epoch Epoch
	// SentAt is when the request was sent, on the boot clock.
	SentAt time.Duration
	// OrdersUntil is the latest time at which earlier holders may have sent orders, and Unconfirmed maps workers to the time until which runs
	// may be active there.
	OrdersUntil time.Time
	// Witnesses are those of the last holder; none if they can't tell anything. If most of them refuse it, it has not sent orders after
	// UnextendedUntil.
	Witnesses       Witnesses
	UnextendedUntil time.Time
	Unconfirmed     map[string]time.Time
	// Previous is the epoch that the attempt replaces.
	Previous Epoch
}

// NewAttempt returns an attempt to acquire the lease that previous is the last epoch of.
func (v *View) NewAttempt(previous Epoch, sentAt time.Duration, now time.Time) Attempt {
	witnesses, unextendedUntil := v.witnesses(previous.Group, now)
	return Attempt{
		SentAt: sentAt, OrdersUntil: v.OrdersUntil(previous.Group, now), Witnesses: witnesses, UnextendedUntil: unextendedUntil,
		Unconfirmed: v.Unconfirmed(previous.Group), Previous: previous,
	}
}

// Confirm reports whether an attempt without an answer has taken effect, as far as the view knows, and sets its version.
func (v *View) Confirm(a *Attempt) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current, wanted := v.leases[a.Epoch.Group].epoch, a.Epoch
	if wanted.Token == 0 || current.Token != wanted.Token || current.Holder != wanted.Holder || current.Incarnation != wanted.Incarnation {
		return false
	}
	a.Epoch.Version = current.Version
	return true
}
