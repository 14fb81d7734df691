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

// Table is the table of the leases, with a partition for each group.
const Table = "cells"

// Rows of a partition.
const (
	rowEpoch   = "epoch"
	rowRenewal = "beat"
	// rowUnrenewed is the holder's record of the workers whose leases it does not renew.
	rowUnrenewed = "unrenewed"
)

// Times of a lease.
const (
	// RenewInterval is how often a holder renews its lease.
	RenewInterval = 450 * time.Millisecond
	// FreshTimeout is how long after sending its last successful renewal a holder may answer for the group.
	FreshTimeout = 1700 * time.Millisecond
	// TakeoverTimeout is how long other hosts must see no renewal before they acquire a lease: FreshTimeout and a margin for
	// slow clocks.
	TakeoverTimeout = 2300 * time.Millisecond
	// HoldTimeout is how long after sending its last successful renewal a holder may send orders at most, so that work continues while
	// the table is unreachable for all hosts; see UnextendedTimeout. A new holder fences the old one by its token on every worker that it reaches; for
	// HoldTimeout and the lease of a worker it does not replace runs that may be active on the others.
	HoldTimeout = 6000 * time.Millisecond
	// callTimeout limits a call that writes a lease: long enough for a slow table to reply, shorter than FreshTimeout.
	callTimeout = 1300 * time.Millisecond
	// maxAnswerGap is the maximum time between two replies of the table to this host. Renewals are not visible during a longer
	// gap, so after it a holder is replaced only once the table has replied for TakeoverTimeout again. It is longer than a call
	// that waits for changes and shorter than TakeoverTimeout.
	maxAnswerGap = 1700 * time.Millisecond
)

// Epoch is one tenure of a lease holder; its token is higher than those of all earlier epochs.
type Epoch struct {
	// Group is the group of workers, which is also the lease's partition of the table.
	Group  string `json:"-"`
	Holder string `json:"holder"`
	// Incarnation distinguishes the holder's process from earlier ones of the same host.
	Incarnation string         `json:"life,omitempty"`
	Address     netip.AddrPort `json:"address"`
	Token       uint64         `json:"token"`
	// Unconfirmed lists, in a released lease, the workers that its holder could not reach, and those that were idle.
	Unconfirmed []UnconfirmedWorker `json:"unsure,omitempty"`
	// Inherited lists, in a lease that is held, the workers whose leases its holder does not renew until it has stored its own record of
	// unrenewed workers; see Unrenewed.
	Inherited []UnconfirmedWorker `json:"inherited,omitempty"`
	// RecordsSince is the token since which all holders have recorded on which worker a lasting task is before they started it; 0 if the last
	// holder did not.
	RecordsSince uint64 `json:"records-since,omitempty"`
	// HandoverAddress is the address of the host that can be asked for the handover state of a released lease, and HandoverToken the token under
	// which that was left, if it is not Token.
	HandoverAddress netip.AddrPort `json:"left,omitzero"`
	HandoverToken   uint64         `json:"left-token,omitempty"`
	// OrdersFor is, in a released lease, how long after the release this or an earlier holder may send orders; negative if they stopped before
	// it, and nil if it is not told.
	OrdersFor *time.Duration `json:"orders-for,omitempty"`
	// Version is the version of the lease's row, which every write of the holder checks.
	Version uint64 `json:"-"`
	// seen are the checks that the rows of the last renewal, the unrenewed workers and the witnesses are as the view has seen them; none if the
	// epoch is not from a view.
	seen []table.Check
	// unconfirmed are, in an epoch from a view, the workers whose leases the next holder must not renew before it has recorded that.
	unconfirmed []UnconfirmedWorker
}

// UnconfirmedWorker is a worker that the next holder may not reach, and for how long runs may still be active there.
type UnconfirmedWorker struct {
	Worker    string        `json:"worker"`
	Remaining time.Duration `json:"for"`
	// Idle says that nothing ran there when the lease was released, and that the worker did not count as silent.
	Idle bool `json:"idle,omitempty"`
}

