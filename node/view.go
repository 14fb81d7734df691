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

// FirstRun waits for the answer of a task that another host claimed.
func (n *Node) FirstRun(ctx context.Context, host, task string) (claim.Answer, error) {
	name, incarnation, _ := strings.Cut(host, "@")
	m, ok := n.table.Member(name)
	same := ok && m.State.GetIncarnation() == incarnation
	if same && n.table.Alive(m, time.Now()) {
		reply, err := n.askFirstRun(ctx, m, task)
		if err == nil && reply.GetRefusal().GetReason() != string(reason.NoSuchTask) {
			return claim.Answer{
				ContentType: reply.GetContentType(), Body: reply.GetBody(), Worker: reply.GetWorker(),
			}, peers.Refused(reply.GetRefusal())
		}
	}
	// The host that claimed is gone; its task may still be on a worker.
	for _, dataCenter := range n.dataCenters() {
		answer, found, err := n.router.Ask(ctx, task, dataCenter)
		if found {
			return claim.Answer{ContentType: answer.ContentType, Body: answer.Body, Worker: answer.Worker}, err
		}
	}
	return claim.Answer{}, reason.Uncertain(reason.FirstRunUnknown, "host %s, which started the first run, is gone", host)
}

func (n *Node) askFirstRun(ctx context.Context, m peers.Member, task string) (*peerpb.RunReply, error) {
	wait := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	msg := &peerpb.RunRequest{Task: task, AttachOnly: true, TimeoutMicros: wait.Microseconds()}
	return peers.Call(ctx, n.net, m.Address, msg, peerpb.PeerClient.Run)
}

func (n *Node) dataCenters() []string {
	names := []string{n.cfg.DataCenter}
	seen := map[string]bool{n.cfg.DataCenter: true}
	for _, m := range n.table.Members() {
		if !seen[m.DataCenter] {
			seen[m.DataCenter] = true
			names = append(names, m.DataCenter)
		}
	}
	return names
}

// report asks all live hosts for a report and calls take with each.
func (n *Node) report(ctx context.Context, kind string, take func(host string, data []byte)) {
	local, _ := (&server{node: n}).Report(ctx, &peerpb.ReportQuery{Kind: kind})
	take(n.cfg.Name, local.GetJson())
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, m := range n.table.Members() {
		if !n.table.Alive(m, time.Now()) {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			reply, err := peers.Call(ctx, n.net, m.Address, &peerpb.ReportQuery{Kind: kind}, peerpb.PeerClient.Report)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			take(m.Name, reply.GetJson())
		})
	}
	wg.Wait()
}

// Workers returns what all reachable hosts say of the workers they hold.
func (n *Node) Workers(ctx context.Context) []holder.WorkerReport {
	var all []holder.WorkerReport
	n.report(ctx, reportWorkers, func(_ string, data []byte) {
		var part []holder.WorkerReport
		if json.Unmarshal(data, &part) == nil {
			all = append(all, part...)
		}
	})
	return all
}

// Owners returns what all reachable hosts say of owners, summed up.
func (n *Node) Owners(ctx context.Context) []holder.OwnerReport {
	sums := map[string]holder.OwnerReport{}
	n.report(ctx, reportOwners, func(_ string, data []byte) {
		var part []holder.OwnerReport
		if json.Unmarshal(data, &part) != nil {
			return
		}
		for _, o := range part {
			sum := sums[o.Owner]
			sum.Owner = o.Owner
			sum.Running += o.Running
			sum.Waiting += o.Waiting
			sum.Holds = sum.Holds.Add(o.Holds)
			sums[o.Owner] = sum
		}
	})
	if c := n.keeper.Current(); c != nil {
		for _, owner := range c.Owners() {
			if _, ok := sums[owner.Name]; !ok {
				sums[owner.Name] = holder.OwnerReport{Owner: owner.Name}
			}
		}
	}
	var all []holder.OwnerReport
	for _, o := range sums {
		all = append(all, o)
	}
	return all
}

// Hosts returns this host and all others that it knows.
func (n *Node) Hosts() []front.HostReport {
	self := n.state()
	now := time.Now()
	reports := []front.HostReport{hostReport(self, now, true)}
	for _, m := range n.table.Members() {
		reports = append(reports, hostReport(m.State, m.ReportedAt, n.table.Alive(m, now)))
	}
	return reports
}

func hostReport(s *peerpb.HostState, current time.Time, alive bool) front.HostReport {
	return front.HostReport{
		Name: s.GetName(), Address: s.GetAddress(), DataCenter: s.GetDataCenter(), Region: s.GetRegion(),
		CatalogueVersion: s.GetCatalogueVersion(), Workers: len(s.GetHeld()), Load: s.GetLoad(),
		Leaving: s.GetLeaving(), Alive: alive, AgeMillis: time.Since(current).Milliseconds(),
	}
}

// WakeJob tells the home of a job's shard to look for it now.
func (n *Node) WakeJob(ctx context.Context, id string) {
	shard := jobs.ShardOf(id)
	if n.homes.Mine(shard) {
		n.jobs.Wake(shard)
		return
	}
	_, _ = n.atHome(ctx, shard, reportWake+strconv.Itoa(shard))
}

// Why asks the home of a job's shard why the job waits.
func (n *Node) Why(ctx context.Context, id string) (reason.Reason, string) {
	if why, detail, ok := n.jobs.Why(id); ok {
		return why, detail
	}
	reply, err := n.atHome(ctx, jobs.ShardOf(id), reportWhy+id)
	var why whyReport
	if err != nil || json.Unmarshal(reply.GetJson(), &why) != nil {
		return "", ""
	}
	return why.Reason, why.Detail
}

func (n *Node) atHome(ctx context.Context, shard int, kind string) (*peerpb.ReportReply, error) {
	name, _, _ := strings.Cut(n.homes.Home(shard), "@")
	m, ok := n.table.Member(name)
	if !ok {
		return nil, reason.Refuse(reason.PeerUnreachable, "the home of shard %d is not known", shard)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return peers.Call(ctx, n.net, m.Address, &peerpb.ReportQuery{Kind: kind}, peerpb.PeerClient.Report)
}
