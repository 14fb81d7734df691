package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
)

const (
	batchWindow = 3 * time.Millisecond
	batchMost   = 64
	batchRetry  = 100 * time.Millisecond
	batchQueue  = 4096
	// batchLanes is how many commits of one batcher may be under way at once.
	batchLanes = 4
)

// Op is an independent change of a few rows; its values must differ from those of every other writer.
type Op struct {
	Checks []Check
	Writes []Write
}

// Committer applies transactions.
type Committer interface {
	Commit(ctx context.Context, tx Tx) (uint64, error)
}

// Batcher puts independent changes that arrive within a few milliseconds into one transaction.
type Batcher struct {
	table Committer
	queue chan *pending
	// carried holds changes of rows that the batch before them changes too.
	carried []*pending
}

type pending struct {
	ctx  context.Context
	op   Op
	done chan batchResult
	// sent marks a change whose commit may have taken effect without an answer.
	sent bool
}

type batchResult struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher that works while Run does.
func NewBatcher(table Committer) *Batcher {
	return &Batcher{table: table, queue: make(chan *pending, batchQueue)}
}

// Do applies a change; a ConflictError means that it did not happen, or was overwritten where it says so, an
// UnavailableError that it may have happened or may yet.
func (b *Batcher) Do(ctx context.Context, op Op) (uint64, error) {
	p := &pending{ctx: ctx, op: op, done: make(chan batchResult, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return 0, &UnavailableError{Op: "commit", Err: ctx.Err()}
	}
	select {
	case result := <-p.done:
		return result.version, result.err
	case <-ctx.Done():
		return 0, &UnavailableError{Op: "commit", Err: ctx.Err()}
	}
}

// Run commits batches until ctx is done.
func (b *Batcher) Run(ctx context.Context) error {
	lanes := make(chan struct{}, batchLanes)
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return nil
		}
		select {
		case lanes <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		go func() {
			defer func() { <-lanes }()
			b.commit(ctx, batch)
		}()
	}
}

func (b *Batcher) collect(ctx context.Context) []*pending {
	batch, keys := b.takeCarried()
	if len(batch) == 0 {
		select {
		case p := <-b.queue:
			batch = b.add(batch, keys, p)
		case <-ctx.Done():
			return nil
		}
	}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < batchMost {
		select {
		case p := <-b.queue:
			batch = b.add(batch, keys, p)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return nil
		}
	}
	return batch
}

func (b *Batcher) takeCarried() ([]*pending, map[string]bool) {
	carried := b.carried
	b.carried = nil
	var batch []*pending
	keys := map[string]bool{}
	for _, p := range carried {
		batch = b.add(batch, keys, p)
	}
	return batch, keys
}

// add puts a change into the batch, or carries it to the next one if a row would be changed twice.
func (b *Batcher) add(batch []*pending, keys map[string]bool, p *pending) []*pending {
	for _, write := range p.op.Writes {
		if keys[write.Key] {
			b.carried = append(b.carried, p)
			return batch
		}
	}
	for _, write := range p.op.Writes {
		keys[write.Key] = true
	}
	return append(batch, p)
}

func (b *Batcher) commit(ctx context.Context, batch []*pending) {
	for len(batch) > 0 && ctx.Err() == nil {
		batch = unexpired(batch)
		if len(batch) == 0 {
			return
		}
		batch = b.commitOnce(ctx, batch)
	}
	for _, p := range batch {
		p.done <- batchResult{err: &UnavailableError{Op: "commit", Err: context.Canceled}}
	}
}

func unexpired(batch []*pending) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// commitOnce tries one transaction and returns what has to be tried again.
func (b *Batcher) commitOnce(ctx context.Context, batch []*pending) []*pending {
	version, err := b.table.Commit(ctx, join(batch))
	var conflict *ConflictError
	switch {
	case err == nil:
		for _, p := range batch {
			p.done <- batchResult{version: version}
		}
		return nil
	case errors.As(err, &conflict):
		return settleConflicts(batch, conflict.Rows)
	}
	for _, p := range batch {
		p.sent = true
	}
	clock.Pause(ctx, batchRetry)
	return batch
}

func join(batch []*pending) Tx {
	var tx Tx
	for _, p := range batch {
		tx.Checks = append(tx.Checks, p.op.Checks...)
		tx.Writes = append(tx.Writes, p.op.Writes...)
	}
	return tx
}

// settleConflicts answers the changes that conflict and returns the others.
func settleConflicts(batch []*pending, rows []Row) []*pending {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var rest []*pending
	for _, p := range batch {
		mine := conflictsOf(p.op, byKey)
		switch {
		case len(mine) == 0:
			rest = append(rest, p)
		case p.sent && appliedBefore(p.op, mine):
			p.done <- batchResult{version: mine[0].Version}
		default:
			p.done <- batchResult{err: &ConflictError{Rows: mine, Overwritten: p.sent}}
		}
	}
	if len(rest) == len(batch) {
		// The platform named rows that nobody checked; without progress nothing can be known.
		for _, p := range batch {
			p.done <- batchResult{err: &UnavailableError{Op: "commit", Err: errors.New("conflict without a row")}}
		}
		return nil
	}
	return rest
}

func conflictsOf(op Op, rows map[string]Row) []Row {
	var mine []Row
	for _, check := range op.Checks {
		if row, ok := rows[check.Key]; ok {
			mine = append(mine, row)
		}
	}
	return mine
}

// appliedBefore reports whether the conflicting rows hold what op writes, as after a commit whose answer was lost.
func appliedBefore(op Op, rows []Row) bool {
	for _, row := range rows {
		applied := false
		for _, write := range op.Writes {
			if write.Key != row.Key {
				continue
			}
			applied = (write.Delete && row.Version == 0) || (!write.Delete && bytes.Equal(write.Value, row.Value))
		}
		if !applied {
			return false
		}
	}
	return true
}