// Check returns the check that makes a transaction fail once another epoch has begun.
func (e Epoch) Check() table.Check {
	return table.Check{Key: table.Key{Table: Table, Partition: e.Group, Name: rowEpoch}, Version: e.Version}
}

// LostError says that another host holds a lease.
type LostError struct {
	Group string
}

// Error names the group.
func (e *LostError) Error() string { return fmt.Sprintf("another host runs group %s", e.Group) }

// leaseState is what a host knows about a lease.
type leaseState struct {
	epoch Epoch
	// lastChange is when the last change of the epoch or the last renewal was seen.
	lastChange time.Time
	// epochSeenAt is when the epoch was first seen, and heldSince when the last epoch with a holder was.
	epochSeenAt time.Time
	heldSince   time.Time
	// renewal is the row of the last renewal.
	renewal table.Row
	// unrenewed is the last record of unrenewed workers, and witnesses that of the holder's witnesses.
	unrenewed seenRecord[Unrenewed]
	witnesses seenRecord[Witnesses]
}

// groupUsage is what is known of what the jobs of a group take at its holder.
type groupUsage struct {
	// told is what the holder has told last. accepted is what those jobs take which this host has accepted since then, and acceptedBefore what those
	// take which it accepted between the last two times, of which the holder may have known or not.
	told, accepted, acceptedBefore Usage
}

// View is a host's view of all leases and their holders.
type View struct {
	mu     sync.Mutex
	leases map[string]leaseState
	usage  map[string]groupUsage
	// lastAnswerAt is when the table last replied, and answeringSince the start of the period without a gap above maxAnswerGap.
	lastAnswerAt   time.Time
	answeringSince time.Time
	// incarnations holds the newest process of each host.
	incarnations map[string]incarnation
}

// incarnation is a process of a host, the version of the row that announced it, and when it was first seen.
type incarnation struct {
	name      string
	version   uint64
	firstSeen time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{leases: map[string]leaseState{}, usage: map[string]groupUsage{}, incarnations: map[string]incarnation{}}
}

// TableAnswered records that the table has replied.
func (v *View) TableAnswered(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.lastAnswerAt) > maxAnswerGap {
		v.answeringSince = now
	}
	v.lastAnswerAt = now
}

// Apply processes changed rows of the table of leases.
func (v *View) Apply(rows []table.Row, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var decodeErr error
	for _, r := range rows {
		s := v.leases[r.Partition]
		switch {
		case r.Name == rowEpoch && r.Version > s.epoch.Version && !r.Deleted:
			e := Epoch{}
			if err := json.Unmarshal(r.Value, &e); err != nil {
				decodeErr = fmt.Errorf("decode lease of group %s: %w", r.Partition, err)
				continue
			}
			e.Group, e.Version = r.Partition, r.Version
			// A released epoch with a new token is that of a holder which was not seen.
			if e.Holder != "" || e.Token != s.epoch.Token {
				s.heldSince = now
			}
			s.epoch, s.lastChange, s.epochSeenAt = e, now, now
		case r.Name == rowRenewal:
			s.lastChange, s.renewal = now, r
			var value Renewal
			if json.Unmarshal(r.Value, &value) == nil && value.Usage != nil {
				v.usage[r.Partition] = groupUsage{told: *value.Usage, acceptedBefore: v.usage[r.Partition].accepted}
			}
		case r.Name == rowUnrenewed && r.Version > s.unrenewed.version && !r.Deleted:
			if err := s.unrenewed.apply(r, now); err != nil {
				decodeErr = fmt.Errorf("decode unrenewed workers of group %s: %w", r.Partition, err)
			}
		case r.Name == rowWitnesses && r.Version > s.witnesses.version && !r.Deleted:
			if err := s.witnesses.apply(r, now); err != nil {
				decodeErr = fmt.Errorf("decode witnesses of group %s: %w", r.Partition, err)
			}
		default:
			continue
		}
		s.correctHeldSince(now)
		v.leases[r.Partition] = s
	}
	return decodeErr
}

