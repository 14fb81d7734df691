package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/reason"
)

// documents is the catalogue of most tests.
const documents = `
kind: owner
name: desk
---
kind: owner
name: fleet
---
kind: work
name: check
owner: desk
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 10ms
timeout: 20s
---
kind: work
name: grant
owner: desk
class: request
size: {cpu-milli: 500, memory-mib: 128}
run-time: 10ms
timeout: 20s
---
kind: work
name: rolls
owner: fleet
class: batch
repeatable: true
size: {cpu-milli: 1000, memory-mib: 512}
run-time: 100ms
---
kind: work
name: survey
owner: fleet
class: gang
repeatable: true
size: {cpu-milli: 2000, memory-mib: 512}
run-time: 300ms
tasks: 4
---
kind: work
name: roster
owner: desk
class: service
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
tasks: 3
`

// record is one request as its caller saw it.
type record struct {
	host    string
	work    string
	key     string
	body    []byte
	digest  string
	status  int
	answer  []byte
	header  http.Header
	problem front.Problem
	err     error
	began   time.Time
	ended   time.Time
}

func (r record) answered() bool { return r.err == nil && r.status == http.StatusOK }

// book holds the records of a test.
type book struct {
	mu      sync.Mutex
	records []record
}

func (b *book) add(r record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, r)
}

func (b *book) all() []record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]record(nil), b.records...)
}

// send sends one request and keeps its record.
func (cl *cluster) send(ctx context.Context, h *host, work, key, params string, body []byte) record {
	r := record{host: h.name, work: work, key: key, body: body, digest: fakes.Digest(body), began: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/v1/run/"+work, bytes.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	req.Header.Set("Work-Params", params)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := cl.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		r.status, r.header = resp.StatusCode, resp.Header
		var answer bytes.Buffer
		_, err = answer.ReadFrom(resp.Body)
		r.answer = answer.Bytes()
	}
	r.err, r.ended = err, time.Now()
	if err == nil && r.status != http.StatusOK {
		_ = json.Unmarshal(r.answer, &r.problem)
	}
	return r
}

// uniqueBody returns a body that no other request has.
func uniqueBody(rng *rand.Rand, size int) []byte {
	body := make([]byte, max(size, 16))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// checkAnswers checks that every answer is whole and belongs to its request, and that "not run" is true.
func checkAnswers(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	started := map[string]int{}
	for _, e := range events {
		if e.Kind == fakes.EventStart {
			started[e.Digest]++
		}
	}
	for _, r := range records {
		switch {
		case r.answered():
			c.Check(bytes.Equal(r.answer, r.body), qt.IsTrue, qt.Commentf("%s via %s got another answer", r.work, r.host))
			c.Check(started[r.digest] > 0, qt.IsTrue, qt.Commentf("%s was answered and never started", r.work))
		case r.problem.Outcome == reason.NotRun:
			c.Check(started[r.digest], qt.Equals, 0, qt.Commentf("%s was said not to run: %s", r.work, r.problem.Detail))
		}
	}
}

// checkOnce checks that nothing with a key started twice.
func checkOnce(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	keyed := map[string]string{}
	for _, r := range records {
		if r.key != "" {
			keyed[r.digest] = r.key
		}
	}
	starts := map[string]int{}
	for _, e := range events {
		if _, ok := keyed[e.Digest]; ok && e.Kind == fakes.EventStart {
			starts[e.Digest]++
		}
	}
	for digest, n := range starts {
		c.Check(n, qt.Equals, 1, qt.Commentf("key %s started %d times", keyed[digest], n))
	}
}

// span is the time in which a task ran on a worker.
type span struct {
	task, worker string
	from, to     int64
}

// checkPlaces checks that no worker was over its capacity and that no task ran in two places at once.
func checkPlaces(c *qt.C, events []fakes.Event) {
	c.Helper()
	open := map[string]span{}
	spans := map[string][]span{}
	starts := map[string]int{}
	for _, e := range events {
		id := e.Worker + " " + e.Task
		switch e.Kind {
		case fakes.EventOver:
			c.Errorf("worker %s was over: %s %s", e.Worker, e.Task, e.Detail)
		case fakes.EventStart:
			starts[e.Task]++
			open[id] = span{task: e.Task, worker: e.Worker, from: e.UnixNanos, to: 1 << 62}
		case fakes.EventEnd:
			if s, ok := open[id]; ok {
				s.to = e.UnixNanos
				spans[logical(e.Task)] = append(spans[logical(e.Task)], s)
				delete(open, id)
			}
		}
	}
	for _, s := range open {
		spans[logical(s.task)] = append(spans[logical(s.task)], s)
	}
	for task, n := range starts {
		c.Check(n, qt.Equals, 1, qt.Commentf("attempt %s started %d times:%s", task, n, history(events, task)))
	}
	for task, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].from < list[j].from })
		for i := 1; i < len(list); i++ {
			c.Check(list[i-1].to <= list[i].from, qt.IsTrue, qt.Commentf(
				"task %s ran on %s and %s at once", task, list[i-1].worker, list[i].worker))
		}
	}
}

// history lists what the workers logged of an attempt.
func history(events []fakes.Event, task string) string {
	var b strings.Builder
	for _, e := range events {
		if e.Task == task {
			fmt.Fprintf(&b, "\n  %s %s on %s by %s, epoch %d %s %s",
				time.Unix(0, e.UnixNanos).Format("05.000"), e.Kind, e.Worker, e.Holder, e.Epoch, e.State, e.Detail)
		}
	}
	return b.String()
}

// logical returns what the attempts of a task have in common: jobs have job.task.attempt, requests task or task.attempt.
func logical(task string) string {
	parts := strings.Split(task, ".")
	return strings.Join(parts[:min(len(parts), max(1, len(parts)-1))], ".")
}

// checkAll checks the promises that hold whatever happens.
func (cl *cluster) checkAll(records []record) []fakes.Event {
	cl.c.Helper()
	events := cl.settled()
	checkAnswers(cl.c, records, events)
	checkOnce(cl.c, records, events)
	checkPlaces(cl.c, events)
	return events
}

// summary counts records by what their callers were told.
func summary(records []record) string {
	counts := map[string]int{}
	for _, r := range records {
		switch {
		case r.answered():
			counts["answered"]++
		case r.err != nil:
			counts["connection lost"]++
		default:
			counts[fmt.Sprintf("%s/%s", r.problem.Outcome, r.problem.Reason)]++
		}
	}
	var lines []string
	for what, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", what, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, ", ")
}

// load sends requests from several callers until stop is closed.
func (cl *cluster) load(b *book, callers int, stop <-chan struct{}, next func(caller, i int) record) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				b.add(next(caller, i))
			}
		})
	}
	return &wg
}
