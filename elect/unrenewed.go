package elect

import (
	"encoding/json"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// Unrenewed is a holder's durable record of the workers whose leases it does not renew, with the times for which runs may be active there.
type Unrenewed struct {
	Token   uint64              `json:"token"`
	Workers []UnconfirmedWorker `json:"workers"`
}

// UnrenewedKey returns the key of a group's record of unrenewed workers.
func UnrenewedKey(group string) table.Key {
	return table.Key{Table: Table, Partition: group, Name: rowUnrenewed}
}

// seenRecord is a record of a holder as a view has seen it: with its version, and when it was first seen.
type seenRecord[T any] struct {
	record  T
	version uint64
	seenAt  time.Time
}

// apply stores a newer record. Of one that can't be decoded, only the version counts.
func (s *seenRecord[T]) apply(r table.Row, now time.Time) error {
	*s = seenRecord[T]{version: r.Version, seenAt: now}
	return json.Unmarshal(r.Value, &s.record)
}

// unconfirmed returns the workers that the last holder could not reach, or that were idle, and since when their remaining times count, by the
// newest source: the released lease, the holder's record, or what it has inherited.
func (s *leaseState) unconfirmed() (list []UnconfirmedWorker, since time.Time) {
	switch {
	case s.epoch.Holder == "":
		return s.epoch.Unconfirmed, s.epochSeenAt
	case s.unrenewed.record.Token == s.epoch.Token:
		return s.unrenewed.record.Workers, s.unrenewed.seenAt
	default:
		return s.epoch.Inherited, s.epochSeenAt
	}
}

func (s *leaseState) unconfirmedUntil() map[string]time.Time {
	list, since := s.unconfirmed()
	until := make(map[string]time.Time, len(list))
	for _, u := range list {
		until[u.Worker] = since.Add(u.Remaining)
	}
	return until
}

// toInherit returns the workers whose leases the next holder must not renew before it has stored its own record. Idle ones may get work at
// once.
func (s *leaseState) toInherit(now time.Time) []UnconfirmedWorker {
	list, since := s.unconfirmed()
	var inherited []UnconfirmedWorker
	for _, u := range list {
		if !u.Idle {
			inherited = append(inherited, UnconfirmedWorker{Worker: u.Worker, Remaining: max(0, since.Add(u.Remaining).Sub(now))})
		}
	}
	return inherited
}
