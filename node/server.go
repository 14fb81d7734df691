package node

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fleet"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/route"
)

// The kinds of reports that hosts request from each other; a kind with a colon is followed by a shard or a job id.
const (
	reportHosts      = "hosts-list"
	reportOwners     = "owners"
	reportWorkers    = "workers"
	reportWakeShard  = "wake:"
	reportWaitReason = "why:"
)

// versionWait bounds the wait for a catalogue version that a peer already has.
const versionWait = time.Second

// server answers the calls of other entry hosts.
type server struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Heartbeat records a peer's state and returns this host's.
func (s *server) Heartbeat(_ context.Context, state *peerpb.HostState) (*peerpb.HostState, error) {
	n := s.node
	now := time.Now()
	n.members.Observe(state, now)
	if state.GetCatalogueVersion() > n.keeper.Version() {
		n.keeper.Wake()
	}
	return n.transport.State(now), nil
}

// findWork looks up work in a catalogue version that is at least as new as the caller's.
func (s *server) findWork(ctx context.Context, name string, version uint64) (entry.Work, entry.Owner, error) {
	n := s.node
	if n.keeper.Version() < version {
		ctx, cancel := context.WithTimeout(ctx, versionWait)
		defer cancel()
		if err := n.keeper.WaitFor(ctx, version); err != nil {
			return entry.Work{}, entry.Owner{}, reason.Refuse(reason.NoCatalogue, "version %d is not here yet", version)
		}
	}
	c := n.keeper.Current()
	if c == nil {
		return entry.Work{}, entry.Owner{}, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet")
	}
	work, ok := c.Work(name)
	if !ok {
		return entry.Work{}, entry.Owner{}, reason.Refuse(reason.NoSuchEntry, "the catalogue has no work %s", name)
	}
	owner, _ := c.Owner(work.Owner)
	return work, owner, nil
}

// Run runs a request that another host forwards, or attaches to the run of one that it forwarded before.
func (s *server) Run(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	timeout := time.Duration(req.GetTimeoutMicros()) * time.Microsecond
	if req.GetAttachOnly() {
		return s.attach(ctx, req.GetTask(), timeout), nil
	}
	work, owner, err := s.findWork(ctx, req.GetEntry(), req.GetCatalogueVersion())
	if err != nil {
		return &peerpb.RunReply{Refusal: peers.EncodeRefusal(err)}, nil
	}
	call := route.HolderCall(route.Request{
		Task: req.GetTask(), Work: work, Owner: owner, Params: req.GetParams(), ContentType: req.GetContentType(),
		Body: req.GetBody(), Deadline: time.Now().Add(timeout),
	}, false)
	answer, err := s.node.pool.Run(ctx, call)
	return runReply(answer, err), nil
}

func runReply(answer holder.Answer, err error) *peerpb.RunReply {
	if err != nil {
		return &peerpb.RunReply{Refusal: peers.EncodeRefusal(err), Worker: answer.Worker}
	}
	return &peerpb.RunReply{ContentType: answer.ContentType, Body: answer.Body, Worker: answer.Worker}
}

func (s *server) attach(ctx context.Context, task string, wait time.Duration) *peerpb.RunReply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	n := s.node
	if answer, ok, err := n.claims.Wait(ctx, task); ok {
		return runReply(holderAnswer(answer), err)
	}
	answer, ok, err := n.pool.Find(ctx, task, wait)
	if !ok {
		return &peerpb.RunReply{Refusal: peers.EncodeRefusal(reason.Refuse(reason.NoSuchTask, "no task %s here", task))}
	}
	return runReply(answer, err)
}

// Reserve waits for free capacity for a task of a job and reserves it.
func (s *server) Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	work, owner, err := s.findWork(ctx, req.GetEntry(), req.GetCatalogueVersion())
	if err != nil {
		return &peerpb.ReserveReply{Refusal: peers.EncodeRefusal(err)}, nil
	}
	const minWait = 5 * time.Millisecond
	wait := max(minWait, time.Duration(req.GetWaitMicros())*time.Microsecond)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	grant, err := s.node.pool.Reserve(ctx, holder.Need{
		Task: req.GetTask(), Work: work, Weight: owner.Weight, Avoid: req.GetAvoid(), AvoidRacks: req.GetAvoidRacks(),
	}, time.Duration(req.GetHoldMicros())*time.Microsecond)
	if err != nil {
		return &peerpb.ReserveReply{Refusal: peers.EncodeRefusal(err)}, nil
	}
	return &peerpb.ReserveReply{Worker: grant.Worker.Name(), Rack: grant.Rack}, nil
}

