package holder

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/shard"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Config holds the settings of a pool.
type Config struct {
	// Holder identifies this process to workers; it differs after every restart.
	Holder string
	// LeaseTTL is how long a worker's lease lasts; it is renewed renewalsPerTTL times in that time.
	LeaseTTL time.Duration
	// TaskTTL is how long tasks go on running without a renewal of their worker's lease.
	TaskTTL time.Duration
	// ShortLimit is the learned run time up to which work counts as short.
	ShortLimit time.Duration
	// Source is the local address of connections to workers, if valid.
	Source netip.Addr
	// Plain switches to first come, first served without admission, as a baseline for measurements.
	Plain bool
	// Quotas limits the owners' allocations; nil means no limits.
	Quotas Quotas
	// SinceBoot returns the time since the machine booted, including the time it was suspended; nil means clock.SinceBoot.
	SinceBoot func() time.Duration
}

// Quotas limits what an owner's tasks may allocate on all workers together.
type Quotas interface {
	// Reserve reserves size for an owner; it reports false if the owner's share is used up.
	Reserve(owner string, size unit.Size) bool
	// Release releases what was reserved.
	Release(owner string, size unit.Size)
	// Adopt reserves size for a task that runs already, without a check.
	Adopt(owner string, size unit.Size)
}

// Stats records the pool's metrics.
type Stats interface {
	Retry(cause reason.Reason)
	Started(class string)
	Waited(class string, wait time.Duration)
	WorkerEvent(event string)
	Preempted()
}

// Short and long work wait in separate lanes.
const (
	laneShort = iota
	laneLong
	numLanes
)

// laneWeights are the shares of the lanes while work waits in both.
var laneWeights = [numLanes]float64{3, 1}

// Pool manages the workers that this host holds and the tasks that wait for them.
type Pool struct {
	cfg       Config
	estimator *learn.Estimator
	stats     Stats
	log       logrus.FieldLogger

	inFlight     *shard.Map[*inFlightCall]
	reservations *shard.Map[*Grant]
	recentRuns   recentRuns

	mu      sync.Mutex
	workers map[string]*HeldWorker
	// formerRenewals holds the last renewals of workers that were removed, for as long as tasks may live on them.
	formerRenewals map[string]time.Time
	// leftBehind holds, by worker, the tasks that were left on workers whose lease has ended here.
	leftBehind     map[string]*leftTasks
	indexedWorkers []*HeldWorker
	shortIndex     *place.Index
	longIndex      *place.Index
	lanes          [numLanes]*queue.Queue[*waiter]
	// virtualTime is the cost served to each lane, divided by its weight.
	virtualTime   [numLanes]float64
	totalCapacity unit.Size
	longUsed      unit.Size
	needsHeadroom [unit.Dimensions]bool
	// waitCorrection multiplies predicted waits.
	waitCorrection float64
	retryBudget    retryBudget
	stopping       bool
	// waitSignal tells Preempt that tasks have begun to wait.
	waitSignal chan struct{}
	// starving is a task that has waited long, and starvingTarget the worker that is kept free for it.
	starving       *waiter
	starvingTarget *HeldWorker
}

// NewPool returns a pool that holds no workers.
func NewPool(cfg Config, estimator *learn.Estimator, stats Stats, log logrus.FieldLogger) *Pool {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = clock.SinceBoot
	}
	p := &Pool{
		cfg: cfg, estimator: estimator, stats: stats, log: log,
		inFlight:       shard.NewMap[*inFlightCall](),
		reservations:   shard.NewMap[*Grant](),
		workers:        map[string]*HeldWorker{},
		formerRenewals: map[string]time.Time{},
		leftBehind:     map[string]*leftTasks{},
		shortIndex:     place.NewIndex(1),
		longIndex:      place.NewIndex(1),
		waitCorrection: 1,
		waitSignal:     make(chan struct{}, 1),
	}
	for i := range p.lanes {
		p.lanes[i] = queue.New[*waiter]()
	}
	return p
}

// Need is one task that needs an allocation, and its constraints.
type Need struct {
	Task       string
	Work       entry.Work
	Weight     int64
	MaxQueued  int
	Deadline   time.Time
	Avoid      []string
	AvoidRacks []string
	// WaitDeadline ends the wait for an allocation of tasks without a deadline.
	WaitDeadline time.Time
}

type waiter struct {
	need          Need
	size          unit.Size
	estimate      learn.Estimate
	long          bool
	waitingSince  time.Time
	predictedWait time.Duration
	item          *queue.Item[*waiter]
	lane          int
	result        chan outcome
}

