package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/table"
)

// tableEndpoints is the table with a row for each endpoint of a queue.
const tableEndpoints = "endpoints"

// maxEndpointName limits the name of an endpoint's row; the platform allows 200 bytes.
const maxEndpointName = 180

// endpoint is the durable record of an endpoint: the queues and services that it has had, the oldest first.
type endpoint struct {
	Owners  []graph.Owner `json:"owners"`
	version uint64
	// queue is the queue for which the record was last read.
	queue graph.Owner
}

// home returns the service in whose table all jobs of the endpoint have a row, whichever service runs them: one place settles what a job's ID
// refers to, for hosts with different versions of the configuration too.
func (e *endpoint) home() string { return e.Owners[0].Service }

func (e *endpoint) has(o graph.Owner) bool { return slices.Contains(e.Owners, o) }

// endpoints caches the records of endpoints.
type endpoints struct {
	mu     sync.Mutex
	byName map[string]endpoint
}

func (c *endpoints) get(name string) (endpoint, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byName[name]
	return e, ok
}

func (c *endpoints) put(name string, e endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]endpoint{}
	}
	if e.version >= c.byName[name].version {
		c.byName[name] = e
	}
}

func owner(q *queues.Queue) graph.Owner { return graph.Owner{Queue: q.Name, Service: q.Service} }

func endpointKey(q *queues.Queue) table.Key {
	name := q.Endpoint()
	if len(name) > maxEndpointName {
		name = strconv.FormatUint(xxhash.Sum64String(name), 16)
	}
	return table.Key{Table: tableEndpoints, Name: name}
}

// endpoint returns the record of a queue's endpoint; one that has no record yet has had this queue only.
func (i *Intake) endpoint(ctx context.Context, q *queues.Queue) (endpoint, error) {
	if e, ok := i.endpoints.get(endpointKey(q).Name); ok && e.queue == owner(q) {
		return e, nil
	}
	return i.readEndpoint(ctx, q)
}

func (i *Intake) readEndpoint(ctx context.Context, q *queues.Queue) (endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	key := endpointKey(q)
	page, err := i.Store.Read(ctx, table.Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00", Limit: 1})
	if err != nil {
		return endpoint{}, i.unreachableError(err)
	}
	e := endpoint{queue: owner(q)}
	for _, row := range page.Rows {
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return endpoint{}, fmt.Errorf("record of endpoint %s: %w", key.Name, err)
		}
		e.version = row.Version
	}
	if len(e.Owners) == 0 {
		e.Owners = []graph.Owner{e.queue}
		return e, nil
	}
	i.endpoints.put(key.Name, e)
	return e, nil
}

// registerEndpoint returns the record of a queue's endpoint once it names the queue, so that no other host takes another service for its home.
func (i *Intake) registerEndpoint(ctx context.Context, q *queues.Queue) (endpoint, error) {
	for {
		e, err := i.endpoint(ctx, q)
		if err != nil {
			return endpoint{}, err
		}
		if e.version > 0 && e.has(owner(q)) {
			return e, nil
		}
		if !e.has(owner(q)) {
			e.Owners = append(slices.Clone(e.Owners), owner(q))
		}
		raw, err := json.Marshal(e)
		if err != nil {
			return endpoint{}, err
		}
		key := endpointKey(q)
		call, cancel := context.WithTimeout(ctx, i.Health.Timeout(writeTimeout, time.Now()))
		e.version, err = i.Store.Commit(call, table.Tx{
			Checks: []table.Check{{Key: key, Version: e.version}}, Writes: []table.Write{{Key: key, Value: raw}},
		})
		cancel()
		if err == nil {
			i.endpoints.put(key.Name, e)
			return e, nil
		}
		var conflict *table.ConflictError
		var unanswered *table.UnansweredError
		switch {
		case errors.As(err, &conflict):
		case errors.As(err, &unanswered) && clock.Pause(ctx, retryDelay):
		default:
			return endpoint{}, i.unreachableError(err)
		}
		if _, err := i.readEndpoint(ctx, q); err != nil {
			return endpoint{}, err
		}
	}
}
