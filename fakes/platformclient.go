package fakes

import (
	"context"
	"errors"
	"sync"

	"github.com/corianderdrift/corianderdrift/store"
)

// PlatformFault is the fault that a PlatformClient injects into a call.
type PlatformFault int

// The faults of a call.
const (
	// PlatformOK injects no fault.
	PlatformOK PlatformFault = iota
	// PlatformDown fails the call before it takes effect.
	PlatformDown
	// PlatformReplyLost lets the call take effect and loses the reply.
	PlatformReplyLost
)

// PlatformClient is one host's client of a Platform in the same process, for tests of single packages. It has no rate limit.
type PlatformClient struct {
	platform *Platform

	mu        sync.Mutex
	nextFault func() PlatformFault
	numReads  int
}

var errUnreachable = errors.New("platform unreachable")

// NewClient returns a new client of the platform.
func (p *Platform) NewClient() *PlatformClient {
	return &PlatformClient{platform: p, nextFault: func() PlatformFault { return PlatformOK }}
}

// SetFault injects the given fault into every later call.
func (c *PlatformClient) SetFault(fault PlatformFault) {
	c.SetFaultFunc(func() PlatformFault { return fault })
}

// SetFaultFunc sets the function that returns the fault of each later call.
func (c *PlatformClient) SetFaultFunc(nextFault func() PlatformFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextFault = nextFault
}

// NumReads returns the number of table reads that succeeded.
func (c *PlatformClient) NumReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.numReads
}

func (c *PlatformClient) callFault(op string) (PlatformFault, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := c.nextFault()
	if fault == PlatformOK {
		return fault, nil
	}
	return fault, &store.UnavailableError{Op: op, Err: errUnreachable}
}

// Do commits an operation as one transaction.
func (c *PlatformClient) Do(_ context.Context, op store.Op) (uint64, error) {
	fault, err := c.callFault("commit")
	if fault == PlatformDown {
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
func (c *PlatformClient) Read(_ context.Context, q store.Query) ([]store.Row, error) {
	if _, err := c.callFault("read"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.numReads++
	c.mu.Unlock()
	return c.platform.query(q).Rows, nil
}

// Get reads one row; a row that does not exist has version 0.
func (c *PlatformClient) Get(ctx context.Context, key string) (store.Row, error) {
	rows, err := c.Read(ctx, store.Query{Keys: []string{key}})
	if err != nil || len(rows) == 0 {
		return store.Row{Key: key}, err
	}
	return rows[0], nil
}

// PutObject stores an object.
func (c *PlatformClient) PutObject(_ context.Context, key string, value []byte) error {
	fault, err := c.callFault("put")
	if fault != PlatformDown {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		c.platform.objects[key] = value
	}
	return err
}

// GetObject reads an object.
func (c *PlatformClient) GetObject(_ context.Context, key string) ([]byte, error) {
	if _, err := c.callFault("get"); err != nil {
		return nil, err
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	return c.platform.objects[key], nil
}