type outcome struct {
	grant *Grant
	err   error
}

// Grant is the allocation for one task on one worker.
type Grant struct {
	Worker *HeldWorker
	Task   string
	Size   unit.Size
	Rack   string
	Owner  string
	// epoch is that of the lease under which the capacity was allocated; the end of the lease frees it.
	epoch uint64
	// repeated says that an earlier start of the task may have had an effect.
	repeated bool
	timer    *time.Timer
}

// leaseEpoch returns the epoch for a start in this grant; it reports false if the grant's lease isn't in force any more.
func (g *Grant) leaseEpoch() (uint64, bool) {
	epoch, valid := g.Worker.validLease()
	return epoch, valid && epoch == g.epoch
}

// Acquire waits for an allocation; a task that is predicted not to get one in time is refused at once.
func (p *Pool) Acquire(ctx context.Context, need Need) (*Grant, error) {
	w := p.newWaiter(need)
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case out := <-w.result:
		return out.grant, out.err
	case <-ctx.Done():
	}
	return nil, p.abandon(ctx, w)
}

func (p *Pool) newWaiter(need Need) *waiter {
	estimate := p.estimator.Estimate(need.Work.Name, need.Work.RunTime.D())
	w := &waiter{
		need: need, estimate: estimate, waitingSince: time.Now(),
		size:   p.estimator.Size(need.Work.Name, need.Work.Size),
		long:   need.Work.Class == entry.Service || estimate.Mean > p.cfg.ShortLimit,
		result: make(chan outcome, 1),
	}
	if w.long {
		w.lane = laneLong
	}
	if p.cfg.Plain {
		w.long, w.lane = false, laneShort
	}
	return w
}

func (p *Pool) abandon(ctx context.Context, w *waiter) error {
	p.mu.Lock()
	waiting := p.lanes[w.lane].Remove(w.item)
	p.mu.Unlock()
	if !waiting {
		if out := <-w.result; out.grant != nil {
			p.mu.Lock()
			p.cancel(out.grant)
			p.mu.Unlock()
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return reason.Refuse(reason.DeadlinePassed, "the work waited until its deadline")
	}
	return unsentRefusal(w.need)
}

// unsentRefusal refuses a task whose caller did not wait for its start.
func unsentRefusal(need Need) error {
	if !need.Deadline.IsZero() && !time.Now().Before(need.Deadline) {
		return reason.Refuse(reason.DeadlinePassed, "the work waited until its deadline")
	}
	return reason.Refuse(reason.CallerLeft, "the caller left while the work waited")
}

func (p *Pool) enqueue(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return reason.Refuse(reason.Stopping, "this entry host is stopping")
	}
	if err := p.checkFeasible(w); err != nil {
		return err
	}
	if err := p.admit(w); err != nil {
		return err
	}
	w.item = &queue.Item[*waiter]{
		Value: w, Owner: w.need.Work.Owner, Deadline: w.need.Deadline, Urgent: w.need.Work.Urgent,
		Cost: w.estimate.Mean.Seconds() * w.size.Share(p.totalCapacity),
	}
	if p.cfg.Plain {
		w.item.Owner, w.item.Deadline, w.item.Urgent = "", time.Time{}, false
	}
	p.lanes[w.lane].Push(w.item, w.need.Weight)
	p.dispatch()
	if p.lanes[w.lane].Len() > 0 {
		select {
		case p.waitSignal <- struct{}{}:
		default:
		}
	}
	return nil
}

func (p *Pool) checkFeasible(w *waiter) error {
	numUsable, fits := 0, false
	for _, h := range p.indexedWorkers {
		if h == nil || !h.usable() {
			continue
		}
		numUsable++
		if w.size.Fits(h.ledger.Capacity()) && !slices.Contains(w.need.Avoid, h.name) {
			fits = true
			break
		}
	}
	if numUsable == 0 && !fits {
		return reason.Refuse(reason.NoWorkers, "this entry host holds no worker that takes work")
	}
	if !fits {
		return reason.Refuse(reason.NoWorkers, "no worker of this entry host can hold %s", w.size)
	}
	return nil
}

// slackShare is the largest part of the time to the deadline, less the run time, that the predicted wait may take; the
// rest allows for waits and runs that are longer than predicted.
const slackShare = 0.6

