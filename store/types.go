package store

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// Row is a row of the table; version 0 means that the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is a precondition of a transaction: the row still has the version that the writer read.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Tx is a transaction: all writes take effect if all checks hold, else none does.
type Tx struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// TxReply holds the new version of the written rows, or the rows whose checks failed.
type TxReply struct {
	Version   uint64 `json:"version"`
	Conflicts []Row  `json:"conflicts,omitempty"`
}

// Query selects rows by key and by key prefix for one consistent read.
type Query struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
}

// QueryReply holds the rows that exist.
type QueryReply struct {
	Rows []Row `json:"rows"`
}

// Host is one item of the platform's list of hosts, which lags behind their actual state.
type Host struct {
	Name       string         `json:"name"`
	Kind       HostKind       `json:"kind"`
	Address    netip.AddrPort `json:"address"`
	DataCenter string         `json:"data-center"`
	Region     string         `json:"region,omitempty"`
	Rack       string         `json:"rack,omitempty"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// HostKind distinguishes entry hosts from workers.
type HostKind string

// The kinds of hosts.
const (
	KindEntry  HostKind = "entry"
	KindWorker HostKind = "worker"
)

// ConflictError means that a transaction's checks did not hold and nothing was written.
type ConflictError struct {
	Rows []Row
	// Overwritten means that an earlier attempt of the same change may have taken effect, and other writers changed the rows since.
	Overwritten bool
}

// Error implements error; it names the first conflicting row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "the transaction conflicts with another"
	}
	return fmt.Sprintf("row %s has version %d now", e.Rows[0].Key, e.Rows[0].Version)
}

// UnavailableError means that the platform did not answer; a write may have taken effect nevertheless.
type UnavailableError struct {
	Op     string
	Status int
	Err    error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("platform: %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("platform: %s: status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotFoundError means that an object does not exist.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s does not exist", e.Key) }
