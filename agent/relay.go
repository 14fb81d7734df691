package agent

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/table"
)

// Timeouts of calls to the table through another host.
const (
	// relayTimeout bounds a commit or a read, so that a host that is partitioned itself soon responds to its callers.
	relayTimeout = 600 * time.Millisecond
	// withoutTableDuration is how long a host that could not reach the table is asked after all others.
	withoutTableDuration = time.Second
)

// relayStores returns the routes to the table through other hosts.
func (a *Agent) relayStores() []table.Store {
	var stores []table.Store
	for _, h := range a.hosts.relays(time.Now()) {
		stores = append(stores, &relayStore{hosts: a.hosts, host: h})
	}
	return stores
}

// relayStore is a table.Store that forwards calls to another host.
type relayStore struct {
	hosts *hosts
	host  host
}

func (s *relayStore) client() (cellpb.RowsClient, error) {
	conn, err := s.hosts.conn(s.host.Address)
	if err != nil {
		return nil, err
	}
	return cellpb.NewRowsClient(conn), nil
}

// unanswered backs off from the host, which did not respond, and returns the error for the call.
func (s *relayStore) unanswered(op string, err error) error {
	s.hosts.backOff(s.host.Name, time.Now())
	return &table.UnansweredError{Op: op, Err: err}
}

// failure returns the error of a call that the host has answered.
func (s *relayStore) failure(op string, f *cellpb.Failure) error {
	err := failureFromProto(op, f)
	var refused *table.RefusedError
	if errors.As(err, &refused) {
		s.hosts.setWithoutTable(s.host.Name, time.Now())
	}
	return err
}

// Commit implements table.Store.
func (s *relayStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	const op = "commit"
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return 0, s.unanswered(op, err)
	}
	reply, err := c.Commit(ctx, txToProto(tx))
	if err != nil {
		return 0, s.unanswered(op, err)
	}
	return reply.GetVersion(), s.failure(op, reply.GetFailure())
}

// Read implements table.Store.
func (s *relayStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	const op = "read"
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return table.Page{}, s.unanswered(op, err)
	}
	reply, err := c.Read(ctx, &cellpb.ReadRequest{Table: r.Table, Part: r.Partition, From: r.From, To: r.To, Limit: int32(r.Limit)})
	if err != nil {
		return table.Page{}, s.unanswered(op, err)
	}
	page := table.Page{Rows: rowsFromProto(reply.GetRows()), More: reply.GetMore(), Version: reply.GetVersion()}
	return page, s.failure(op, reply.GetFailure())
}

// Changes implements table.Store; it takes as long as ctx allows, since the changes may have to come over a narrow link.
func (s *relayStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	const op = "changes"
	c, err := s.client()
	if err != nil {
		return table.Changes{}, s.unanswered(op, err)
	}
	reply, err := c.Changes(ctx, &cellpb.ChangesRequest{Table: name, After: after, WaitNanos: int64(wait)})
	if err != nil {
		return table.Changes{}, s.unanswered(op, err)
	}
	err = s.failure(op, reply.GetFailure())
	var lost *table.HistoryLostError
	if errors.As(err, &lost) {
		lost.Table, lost.After = name, after
	}
	return table.Changes{Rows: rowsFromProto(reply.GetRows()), Version: reply.GetVersion()}, err
}

// rowServer forwards other hosts' calls to the table, over this host's direct route only.
type rowServer struct {
	cellpb.UnimplementedRowsServer
	direct *table.Health
}

// route returns the direct route to the table, or *table.RefusedError if it is unreachable.
func (r *rowServer) route(op string) (table.Store, error) {
	if !r.direct.Reachable(time.Now()) {
		return nil, &table.RefusedError{Op: op}
	}
	return r.direct, nil
}

// Commit implements cellpb.RowsServer.
func (r *rowServer) Commit(ctx context.Context, req *cellpb.CommitRequest) (*cellpb.CommitReply, error) {
	s, err := r.route("commit")
	reply := &cellpb.CommitReply{}
	if err == nil {
		reply.Version, err = s.Commit(ctx, txFromProto(req))
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}

// Read implements cellpb.RowsServer.
func (r *rowServer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.ReadReply, error) {
	s, err := r.route("read")
	reply := &cellpb.ReadReply{}
	if err == nil {
		var page table.Page
		page, err = s.Read(ctx, table.Range{
			Table: req.GetTable(), Partition: req.GetPart(), From: req.GetFrom(), To: req.GetTo(), Limit: int(req.GetLimit()),
		})
		reply.Rows, reply.More, reply.Version = rowsToProto(page.Rows), page.More, page.Version
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}

// Changes implements cellpb.RowsServer.
func (r *rowServer) Changes(ctx context.Context, req *cellpb.ChangesRequest) (*cellpb.ChangesReply, error) {
	s, err := r.route("changes")
	reply := &cellpb.ChangesReply{}
	if err == nil {
		var got table.Changes
		got, err = s.Changes(ctx, req.GetTable(), req.GetAfter(), time.Duration(req.GetWaitNanos()))
		reply.Rows, reply.Version = rowsToProto(got.Rows), got.Version
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}
