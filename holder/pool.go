package holder

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/shard"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Config is what a pool needs to know about its host and its times.
type Config struct {
	// Holder names this process to workers, different for every start of it.
	Holder string
	// LeaseTTL is how long a worker's lease lasts; it is renewed three times in that time.
	LeaseTTL time.Duration
	// TaskTTL is how long tasks live on without a renewal.
	TaskTTL time.Duration
	// ShortLimit is the learned run time up to which work counts as short.
	ShortLimit time.Duration
	// Source is the address from which connections to workers come, if valid.
	Source netip.Addr
	// Plain switches to first come, first served without admission, as a baseline for measurements.
	Plain bool
	// Quotas says whether an owner may take more; nil allows all.
	Quotas Quotas
}

// Quotas limits what an owner's tasks may take of all workers at once.
type Quotas interface {
	// Take books size for an owner, or reports that its share is used up.
	Take(owner string, size unit.Size) bool
	// Give returns what was taken.
	Give(owner string, size unit.Size)
	// Adopt books size for a task that runs already.
	Adopt(owner string, size unit.Size)
}

// Stats counts what the pool does.
type Stats interface {
	Retry(why reason.Reason)
	Started(class string)
	Waited(class string, wait time.Duration)
	WorkerEvent(event string)
	Preempted()
}

// Short and long work wait in lanes of their own.
const (
	laneShort = iota
	laneLong
	lanes
)

// laneWeights are the shares of the lanes while both have work that waits.
var laneWeights = [lanes]float64{3, 1}

// Pool holds workers and the work that waits for them.
type Pool struct {
	cfg   Config
	book  *learn.Book
	stats Stats
	log   logrus.FieldLogger

	flights *shard.Map[*flight]
	holds   *shard.Map[*Grant]
	recent  recent

	mu        sync.Mutex
	workers   map[string]*Held
	places    []*Held
	short     *place.Index
	long      *place.Index
	lanes     [lanes]*queue.Queue[*waiter]
	virtual   [lanes]float64
	total     unit.Size
	longUsed  unit.Size
	keepShort [unit.Dimensions]bool
	drift     float64
	budget    budget
	stopping  bool
	// waits tells the preemption that work has begun to wait.
	waits     chan struct{}
	starving  *waiter
	starvedOn *Held
}

// NewPool returns a pool that holds no workers.
func NewPool(cfg Config, book *learn.Book, stats Stats, log logrus.FieldLogger) *Pool {
	p := &Pool{
		cfg: cfg, book: book, stats: stats, log: log,
		flights: shard.NewMap[*flight](),
		holds:   shard.NewMap[*Grant](),
		workers: map[string]*Held{},
		short:   place.NewIndex(1),
		long:    place.NewIndex(1),
		drift:   1,
		waits:   make(chan struct{}, 1),
	}
	for i := range p.lanes {
		p.lanes[i] = queue.New[*waiter]()
	}
	return p
}

// Need is one task that wants room.
type Need struct {
	Task       string
	Work       entry.Work
	Weight     int64
	MaxQueued  int
	Deadline   time.Time
	Avoid      []string
	AvoidRacks []string
	// Patience ends the wait for room of tasks without a deadline.
	Patience time.Time
}

type waiter struct {
	need     Need
	size     unit.Size
	estimate learn.Estimate
	long     bool
	since    time.Time
	foretold time.Duration
	item     *queue.Item[*waiter]
	lane     int
	ready    chan outcome
}

type outcome struct {
	grant *Grant
	err   error
}

// Grant is room for one task on one worker.
type Grant struct {
	Held  *Held
	Task  string
	Size  unit.Size
	Rack  string
	Owner string
	timer *time.Timer
}

// Acquire waits for room; what can't have room in time is refused at once.
func (p *Pool) Acquire(ctx context.Context, need Need) (*Grant, error) {
	w := p.newWaiter(need)
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case out := <-w.ready:
		return out.grant, out.err
	case <-ctx.Done():
	}
	return nil, p.abandon(ctx, w)
}

