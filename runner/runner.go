package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/table"
)

// Registry tells which workers there are.
type Registry interface {
	// Follow calls list with all workers at a start, and then changed and gone, until ctx is done.
	Follow(ctx context.Context, list func([]order.Worker), changed func(order.Worker), gone func(id string))
}

// Config is what a runner works with.
type Config struct {
	Epoch    elect.Epoch
	Store    table.Store
	Workers  order.Workers
	Registry Registry
	Advisors Advisors
	Queues   *queues.Book
	Settings cell.Settings
	// OthersUntil is until when earlier runners may have given orders; the zero time means until now.
	OthersUntil time.Time
	// Unsure are workers that the last runner could not reach when it gave the lease back, and until when runs may be there.
	Unsure map[string]time.Time
	// Handed asks the last runner for what it left; false if it can't be known.
	Handed func(ctx context.Context) (cell.Handover, bool)
	// Patience returns how long a call to the table may take that usually gets base.
	Patience func(base time.Duration) time.Duration
	// Boot returns the time since the machine started, the time that it was suspended included.
	Boot func() time.Duration
	Log  logrus.FieldLogger
}

// Runner runs the group of one service as long as it holds the group's lease.
type Runner struct {
	cfg  Config
	cell *cell.Cell
	log  logrus.FieldLogger
	// holdUntil is until when orders may be given, on the clock that also counts suspended time.
	holdUntil atomic.Int64
	// taken is when the taking of the lease was sent.
	taken atomic.Int64
	// beating is when the last commit was sent that renews the lease if it takes effect.
	beating atomic.Int64
	// beaten is when the last renewal was sent that others could see.
	beaten atomic.Int64
	loaded atomic.Bool
	plan   chan struct{}
	commit chan struct{}
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	workers map[string]bool
	listed  bool
	sends   sync.WaitGroup
	sending map[string]chan struct{}
}

// New returns a runner of the group whose lease was taken.
func New(cfg Config) *Runner {
	if cfg.OthersUntil.IsZero() {
		cfg.OthersUntil = time.Now()
	}
	if cfg.Patience == nil {
		cfg.Patience = func(base time.Duration) time.Duration { return base }
	}
	log := cfg.Log.WithFields(logrus.Fields{"group": cfg.Epoch.Part, "token": cfg.Epoch.Token})
	return &Runner{
		cfg: cfg, cell: cell.New(cfg.Settings, cfg.Epoch.Token, log), log: log,
		plan: make(chan struct{}, 1), commit: make(chan struct{}, 1), workers: map[string]bool{},
		sending: map[string]chan struct{}{},
	}
}

// Cell returns the group's state.
func (r *Runner) Cell() *cell.Cell { return r.cell }

// Ready reports whether the group's jobs are known and this host still runs it.
func (r *Runner) Ready() bool {
	fresh := r.holdUntil.Load() - int64(elect.Hold-elect.Fresh)
	return r.loaded.Load() && int64(r.cfg.Boot()) < fresh
}

// Run runs the group until ctx is done or the lease is lost; taken is when the taking of the lease was sent.
func (r *Runner) Run(ctx context.Context, taken time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel = cancel
	r.holdUntil.Store(int64(taken + elect.Hold))
	r.beaten.Store(int64(taken))
	r.taken.Store(int64(taken))
	r.log.Info("group taken over")
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return r.beat(ctx) })
	eg.Go(func() error { return r.work(ctx) })
	err := eg.Wait()
	r.sends.Wait()
	r.flush()
	if cause := context.Cause(ctx); cause != nil && err == nil {
		err = cause
	}
	r.log.WithError(err).Info("group given up")
	return err
}

// work loads the jobs and then runs the loops of the group.
func (r *Runner) work(ctx context.Context) error {
	earlier, err := r.loadRuns(ctx)
	if err != nil {
		return err
	}
	r.cell.HoldUnknown(r.cfg.OthersUntil.Add(r.cfg.Settings.Lease + unknownSlack))
	eg, ctx := errgroup.WithContext(ctx)
	if err := r.loadRecord(ctx); err != nil {
		return err
	}
	loaded := make(chan struct{})
	eg.Go(func() error { r.followJobs(ctx, earlier, loaded); return nil })
	eg.Go(func() error {
		// An end can be settled only if its job is known.
		select {
		case <-loaded:
		case <-ctx.Done():
			return ctx.Err()
		}
		r.takeOver(ctx)
		r.cfg.Registry.Follow(ctx, func(l []order.Worker) { r.list(ctx, l) },
			func(w order.Worker) { r.changed(ctx, w) }, r.gone)
		return nil
	})
	eg.Go(func() error { return r.planLoop(ctx) })
	eg.Go(func() error { return r.commitLoop(ctx) })
	eg.Go(func() error { return r.recordLoop(ctx) })
	eg.Go(func() error { r.settleUnknown(ctx); return nil })
	return eg.Wait()
}

