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

// Result is what the caller of one request got.
type Result struct {
	Arrival Arrival
	// Took is the time from the intended arrival to the whole answer.
	Took     time.Duration
	Answered bool
	// Wrong marks an answer that is not this request's.
	Wrong   bool
	Outcome reason.Outcome
	Reason  reason.Reason
	// Late is how far the sender itself lagged behind the intended arrival.
	Late time.Duration
}

// InTime reports whether the request was answered before its deadline.
func (r Result) InTime() bool {
	deadline := time.Duration(r.Arrival.TimeoutMillis) * time.Millisecond
	return r.Answered && (deadline == 0 || r.Took <= deadline)
}

// Sender sends arrivals to entry hosts in turn.
type Sender struct {
	urls   []string
	client *http.Client
	token  string
}

// NewSender returns a sender to the entry hosts at urls.
func NewSender(urls []string, token string) *Sender {
	const idle = 2000
	return &Sender{urls: urls, token: token, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idle, MaxIdleConns: 0, DisableCompression: true,
	}}}
}

// Close drops idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Run sends all arrivals at their times, whatever the answers, and returns the results in the order of arrival.
func (s *Sender) Run(ctx context.Context, list []Arrival, progress func(sent int)) []Result {
	results := make([]Result, len(list))
	var wg sync.WaitGroup
	started := time.Now()
	for i, a := range list {
		at := started.Add(time.Duration(a.AtMicros) * time.Microsecond)
		if wait := time.Until(at); wait > 0 {
			clock.Pause(ctx, wait)
		}
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		if progress != nil {
			progress(i)
		}
		wg.Go(func() { results[i] = s.send(ctx, i, a, at) })
	}
	wg.Wait()
	return results
}

func (s *Sender) send(ctx context.Context, i int, a Arrival, at time.Time) Result {
	r := Result{Arrival: a, Late: time.Since(at), Outcome: reason.Unknown}
	ctx, cancel := s.callContext(ctx, a)
	defer cancel()
	body := make([]byte, max(8, a.Bytes))
	binary.LittleEndian.PutUint64(body, uint64(i))
	url := s.urls[i%len(s.urls)] + "/v1/run/" + a.Work
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return r
	}
	s.headers(req, a)
	resp, err := s.client.Do(req)
	if err != nil {
		r.Took = time.Since(at)
		return r
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	r.Took = time.Since(at)
	if err != nil {
		return r
	}
	if resp.StatusCode/100 == 2 {
		r.Answered, r.Outcome = true, ""
		r.Wrong = resp.StatusCode == http.StatusOK && !bytes.Equal(answer, body)
		return r
	}
	var problem front.Problem
	if json.Unmarshal(answer, &problem) == nil {
		r.Outcome, r.Reason = problem.Outcome, problem.Reason
	}
	return r
}

func (s *Sender) callContext(ctx context.Context, a Arrival) (context.Context, context.CancelFunc) {
	if a.LeaveMicros > 0 {
		return context.WithTimeout(ctx, time.Duration(a.LeaveMicros)*time.Microsecond)
	}
	return context.WithCancel(ctx)
}

func (s *Sender) headers(req *http.Request, a Arrival) {
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
