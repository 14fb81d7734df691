package fakes

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cellpb"
)

// Peer is the network of a host that passes calls to the table on, without sockets.
type Peer struct {
	state atomic.Int32
	delay atomic.Int64
}

// Set sets the state of the path to and from the host; PathRefused stands for a process that has ended.
func (p *Peer) Set(s PathState) { p.state.Store(int32(s)) }

// SetDelay sets how long a call takes to reach the host.
func (p *Peer) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// RowsClient is a cellpb.RowsClient of a host in the same process.
type RowsClient struct {
	From, To *Peer
	// Server returns the server of the called host.
	Server func() cellpb.RowsServer
}

const peerLatency = time.Millisecond

func callPeer[T any](ctx context.Context, c *RowsClient, call func() (T, error)) (T, error) {
	var none T
	select {
	case <-time.After(peerLatency + time.Duration(c.To.delay.Load())):
	case <-ctx.Done():
		return none, status.FromContextError(ctx.Err()).Err()
	}
	if PathState(c.To.state.Load()) == PathRefused {
		return none, status.Error(codes.Unavailable, "connection refused")
	}
	if !c.isSilent() {
		if reply, err := call(); !c.isSilent() {
			return reply, err
		}
	}
	<-ctx.Done()
	return none, status.FromContextError(ctx.Err()).Err()
}

func (c *RowsClient) isSilent() bool {
	return PathState(c.From.state.Load()) == PathSilent || PathState(c.To.state.Load()) == PathSilent
}

// Commit implements cellpb.RowsClient.
func (c *RowsClient) Commit(ctx context.Context, in *cellpb.CommitRequest, _ ...grpc.CallOption) (*cellpb.CommitReply, error) {
	return callPeer(ctx, c, func() (*cellpb.CommitReply, error) { return c.Server().Commit(ctx, in) })
}

// Read implements cellpb.RowsClient.
func (c *RowsClient) Read(ctx context.Context, in *cellpb.ReadRequest, _ ...grpc.CallOption) (*cellpb.ReadReply, error) {
	return callPeer(ctx, c, func() (*cellpb.ReadReply, error) { return c.Server().Read(ctx, in) })
}

// Changes implements cellpb.RowsClient.
func (c *RowsClient) Changes(ctx context.Context, in *cellpb.ChangesRequest, _ ...grpc.CallOption) (*cellpb.ChangesReply, error) {
	return callPeer(ctx, c, func() (*cellpb.ChangesReply, error) { return c.Server().Changes(ctx, in) })
}
