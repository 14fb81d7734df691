package runner

import (
	"context"
	"maps"
	"slices"
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

// Registry lists the workers and reports changes.
type Registry interface {
	// Follow calls list with all workers whenever it starts to follow, and then changed and gone for each change, until ctx is done.
	Follow(ctx context.Context, list func([]order.Worker), changed func(order.Worker), gone func(id string))
}

// Config holds the settings and dependencies of a runner.
type Config struct {
	Epoch    elect.Epoch
	Store    table.Store
	Workers  order.Workers
	Registry Registry
	Advisors Advisors
	Queues   *queues.Store
	Settings cell.Settings
	// PreviousOrdersUntil is the latest time at which earlier runners may have sent orders; the zero time means now.
	PreviousOrdersUntil time.Time
	// LastWitnesses are the witnesses of the last runner. If most of them refuse it, it has not sent orders after UnextendedUntil.
	LastWitnesses   elect.Witnesses
	UnextendedUntil time.Time
	// Witnesses reaches the witnesses; nil means that this runner has none, and asks none.
	Witnesses Witnesses
	// Unconfirmed maps the workers of which the last runner has told until when runs may be active there to that time. The leases of those that
	// Epoch.Inherited names are not renewed until the record of unrenewed workers has been replaced.
	Unconfirmed map[string]time.Time
	// Previous is the epoch that this one has replaced.
	Previous elect.Epoch
	// FetchHandover requests the handover state from the last runner; false if it is not available.
	FetchHandover func(ctx context.Context) (cell.Handover, bool)
	// Timeout returns the timeout of a call to the table whose usual timeout is base.
	Timeout func(base time.Duration) time.Duration
	// RowBytes is the largest value of a row that the table takes; 0 means defaultRowBytes.
	RowBytes int
	// MemoryBytes is the memory of the host; 0 means that it is not known.
	MemoryBytes int64
	// SinceBoot returns the time since the machine booted, including the time it was suspended.
	SinceBoot func() time.Duration
	Log       logrus.FieldLogger
}

// Runner schedules the group of one service as long as it holds the group's lease.
type Runner struct {
	cfg  Config
	cell *cell.Cell
	log  logrus.FieldLogger
	// acquiredAt is when the request that acquired the lease was sent, on the boot clock, as are the two times below.
	acquiredAt atomic.Int64
	// renewalSentAt is when the last commit that includes a renewal was sent, whether or not it took effect.
	renewalSentAt atomic.Int64
	// renewedAt is when the last renewal that took effect was sent.
	renewedAt atomic.Int64
	// renewalFails says that the last attempt to renew the lease failed.
	renewalFails atomic.Bool
	// record is the row of the durable record of workers; only loadRecord and then recordLoop use it.
	record groupRow
	// unrenewed is the row of the record of unrenewed workers; only unrenewedLoop uses it.
	unrenewed groupRow
	// extension is what permits orders while the lease is not renewed.
	extension extension
	// segments holds how many segments the stored progress of a job has, or may have; only loadProgress, then commitLoop and then flush use it.
	segments map[string]int
	// references holds the rows of jobs that other services run.
	references agedRows
	// orphanMarks holds the cancel marks of unknown jobs.
	orphanMarks agedRows
	// ordersSent is set before the first order to a worker is sent.
	ordersSent atomic.Bool
	// loaded is set once all jobs accepted before have been read.
	loaded     atomic.Bool
	planWake   chan struct{}
	commitWake chan struct{}
	sharesWake chan struct{}
	// renewWake and retryWake end the pauses after a failed renewal and a failed commit.
	renewWake chan struct{}
	retryWake chan struct{}
	cancel    context.CancelCauseFunc

	mu sync.Mutex
	// polling holds the workers that have a poll loop.
	polling map[string]bool
	// registryListed is set once the registry has listed all workers.
	registryListed bool
	// inFlight counts poll loops and calls to workers and the advisor.
	inFlight sync.WaitGroup
	// orderSlots limits the concurrent orders to each worker.
	orderSlots map[string]chan struct{}
	// orderQueues holds the orders to each worker that wait to be sent.
	orderQueues map[string]*orderQueue
}

// New returns a runner of the group whose lease was acquired.
func New(cfg Config) *Runner {
	if cfg.PreviousOrdersUntil.IsZero() {
		cfg.PreviousOrdersUntil = time.Now()
	}
	if cfg.Timeout == nil {
		cfg.Timeout = func(base time.Duration) time.Duration { return base }
	}
	log := cfg.Log.WithFields(logrus.Fields{"group": cfg.Epoch.Group, "token": cfg.Epoch.Token})
	r := &Runner{
		cfg: cfg, log: log, planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), sharesWake: make(chan struct{}, 1),
		renewWake: make(chan struct{}, 1), retryWake: make(chan struct{}, 1), polling: map[string]bool{},
		orderSlots: map[string]chan struct{}{}, orderQueues: map[string]*orderQueue{}, segments: map[string]int{},
	}
	r.record.key = table.Key{Table: elect.Table, Partition: cfg.Epoch.Group, Name: rowWorkers}
	r.unrenewed.key = elect.UnrenewedKey(cfg.Epoch.Group)
	r.extension.row.key = elect.WitnessesKey(cfg.Epoch.Group)
	r.extension.extended.Store(noExtension)
	cfg.Settings.LeaseAge, cfg.Settings.ExclusiveFor = r.LeaseAge, elect.FreshTimeout
	if cfg.Workers != nil {
		cfg.Settings.OldestConn = cfg.Workers.OldestConn
	}
	cfg.Settings.RecordsSince = cfg.Epoch.RecordsSince
	r.cell = cell.New(cfg.Settings, cfg.Epoch.Token, log)
	var unrenewed []string
	for _, w := range cfg.Epoch.Inherited {
		unrenewed = append(unrenewed, w.Worker)
	}
	r.cell.SetUnrenewed(unrenewed)
	return r
}

