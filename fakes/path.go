package fakes

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// PathState is the state of a path to a table or to a host.
type PathState int32

// The states of a path.
const (
	// PathUp lets calls through.
	PathUp PathState = iota
	// PathRefused answers at once that the call was not carried out.
	PathRefused
	// PathSilent answers nothing, also to calls in flight.
	PathSilent
	// PathReset breaks the connections of all calls.
	PathReset
)

// Path is a table.Store that passes calls on to another one as its state allows, so that several hosts can have paths of their own to one table.
type Path struct {
	Store table.Store
	state atomic.Int32
}

// Set sets the state.
func (p *Path) Set(s PathState) { p.state.Store(int32(s)) }

// Commit implements table.Store.
func (p *Path) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	return overPath(ctx, p, "commit", func() (uint64, error) { return p.Store.Commit(ctx, tx) })
}

// Read implements table.Store.
func (p *Path) Read(ctx context.Context, r table.Range) (table.Page, error) {
	return overPath(ctx, p, "read", func() (table.Page, error) { return p.Store.Read(ctx, r) })
}

// Changes implements table.Store; an answer that exceeds the limit of ctx is not read.
func (p *Path) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	return overPath(ctx, p, "changes", func() (table.Changes, error) {
		changes, err := p.Store.Changes(ctx, name, after, wait)
		size := 0
		for _, row := range changes.Rows {
			size += len(row.Value)
		}
		if take := table.AnswerLimit(ctx); take != nil && !take(size) {
			return table.Changes{}, &table.UnansweredError{Op: "changes", Err: &table.AnswerLimitError{Bytes: size}}
		}
		return changes, err
	})
}

var errReset = errors.New("connection reset")

func overPath[T any](ctx context.Context, p *Path, op string, call func() (T, error)) (T, error) {
	var none T
	if PathState(p.state.Load()) == PathRefused {
		return none, &table.RefusedError{Op: op, Status: 429}
	}
	if err := p.broken(ctx, op); err != nil {
		return none, err
	}
	got, err := call()
	if broken := p.broken(ctx, op); broken != nil {
		return none, broken
	}
	return got, err
}

// broken returns the error of a call that gets no answer, once it is known.
func (p *Path) broken(ctx context.Context, op string) error {
	switch PathState(p.state.Load()) {
	case PathSilent:
		<-ctx.Done()
		return &table.UnansweredError{Op: op, Err: ctx.Err()}
	case PathReset:
		return &table.UnansweredError{Op: op, Err: errReset}
	default:
		return nil
	}
}
