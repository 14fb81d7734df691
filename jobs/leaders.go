package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/store"
)

// Timing of the shard leases.
const (
	leaderLeaseTTL      = 6 * time.Second
	leaderLeaseMargin   = time.Second
	leaderRenewInterval = 2 * time.Second
	leaderPollInterval  = time.Second
	// releaseRetryPause is the pause between two attempts to release the leases.
	releaseRetryPause = 50 * time.Millisecond
	leasePrefix       = "lease/job/"
)

// leaseRow is the row of a shard's lease in the table.
type leaseRow struct {
	Holder    string `json:"holder"`
	Epoch     uint64 `json:"epoch"`
	RenewalID string `json:"beat"`
}

// Leaders elects the leader of each shard through leases in the table.
type Leaders struct {
	self   string
	table  Table
	writer Writer
	hosts  func() []string
	// sinceBoot returns the time since the machine booted, including the time it was suspended.
	sinceBoot func() time.Duration
	log       logrus.FieldLogger

	mu        sync.Mutex
	shards    [Shards]shardLease
	releasing bool
}

// shardLease is a shard's lease as last seen by this host.
type shardLease struct {
	row     leaseRow
	version uint64
	// changedAt is when this host first saw the version.
	changedAt time.Time
	// leaderUntil is when this host's leadership ends unless it renews the lease, on the boot clock.
	leaderUntil time.Duration
}

// NewLeaders returns the leader election as seen by the host self; hosts returns the hosts that may become leaders, and sinceBoot the time since
// the machine booted, including the time it was suspended.
func NewLeaders(
	self string, table Table, writer Writer, hosts func() []string, sinceBoot func() time.Duration, log logrus.FieldLogger,
) *Leaders {
	return &Leaders{self: self, table: table, writer: writer, hosts: hosts, sinceBoot: sinceBoot, log: log}
}

// IsLeader reports whether this host leads a shard now.
func (l *Leaders) IsLeader(shard int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sinceBoot() < l.shards[shard].leaderUntil
}

// tenure returns the epoch in which this host leads a shard now, and for how long it does unless it renews the lease: 0 if it doesn't.
func (l *Leaders) tenure(shard int) (epoch uint64, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := &l.shards[shard]
	return lease.row.Epoch, max(0, lease.leaderUntil-l.sinceBoot())
}

// Leader returns the host that was last seen as the leader of a shard.
func (l *Leaders) Leader(shard int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shards[shard].row.Holder
}

// Count returns the number of shards that this host leads.
func (l *Leaders) Count() int {
	count := 0
	for shard := range Shards {
		if l.IsLeader(shard) {
			count++
		}
	}
	return count
}

// Run acquires, renews and hands over leases until ctx is done.
func (l *Leaders) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		l.poll(ctx)
		l.updateLeases(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *Leaders) poll(ctx context.Context) {
	rows, err := l.table.Read(ctx, store.Query{Prefixes: []string{leasePrefix}})
	if err != nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		var shard int
		if _, err := fmt.Sscanf(strings.TrimPrefix(row.Key, leasePrefix), "%d", &shard); err != nil || shard >= Shards {
			continue
		}
		lease := &l.shards[shard]
		if lease.version == row.Version {
			continue
		}
		var found leaseRow
		if err := json.Unmarshal(row.Value, &found); err != nil {
			continue
		}
		lease.row, lease.version, lease.changedAt = found, row.Version, now
		if found.Holder != l.self {
			lease.leaderUntil = 0
		}
	}
}

func (l *Leaders) updateLeases(ctx context.Context) {
	hosts := l.hosts()
	var wg sync.WaitGroup
	for shard := range Shards {
		key := fmt.Sprintf("%s%02d", leasePrefix, shard)
		preferred := peers.Preferred(key, hosts) == l.self
		if op, row, ok := l.nextWrite(shard, preferred, key); ok {
			wg.Go(func() { l.writeLease(ctx, shard, op, row) })
		}
	}
	wg.Wait()
}

// nextWrite returns the write that this host should make to a shard's lease now, if any.
func (l *Leaders) nextWrite(shard int, preferred bool, key string) (store.Op, leaseRow, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	lease := l.shards[shard]
	remaining := lease.leaderUntil - l.sinceBoot()
	isLeader := remaining > 0
	available := lease.row.Holder == "" || now.Sub(lease.changedAt) > leaderLeaseTTL+leaderLeaseMargin
	row := lease.row
	preferred = preferred && !l.releasing
	switch {
	case lease.row.Holder == l.self && !preferred:
		row.Holder = ""
		l.shards[shard].leaderUntil = 0
	case isLeader && remaining > leaderLeaseTTL-leaderRenewInterval:
		return store.Op{}, row, false
	case isLeader:
	case preferred && (available || (lease.row.Holder == l.self && lease.version > 0)):
		row = leaseRow{Holder: l.self, Epoch: lease.row.Epoch + 1}
	default:
		return store.Op{}, row, false
	}
	row.RenewalID = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return store.Op{}, row, false
	}
	return store.Op{
		Checks: []store.Check{{Key: key, Version: lease.version}},
		Writes: []store.Write{{Key: key, Value: value}},
	}, row, true
}

func (l *Leaders) writeLease(ctx context.Context, shard int, op store.Op, row leaseRow) {
	ctx, cancel := context.WithTimeout(ctx, leaderRenewInterval)
	defer cancel()
	sentAt := l.sinceBoot()
	version, err := l.writer.Do(ctx, op)
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := &l.shards[shard]
	var conflict *store.ConflictError
	switch {
	case err == nil:
		wasLeader := lease.row.Holder == l.self
		lease.row, lease.version, lease.changedAt = row, version, time.Now()
		if row.Holder == l.self {
			lease.leaderUntil = sentAt + leaderLeaseTTL
		}
		if row.Holder == l.self && !wasLeader {
			l.log.WithFields(map[string]any{"shard": shard, "epoch": row.Epoch}).Debug("became leader of job shard")
		}
	case errors.As(err, &conflict):
		lease.leaderUntil = 0
	}
}

// Release releases all leases before a planned stop. A renewal in flight may win over a release, so it polls and
// retries until this host holds no lease.
func (l *Leaders) Release(ctx context.Context) {
	l.mu.Lock()
	l.releasing = true
	l.mu.Unlock()
	for {
		l.updateLeases(ctx)
		l.poll(ctx)
		if l.numHeld() == 0 || !clock.Pause(ctx, releaseRetryPause) {
			return
		}
	}
}

// numHeld returns the number of shard leases whose holder is this host, whether or not they have expired.
func (l *Leaders) numHeld() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, lease := range l.shards {
		if lease.row.Holder == l.self {
			count++
		}
	}
	return count
}
