package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Key identifies a row.
type Key struct {
	Table string
	// Partition names the partition, a group of rows that can change in one transaction.
	Partition string
	Name      string
}

// Row is a row at a version; version 0 means that the row does not exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool
}

// Check is a precondition of a transaction: the row still has the version that the writer read.
type Check struct {
	Key
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	Key
	Value []byte
}

// Tx is a transaction: all writes and removals take effect if all checks hold, else none does.
type Tx struct {
	Checks  []Check
	Writes  []Write
	Removes []Key
}

// Range selects the rows of a partition whose names lie in [From, To); an empty To means no upper bound.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// Page holds rows as of one version.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	Answer
}

// Changes holds the rows of a table that changed up to a version.
type Changes struct {
	Rows    []Row
	Version uint64
	Answer
}

// Answer says when and how the table answered a call.
type Answer struct {
	// TableTime is the table's own steady clock; 0 means that it is not known.
	TableTime time.Duration
	// Via names the host that passed the call on; it is empty for the direct path.
	Via string
}

// Store is a transactional table; its operations are linearizable.
type Store interface {
	// Commit applies tx and returns the new version of the written rows; its errors are *ConflictError, *RefusedError and
	// *UnansweredError.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Read returns one page of a range.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes waits up to wait for changes after a version; *HistoryLostError means that the table no longer keeps them.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ConflictError means that checks did not hold and nothing was written.
type ConflictError struct {
	// Rows holds the current state of the checked rows.
	Rows []Row
}

// Error implements error; it names the first row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "table: the transaction conflicts with another"
	}
	r := e.Rows[0]
	return fmt.Sprintf("table: row %s/%s/%s has version %d", r.Table, r.Partition, r.Name, r.Version)
}

// RefusedError means that the call had no effect: the table refused it, or it was not sent.
type RefusedError struct {
	Op string
	// Status is the one that the table answered with, or 0 if the call was not sent.
	Status int
	// Err says why the call was not sent, if it failed before that.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("table: %s refused: %s", e.Op, e.Reason())
}

// Reason returns why the call was refused.
func (e *RefusedError) Reason() string {
	switch {
	case e.Err == nil:
		return fmt.Sprintf("status %d", e.Status)
	case e.Status == 0:
		return e.Err.Error()
	default:
		return fmt.Sprintf("status %d, %v", e.Status, e.Err)
	}
}

// Permanent reports whether the table would refuse the same transaction again, since it is invalid or too large.
func (e *RefusedError) Permanent() bool {
	return e.Status == http.StatusBadRequest || e.Status == http.StatusRequestEntityTooLarge
}

// UnansweredError means that no answer was received: a write may have taken effect, or may still do so.
type UnansweredError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnansweredError) Error() string { return fmt.Sprintf("table: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause, unless that is the outcome of another call, which says nothing about this one.
func (e *UnansweredError) Unwrap() error {
	var refused *RefusedError
	var conflict *ConflictError
	if errors.As(e.Err, &refused) || errors.As(e.Err, &conflict) {
		return nil
	}
	return e.Err
}

// HistoryLostError means that the table no longer keeps the changes after a version.
type HistoryLostError struct {
	Table string
	After uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("table: the changes of %s after version %d are no longer known", e.Table, e.After)
}

// isUnreachable reports whether err shows that the table does not serve this host.
func isUnreachable(err error) bool {
	var refused *RefusedError
	var unanswered *UnansweredError
	return errors.As(err, &refused) || errors.As(err, &unanswered)
}

// ReadAll reads all pages of a range; it returns the rows and the version of the first page, from which changes can be followed.
func ReadAll(ctx context.Context, s Store, r Range) ([]Row, uint64, error) {
	var rows []Row
	var version uint64
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