// Accepted records that this host has accepted a job of a group, and what it takes.
func (v *View) Accepted(group string, job Usage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	u := v.usage[group]
	u.accepted = u.accepted.Plus(job)
	v.usage[group] = u
}

// Usage returns what the jobs of all groups take at their holders, without the groups that skip names.
func (v *View) Usage(skip func(group string) bool) Usage {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sum Usage
	for group, u := range v.usage {
		if !skip(group) {
			sum = sum.Plus(u.told).Plus(u.accepted).Plus(u.acceptedBefore)
		}
	}
	return sum
}

// correctHeldSince moves heldSince back if the holder's last renewal says that it has held the lease for longer.
func (s *leaseState) correctHeldSince(now time.Time) {
	if s.renewal.Version <= s.epoch.Version || s.epoch.Holder == "" {
		return
	}
	var r Renewal
	if err := json.Unmarshal(s.renewal.Value, &r); err == nil && now.Add(-r.Held).Before(s.heldSince) {
		s.heldSince = now.Add(-r.Held)
	}
}

// SetIncarnation records the incarnation of a host that its row of the given version announces; leases that other incarnations of the host
// acquired before are free.
func (v *View) SetIncarnation(host, name string, version uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incarnations[host].name != name {
		v.incarnations[host] = incarnation{name, version, now}
	}
}

// Holder returns the last known epoch of a lease; false if it has no holder.
func (v *View) Holder(group string) (Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.leases[group]
	return s.epoch, ok && s.epoch.Holder != ""
}

// Acquirable reports whether a lease may be acquired, and returns the epoch to replace. delay defers the caller behind other
// candidates.
func (v *View) Acquirable(group string, delay time.Duration, now time.Time) (Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.leases[group]
	s.epoch.Group = group
	s.epoch.seen = []table.Check{
		{Key: renewalKey(group), Version: s.renewal.Version},
		{Key: UnrenewedKey(group), Version: s.unrenewed.version},
		{Key: WitnessesKey(group), Version: s.witnesses.version},
	}
	s.epoch.unconfirmed = s.toInherit(now)
	if now.Sub(v.lastAnswerAt) > TakeoverTimeout/2 || now.Sub(v.answeringSince) < delay {
		return s.epoch, false
	}
	if s.epoch.Holder == "" || v.holderRestarted(s.epoch) {
		return s.epoch, now.Sub(s.lastChange) >= delay
	}
	unresponsive := now.Sub(s.lastChange)
	return s.epoch, unresponsive >= TakeoverTimeout+delay && now.Sub(v.answeringSince) >= TakeoverTimeout+delay
}

// UnresponsiveFor returns how long no renewal of a lease has been seen; false if the lease has no holder that may be running.
func (v *View) UnresponsiveFor(group string, now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.leases[group]
	if s.epoch.Holder == "" || v.holderRestarted(s.epoch) {
		return 0, false
	}
	return now.Sub(s.lastChange), true
}

// OrdersUntil returns the latest time, which may be in the past, at which earlier holders of a lease may have sent orders.
func (v *View) OrdersUntil(group string, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ordersUntil(group, now, HoldTimeout)
}

// ordersUntil is OrdersUntil if the last holder could send orders until a timeout after its last renewal.
func (v *View) ordersUntil(group string, now time.Time, timeout time.Duration) time.Time {
	s, ok := v.leases[group]
	if !ok || s.epoch.Token == 0 {
		return now
	}
	if s.epoch.Holder == "" && s.epoch.OrdersFor != nil {
		return s.epochSeenAt.Add(*s.epoch.OrdersFor)
	}
	// A holder that was replaced by the last one had not renewed its lease for TakeoverTimeout.
	until := s.heldSince.Add(HoldTimeout - TakeoverTimeout)
	lastOrders := s.lastChange.Add(timeout)
	switch {
	case s.epoch.Holder == "":
		lastOrders = s.epochSeenAt
	case v.holderRestarted(s.epoch) && v.incarnations[s.epoch.Holder].firstSeen.Before(lastOrders):
		lastOrders = v.incarnations[s.epoch.Holder].firstSeen
	}
	if until.After(lastOrders) {
		return until
	}
	return lastOrders
}

