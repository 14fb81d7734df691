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
	// pollInterval is how often the row of an owner is read while a host waits for that owner's quota; other rows are
	// read every idlePollInterval.
	pollInterval     = time.Second
	idlePollInterval = 10 * time.Second
	// idleTimeout is how long an unused share is kept in full.
	idleTimeout = 3 * time.Second
	// minRetryInterval is the shortest time between two attempts to change a share.
	minRetryInterval = 100 * time.Millisecond
	// numChunks is the number of chunks in which a quota is allocated, so that not every start needs a write.
	numChunks    = 16
	writeTimeout = 2 * time.Second
	rowPrefix    = "quota/"
)

// Share is the part of an owner's quota that one host may allocate to tasks.
type Share struct {
	DataCenter   string `json:"data-center"`
	CPUMilli     int64  `json:"cpu-milli"`
	Accelerators int64  `json:"accelerators"`
}

// quotaRow holds all hosts' shares of one owner's quota.
type quotaRow struct {
	Shares map[string]Share `json:"shares"`
	// Waiting lists the hosts that wait for a larger share, in the order of their arrival.
	Waiting []waiter `json:"waiting,omitempty"`
	// WriteID is unique to each write.
	WriteID string `json:"writer"`
}

// Table reads rows.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
}

// Writer applies conditional writes to rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Config holds the dependencies of a quota allocator.
type Config struct {
	// Self is the id of this process and DataCenter its location.
	Self       string
	DataCenter string
	Table      Table
	Writer     Writer
	// Quota returns an owner's quota from the current catalogue; a zero amount means no limit.
	Quota func(owner string) entry.Quota
	// CanDropShare reports whether a process has ended and all its tasks are covered by other shares.
	CanDropShare func(process, dataCenter string) bool
	// IsAlive reports whether a report of a process was received recently.
	IsAlive func(process string) bool
	// AdoptionsCovered reports whether the shares of all hosts in this data centre cover the tasks that they adopted.
	AdoptionsCovered func() bool
	// ContendedOwners returns the owners for whose quota another host reports to be waiting.
	ContendedOwners func() map[string]bool
	// Dispatch makes waiting work retry its reservations.
	Dispatch func()
	Log      logrus.FieldLogger
}

// Allocator manages this host's shares of the owners' quotas and tracks what its tasks use of them.
type Allocator struct {
	cfg    Config
	wake   chan struct{}
	mu     sync.Mutex
	owners map[string]*account
}

// account is one owner's share and usage on this host.
type account struct {
	used     Share
	share    Share
	want     Share
	wantedAt time.Time
	// retryAt is the earliest time of the next attempt to change the share; releasedAt is when usage last decreased.
	retryAt    time.Time
	releasedAt time.Time
	// ceiling bounds the share while other hosts wait for a part of it.
	ceiling *Share
	// isWaiting is set while the row may list this host as waiting.
	isWaiting bool
	polledAt  time.Time
}

// NewAllocator returns a quota allocator without shares.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, wake: make(chan struct{}, 1), owners: map[string]*account{}}
}

func shareOf(size unit.Size) Share {
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

func hasLimit(q entry.Quota) bool { return q != entry.Quota{} }

func (a *Allocator) account(owner string) *account {
	acct, ok := a.owners[owner]
	if !ok {
		acct = &account{}
		a.owners[owner] = acct
	}
	return acct
}

// Reserve reserves size from the owner's share. If the share is too small, it requests a larger one and returns false.
func (a *Allocator) Reserve(owner string, size unit.Size) bool {
	limit := a.cfg.Quota(owner)
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(owner)
	next := acct.used.plus(shareOf(size))
	if next.within(acct.share, limit) && (acct.ceiling == nil || next.within(*acct.ceiling, limit)) {
		acct.used = next
		return true
	}
	acct.want, acct.wantedAt = shareOf(size), time.Now()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return false
}

// Release releases an amount that was reserved or adopted.
func (a *Allocator) Release(owner string, size unit.Size) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(owner)
	acct.used = acct.used.minus(shareOf(size))
	acct.releasedAt = time.Now()
}

