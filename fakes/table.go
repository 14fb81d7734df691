package fakes

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Table is an in-memory table.Store that can inject the faults of the real one.
type Table struct {
	// Latency is how long a call takes.
	Latency time.Duration
	// BareConflicts leaves out the values of the rows that a conflict lists.
	BareConflicts bool
	// RowBytes and CommitBytes limit the value of a row and the values of a commit; 0 means no limit.
	RowBytes, CommitBytes int

	mu      sync.Mutex
	version uint64
	rows    map[table.Key]table.Row
	history []table.Row
	// trimmedVersion is the version up to which the history was dropped.
	trimmedVersion uint64
	changed        chan struct{}
	// faultFor returns the fault of a call; it is called before the call takes effect.
	faultFor func(op string) TableFault
	// numCommits counts the transactions that took effect.
	numCommits int
	// rng decides how late a commit with the fault TableLate takes effect.
	rng *rand.Rand
}

// TableFault is the fault that is injected into a call.
type TableFault int

// The faults of a call to the table.
const (
	// TableOK injects no fault.
	TableOK TableFault = iota
	// TableUnavailable rejects the call with status 503.
	TableUnavailable
	// TableNoReply blocks the call until its context is done; it has no effect.
	TableNoReply
	// TableReplyLost lets a commit take effect and loses the reply; it has no effect on other calls.
	TableReplyLost
	// TableLate lets a commit take effect between lateCommitMin and lateCommitMax later, if its checks hold then, without a reply; it
	// blocks other calls until their context is done.
	TableLate
	// TableNoChanges lets a call for changes see none; it has no effect on other calls.
	TableNoChanges
)

// Delays of commits with the fault TableLate.
const (
	lateCommitMin = time.Second
	lateCommitMax = 6 * time.Second
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[table.Key]table.Row{}, changed: make(chan struct{}), faultFor: func(string) TableFault { return TableOK },
		rng: rand.New(rand.NewPCG(1, 1)),
	}
}

// SetFault sets the function that returns the fault of each call; nil injects none.
func (t *Table) SetFault(faultFor func(op string) TableFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if faultFor == nil {
		faultFor = func(string) TableFault { return TableOK }
	}
	t.faultFor = faultFor
}

// SetLatency sets how long a call takes.
func (t *Table) SetLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Latency = d
}

// DropHistory drops the history of changes, so that Changes after an older version fails.
func (t *Table) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.trimmedVersion = nil, t.version
}

// NumCommits returns the number of transactions that took effect.
func (t *Table) NumCommits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.numCommits
}

// Get returns a row without latency or faults.
func (t *Table) Get(key table.Key) (table.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

var errConnLost = errors.New("connection lost")

func (t *Table) injectFault(ctx context.Context, op string) (TableFault, error) {
	t.mu.Lock()
	latency := t.Latency
	t.mu.Unlock()
	if latency > 0 && !sleep(ctx, latency) {
		return TableNoReply, &table.UnansweredError{Op: op, Err: ctx.Err()}
	}
	t.mu.Lock()
	fault := t.faultFor(op)
	t.mu.Unlock()
	if fault == TableLate && op != opCommit {
		fault = TableNoReply
	}
	switch fault {
	case TableUnavailable:
		return fault, &table.RefusedError{Op: op, Status: 503}
	case TableNoReply:
		<-ctx.Done()
		return fault, &table.UnansweredError{Op: op, Err: ctx.Err()}
	default:
		return fault, nil
	}
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	fault, err := t.injectFault(ctx, opCommit)
	if err != nil {
		return 0, err
	}
	if fault == TableLate {
		time.AfterFunc(t.lateBy(), func() { _, _ = t.commit(tx) })
		<-ctx.Done()
		return 0, &table.UnansweredError{Op: opCommit, Err: ctx.Err()}
	}
	version, err := t.commit(tx)
	if fault == TableReplyLost {
		return 0, &table.UnansweredError{Op: opCommit, Err: errConnLost}
	}
	return version, err
}

const opCommit = "commit"

func (t *Table) lateBy() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lateCommitMin + time.Duration(t.rng.Int64N(int64(lateCommitMax-lateCommitMin)))
}

// Apply applies a transaction without latency or faults.
func (t *Table) Apply(tx table.Tx) (uint64, error) { return t.commit(tx) }

func (t *Table) commit(tx table.Tx) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isTooLarge(tx) {
		return 0, &table.RefusedError{Op: opCommit, Status: http.StatusRequestEntityTooLarge}
	}
	conflict := false
	current := make([]table.Row, len(tx.Checks))
	for i, check := range tx.Checks {
		row := t.rows[check.Key]
		row.Key = check.Key
		if t.BareConflicts {
			row.Value = nil
		}
		current[i] = row
		conflict = conflict || row.Version != check.Version
	}
	if conflict {
		return 0, &table.ConflictError{Rows: current}
	}
	t.version++
	t.numCommits++
	for _, w := range tx.Writes {
		row := table.Row{Key: w.Key, Value: w.Value, Version: t.version}
		t.rows[w.Key] = row
		t.history = append(t.history, row)
	}
	for _, k := range tx.Removes {
		delete(t.rows, k)
		t.history = append(t.history, table.Row{Key: k, Version: t.version, Deleted: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

func (t *Table) isTooLarge(tx table.Tx) bool {
	size := 0
	for _, w := range tx.Writes {
		size += len(w.Value)
		if t.RowBytes > 0 && len(w.Value) > t.RowBytes {
			return true
		}
	}
	return t.CommitBytes > 0 && size > t.CommitBytes
}

// Read implements table.Store.
func (t *Table) Read(ctx context.Context, q table.Range) (table.Page, error) {
	if _, err := t.injectFault(ctx, "read"); err != nil {
		return table.Page{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	page := table.Page{Version: t.version}
	for k, row := range t.rows {
		if k.Table == q.Table && k.Partition == q.Partition && k.Name >= q.From && (q.To == "" || k.Name < q.To) {
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
func (t *Table) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	fault, err := t.injectFault(ctx, "changes")
	if err != nil {
		return table.Changes{}, err
	}
	if fault == TableNoChanges {
		if !sleep(ctx, wait) {
			return table.Changes{}, &table.UnansweredError{Op: "changes", Err: ctx.Err()}
		}
		return table.Changes{Version: after}, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := t.changesSince(name, after)
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

func (t *Table) changesSince(name string, after uint64) (table.Changes, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.trimmedVersion {
		return table.Changes{}, nil, &table.HistoryLostError{Table: name, After: after}
	}
	changes := table.Changes{Version: t.version}
	for _, row := range t.history {
		if row.Table == name && row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, t.changed, nil
}
