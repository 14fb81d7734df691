package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
)

const (
	// numWitnesses is how many witnesses a holder has, if there are so many other processes: one of three may be lost, and the others still tell.
	numWitnesses = 3
	// witnessInterval is how often a holder compares its witnesses with the candidates, probeInterval how often it looks whether they answer, and
	// witnessRetryDelay when it repeats a record that was not stored.
	witnessInterval   = 500 * time.Millisecond
	probeInterval     = 5 * time.Second
	witnessRetryDelay = 50 * time.Millisecond
	// witnessTimeout limits a round of questions to witnesses, and refuseRounds how many there are after a take-over.
	witnessTimeout = 300 * time.Millisecond
	refuseRounds   = 2
)

// noExtension is a time on the boot clock from which no extension would still hold.
const noExtension = -int64(elect.HoldTimeout)

// Witnesses are the processes of other hosts that tell what this host may do with its lease; see elect.Witnesses.
type Witnesses interface {
	// Candidates lists the processes that can be asked, the best ones first.
	Candidates() []elect.Peer
	// Extend asks a process to let the holder under a token go on, and Refuse to let it no more, if no holder was let in the given time; false if not,
	// or without an answer. See elect.Witness.
	Extend(ctx context.Context, p elect.Peer, group string, token uint64) bool
	Refuse(ctx context.Context, p elect.Peer, group string, token uint64, within time.Duration) bool
	// Probe reports whether a process answers; one that doesn't is no candidate for a while.
	Probe(ctx context.Context, p elect.Peer) bool
}

// extension is what permits a holder to send orders past elect.UnextendedTimeout.
type extension struct {
	// row is the row with the record of witnesses; only witnessLoop uses it.
	row groupRow
	// needed is set before the first record is sent: until then, the next holder asks nobody.
	needed atomic.Bool
	// extended is when the renewal was sent after which the witnesses have agreed, on the boot clock.
	extended atomic.Int64

	mu sync.Mutex
	// records holds the records that may be stored: the last one that is, and those that were sent since.
	records []elect.Witnesses
}

// sending adds a record that is about to be sent. What only other witnesses have agreed to ends, since the next holder won't ask those.
func (e *extension) sending(w elect.Witnesses) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.needed.Store(true)
	if !contains(e.records, w) {
		e.extended.Store(noExtension)
		e.records = append(e.records, w)
	}
}

func contains(records []elect.Witnesses, w elect.Witnesses) bool {
	return slices.ContainsFunc(records, func(other elect.Witnesses) bool { return slices.Equal(other.Peers, w.Peers) })
}

// stored drops all records but the one that is stored.
func (e *extension) stored(w elect.Witnesses) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = []elect.Witnesses{w}
}

func (e *extension) current() []elect.Witnesses {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.records)
}

// grant records that the witnesses of the given records have agreed after a renewal, unless others have been added.
func (e *extension) grant(asked []elect.Witnesses, renewedAt int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.records {
		if !contains(asked, w) {
			return
		}
	}
	e.extended.Store(renewedAt)
}

// ordersPermitted reports whether orders may be sent at a time on the boot clock.
func (r *Runner) ordersPermitted(now time.Duration) bool {
	age := now - time.Duration(r.renewedAt.Load())
	if age < elect.UnextendedTimeout || !r.extension.needed.Load() {
		return age < elect.HoldTimeout
	}
	return now-time.Duration(r.extension.extended.Load()) < elect.HoldTimeout
}

// witnessLoop keeps the record of witnesses up to date.
func (r *Runner) witnessLoop(ctx context.Context) error {
	var recorded []elect.Peer
	probedAt := r.cfg.SinceBoot()
	for ctx.Err() == nil {
		if now := r.cfg.SinceBoot(); now-probedAt >= probeInterval {
			probedAt = now
			r.probeWitnesses(ctx, recorded)
		}
		peers := chooseWitnesses(recorded, r.cfg.Witnesses.Candidates())
		if len(peers) == 0 || slices.Equal(peers, recorded) || r.LeaseAge() >= elect.ExtendAfter {
			clock.Pause(ctx, witnessInterval)
			continue
		}
		record := elect.Witnesses{Token: r.cfg.Epoch.Token, Peers: peers}
		r.extension.sending(record)
		stored, err := r.storeRow(ctx, &r.extension.row, record)
		if err != nil {
			return err
		}
		if stored {
			r.extension.stored(record)
			recorded = peers
			continue
		}
		clock.Pause(ctx, witnessRetryDelay)
	}
	return ctx.Err()
}

