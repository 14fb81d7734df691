package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// gangPatience is the longest time for which a gang keeps the room that it has while the rest is missing.
	gangPatience = 20 * time.Second
	// gangHold is how long holders keep such room when they hear nothing more.
	gangHold = gangPatience + 10*time.Second
	// gangWait is how long one look for room of a gang's task waits.
	gangWait = 2 * time.Second
	// gangBackoff is the first pause after a gang gave its room back; it doubles up to gangMost.
	gangBackoff = time.Second
	gangMost    = 2 * time.Minute
)

// gathering is the room that a gang has so far.
type gathering struct {
	kept     []step
	since    time.Time
	patience time.Duration
}

// gather keeps the room of an incomplete gang for a while, so that small work does not always take it first; two gangs
// that wait for each other's room end that by patience of different lengths.
func (d *driver) gather(ctx context.Context, reserved []step) time.Duration {
	now := time.Now()
	if len(reserved) == 0 {
		d.gang = gathering{}
		return fastRound + rand.N(fastRound)
	}
	if d.gang.since.IsZero() {
		d.gang.since, d.gang.patience = now, gangPatience/2+rand.N(gangPatience/2)
	}
	d.gang.kept = reserved
	if now.Sub(d.gang.since) < d.gang.patience {
		return fastRound
	}
	d.letGo(ctx)
	d.backoff = min(gangMost, max(gangBackoff, 2*d.backoff))
	return d.backoff/2 + rand.N(d.backoff/2)
}

// keptFor returns the room that a gang has for one of its tasks.
func (d *driver) keptFor(index int) (step, bool) {
	for _, s := range d.gang.kept {
		if s.index == index {
			return s, true
		}
	}
	return step{}, false
}

// letGo gives the room of an incomplete gang back.
func (d *driver) letGo(ctx context.Context) {
	d.releaseAll(ctx, d.gang.kept)
	d.gang = gathering{}
}

func (d *driver) releaseAll(ctx context.Context, reserved []step) {
	ctx = context.WithoutCancel(ctx)
	var wg sync.WaitGroup
	for _, s := range reserved {
		id := d.taskID(s.index)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			d.book.fleet.Release(ctx, id, s.at)
		})
	}
	wg.Wait()
}
