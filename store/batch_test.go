package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/store"
)

// lossyTable is an in-memory table that loses the answers of some commits after they took effect.
type lossyTable struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	commits int
	// loseEvery is how many commits there are per lost answer; 0 loses none.
	loseEvery int
}

func (t *lossyTable) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	var conflicts []store.Row
	for _, check := range tx.Checks {
		if row := t.rows[check.Key]; row.Version != check.Version {
			row.Key = check.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, &store.ConflictError{Rows: conflicts}
	}
	t.version++
	for _, write := range tx.Writes {
		t.rows[write.Key] = store.Row{Key: write.Key, Version: t.version, Value: write.Value}
	}
	if t.loseEvery > 0 && t.commits%t.loseEvery == 0 {
		return 0, &store.UnavailableError{Op: "commit", Err: errors.New("answer lost")}
	}
	return t.version, nil
}

func runBatcher(t *testing.T, table *lossyTable) *store.Batcher {
	t.Helper()
	b := store.NewBatcher(table)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

func claimOp(key, writer string, version uint64) store.Op {
	value, _ := json.Marshal(writer)
	return store.Op{Checks: []store.Check{{Key: key, Version: version}}, Writes: []store.Write{{Key: key, Value: value}}}
}

func TestOnlyOneClaimOfKeySucceeds(t *testing.T) {
	for _, loseEvery := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("losing one answer in %d", loseEvery), func(t *testing.T) {
			c := qt.New(t)
			b := runBatcher(t, &lossyTable{rows: map[string]store.Row{}, loseEvery: loseEvery})
			var mu sync.Mutex
			winners := map[string]int{}
			var wg sync.WaitGroup
			for writer := range 8 {
				for key := range 20 {
					wg.Go(func() {
						name := fmt.Sprintf("key-%d", key)
						_, err := b.Do(context.Background(), claimOp(name, fmt.Sprint(writer), 0))
						var conflict *store.ConflictError
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							winners[name]++
						} else {
							c.Check(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
						}
					})
				}
			}
			wg.Wait()
			c.Check(winners, qt.HasLen, 20)
			for key, n := range winners {
				c.Check(n, qt.Equals, 1, qt.Commentf("%s", key))
			}
		})
	}
}

func TestConcurrentChangesShareCommit(t *testing.T) {
	c := qt.New(t)
	table := &lossyTable{rows: map[string]store.Row{}}
	b := runBatcher(t, table)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			_, err := b.Do(context.Background(), claimOp(fmt.Sprint(i), "w", 0))
			c.Check(err, qt.IsNil)
		})
	}
	wg.Wait()
	c.Check(table.commits < 100, qt.IsTrue, qt.Commentf("%d commits", table.commits))
}

// casInput is a compare-and-set of one register, as called.
type casInput struct {
	expect, value string
}

// casOutput is what the caller received: that the write was done, the value found instead, or that the write may have taken effect
// and been overwritten.
type casOutput struct {
	done    bool
	unknown bool
	actual  string
}

var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out, now := input.(casInput), output.(casOutput), state.(string)
		switch {
		case out.unknown && now == in.expect:
			return []any{now, in.value}
		case out.unknown:
			return []any{now}
		case out.done && now == in.expect:
			return []any{in.value}
		case !out.done && now == out.actual && now != in.expect:
			return []any{now}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestCompareAndSetIsLinearizableWithLostReplies(t *testing.T) {
	c := qt.New(t)
	table := &lossyTable{rows: map[string]store.Row{}, loseEvery: 3}
	b := runBatcher(t, table)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			row := store.Row{}
			for i := range 12 {
				value := fmt.Sprintf("%d-%d", client, i)
				call := time.Since(start)
				_, err := b.Do(context.Background(), claimOp("register", value, row.Version))
				in, out := casInput{valueText(row), value}, casOutput{done: err == nil}
				var conflict *store.ConflictError
				if errors.As(err, &conflict) {
					row = conflict.Rows[0]
					out.actual, out.unknown = valueText(row), conflict.Overwritten
				} else {
					table.mu.Lock()
					row = table.rows["register"]
					table.mu.Unlock()
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Output: out, Call: call.Nanoseconds(), Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.Check(porcupine.CheckOperations(register.ToModel(), history), qt.IsTrue)
}

func valueText(row store.Row) string {
	var text string
	_ = json.Unmarshal(row.Value, &text)
	return text
}
