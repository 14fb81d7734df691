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
	// localHopCost is the assumed cost of running on another host of the local data centre.
	localHopCost = 200 * time.Microsecond
	// remoteHopCost is the assumed cost of running in another data centre.
	remoteHopCost = 20 * time.Millisecond
	// spillThreshold is the score of the chosen local host at which other data centres are considered.
	spillThreshold = 100 * time.Millisecond
	// noWorkersTimeout is how long a request waits until a worker is held: slightly longer than a worker takes to change
	// its holder.
	noWorkersTimeout = 4 * time.Second
	// noWorkersRetryPause is the pause between two checks for such a worker.
	noWorkersRetryPause = 50 * time.Millisecond
	// maxAttempts is the number of hosts that a request is sent to while none has started it.
	maxAttempts = 3
)

// Stats counts forwarded requests and retries.
type Stats interface {
	Forwarded(where string)
	Retry(why reason.Reason)
}

// Request is a request to run a task.
type Request struct {
	Task             string
	Work             entry.Work
	Owner            entry.Owner
	Params           string
	ContentType      string
	Body             []byte
	Deadline         time.Time
	CatalogueVersion uint64
}

// Router runs requests in this host's pool or forwards them to other hosts.
type Router struct {
	members   *peers.Membership
	transport *peers.Transport
	pool      *holder.Pool
	stats     Stats
	// inFlight counts the requests that this host has forwarded to each host and that have not been answered.
	inFlight *shard.Map[*atomic.Int64]
}

// NewRouter returns a router over the pool and the peers.
func NewRouter(members *peers.Membership, transport *peers.Transport, pool *holder.Pool, stats Stats) *Router {
	return &Router{members: members, transport: transport, pool: pool, stats: stats, inFlight: shard.NewMap[*atomic.Int64]()}
}

// target is a host that could run a request; a nil member means this host.
type target struct {
	member  *peers.Member
	score   time.Duration
	isLocal bool
}

func (t target) name() string {
	if t.member == nil {
		return ""
	}
	return t.member.Name
}

// Run runs a request on this host or on another one and returns the whole answer. If no worker is held because workers
// are changing their holders, it waits for one.
func (r *Router) Run(ctx context.Context, req Request) (holder.Answer, error) {
	taskID := req.Task
	var answer holder.Answer
	err := r.retryWhileNoWorkers(ctx, req.Deadline, func(round int) error {
		if round > 0 {
			// A host repeats its refusal for a task id that it has refused, so each retry uses a new id.
			req.Task = fmt.Sprintf("%s.r%d", taskID, round)
		}
		var err error
		answer, err = r.tryHosts(ctx, req)
		return err
	})
	return answer, err
}

// retryWhileNoWorkers retries while no suitable worker is held; a worker that changes its holder is held by no host.
func (r *Router) retryWhileNoWorkers(ctx context.Context, deadline time.Time, try func(round int) error) error {
	giveUpAt := time.Now().Add(noWorkersTimeout)
	if !deadline.IsZero() && deadline.Before(giveUpAt) {
		giveUpAt = deadline
	}
	for round := 0; ; round++ {
		err := try(round)
		if !reason.Is(err, reason.NoWorkers) && !reason.Is(err, reason.TooLarge) || !notRun(err) {
			return err
		}
		if time.Now().Add(noWorkersRetryPause).After(giveUpAt) || !clock.Pause(ctx, noWorkersRetryPause) {
			return err
		}
		r.stats.Retry(reason.From(err).Reason)
	}
}

