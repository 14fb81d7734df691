package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/shard"
	"github.com/corianderdrift/corianderdrift/store"
)

// State is where a claimed run stands.
type State string

// The states of a claim.
const (
	Claimed State = "claimed"
	Done    State = "done"
	NotRun  State = "not-run"
	Unknown State = "unknown"
	Failed  State = "failed"
)

const (
	claimTimeout = 2 * time.Second
	cleanupPause = 500 * time.Millisecond
	inlineAnswer = 32 << 10
	recordKept   = 30 * time.Second
)

// Answer is the whole answer of a claimed run.
type Answer struct {
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Worker      string `json:"worker,omitempty"`
	// Object is where a large body is kept.
	Object string `json:"object,omitempty"`
}

// Row is the claim as the table keeps it.
type Row struct {
	Task   string        `json:"task"`
	Host   string        `json:"host"`
	Digest uint64        `json:"digest"`
	State  State         `json:"state"`
	Answer *Answer       `json:"answer,omitempty"`
	Reason reason.Reason `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// Key names work that must run at most once.
type Key struct {
	Owner string
	Work  string
	Key   string
}

func (k Key) row() string { return "claim/" + k.Owner + "/" + k.Work + "/" + k.Key }

// Table is the part of the platform that claims need.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Writer applies changes of rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Others asks the host that made a claim for its answer.
type Others interface {
	// FirstRun waits for the answer of a task that another host started.
	FirstRun(ctx context.Context, host, task string) (Answer, error)
}

// Stats counts claims.
type Stats interface {
	Claimed(result string)
	Replayed()
}

// Book makes and settles the claims of one host.
type Book struct {
	host   string
	table  Table
	writer Writer
	others Others
	stats  Stats
	log    logrus.FieldLogger
	live   *shard.Map[*record]
	ctx    context.Context
	// unsettled counts claims whose end is not written yet.
	unsettled *shard.Map[struct{}]
}

// record is a claim whose run this host has on its way or has just ended.
type record struct {
	done   chan struct{}
	answer Answer
	err    error
}

// NewBook returns a book of the given host whose background writes end with ctx.
func NewBook(
	ctx context.Context, host string, table Table, writer Writer, others Others, stats Stats, log logrus.FieldLogger,
) *Book {
	return &Book{
		host: host, table: table, writer: writer, others: others, stats: stats, log: log, ctx: ctx,
		live: shard.NewMap[*record](), unsettled: shard.NewMap[struct{}](),
	}
}

// Digest returns the digest by which a key's second use for other work is noticed.
func Digest(params string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(params)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Run claims the key and calls start once, or gives the answer of the run that has the key.
func (b *Book) Run(
	ctx context.Context, key Key, task string, digest uint64, start func() (Answer, error),
) (answer Answer, replayed bool, err error) {
	row := Row{Task: task, Host: b.host, Digest: digest, State: Claimed}
	version := uint64(0)
	for {
		mine := &record{done: make(chan struct{})}
		b.live.Put(task, mine)
		written, err := b.write(ctx, key, row, version, claimTimeout)
		if err == nil {
			b.stats.Claimed("made")
			answer, err := b.runClaimed(key, row, written, mine, start)
			return answer, false, err
		}
		b.live.Delete(task)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			b.stats.Claimed("store-unavailable")
			b.unsettled.Put(task, struct{}{})
			go b.disown(key, row, version)
			refusal := reason.Refuse(reason.StoreUnavailable, "the claim could not be written")
			refusal.RetryAfter = claimTimeout
			return Answer{}, false, refusal
		}
		first, again, err := b.second(ctx, conflict.Rows[0], digest)
		if again == 0 {
			b.stats.Claimed("found")
			return first, err == nil, err
		}
		version = again
	}
}

// write changes the claim's row if it still has the given version.
func (b *Book) write(ctx context.Context, key Key, row Row, version uint64, limit time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	return b.writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: key.row(), Version: version}},
		Writes: []store.Write{{Key: key.row(), Value: value}},
	})
}

func (b *Book) runClaimed(key Key, row Row, version uint64, mine *record, start func() (Answer, error)) (Answer, error) {
	b.unsettled.Put(row.Task, struct{}{})
	mine.answer, mine.err = start()
	close(mine.done)
	go b.settle(key, row, version, mine)
	return mine.answer, mine.err
}

// settle writes how a run ended, for whoever sends the key again.
func (b *Book) settle(key Key, row Row, version uint64, mine *record) {
	defer b.unsettled.Delete(row.Task)
	row = ended(row, mine)
	for b.ctx.Err() == nil {
		if row.Answer != nil && len(row.Answer.Body) > inlineAnswer {
			object := "claim/" + row.Task
			if err := b.table.PutObject(b.ctx, object, row.Answer.Body); err != nil {
				clock.Pause(b.ctx, cleanupPause)
				continue
			}
			row.Answer = &Answer{ContentType: row.Answer.ContentType, Worker: row.Answer.Worker, Object: object}
		}
		_, err := b.write(b.ctx, key, row, version, claimTimeout)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			break
		}
		clock.Pause(b.ctx, cleanupPause)
	}
	time.AfterFunc(recordKept, func() { b.live.Delete(row.Task) })
}

func ended(row Row, mine *record) Row {
	if mine.err == nil {
		row.State, row.Answer = Done, &mine.answer
		return row
	}
	refusal := reason.From(mine.err)
	row.Reason, row.Detail = refusal.Reason, refusal.Detail
	switch refusal.Outcome {
	case reason.NotRun:
		row.State = NotRun
	case reason.Failed:
		row.State = Failed
	default:
		row.State = Unknown
	}
	return row
}

// disown takes back a claim that may have been written although no answer said so; its work was never started.
func (b *Book) disown(key Key, row Row, version uint64) {
	defer b.unsettled.Delete(row.Task)
	row.State, row.Reason = NotRun, reason.StoreUnavailable
	for b.ctx.Err() == nil {
		// Writing over the version that was read before also keeps the lost write from landing later.
		_, err := b.write(b.ctx, key, row, version, claimTimeout)
		if err == nil {
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			var found Row
			current := conflict.Rows[0]
			if json.Unmarshal(current.Value, &found) != nil || found.Task != row.Task || found.State != Claimed {
				return
			}
			version = current.Version
			continue
		}
		clock.Pause(b.ctx, cleanupPause)
	}
}

// second answers a sender whose key has been claimed before; a non-zero version says that the claim may be made anew over it.
func (b *Book) second(ctx context.Context, current store.Row, digest uint64) (Answer, uint64, error) {
	var found Row
	if err := json.Unmarshal(current.Value, &found); err != nil {
		return Answer{}, 0, reason.Uncertain(reason.Internal, "the claim can't be read: %v", err)
	}
	if found.Digest != digest {
		return Answer{}, 0, reason.Refuse(reason.KeyReused, "the idempotency key was used for other work")
	}
	switch found.State {
	case NotRun:
		return Answer{}, current.Version, nil
	case Done:
		answer, err := b.stored(ctx, *found.Answer)
		if err == nil {
			b.stats.Replayed()
		}
		return answer, 0, err
	case Failed:
		return Answer{}, 0, reason.Fail(found.Reason, "the first run failed: %s", found.Detail)
	case Unknown:
		return Answer{}, 0, reason.Uncertain(reason.FirstRunUnknown, "what became of the first run is not known: %s", found.Reason)
	}
	answer, err := b.firstRun(ctx, found)
	if err == nil {
		b.stats.Replayed()
	}
	return answer, 0, err
}

func (b *Book) stored(ctx context.Context, answer Answer) (Answer, error) {
	if answer.Object == "" {
		return answer, nil
	}
	body, err := b.table.GetObject(ctx, answer.Object)
	if err != nil {
		return Answer{}, reason.Uncertain(reason.StoreUnavailable, "the first run is done, its answer can't be read now")
	}
	answer.Body, answer.Object = body, ""
	return answer, nil
}

func (b *Book) firstRun(ctx context.Context, found Row) (Answer, error) {
	if found.Host != b.host {
		return b.others.FirstRun(ctx, found.Host, found.Task)
	}
	answer, ok, err := b.Wait(ctx, found.Task)
	if !ok {
		return Answer{}, reason.Uncertain(reason.FirstRunUnknown, "the first run has left no record here")
	}
	return answer, err
}

// Wait waits for the end of a run that this host claimed; ok is false if it knows of none.
func (b *Book) Wait(ctx context.Context, task string) (answer Answer, ok bool, err error) {
	r, ok := b.live.Get(task)
	if !ok {
		return Answer{}, false, nil
	}
	select {
	case <-r.done:
		return r.answer, true, r.err
	case <-ctx.Done():
		return Answer{}, true, reason.Uncertain(reason.KeyInUse, "the first run is still on its way")
	}
}

// Unsettled returns the number of runs whose end is not written yet.
func (b *Book) Unsettled() int { return b.unsettled.Len() }
