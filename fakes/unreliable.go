package fakes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/store"
)

// maxAnswerDelay is the longest time after which a call of an UnreliableClient fails, like a call that times out.
const maxAnswerDelay = 2 * time.Second

// UnreliableClient is a client of a Platform of whose calls a part is lost, before or after they take effect, and of whose commits a part
// takes effect late.
type UnreliableClient struct {
	*PlatformClient
	maxDelay time.Duration

	mu       sync.Mutex
	rng      *rand.Rand
	reliable bool
}

// NewUnreliableClient returns a client whose late commits take effect within maxDelay.
func (p *Platform) NewUnreliableClient(seed uint64, maxDelay time.Duration) *UnreliableClient {
	return &UnreliableClient{PlatformClient: p.NewClient(), maxDelay: maxDelay, rng: rand.New(rand.NewPCG(seed, 0))}
}

// SetReliable makes all later calls succeed.
func (c *UnreliableClient) SetReliable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reliable = true
}

// callFate is what becomes of a call.
type callFate int

const (
	fateAnswered callFate = iota
	fateLost
	fateAnswerLost
	fateLate
)

// draw returns what becomes of the next call, and the delay of a late one.
func (c *UnreliableClient) draw() (callFate, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reliable {
		return fateAnswered, 0
	}
	fates := []callFate{fateAnswered, fateAnswered, fateLost, fateAnswerLost, fateLate}
	return fates[c.rng.IntN(len(fates))], time.Duration(c.rng.Int64N(int64(c.maxDelay)))
}

// Commit applies a transaction.
func (c *UnreliableClient) Commit(ctx context.Context, tx store.Tx) (uint64, error) {
	fate, delay := c.draw()
	switch fate {
	case fateAnswered:
		return c.Do(ctx, store.Op(tx))
	case fateAnswerLost:
		_, _ = c.Do(ctx, store.Op(tx))
	case fateLate:
		time.AfterFunc(delay, func() { _, _ = c.Do(context.WithoutCancel(ctx), store.Op(tx)) })
	default:
	}
	return 0, lostCall(ctx, "commit", delay)
}

// Read answers a query.
func (c *UnreliableClient) Read(ctx context.Context, q store.Query) ([]store.Row, error) {
	if fate, delay := c.draw(); fate != fateAnswered {
		return nil, lostCall(ctx, "read", delay)
	}
	return c.PlatformClient.Read(ctx, q)
}

// PutObject stores an object.
func (c *UnreliableClient) PutObject(ctx context.Context, key string, value []byte) error {
	fate, delay := c.draw()
	if fate == fateLost || fate == fateLate {
		return lostCall(ctx, "put", delay)
	}
	err := c.PlatformClient.PutObject(ctx, key, value)
	if fate == fateAnswerLost {
		return lostCall(ctx, "put", delay)
	}
	return err
}

func lostCall(ctx context.Context, op string, delay time.Duration) error {
	clock.Pause(ctx, min(delay, maxAnswerDelay))
	return &store.UnavailableError{Op: op, Err: errUnreachable}
}
