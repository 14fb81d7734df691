package agent

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cellpb"
)

// peerServer answers other hosts.
type peerServer struct {
	cellpb.UnimplementedCellsServer
	a *Agent
}

// State implements cellpb.CellsServer.
func (p *peerServer) State(_ context.Context, r *cellpb.StateRequest) (*cellpb.StateReply, error) {
	run := p.a.groups.local(r.GetService())
	if run == nil || !run.Ready() {
		return &cellpb.StateReply{}, nil
	}
	state, known := run.Cell().State(r.GetJob(), r.GetQueue())
	return &cellpb.StateReply{Known: known, State: string(state)}, nil
}

// Pending implements cellpb.CellsServer.
func (p *peerServer) Pending(_ context.Context, r *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	run := p.a.groups.local(r.GetService())
	if run == nil || !run.Ready() {
		return &cellpb.PendingReply{}, nil
	}
	return &cellpb.PendingReply{Known: true, Jobs: int64(run.Cell().Pending(r.GetQueue()))}, nil
}

// Holds implements cellpb.CellsServer.
func (p *peerServer) Holds(_ context.Context, r *cellpb.HoldsRequest) (*cellpb.HoldsReply, error) {
	run := p.a.groups.local(r.GetService())
	return &cellpb.HoldsReply{
		Holds: run != nil && run.Cell().Token() == r.GetToken() && !p.a.leaving.Load(),
	}, nil
}

// Advise implements cellpb.CellsServer.
func (p *peerServer) Advise(ctx context.Context, r *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	permits, validity, err := p.a.advisor.Advise(ctx, stepOf(r), r.GetWorkers())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &cellpb.AdviseReply{ValidityNanos: int64(validity)}
	for _, one := range permits {
		reply.Permits = append(reply.Permits, &cellpb.Permit{Worker: one.Worker, Ticket: one.Ticket})
	}
	return reply, nil
}
