package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/table"
)

// Timeouts of calls to the table through another host.
const (
	// relayTimeout bounds a commit or a read, so that a host that is partitioned itself soon responds to its callers.
	relayTimeout = 600 * time.Millisecond
)

// tableProbe is a range that can be read at any time.
var tableProbe = table.Range{Table: elect.Table, Partition: hostsPartition, Limit: 1}

// relayStores returns the routes to the table through other hosts.
func (a *Agent) relayStores() []table.Store {
	var stores []table.Store
	for _, h := range a.hosts.relays(time.Now()) {
		stores = append(stores, &relayStore{hosts: a.hosts, host: h.host, tentative: h.tentative, unproven: !h.proven})
	}
	return stores
}

// relayStore is a table.Store that forwards calls to another host.
type relayStore struct {
	hosts *hosts
	host  host
	// tentative says that commits must not be sent, and unproven that a call which may wait must not be either before the host has answered another.
	tentative, unproven bool
}

func (s *relayStore) client() (cellpb.RowsClient, error) { return s.hosts.rows(s.host.Address) }

// rowsClient returns a client of the host at the given address.
func (h *hosts) rowsClient(addr netip.AddrPort) (cellpb.RowsClient, error) {
	conn, err := h.conn(addr)
	if err != nil {
		return nil, err
	}
	return cellpb.NewRowsClient(conn), nil
}

// unanswered returns the error of a call that was sent at the given time. It backs off from the host if that did not respond within the limit: a caller
// that had less time says nothing about it.
func (s *relayStore) unanswered(op string, err error, sentAt time.Time, limit time.Duration) error {
	if code := status.Code(err); time.Since(sentAt) >= limit || (code != codes.DeadlineExceeded && code != codes.Canceled) {
		s.hosts.setSilent(s.host.Name, time.Now())
	}
	return &table.UnansweredError{Op: op, Err: &viaError{s.host.Name, err}}
}

// failure returns the error of a call that the host has answered.
func (s *relayStore) failure(op string, f *cellpb.Failure) error {
	err := failureFromProto(op, f)
	var refused *table.RefusedError
	var unanswered *table.UnansweredError
	switch {
	case errors.As(err, &refused):
		s.hosts.setWithoutTable(s.host.Name, time.Now())
		refused.Err = &viaError{s.host.Name, refused.Err}
	case errors.As(err, &unanswered):
		unanswered.Err = &viaError{s.host.Name, unanswered.Err}
	default:
		s.hosts.setWithTable(s.host.Name, time.Now())
	}
	return err
}

// viaError is the error of a call through another host; err is nil if there is only the status of the answer.
type viaError struct {
	host string
	err  error
}

// Error names the host.
func (e *viaError) Error() string {
	if e.err == nil {
		return "via " + e.host
	}
	return fmt.Sprintf("via %s: %v", e.host, e.err)
}

// Unwrap returns the cause.
func (e *viaError) Unwrap() error { return e.err }

// answer returns how the host answered; nanos is the table's time.
func (s *relayStore) answer(nanos int64) table.Answer {
	return table.Answer{TableTime: time.Duration(nanos), Via: s.host.Name}
}

// Commit implements table.Store.
func (s *relayStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	const op = "commit"
	if s.tentative {
		return 0, &table.RefusedError{Op: op, Err: &viaError{s.host.Name, errMayNotRun}}
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return 0, s.unanswered(op, err, sentAt, relayTimeout)
	}
	reply, err := c.Commit(ctx, txToProto(tx))
	if err != nil {
		return 0, s.unanswered(op, err, sentAt, relayTimeout)
	}
	return reply.GetVersion(), s.failure(op, reply.GetFailure())
}

// Read implements table.Store.
func (s *relayStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	const op = "read"
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := s.client()
	if err != nil {
		return table.Page{}, s.unanswered(op, err, sentAt, relayTimeout)
	}
	reply, err := c.Read(ctx, &cellpb.ReadRequest{Table: r.Table, Part: r.Partition, From: r.From, To: r.To, Limit: int32(r.Limit)})
	if err != nil {
		return table.Page{}, s.unanswered(op, err, sentAt, relayTimeout)
	}
	page := table.Page{
		Rows: rowsFromProto(reply.GetRows()), More: reply.GetMore(), Version: reply.GetVersion(), Answer: s.answer(reply.GetTableNanos()),
	}
	return page, s.failure(op, reply.GetFailure())
}

// Changes implements table.Store; it takes as long as ctx allows, since the changes may have to come over a narrow link.
func (s *relayStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	const op = "changes"
	sentAt := time.Now()
	if s.unproven {
		if _, err := s.Read(ctx, tableProbe); err != nil {
			return table.Changes{}, err
		}
		wait = max(0, wait-time.Since(sentAt).Truncate(time.Millisecond))
		sentAt = time.Now()
	}
	c, err := s.client()
	if err != nil {
		return table.Changes{}, s.unanswered(op, err, sentAt, wait+relayTimeout/2)
	}
	reply, err := c.Changes(ctx, &cellpb.ChangesRequest{Table: name, After: after, WaitNanos: int64(wait)})
	if err != nil {
		return table.Changes{}, s.unanswered(op, err, sentAt, wait+relayTimeout/2)
	}
	err = s.failure(op, reply.GetFailure())
	var lost *table.HistoryLostError
	if errors.As(err, &lost) {
		lost.Table, lost.After = name, after
	}
	return table.Changes{Rows: rowsFromProto(reply.GetRows()), Version: reply.GetVersion(), Answer: s.answer(reply.GetTableNanos())}, err
}

// rowServer forwards other hosts' calls to the table, over this host's direct route only.
type rowServer struct {
	cellpb.UnimplementedRowsServer
	direct *table.Health
	memory relayMemory
}

