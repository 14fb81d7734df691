package budget

// Limit is how much of something may be held, in any unit.
type Limit int64

const (
	// Large holders may take the limit up to largeNumerator/largeParts of it, so that they leave room for small ones.
	largeNumerator, largeParts = 3, 4
	// smallPart is the part of the limit up to which a holder is small.
	smallPart = 64
)

// Room returns how much more a holder may take that has own of what is used in all.
func (l Limit) Room(used, own int64) int64 {
	return max(0, int64(l)/largeParts*largeNumerator-used, min(int64(l)-used, int64(l)/smallPart-own))
}

// ForLarge returns the least limit that admits a large holder of an amount.
func ForLarge(amount int64) Limit {
	return Limit((amount + largeNumerator - 1) / largeNumerator * largeParts)
}

// Admits reports whether a new holder may take an amount beside what is used.
func (l Limit) Admits(used, amount int64) bool { return amount <= l.Room(used, 0) }
