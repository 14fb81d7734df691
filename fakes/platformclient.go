package fakes

import (
	"context"
	"errors"
	"sync"

	"github.com/corianderdrift/corianderdrift/store"
)

// Fault is the fault that a Link injects into a call.
type Fault int

// The faults of a call.
const (
	// Works injects no fault.
	Works Fault = iota
	// Down fails the call before it takes effect.
	Down
	// Mute lets the call take effect and loses the reply.
	Mute
)

// Link is one host's client of a Platform in the same process, for tests of single packages. It has no rate limit.
type Link struct {
	platform *Platform

	mu        sync.Mutex
	nextFault func() Fault
	numReads  int
}

var errUnreachable = errors.New("platform unreachable")

// Link returns a new client of the platform.
func (p *Platform) Link() *Link { return &Link{platform: p, nextFault: func() Fault { return Works }} }

// Fail injects the given fault into every later call.
func (c *Link) Fail(fault Fault) { c.FailBy(func() Fault { return fault }) }

// FailBy calls nextFault for the fault of every later call.
func (c *Link) FailBy(nextFault func() Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextFault = nextFault
}

// Reads returns the number of reads that were attempted without a fault.
func (c *Link) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.numReads
}

func (c *Link) callFault(op string) (Fault, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := c.nextFault()
	if fault == Works {
		return fault, nil
	}
	return fault, &store.UnavailableError{Op: op, Err: errUnreachable}
}

// Do commits an operation as one transaction.
func (c *Link) Do(_ context.Context, op store.Op) (uint64, error) {
	fault, err := c.callFault("commit")
	if fault == Down {
		return 0, err
	}
	reply, _ := c.platform.commit(store.Tx(op))
	if err != nil {
		return 0, err
	}
	if len(reply.Conflicts) > 0 {
		return 0, &store.ConflictError{Rows: reply.Conflicts}
	}
	return reply.Version, nil
}

// Read answers a query.
func (c *Link) Read(_ context.Context, q store.Query) ([]store.Row, error) {
	if _, err := c.callFault("read"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.numReads++
	c.mu.Unlock()
	return c.platform.query(q).Rows, nil
}

// Get reads one row; a row that does not exist has version 0.
func (c *Link) Get(ctx context.Context, key string) (store.Row, error) {
	rows, err := c.Read(ctx, store.Query{Keys: []string{key}})
	if err != nil || len(rows) == 0 {
		return store.Row{Key: key}, err
	}
	return rows[0], nil
}

// PutObject stores an object.
func (c *Link) PutObject(_ context.Context, key string, value []byte) error {
	fault, err := c.callFault("put")
	if fault != Down {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		c.platform.objects[key] = value
	}
	return err
}

// GetObject reads an object.
func (c *Link) GetObject(_ context.Context, key string) ([]byte, error) {
	if _, err := c.callFault("get"); err != nil {
		return nil, err
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	return c.platform.objects[key], nil
}
