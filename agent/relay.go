package agent

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/table"
)

// Times of calls to the table through another host.
const (
	// relayTime bounds a commit or a read, so that a host that is cut off itself soon tells its callers.
	relayTime = 600 * time.Millisecond
	// relaySlack is added to the wait of a call for changes.
	relaySlack = 500 * time.Millisecond
)

// relayed returns the ways to the table through other hosts, those of this data centre first.
func (a *Agent) relayed() []table.Store {
	var stores []table.Store
	for _, h := range a.hosts.usable(time.Now()) {
		if h.Name != a.settings.Name {
			stores = append(stores, &remoteStore{hosts: a.hosts, host: h})
		}
	}
	return stores
}

// remoteStore reaches the table through another host.
type remoteStore struct {
	hosts *hosts
	host  host
}

func (s *remoteStore) client() (cellpb.RowsClient, error) {
	conn, err := s.hosts.conn(s.host.Address)
	if err != nil {
		return nil, err
	}
	return cellpb.NewRowsClient(conn), nil
}

// silent notes that the host did not answer.
func (s *remoteStore) silent(op string, err error) error {
	s.hosts.shun(s.host.Name, time.Now())
	return &table.UnansweredError{Op: op, Err: err}
}

// Commit implements table.Store.
func (s *remoteStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	const op = "commit"
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return 0, s.silent(op, err)
	}
	reply, err := c.Commit(ctx, txToProto(tx))
	if err != nil {
		return 0, s.silent(op, err)
	}
	return reply.GetVersion(), failureOf(op, reply.GetFailure())
}

// Read implements table.Store.
func (s *remoteStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	const op = "read"
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return table.Page{}, s.silent(op, err)
	}
	reply, err := c.Read(ctx, &cellpb.ReadRequest{Table: r.Table, Part: r.Part, From: r.From, To: r.To, Limit: int32(r.Limit)})
	if err != nil {
		return table.Page{}, s.silent(op, err)
	}
	page := table.Page{Rows: rowsOf(reply.GetRows()), More: reply.GetMore(), Version: reply.GetVersion()}
	return page, failureOf(op, reply.GetFailure())
}

// Changes implements table.Store.
func (s *remoteStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	const op = "changes"
	ctx, cancel := context.WithTimeout(ctx, wait+relaySlack)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return table.Changes{}, s.silent(op, err)
	}
	reply, err := c.Changes(ctx, &cellpb.ChangesRequest{Table: name, After: after, WaitNanos: int64(wait)})
	if err != nil {
		return table.Changes{}, s.silent(op, err)
	}
	err = failureOf(op, reply.GetFailure())
	var lost *table.HistoryLostError
	if errors.As(err, &lost) {
		lost.Table, lost.After = name, after
	}
	return table.Changes{Rows: rowsOf(reply.GetRows()), Version: reply.GetVersion()}, err
}

// rowServer carries calls to the table out for other hosts, over this host's own way only.
type rowServer struct {
	cellpb.UnimplementedRowsServer
	direct *table.Health
}

// way returns the way to the table, or the refusal of a host that has none.
func (r *rowServer) way(op string) (table.Store, error) {
	if !r.direct.Reachable(time.Now()) {
		return nil, &table.RefusedError{Op: op}
	}
	return r.direct, nil
}

// Commit implements cellpb.RowsServer.
func (r *rowServer) Commit(ctx context.Context, req *cellpb.CommitRequest) (*cellpb.CommitReply, error) {
	s, err := r.way("commit")
	reply := &cellpb.CommitReply{}
	if err == nil {
		reply.Version, err = s.Commit(ctx, txOf(req))
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}

// Read implements cellpb.RowsServer.
func (r *rowServer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.ReadReply, error) {
	s, err := r.way("read")
	reply := &cellpb.ReadReply{}
	if err == nil {
		var page table.Page
		page, err = s.Read(ctx, table.Range{
			Table: req.GetTable(), Part: req.GetPart(), From: req.GetFrom(), To: req.GetTo(), Limit: int(req.GetLimit()),
		})
		reply.Rows, reply.More, reply.Version = rowsToProto(page.Rows), page.More, page.Version
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}

// Changes implements cellpb.RowsServer.
func (r *rowServer) Changes(ctx context.Context, req *cellpb.ChangesRequest) (*cellpb.ChangesReply, error) {
	s, err := r.way("changes")
	reply := &cellpb.ChangesReply{}
	if err == nil {
		var got table.Changes
		got, err = s.Changes(ctx, req.GetTable(), req.GetAfter(), time.Duration(req.GetWaitNanos()))
		reply.Rows, reply.Version = rowsToProto(got.Rows), got.Version
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}
