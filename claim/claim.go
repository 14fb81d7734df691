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

// State is the state of a claim.
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
	claimTimeout    = 2 * time.Second
	writeRetryPause = 500 * time.Millisecond
	maxInlineAnswer = 32 << 10
	endedRunTTL     = 30 * time.Second
)

// Answer is the complete answer of a claimed run.
type Answer struct {
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Worker      string `json:"worker,omitempty"`
	// Object is the key of a large body in the object store.
	Object string `json:"object,omitempty"`
}

// Row is the row of a claim in the table.
type Row struct {
	Task   string        `json:"task"`
	Host   string        `json:"host"`
	Digest uint64        `json:"digest"`
	State  State         `json:"state"`
	Answer *Answer       `json:"answer,omitempty"`
	Reason reason.Reason `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// Key identifies work that must run at most once.
type Key struct {
	Owner string
	Work  string
	Key   string
}

func (k Key) row() string { return "claim/" + k.Owner + "/" + k.Work + "/" + k.Key }

// Table reads rows and stores objects on the platform.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Writer applies conditional writes to rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Peers queries other hosts for the answers of their claims.
type Peers interface {
	// FirstRun waits for the answer of a task that another host started.
	FirstRun(ctx context.Context, host, task string) (Answer, error)
}

// Stats counts claims and replayed answers.
type Stats interface {
	Claimed(result string)
	Replayed()
}

// Registry makes the claims of one host and writes their outcomes.
type Registry struct {
	host   string
	table  Table
	writer Writer
	peers  Peers
	stats  Stats
	log    logrus.FieldLogger
	runs   *shard.Map[*run]
	ctx    context.Context
	// unwritten holds the tasks of claims whose outcome is not written yet.
	unwritten *shard.Map[struct{}]
}

// run is the run of a claim that is in progress on this host or has ended recently.
type run struct {
	ended  chan struct{}
	answer Answer
	err    error
}

// NewRegistry returns the registry of the given host; its background writes end with ctx.
func NewRegistry(
	ctx context.Context, host string, table Table, writer Writer, peers Peers, stats Stats, log logrus.FieldLogger,
) *Registry {
	return &Registry{
		host: host, table: table, writer: writer, peers: peers, stats: stats, log: log, ctx: ctx,
		runs: shard.NewMap[*run](), unwritten: shard.NewMap[struct{}](),
	}
}

// Digest returns the digest that detects the reuse of a key for other work.
func Digest(params string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(params)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Run claims the key and calls execute once, or returns the answer of the run that already holds the key.
func (r *Registry) Run(
	ctx context.Context, key Key, task string, digest uint64, execute func() (Answer, error),
) (answer Answer, replayed bool, err error) {
	row := Row{Task: task, Host: r.host, Digest: digest, State: Claimed}
	version := uint64(0)
	for {
		own := &run{ended: make(chan struct{})}
		r.runs.Put(task, own)
		written, err := r.write(ctx, key, row, version, claimTimeout)
		if err == nil {
			r.stats.Claimed("made")
			answer, err := r.executeClaimed(key, row, written, own, execute)
			return answer, false, err
		}
		r.runs.Delete(task)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			r.stats.Claimed("store-unavailable")
			r.unwritten.Put(task, struct{}{})
			go r.revoke(key, row, version)
			refusal := reason.Refuse(reason.StoreUnavailable, "the claim could not be written")
			refusal.RetryAfter = claimTimeout
			return Answer{}, false, refusal
		}
		first, newVersion, err := r.answerRepeated(ctx, conflict.Rows[0], digest)
		if newVersion == 0 {
			r.stats.Claimed("found")
			return first, err == nil, err
		}
		version = newVersion
	}
}

// write changes the claim's row if it still has the given version.
func (r *Registry) write(ctx context.Context, key Key, row Row, version uint64, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	return r.writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: key.row(), Version: version}},
		Writes: []store.Write{{Key: key.row(), Value: value}},
	})
}

func (r *Registry) executeClaimed(key Key, row Row, version uint64, own *run, execute func() (Answer, error)) (Answer, error) {
	r.unwritten.Put(row.Task, struct{}{})
	own.answer, own.err = execute()
	close(own.ended)
	go r.writeOutcome(key, row, version, own)
	return own.answer, own.err
}

// writeOutcome writes how a run ended, so that a repeated request with the same key gets the same answer.
func (r *Registry) writeOutcome(key Key, row Row, version uint64, own *run) {
	defer r.unwritten.Delete(row.Task)
	row = outcomeRow(row, own)
	for r.ctx.Err() == nil {
		if row.Answer != nil && len(row.Answer.Body) > maxInlineAnswer {
			object := "claim/" + row.Task
			if err := r.table.PutObject(r.ctx, object, row.Answer.Body); err != nil {
				clock.Pause(r.ctx, writeRetryPause)
				continue
			}
			row.Answer = &Answer{ContentType: row.Answer.ContentType, Worker: row.Answer.Worker, Object: object}
		}
		_, err := r.write(r.ctx, key, row, version, claimTimeout)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			break
		}
		clock.Pause(r.ctx, writeRetryPause)
	}
	time.AfterFunc(endedRunTTL, func() { r.runs.Delete(row.Task) })
}

// outcomeRow returns the claim's row with the outcome of its run.
func outcomeRow(row Row, own *run) Row {
	if own.err == nil {
		row.State, row.Answer = Done, &own.answer
		return row
	}
	refusal := reason.From(own.err)
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

// revoke marks a claim as not run whose write failed but may have taken effect; its work was never started.
func (r *Registry) revoke(key Key, row Row, version uint64) {
	defer r.unwritten.Delete(row.Task)
	row.State, row.Reason = NotRun, reason.StoreUnavailable
	for r.ctx.Err() == nil {
		// Writing against the same version also prevents the lost write from taking effect later.
		_, err := r.write(r.ctx, key, row, version, claimTimeout)
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
		clock.Pause(r.ctx, writeRetryPause)
	}
}

// answerRepeated answers a request whose key has been claimed before. A non-zero version means that the earlier work was
// not run and the row may be claimed again at that version.
func (r *Registry) answerRepeated(ctx context.Context, current store.Row, digest uint64) (Answer, uint64, error) {
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
		answer, err := r.loadAnswer(ctx, *found.Answer)
		if err == nil {
			r.stats.Replayed()
		}
		return answer, 0, err
	case Failed:
		return Answer{}, 0, reason.Fail(found.Reason, "the first run failed: %s", found.Detail)
	case Unknown:
		return Answer{}, 0, reason.Uncertain(reason.FirstRunUnknown, "what became of the first run is not known: %s", found.Reason)
	}
	answer, err := r.waitFirstRun(ctx, found)
	if err == nil {
		r.stats.Replayed()
	}
	return answer, 0, err
}

// loadAnswer reads the answer's body if it is in the object store.
func (r *Registry) loadAnswer(ctx context.Context, answer Answer) (Answer, error) {
	if answer.Object == "" {
		return answer, nil
	}
	body, err := r.table.GetObject(ctx, answer.Object)
	if err != nil {
		return Answer{}, reason.Uncertain(reason.StoreUnavailable, "the first run is done, its answer can't be read now")
	}
	answer.Body, answer.Object = body, ""
	return answer, nil
}

func (r *Registry) waitFirstRun(ctx context.Context, found Row) (Answer, error) {
	if found.Host != r.host {
		return r.peers.FirstRun(ctx, found.Host, found.Task)
	}
	answer, ok, err := r.Wait(ctx, found.Task)
	if !ok {
		return Answer{}, reason.Uncertain(reason.FirstRunUnknown, "the first run has left no record here")
	}
	return answer, err
}

// Wait waits for the end of a run that this host claimed; ok is false if it has no record of the run.
func (r *Registry) Wait(ctx context.Context, task string) (answer Answer, ok bool, err error) {
	own, ok := r.runs.Get(task)
	if !ok {
		return Answer{}, false, nil
	}
	select {
	case <-own.ended:
		return own.answer, true, own.err
	case <-ctx.Done():
		return Answer{}, true, reason.Uncertain(reason.KeyInUse, "the first run is still on its way")
	}
}

// NumUnwritten returns the number of claims whose outcome is not written yet.
func (r *Registry) NumUnwritten() int { return r.unwritten.Len() }