// Release frees the reservation of a task that was not started.
func (s *server) Release(_ context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	s.node.pool.Unreserve(req.GetTask())
	return &peerpb.TaskReply{}, nil
}

// Start starts a task on the worker that its job's row names.
func (s *server) Start(ctx context.Context, req *peerpb.StartRequest) (*peerpb.TaskReply, error) {
	work, owner, err := s.findWork(ctx, req.GetEntry(), req.GetCatalogueVersion())
	if err != nil {
		return &peerpb.TaskReply{Refusal: peers.EncodeRefusal(err)}, nil
	}
	need := holder.Need{Task: req.GetTask(), Work: work, Weight: owner.Weight}
	state, err := s.node.pool.Start(ctx, need, req.GetWorker(), holder.Call{
		Params: req.GetParams(), ContentType: req.GetContentType(), Body: req.GetBody(),
	})
	return &peerpb.TaskReply{State: string(state), Refusal: peers.EncodeRefusal(err)}, nil
}

// Inspect returns the state of a task on its worker.
func (s *server) Inspect(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	answer, err := s.node.pool.Inspect(ctx, req.GetTask(), req.GetWorker())
	if reason.Is(err, reason.LeaseLost) && s.tasksExpired(req.GetWorker()) {
		return &peerpb.TaskReply{State: fleet.StateExpired}, nil
	}
	if err != nil {
		return &peerpb.TaskReply{Refusal: peers.EncodeRefusal(err)}, nil
	}
	reply := &peerpb.TaskReply{State: string(answer.State), ContentType: answer.ContentType}
	if req.GetWithResult() {
		reply.Result = answer.Body
	}
	return reply, nil
}

// tasksExpired reports whether all tasks that this host's renewals kept alive on a worker have expired by now.
func (s *server) tasksExpired(worker string) bool {
	n := s.node
	expiry := n.pool.TaskTTL() + n.cfg.LeaseTTL
	if time.Since(n.startedAt) < expiry {
		return false
	}
	renewedAt, ok := n.pool.LastRenewal(worker)
	return !ok || time.Since(renewedAt) > expiry
}

// Stop ends a task, or ensures that it never starts.
func (s *server) Stop(ctx context.Context, req *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	answer, err := s.node.pool.StopTask(ctx, req.GetTask(), req.GetWorker())
	return &peerpb.TaskReply{State: string(answer.State), Refusal: peers.EncodeRefusal(err)}, nil
}

// Catalogue returns the catalogue in force to a peer that can't read the table.
func (s *server) Catalogue(_ context.Context, req *peerpb.CatalogueQuery) (*peerpb.CatalogueReply, error) {
	c := s.node.keeper.Current()
	if c == nil || c.Version() < req.GetHave() {
		return &peerpb.CatalogueReply{}, nil
	}
	reply := &peerpb.CatalogueReply{Version: c.Version()}
	for _, doc := range c.Documents() {
		reply.Documents = append(reply.Documents, &peerpb.Document{Key: doc.Key, Version: doc.Version, Value: doc.Raw})
	}
	return reply, nil
}

// Report returns one kind of report as JSON, or wakes a job shard.
func (s *server) Report(_ context.Context, req *peerpb.ReportQuery) (*peerpb.ReportReply, error) {
	n := s.node
	var value any
	kind := req.GetKind()
	switch {
	case kind == reportHosts:
		value = n.listedHosts()
	case kind == reportOwners:
		value = n.pool.Owners()
	case kind == reportWorkers:
		value = n.pool.Workers()
	case strings.HasPrefix(kind, reportWakeShard):
		shard, err := strconv.Atoi(kind[len(reportWakeShard):])
		if err == nil {
			n.jobs.Wake(shard)
		}
	case strings.HasPrefix(kind, reportWaitReason):
		waitReason, detail, _ := n.jobs.WaitReason(kind[len(reportWaitReason):])
		value = waitReport{Reason: waitReason, Detail: detail}
	}
	encoded, err := json.Marshal(value)
	return &peerpb.ReportReply{Json: encoded}, err
}

type waitReport struct {
	Reason reason.Reason `json:"reason"`
	Detail string        `json:"detail"`
}
