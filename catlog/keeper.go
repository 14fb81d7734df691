package catlog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/store"
)

const (
	headKey       = "catalogue/head"
	docPrefix     = "catalogue/doc/"
	historyPrefix = "catalogue/history/"
	pollInterval  = time.Second
	// maxDelta is the maximum number of new versions for which a refresh reads the changes instead of all documents.
	maxDelta = 64
)

// Table is the subset of the platform's table that Keeper uses.
type Table interface {
	Read(ctx context.Context, q store.Query) ([]store.Row, error)
	Commit(ctx context.Context, tx store.Tx) (uint64, error)
}

// Peers provides newer versions to a host that can't read the table.
type Peers interface {
	// NewerCatalogue fetches a version above have from a peer; it returns nil if no peer has one.
	NewerCatalogue(ctx context.Context, have uint64) (*entry.Catalogue, error)
	// HighestVersion returns the highest version that any peer is known to have.
	HighestVersion() uint64
}

// Head is the row that holds the latest version of the catalogue; every edit updates it.
type Head struct {
	Version uint64 `json:"version"`
	EditID  string `json:"edit-id"`
}

type storedDoc struct {
	Version uint64          `json:"version"`
	Doc     json.RawMessage `json:"doc"`
}

// Change is one record of the catalogue's history.
type Change struct {
	Version uint64          `json:"version"`
	EditID  string          `json:"edit-id"`
	Author  string          `json:"author"`
	Time    time.Time       `json:"time"`
	Key     string          `json:"key"`
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
}

// Keeper holds the catalogue version in force on this host and refreshes it; it never replaces it with an older one.
type Keeper struct {
	table   Table
	peers   Peers
	log     logrus.FieldLogger
	current atomic.Pointer[entry.Catalogue]
	mu      sync.Mutex
	changed chan struct{}
	wake    chan struct{}
	// beforeInstall is called with every version just before it comes into force.
	beforeInstall func(c *entry.Catalogue)
}

// NewKeeper returns a keeper without a catalogue; beforeInstall is called with every version just before it comes into force.
func NewKeeper(table Table, peers Peers, log logrus.FieldLogger, beforeInstall func(c *entry.Catalogue)) *Keeper {
	return &Keeper{
		table: table, peers: peers, log: log, beforeInstall: beforeInstall,
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Current returns the version in force, or nil before the first.
func (k *Keeper) Current() *entry.Catalogue { return k.current.Load() }

// Version returns the number of the version in force, 0 before the first.
func (k *Keeper) Version() uint64 {
	if c := k.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Ready returns nil if the host may serve, or an error that says why not.
func (k *Keeper) Ready() error {
	have, newest := k.Version(), k.peers.HighestVersion()
	if k.current.Load() == nil {
		return fmt.Errorf("no catalogue could be read yet")
	}
	if have < newest {
		return fmt.Errorf("catalogue version %d is in force, a peer has %d", have, newest)
	}
	return nil
}

// Wake makes Run check for a newer version immediately.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the catalogue up to date until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		k.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.wake:
		}
	}
}

func (k *Keeper) refresh(ctx context.Context) {
	if err := k.readTable(ctx); err == nil {
		return
	}
	if k.peers.HighestVersion() <= k.Version() && k.Current() != nil {
		return
	}
	c, err := k.peers.NewerCatalogue(ctx, k.Version())
	if err != nil || c == nil {
		return
	}
	k.install(c)
}

func (k *Keeper) readTable(ctx context.Context) error {
	have := k.Version()
	rows, err := k.table.Read(ctx, store.Query{Keys: []string{headKey}})
	if err != nil {
		return err
	}
	head, err := readHead(rows)
	if err != nil {
		return err
	}
	if k.Current() != nil && head.Version <= have {
		return nil
	}
	if k.Current() != nil && head.Version-have <= maxDelta {
		if err := k.readDelta(ctx, have, head.Version); err == nil {
			return nil
		}
	}
	return k.readAll(ctx)
}

func readHead(rows []store.Row) (Head, error) {
	var head Head
	for _, row := range rows {
		if row.Key != headKey {
			continue
		}
		if err := json.Unmarshal(row.Value, &head); err != nil {
			return Head{}, fmt.Errorf("%s: %w", headKey, err)
		}
	}
	return head, nil
}

func (k *Keeper) readDelta(ctx context.Context, have, want uint64) error {
	var keys []string
	for version := have + 1; version <= want; version++ {
		keys = append(keys, historyKey(version))
	}
	rows, err := k.table.Read(ctx, store.Query{Keys: keys})
	if err != nil {
		return err
	}
	if len(rows) != len(keys) {
		return fmt.Errorf("history has %d of %d rows", len(rows), len(keys))
	}
	c := k.Current()
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return fmt.Errorf("%s: %w", row.Key, err)
		}
		c, err = c.With(entry.Document{Key: change.Key, Version: change.Version, Raw: change.After})
		if err != nil {
			return err
		}
	}
	k.install(c)
	return nil
}

func (k *Keeper) readAll(ctx context.Context) error {
	rows, err := k.table.Read(ctx, store.Query{Keys: []string{headKey}, Prefixes: []string{docPrefix}})
	if err != nil {
		return err
	}
	c, err := catalogueOf(rows)
	if err != nil {
		return err
	}
	k.install(c)
	return nil
}

func catalogueOf(rows []store.Row) (*entry.Catalogue, error) {
	head, err := readHead(rows)
	if err != nil {
		return nil, err
	}
	var docs []entry.Document
	for _, row := range rows {
		if row.Key == headKey {
			continue
		}
		var stored storedDoc
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
		docs = append(docs, entry.Document{Key: row.Key[len(docPrefix):], Version: stored.Version, Raw: stored.Doc})
	}
	return entry.NewCatalogue(head.Version, docs)
}

// install puts c in force, unless its version or a newer one is in force already.
func (k *Keeper) install(c *entry.Catalogue) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if old != nil && old.Version() >= c.Version() {
		return
	}
	k.beforeInstall(c)
	k.current.Store(c)
	close(k.changed)
	k.changed = make(chan struct{})
	k.log.WithField("version", c.Version()).Info("catalogue version in force")
}

// WaitFor blocks until the version in force is at least version.
func (k *Keeper) WaitFor(ctx context.Context, version uint64) error {
	for {
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if k.current.Load() != nil && k.Version() >= version {
			return nil
		}
		k.Wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }
