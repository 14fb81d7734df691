package fakes

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Rows is a table in memory that can be made to fail in the ways of the real one.
type Rows struct {
	// Latency is how long a call takes.
	Latency time.Duration

	mu      sync.Mutex
	version uint64
	rows    map[table.Key]table.Row
	history []table.Row
	// floor is the version up to which the history is forgotten.
	floor  uint64
	change chan struct{}
	// Fail decides what happens to a call, before it takes effect.
	fail func(op string) RowsFault
	// Commits counts the transactions that took effect.
	commits int
}

// RowsFault is a fault of one call.
type RowsFault int

// The faults of a call to the table.
const (
	// RowsOK serves the call.
	RowsOK RowsFault = iota
	// RowsRefuse does nothing and says so.
	RowsRefuse
	// RowsSilent does nothing and never answers.
	RowsSilent
	// RowsLost does the work and loses the answer.
	RowsLost
)

// NewRows returns an empty table.
func NewRows() *Rows {
	return &Rows{rows: map[table.Key]table.Row{}, change: make(chan struct{}), fail: func(string) RowsFault { return RowsOK }}
}

// Fail makes f decide what happens to calls; a nil f serves all.
func (r *Rows) Fail(f func(op string) RowsFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == nil {
		f = func(string) RowsFault { return RowsOK }
	}
	r.fail = f
}

// Forget drops the history of changes.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history, r.floor = nil, r.version
}

// Commits returns how many transactions took effect.
func (r *Rows) Commits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commits
}

// Get returns a row as it is.
func (r *Rows) Get(key table.Key) (table.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[key]
	return row, ok
}

var errCut = errors.New("connection cut")

func (r *Rows) before(ctx context.Context, op string) (RowsFault, error) {
	if r.Latency > 0 {
		select {
		case <-ctx.Done():
			return RowsSilent, &table.UnansweredError{Op: op, Err: ctx.Err()}
		case <-time.After(r.Latency):
		}
	}
	r.mu.Lock()
	fault := r.fail(op)
	r.mu.Unlock()
	switch fault {
	case RowsRefuse:
		return fault, &table.RefusedError{Op: op, Status: 503}
	case RowsSilent:
		<-ctx.Done()
		return fault, &table.UnansweredError{Op: op, Err: ctx.Err()}
	default:
		return fault, nil
	}
}

// Commit implements table.Store.
func (r *Rows) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	const op = "commit"
	fault, err := r.before(ctx, op)
	if err != nil {
		return 0, err
	}
	version, err := r.commit(tx)
	if fault == RowsLost {
		return 0, &table.UnansweredError{Op: op, Err: errCut}
	}
	return version, err
}

func (r *Rows) commit(tx table.Tx) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conflict := false
	now := make([]table.Row, len(tx.Checks))
	for i, c := range tx.Checks {
		row := r.rows[c.Key]
		row.Key = c.Key
		now[i] = row
		conflict = conflict || row.Version != c.Version
	}
	if conflict {
		return 0, &table.ConflictError{Rows: now}
	}
	r.version++
	r.commits++
	for _, w := range tx.Writes {
		row := table.Row{Key: w.Key, Value: w.Value, Version: r.version}
		r.rows[w.Key] = row
		r.history = append(r.history, row)
	}
	for _, k := range tx.Removes {
		delete(r.rows, k)
		r.history = append(r.history, table.Row{Key: k, Version: r.version, Deleted: true})
	}
	close(r.change)
	r.change = make(chan struct{})
	return r.version, nil
}

// Read implements table.Store.
func (r *Rows) Read(ctx context.Context, q table.Range) (table.Page, error) {
	if _, err := r.before(ctx, "read"); err != nil {
		return table.Page{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	page := table.Page{Version: r.version}
	for k, row := range r.rows {
		if k.Table == q.Table && k.Part == q.Part && k.Name >= q.From && (q.To == "" || k.Name < q.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Name < page.Rows[j].Name })
	if q.Limit > 0 && len(page.Rows) > q.Limit {
		page.Rows, page.More = page.Rows[:q.Limit], true
	}
	return page, nil
}

// Changes implements table.Store.
func (r *Rows) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	if _, err := r.before(ctx, "changes"); err != nil {
		return table.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		got, change, err := r.since(name, after)
		if err != nil || len(got.Rows) > 0 {
			return got, err
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, &table.UnansweredError{Op: "changes", Err: ctx.Err()}
		case <-timer.C:
			return got, nil
		case <-change:
		}
	}
}

func (r *Rows) since(name string, after uint64) (table.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.floor {
		return table.Changes{}, nil, &table.HistoryLostError{Table: name, After: after}
	}
	got := table.Changes{Version: r.version}
	for _, row := range r.history {
		if row.Table == name && row.Version > after {
			got.Rows = append(got.Rows, row)
		}
	}
	return got, r.change, nil
}