// LeaseAge returns how long ago the last renewal of the group's lease that took effect was sent, suspended time included.
func (r *Runner) LeaseAge() time.Duration {
	return r.cfg.SinceBoot() - time.Duration(r.renewedAt.Load())
}

// Group returns the name of the group.
func (r *Runner) Group() string { return r.cfg.Epoch.Group }

// Cell returns the group's state.
func (r *Runner) Cell() *cell.Cell { return r.cell }

// Ready reports whether the group's jobs are loaded and its lease was renewed recently enough to answer for it.
func (r *Runner) Ready() bool {
	return r.loaded.Load() && r.LeaseAge() < elect.FreshTimeout
}

// Usage returns what the group's jobs and tasks take of the memory of this host; ok is false if they are not loaded yet.
func (r *Runner) Usage() (u elect.Usage, ok bool) {
	u.JobBytes = r.cell.JobBytes()
	u.Tasks, u.LongRunning = r.cell.Tasks()
	return u, r.loaded.Load()
}

// renewal returns the content of a renewal of the lease.
func (r *Runner) renewal() elect.Renewal {
	renewal := elect.Renewal{Held: r.heldFor()}
	if u, ok := r.Usage(); ok {
		renewal.Usage = &u
	}
	return renewal
}

// Run runs the group until ctx is done or the lease is lost; acquiredAt is when the request that acquired the lease was sent, on
// the boot clock.
func (r *Runner) Run(ctx context.Context, acquiredAt time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel = cancel
	r.renewedAt.Store(int64(acquiredAt))
	r.acquiredAt.Store(int64(acquiredAt))
	r.log.Info("acquired the group's lease")
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return r.renewLoop(ctx) })
	eg.Go(func() error { return r.runLoops(ctx) })
	if r.cfg.Witnesses != nil {
		eg.Go(func() error { return r.witnessLoop(ctx) })
		eg.Go(func() error { return r.extendLoop(ctx) })
	}
	err := eg.Wait()
	r.inFlight.Wait()
	r.flush()
	if cause := context.Cause(ctx); cause != nil && err == nil {
		err = cause
	}
	r.log.WithError(err).Info("stopped running the group")
	return err
}

