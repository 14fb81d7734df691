package fleet

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// replyMargin is the time that a call waits for the reply beyond the wait on the called host.
const replyMargin = 500 * time.Millisecond

// LocalServer handles the same task requests on this host as its peers do.
type LocalServer interface {
	Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Release(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
	Start(ctx context.Context, req *peerpb.StartRequest) (*peerpb.TaskReply, error)
	Inspect(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
	Stop(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error)
}

// BodyReader reads a job's body.
type BodyReader func(ctx context.Context, job *jobs.Job) ([]byte, error)

// Fleet implements jobs.Fleet over this host and its peers.
type Fleet struct {
	name             string
	dataCenter       string
	local            LocalServer
	pool             *holder.Pool
	members          *peers.Membership
	transport        *peers.Transport
	catalogueVersion func() uint64
	readBody         BodyReader
	// listedHosts returns the entry hosts that the platform lists for a data centre.
	listedHosts func(dataCenter string) []string
}

// New returns the fleet as seen by the named host; catalogueVersion returns the version that is sent with every reservation and start request.
func New(
	name, dataCenter string, local LocalServer, pool *holder.Pool, members *peers.Membership, transport *peers.Transport,
	catalogueVersion func() uint64, readBody BodyReader, listedHosts func(dataCenter string) []string,
) *Fleet {
	return &Fleet{
		name: name, dataCenter: dataCenter, local: local, pool: pool, members: members, transport: transport, catalogueVersion: catalogueVersion,
		readBody: readBody, listedHosts: listedHosts,
	}
}

// candidate is a host that may have free capacity; a nil member means this host.
type candidate struct {
	member    *peers.Member
	freeShare float64
	isLocal   bool
}

// Reserve requests capacity from one candidate host after another. Only the requests to the first and the last candidate
// wait for capacity.
func (f *Fleet) Reserve(ctx context.Context, req jobs.ReserveRequest) (jobs.Placement, error) {
	candidates := f.candidates(req.Work)
	if len(candidates) == 0 {
		return jobs.Placement{}, reason.Refuse(reason.NoWorkers, "no entry host holds a worker for %s", req.Work.Size)
	}
	var lastErr error
	for i, c := range candidates {
		timeout := time.Duration(0)
		if i == len(candidates)-1 || i == 0 {
			timeout = req.Timeout / 2
		}
		placement, err := f.reserveAt(ctx, c, req, timeout)
		if err == nil {
			return placement, nil
		}
		lastErr = err
	}
	return jobs.Placement{}, lastErr
}

// candidates returns the hosts with a worker large enough for the work: those with free capacity first, then those in
// the local data centre, then the least loaded.
func (f *Fleet) candidates(work entry.Work) []candidate {
	var hosts []candidate
	load := f.pool.Load()
	if len(load.Held) > 0 && work.Size.CPUMilli <= load.MaxCapacity.CPUMilli && work.Size.MemoryMiB <= load.MaxCapacity.MemoryMiB &&
		work.Size.Accelerators <= load.MaxCapacity.Accelerators {
		hosts = append(hosts, candidate{freeShare: 1 - load.UsedShare, isLocal: true})
	}
	fits := func(m peers.Member) bool {
		s := m.State
		return len(s.GetHeld()) > 0 && work.Size.CPUMilli <= s.GetMaxCpuMilli() &&
			work.Size.MemoryMiB <= s.GetMaxMemoryMib() && work.Size.Accelerators <= s.GetMaxAccelerators()
	}
	for _, m := range f.members.Live(time.Now(), fits) {
		hosts = append(hosts, candidate{member: &m, freeShare: 1 - m.State.GetLoad(), isLocal: m.DataCenter == f.dataCenter})
	}
	const minFreeShare = 0.02
	sort.SliceStable(hosts, func(i, j int) bool {
		a, b := hosts[i], hosts[j]
		if (a.freeShare > minFreeShare) != (b.freeShare > minFreeShare) {
			return a.freeShare > minFreeShare
		}
		if a.isLocal != b.isLocal {
			return a.isLocal
		}
		return a.freeShare > b.freeShare
	})
	const maxCandidates = 6
	return hosts[:min(len(hosts), maxCandidates)]
}

func (f *Fleet) reserveAt(ctx context.Context, c candidate, req jobs.ReserveRequest, timeout time.Duration) (jobs.Placement, error) {
	msg := &peerpb.ReserveRequest{
		Task: req.Task, Entry: req.Work.Name, WaitMicros: timeout.Microseconds(), Avoid: req.AvoidWorkers,
		AvoidRacks: req.AvoidRacks, CatalogueVersion: f.catalogueVersion(), HoldMicros: req.TTL.Microseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+replyMargin)
	defer cancel()
	dataCenter := f.dataCenter
	var reply *peerpb.ReserveReply
	var err error
	if c.member == nil {
		reply, err = f.local.Reserve(ctx, msg)
	} else {
		dataCenter = c.member.DataCenter
		reply, err = peers.Call(ctx, f.transport, c.member.Address, msg, peerpb.PeerClient.Reserve)
	}
	if err != nil {
		// If the host reserved capacity although its reply was lost, the reservation expires with its TTL.
		return jobs.Placement{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.PeerUnreachable, Err: err}
	}
	if err := peers.DecodeRefusal(reply.GetRefusal()); err != nil {
		return jobs.Placement{}, err
	}
	return jobs.Placement{Worker: reply.GetWorker(), DataCenter: dataCenter, Rack: reply.GetRack()}, nil
}

// holderCall calls one host; a nil member means this host.
type holderCall func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error)

// Release releases the reservation of a task that was not started.
func (f *Fleet) Release(ctx context.Context, task string, at jobs.Placement) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	_, _ = f.callHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Release(ctx, query)
		}
		return peers.Call(ctx, f.transport, m.Address, query, peerpb.PeerClient.Release)
	})
}