const (
	// maxPageBytes is the size of the largest answer of the table.
	maxPageBytes = 1 << 20
	// pageCopies is how often a page is in memory until it is handed over: as received, decoded and encoded.
	pageCopies = 4
	// freePageBytes is the size of answers that are covered by what a call is charged.
	freePageBytes = 4 << 10
)

// relayMemory bounds the calls that are passed on at the same time, and what the table's answers to them take until they are handed over.
type relayMemory struct {
	calls, bytes *semaphore.Weighted
	// total is the size of bytes, and rowBytes that of the largest row; 0 means that it is not known.
	total    int64
	rowBytes int
}

func newRelayMemory(sizes guard.Sizes, rowBytes int) relayMemory {
	return relayMemory{
		calls: semaphore.NewWeighted(int64(sizes.RelayCalls)), bytes: semaphore.NewWeighted(sizes.RelayBytes), total: sizes.RelayBytes,
		rowBytes: rowBytes,
	}
}

// cost returns the memory for an answer of the given size.
func (m *relayMemory) cost(bytes int) int64 { return min(int64(bytes)*pageCopies, m.total) }

// begin admits a call, and returns the function that is to be called at its end.
func (m *relayMemory) begin(op string) (func(), error) {
	if !m.calls.TryAcquire(1) {
		return nil, &table.RefusedError{Op: op, Err: errTooManyCalls}
	}
	return func() { m.calls.Release(1) }, nil
}

// reservePage waits for the memory for a page of up to limit rows, and returns the function that returns it.
func (m *relayMemory) reservePage(ctx context.Context, op string, limit int) (func(), error) {
	bytes := maxPageBytes
	if limit > 0 && m.rowBytes > 0 {
		bytes = min(bytes, limit*m.rowBytes)
	}
	n := m.cost(bytes)
	if err := m.bytes.Acquire(ctx, n); err != nil {
		return nil, &table.RefusedError{Op: op, Err: err}
	}
	return func() { m.bytes.Release(n) }, nil
}

// limitAnswer returns a context for a call whose answer comes at any time, and is only read if there is memory for it then. The returned function
// returns that memory.
func (m *relayMemory) limitAnswer(ctx context.Context) (context.Context, func()) {
	taken := int64(0)
	ctx = table.WithAnswerLimit(ctx, func(bytes int) bool {
		if bytes <= freePageBytes {
			return true
		}
		n := m.cost(bytes)
		if !m.bytes.TryAcquire(n) {
			return false
		}
		taken += n
		return true
	})
	return ctx, func() { m.bytes.Release(taken) }
}

// Reasons for which calls are not passed on.
var (
	errTooManyCalls = errors.New("too many calls are being passed on")
	errMayNotRun    = errors.New("not sent, since the host may no longer run")
	errNoDirectPath = errors.New("the table doesn't answer this host either")
)

// begin returns the direct route to the table and the function that is to be called at the end of the call, or *table.RefusedError if the table
// is unreachable or too many calls are being passed on.
func (r *rowServer) begin(op string) (table.Store, func(), error) {
	if !r.direct.Reachable(time.Now()) {
		return nil, nil, &table.RefusedError{Op: op, Err: errNoDirectPath}
	}
	end, err := r.memory.begin(op)
	return r.direct, end, err
}

// Commit implements cellpb.RowsServer.
func (r *rowServer) Commit(ctx context.Context, req *cellpb.CommitRequest) (*cellpb.CommitReply, error) {
	s, end, err := r.begin("commit")
	reply := &cellpb.CommitReply{}
	if err == nil {
		defer end()
		reply.Version, err = s.Commit(ctx, txFromProto(req))
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}

// Read implements cellpb.RowsServer.
func (r *rowServer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.ReadReply, error) {
	reply := &cellpb.ReadReply{}
	page, err := r.readPage(ctx, req)
	reply.Rows, reply.More, reply.Version, reply.TableNanos = rowsToProto(page.Rows), page.More, page.Version, int64(page.TableTime)
	reply.Failure = failureToProto(err)
	return reply, nil
}

func (r *rowServer) readPage(ctx context.Context, req *cellpb.ReadRequest) (table.Page, error) {
	const op = "read"
	s, end, err := r.begin(op)
	if err != nil {
		return table.Page{}, err
	}
	defer end()
	release, err := r.memory.reservePage(ctx, op, int(req.GetLimit()))
	if err != nil {
		return table.Page{}, err
	}
	defer release()
	return s.Read(ctx, table.Range{
		Table: req.GetTable(), Partition: req.GetPart(), From: req.GetFrom(), To: req.GetTo(), Limit: int(req.GetLimit()),
	})
}

// Changes implements cellpb.RowsServer. An answer for which there is no memory is refused, so that the caller asks another host.
func (r *rowServer) Changes(ctx context.Context, req *cellpb.ChangesRequest) (*cellpb.ChangesReply, error) {
	s, end, err := r.begin("changes")
	reply := &cellpb.ChangesReply{}
	if err == nil {
		defer end()
		limited, release := r.memory.limitAnswer(ctx)
		defer release()
		var got table.Changes
		got, err = s.Changes(limited, req.GetTable(), req.GetAfter(), time.Duration(req.GetWaitNanos()))
		var noMemory *table.AnswerLimitError
		if errors.As(err, &noMemory) {
			err = &table.RefusedError{Op: "changes", Err: noMemory}
		}
		reply.Rows, reply.Version, reply.TableNanos = rowsToProto(got.Rows), got.Version, int64(got.TableTime)
	}
	reply.Failure = failureToProto(err)
	return reply, nil
}
