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
	editTries    = 8
	settleWindow = 8 * time.Second
)

// Edit is an operator's change of one document.
type Edit struct {
	// ID makes a repeated edit recognisable.
	ID     string
	Author string
	Key    string
	// Doc is the new document; empty deletes it.
	Doc json.RawMessage
	// Expect is the document's version that the operator saw, 0 for a document that must not exist.
	Expect uint64
	DryRun bool
}

// ConflictError says that somebody else changed the document since the operator read it.
type ConflictError struct {
	Key     string
	Expect  uint64
	Current entry.Document
	Last    Change
}

// Error names the racing change.
func (e *ConflictError) Error() string {
	if e.Last.Version == 0 {
		return fmt.Sprintf("%s has version %d now, not %d", e.Key, e.Current.Version, e.Expect)
	}
	return fmt.Sprintf("%s was changed by %s in version %d at %s",
		e.Key, e.Last.Author, e.Last.Version, e.Last.Time.Format(time.RFC3339))
}

// UncertainError says that the table did not answer and that the edit may or may not have been accepted.
type UncertainError struct {
	ID  string
	Err error
}

// Error names the edit.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Apply carries an edit to the table and puts the new version in force here; it returns the accepted change.
func (k *Keeper) Apply(ctx context.Context, edit Edit) (Change, error) {
	sent := false
	for range editTries {
		base, rows, err := k.readForEdit(ctx, edit.Key)
		if err != nil {
			return Change{}, uncertainIf(sent, edit, err)
		}
		if change, done, err := k.accepted(ctx, edit, base.Version()); err != nil || done {
			return change, uncertainIf(sent && err != nil, edit, err)
		}
		tx, change, err := k.plan(edit, base, rows)
		if err != nil {
			return Change{}, k.explain(ctx, err)
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
		settled, err := k.settle(ctx, edit, change)
		if err != nil || settled {
			return change, err
		}
	}
	return Change{}, fmt.Errorf("edit %s: too many other edits at the same time", edit.ID)
}

func uncertainIf(sent bool, edit Edit, err error) error {
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

// accepted looks for the edit among the versions that came after what the operator saw.
func (k *Keeper) accepted(ctx context.Context, edit Edit, head uint64) (Change, bool, error) {
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

func (k *Keeper) plan(edit Edit, base *entry.Catalogue, rows []store.Row) (store.Tx, Change, error) {
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

// settle finds out whether a commit whose answer was lost took effect.
func (k *Keeper) settle(ctx context.Context, edit Edit, change Change) (bool, error) {
	read := func() (bool, error) {
		rows, err := k.table.Read(ctx, store.Query{Keys: []string{headKey, historyKey(change.Version)}})
		if err != nil {
			return false, err
		}
		for _, row := range rows {
			var written Change
			if row.Key == headKey || json.Unmarshal(row.Value, &written) != nil {
				continue
			}
			return written.EditID == edit.ID, nil
		}
		// The version is still free: a commit that is under way could yet take it, so only the next commit can tell.
		return false, nil
	}
	settled, err := backoff.Retry(ctx, read, backoff.WithMaxElapsedTime(settleWindow))
	if err != nil {
		return false, &UncertainError{ID: edit.ID, Err: err}
	}
	if settled {
		k.Wake()
	}
	return settled, nil
}

func (k *Keeper) explain(ctx context.Context, err error) error {
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

// History returns the accepted changes after version from, up to version to.
func (k *Keeper) History(ctx context.Context, from, to uint64) ([]Change, error) {
	const most = 200
	if to > from+most {
		from = to - most
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