// Start starts a task on the worker named in its job's row.
func (f *Fleet) Start(
	ctx context.Context, task string, work entry.Work, at jobs.Placement, job *jobs.Job,
) (worker.TaskState, error) {
	body, err := f.readBody(ctx, job)
	if err != nil {
		return "", reason.Refuse(reason.StoreUnavailable, "the job's body can't be read")
	}
	msg := &peerpb.StartRequest{
		Task: task, Entry: work.Name, Worker: at.Worker, Params: job.Params, ContentType: job.ContentType, Body: body,
		CatalogueVersion: f.catalogueVersion(),
	}
	reply, err := f.callHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Start(ctx, msg)
		}
		return peers.Call(ctx, f.transport, m.Address, msg, peerpb.PeerClient.Start)
	})
	return worker.TaskState(reply.GetState()), err
}

// Inspect reads the state and result of a task through the holder of its worker.
func (f *Fleet) Inspect(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker, WithResult: true}
	reply, err := f.callHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Inspect(ctx, query)
		}
		return peers.Call(ctx, f.transport, m.Address, query, peerpb.PeerClient.Inspect)
	})
	if err != nil {
		return f.confirmExpired(ctx, task, at, err)
	}
	return taskAnswer(reply), nil
}

// Stop stops a task or ensures that it never starts.
func (f *Fleet) Stop(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	reply, err := f.callHolder(ctx, at, func(ctx context.Context, m *peers.Member) (*peerpb.TaskReply, error) {
		if m == nil {
			return f.local.Stop(ctx, query)
		}
		return peers.Call(ctx, f.transport, m.Address, query, peerpb.PeerClient.Stop)
	})
	if err != nil {
		return f.confirmExpired(ctx, task, at, err)
	}
	return taskAnswer(reply), nil
}

func taskAnswer(reply *peerpb.TaskReply) worker.Answer {
	return worker.Answer{
		State: worker.TaskState(reply.GetState()), ContentType: reply.GetContentType(), Body: reply.GetResult(),
	}
}

// callHolder calls the hosts that report to hold a worker until one of them does. The outcome of the error tells whether
// the call may have had an effect.
func (f *Fleet) callHolder(ctx context.Context, at jobs.Placement, call holderCall) (*peerpb.TaskReply, error) {
	noHolderErr := error(reason.Refuse(reason.LeaseLost, "no entry host holds worker %s", at.Worker))
	for _, m := range f.holders(at) {
		reply, err := call(ctx, m)
		var unsent *peers.UnsentError
		switch {
		case errors.As(err, &unsent):
			continue
		case err != nil:
			return nil, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.PeerSilent, Err: err}
		}
		err = peers.DecodeRefusal(reply.GetRefusal())
		if err == nil {
			return reply, nil
		}
		if !reason.Is(err, reason.LeaseLost) || reason.From(err).Outcome != reason.NotRun {
			return nil, err
		}
	}
	return nil, noHolderErr
}