// Unconfirmed returns the workers of which the last holder of a lease has told until when runs may be active there.
func (v *View) Unconfirmed(group string) map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.leases[group]
	return s.unconfirmedUntil()
}

// holderRestarted reports whether a newer process of the holder's host has started. An incarnation that was announced before the lease was
// acquired is an earlier one, whose row the holder has not replaced yet.
func (v *View) holderRestarted(e Epoch) bool {
	newest, ok := v.incarnations[e.Holder]
	return ok && newest.name != e.Incarnation && newest.version > e.Version
}

// Candidate identifies a host process that wants to acquire a lease.
type Candidate struct {
	Name        string
	Incarnation string
	Address     netip.AddrPort
}

// Acquire acquires the lease that old is the last epoch of; it fails if old is from a view that has not seen the last renewal and the last
// records of unrenewed workers and of witnesses.
func Acquire(ctx context.Context, s table.Store, old Epoch, candidate Candidate) (Epoch, error) {
	e := Epoch{
		Group: old.Group, Holder: candidate.Name, Incarnation: candidate.Incarnation, Address: candidate.Address, Token: old.Token + 1,
		Inherited: old.unconfirmed, RecordsSince: old.RecordsSince,
	}
	if e.RecordsSince == 0 {
		e.RecordsSince = e.Token
	}
	version, err := write(ctx, s, old, e)
	e.Version = version
	return e, err
}

func write(ctx context.Context, s table.Store, old, next Epoch) (uint64, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	checks := append([]table.Check{old.Check()}, old.seen...)
	return s.Commit(ctx, table.Tx{Checks: checks, Writes: []table.Write{{Key: old.Check().Key, Value: raw}}})
}

// Usage is what the jobs of a group take of the memory of its holder.
type Usage struct {
	// JobBytes is about how much memory the jobs take, without that of their tasks.
	JobBytes int64 `json:"job-bytes"`
	// Tasks is the number of tasks of which the holder keeps what is known.
	Tasks int64 `json:"tasks"`
	// LongRunning is the number of tasks that run until their jobs are cancelled, whether they have been started or not.
	LongRunning int64 `json:"long-running"`
}

// Plus returns the sum.
func (u Usage) Plus(other Usage) Usage {
	return Usage{u.JobBytes + other.JobBytes, u.Tasks + other.Tasks, u.LongRunning + other.LongRunning}
}

// Minus returns the difference.
func (u Usage) Minus(other Usage) Usage {
	return Usage{u.JobBytes - other.JobBytes, u.Tasks - other.Tasks, u.LongRunning - other.LongRunning}
}

// Renewal is the stored value of a renewal of a lease.
type Renewal struct {
	// Held is how long the holder had held the lease at the renewal, for hosts that have not seen when it was acquired.
	Held time.Duration `json:"held"`
	// Usage is nil before the holder has loaded the jobs. Earlier versions tell only JobBytes.
	*Usage
}

func renewalKey(group string) table.Key {
	return table.Key{Table: Table, Partition: group, Name: rowRenewal}
}

// RenewWrite returns the write that renews a lease.
func RenewWrite(group string, r Renewal) table.Write {
	value := fmt.Appendf(nil, `{"held":%d}`, r.Held)
	if u := r.Usage; u != nil {
		value = fmt.Appendf(nil, `{"held":%d,"job-bytes":%d,"tasks":%d,"long-running":%d}`, r.Held, u.JobBytes, u.Tasks, u.LongRunning)
	}
	return table.Write{Key: renewalKey(group), Value: value}
}

// Renew renews a lease like RenewWrite; *LostError means that another host holds it.
func Renew(ctx context.Context, s table.Store, e Epoch, r Renewal) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.Commit(ctx, table.Tx{
		Checks: []table.Check{e.Check()},
		Writes: []table.Write{RenewWrite(e.Group, r)},
	})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return &LostError{e.Group}
	}
	return err
}