// Adopt counts size as used for a task that is already running, whether or not the share covers it.
func (a *Allocator) Adopt(owner string, size unit.Size) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(owner)
	acct.used = acct.used.plus(shareOf(size))
}

// HasUncoveredTasks reports whether tasks run on this host that its shares don't cover yet.
func (a *Allocator) HasUncoveredTasks() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for owner, acct := range a.owners {
		if limit := a.cfg.Quota(owner); hasLimit(limit) && !acct.used.within(acct.share, limit) {
			return true
		}
	}
	return false
}

// Run adjusts this host's shares until ctx is done.
func (a *Allocator) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, owner := range a.due(time.Now()) {
			a.updateShare(ctx, owner)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// Only a reservation attempt requests a larger share, and waiting work makes none while nothing else happens.
			a.cfg.Dispatch()
		case <-a.wake:
		}
	}
}

// due returns the owners whose row should be polled or whose share should change.
func (a *Allocator) due(now time.Time) []string {
	contended := a.cfg.ContendedOwners()
	a.mu.Lock()
	defer a.mu.Unlock()
	var owners []string
	for owner, acct := range a.owners {
		limit := a.cfg.Quota(owner)
		if !hasLimit(limit) {
			acct.share = Share{}
			continue
		}
		pollDue := (acct.share != (Share{}) || acct.isWaiting) && now.Sub(acct.polledAt) > acct.pollIntervalFor(contended[owner])
		if now.Before(acct.retryAt) || (!pollDue && acct.target(limit, now) == acct.share) {
			continue
		}
		acct.polledAt = now
		acct.retryAt = now.Add(minRetryInterval)
		owners = append(owners, owner)
	}
	return owners
}

// pollIntervalFor returns the interval at which the owner's row is polled.
func (acct *account) pollIntervalFor(contended bool) time.Duration {
	if acct.isWaiting || acct.ceiling != nil || contended {
		return pollInterval
	}
	return idlePollInterval
}

// WaitingOwners returns the owners for whose quota this host is waiting.
func (a *Allocator) WaitingOwners() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var owners []string
	for owner, acct := range a.owners {
		if acct.isWaiting {
			owners = append(owners, owner)
		}
	}
	return owners
}

// target returns the share that the account should have if the quota permits it.
func (acct *account) target(limit entry.Quota, now time.Time) Share {
	if now.Sub(acct.wantedAt) > idleTimeout && now.Sub(acct.releasedAt) > idleTimeout {
		// While tasks run, up to one chunk of the unused share is kept, since more tasks are likely to follow.
		if acct.used == (Share{}) {
			return Share{}
		}
		return Share{
			CPUMilli:     max(acct.used.CPUMilli, min(acct.share.CPUMilli, acct.used.CPUMilli+limit.CPUMilli/numChunks)),
			Accelerators: max(acct.used.Accelerators, min(acct.share.Accelerators, acct.used.Accelerators+limit.Accelerators/numChunks)),
		}
	}
	spare := Share{CPUMilli: limit.CPUMilli / numChunks, Accelerators: limit.Accelerators / numChunks}
	next := acct.used.plus(acct.want).plus(spare)
	next = Share{CPUMilli: max(acct.share.CPUMilli, next.CPUMilli), Accelerators: max(acct.share.Accelerators, next.Accelerators)}
	if acct.ceiling != nil {
		next.CPUMilli = max(acct.used.CPUMilli, min(next.CPUMilli, acct.ceiling.CPUMilli))
		next.Accelerators = max(acct.used.Accelerators, min(next.Accelerators, acct.ceiling.Accelerators))
	}
	return next
}