// holders returns the hosts that report to hold a worker; nil means this host.
func (f *Fleet) holders(at jobs.Placement) []*peers.Member {
	var members []*peers.Member
	for _, name := range f.pool.Load().Held {
		if name == at.Worker {
			members = append(members, nil)
		}
	}
	now := time.Now()
	for _, m := range f.members.Members() {
		if !f.members.Alive(m, now) || m.DataCenter != at.DataCenter {
			continue
		}
		for _, name := range m.State.GetHeld() {
			if name == at.Worker {
				members = append(members, &m)
			}
		}
	}
	return members
}

// confirmExpired proves that a task on an unreachable worker has ended: every host that could have renewed its lease
// reports that it has not done so for longer than a task runs without a renewal. Otherwise it returns cause.
func (f *Fleet) confirmExpired(ctx context.Context, task string, at jobs.Placement, cause error) (worker.Answer, error) {
	if !reason.Is(cause, reason.LeaseLost) {
		return worker.Answer{}, cause
	}
	query := &peerpb.TaskQuery{Task: task, Worker: at.Worker}
	began := clock.SinceBoot()
	// A host that has replied may acquire the lease while the task still runs, before another replies that its own renewals are long past. If
	// none has done so until the second round, the task had ended when that began.
	for range 2 {
		if !f.hostsConfirmExpired(ctx, query, at.DataCenter) {
			return worker.Answer{}, cause
		}
	}
	if clock.SinceBoot()-began > f.pool.TaskTTL() {
		return worker.Answer{}, cause
	}
	return worker.Answer{State: worker.Stopped, Body: []byte("the task's lease lapsed")}, nil
}

// hostsConfirmExpired reports whether every host that could have renewed a worker's lease replies that it has not done so for longer than a
// task runs without a renewal.
func (f *Fleet) hostsConfirmExpired(ctx context.Context, query *peerpb.TaskQuery, dataCenter string) bool {
	unconfirmed := map[string]bool{}
	for _, name := range f.listedHosts(dataCenter) {
		unconfirmed[name] = true
	}
	if len(unconfirmed) == 0 {
		// Either the list was never read or the data centre was taken out of it, which doesn't end what runs there.
		return false
	}
	for _, m := range f.possibleHolders(dataCenter) {
		var reply *peerpb.TaskReply
		var err error
		name := f.name
		if m == nil {
			reply, err = f.local.Inspect(ctx, query)
		} else {
			name = m.Name
			reply, err = peers.Call(ctx, f.transport, m.Address, query, peerpb.PeerClient.Inspect)
		}
		if err != nil || reply.GetState() != StateExpired {
			return false
		}
		delete(unconfirmed, name)
	}
	return len(unconfirmed) == 0
}

// StateExpired reports that a host has not renewed a worker's lease for longer than a task runs without a renewal.
const StateExpired = "lapsed"

// unlistedTTLs is for how many TaskTTL after its last report a host that isn't listed may have renewed leases on which tasks still run.
const unlistedTTLs = 2

// possibleHolders returns the hosts of a data centre that are listed or were heard of recently; nil means this host.
func (f *Fleet) possibleHolders(dataCenter string) []*peers.Member {
	var members []*peers.Member
	if dataCenter == f.dataCenter {
		members = append(members, nil)
	}
	listed := map[string]bool{}
	for _, name := range f.listedHosts(dataCenter) {
		listed[name] = true
	}
	now := time.Now()
	for _, m := range f.members.Members() {
		recent := f.members.Alive(m, now) || now.Sub(m.ReportedAt) < unlistedTTLs*f.pool.TaskTTL()
		if m.DataCenter == dataCenter && (listed[m.Name] || recent) {
			members = append(members, &m)
		}
	}
	return members
}
