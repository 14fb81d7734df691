package fakes

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Rows is an in-memory table.Store that can inject the faults of the real one.
type Rows struct {
	// Latency is how long a call takes.
	Latency time.Duration

	mu      sync.Mutex
	version uint64
	rows    map[table.Key]table.Row
	history []table.Row
	// trimmedVersion is the version up to which the history was dropped.
	trimmedVersion uint64
	changed        chan struct{}
	// faultFor returns the fault of a call; it is called before the call takes effect.
	faultFor func(op string) RowsFault
	// numCommits counts the transactions that took effect.
	numCommits int
}

// RowsFault is the fault that is injected into a call.
type RowsFault int

// The faults of a call to the table.
const (
	// RowsOK injects no fault.
	RowsOK RowsFault = iota
	// RowsRefuse rejects the call with status 503.
	RowsRefuse
	// RowsSilent blocks the call until its context is done; it has no effect.
	RowsSilent
	// RowsLost lets a commit take effect and loses the reply; it has no effect on other calls.
	RowsLost
)

// NewRows returns an empty table.
func NewRows() *Rows {
	return &Rows{
		rows: map[table.Key]table.Row{}, changed: make(chan struct{}), faultFor: func(string) RowsFault { return RowsOK },
	}
}

// Fail sets the function that returns the fault of each call; nil injects none.
func (r *Rows) Fail(faultFor func(op string) RowsFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if faultFor == nil {
		faultFor = func(string) RowsFault { return RowsOK }
	}
	r.faultFor = faultFor
}

// Forget drops the history of changes, so that Changes after an older version fails.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history, r.trimmedVersion = nil, r.version
}

// Commits returns the number of transactions that took effect.
func (r *Rows) Commits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.numCommits
}

// Get returns a row without latency or faults.
func (r *Rows) Get(key table.Key) (table.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[key]
	return row, ok
}

var errConnLost = errors.New("connection lost")

func (r *Rows) injectFault(ctx context.Context, op string) (RowsFault, error) {
	if r.Latency > 0 {
		select {
		case <-ctx.Done():
			return RowsSilent, &table.UnansweredError{Op: op, Err: ctx.Err()}
		case <-time.After(r.Latency):
		}
	}
	r.mu.Lock()
	fault := r.faultFor(op)
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
	fault, err := r.injectFault(ctx, op)
	if err != nil {
		return 0, err
	}
	version, err := r.commit(tx)
	if fault == RowsLost {
		return 0, &table.UnansweredError{Op: op, Err: errConnLost}
	}
	return version, err
}

func (r *Rows) commit(tx table.Tx) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conflict := false
	current := make([]table.Row, len(tx.Checks))
	for i, c := range tx.Checks {
		row := r.rows[c.Key]
		row.Key = c.Key
		current[i] = row
		conflict = conflict || row.Version != c.Version
	}
	if conflict {
		return 0, &table.ConflictError{Rows: current}
	}
	r.version++
	r.numCommits++
	for _, w := range tx.Writes {
		row := table.Row{Key: w.Key, Value: w.Value, Version: r.version}
		r.rows[w.Key] = row
		r.history = append(r.history, row)
	}
	for _, k := range tx.Removes {
		delete(r.rows, k)
		r.history = append(r.history, table.Row{Key: k, Version: r.version, Deleted: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.version, nil
}

// Read implements table.Store.
func (r *Rows) Read(ctx context.Context, q table.Range) (table.Page, error) {
	if _, err := r.injectFault(ctx, "read"); err != nil {
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
	if _, err := r.injectFault(ctx, "changes"); err != nil {
		return table.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := r.changesSince(name, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, &table.UnansweredError{Op: "changes", Err: ctx.Err()}
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

func (r *Rows) changesSince(name string, after uint64) (table.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.trimmedVersion {
		return table.Changes{}, nil, &table.HistoryLostError{Table: name, After: after}
	}
	changes := table.Changes{Version: r.version}
	for _, row := range r.history {
		if row.Table == name && row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, r.changed, nil
}
