package fleet

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const replyMargin = 500 * time.Millisecond

// Local is this host's part of what peers are asked for.
type Local interface {
	Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Release(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
	Start(ctx context.Context, req *peerpb.StartRequest) (*peerpb.TaskReply, error)
	Inspect(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
	Stop(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
}

// Body reads a job's body.
type Body func(ctx context.Context, job *jobs.Job) ([]byte, error)

// Fleet implements jobs.Fleet over this host and its peers.
type Fleet struct {
	dataCenter string
	local      Local
	pool       *holder.Pool
	table      *peers.Table
	net        *peers.Net
	version    func() uint64
	body       Body
	// hosts counts the entry hosts that the platform lists for a data centre.
	hosts func(dataCenter string) []string
}

// New returns a fleet; version is the catalogue version that goes with every call.
func New(
	dataCenter string, local Local, pool *holder.Pool, table *peers.Table, net *peers.Net,
	version func() uint64, body Body, hosts func(dataCenter string) []string,
) *Fleet {
	return &Fleet{
		dataCenter: dataCenter, local: local, pool: pool, table: table, net: net, version: version, body: body, hosts: hosts,
	}
}

type candidate struct {
	member *peers.Member
	free   float64
	near   bool
}

// Reserve asks the hosts that may have room, emptiest and nearest first.
func (f *Fleet) Reserve(ctx context.Context, need jobs.ReserveRequest) (jobs.Placement, error) {
	candidates := f.candidates(need.Work)
	if len(candidates) == 0 {
		return jobs.Placement{}, reason.Refuse(reason.NoWorkers, "no entry host holds a worker for %s", need.Work.Size)
	}
	var last error
	for i, c := range candidates {
		wait := time.Duration(0)
		if i == len(candidates)-1 || i == 0 {
			wait = need.Timeout / 2
		}
		at, err := f.reserveAt(ctx, c, need, wait)
		if err == nil {
			return at, nil
		}
		last = err
	}
	return jobs.Placement{}, last
}

func (f *Fleet) candidates(work entry.Work) []candidate {
	var list []candidate
	load := f.pool.Load()
	if len(load.Held) > 0 && work.Size.CPUMilli <= load.Max.CPUMilli && work.Size.MemoryMiB <= load.Max.MemoryMiB &&
		work.Size.Accelerators <= load.Max.Accelerators {
		list = append(list, candidate{free: 1 - load.Load, near: true})
	}
	fits := func(m peers.Member) bool {
		s := m.State
		return len(s.GetHeld()) > 0 && work.Size.CPUMilli <= s.GetMaxCpuMilli() &&
			work.Size.MemoryMiB <= s.GetMaxMemoryMib() && work.Size.Accelerators <= s.GetMaxAccelerators()
	}
	for _, m := range f.table.Live(time.Now(), fits) {
		list = append(list, candidate{member: &m, free: 1 - m.State.GetLoad(), near: m.DataCenter == f.dataCenter})
	}
	const full = 0.02
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.free > full) != (b.free > full) {
			return a.free > full
		}
		if a.near != b.near {
			return a.near
		}
		return a.free > b.free
	})
	const most = 6
	return list[:min(len(list), most)]
}

func (f *Fleet) reserveAt(ctx context.Context, c candidate, need jobs.ReserveRequest, wait time.Duration) (jobs.Placement, error) {
	req := &peerpb.ReserveRequest{
		Task: need.Task, Entry: need.Work.Name, WaitMicros: wait.Microseconds(), Avoid: need.AvoidWorkers,
		AvoidRacks: need.AvoidRacks, CatalogueVersion: f.version(), HoldMicros: need.TTL.Microseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	dataCenter := f.dataCenter
	var reply *peerpb.ReserveReply
	var err error
	if c.member == nil {
		reply, err = f.local.Reserve(ctx, req)
	} else {
		dataCenter = c.member.DataCenter
		reply, err = peers.Call(ctx, f.net, c.member.Address, req, peerpb.PeerClient.Reserve)
	}
	if err != nil {
		// Room that was kept without our knowing it is given back when its hold runs out.
		return jobs.Placement{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.PeerUnreachable, Err: err}
	}
	if err := peers.Refused(reply.GetRefusal()); err != nil {
		return jobs.Placement{}, err
	}
	return jobs.Placement{Worker: reply.GetWorker(), DataCenter: dataCenter, Rack: reply.GetRack()}, nil
}

type taskCall func(ctx context.Context, addr *peers.Member) (*peerpb.TaskReply, error)

// Release gives back the room of a task that was not started.
func (f *Fleet) Release(ctx context.Context, task string, at jobs.Placement) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	_, _ = f.atHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Release(ctx, query)
		}
		return peers.Call(ctx, f.net, m.Address, query, peerpb.PeerClient.Release)
	})
}