// runLoops loads the group's jobs and their progress, and runs the loops of the group.
func (r *Runner) runLoops(ctx context.Context) error {
	r.cell.AwaitReports()
	eg, ctx := errgroup.WithContext(ctx)
	progress, loaded := make(chan map[string]storedProgress, 1), make(chan struct{})
	eg.Go(func() error { r.followJobs(ctx, progress, loaded); return nil })
	eg.Go(func() error {
		var narrowing sync.WaitGroup
		if r.cfg.Witnesses != nil {
			narrowing.Go(func() { r.narrowOrders(ctx) })
		}
		progressByJob, err := r.loadProgress(ctx)
		narrowing.Wait()
		if err != nil {
			return err
		}
		if err := r.loadRecord(ctx); err != nil {
			return err
		}
		progress <- progressByJob
		eg.Go(func() error { return r.followWorkers(ctx, loaded) })
		eg.Go(func() error { return r.planLoop(ctx) })
		eg.Go(func() error { return r.commitLoop(ctx) })
		eg.Go(func() error { r.sweepLoop(ctx); return nil })
		eg.Go(func() error { return r.recordLoop(ctx) })
		eg.Go(func() error { return r.sharesLoop(ctx) })
		eg.Go(func() error { return r.unrenewedLoop(ctx) })
		eg.Go(func() error { r.awaitReports(ctx); return nil })
		return nil
	})
	return eg.Wait()
}

// followWorkers adopts what an earlier runner handed over and follows the group's workers, once the jobs are loaded: the end of a run can't be
// recorded before.
func (r *Runner) followWorkers(ctx context.Context, loaded <-chan struct{}) error {
	select {
	case <-loaded:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.adoptHandover(ctx)
	r.cfg.Registry.Follow(ctx, func(l []order.Worker) { r.setWorkers(ctx, l) },
		func(w order.Worker) { r.setWorker(ctx, w) }, r.removeWorker)
	return nil
}

// ReleaseState returns what the next runner is told when the lease is released. It must be called only after Run has returned.
func (r *Runner) ReleaseState(now time.Time) elect.ReleaseState {
	ordersFor := r.cfg.PreviousOrdersUntil.Sub(now)
	if !r.ordersSent.Load() {
		return r.inheritedState(now, ordersFor)
	}
	ordersFor = max(0, ordersFor)
	state := elect.ReleaseState{Unconfirmed: unconfirmedList(r.cell.Unconfirmed(now)), OrdersFor: &ordersFor}
	for _, id := range r.cell.IdleWorkers(now) {
		state.Unconfirmed = append(state.Unconfirmed, elect.UnconfirmedWorker{Worker: id, Idle: true})
	}
	return state
}

// inheritedState returns what the last runner has told this one, which has sent no orders since.
func (r *Runner) inheritedState(now time.Time, ordersFor time.Duration) elect.ReleaseState {
	state := elect.ReleaseState{OrdersFor: &ordersFor}
	if address, token, ok := r.cfg.Previous.Handover(); ok {
		state.HandoverAddress, state.HandoverToken = address, token
	}
	idle := map[string]bool{}
	for _, w := range r.cfg.Previous.Unconfirmed {
		idle[w.Worker] = w.Idle
	}
	for _, id := range slices.Sorted(maps.Keys(r.cfg.Unconfirmed)) {
		remaining := max(0, r.cfg.Unconfirmed[id].Sub(now))
		state.Unconfirmed = append(state.Unconfirmed, elect.UnconfirmedWorker{Worker: id, Remaining: remaining, Idle: idle[id]})
	}
	return state
}

func unconfirmedList(remaining map[string]time.Duration) []elect.UnconfirmedWorker {
	list := make([]elect.UnconfirmedWorker, 0, len(remaining))
	for _, id := range slices.Sorted(maps.Keys(remaining)) {
		list = append(list, elect.UnconfirmedWorker{Worker: id, Remaining: remaining[id]})
	}
	return list
}

// flushTimeout limits the final commits of a runner that stops.
const flushTimeout = 400 * time.Millisecond

// flush stores the progress that a stopping runner has received but not stored yet, so that its handover state is complete.
func (r *Runner) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for dirty, _ := r.cell.Dirty(); dirty && r.LeaseAge() < elect.HoldTimeout && ctx.Err() == nil; dirty, _ = r.cell.Dirty() {
		if _, err := r.commitOnce(ctx); err != nil {
			r.log.WithError(err).Warn("the last progress of the group can't be stored")
			return
		}
	}
}

