package quota

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	// lookEvery is how often the row of an owner for whose quota somebody waits is read, and lookRest how often the rest.
	lookEvery = time.Second
	lookRest  = 10 * time.Second
	// idleAfter is how long a share is kept without use.
	idleAfter = 3 * time.Second
	// tryEvery is the least time between two tries to change a share.
	tryEvery = 100 * time.Millisecond
	// chunks is the number of parts in which a quota is handed out, so that not every start needs a write.
	chunks    = 16
	writeTime = 2 * time.Second
	rowPrefix = "quota/"
)

// Share is what one host may let an owner's tasks take.
type Share struct {
	DataCenter   string `json:"data-center"`
	CPUMilli     int64  `json:"cpu-milli"`
	Accelerators int64  `json:"accelerators"`
}

// row holds all hosts' shares of one owner's quota.
type row struct {
	Shares map[string]Share `json:"shares"`
	// Waiting lists the hosts that found too little left, first come, first served.
	Waiting []waiting `json:"waiting,omitempty"`
	Writer  string    `json:"writer"`
}

// Table reads rows.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
}

// Writer applies changes of rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Config is what a book of shares works with.
type Config struct {
	// Self names this process, and DataCenter where it is.
	Self       string
	DataCenter string
	Table      Table
	Writer     Writer
	// Quota returns an owner's quota from the catalogue in force; zero amounts are no limit.
	Quota func(owner string) entry.Quota
	// Gone reports whether a process has ended and all its tasks are covered by other shares.
	Gone func(self, dataCenter string) bool
	// Heard reports whether a process was heard of lately.
	Heard func(self string) bool
	// Settled reports whether all tasks that hosts of this data centre adopted are covered by their shares.
	Settled func() bool
	// Awaited returns the owners for whose quota another host was heard to wait.
	Awaited func() map[string]bool
	// Kick makes what waits ask for its room again.
	Kick func()
	Log  logrus.FieldLogger
}

// Book holds this host's shares and what its tasks take of them.
type Book struct {
	cfg    Config
	wake   chan struct{}
	mu     sync.Mutex
	owners map[string]*account
}

// account is one owner's share here.
type account struct {
	used   Share
	share  Share
	want   Share
	wanted time.Time
	// retry is when the share may next be asked for; below is since when the share has been larger than what is used.
	retry time.Time
	below time.Time
	// ceiling bounds the share while others wait for a part of it.
	ceiling *Share
	// inLine says that the row may list this host among those that wait.
	inLine bool
	looked time.Time
}

// NewBook returns a book without shares.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, wake: make(chan struct{}, 1), owners: map[string]*account{}}
}

func amount(size unit.Size) Share {
	return Share{CPUMilli: size.CPUMilli, Accelerators: size.Accelerators}
}

func (s Share) plus(o Share) Share {
	s.CPUMilli += o.CPUMilli
	s.Accelerators += o.Accelerators
	return s
}

func (s Share) minus(o Share) Share {
	s.CPUMilli -= o.CPUMilli
	s.Accelerators -= o.Accelerators
	return s
}

// within reports whether s is at most o in the dimensions that a quota limits.
func (s Share) within(o Share, limit entry.Quota) bool {
	return (limit.CPUMilli == 0 || s.CPUMilli <= o.CPUMilli) &&
		(limit.Accelerators == 0 || s.Accelerators <= o.Accelerators)
}

func limited(q entry.Quota) bool { return q != entry.Quota{} }

func (b *Book) account(owner string) *account {
	a, ok := b.owners[owner]
	if !ok {
		a = &account{}
		b.owners[owner] = a
	}
	return a
}

// Take books size for an owner, or notes that the share has to grow and reports false.
func (b *Book) Take(owner string, size unit.Size) bool {
	limit := b.cfg.Quota(owner)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(owner)
	next := a.used.plus(amount(size))
	if next.within(a.share, limit) && (a.ceiling == nil || next.within(*a.ceiling, limit)) {
		a.used = next
		return true
	}
	a.want, a.wanted = amount(size), time.Now()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return false
}

// Give returns what was taken or adopted.
func (b *Book) Give(owner string, size unit.Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(owner)
	a.used = a.used.minus(amount(size))
	a.below = time.Now()
}

// Adopt books size for a task that runs already, whether or not the share covers it.
func (b *Book) Adopt(owner string, size unit.Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(owner)
	a.used = a.used.plus(amount(size))
}

// Unbooked reports whether tasks run here that the shares do not cover yet.
func (b *Book) Unbooked() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for owner, a := range b.owners {
		if limit := b.cfg.Quota(owner); limited(limit) && !a.used.within(a.share, limit) {
			return true
		}
	}
	return false
}

// Run moves shares until ctx is done.
func (b *Book) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		for _, owner := range b.due(time.Now()) {
			b.move(ctx, owner)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// Work that waits while nothing else happens would not be known to want anything.
			b.cfg.Kick()
		case <-b.wake:
		}
	}
}

// due returns the owners whose share should change.
func (b *Book) due(now time.Time) []string {
	awaited := b.cfg.Awaited()
	b.mu.Lock()
	defer b.mu.Unlock()
	var owners []string
	for owner, a := range b.owners {
		limit := b.cfg.Quota(owner)
		if !limited(limit) {
			a.share = Share{}
			continue
		}
		look := (a.share != (Share{}) || a.inLine) && now.Sub(a.looked) > a.lookAfter(awaited[owner])
		if now.Before(a.retry) || (!look && a.aim(limit, now) == a.share) {
			continue
		}
		a.looked = now
		a.retry = now.Add(tryEvery)
		owners = append(owners, owner)
	}
	return owners
}

