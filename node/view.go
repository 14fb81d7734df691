package node

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const reportTimeout = time.Second

func holderAnswer(a claim.Answer) holder.Answer {
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: a.ContentType, Body: a.Body}, Worker: a.Worker,
	}
}

// FirstRun waits for the answer of a task whose claim another host holds.
func (n *Node) FirstRun(ctx context.Context, host, task string) (claim.Answer, error) {
	name, incarnation, _ := strings.Cut(host, "@")
	m, ok := n.members.Member(name)
	sameProcess := ok && m.State.GetIncarnation() == incarnation
	if sameProcess && n.members.Alive(m, time.Now()) {
		reply, err := n.attachToFirstRun(ctx, m, task)
		if err == nil && reply.GetRefusal().GetReason() != string(reason.NoSuchTask) {
			return claim.Answer{
				ContentType: reply.GetContentType(), Body: reply.GetBody(), Worker: reply.GetWorker(),
			}, peers.DecodeRefusal(reply.GetRefusal())
		}
	}
	// The claiming process is gone or does not know the task; the task may still be on a worker.
	for _, dataCenter := range n.dataCenters() {
		answer, found, err := n.router.FindAnswer(ctx, task, dataCenter)
		if found {
			return claim.Answer{ContentType: answer.ContentType, Body: answer.Body, Worker: answer.Worker}, err
		}
	}
	return claim.Answer{}, reason.Uncertain(reason.FirstRunUnknown, "host %s, which started the first run, is gone", host)
}

func (n *Node) attachToFirstRun(ctx context.Context, m peers.Member, task string) (*peerpb.RunReply, error) {
	wait := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	msg := &peerpb.RunRequest{Task: task, AttachOnly: true, TimeoutMicros: wait.Microseconds()}
	return peers.Call(ctx, n.transport, m.Address, msg, peerpb.PeerClient.Run)
}

func (n *Node) dataCenters() []string {
	names := []string{n.cfg.DataCenter}
	seen := map[string]bool{n.cfg.DataCenter: true}
	for _, m := range n.members.Members() {
		if !seen[m.DataCenter] {
			seen[m.DataCenter] = true
			names = append(names, m.DataCenter)
		}
	}
	return names
}

// collectReports requests a report from all live hosts and calls handle with each.
func (n *Node) collectReports(ctx context.Context, kind string, handle func(host string, data []byte)) {
	local, _ := (&server{node: n}).Report(ctx, &peerpb.ReportQuery{Kind: kind})
	handle(n.cfg.Name, local.GetJson())
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, m := range n.members.Members() {
		if !n.members.Alive(m, time.Now()) {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			reply, err := peers.Call(ctx, n.transport, m.Address, &peerpb.ReportQuery{Kind: kind}, peerpb.PeerClient.Report)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			handle(m.Name, reply.GetJson())
		})
	}
	wg.Wait()
}

// Workers returns the reports of all reachable hosts about the workers they hold.
func (n *Node) Workers(ctx context.Context) []holder.WorkerReport {
	var all []holder.WorkerReport
	n.collectReports(ctx, reportWorkers, func(_ string, data []byte) {
		var reports []holder.WorkerReport
		if json.Unmarshal(data, &reports) == nil {
			all = append(all, reports...)
		}
	})
	return all
}

// Owners returns the totals for each owner over all reachable hosts.
func (n *Node) Owners(ctx context.Context) []holder.OwnerReport {
	totals := map[string]holder.OwnerReport{}
	n.collectReports(ctx, reportOwners, func(_ string, data []byte) {
		var reports []holder.OwnerReport
		if json.Unmarshal(data, &reports) != nil {
			return
		}
		for _, report := range reports {
			total := totals[report.Owner]
			total.Owner = report.Owner
			total.Running += report.Running
			total.Waiting += report.Waiting
			total.Allocated = total.Allocated.Add(report.Allocated)
			totals[report.Owner] = total
		}
	})
	if c := n.keeper.Current(); c != nil {
		for _, owner := range c.Owners() {
			if _, ok := totals[owner.Name]; !ok {
				totals[owner.Name] = holder.OwnerReport{Owner: owner.Name}
			}
		}
	}
	var all []holder.OwnerReport
	for _, report := range totals {
		all = append(all, report)
	}
	return all
}

// Hosts returns reports of this host and of all others that it knows.
func (n *Node) Hosts() []front.HostReport {
	self := n.hostState()
	now := time.Now()
	reports := []front.HostReport{hostReport(self, now, true)}
	for _, m := range n.members.Members() {
		reports = append(reports, hostReport(m.State, m.ReportedAt, n.members.Alive(m, now)))
	}
	return reports
}

func hostReport(s *peerpb.HostState, reportedAt time.Time, alive bool) front.HostReport {
	return front.HostReport{
		Name: s.GetName(), Address: s.GetAddress(), DataCenter: s.GetDataCenter(), Region: s.GetRegion(),
		CatalogueVersion: s.GetCatalogueVersion(), Workers: len(s.GetHeld()), Load: s.GetLoad(),
		Leaving: s.GetLeaving(), Alive: alive, AgeMillis: time.Since(reportedAt).Milliseconds(),
	}
}

// WakeJob tells the leader of a job's shard to look for new jobs now.
func (n *Node) WakeJob(ctx context.Context, id string) {
	shard := jobs.ShardOf(id)
	if n.leaders.IsLeader(shard) {
		n.jobs.Wake(shard)
		return
	}
	_, _ = n.callLeader(ctx, shard, reportWakeShard+strconv.Itoa(shard))
}

// WaitReason asks the leader of a job's shard why the job waits.
func (n *Node) WaitReason(ctx context.Context, id string) (reason.Reason, string) {
	if waitReason, detail, ok := n.jobs.WaitReason(id); ok {
		return waitReason, detail
	}
	reply, err := n.callLeader(ctx, jobs.ShardOf(id), reportWaitReason+id)
	var report waitReport
	if err != nil || json.Unmarshal(reply.GetJson(), &report) != nil {
		return "", ""
	}
	return report.Reason, report.Detail
}

func (n *Node) callLeader(ctx context.Context, shard int, kind string) (*peerpb.ReportReply, error) {
	name, _, _ := strings.Cut(n.leaders.Leader(shard), "@")
	m, ok := n.members.Member(name)
	if !ok {
		return nil, reason.Refuse(reason.PeerUnreachable, "the home of shard %d is not known", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return peers.Call(ctx, n.transport, m.Address, &peerpb.ReportQuery{Kind: kind}, peerpb.PeerClient.Report)
}
