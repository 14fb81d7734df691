package route

import (
	"context"
	"errors"
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
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// hopCost is what running on another host of the data centre costs.
	hopCost = 200 * time.Microsecond
	// farCost is what running in another data centre costs.
	farCost = 20 * time.Millisecond
	// spillAfter is the wait from which other data centres are considered.
	spillAfter = 100 * time.Millisecond
	// recoverPause lies between two looks for an answer whose host was lost.
	recoverPause = 200 * time.Millisecond
	// recoverWait bounds the wait of one such look.
	recoverWait = 2 * time.Second
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

func (r *Router) forward(ctx context.Context, m peers.Member, req Request) (holder.Answer, error) {
	msg := &peerpb.RunRequest{
		Task: req.Task, Entry: req.Work.Name, Params: req.Params, ContentType: req.ContentType, Body: req.Body,
		TimeoutMicros: time.Until(req.Deadline).Microseconds(), CatalogueVersion: req.Version,
	}
	// The holder answers for the deadline itself; the margin lets its word arrive.
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(recoverWait))
	defer cancel()
	reply, err := peers.Call(callCtx, r.net, m.Address, msg, peerpb.PeerClient.Run)
	var unsent *peers.UnsentError
	switch {
	case errors.As(err, &unsent):
		return holder.Answer{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.PeerUnreachable, Err: err}
	case err != nil && ctx.Err() != nil:
		return holder.Answer{}, reason.Uncertain(reason.CallerLeft, "the caller left before the answer")
	case err != nil:
		return r.Recover(ctx, req.Task, m, req.Deadline, err)
	}
	return answerOf(reply)
}

// Recover asks the hosts of a data centre for the answer of a task that was offered to one of them and got lost there.
func (r *Router) Recover(
	ctx context.Context, task string, offered peers.Member, deadline time.Time, cause error,
) (holder.Answer, error) {
	r.stats.Retry(reason.PeerSilent)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(recoverWait/4))
	defer cancel()
	for {
		if answer, found, err := r.ask(ctx, task, offered.DataCenter, offered.Name); found {
			return answer, err
		}
		if !clock.Pause(ctx, recoverPause) {
			return holder.Answer{}, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.PeerSilent, Err: cause}
		}
	}
}

// Ask asks the hosts of a data centre once for the answer of a task.
func (r *Router) Ask(ctx context.Context, task, dataCenter string) (holder.Answer, bool, error) {
	return r.ask(ctx, task, dataCenter, "")
}

// ask takes "not run" only from the host to which the task was offered last; the others still know their refusals of
// earlier offers.
func (r *Router) ask(ctx context.Context, task, dataCenter, offered string) (holder.Answer, bool, error) {
	if answer, found, err := r.pool.Find(ctx, task, recoverWait); found && !notRun(err) {
		return answer, true, err
	}
	ask := r.table.Live(time.Now(), func(m peers.Member) bool { return m.DataCenter == dataCenter })
	for _, m := range ask {
		askCtx, cancel := context.WithTimeout(ctx, recoverWait)
		msg := &peerpb.RunRequest{Task: task, AttachOnly: true, TimeoutMicros: recoverWait.Microseconds()}
		reply, err := peers.Call(askCtx, r.net, m.Address, msg, peerpb.PeerClient.Run)
		cancel()
		if err != nil || (reply.GetRefusal() != nil && reply.GetRefusal().GetReason() == string(reason.NoSuchTask)) {
			continue
		}
		answer, err := answerOf(reply)
		if notRun(err) && m.Name != offered {
			continue
		}
		return answer, true, err
	}
	return holder.Answer{}, false, nil
}

func notRun(err error) bool { return err != nil && reason.From(err).Outcome == reason.NotRun }

func answerOf(reply *peerpb.RunReply) (holder.Answer, error) {
	if err := peers.Refused(reply.GetRefusal()); err != nil {
		return holder.Answer{Worker: reply.GetWorker()}, err
	}
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: reply.GetContentType(), Body: reply.GetBody()},
		Worker: reply.GetWorker(),
	}, nil
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
