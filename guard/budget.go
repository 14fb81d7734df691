package guard

import (
	"sync"
	"time"
)

// account is the part of a budget that one connection uses for its current request.
type account struct {
	// evict makes the connection refuse its request soon. It is called with the budget locked, and must neither block nor call the budget.
	evict func()
	// prompt says that the charge is returned at the eviction, since nobody can tell when the memory is released.
	prompt bool
	// The fields below are guarded by the budget's mutex.
	charge  int64
	started time.Time
	// index is the account's place in the budget's list, plus 1; 0 if it isn't listed.
	index    int
	complete bool
	evicted  bool
}

// Budget bounds the bytes that all incomplete requests and those being handled take together. Part of it is reserved for small requests.
type Budget struct {
	total   int64
	reserve int64
	// small is the largest charge of a request that may use the reserve.
	small int64

	mu       sync.Mutex
	accounts []*account
	// used is the sum of all charges, and usedByLarge of those above small.
	used        int64
	usedByLarge int64
	// leaving and leavingLarge are the parts of these sums that belong to evicted requests, whose memory is still in use until their
	// connections release it.
	leaving      int64
	leavingLarge int64
	released     *sync.Cond
	// onRefusal is called without the lock for each request that the budget turns away.
	onRefusal func()
}

// newBudget returns a budget of total bytes.
func newBudget(total int64, onRefusal func()) *Budget {
	const reservedPart, smallPart = 4, 64
	b := &Budget{total: total, reserve: total / reservedPart, small: min(maxSmallCharge, total/smallPart), onRefusal: onRefusal}
	b.released = sync.NewCond(&b.mu)
	return b
}

// maxCharge returns the largest charge that the budget ever allows.
func (b *Budget) maxCharge() int64 { return b.total - b.reserve }

// maxSmallCharge is the charge of a request of about 8 kB.
const maxSmallCharge = 64 << 10

// Used returns the bytes in use, and Total the bytes that may be used.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.total }

// grow raises the charge of a to the given one. If the budget doesn't allow that, incomplete requests are evicted first, the slowest and
// largest of them first. It reports whether a has the charge; if not, its request is to be refused.
func (b *Budget) grow(a *account, charge int64, now time.Time) bool {
	b.mu.Lock()
	ok := b.growLocked(a, charge, now)
	b.mu.Unlock()
	if !ok {
		b.onRefusal()
	}
	return ok
}

func (b *Budget) growLocked(a *account, charge int64, now time.Time) bool {
	for {
		switch {
		case a.evicted:
			return false
		case charge <= a.charge:
			return true
		case b.fits(a, charge, 0, 0):
			b.setCharge(a, charge)
			return true
		case b.fits(a, charge, b.leaving, b.leavingLarge):
			// Evicted requests release their memory within a moment.
			b.released.Wait()
			continue
		}
		victim := b.worst(a, charge, now)
		if victim == nil {
			return false
		}
		b.evictLocked(victim)
	}
}

// fits reports whether a may have the given charge once the given parts of what is in use are released.
func (b *Budget) fits(a *account, charge, leaving, leavingLarge int64) bool {
	if b.used-leaving-a.charge+charge > b.total {
		return false
	}
	if charge <= b.small {
		return true
	}
	large := b.usedByLarge - leavingLarge
	if a.charge > b.small {
		large -= a.charge
	}
	return large+charge <= b.total-b.reserve
}

// worst returns the incomplete request with the largest product of charge and age. Small requests are only considered if the whole budget
// is used up. If a wants a charge, it is one of the candidates with that charge.
func (b *Budget) worst(a *account, charge int64, now time.Time) *account {
	var worst *account
	worstScore := int64(-1)
	wholeUsed := b.used-b.leaving-a.charge+charge > b.total
	consider := func(x *account, charge int64) {
		if x.complete || x.evicted || (charge <= b.small && !wholeUsed) {
			return
		}
		if score := charge * (1 + now.Sub(x.started).Milliseconds()); score > worstScore {
			worst, worstScore = x, score
		}
	}
	for _, x := range b.accounts {
		if x != a {
			consider(x, x.charge)
		}
	}
	consider(a, charge)
	return worst
}

func (b *Budget) evictLocked(a *account) {
	a.evicted = true
	if a.prompt {
		b.setCharge(a, 0)
	}
	b.leaving += a.charge
	if a.charge > b.small {
		b.leavingLarge += a.charge
	}
	a.evict()
	// The request may be one that waits.
	b.released.Broadcast()
}

// setCharge changes the charge of a, and lists a as long as it has one.
func (b *Budget) setCharge(a *account, charge int64) {
	b.used += charge - a.charge
	if a.charge > b.small {
		b.usedByLarge -= a.charge
	}
	if charge > b.small {
		b.usedByLarge += charge
	}
	a.charge = charge
	switch {
	case charge > 0 && a.index == 0:
		b.accounts = append(b.accounts, a)
		a.index = len(b.accounts)
	case charge == 0 && a.index > 0:
		last := len(b.accounts) - 1
		moved := b.accounts[last]
		b.accounts[a.index-1] = moved
		moved.index = a.index
		b.accounts[last] = nil
		b.accounts = b.accounts[:last]
		a.index = 0
	}
}

// completed protects the request of a from eviction, and reports false if it has been evicted already.
func (b *Budget) completed(a *account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.complete = true
	return !a.evicted
}

// release returns the charge of a, whose next request begins anew.
func (b *Budget) release(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		b.leaving -= a.charge
		if a.charge > b.small {
			b.leavingLarge -= a.charge
		}
	}
	b.setCharge(a, 0)
	b.released.Broadcast()
	a.complete, a.evicted, a.started = false, false, time.Time{}
}

// Reserve takes bytes for handling a complete request beyond what its size stands for, if need be from incomplete requests. It returns a
// function that returns them, and whether there were enough.
func (b *Budget) Reserve(bytes int64) (func(), bool) {
	a := &account{complete: true, evict: func() {}, started: time.Now()}
	if !b.grow(a, bytes, a.started) {
		return nil, false
	}
	return func() { b.release(a) }, true
}