// lookAfter returns how long the row of an owner may go without a look.
func (a *account) lookAfter(awaited bool) time.Duration {
	if a.inLine || a.ceiling != nil || awaited {
		return lookEvery
	}
	return lookRest
}

// Lines returns the owners for whose quota this host waits in line.
func (b *Book) Lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var owners []string
	for owner, a := range b.owners {
		if a.inLine {
			owners = append(owners, owner)
		}
	}
	return owners
}

// aim returns the share that an account should have, if the quota had room for it.
func (a *account) aim(limit entry.Quota, now time.Time) Share {
	if now.Sub(a.wanted) > idleAfter && now.Sub(a.below) > idleAfter {
		// What is unused is kept while something runs, since more of it is likely to come.
		if a.used == (Share{}) {
			return Share{}
		}
		return Share{
			CPUMilli:     max(a.used.CPUMilli, min(a.share.CPUMilli, a.used.CPUMilli+limit.CPUMilli/chunks)),
			Accelerators: max(a.used.Accelerators, min(a.share.Accelerators, a.used.Accelerators+limit.Accelerators/chunks)),
		}
	}
	spare := Share{CPUMilli: limit.CPUMilli / chunks, Accelerators: limit.Accelerators / chunks}
	next := a.used.plus(a.want).plus(spare)
	next = Share{CPUMilli: max(a.share.CPUMilli, next.CPUMilli), Accelerators: max(a.share.Accelerators, next.Accelerators)}
	if a.ceiling != nil {
		next.CPUMilli = max(a.used.CPUMilli, min(next.CPUMilli, a.ceiling.CPUMilli))
		next.Accelerators = max(a.used.Accelerators, min(next.Accelerators, a.ceiling.Accelerators))
	}
	return next
}

// move changes this host's share of an owner's quota by one compare-and-set.
func (b *Book) move(ctx context.Context, owner string) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	key := rowPrefix + owner
	current, err := b.cfg.Table.Get(ctx, key)
	if err != nil {
		return
	}
	shares := row{Shares: map[string]Share{}}
	if len(current.Value) > 0 && json.Unmarshal(current.Value, &shares) != nil {
		return
	}
	limit := b.cfg.Quota(owner)
	others := b.others(shares)
	ahead, queue := b.queue(shares, limit)
	share, hungry := b.propose(owner, limit, others, ahead, shares.Shares[b.cfg.Self])
	next := row{Shares: others, Waiting: queue.update(b.cfg.Self, hungry), Writer: uuid.NewString()}
	b.makeRoom(owner, limit, share, others, next.Waiting)
	if share != (Share{DataCenter: b.cfg.DataCenter}) {
		next.Shares[b.cfg.Self] = share
	}
	b.noteLine(owner, hungry != (Share{}))
	if same(next, shares) {
		b.accept(owner, share)
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	_, err = b.cfg.Writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: key, Version: current.Version}},
		Writes: []store.Write{{Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		b.accept(owner, share)
	case errors.As(err, &conflict):
		b.noteLine(owner, true)
		b.poke()
	default:
		b.noteLine(owner, true)
	}
}

// noteLine notes whether the row lists this host among those that wait, so that it takes itself out in the end.
func (b *Book) noteLine(owner string, inLine bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(owner).inLine = inLine
}

func same(a, b row) bool {
	return maps.Equal(a.Shares, b.Shares) && slices.Equal(a.Waiting, b.Waiting)
}

// propose chooses this host's next share, and tells what it would want on top; a share that shrinks does so here
// before it is written.
func (b *Book) propose(
	owner string, limit entry.Quota, others map[string]Share, ahead, written Share,
) (next, hungry Share) {
	settled := b.cfg.Settled()
	taken := ahead
	for _, share := range others {
		taken = taken.plus(share)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(owner)
	now := time.Now()
	aim := a.aim(limit, now)
	next.DataCenter = b.cfg.DataCenter
	// Tasks that run are covered whatever the quota says, so that nobody else counts their room as free.
	next.CPUMilli = max(a.used.CPUMilli, min(aim.CPUMilli, limit.CPUMilli-taken.CPUMilli))
	next.Accelerators = max(a.used.Accelerators, min(aim.Accelerators, limit.Accelerators-taken.Accelerators))
	if limit.CPUMilli == 0 {
		next.CPUMilli = a.used.CPUMilli
	}
	if limit.Accelerators == 0 {
		next.Accelerators = a.used.Accelerators
	}
	if !settled {
		// What this host has handed over may not be booked by its new holder yet.
		next.CPUMilli, next.Accelerators = max(next.CPUMilli, written.CPUMilli), max(next.Accelerators, written.Accelerators)
	}
	a.share = Share{CPUMilli: min(a.share.CPUMilli, next.CPUMilli), Accelerators: min(a.share.Accelerators, next.Accelerators)}
	if now.Sub(a.wanted) < idleAfter && !a.used.plus(a.want).within(next, limit) {
		hungry = a.want
		hungry.DataCenter = b.cfg.DataCenter
	}
	return next, hungry
}

func (b *Book) accept(owner string, share Share) {
	b.mu.Lock()
	a := b.account(owner)
	grown := share.CPUMilli > a.share.CPUMilli || share.Accelerators > a.share.Accelerators
	a.share = Share{CPUMilli: share.CPUMilli, Accelerators: share.Accelerators}
	b.mu.Unlock()
	if grown {
		b.cfg.Kick()
	}
}