// admit refuses a task before it waits if its owner has too many waiting or it is predicted to start too late.
func (p *Pool) admit(w *waiter) error {
	lane := p.lanes[w.lane]
	owner := w.need.Work.Owner
	if w.need.MaxQueued > 0 && lane.OwnerLen(owner) >= w.need.MaxQueued {
		refusal := reason.Refuse(reason.OverLimit, "%d pieces of work of owner %s wait already", lane.OwnerLen(owner), owner)
		refusal.RetryAfter = time.Second
		return refusal
	}
	if p.cfg.Plain || w.need.Deadline.IsZero() {
		return nil
	}
	w.predictedWait = p.predictWait(w.lane, owner, w.need.Weight)
	remaining := time.Until(w.need.Deadline)
	if w.predictedWait <= time.Duration(slackShare*float64(remaining-w.estimate.P90)) {
		return nil
	}
	refusal := reason.Refuse(reason.DeadlineUnreachable,
		"the work would wait %s and run %s, and has %s", w.predictedWait.Round(time.Millisecond),
		w.estimate.P90.Round(time.Millisecond), remaining.Round(time.Millisecond))
	refusal.RetryAfter = w.predictedWait
	return refusal
}

// predictWait predicts how long a new task of an owner waits in a lane.
func (p *Pool) predictWait(lane int, owner string, weight int64) time.Duration {
	capacityShare := 1 - p.longUsed.Share(p.totalCapacity)
	if lane == laneLong {
		capacityShare = 1
	}
	const minCapacityShare = 0.1
	seconds := p.lanes[lane].PredictWait(owner, weight, max(minCapacityShare, capacityShare)) * p.waitCorrection
	return time.Duration(seconds * float64(time.Second))
}

// updateWaitCorrection adjusts the correction of predicted waits by a wait that has ended.
func (p *Pool) updateWaitCorrection(w *waiter, waited time.Duration) {
	const (
		step      = 0.02
		minFactor = 0.5
		maxFactor = 4.0
	)
	if w.predictedWait < 5*time.Millisecond {
		return
	}
	ratio := min(maxFactor, max(minFactor, float64(waited)/float64(w.predictedWait)))
	p.waitCorrection = min(maxFactor, max(minFactor, p.waitCorrection*(1+step*(ratio-1))))
}

// Dispatch retries the placement of waiting tasks.
func (p *Pool) Dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// Release frees a grant's allocation.
func (p *Pool) Release(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseTask(g.Worker, g.Task)
	p.dispatch()
}

// cancel frees a grant in which no start was sent, unless it was freed with its lease; p.mu is held.
func (p *Pool) cancel(g *Grant) {
	if g.Worker.epoch != g.epoch {
		p.releaseLeftTask(g.Worker.name, g.Task)
		return
	}
	p.releaseTask(g.Worker, g.Task)
	p.dispatch()
}

// Stop refuses new tasks from now on; waiting tasks are still served.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Waiting returns the number of waiting tasks.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes[laneShort].Len() + p.lanes[laneLong].Len()
}

// UpdateHeadroom updates from the catalogue in which dimensions short requests need headroom that long work may not use.
func (p *Pool) UpdateHeadroom(works []entry.Work) {
	var needsHeadroom [unit.Dimensions]bool
	for _, work := range works {
		estimate := p.estimator.Estimate(work.Name, work.RunTime.D())
		if work.Class != entry.Request || estimate.Mean > p.cfg.ShortLimit {
			continue
		}
		for i, amount := range work.Size.Values() {
			needsHeadroom[i] = needsHeadroom[i] || amount > 0
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if needsHeadroom == p.needsHeadroom {
		return
	}
	p.needsHeadroom = needsHeadroom
	for _, h := range p.indexedWorkers {
		if h != nil && h.ledger != nil {
			h.ledger.SetHeadroom(p.headroomOf(h.ledger.Capacity()))
			p.updateIndexes(h)
		}
	}
	p.dispatch()
}

// headroomDivisor sets the headroom for short work to 1/headroomDivisor of the capacity in each needed dimension.
const headroomDivisor = 4

func (p *Pool) headroomOf(capacity unit.Size) unit.Size {
	if p.cfg.Plain {
		return unit.Size{}
	}
	values := capacity.Values()
	for i := range values {
		if !p.needsHeadroom[i] {
			values[i] = 0
		}
		values[i] /= headroomDivisor
	}
	return unit.Size{
		CPUMilli: values[0], MemoryMiB: values[1], Accelerators: values[2], Slots: values[3], Connections: values[4],
	}
}
