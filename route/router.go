package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/shard"
	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	// hopCost is what running on another host of the data centre costs.
	hopCost = 200 * time.Microsecond
	// farCost is what running in another data centre costs.
	farCost = 20 * time.Millisecond
	// spillAfter is the wait from which other data centres are considered.
	spillAfter = 100 * time.Millisecond
	// workersWait is how long a request waits for any worker to be held: a little more than one takes to change its holder.
	workersWait = 4 * time.Second
	// workersPause lies between two looks for such a worker.
	workersPause = 50 * time.Millisecond
	// tries is how many hosts a request is offered to while none has started it.
	tries = 3
)

// Stats counts what the router does.
type Stats interface {
	Forwarded(where string)
	Retry(why reason.Reason)
}

// Request is one request on its way.
type Request struct {
	Task        string
	Work        entry.Work
	Owner       entry.Owner
	Params      string
	ContentType string
	Body        []byte
	Deadline    time.Time
	Version     uint64
}

// Router knows this host's pool and the other hosts.
type Router struct {
	table *peers.Table
	net   *peers.Net
	pool  *holder.Pool
	stats Stats
	sent  *shard.Map[*atomic.Int64]
}

// NewRouter returns a router over the pool and the peers.
func NewRouter(table *peers.Table, net *peers.Net, pool *holder.Pool, stats Stats) *Router {
	return &Router{table: table, net: net, pool: pool, stats: stats, sent: shard.NewMap[*atomic.Int64]()}
}

// target is a host that could run a request; nil member is this host.
type target struct {
	member *peers.Member
	score  time.Duration
	near   bool
}

func (t target) name() string {
	if t.member == nil {
		return ""
	}
	return t.member.Name
}

// Run runs a request on this host or on the one that it chooses, and returns the whole answer; while workers change
// their holders it waits for one.
func (r *Router) Run(ctx context.Context, req Request) (holder.Answer, error) {
	base := req.Task
	var answer holder.Answer
	err := r.whileNoWorkers(ctx, req.Deadline, func(round int) error {
		if round > 0 {
			// A host that refused an id still gives that refusal for it, so the next round has an id of its own.
			req.Task = fmt.Sprintf("%s.r%d", base, round)
		}
		var err error
		answer, err = r.offer(ctx, req)
		return err
	})
	return answer, err
}

// whileNoWorkers tries again while no fitting worker is held; nobody holds a worker that changes its holder.
func (r *Router) whileNoWorkers(ctx context.Context, deadline time.Time, try func(round int) error) error {
	until := time.Now().Add(workersWait)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	for round := 0; ; round++ {
		err := try(round)
		if !reason.Is(err, reason.NoWorkers) && !reason.Is(err, reason.TooLarge) || !notRun(err) {
			return err
		}
		if time.Now().Add(workersPause).After(until) || !clock.Pause(ctx, workersPause) {
			return err
		}
		r.stats.Retry(reason.From(err).Reason)
	}
}

// offer offers a request to one host after another until one has started it.
func (r *Router) offer(ctx context.Context, req Request) (holder.Answer, error) {
	var tried []string
	for try := 1; ; try++ {
		t, err := r.choose(req, tried)
		if err != nil {
			return holder.Answer{}, err
		}
		answer, err := r.runAt(ctx, t, req)
		if err == nil || try == tries || !mayOffer(err) || ctx.Err() != nil {
			return answer, err
		}
		refusal := reason.From(err)
		if _, chooseErr := r.choose(req, append(tried, t.name())); chooseErr != nil {
			return answer, err
		}
		r.stats.Retry(refusal.Reason)
		tried = append(tried, t.name())
	}
}

// mayOffer reports whether another host may run what this one proved that it did not start.
func mayOffer(err error) bool {
	if !notRun(err) {
		return false
	}
	switch reason.From(err).Reason {
	case reason.NoWorkers, reason.Stopping, reason.PeerUnreachable, reason.NoCatalogue,
		reason.LeaseLost, reason.WorkerLeaving:
		return true
	default:
		return false
	}
}

// choose picks the better of two random hosts that can hold the work, near ones first.
func (r *Router) choose(req Request, tried []string) (target, error) {
	now := time.Now()
	self := r.selfTarget(req.Work.Size)
	var near, far []target
	if self != nil && !slices.Contains(tried, "") {
		near = append(near, *self)
	}
	fits := func(m peers.Member) bool { return holds(m.State, req.Work.Size) && !slices.Contains(tried, m.Name) }
	isNear := map[string]bool{}
	for _, m := range r.table.Near(now) {
		isNear[m.Name] = true
		if fits(m) {
			near = append(near, r.targetOf(m, hopCost, true))
		}
	}
	best, ok := better(near)
	if ok && best.score < spillAfter {
		return best, nil
	}
	for _, m := range r.table.Live(now, fits) {
		if !isNear[m.Name] {
			far = append(far, r.targetOf(m, farCost, false))
		}
	}
	other, found := better(far)
	switch {
	case ok && found && other.score*2 < best.score:
		return other, nil
	case ok:
		return best, nil
	case found:
		return other, nil
	}
	return target{}, r.nobody(req.Work.Size)
}

