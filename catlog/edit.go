package catlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/store"
)

const (
	maxEditAttempts    = 8
	commitCheckTimeout = 8 * time.Second
)

// Edit is an operator's change of one document.
type Edit struct {
	// ID identifies the edit, so that a repeated one is not applied twice.
	ID     string
	Author string
	Key    string
	// Doc is the new document; empty deletes it.
	Doc json.RawMessage
	// Expect is the version of the document that the operator read, 0 for a document that must not exist.
	Expect uint64
	DryRun bool
}

// ConflictError means that another edit changed the document after the operator read it.
type ConflictError struct {
	Key     string
	Expect  uint64
	Current entry.Document
	Last    Change
}

// Error implements error; it names the conflicting change.
func (e *ConflictError) Error() string {
	if e.Last.Version == 0 {
		return fmt.Sprintf("%s has version %d now, not %d", e.Key, e.Current.Version, e.Expect)
	}
	return fmt.Sprintf("%s was changed by %s in version %d at %s",
		e.Key, e.Last.Author, e.Last.Version, e.Last.Time.Format(time.RFC3339))
}

// UncertainError means that the table did not answer, and the edit may or may not have been accepted.
type UncertainError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Apply commits an edit to the table, triggers a refresh of this host's catalogue and returns the accepted change.
func (k *Keeper) Apply(ctx context.Context, edit Edit) (Change, error) {
	sent := false
	for range maxEditAttempts {
		base, rows, err := k.readForEdit(ctx, edit.Key)
		if err != nil {
			return Change{}, wrapUncertain(sent, edit, err)
		}
		if change, done, err := k.findAccepted(ctx, edit, base.Version()); err != nil || done {
			return change, wrapUncertain(sent && err != nil, edit, err)
		}
		tx, change, err := k.buildTx(edit, base, rows)
		if err != nil {
			return Change{}, k.addConflictingChange(ctx, err)
		}
		if edit.DryRun {
			return change, nil
		}
		_, err = k.table.Commit(ctx, tx)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			k.Wake()
			return change, nil
		case errors.As(err, &conflict):
			continue
		}
		sent = true
		committed, err := k.checkCommitted(ctx, edit, change)
		if err != nil || committed {
			return change, err
		}
	}
	return Change{}, wrapUncertain(sent, edit, fmt.Errorf("edit %s was not accepted in %d attempts", edit.ID, maxEditAttempts))
}

func wrapUncertain(sent bool, edit Edit, err error) error {
	if !sent || err == nil {
		return err
	}
	return &UncertainError{ID: edit.ID, Err: err}
}

func (k *Keeper) readForEdit(ctx context.Context, _ string) (*entry.Catalogue, []store.Row, error) {
	rows, err := k.table.Read(ctx, store.Query{Keys: []string{headKey}, Prefixes: []string{docPrefix}})
	if err != nil {
		return nil, nil, err
	}
	c, err := catalogueOf(rows)
	return c, rows, err
}

// findAccepted looks for the edit among the versions after the one that the operator read.
func (k *Keeper) findAccepted(ctx context.Context, edit Edit, head uint64) (Change, bool, error) {
	history, err := k.History(ctx, edit.Expect, head)
	if err != nil {
		return Change{}, false, err
	}
	for _, change := range history {
		if change.EditID == edit.ID {
			return change, true, nil
		}
	}
	return Change{}, false, nil
}

func (k *Keeper) buildTx(edit Edit, base *entry.Catalogue, rows []store.Row) (store.Tx, Change, error) {
	stored, _ := base.Document(edit.Key)
	if stored.Version != edit.Expect {
		return store.Tx{}, Change{}, &ConflictError{Key: edit.Key, Expect: edit.Expect, Current: stored}
	}
	doc := edit.Doc
	if len(doc) > 0 {
		merged, err := entry.Merge(stored.Raw, doc)
		if err != nil {
			return store.Tx{}, Change{}, err
		}
		doc = merged
	} else {
		doc = nil
	}
	if err := base.CheckEdit(edit.Key, doc); err != nil {
		return store.Tx{}, Change{}, err
	}
	change := Change{
		Version: base.Version() + 1, EditID: edit.ID, Author: edit.Author, Time: time.Now().UTC(),
		Key: edit.Key, Before: stored.Raw, After: doc,
	}
	tx, err := transaction(change, rows)
	return tx, change, err
}

func transaction(change Change, rows []store.Row) (store.Tx, error) {
	head, err := json.Marshal(Head{Version: change.Version, EditID: change.EditID})
	if err != nil {
		return store.Tx{}, err
	}
	history, err := json.Marshal(change)
	if err != nil {
		return store.Tx{}, err
	}
	docWrite := store.Write{Key: docPrefix + change.Key, Delete: change.After == nil}
	if change.After != nil {
		docWrite.Value, err = json.Marshal(storedDoc{Version: change.Version, Doc: change.After})
		if err != nil {
			return store.Tx{}, err
		}
	}
	check := store.Check{Key: headKey}
	for _, row := range rows {
		if row.Key == headKey {
			check.Version = row.Version
		}
	}
	return store.Tx{
		Checks: []store.Check{check},
		Writes: []store.Write{
			{Key: headKey, Value: head},
			docWrite,
			{Key: historyKey(change.Version), Value: history},
		},
	}, nil
}

// checkCommitted reports whether a commit whose answer was lost took effect.
func (k *Keeper) checkCommitted(ctx context.Context, edit Edit, change Change) (bool, error) {
	read := func() (bool, error) {
		rows, err := k.table.Read(ctx, store.Query{Keys: []string{headKey, historyKey(change.Version)}})
		if err != nil {
			return false, err
		}
		for _, row := range rows {
			var stored Change
			if row.Key == headKey || json.Unmarshal(row.Value, &stored) != nil {
				continue
			}
			return stored.EditID == edit.ID, nil
		}
		// No edit has this version yet. The unanswered commit may still take effect, so only the next commit shows the outcome.
		return false, nil
	}
	committed, err := backoff.Retry(ctx, read, backoff.WithMaxElapsedTime(commitCheckTimeout))
	if err != nil {
		return false, &UncertainError{ID: edit.ID, Err: err}
	}
	if committed {
		k.Wake()
	}
	return committed, nil
}

func (k *Keeper) addConflictingChange(ctx context.Context, err error) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Version == 0 {
		return err
	}
	changes, readErr := k.History(ctx, conflict.Current.Version-1, conflict.Current.Version)
	if readErr == nil && len(changes) == 1 {
		conflict.Last = changes[0]
	}
	return conflict
}

// History returns the accepted changes after version from, up to version to, but at most the last 200 of them.
func (k *Keeper) History(ctx context.Context, from, to uint64) ([]Change, error) {
	const maxChanges = 200
	if to > from+maxChanges {
		from = to - maxChanges
	}
	var keys []string
	for version := from + 1; version <= to; version++ {
		keys = append(keys, historyKey(version))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := k.table.Read(ctx, store.Query{Keys: keys})
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}