// probeWitnesses looks whether witnesses answer.
func (r *Runner) probeWitnesses(ctx context.Context, peers []elect.Peer) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { r.cfg.Witnesses.Probe(ctx, p) })
	}
	wg.Wait()
}

// chooseWitnesses returns an odd number of candidates, with as many of the present witnesses as possible; it keeps those if there are no candidates.
func chooseWitnesses(present, candidates []elect.Peer) []elect.Peer {
	size := min(numWitnesses, len(candidates))
	if size%2 == 0 {
		size--
	}
	if size <= 0 {
		return present
	}
	chosen := slices.DeleteFunc(slices.Clone(present), func(p elect.Peer) bool { return !slices.Contains(candidates, p) })
	for _, p := range candidates {
		if !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen[:size]
}

// extendLoop asks the witnesses whenever the lease has not been renewed for some time.
func (r *Runner) extendLoop(ctx context.Context) error {
	warnedAfter := noExtension
	for clock.Pause(ctx, holdCheckInterval) {
		renewedAt := r.renewedAt.Load()
		age := r.cfg.SinceBoot() - time.Duration(renewedAt)
		asked := r.extension.current()
		if age < elect.ExtendAfter || age >= elect.HoldTimeout || len(asked) == 0 || r.extension.extended.Load() == renewedAt {
			continue
		}
		agreed := askWitnesses(ctx, asked, func(ctx context.Context, p elect.Peer) bool {
			return r.cfg.Witnesses.Extend(ctx, p, r.cfg.Epoch.Group, r.cfg.Epoch.Token)
		})
		if agreed {
			r.extension.grant(asked, renewedAt)
			r.wakePlan()
		} else if !r.holds() && warnedAfter != renewedAt {
			warnedAfter = renewedAt
			r.log.Warn("too few witnesses agree; no orders are sent until the lease is renewed")
		}
	}
	return ctx.Err()
}

// narrowOrders finds out from the last holder's witnesses whether it may have sent orders for as long as with their agreement.
func (r *Runner) narrowOrders(ctx context.Context) {
	if len(r.cfg.LastWitnesses.Peers) == 0 || !r.cfg.UnextendedUntil.Before(r.cfg.PreviousOrdersUntil) {
		return
	}
	for range refuseRounds {
		within := elect.RefuseWithin(r.cfg.UnextendedUntil, time.Now())
		refused := askWitnesses(ctx, []elect.Witnesses{r.cfg.LastWitnesses}, func(ctx context.Context, p elect.Peer) bool {
			return r.cfg.Witnesses.Refuse(ctx, p, r.cfg.Epoch.Group, r.cfg.LastWitnesses.Token, within)
		})
		if refused {
			r.log.WithField("by", r.cfg.PreviousOrdersUntil.Sub(r.cfg.UnextendedUntil).Round(time.Millisecond).String()).Info(
				"witnesses tell that the last holder stopped sending orders before it had to")
			r.cfg.PreviousOrdersUntil = r.cfg.UnextendedUntil
			return
		}
	}
}

// askWitnesses asks all processes of some records, and reports whether most of each record's answered with true.
func askWitnesses(ctx context.Context, records []elect.Witnesses, ask func(ctx context.Context, p elect.Peer) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	agreed := map[elect.Peer]bool{}
	for _, w := range records {
		for _, p := range w.Peers {
			agreed[p] = false
		}
	}
	type answer struct {
		peer elect.Peer
		yes  bool
	}
	answers := make(chan answer, len(agreed))
	for p := range agreed {
		go func() { answers <- answer{p, ask(ctx, p)} }()
	}
	for range len(agreed) {
		select {
		case a := <-answers:
			agreed[a.peer] = a.yes
		case <-ctx.Done():
			return false
		}
		if !slices.ContainsFunc(records, func(w elect.Witnesses) bool { return !w.Majority(agreed) }) {
			return true
		}
	}
	return false
}