// Start starts a task on the worker that its job's row names.
func (f *Fleet) Start(
	ctx context.Context, task string, work entry.Work, at jobs.Placement, job *jobs.Job,
) (worker.TaskState, error) {
	body, err := f.body(ctx, job)
	if err != nil {
		return "", reason.Refuse(reason.StoreUnavailable, "the job's body can't be read")
	}
	req := &peerpb.StartRequest{
		Task: task, Entry: work.Name, Worker: at.Worker, Params: job.Params, ContentType: job.ContentType, Body: body,
		CatalogueVersion: f.version(),
	}
	reply, err := f.atHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Start(ctx, req)
		}
		return peers.Call(ctx, f.net, m.Address, req, peerpb.PeerClient.Start)
	})
	return worker.TaskState(reply.GetState()), err
}

// Inspect reads a task, wherever its worker's holder is.
func (f *Fleet) Inspect(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker, WithResult: true}
	reply, err := f.atHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Inspect(ctx, query)
		}
		return peers.Call(ctx, f.net, m.Address, query, peerpb.PeerClient.Inspect)
	})
	if err != nil {
		return f.lapsed(ctx, task, at, err)
	}
	return taskAnswer(reply), nil
}

// Stop ends a task, or makes sure that it never starts.
func (f *Fleet) Stop(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	reply, err := f.atHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Stop(ctx, query)
		}
		return peers.Call(ctx, f.net, m.Address, query, peerpb.PeerClient.Stop)
	})
	if err != nil {
		return f.lapsed(ctx, task, at, err)
	}
	return taskAnswer(reply), nil
}

func taskAnswer(reply *peerpb.TaskReply) worker.Answer {
	return worker.Answer{
		State: worker.TaskState(reply.GetState()), ContentType: reply.GetContentType(), Body: reply.GetResult(),
	}
}

// atHolder calls the hosts that may hold a worker until one does; the error says whether the call may have had an effect.
func (f *Fleet) atHolder(ctx context.Context, at jobs.Placement, call taskCall) (*peerpb.TaskReply, error) {
	last := error(reason.Refuse(reason.LeaseLost, "no entry host holds worker %s", at.Worker))
	for _, m := range f.holders(at) {
		reply, err := call(ctx, m)
		var unsent *peers.UnsentError
		switch {
		case errors.As(err, &unsent):
			continue
		case err != nil:
			return nil, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.PeerSilent, Err: err}
		}
		err = peers.Refused(reply.GetRefusal())
		if err == nil {
			return reply, nil
		}
		if !reason.Is(err, reason.LeaseLost) {
			return nil, err
		}
	}
	return nil, last
}

// holders returns the hosts that say they hold a worker; nil stands for this host.
func (f *Fleet) holders(at jobs.Placement) []*peers.Member {
	var list []*peers.Member
	for _, name := range f.pool.Load().Held {
		if name == at.Worker {
			list = append(list, nil)
		}
	}
	now := time.Now()
	for _, m := range f.table.Members() {
		if !f.table.Alive(m, now) || m.DataCenter != at.DataCenter {
			continue
		}
		for _, name := range m.State.GetHeld() {
			if name == at.Worker {
				list = append(list, &m)
			}
		}
	}
	return list
}

// lapsed proves that a task on an unreachable worker is over: every host that could have renewed its lease says
// that it has not for longer than tasks live without a renewal.
func (f *Fleet) lapsed(ctx context.Context, task string, at jobs.Placement, cause error) (worker.Answer, error) {
	if !reason.Is(cause, reason.LeaseLost) {
		return worker.Answer{}, cause
	}
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	unheard := map[string]bool{}
	for _, name := range f.hosts(at.DataCenter) {
		unheard[name] = true
	}
	for _, m := range f.everyone(at.DataCenter) {
		var reply *peerpb.TaskReply
		var err error
		name := ""
		if m == nil {
			reply, err = f.local.Inspect(ctx, query)
		} else {
			name = m.Name
			reply, err = peers.Call(ctx, f.net, m.Address, query, peerpb.PeerClient.Inspect)
		}
		if err != nil || reply.GetState() != StateLapsed {
			return worker.Answer{}, cause
		}
		delete(unheard, name)
	}
	if len(unheard) > 0 {
		return worker.Answer{}, cause
	}
	return worker.Answer{State: worker.Stopped, Body: []byte("the task's lease lapsed")}, nil
}

// StateLapsed is a host's word that it has not renewed a worker's lease for longer than tasks live without.
const StateLapsed = "lapsed"

func (f *Fleet) everyone(dataCenter string) []*peers.Member {
	var list []*peers.Member
	if dataCenter == f.dataCenter {
		list = append(list, nil)
	}
	listed := map[string]bool{}
	for _, name := range f.hosts(dataCenter) {
		listed[name] = true
	}
	for _, m := range f.table.Members() {
		if m.DataCenter == dataCenter && (listed[m.Name] || f.table.Alive(m, time.Now())) {
			list = append(list, &m)
		}
	}
	return list
}