// better returns the lower score of two random targets.
func better(targets []target) (target, bool) {
	if len(targets) == 0 {
		return target{}, false
	}
	a := targets[rand.IntN(len(targets))]
	b := targets[rand.IntN(len(targets))]
	if b.score < a.score {
		a = b
	}
	// This host needs no hop, so it is always one of the compared.
	if targets[0].member == nil && targets[0].score <= a.score {
		a = targets[0]
	}
	return a, true
}

func (r *Router) selfTarget(size unit.Size) *target {
	load := r.pool.Load()
	if load.Stopping || !heldHere(load, size) {
		return nil
	}
	return &target{score: load.Wait + crowding(load.Load), near: true}
}

func heldHere(load holder.Load, size unit.Size) bool {
	return len(load.Held) > 0 && sizeWithin(size, load.Max.CPUMilli, load.Max.MemoryMiB, load.Max.Accelerators)
}

// crowding prefers emptier hosts among those on which nothing waits.
func crowding(load float64) time.Duration { return time.Duration(load * float64(2*time.Millisecond)) }

func (r *Router) targetOf(m peers.Member, cost time.Duration, near bool) target {
	wait := time.Duration(m.State.GetWaitMicros()) * time.Microsecond
	held := max(1, len(m.State.GetHeld()))
	// What was sent there since its state was current is not in its wait yet.
	mine := time.Duration(r.outstanding(m.Name).Load()) * hopCost / time.Duration(held)
	return target{member: &m, score: wait + cost + mine + crowding(m.State.GetLoad()), near: near}
}

func (r *Router) outstanding(name string) *atomic.Int64 {
	counter, _ := r.sent.GetOrPut(name, &atomic.Int64{})
	return counter
}

func holds(s *peerpb.HostState, size unit.Size) bool {
	return len(s.GetHeld()) > 0 && sizeWithin(size, s.GetMaxCpuMilli(), s.GetMaxMemoryMib(), s.GetMaxAccelerators())
}

func sizeWithin(size unit.Size, cpu, memory, accelerators int64) bool {
	return size.CPUMilli <= cpu && size.MemoryMiB <= memory && size.Accelerators <= accelerators
}

// nobody tells a request that no worker could ever hold from one that no worker can hold now.
func (r *Router) nobody(size unit.Size) error {
	anyWorkers := len(r.pool.Load().Held) > 0
	for _, m := range r.table.Members() {
		anyWorkers = anyWorkers || len(m.State.GetHeld()) > 0
	}
	if anyWorkers && !r.possible(size) {
		return reason.Refuse(reason.TooLarge, "no worker can hold %s", size)
	}
	refusal := reason.Refuse(reason.NoWorkers, "no worker can be reached now")
	refusal.RetryAfter = time.Second
	return refusal
}

func (r *Router) possible(size unit.Size) bool {
	for _, m := range r.table.Members() {
		if holds(m.State, size) {
			return true
		}
	}
	return heldHere(r.pool.Load(), size)
}

func (r *Router) runAt(ctx context.Context, t target, req Request) (holder.Answer, error) {
	if t.member == nil {
		return r.pool.Run(ctx, Call(req, true))
	}
	where := "far"
	if t.near {
		where = "near"
	}
	r.stats.Forwarded(where)
	counter := r.outstanding(t.member.Name)
	counter.Add(1)
	defer counter.Add(-1)
	return r.forward(ctx, *t.member, req)
}

// Call makes a holder's call of a request.
func Call(req Request, local bool) holder.Call {
	return holder.Call{
		Need: holder.Need{
			Task: req.Task, Work: req.Work, Weight: req.Owner.Weight, MaxQueued: req.Owner.MaxQueued, Deadline: req.Deadline,
		},
		Params: req.Params, ContentType: req.ContentType, Body: req.Body, Local: local,
	}
}

// Possible refuses work that no known worker could ever hold.
func (r *Router) Possible(ctx context.Context, size unit.Size) error {
	return r.whileNoWorkers(ctx, time.Time{}, func(int) error {
		if err := r.nobody(size); !r.possible(size) && reason.Is(err, reason.TooLarge) {
			return err
		}
		// Without any worker in sight nothing is known, so the work may wait.
		return nil
	})
}
