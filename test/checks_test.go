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

// testDocuments is the catalogue that most tests use.
const testDocuments = `
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

// record is one request and its result as seen by the caller.
type record struct {
	host      string
	work      string
	key       string
	body      []byte
	digest    string
	status    int
	respBody  []byte
	header    http.Header
	problem   front.Problem
	err       error
	startedAt time.Time
	endedAt   time.Time
}

func (r record) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

// requestLog collects the requests of a test.
type requestLog struct {
	mu      sync.Mutex
	records []record
}

func (l *requestLog) add(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *requestLog) all() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record(nil), l.records...)
}

// send sends one request and returns its record.
func (cl *cluster) send(ctx context.Context, h *host, work, key, params string, body []byte) record {
	r := record{host: h.name, work: work, key: key, body: body, digest: fakes.Digest(body), startedAt: time.Now()}
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
		var respBody bytes.Buffer
		_, err = respBody.ReadFrom(resp.Body)
		r.respBody = respBody.Bytes()
	}
	r.err, r.endedAt = err, time.Now()
	if err == nil && r.status != http.StatusOK {
		_ = json.Unmarshal(r.respBody, &r.problem)
	}
	return r
}

// uniqueBody returns a random body, so that its digest identifies the request.
func uniqueBody(rng *rand.Rand, size int) []byte {
	body := make([]byte, max(size, 16))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// checkResponses checks that every successful response is complete and belongs to its request,
// and that no request with the outcome "not run" was started.
func checkResponses(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	starts := map[string]int{}
	for _, e := range events {
		if e.Kind == fakes.EventStart {
			starts[e.Digest]++
		}
	}
	for _, r := range records {
		switch {
		case r.succeeded():
			c.Check(bytes.Equal(r.respBody, r.body), qt.IsTrue, qt.Commentf("%s via %s: response differs from the request body", r.work, r.host))
			c.Check(starts[r.digest] > 0, qt.IsTrue, qt.Commentf("%s succeeded but was never started", r.work))
		case r.problem.Outcome == reason.NotRun:
			c.Check(starts[r.digest], qt.Equals, 0, qt.Commentf("%s was reported as not run but started: %s", r.work, r.problem.Detail))
		}
	}
}

// checkKeysStartOnce checks that no request with an idempotency key started twice.
func checkKeysStartOnce(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	keys := map[string]string{}
	for _, r := range records {
		if r.key != "" {
			keys[r.digest] = r.key
		}
	}
	starts := map[string]int{}
	for _, e := range events {
		if _, ok := keys[e.Digest]; ok && e.Kind == fakes.EventStart {
			starts[e.Digest]++
		}
	}
	for digest, n := range starts {
		c.Check(n, qt.Equals, 1, qt.Commentf("key %s started %d times", keys[digest], n))
	}
}

// span is the time during which a task ran on a worker.
type span struct {
	task, worker         string
	startNanos, endNanos int64
}

// checkPlacement checks that no worker exceeded its capacity, that no attempt started twice
// and that no task ran twice at the same time.
func checkPlacement(c *qt.C, events []fakes.Event) {
	c.Helper()
	openSpans := map[string]span{}
	spans := map[string][]span{}
	starts := map[string]int{}
	for _, e := range events {
		runKey := e.Worker + " " + e.Task
		switch e.Kind {
		case fakes.EventOverCapacity:
			c.Errorf("worker %s exceeded its capacity: %s %s", e.Worker, e.Task, e.Detail)
		case fakes.EventStart:
			starts[e.Task]++
			openSpans[runKey] = span{task: e.Task, worker: e.Worker, startNanos: e.UnixNanos, endNanos: 1 << 62}
		case fakes.EventEnd:
			if s, ok := openSpans[runKey]; ok {
				s.endNanos = e.UnixNanos
				spans[taskID(e.Task)] = append(spans[taskID(e.Task)], s)
				delete(openSpans, runKey)
			}
		}
	}
	for _, s := range openSpans {
		spans[taskID(s.task)] = append(spans[taskID(s.task)], s)
	}
	for attempt, n := range starts {
		c.Check(n, qt.Equals, 1, qt.Commentf("attempt %s started %d times:%s", attempt, n, attemptHistory(events, attempt)))
	}
	for task, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].startNanos < list[j].startNanos })
		for i := 1; i < len(list); i++ {
			c.Check(list[i-1].endNanos <= list[i].startNanos, qt.IsTrue, qt.Commentf(
				"task %s ran on %s and %s at the same time", task, list[i-1].worker, list[i].worker))
		}
	}
}

// attemptHistory lists the events that the workers logged for an attempt.
func attemptHistory(events []fakes.Event, attempt string) string {
	var b strings.Builder
	for _, e := range events {
		if e.Task == attempt {
			fmt.Fprintf(&b, "\n  %s %s on %s by %s, epoch %d %s %s",
				time.Unix(0, e.UnixNanos).Format("05.000"), e.Kind, e.Worker, e.Holder, e.Epoch, e.State, e.Detail)
		}
	}
	return b.String()
}

// taskID strips the attempt number from the name of an attempt: job.task.attempt for jobs, task or task.attempt for requests.
func taskID(attempt string) string {
	parts := strings.Split(attempt, ".")
	return strings.Join(parts[:min(len(parts), max(1, len(parts)-1))], ".")
}

// checkInvariants waits until the workers are idle and checks what must hold under any failure.
func (cl *cluster) checkInvariants(records []record) []fakes.Event {
	cl.c.Helper()
	events := cl.waitIdle()
	checkResponses(cl.c, records, events)
	checkKeysStartOnce(cl.c, records, events)
	checkPlacement(cl.c, events)
	return events
}

// summary counts records by result.
func summary(records []record) string {
	counts := map[string]int{}
	for _, r := range records {
		switch {
		case r.succeeded():
			counts["answered"]++
		case r.err != nil:
			counts["connection lost"]++
		default:
			counts[fmt.Sprintf("%s/%s", r.problem.Outcome, r.problem.Reason)]++
		}
	}
	var lines []string
	for outcome, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, ", ")
}

// startLoad sends requests from several concurrent callers until stop is closed.
func (cl *cluster) startLoad(reqs *requestLog, callers int, stop <-chan struct{}, next func(caller, i int) record) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				reqs.add(next(caller, i))
			}
		})
	}
	return &wg
}
