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

// Times of the leases of shards.
const (
	homeTTL    = 6 * time.Second
	homeMargin = time.Second
	homeRenew  = 2 * time.Second
	homeLook   = time.Second
	// releasePause lies between two tries to give leases back.
	releasePause = 50 * time.Millisecond
	leasePrefix  = "lease/job/"
)

// homeRow is the lease of a shard in the table.
type homeRow struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Beat   string `json:"beat"`
}

// Homes says which shards this host is home of, by leases in the table.
type Homes struct {
	self   string
	table  Table
	writer Writer
	hosts  func() []string
	log    logrus.FieldLogger

	mu        sync.Mutex
	shards    [Shards]homeView
	releasing bool
}

// homeView is what this host knows of a shard's lease.
type homeView struct {
	row     homeRow
	version uint64
	// changed is when this host first saw the version.
	changed time.Time
	until   time.Time
}

// NewHomes returns the homes as seen by self; hosts names the hosts that may be homes.
func NewHomes(self string, table Table, writer Writer, hosts func() []string, log logrus.FieldLogger) *Homes {
	return &Homes{self: self, table: table, writer: writer, hosts: hosts, log: log}
}

// Mine reports whether this host is the home of a shard now.
func (h *Homes) Mine(shard int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.shards[shard].until)
}

// Home returns the host that was last seen as the home of a shard.
func (h *Homes) Home(shard int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[shard].row.Holder
}

// Count returns the number of shards that this host is home of.
func (h *Homes) Count() int {
	count := 0
	for shard := range Shards {
		if h.Mine(shard) {
			count++
		}
	}
	return count
}

// Run takes, renews and hands over leases until ctx is done.
func (h *Homes) Run(ctx context.Context) error {
	ticker := time.NewTicker(homeLook)
	defer ticker.Stop()
	for {
		h.look(ctx)
		h.act(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *Homes) look(ctx context.Context) {
	rows, err := h.table.Read(ctx, store.Query{Prefixes: []string{leasePrefix}})
	if err != nil {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		var shard int
		if _, err := fmt.Sscanf(strings.TrimPrefix(row.Key, leasePrefix), "%d", &shard); err != nil || shard >= Shards {
			continue
		}
		view := &h.shards[shard]
		if view.version == row.Version {
			continue
		}
		var found homeRow
		if err := json.Unmarshal(row.Value, &found); err != nil {
			continue
		}
		view.row, view.version, view.changed = found, row.Version, now
		if found.Holder != h.self {
			view.until = time.Time{}
		}
	}
}

func (h *Homes) act(ctx context.Context) {
	hosts := h.hosts()
	var wg sync.WaitGroup
	for shard := range Shards {
		key := fmt.Sprintf("%s%02d", leasePrefix, shard)
		wanted := peers.Preferred(key, hosts) == h.self
		if op, next, ok := h.next(shard, wanted, key); ok {
			wg.Go(func() { h.write(ctx, shard, op, next) })
		}
	}
	wg.Wait()
}

// next tells what this host should write to a shard's lease now, if anything.
func (h *Homes) next(shard int, wanted bool, key string) (store.Op, homeRow, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	view := h.shards[shard]
	mine := now.Before(view.until)
	free := view.row.Holder == "" || now.Sub(view.changed) > homeTTL+homeMargin
	row := view.row
	wanted = wanted && !h.releasing
	switch {
	case view.row.Holder == h.self && !wanted:
		row.Holder = ""
		h.shards[shard].until = time.Time{}
	case mine && view.until.Sub(now) > homeTTL-homeRenew:
		return store.Op{}, row, false
	case mine:
	case wanted && (free || (view.row.Holder == h.self && view.version > 0)):
		row = homeRow{Holder: h.self, Epoch: view.row.Epoch + 1}
	default:
		return store.Op{}, row, false
	}
	row.Beat = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return store.Op{}, row, false
	}
	return store.Op{
		Checks: []store.Check{{Key: key, Version: view.version}},
		Writes: []store.Write{{Key: key, Value: value}},
	}, row, true
}

func (h *Homes) write(ctx context.Context, shard int, op store.Op, row homeRow) {
	ctx, cancel := context.WithTimeout(ctx, homeRenew)
	defer cancel()
	sent := time.Now()
	version, err := h.writer.Do(ctx, op)
	h.mu.Lock()
	defer h.mu.Unlock()
	view := &h.shards[shard]
	var conflict *store.ConflictError
	switch {
	case err == nil:
		wasMine := view.row.Holder == h.self
		view.row, view.version, view.changed = row, version, time.Now()
		if row.Holder == h.self {
			view.until = sent.Add(homeTTL)
		}
		if row.Holder == h.self && !wasMine {
			h.log.WithFields(map[string]any{"shard": shard, "epoch": row.Epoch}).Debug("home of job shard")
		}
	case errors.As(err, &conflict):
		view.until = time.Time{}
	}
}

// Release gives all leases back, for a planned stop; a renewal that is on its way may win, so it looks again.
func (h *Homes) Release(ctx context.Context) {
	h.mu.Lock()
	h.releasing = true
	h.mu.Unlock()
	for {
		h.act(ctx)
		h.look(ctx)
		if h.held() == 0 || !clock.Pause(ctx, releasePause) {
			return
		}
	}
}

// held returns the number of shards whose lease bears this host's name.
func (h *Homes) held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, view := range h.shards {
		if view.row.Holder == h.self {
			count++
		}
	}
	return count
}