func (p *Pool) newWaiter(need Need) *waiter {
	estimate := p.book.Estimate(need.Work.Name, need.Work.RunTime.D())
	w := &waiter{
		need: need, estimate: estimate, since: time.Now(),
		size:  p.book.Size(need.Work.Name, need.Work.Size),
		long:  need.Work.Class == entry.Service || estimate.Mean > p.cfg.ShortLimit,
		ready: make(chan outcome, 1),
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
		if out := <-w.ready; out.grant != nil {
			p.Release(out.grant)
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
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
	if err := p.checkPossible(w); err != nil {
		return err
	}
	if err := p.admit(w); err != nil {
		return err
	}
	w.item = &queue.Item[*waiter]{
		Value: w, Owner: w.need.Work.Owner, Deadline: w.need.Deadline, Urgent: w.need.Work.Urgent,
		Cost: w.estimate.Mean.Seconds() * w.size.Share(p.total),
	}
	if p.cfg.Plain {
		w.item.Owner, w.item.Deadline, w.item.Urgent = "", time.Time{}, false
	}
	p.lanes[w.lane].Push(w.item, w.need.Weight)
	p.dispatch()
	if p.lanes[w.lane].Len() > 0 {
		select {
		case p.waits <- struct{}{}:
		default:
		}
	}
	return nil
}

func (p *Pool) checkPossible(w *waiter) error {
	usable, fits := 0, false
	for _, h := range p.places {
		if h == nil || !h.usable() {
			continue
		}
		usable++
		if w.size.Fits(h.ledger.Capacity()) && !slices.Contains(w.need.Avoid, h.name) {
			fits = true
			break
		}
	}
	if usable == 0 && !fits {
		return reason.Refuse(reason.NoWorkers, "this entry host holds no worker that takes work")
	}
	if !fits {
		return reason.Refuse(reason.NoWorkers, "no worker of this entry host can hold %s", w.size)
	}
	return nil
}

// slackShare is the part of the time to a deadline, less the run time, that work may be foretold to wait; the rest
// takes up what runs longer than foretold.
const slackShare = 0.6

// admit refuses what can't start in time, before it waits.
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
	w.foretold = p.foretell(w.lane, owner, w.need.Weight)
	left := time.Until(w.need.Deadline)
	if w.foretold <= time.Duration(slackShare*float64(left-w.estimate.P90)) {
		return nil
	}
	refusal := reason.Refuse(reason.DeadlineUnreachable,
		"the work would wait %s and run %s, and has %s", w.foretold.Round(time.Millisecond),
		w.estimate.P90.Round(time.Millisecond), left.Round(time.Millisecond))
	refusal.RetryAfter = w.foretold
	return refusal
}

// foretell predicts how long new work of an owner waits in a lane.
func (p *Pool) foretell(lane int, owner string, weight int64) time.Duration {
	capacity := 1 - p.longUsed.Share(p.total)
	if lane == laneLong {
		capacity = 1
	}
	const least = 0.1
	seconds := p.lanes[lane].Wait(owner, weight, max(least, capacity)) * p.drift
	return time.Duration(seconds * float64(time.Second))
}

// learnDrift corrects predictions by what they turned out to be.
func (p *Pool) learnDrift(w *waiter, waited time.Duration) {
	const (
		step   = 0.02
		lowest = 0.5
		most   = 4.0
	)
	if w.foretold < 5*time.Millisecond {
		return
	}
	ratio := min(most, max(lowest, float64(waited)/float64(w.foretold)))
	p.drift = min(most, max(lowest, p.drift*(1+step*(ratio-1))))
}

// Kick looks again for room for what waits.
func (p *Pool) Kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// Release gives a grant's room back.
func (p *Pool) Release(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseTask(g.Held, g.Task)
	p.dispatch()
}

// Stop refuses new work from now on; what waits is still served.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Waiting returns the number of pieces of work that wait.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lanes[laneShort].Len() + p.lanes[laneLong].Len()
}

// KeepRoom sets from the catalogue in which dimensions short requests need room that long work must leave.
func (p *Pool) KeepRoom(works []entry.Work) {
	var needed [unit.Dimensions]bool
	for _, work := range works {
		estimate := p.book.Estimate(work.Name, work.RunTime.D())
		if work.Class != entry.Request || estimate.Mean > p.cfg.ShortLimit {
			continue
		}
		for i, amount := range work.Size.Values() {
			needed[i] = needed[i] || amount > 0
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if needed == p.keepShort {
		return
	}
	p.keepShort = needed
	for _, h := range p.places {
		if h != nil && h.ledger != nil {
			h.ledger.SetReserve(p.reserveOf(h.ledger.Capacity()))
			p.reindex(h)
		}
	}
	p.dispatch()
}

// reserveShare is the part of each needed dimension, one in reserveShare, that is kept for short work.
const reserveShare = 4

func (p *Pool) reserveOf(capacity unit.Size) unit.Size {
	if p.cfg.Plain {
		return unit.Size{}
	}
	values := capacity.Values()
	for i := range values {
		if !p.keepShort[i] {
			values[i] = 0
		}
		values[i] /= reserveShare
	}
	return unit.Size{
		CPUMilli: values[0], MemoryMiB: values[1], Accelerators: values[2], Slots: values[3], Connections: values[4],
	}
}
