package elect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Table is the table of the leases; each group is a part of it.
const Table = "cells"

// Rows of a part.
const (
	rowEpoch = "epoch"
	rowBeat  = "beat"
)

// Times of a lease.
const (
	// BeatEvery is how often a holder renews its lease.
	BeatEvery = 450 * time.Millisecond
	// Fresh is how long after the sending of its last good renewal a holder may answer for the group.
	Fresh = 1700 * time.Millisecond
	// Takeover is how long others must have seen no renewal before they take a lease; Fresh and a margin for slow clocks.
	Takeover = 2300 * time.Millisecond
	// Hold is how long after its last good renewal a holder may give orders, so that work goes on while the table is away
	// for all. A taker shuts it out by its token wherever it reaches a worker, and leaves alone, for as long as this and a
	// worker's lease last, what may run on the others.
	Hold = 6000 * time.Millisecond
	// callTime bounds a call for a lease; a slow table still answers in it, within the time that a holder is fresh.
	callTime = 1300 * time.Millisecond
	// aliveGap is how long the table may leave this host without an answer before what was not seen meanwhile stops counting
	// as silence of a holder: longer than a call that waits for changes, shorter than Takeover.
	aliveGap = 1700 * time.Millisecond
)

// Epoch is one holding of a lease; its token is higher than those of all before.
type Epoch struct {
	Part   string `json:"-"`
	Holder string `json:"holder"`
	// Life tells the holder's process from an earlier one of the same name.
	Life    string         `json:"life,omitempty"`
	Address netip.AddrPort `json:"address"`
	Token   uint64         `json:"token"`
	// Unsure names, in a lease that was given back, the workers that its holder could not reach.
	Unsure []Unsure `json:"unsure,omitempty"`
	// Left is where to ask, after a lease was given back, what its holder left.
	Left netip.AddrPort `json:"left,omitzero"`
	// Version is the version of the lease's row, which every write of the holder checks.
	Version uint64 `json:"-"`
}

// Unsure is a worker that could not be reached, and for how long runs may still be there.
type Unsure struct {
	Worker string        `json:"worker"`
	For    time.Duration `json:"for"`
}

// Check returns the check that ties a transaction to the epoch.
func (e Epoch) Check() table.Check {
	return table.Check{Key: table.Key{Table: Table, Part: e.Part, Name: rowEpoch}, Version: e.Version}
}

// LostError says that another host holds a lease.
type LostError struct {
	Part string
}

// Error names the group.
func (e *LostError) Error() string { return fmt.Sprintf("another host runs group %s", e.Part) }

// seen is what a host knows of a lease.
type seen struct {
	epoch   Epoch
	changed time.Time
	// taken is when the epoch was first seen, and held when the last one with a holder was.
	taken time.Time
	held  time.Time
	// beat is the last renewal.
	beat table.Row
}

// Book knows the holders of all leases.
type Book struct {
	mu    sync.Mutex
	parts map[string]seen
	alive time.Time
	since time.Time
	// lives holds the newest process of each host.
	lives map[string]life
}

// life is a process of a host, and when it was first heard of.
type life struct {
	name  string
	since time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{parts: map[string]seen{}, lives: map[string]life{}} }

// Alive notes that the table has answered.
func (b *Book) Alive(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.alive) > aliveGap {
		b.since = now
	}
	b.alive = now
}

// Apply takes changed rows of the table of leases.
func (b *Book) Apply(rows []table.Row, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bad error
	for _, r := range rows {
		s := b.parts[r.Part]
		switch {
		case r.Name == rowEpoch && r.Version > s.epoch.Version && !r.Deleted:
			e := Epoch{}
			if err := json.Unmarshal(r.Value, &e); err != nil {
				bad = fmt.Errorf("lease of group %s: %w", r.Part, err)
				continue
			}
			e.Part, e.Version = r.Part, r.Version
			s.epoch, s.changed, s.taken = e, now, now
			if e.Holder != "" || s.held.IsZero() {
				s.held = now
			}
		case r.Name == rowBeat:
			s.changed, s.beat = now, r
		default:
			continue
		}
		s.corrected(now)
		b.parts[r.Part] = s
	}
	return bad
}

// corrected sets since when a lease is held by what its holder has written, if that is earlier than it was seen.
func (s *seen) corrected(now time.Time) {
	if s.beat.Version <= s.epoch.Version || s.epoch.Holder == "" {
		return
	}
	var b beat
	if err := json.Unmarshal(s.beat.Value, &b); err == nil && now.Add(-b.Held).Before(s.held) {
		s.held = now.Add(-b.Held)
	}
}