// tryHosts sends a request to one host after another until one has started it.
func (r *Router) tryHosts(ctx context.Context, req Request) (holder.Answer, error) {
	var tried []string
	for attempt := 1; ; attempt++ {
		t, err := r.choose(req, tried)
		if err != nil {
			return holder.Answer{}, err
		}
		answer, err := r.runOn(ctx, t, req)
		if err == nil || attempt == maxAttempts || !mayTryAnother(err) || ctx.Err() != nil {
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

// mayTryAnother reports whether a request may be sent to another host: the failed one provably did not start it, and the
// reason doesn't apply to other hosts.
func mayTryAnother(err error) bool {
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

// choose returns the better of two random hosts with a worker large enough for the work. Hosts in other data centres are
// considered only if the local choice has a score of spillThreshold or more, and chosen only with less than half that score.
func (r *Router) choose(req Request, tried []string) (target, error) {
	now := time.Now()
	self := r.selfTarget(req.Work.Size)
	var local, remote []target
	if self != nil && !slices.Contains(tried, "") {
		local = append(local, *self)
	}
	fits := func(m peers.Member) bool { return fitsHost(m.State, req.Work.Size) && !slices.Contains(tried, m.Name) }
	isLocal := map[string]bool{}
	for _, m := range r.members.LiveLocal(now) {
		isLocal[m.Name] = true
		if fits(m) {
			local = append(local, r.targetOf(m, localHopCost, true))
		}
	}
	bestLocal, localOK := pickBetter(local)
	if localOK && bestLocal.score < spillThreshold {
		return bestLocal, nil
	}
	for _, m := range r.members.Live(now, fits) {
		if !isLocal[m.Name] {
			remote = append(remote, r.targetOf(m, remoteHopCost, false))
		}
	}
	bestRemote, remoteOK := pickBetter(remote)
	switch {
	case localOK && remoteOK && bestRemote.score*2 < bestLocal.score:
		return bestRemote, nil
	case localOK:
		return bestLocal, nil
	case remoteOK:
		return bestRemote, nil
	}
	return target{}, r.noTargetError(req.Work.Size)
}

// pickBetter returns the target with the lower score of two random ones.
func pickBetter(targets []target) (target, bool) {
	if len(targets) == 0 {
		return target{}, false
	}
	a := targets[rand.IntN(len(targets))]
	b := targets[rand.IntN(len(targets))]
	if b.score < a.score {
		a = b
	}
	// This host needs no hop, so it is always compared as well.
	if targets[0].member == nil && targets[0].score <= a.score {
		a = targets[0]
	}
	return a, true
}

func (r *Router) selfTarget(size unit.Size) *target {
	load := r.pool.Load()
	if load.Stopping || !fitsPool(load, size) {
		return nil
	}
	return &target{score: load.PredictedWait + loadPenalty(load.UsedShare), isLocal: true}
}

func fitsPool(load holder.Load, size unit.Size) bool {
	return len(load.Held) > 0 && sizeWithin(size, load.MaxCapacity.CPUMilli, load.MaxCapacity.MemoryMiB, load.MaxCapacity.Accelerators)
}

// loadPenalty makes the score prefer less loaded hosts among those on which nothing waits.
func loadPenalty(load float64) time.Duration {
	return time.Duration(load * float64(2*time.Millisecond))
}

func (r *Router) targetOf(m peers.Member, cost time.Duration, isLocal bool) target {
	wait := time.Duration(m.State.GetWaitMicros()) * time.Microsecond
	numHeld := max(1, len(m.State.GetHeld()))
	// The reported wait does not include requests that were sent there after the report.
	inFlightCost := time.Duration(r.inFlightTo(m.Name).Load()) * localHopCost / time.Duration(numHeld)
	return target{member: &m, score: wait + cost + inFlightCost + loadPenalty(m.State.GetLoad()), isLocal: isLocal}
}

func (r *Router) inFlightTo(name string) *atomic.Int64 {
	counter, _ := r.inFlight.GetOrPut(name, &atomic.Int64{})
	return counter
}

func fitsHost(s *peerpb.HostState, size unit.Size) bool {
	return len(s.GetHeld()) > 0 && sizeWithin(size, s.GetMaxCpuMilli(), s.GetMaxMemoryMib(), s.GetMaxAccelerators())
}

func sizeWithin(size unit.Size, cpu, memory, accelerators int64) bool {
	return size.CPUMilli <= cpu && size.MemoryMiB <= memory && size.Accelerators <= accelerators
}

// noTargetError distinguishes a request that is too large for every worker from one for which no worker is reachable now.
func (r *Router) noTargetError(size unit.Size) error {
	hasWorkers := len(r.pool.Load().Held) > 0
	for _, m := range r.members.Members() {
		hasWorkers = hasWorkers || len(m.State.GetHeld()) > 0
	}
	if hasWorkers && !r.isFeasible(size) {
		return reason.Refuse(reason.TooLarge, "no worker can hold %s", size)
	}
	refusal := reason.Refuse(reason.NoWorkers, "no worker can be reached now")
	refusal.RetryAfter = time.Second
	return refusal
}

// isFeasible reports whether any known host, whether live or not, has a worker large enough for size.
func (r *Router) isFeasible(size unit.Size) bool {
	for _, m := range r.members.Members() {
		if fitsHost(m.State, size) {
			return true
		}
	}
	return fitsPool(r.pool.Load(), size)
}

func (r *Router) runOn(ctx context.Context, t target, req Request) (holder.Answer, error) {
	if t.member == nil {
		return r.pool.Run(ctx, HolderCall(req, true))
	}
	where := "far"
	if t.isLocal {
		where = "near"
	}
	r.stats.Forwarded(where)
	counter := r.inFlightTo(t.member.Name)
	counter.Add(1)
	defer counter.Add(-1)
	return r.forward(ctx, *t.member, req)
}

// HolderCall returns the holder call for a request.
func HolderCall(req Request, local bool) holder.Call {
	return holder.Call{
		Need: holder.Need{
			Task: req.Task, Work: req.Work, Weight: req.Owner.Weight, MaxQueued: req.Owner.MaxQueued, Deadline: req.Deadline,
		},
		Params: req.Params, ContentType: req.ContentType, Body: req.Body, Local: local,
	}
}

// CheckFeasible refuses work that is too large for every known worker.
func (r *Router) CheckFeasible(ctx context.Context, size unit.Size) error {
	return r.retryWhileNoWorkers(ctx, time.Time{}, func(int) error {
		if err := r.noTargetError(size); !r.isFeasible(size) && reason.Is(err, reason.TooLarge) {
			return err
		}
		// While no worker is known, the work is accepted and may wait.
		return nil
	})
}