// updateShare changes this host's share of an owner's quota with one compare-and-set.
func (a *Allocator) updateShare(ctx context.Context, owner string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := rowPrefix + owner
	current, err := a.cfg.Table.Get(ctx, key)
	if err != nil {
		return
	}
	row := quotaRow{Shares: map[string]Share{}}
	if len(current.Value) > 0 && json.Unmarshal(current.Value, &row) != nil {
		return
	}
	limit := a.cfg.Quota(owner)
	others := a.otherShares(row)
	ahead, waiters := a.waitersAhead(row, limit)
	share, missing := a.propose(owner, limit, others, ahead, row.Shares[a.cfg.Self])
	next := quotaRow{Shares: others, Waiting: waiters.update(a.cfg.Self, missing), WriteID: uuid.NewString()}
	a.updateCeiling(owner, limit, share, others, next.Waiting)
	if share != (Share{DataCenter: a.cfg.DataCenter}) {
		next.Shares[a.cfg.Self] = share
	}
	a.setWaiting(owner, missing != (Share{}))
	if sameShares(next, row) {
		a.applyShare(owner, share)
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	_, err = a.cfg.Writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: key, Version: current.Version}},
		Writes: []store.Write{{Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		a.applyShare(owner, share)
	case errors.As(err, &conflict):
		a.setWaiting(owner, true)
		a.retrySoon()
	default:
		a.setWaiting(owner, true)
	}
}

// setWaiting records whether the row may list this host as waiting, so that the host later removes its entry.
func (a *Allocator) setWaiting(owner string, waiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(owner).isWaiting = waiting
}

func sameShares(a, b quotaRow) bool {
	return maps.Equal(a.Shares, b.Shares) && slices.Equal(a.Waiting, b.Waiting)
}

// propose returns this host's next share and the amount that it still waits for. A share that shrinks takes effect on
// this host at once, before it is written.
func (a *Allocator) propose(
	owner string, limit entry.Quota, others map[string]Share, ahead, written Share,
) (next, missing Share) {
	adoptionsCovered := a.cfg.AdoptionsCovered()
	allocated := ahead
	for _, share := range others {
		allocated = allocated.plus(share)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(owner)
	now := time.Now()
	target := acct.target(limit, now)
	next.DataCenter = a.cfg.DataCenter
	// Running tasks are covered regardless of the quota, so that no other host counts their resources as free.
	next.CPUMilli = max(acct.used.CPUMilli, min(target.CPUMilli, limit.CPUMilli-allocated.CPUMilli))
	next.Accelerators = max(acct.used.Accelerators, min(target.Accelerators, limit.Accelerators-allocated.Accelerators))
	if limit.CPUMilli == 0 {
		next.CPUMilli = acct.used.CPUMilli
	}
	if limit.Accelerators == 0 {
		next.Accelerators = acct.used.Accelerators
	}
	if !adoptionsCovered {
		// The new holder of a worker that this host handed over may not cover the adopted tasks yet.
		next.CPUMilli, next.Accelerators = max(next.CPUMilli, written.CPUMilli), max(next.Accelerators, written.Accelerators)
	}
	acct.share = Share{CPUMilli: min(acct.share.CPUMilli, next.CPUMilli), Accelerators: min(acct.share.Accelerators, next.Accelerators)}
	if now.Sub(acct.wantedAt) < idleTimeout && !acct.used.plus(acct.want).within(next, limit) {
		missing = acct.want
		missing.DataCenter = a.cfg.DataCenter
	}
	return next, missing
}

// applyShare adopts a share that the row holds, and dispatches waiting work if it has grown.
func (a *Allocator) applyShare(owner string, share Share) {
	a.mu.Lock()
	acct := a.account(owner)
	increased := share.CPUMilli > acct.share.CPUMilli || share.Accelerators > acct.share.Accelerators
	acct.share = Share{CPUMilli: share.CPUMilli, Accelerators: share.Accelerators}
	a.mu.Unlock()
	if increased {
		a.cfg.Dispatch()
	}
}
