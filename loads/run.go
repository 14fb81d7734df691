package loads

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/reason"
)

// Result is the result of a request as its caller sees it.
type Result struct {
	Arrival Arrival
	// Latency is the time from the intended arrival until the answer is complete.
	Latency  time.Duration
	Answered bool
	// Mismatched marks an answer that belongs to another request.
	Mismatched bool
	Outcome    reason.Outcome
	Reason     reason.Reason
	// SendDelay is the time from the intended arrival until the request was sent.
	SendDelay time.Duration
}

// InTime reports whether the request was answered before its deadline.
func (r Result) InTime() bool {
	deadline := time.Duration(r.Arrival.TimeoutMillis) * time.Millisecond
	return r.Answered && (deadline == 0 || r.Latency <= deadline)
}

// Sender sends requests to the entry hosts in round-robin order.
type Sender struct {
	urls   []string
	client *http.Client
	token  string
}

// NewSender returns a sender for the entry hosts at urls.
func NewSender(urls []string, token string) *Sender {
	const maxIdlePerHost = 2000
	return &Sender{urls: urls, token: token, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost, MaxIdleConns: 0, DisableCompression: true,
	}}}
}

// Close closes idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Run sends each request at its arrival time without waiting for earlier answers.
// It returns the results in the order of arrival.
func (s *Sender) Run(ctx context.Context, arrivals []Arrival, progress func(sent int)) []Result {
	results := make([]Result, len(arrivals))
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i, a := range arrivals {
		dueAt := startedAt.Add(time.Duration(a.AtMicros) * time.Microsecond)
		if wait := time.Until(dueAt); wait > 0 {
			clock.Pause(ctx, wait)
		}
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		if progress != nil {
			progress(i)
		}
		wg.Go(func() { results[i] = s.send(ctx, i, a, dueAt) })
	}
	wg.Wait()
	return results
}

func (s *Sender) send(ctx context.Context, i int, a Arrival, dueAt time.Time) Result {
	r := Result{Arrival: a, SendDelay: time.Since(dueAt), Outcome: reason.Unknown}
	ctx, cancel := s.requestContext(ctx, a)
	defer cancel()
	body := make([]byte, max(8, a.Bytes))
	binary.LittleEndian.PutUint64(body, uint64(i))
	url := s.urls[i%len(s.urls)] + "/v1/run/" + a.Work
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return r
	}
	s.setHeaders(req, a)
	resp, err := s.client.Do(req)
	if err != nil {
		r.Latency = time.Since(dueAt)
		return r
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	r.Latency = time.Since(dueAt)
	if err != nil {
		return r
	}
	if resp.StatusCode/100 == 2 {
		r.Answered, r.Outcome = true, ""
		r.Mismatched = resp.StatusCode == http.StatusOK && !bytes.Equal(answer, body)
		return r
	}
	var problem front.Problem
	if json.Unmarshal(answer, &problem) == nil {
		r.Outcome, r.Reason = problem.Outcome, problem.Reason
	}
	return r
}

func (s *Sender) requestContext(ctx context.Context, a Arrival) (context.Context, context.CancelFunc) {
	if a.CancelAfterMicros > 0 {
		return context.WithTimeout(ctx, time.Duration(a.CancelAfterMicros)*time.Microsecond)
	}
	return context.WithCancel(ctx)
}

func (s *Sender) setHeaders(req *http.Request, a Arrival) {
	req.Header.Set("Work-Params", a.Params)
	if a.TimeoutMillis > 0 {
		req.Header.Set("Request-Timeout", strconv.FormatInt(a.TimeoutMillis, 10)+"ms")
	}
	if a.Keyed {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
}