// adoptHandover takes over the handover state of the last runner, if it is available.
func (r *Runner) adoptHandover(ctx context.Context) {
	if r.cfg.FetchHandover == nil {
		return
	}
	h, ok := r.cfg.FetchHandover(ctx)
	if !ok {
		return
	}
	r.cell.TakeOver(h, time.Now())
	for i := range h.Workers {
		r.startPolling(ctx, h.Workers[i].ID)
	}
	r.wakePlan()
}

// takeoverSlack covers slow clocks and orders in flight at a takeover.
const takeoverSlack = 400 * time.Millisecond

// awaitReports allows tasks of earlier jobs to be started as soon as every worker has reported its runs.
func (r *Runner) awaitReports(ctx context.Context) {
	const (
		checkInterval = 20 * time.Millisecond
		// logAfter is the delay before the workers that are waited for are logged, and maxLogged how many of them are named.
		logAfter  = time.Second
		maxLogged = 5
	)
	start, logged := time.Now(), false
	for clock.Pause(ctx, checkInterval) {
		if !r.isRegistryListed() {
			continue
		}
		unreported := r.cell.UnreportedWorkers(time.Now())
		if len(unreported) == 0 {
			r.cell.AllRunsKnown()
			r.log.WithFields(logrus.Fields{
				"expired": len(r.cell.UnreportedWorkers(time.Time{})), "lease-age": r.LeaseAge().Round(time.Millisecond).String(),
				"took": time.Since(start).Round(time.Millisecond).String(),
			}).Info("all workers have reported their runs")
			r.wakePlan()
			return
		}
		if !logged && time.Since(start) > logAfter {
			logged = true
			r.log.WithFields(logrus.Fields{
				"workers": len(unreported), "some": unreported[:min(maxLogged, len(unreported))],
				"remaining": r.longestWait(unreported).Round(time.Millisecond).String(),
			}).Warn("jobs are blocked by workers that may still run their tasks")
		}
	}
}

func (r *Runner) isRegistryListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registryListed
}

// longestWait returns how long runs may be active on the last of some unconfirmed workers.
func (r *Runner) longestWait(workers []string) time.Duration {
	unconfirmed := r.cell.Unconfirmed(time.Now())
	longest := time.Duration(0)
	for _, id := range workers {
		longest = max(longest, unconfirmed[id])
	}
	return longest
}

// holds reports whether the lease still permits sending orders.
func (r *Runner) holds() bool { return r.ordersPermitted(r.cfg.SinceBoot()) }

// orderTime returns the time from which the lease that an order gives counts, and whether orders may be sent. The clock is read before the
// group's lease is checked: if the process stands still in between, or before it sends the order, the worker's lease is shorter.
func (r *Runner) orderTime() (now time.Time, allowed bool) {
	now = time.Now()
	return now, r.holds()
}

