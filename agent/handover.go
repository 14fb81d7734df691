package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// handoverTimeout bounds the request for the last holder's handover state; without it, the workers are polled.
const handoverTimeout = 300 * time.Millisecond

// fetchHandover requests the handover state from the host that released a lease.
func (g *groups) fetchHandover(ctx context.Context, previous elect.Epoch) (cell.Handover, bool) {
	address, token, ok := previous.Handover()
	if !ok {
		return cell.Handover{}, false
	}
	if h, ok := g.localHandover(previous.Group, token); ok {
		return h, true
	}
	conn, err := g.a.hosts.conn(address)
	if err != nil {
		g.a.log.WithError(err).WithField("group", previous.Group).Warn("connection to host failed")
		return cell.Handover{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := cellpb.NewCellsClient(conn).Left(ctx, &cellpb.LeftRequest{Service: previous.Group, Token: token})
	if err != nil {
		g.a.log.WithError(err).WithField("group", previous.Group).Info("request for the last runner's handover state failed")
		return cell.Handover{}, false
	}
	h, err := handoverFromProto(reply)
	if err != nil {
		g.a.log.WithError(err).WithField("group", previous.Group).Error("invalid handover state of the last runner")
		return cell.Handover{}, false
	}
	return h, reply.GetKnown()
}

func (g *groups) localHandover(service string, token uint64) (cell.Handover, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stored, ok := g.handovers[service]
	return stored.handover, ok && stored.token == token
}

// Left implements cellpb.CellsServer.
func (p *peerServer) Left(_ context.Context, r *cellpb.LeftRequest) (*cellpb.LeftReply, error) {
	h, ok := p.a.groups.localHandover(r.GetService(), r.GetToken())
	return handoverToProto(h, ok), nil
}

func handoverToProto(h cell.Handover, known bool) *cellpb.LeftReply {
	reply := &cellpb.LeftReply{Known: known}
	for i := range h.Workers {
		w := &h.Workers[i]
		reply.Workers = append(reply.Workers, &cellpb.LeftWorker{
			Id: w.ID, Address: w.Address.String(), DataCenter: w.DataCenter, Rack: w.Rack, Labels: w.Labels,
			CpuMilli: w.Capacity.CPUMilli, MemoryMib: w.Capacity.MemoryMiB, Accelerators: w.Capacity.Accelerators,
			BornUnixMilli: w.StartedAt.UnixMilli(),
		})
	}
	for i := range h.Runs {
		r := &h.Runs[i]
		reply.Runs = append(reply.Runs, &cellpb.LeftRun{Task: r.Task.String(), Run: int64(r.Run), Worker: r.Worker, Stop: r.Stop, AgeNanos: int64(r.Age)})
	}
	return reply
}

func handoverFromProto(reply *cellpb.LeftReply) (cell.Handover, error) {
	var h cell.Handover
	for _, w := range reply.GetWorkers() {
		address, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			return h, err
		}
		h.Workers = append(h.Workers, order.Worker{
			ID: w.GetId(), Address: address, DataCenter: w.GetDataCenter(), Rack: w.GetRack(), Labels: w.GetLabels(),
			Capacity:  unit.Size{CPUMilli: w.GetCpuMilli(), MemoryMiB: w.GetMemoryMib(), Accelerators: w.GetAccelerators()},
			StartedAt: time.UnixMilli(w.GetBornUnixMilli()),
		})
	}
	for _, r := range reply.GetRuns() {
		task, err := graph.ParseTaskID(r.GetTask())
		if err != nil {
			return h, err
		}
		h.Runs = append(h.Runs, cell.HandoverRun{Task: task, Run: int(r.GetRun()), Worker: r.GetWorker(), Stop: r.GetStop(), Age: time.Duration(r.GetAgeNanos())})
	}
	return h, nil
}
