package agent

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cellpb"
)

// peerServer implements the Cells service for other hosts.
type peerServer struct {
	cellpb.UnimplementedCellsServer
	a *Agent
}

// State implements cellpb.CellsServer.
func (p *peerServer) State(ctx context.Context, r *cellpb.StateRequest) (*cellpb.StateReply, error) {
	groupRunner := p.a.groups.localRunner(r.GetService())
	if groupRunner == nil {
		return &cellpb.StateReply{}, nil
	}
	state, stored := groupRunner.Cell().State(r.GetJob(), r.GetQueue(), acceptCaller(ctx))
	if !groupRunner.Ready() {
		return &cellpb.StateReply{Stored: stored}, nil
	}
	return &cellpb.StateReply{Known: stored, State: string(state), Stored: stored}, nil
}

// Pending implements cellpb.CellsServer.
func (p *peerServer) Pending(ctx context.Context, r *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	groupRunner := p.a.groups.localRunner(r.GetService())
	if groupRunner == nil || !groupRunner.Ready() {
		return &cellpb.PendingReply{}, nil
	}
	n := groupRunner.Cell().Pending(r.GetQueue(), acceptCaller(ctx))
	return &cellpb.PendingReply{Known: true, Jobs: int64(n)}, nil
}

// Holds implements cellpb.CellsServer.
func (p *peerServer) Holds(_ context.Context, r *cellpb.HoldsRequest) (*cellpb.HoldsReply, error) {
	groupRunner := p.a.groups.localRunner(r.GetService())
	return &cellpb.HoldsReply{
		Holds: groupRunner != nil && groupRunner.Cell().Token() == r.GetToken() && !p.a.stopping.Load(),
	}, nil
}

// Advise implements cellpb.CellsServer.
func (p *peerServer) Advise(ctx context.Context, r *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	permits, validity, err := p.a.advisor.Advise(ctx, stepFromProto(r), r.GetWorkers())
	var queueTimeout *queueTimeoutError
	if errors.As(err, &queueTimeout) {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &cellpb.AdviseReply{ValidityNanos: int64(validity)}
	for _, permit := range permits {
		reply.Permits = append(reply.Permits, &cellpb.Permit{Worker: permit.Worker, Ticket: permit.Ticket})
	}
	return reply, nil
}