// Started notes the newest process of a host; leases of earlier ones are free.
func (b *Book) Started(host, name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lives[host].name != name {
		b.lives[host] = life{name, now}
	}
}

// Holder returns the last known holding of a lease.
func (b *Book) Holder(part string) (Epoch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.parts[part]
	return s.epoch, ok && s.epoch.Holder != ""
}

// Free reports whether a lease may be taken, and the epoch that the taker replaces.
func (b *Book) Free(part string, patience time.Duration, now time.Time) (Epoch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[part]
	s.epoch.Part = part
	if now.Sub(b.alive) > Takeover/2 || now.Sub(b.since) < patience {
		return s.epoch, false
	}
	if s.epoch.Holder == "" || b.ended(s.epoch) {
		return s.epoch, now.Sub(s.changed) >= patience
	}
	silent := now.Sub(s.changed)
	return s.epoch, silent >= Takeover+patience && now.Sub(b.since) >= Takeover+patience
}

// Silent returns for how long a holder that may live has not been seen to renew a lease.
func (b *Book) Silent(part string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[part]
	if s.epoch.Holder == "" || b.ended(s.epoch) {
		return 0, false
	}
	return now.Sub(s.changed), true
}

// OrdersUntil returns until when earlier holders of a lease may have given orders, which may have passed.
func (b *Book) OrdersUntil(part string, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.parts[part]
	if !ok || s.epoch.Token == 0 {
		return now
	}
	// Whoever was replaced by the last holder had not renewed for as long as a taker waits.
	until := s.held.Add(Hold - Takeover)
	last := s.changed.Add(Hold)
	switch {
	case s.epoch.Holder == "":
		last = s.taken
	case b.ended(s.epoch) && b.lives[s.epoch.Holder].since.Before(last):
		last = b.lives[s.epoch.Holder].since
	}
	if until.After(last) {
		return until
	}
	return last
}

// Unsure returns the workers that the host which gave a lease back could not reach, and until when runs may be there.
func (b *Book) Unsure(part string) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[part]
	until := make(map[string]time.Time, len(s.epoch.Unsure))
	for _, u := range s.epoch.Unsure {
		until[u.Worker] = s.taken.Add(u.For)
	}
	return until
}

// ended reports whether the process that holds a lease was followed by another on its host.
func (b *Book) ended(e Epoch) bool {
	life, ok := b.lives[e.Holder]
	return ok && life.name != e.Life
}

// Taker is who takes a lease.
type Taker struct {
	Name    string
	Life    string
	Address netip.AddrPort
}

// Take takes a lease over from old.
func Take(ctx context.Context, s table.Store, old Epoch, by Taker) (Epoch, error) {
	e := Epoch{Part: old.Part, Holder: by.Name, Life: by.Life, Address: by.Address, Token: old.Token + 1}
	v, err := write(ctx, s, old, e)
	e.Version = v
	return e, err
}

// Release gives a lease back, so that another host need not wait, and tells which workers could not be reached.
func Release(ctx context.Context, s table.Store, e Epoch, unsure []Unsure) error {
	_, err := write(ctx, s, e, Epoch{Part: e.Part, Token: e.Token, Unsure: unsure, Left: e.Address})
	return err
}

func write(ctx context.Context, s table.Store, old, next Epoch) (uint64, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return s.Commit(ctx, table.Tx{
		Checks: []table.Check{old.Check()},
		Writes: []table.Write{{Key: old.Check().Key, Value: raw}},
	})
}

// beat is a renewal of a lease.
type beat struct {
	// Held is how long the holder had the lease when it renewed it, for hosts that have not seen it being taken.
	Held time.Duration `json:"held"`
}

// BeatWrite returns the write that shows others that a lease is renewed, which its holder has held for so long.
func BeatWrite(part string, held time.Duration) table.Write {
	return table.Write{
		Key: table.Key{Table: Table, Part: part, Name: rowBeat}, Value: fmt.Appendf(nil, `{"held":%d}`, held),
	}
}

// Beat renews a lease that has been held for so long; *LostError means that it is held by another.
func Beat(ctx context.Context, s table.Store, e Epoch, held time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	_, err := s.Commit(ctx, table.Tx{
		Checks: []table.Check{e.Check()},
		Writes: []table.Write{BeatWrite(e.Part, held)},
	})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return &LostError{e.Part}
	}
	return err
}