// Unsure returns for how long runs may be on workers that this runner can't reach, for the next one; it must not run any more.
func (r *Runner) Unsure(now time.Time) []elect.Unsure {
	var list []elect.Unsure
	for id, left := range r.cell.Unsure(now) {
		list = append(list, elect.Unsure{Worker: id, For: left})
	}
	return list
}

// flushTime bounds the last commits of a runner that ends.
const flushTime = 400 * time.Millisecond

// flush makes durable what a runner that gives its group up has still seen, so that it can vouch for what it leaves.
func (r *Runner) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	for some, _ := r.cell.Dirty(); some && r.holds() && ctx.Err() == nil; some, _ = r.cell.Dirty() {
		if err := r.commitOnce(ctx); err != nil {
			r.log.WithError(err).Warn("progress of the group can't be completed")
			return
		}
	}
}

// takeOver takes what the last runner left, if it can tell.
func (r *Runner) takeOver(ctx context.Context) {
	if r.cfg.Handed == nil {
		return
	}
	h, ok := r.cfg.Handed(ctx)
	if !ok {
		return
	}
	r.cell.TakeOver(h, time.Now())
	for i := range h.Workers {
		r.watch(ctx, h.Workers[i].ID)
	}
	r.kickPlan()
}

// unknownSlack covers clocks that are slow and orders on their way at a take-over.
const unknownSlack = 400 * time.Millisecond

// settleUnknown releases tasks of earlier jobs as soon as every worker has told what runs on it.
func (r *Runner) settleUnknown(ctx context.Context) {
	const (
		every = 20 * time.Millisecond
		// sayAfter is after how long it is logged which workers are waited for, and sayMost how many of them are named.
		sayAfter = time.Second
		sayMost  = 5
	)
	begun, said := time.Now(), false
	for clock.Pause(ctx, every) {
		r.mu.Lock()
		listed := r.listed
		r.mu.Unlock()
		if !listed {
			continue
		}
		unknown := r.cell.Unknown(time.Now())
		if len(unknown) == 0 {
			r.cell.HoldUnknown(time.Time{})
			r.log.Info("all workers have told what runs on them")
			r.kickPlan()
			return
		}
		if !said && time.Since(begun) > sayAfter {
			said = true
			r.log.WithFields(logrus.Fields{"workers": len(unknown), "some": unknown[:min(sayMost, len(unknown))]}).
				Warn("jobs wait for workers that may still run their tasks")
		}
	}
}

// holds reports whether orders may be given.
func (r *Runner) holds() bool { return int64(r.cfg.Boot()) < r.holdUntil.Load() }

// addBeat renews the lease with a commit, if that is due soon.
func (r *Runner) addBeat(tx *table.Tx) bool {
	if r.cfg.Boot()-time.Duration(r.beaten.Load()) < elect.BeatEvery/2 {
		return false
	}
	tx.Writes = append(tx.Writes, elect.BeatWrite(r.cfg.Epoch.Part, r.held()))
	r.beating.Store(int64(r.cfg.Boot()))
	return true
}

// held returns for how long the lease has been held.
func (r *Runner) held() time.Duration { return r.cfg.Boot() - time.Duration(r.taken.Load()) }

// renewed notes a renewal, or another write that proved the lease.
func (r *Runner) renewed(sent time.Duration, beats bool) {
	if !r.holds() {
		r.log.Info("orders may be given again")
		r.kickPlan()
	}
	r.holdUntil.Store(max(r.holdUntil.Load(), int64(sent+elect.Hold)))
	if beats {
		r.beaten.Store(max(r.beaten.Load(), int64(sent)))
	}
}

func (r *Runner) beat(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		if due := r.nextBeat() - r.cfg.Boot(); due > 0 {
			clock.Pause(ctx, due)
			continue
		}
		sent := r.cfg.Boot()
		err := elect.Beat(ctx, r.cfg.Store, r.cfg.Epoch, r.held())
		if lost, ok := asLost(err); ok {
			r.cancel(lost)
			return lost
		}
		if err == nil {
			r.renewed(sent, true)
			failing = false
			continue
		}
		if !failing && ctx.Err() == nil {
			r.log.WithError(err).Warn("lease can't be renewed")
		}
		failing = true
		clock.Pause(ctx, beatRetry)
	}
	return nil
}

// nextBeat returns when the lease has to be renewed by itself: a commit that is on its way renews it too, and both would wait
// for one another where the table is slow.
func (r *Runner) nextBeat() time.Duration {
	beaten, beating := time.Duration(r.beaten.Load()), time.Duration(r.beating.Load())
	return min(max(beaten, beating)+elect.BeatEvery, beaten+elect.Fresh/2)
}

// beatRetry is the pause after a renewal that failed.
const beatRetry = 150 * time.Millisecond

func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (r *Runner) kickPlan()   { kick(r.plan) }
func (r *Runner) kickCommit() { kick(r.commit) }

// fenced gives the group up after a worker has seen a higher token.
func (r *Runner) fenced(err error) {
	if cell.Fenced(err) {
		r.log.WithError(err).Warn("a worker has seen a higher token")
		r.cancel(&elect.LostError{Part: r.cfg.Epoch.Part})
	}
}
