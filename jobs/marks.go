package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

const (
	// cancelMarkTTL is how long the mark of a cancelled ID without a job is kept: several times longer than the table may take to perform a
	// write, so that no earlier submission is stored after it.
	cancelMarkTTL = 30 * time.Second
	// maxSweepMarks is the maximum number of marks that are removed after one scan.
	maxSweepMarks = 256
	markPrefix    = "mark/"
)

// cancelMark is the row of an ID that was cancelled while no job was stored under it. It has the key of the finished job, whose absence is a
// condition for storing a job; hosts of earlier versions read it as a cancelled job of nobody.
type cancelMark struct {
	State State `json:"state"`
	// Callers are those who cancelled the ID; see Config.MayCancel.
	Callers []string `json:"cancelled-by"`
	// WriteID is unique to each write, so that a write whose response was lost can be recognised.
	WriteID string `json:"writer"`
}

// markIndexKey returns the key of the row by which a shard's leader finds a mark; the two rows are written and removed together.
func markIndexKey(id string) string { return fmt.Sprintf("%s%02d/%s", markPrefix, ShardOf(id), id) }

func markShardPrefix(shard int) string { return fmt.Sprintf("%s%02d/", markPrefix, shard) }

// findMark returns the mark among the rows of an ID, and its row.
func findMark(id string, rows []store.Row) (cancelMark, store.Row, bool) {
	for _, row := range rows {
		var mark cancelMark
		if row.Key == finishedKey(id) && row.Version > 0 && json.Unmarshal(row.Value, &mark) == nil && len(mark.Callers) > 0 {
			return mark, row, true
		}
	}
	return cancelMark{}, store.Row{}, false
}

// CancelUnknown cancels an ID under which no job is stored on behalf of a caller: a submission that the table performs later is not stored.
// The result then is a refusal with the reason no-such-job; it is nil if a job is stored under the ID.
func (m *Manager) CancelUnknown(ctx context.Context, id, caller string) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		rows, err := m.table.Read(ctx, store.Query{Keys: []string{rowKey(id), finishedKey(id)}})
		if err != nil {
			return reason.Uncertain(reason.StoreUnavailable, "job %s can't be read; it may be stored later", id)
		}
		mark, row, marked := findMark(id, rows)
		if len(rows) > 0 && !marked {
			return nil
		}
		// An existing mark is written again, since it may be about to expire.
		err = m.writeMark(ctx, id, caller, mark.Callers, row.Version)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return noSuchJob(id)
		case !errors.As(err, &conflict):
			return reason.Uncertain(reason.StoreUnavailable, "the cancellation may not have been stored, and job %s may be stored later", id)
		}
	}
}

func (m *Manager) writeMark(ctx context.Context, id, caller string, others []string, version uint64) error {
	mark := cancelMark{State: Cancelled, Callers: others, WriteID: uuid.NewString()}
	if !slices.Contains(others, caller) {
		mark.Callers = append(slices.Clone(others), caller)
	}
	value, err := json.Marshal(mark)
	if err != nil {
		return err
	}
	index, err := json.Marshal(mark.WriteID)
	if err != nil {
		return err
	}
	_, err = m.writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: rowKey(id)}, {Key: finishedKey(id), Version: version}},
		Writes: []store.Write{{Key: finishedKey(id), Value: value}, {Key: markIndexKey(id), Value: index}},
	})
	return err
}

// bindsOwner reports whether one of the mark's callers may cancel jobs of an owner.
func (m *Manager) bindsOwner(mark cancelMark, owner string) bool {
	return m.mayCancel == nil || slices.ContainsFunc(mark.Callers, func(caller string) bool { return m.mayCancel(owner, caller) })
}

// sightedMark is a version of a mark and when this host first saw it.
type sightedMark struct {
	version uint64
	at      time.Time
}

// sweepMarks removes marks that have expired; index holds the index rows of all marks of the given shards.
func (m *Manager) sweepMarks(ctx context.Context, wg *sync.WaitGroup, shards []int, index []store.Row) {
	now := time.Now()
	sighted := map[string]sightedMark{}
	numDue := 0
	for _, row := range index {
		id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
		mark, ok := m.marks[id]
		if !ok || mark.version != row.Version {
			mark = sightedMark{version: row.Version, at: now}
		}
		sighted[id] = mark
		if now.Sub(mark.at) > cancelMarkTTL && numDue < maxSweepMarks {
			numDue++
			wg.Go(func() { m.removeMark(ctx, id, row.Version) })
		}
	}
	maps.DeleteFunc(m.marks, func(id string, _ sightedMark) bool {
		shard := ShardOf(id)
		return slices.Contains(shards, shard) || !m.leaders.IsLeader(shard)
	})
	maps.Copy(m.marks, sighted)
}

// removeMark removes a mark unless it was written again; a mark that stays is found again.
func (m *Manager) removeMark(ctx context.Context, id string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, _ = m.writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: finishedKey(id), Version: version}},
		Writes: []store.Write{{Key: finishedKey(id), Delete: true}, {Key: markIndexKey(id), Delete: true}},
	})
}