// minConnAge returns how long a connection to a worker must have been open for a start to be sent over it: from a time when no other host
// could hold the lease. The next holder polls the incarnation of that time, which then refuses the start, before it starts the task
// elsewhere; a later incarnation may not know its token yet, but has no such connection.
func (r *Runner) minConnAge() time.Duration { return max(0, r.LeaseAge()-elect.FreshTimeout) }

// addRenewal adds a renewal of the lease to a commit if one is due soon, and reports whether it did.
func (r *Runner) addRenewal(tx *table.Tx) bool {
	if r.cfg.SinceBoot()-time.Duration(r.renewedAt.Load()) < elect.RenewInterval/2 {
		return false
	}
	tx.Writes = append(tx.Writes, elect.RenewWrite(r.cfg.Epoch.Group, r.renewal()))
	r.renewalSentAt.Store(int64(r.cfg.SinceBoot()))
	return true
}

// RenewalFails reports whether the last attempt to renew the lease failed.
func (r *Runner) RenewalFails() bool { return r.renewalFails.Load() }

// heldFor returns how long the lease has been held.
func (r *Runner) heldFor() time.Duration {
	return r.cfg.SinceBoot() - time.Duration(r.acquiredAt.Load())
}

// noteRenewal records that a renewal sent at the given time took effect. A write that only checks the lease does not prolong it: the next
// holder counts from the last renewal that it has seen.
func (r *Runner) noteRenewal(sent time.Duration) {
	wasStale, held := r.minConnAge() > 0, r.holds()
	r.renewalFails.Store(false)
	r.renewedAt.Store(max(r.renewedAt.Load(), int64(sent)))
	if !held {
		r.log.Info("lease confirmed; orders can be sent again")
	}
	signal(r.retryWake)
	if wasStale {
		// Starts that no connection was old enough for can be sent.
		r.wakePlan()
	}
}

// renewLoop renews the lease until ctx is done or the lease is lost.
func (r *Runner) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if due := r.nextRenewal() - r.cfg.SinceBoot(); due > 0 {
			clock.Pause(ctx, due)
			continue
		}
		drain(r.renewWake)
		sent := r.cfg.SinceBoot()
		err := elect.Renew(ctx, r.cfg.Store, r.cfg.Epoch, r.renewal())
		if lost, ok := asLostError(err); ok {
			r.cancel(lost)
			return lost
		}
		if err == nil {
			r.noteRenewal(sent)
			continue
		}
		if ctx.Err() == nil && !r.renewalFails.Swap(true) {
			r.log.WithError(err).Warn("lease can't be renewed")
		}
		waitForWake(ctx, r.renewWake, renewRetryDelay)
	}
	return nil
}

// TableAnswers tells the runner that the table answers again: the lease is renewed at once, and then progress is stored.
func (r *Runner) TableAnswers() { signal(r.renewWake) }

// nextRenewal returns when the lease has to be renewed by a write of its own. A commit in flight may renew it too, and where
// the table is slow, the two writes would wait for each other.
func (r *Runner) nextRenewal() time.Duration {
	renewedAt, renewalSentAt := time.Duration(r.renewedAt.Load()), time.Duration(r.renewalSentAt.Load())
	return min(max(renewedAt, renewalSentAt)+elect.RenewInterval, renewedAt+elect.FreshTimeout/2)
}

// renewRetryDelay is the delay after a failed renewal.
const renewRetryDelay = 150 * time.Millisecond

// signal wakes the receiver of ch without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// drain removes a signal that was sent before.
func drain(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

func (r *Runner) wakePlan()   { signal(r.planWake) }
func (r *Runner) wakeCommit() { signal(r.commitWake) }

// checkFenced stops the runner if a worker rejected an order because it has seen a higher token.
func (r *Runner) checkFenced(err error) {
	if cell.Fenced(err) {
		r.log.WithError(err).Warn("a worker has seen the fencing token of another runner")
		r.cancel(&elect.LostError{Group: r.cfg.Epoch.Group})
	}
}
