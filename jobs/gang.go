package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// gangTimeout is the longest time for which a gang keeps a partial reservation.
	gangTimeout = 20 * time.Second
	// gangReservationTTL is how long holders keep such a reservation without another request.
	gangReservationTTL = gangTimeout + 10*time.Second
	// gangReserveTimeout bounds one attempt to reserve capacity for a gang's task.
	gangReserveTimeout = 2 * time.Second
	// minGangBackoff is the first pause after a gang released its reservation; it doubles up to maxGangBackoff.
	minGangBackoff = time.Second
	maxGangBackoff = 2 * time.Minute
)

// gangReservation is the capacity reserved so far for an incomplete gang.
type gangReservation struct {
	reserved  []taskResult
	startedAt time.Time
	timeout   time.Duration
}

// holdGang keeps the partial reservation of a gang until a timeout, so that small work does not always take the capacity
// first. The timeout is random, which resolves a deadlock between gangs that wait for each other's capacity.
func (d *driver) holdGang(ctx context.Context, reserved []taskResult) time.Duration {
	now := time.Now()
	if len(reserved) == 0 {
		d.reservation = gangReservation{}
		return shortPause + rand.N(shortPause)
	}
	if d.reservation.startedAt.IsZero() {
		d.reservation.startedAt, d.reservation.timeout = now, gangTimeout/2+rand.N(gangTimeout/2)
	}
	d.reservation.reserved = reserved
	if now.Sub(d.reservation.startedAt) < d.reservation.timeout {
		return shortPause
	}
	d.releaseGang(ctx)
	d.backoff = min(maxGangBackoff, max(minGangBackoff, 2*d.backoff))
	return d.backoff/2 + rand.N(d.backoff/2)
}

// reservedFor returns the existing reservation for one task of a gang.
func (d *driver) reservedFor(index int) (taskResult, bool) {
	for _, result := range d.reservation.reserved {
		if result.index == index {
			return result, true
		}
	}
	return taskResult{}, false
}

// releaseGang releases the reservation of an incomplete gang.
func (d *driver) releaseGang(ctx context.Context) {
	d.releaseAll(ctx, d.reservation.reserved)
	d.reservation = gangReservation{}
}

func (d *driver) releaseAll(ctx context.Context, reserved []taskResult) {
	ctx = context.WithoutCancel(ctx)
	var wg sync.WaitGroup
	for _, result := range reserved {
		id := d.taskID(result.index)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			d.manager.fleet.Release(ctx, id, result.placement)
		})
	}
	wg.Wait()
}
