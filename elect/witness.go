package elect

import (
	"math"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Times of orders that are sent while the lease is not renewed.
const (
	// UnextendedTimeout is how long after sending its last successful renewal a holder may send orders unless most of its witnesses have extended
	// that to HoldTimeout.
	UnextendedTimeout = 1000 * time.Millisecond
	// ExtendAfter is the age of a lease from which its holder asks the witnesses.
	ExtendAfter = 700 * time.Millisecond
	// extensionSlack covers slow clocks and slow answers of witnesses.
	extensionSlack = time.Second
)

// rowWitnesses is the row with a holder's witnesses.
const rowWitnesses = "witnesses"

// Peer is a process of a host.
type Peer struct {
	Host        string `json:"host"`
	Incarnation string `json:"life"`
}

// Witnesses is a holder's durable record of its witnesses: the processes that it asks before it sends orders past UnextendedTimeout, and that the next
// holder asks whether they have agreed. Each needs more than half of them, so that one process at least knows of both.
type Witnesses struct {
	Token uint64 `json:"token"`
	Peers []Peer `json:"peers"`
}

// Majority reports whether the processes that agreed are more than half.
func (w Witnesses) Majority(agreed map[Peer]bool) bool {
	n := 0
	for _, p := range w.Peers {
		if agreed[p] {
			n++
		}
	}
	return 2*n > len(w.Peers)
}

// WitnessesKey returns the key of the record of a group's witnesses.
func WitnessesKey(group string) table.Key {
	return table.Key{Table: Table, Partition: group, Name: rowWitnesses}
}

// witnesses returns the witnesses of the lease's holder, and until when it may have sent orders if they have not extended that; none if there is no
// holder, or if it has not recorded any.
func (v *View) witnesses(group string, now time.Time) (w Witnesses, ordersUntil time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.leases[group]
	if s.epoch.Holder == "" || s.witnesses.record.Token != s.epoch.Token || len(s.witnesses.record.Peers) == 0 {
		return Witnesses{}, now
	}
	ordersUntil = v.ordersUntil(group, now, UnextendedTimeout)
	if s.witnesses.seenAt.After(ordersUntil) {
		// Earlier witnesses may have extended it until the holder replaced them.
		ordersUntil = s.witnesses.seenAt
	}
	return s.witnesses.record, ordersUntil
}

// Witness is what a process keeps as a witness. The zero value is ready for use.
type Witness struct {
	mu     sync.Mutex
	groups map[string]*witnessState
}

// witnessState is what a witness has told the holders of a group.
type witnessState struct {
	// extendedAt is when a holder was last told that it may go on, on the boot clock.
	extendedAt time.Duration
	// refused is the highest token whose holder may not be told that any more.
	refused uint64
}

func (w *Witness) of(group string) *witnessState {
	t, ok := w.groups[group]
	if !ok {
		if w.groups == nil {
			w.groups = map[string]*witnessState{}
		}
		t = &witnessState{extendedAt: math.MinInt64 / 2}
		w.groups[group] = t
	}
	return t
}

// Extend records at the given time that a holder goes on without renewals of its lease; false means that it may not.
func (w *Witness) Extend(group string, token uint64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.of(group)
	if token <= t.refused {
		return false
	}
	t.extendedAt = max(t.extendedAt, now)
	return true
}

// Refuse keeps the holder under a token, which has been replaced, from being told that it may go on; false means that a holder was told so in the
// given time, and may have sent orders for HoldTimeout after that.
func (w *Witness) Refuse(group string, token uint64, within, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.of(group)
	t.refused = max(t.refused, token)
	return now-t.extendedAt > within
}

// RefuseWithin returns in which time before now no witness may have let the last holder go on, if that sent no orders after ordersUntil.
func RefuseWithin(ordersUntil, now time.Time) time.Duration {
	return max(0, now.Sub(ordersUntil)) + HoldTimeout + extensionSlack
}
