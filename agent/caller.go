package agent

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/corianderdrift/corianderdrift/queues"
)

// Metadata of the State and Pending calls between hosts. Without teamKey a call may see the jobs of all teams, as those of hosts of earlier versions do;
// an empty value stands for a caller without a team. teamAppliedKey in the header of the reply says that the called host has taken the team into account.
const (
	teamKey        = "corianderdrift-team-bin"
	teamAppliedKey = "corianderdrift-team-applied"
)

// withCaller returns a context for calls to another host on behalf of a caller.
func withCaller(ctx context.Context, caller queues.Caller) context.Context {
	if caller.AnyTeam {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, teamKey, caller.Team)
}

// appliesTo reports whether the reply with a header takes a caller's team into account, which hosts of earlier versions don't.
func appliesTo(header metadata.MD, caller queues.Caller) bool {
	return caller.AnyTeam || len(header.Get(teamAppliedKey)) > 0
}

// acceptCaller returns the caller on whose behalf another host calls, and tells that host that its team is taken into account.
func acceptCaller(ctx context.Context) queues.Caller {
	values := metadata.ValueFromIncomingContext(ctx, teamKey)
	if len(values) == 0 {
		return queues.Caller{AnyTeam: true}
	}
	// It fails only outside a server's call, and then nobody needs the header.
	_ = grpc.SetHeader(ctx, metadata.Pairs(teamAppliedKey, "1"))
	return queues.Caller{Team: values[0]}
}
