package agent

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/order"
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
func (p *peerServer) Holds(ctx context.Context, r *cellpb.HoldsRequest) (*cellpb.HoldsReply, error) {
	if q, asked := p.a.asWitness(ctx, r); asked {
		return &cellpb.HoldsReply{Holds: p.a.answerWitness(q)}, nil
	}
	groupRunner := p.a.groups.localRunner(r.GetService())
	return &cellpb.HoldsReply{
		Holds: groupRunner != nil && groupRunner.Cell().Token() == r.GetToken() && !p.a.stopping.Load(),
	}, nil
}

// Advise implements cellpb.CellsServer.
func (p *peerServer) Advise(ctx context.Context, r *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	permits, validity, err := p.a.advisor.Advise(ctx, stepFromProto(r), r.GetWorkers())
	var busy *order.HostBusyError
	if errors.As(err, &busy) {
		return nil, busyStatus(busy).Err()
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

// busyStatus returns the status of a call to a host that is busy with others. Hosts of earlier versions ignore the details.
func busyStatus(busy *order.HostBusyError) *status.Status {
	s := status.New(codes.Aborted, busy.Error())
	if detailed, err := s.WithDetails(durationpb.New(busy.For)); err == nil {
		return detailed
	}
	return s
}

// busyError returns the error that busyStatus has described, or the given one if it is another.
func busyError(host string, err error) error {
	s, ok := status.FromError(err)
	if !ok || s.Code() != codes.Aborted {
		return err
	}
	busy := &order.HostBusyError{Host: host, Err: err}
	for _, detail := range s.Details() {
		if d, ok := detail.(*durationpb.Duration); ok {
			busy.For = d.AsDuration()
		}
	}
	return busy
}
