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

// leftTime bounds the question what the last holder of a lease left; without an answer the workers are asked.
const leftTime = 300 * time.Millisecond

// handed asks the host that gave a lease back what it left.
func (g *groups) handed(ctx context.Context, old elect.Epoch) (cell.Handover, bool) {
	if old.Holder != "" || !old.Left.IsValid() {
		return cell.Handover{}, false
	}
	if h, ok := g.leftOf(old.Part, old.Token); ok {
		return h, true
	}
	conn, err := g.a.hosts.conn(old.Left)
	if err != nil {
		g.a.log.WithError(err).WithField("group", old.Part).Warn("host can't be reached")
		return cell.Handover{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, leftTime)
	defer cancel()
	reply, err := cellpb.NewCellsClient(conn).Left(ctx, &cellpb.LeftRequest{Service: old.Part, Token: old.Token})
	if err != nil {
		g.a.log.WithError(err).WithField("group", old.Part).Info("the last runner can't be asked what it left")
		return cell.Handover{}, false
	}
	h, err := handoverOf(reply)
	if err != nil {
		g.a.log.WithError(err).WithField("group", old.Part).Error("what the last runner left is unreadable")
		return cell.Handover{}, false
	}
	return h, reply.GetKnown()
}

func (g *groups) leftOf(service string, token uint64) (cell.Handover, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	by, ok := g.left[service]
	return by.handover, ok && by.token == token
}

// Left implements cellpb.CellsServer.
func (p *peerServer) Left(_ context.Context, r *cellpb.LeftRequest) (*cellpb.LeftReply, error) {
	h, ok := p.a.groups.leftOf(r.GetService(), r.GetToken())
	return handoverToProto(h, ok), nil
}

func handoverToProto(h cell.Handover, known bool) *cellpb.LeftReply {
	reply := &cellpb.LeftReply{Known: known}
	for i := range h.Workers {
		w := &h.Workers[i]
		reply.Workers = append(reply.Workers, &cellpb.LeftWorker{
			Id: w.ID, Address: w.Address.String(), DataCenter: w.DataCenter, Rack: w.Rack, Labels: w.Labels,
			CpuMilli: w.Capacity.CPUMilli, MemoryMib: w.Capacity.MemoryMiB, Accelerators: w.Capacity.Accelerators,
			BornUnixMilli: w.Born.UnixMilli(),
		})
	}
	for i := range h.Runs {
		r := &h.Runs[i]
		reply.Runs = append(reply.Runs, &cellpb.LeftRun{Task: r.Task.String(), Run: int64(r.Run), Worker: r.Worker, Stop: r.Stop, AgeNanos: int64(r.Age)})
	}
	return reply
}

func handoverOf(reply *cellpb.LeftReply) (cell.Handover, error) {
	var h cell.Handover
	for _, w := range reply.GetWorkers() {
		address, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			return h, err
		}
		h.Workers = append(h.Workers, order.Worker{
			ID: w.GetId(), Address: address, DataCenter: w.GetDataCenter(), Rack: w.GetRack(), Labels: w.GetLabels(),
			Capacity: unit.Size{CPUMilli: w.GetCpuMilli(), MemoryMiB: w.GetMemoryMib(), Accelerators: w.GetAccelerators()},
			Born:     time.UnixMilli(w.GetBornUnixMilli()),
		})
	}
	for _, r := range reply.GetRuns() {
		task, err := graph.ParseTaskID(r.GetTask())
		if err != nil {
			return h, err
		}
		h.Runs = append(h.Runs, cell.LeftRun{Task: task, Run: int(r.GetRun()), Worker: r.GetWorker(), Stop: r.GetStop(), Age: time.Duration(r.GetAgeNanos())})
	}
	return h, nil
}
