package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
)

const (
	batchWindow      = 3 * time.Millisecond
	maxBatchSize     = 64
	batchRetryDelay  = 100 * time.Millisecond
	batchQueueLength = 4096
	// maxConcurrentBatches is how many commits of one batcher may be in flight at once.
	maxConcurrentBatches = 4
)

// Op is an independent change of a few rows. Its values must differ from those of every other writer, because they show after a
// lost answer whether the change took effect.
type Op struct {
	Checks []Check
	Writes []Write
}

// Committer applies transactions.
type Committer interface {
	Commit(ctx context.Context, tx Tx) (uint64, error)
}

// Batcher combines independent changes that arrive within a few milliseconds into one transaction.
type Batcher struct {
	table Committer
	queue chan *pending
	// deferred holds changes that wait for the next batch, because the current one already changes one of their rows.
	deferred []*pending
}

type pending struct {
	ctx  context.Context
	op   Op
	done chan batchResult
	// maybeApplied is set after a commit of the change was not answered and may have taken effect.
	maybeApplied bool
}

type batchResult struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher; its changes are committed while Run runs.
func NewBatcher(table Committer) *Batcher {
	return &Batcher{table: table, queue: make(chan *pending, batchQueueLength)}
}

// Do applies a change. A ConflictError means that the change did not take effect, or, with Overwritten set, that it may have and
// was overwritten since; an UnavailableError means that it may have taken effect or may still do so.
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
	slots := make(chan struct{}, maxConcurrentBatches)
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return nil
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		go func() {
			defer func() { <-slots }()
			b.commit(ctx, batch)
		}()
	}
}

func (b *Batcher) collect(ctx context.Context) []*pending {
	batch, keys := b.takeDeferred()
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
	for len(batch) < maxBatchSize {
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

func (b *Batcher) takeDeferred() ([]*pending, map[string]bool) {
	deferred := b.deferred
	b.deferred = nil
	var batch []*pending
	keys := map[string]bool{}
	for _, p := range deferred {
		batch = b.add(batch, keys, p)
	}
	return batch, keys
}

// add puts a change into the batch, or defers it to the next one if a row would be changed twice.
func (b *Batcher) add(batch []*pending, keys map[string]bool, p *pending) []*pending {
	for _, write := range p.op.Writes {
		if keys[write.Key] {
			b.deferred = append(b.deferred, p)
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
	live := batch[:0]
	for _, p := range batch {
		if p.ctx.Err() == nil {
			live = append(live, p)
		}
	}
	return live
}

// commitOnce tries one transaction and returns the changes that have to be retried.
func (b *Batcher) commitOnce(ctx context.Context, batch []*pending) []*pending {
	version, err := b.table.Commit(ctx, mergeOps(batch))
	var conflict *ConflictError
	switch {
	case err == nil:
		for _, p := range batch {
			p.done <- batchResult{version: version}
		}
		return nil
	case errors.As(err, &conflict):
		return resolveConflicts(batch, conflict.Rows)
	}
	for _, p := range batch {
		p.maybeApplied = true
	}
	clock.Pause(ctx, batchRetryDelay)
	return batch
}

func mergeOps(batch []*pending) Tx {
	var tx Tx
	for _, p := range batch {
		tx.Checks = append(tx.Checks, p.op.Checks...)
		tx.Writes = append(tx.Writes, p.op.Writes...)
	}
	return tx
}

// resolveConflicts answers the changes that conflict and returns the others.
func resolveConflicts(batch []*pending, rows []Row) []*pending {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var remaining []*pending
	for _, p := range batch {
		conflicts := conflictingRows(p.op, byKey)
		switch {
		case len(conflicts) == 0:
			remaining = append(remaining, p)
		case p.maybeApplied && alreadyApplied(p.op, conflicts):
			p.done <- batchResult{version: conflicts[0].Version}
		default:
			p.done <- batchResult{err: &ConflictError{Rows: conflicts, Overwritten: p.maybeApplied}}
		}
	}
	if len(remaining) == len(batch) {
		// The platform reported conflicting rows that no change checked; a retry makes no progress, so the outcome stays unknown.
		for _, p := range batch {
			p.done <- batchResult{err: &UnavailableError{Op: "commit", Err: errors.New("conflict without a row")}}
		}
		return nil
	}
	return remaining
}

func conflictingRows(op Op, rows map[string]Row) []Row {
	var conflicts []Row
	for _, check := range op.Checks {
		if row, ok := rows[check.Key]; ok {
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}

// alreadyApplied reports whether the conflicting rows hold what op writes, as after a commit whose answer was lost.
func alreadyApplied(op Op, rows []Row) bool {
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
