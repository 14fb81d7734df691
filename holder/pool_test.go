package holder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/unit"
	"github.com/corianderdrift/corianderdrift/worker"
)

// testWork fills half of a test worker.
var testWork = entry.Work{
	Name: "check", Owner: "desk", Class: entry.Batch, Repeatable: true, Checkpointable: true,
	Size: unit.Size{CPUMilli: 1000, MemoryMiB: 1000}, RunTime: entry.Duration(time.Minute),
}

// noStats discards the metrics.
type noStats struct{}

func (noStats) Retry(reason.Reason)          {}
func (noStats) Started(string)               {}
func (noStats) Waited(string, time.Duration) {}
func (noStats) WorkerEvent(string)           {}
func (noStats) Preempted()                   {}

// testWorker is a fake worker that can lose replies and refuse calls.
type testWorker struct {
	*fakes.Worker
	server *httptest.Server

	mu         sync.Mutex
	losesReply func(r *http.Request) bool
	faultOf    func(r *http.Request) worker.Fault
	drops      func(r *http.Request) bool
}

func newTestWorker(c *qt.C, name string) *testWorker {
	w := &testWorker{Worker: newFakeWorker(name)}
	w.loseReplies("", "")
	w.refuseCalls("", "", "")
	w.dropCalls("")
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		drop, lose, fault := w.drops(r), w.losesReply(r), w.faultOf(r)
		handler := w.Handler()
		w.mu.Unlock()
		switch {
		case drop:
			panic(http.ErrAbortHandler)
		case fault != "":
			rw.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(rw, `{"fault":"`+string(fault)+`"}`)
		case lose:
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			handler.ServeHTTP(rw, r)
		}
	}))
	c.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
		w.Close()
	})
	return w
}

func newFakeWorker(name string) *fakes.Worker {
	return fakes.NewWorker(fakes.WorkerConfig{
		Name: name, DataCenter: "here", Rack: "r", Capacity: unit.Size{CPUMilli: 2000, MemoryMiB: 2000, Slots: 10, Connections: 10},
	})
}

// restart ends the worker's process with all its tasks and connections, and starts another one at the same address.
func (w *testWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Close()
	w.Worker = newFakeWorker(w.Worker.Log().Worker)
	w.server.CloseClientConnections()
}

// loseReplies makes the worker carry out matching calls without a reply; no call has an empty method.
func (w *testWorker) loseReplies(method, pathPart string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losesReply = func(r *http.Request) bool { return r.Method == method && strings.Contains(r.URL.Path, pathPart) }
}

// refuseCalls makes the worker refuse matching calls; no call has an empty method.
func (w *testWorker) refuseCalls(method, pathPart string, fault worker.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultOf = func(r *http.Request) worker.Fault {
		if r.Method == method && strings.Contains(r.URL.Path, pathPart) {
			return fault
		}
		return ""
	}
}

// dropCalls makes the worker close the connections of matching calls without carrying them out; no call has an empty path.
func (w *testWorker) dropCalls(pathPart string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drops = func(r *http.Request) bool { return pathPart != "" && strings.Contains(r.URL.Path, pathPart) }
}

func (w *testWorker) address() netip.AddrPort {
	return netip.MustParseAddrPort(w.server.Listener.Addr().String())
}

func newTestPool() *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := Config{Holder: "host@1", LeaseTTL: time.Minute, TaskTTL: time.Hour, ShortLimit: time.Second}
	return NewPool(cfg, learn.NewEstimator(), noStats{}, log)
}

// addWorker adds a worker that the pool should hold; the test makes the steps of its lease.
func (p *Pool) addWorker(c *qt.C, w *testWorker) *HeldWorker {
	info := Info{Name: w.Log().Worker, Address: w.address(), Rack: "r", ShouldHold: true}
	h := &HeldWorker{
		name: info.Name, client: worker.NewClient(info.Name, info.Address, netip.Addr{}), pool: p, cancel: func() {},
		wake: make(chan struct{}, 1), info: info, indexPos: -1, running: map[string]run{},
	}
	p.mu.Lock()
	p.workers[info.Name] = h
	p.mu.Unlock()
	c.Cleanup(h.client.Close)
	return h
}

// holdWorker adds a worker and acquires its lease.
func (p *Pool) holdWorker(c *qt.C, w *testWorker) *HeldWorker {
	h := p.addWorker(c, w)
	h.acquire(context.Background())
	c.Assert(p.Load().Held, qt.Contains, h.name)
	return h
}

func (p *Pool) startTask(task string) (worker.TaskState, error) {
	call := Call{Params: "run=10m", Body: bytes.Repeat([]byte("x"), 10)}
	return p.Start(context.Background(), Need{Task: task, Work: testWork}, "w", call)
}

func (p *Pool) used(h *HeldWorker) unit.Size {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.ledger.Used()
}

// Guards against starting a task in a reservation that was freed with the lease under which it was made.
func TestReservationOfLostLeaseIsNotUsed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	_, err := p.Reserve(ctx, Need{Task: "a", Work: testWork}, time.Hour)
	c.Assert(err, qt.IsNil)
	c.Assert(h.client.ReleaseLease(ctx, p.cfg.Holder, h.epoch), qt.IsNil)
	h.loseLease("test")
	h.acquire(ctx)
	for _, task := range []string{"b", "c"} {
		_, err := p.startTask(task)
		c.Assert(err, qt.IsNil)
	}
	_, err = p.startTask("a")
	c.Check(reason.Is(err, reason.WorkerRefused), qt.IsTrue, qt.Commentf("%v", err))
	for _, e := range w.Events() {
		c.Check(e.Kind, qt.Not(qt.Equals), fakes.EventOverCapacity, qt.Commentf("the start of %s exceeds the capacity", e.Task))
	}
}

// Guards against sending a request under a later lease than the one under which its capacity was allocated.
func TestGrantOfLostLeaseIsNotUsed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	call := Call{Need: Need{Task: "a", Work: testWork}, Params: "run=1ms", inFlight: &inFlightCall{}}
	g, err := p.Acquire(ctx, call.Need)
	c.Assert(err, qt.IsNil)
	c.Assert(h.client.ReleaseLease(ctx, p.cfg.Holder, h.epoch), qt.IsNil)
	h.loseLease("test")
	h.acquire(ctx)
	_, err = p.runOn(ctx, g, call)
	c.Check(reason.Is(err, reason.LeaseLost), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(w.Log().Started, qt.Equals, uint64(0))
}

// Guards against freeing the capacity of a task that may run when a repetition of its start fails.
func TestFailedRepetitionOfStartProvesNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(w *testWorker, h *HeldWorker)
	}{
		{"refused", func(w *testWorker, _ *HeldWorker) { w.refuseCalls(http.MethodPut, "/tasks/", worker.FaultLeaving) }},
		{"unreachable", func(w *testWorker, _ *HeldWorker) { w.server.Close() }},
		{"lease expired", func(_ *testWorker, h *HeldWorker) { h.lease.Lost() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWorker(c, "w")
			p := newTestPool()
			h := p.holdWorker(c, w)
			w.loseReplies(http.MethodPut, "/tasks/")
			_, err := p.startTask("a")
			c.Assert(err, qt.IsNotNil)
			c.Assert(reason.From(err).Outcome, qt.Equals, reason.Unknown)
			c.Assert(w.Log().Running, qt.Equals, 1)
			w.loseReplies("", "")
			test.fail(w, h)
			_, err = p.startTask("a")
			c.Assert(err, qt.IsNotNil)
			c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
			c.Check(p.used(h), qt.Equals, testWork.Size)
		})
	}
}

// Guards against freeing a task's capacity when one of two starts of it that were sent at once fails.
func TestOneOfTwoStartsFails(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	first, err := p.takeReservation(Need{Task: "a", Work: testWork}, "w")
	c.Assert(err, qt.IsNil)
	w.loseReplies(http.MethodPut, "/tasks/")
	_, err = p.startTask("a")
	c.Assert(err, qt.IsNotNil)
	c.Assert(reason.From(err).Outcome, qt.Equals, reason.Unknown)
	err = p.startFailed(first, &worker.UnreachableError{Worker: "w"})
	c.Assert(err, qt.IsNotNil)
	c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
	c.Check(p.used(h), qt.Equals, testWork.Size)
}

// Guards against keeping the capacity of a task whose only start was refused.
func TestRefusedStartFreesCapacity(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	w.refuseCalls(http.MethodPut, "/tasks/", worker.FaultLeaving)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNotNil)
	c.Check(reason.From(err).Outcome, qt.Equals, reason.NotRun, qt.Commentf("%v", err))
	c.Check(p.used(h), qt.Equals, unit.Size{})
}

// Guards against capacity that is never freed when a task is started on another worker than the one reserved for it.
func TestReservationOnOtherWorkerIsFreed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := newTestPool()
	h := p.holdWorker(c, newTestWorker(c, "w"))
	_, err := p.Reserve(ctx, Need{Task: "a", Work: testWork}, time.Hour)
	c.Assert(err, qt.IsNil)
	_, err = p.Start(ctx, Need{Task: "a", Work: testWork}, "other", Call{})
	c.Assert(reason.Is(err, reason.LeaseLost), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(p.used(h), qt.Equals, unit.Size{})
}

// countedQuota is an unlimited quota that counts what is reserved.
type countedQuota struct {
	mu   sync.Mutex
	used unit.Size
}

func (q *countedQuota) Reserve(_ string, size unit.Size) bool {
	q.Adopt("", size)
	return true
}

func (q *countedQuota) Adopt(_ string, size unit.Size) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = q.used.Add(size)
}

func (q *countedQuota) Release(_ string, size unit.Size) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = q.used.Sub(size)
}

// Guards against capacity that is never freed because a task has two reservations.
func TestTaskHasOneReservation(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers []string
		size    unit.Size
	}{
		{"same worker", []string{"w"}, unit.Size{CPUMilli: 1000}},
		{"different workers", []string{"w", "x"}, unit.Size{CPUMilli: 2000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			p := newTestPool()
			quota := &countedQuota{}
			p.cfg.Quotas = quota
			var held []*HeldWorker
			var filling []*Grant
			filler, work := testWork, testWork
			filler.Name, filler.Size, work.Size = "filler", unit.Size{CPUMilli: 2000}, test.size
			for _, name := range test.workers {
				held = append(held, p.holdWorker(c, newTestWorker(c, name)))
				g, err := p.Acquire(ctx, Need{Task: "filler-" + name, Work: filler})
				c.Assert(err, qt.IsNil)
				filling = append(filling, g)
			}
			results := make(chan error, 2)
			for range cap(results) {
				go func() {
					_, err := p.Reserve(ctx, Need{Task: "a", Work: work}, time.Hour)
					results <- err
				}()
			}
			for p.Waiting() < cap(results) {
				clock.Pause(ctx, time.Millisecond)
			}
			for _, g := range filling {
				p.Release(g)
			}
			numReserved := 0
			for range cap(results) {
				if err := <-results; err == nil {
					numReserved++
				}
			}
			c.Check(numReserved > 0, qt.IsTrue)
			c.Check(p.Unreserve("a"), qt.IsTrue)
			for _, h := range held {
				c.Check(p.used(h), qt.Equals, unit.Size{})
			}
			c.Check(quota.used, qt.Equals, unit.Size{})
		})
	}
}

// Guards against freeing a running task's capacity with a late reservation for it.
func TestReservationOfRunningTaskIsRefused(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNil)
	_, err = p.Reserve(ctx, Need{Task: "a", Work: testWork}, time.Hour)
	c.Check(reason.Is(err, reason.KeyInUse), qt.IsTrue, qt.Commentf("%v", err))
	p.Unreserve("a")
	c.Check(w.Log().Running, qt.Equals, 1)
	c.Check(p.used(h), qt.Equals, testWork.Size)
}

// Guards against freeing the capacity of a task that is started while its reservation expires.
func TestStartDuringExpiryOfReservation(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	for i := range 200 {
		task := fmt.Sprint("a", i)
		_, err := p.Reserve(ctx, Need{Task: task, Work: testWork}, time.Hour)
		c.Assert(err, qt.IsNil)
		p.mu.Lock()
		var wg sync.WaitGroup
		wg.Go(func() { p.Unreserve(task) })
		wg.Go(func() { _, _ = p.startTask(task) })
		for range 10 {
			runtime.Gosched()
		}
		p.mu.Unlock()
		wg.Wait()
		c.Assert(w.Log().Running, qt.Equals, 1)
		c.Assert(p.used(h), qt.Equals, testWork.Size)
		_, err = p.StopTask(ctx, task, "w")
		c.Assert(err, qt.IsNil)
	}
}

// Guards against an answer of "unknown" for a request whose timeout has passed before anything was sent to a worker.
func TestPassedDeadlineIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	p.holdWorker(c, w)
	for i := range 100 {
		deadline := time.Now()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		_, err := p.Run(ctx, Call{Need: Need{Task: fmt.Sprint("a", i), Work: testWork, Deadline: deadline}, Params: "run=1ms", Local: true})
		cancel()
		refusal := reason.From(err)
		c.Assert(refusal.Outcome, qt.Equals, reason.NotRun, qt.Commentf("%v", err))
		c.Assert(refusal.Reason, qt.Equals, reason.DeadlineUnreachable)
	}
	c.Assert(w.Log().Started, qt.Equals, uint64(0))
}

// Guards against waiting for the worker's answer after the deadline of a request that was sent.
func TestPassedDeadlineOfSentRequestIsUnknown(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	p.holdWorker(c, w)
	work := testWork
	work.Repeatable, work.RunTime = false, 0
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for w.Log().Started == 0 {
			clock.Pause(ctx, time.Millisecond)
		}
		cancel()
	}()
	need := Need{Task: "a", Work: work, Deadline: time.Now().Add(time.Hour)}
	_, err := p.Run(ctx, Call{Need: need, Params: "run=1h", Local: true})
	refusal := reason.From(err)
	c.Assert(refusal.Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
	c.Assert(refusal.Reason, qt.Equals, reason.CallerLeft)
}

// Guards against counting tasks as expired that a request for their worker's lease without an answer keeps alive.
func TestUnansweredLeaseRequestCountsAsRenewal(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.addWorker(c, w)
	w.loseReplies(http.MethodPut, "/lease")
	h.acquire(context.Background())
	c.Assert(w.HasLease(), qt.IsTrue)
	_, ok := p.LastRenewal("w")
	c.Assert(ok, qt.IsTrue)
}

// Guards against keeping the tasks of a silent worker alive with requests for its lease, so that they never count as expired.
func TestSilentWorkerGetsOneLeaseRequest(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.addWorker(c, w)
	numRequests := 0
	w.losesReply = func(r *http.Request) bool {
		if r.Method == http.MethodPut {
			numRequests++
		}
		return true
	}
	for range 3 {
		h.acquire(context.Background())
	}
	w.mu.Lock()
	c.Assert(numRequests, qt.Equals, 1)
	w.mu.Unlock()
	w.loseReplies("", "")
	h.acquire(context.Background())
	c.Assert(p.Load().Held, qt.Contains, "w")
}

// Guards against counting tasks as expired because their worker was removed from the list or moved to another address.
func TestRenewalsOfRemovedWorkersAreRemembered(t *testing.T) {
	for _, test := range []struct {
		name  string
		infos []Info
	}{
		{"not listed", nil},
		{"other address", []Info{{Name: "w", Address: netip.MustParseAddrPort("127.0.0.1:1")}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p := newTestPool()
			h := p.holdWorker(c, newTestWorker(c, "w"))
			renewedAt, ok := p.LastRenewal("w")
			c.Assert(ok, qt.IsTrue)
			h.loseLease("test")
			p.SetWorkers(ctx, test.infos)
			got, ok := p.LastRenewal("w")
			c.Assert(ok, qt.IsTrue)
			c.Assert(got.Equal(renewedAt), qt.IsTrue)
		})
	}
}

// Guards against a task that is never resumed because its resumption was refused, or not sent, once.
func TestTaskIsResumedAfterFailedAttempt(t *testing.T) {
	for _, test := range []struct {
		name   string
		fail   func(w *testWorker, h *HeldWorker)
		repair func(w *testWorker, h *HeldWorker)
		// used is the capacity in use between the two attempts.
		used unit.Size
	}{
		{
			"refused",
			func(w *testWorker, _ *HeldWorker) { w.refuseCalls(http.MethodPost, "/resume", worker.FaultNoRoom) },
			func(w *testWorker, _ *HeldWorker) { w.refuseCalls("", "", "") },
			unit.Size{},
		},
		{
			"lease expired",
			func(_ *testWorker, h *HeldWorker) { h.lease.Lost() },
			func(_ *testWorker, h *HeldWorker) { h.renew(context.Background()) },
			unit.Size{},
		},
		{
			"reply lost",
			func(w *testWorker, _ *HeldWorker) { w.loseReplies(http.MethodPost, "/resume") },
			func(w *testWorker, _ *HeldWorker) { w.loseReplies("", "") },
			testWork.Size,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			w := newTestWorker(c, "w")
			p := newTestPool()
			h := p.holdWorker(c, w)
			_, err := p.startTask("a")
			c.Assert(err, qt.IsNil)
			c.Assert(p.checkpoint(ctx, h, "a"), qt.IsTrue)
			test.fail(w, h)
			p.resumeNow(ctx)
			c.Check(p.used(h), qt.Equals, test.used)
			test.repair(w, h)
			p.resumeNow(ctx)
			c.Check(p.used(h), qt.Equals, testWork.Size)
			answer, err := h.client.Attach(ctx, "a", 0)
			c.Assert(err, qt.IsNil)
			c.Check(answer.State, qt.Equals, worker.Running)
			c.Check(p.checkpoint(ctx, h, "a"), qt.IsTrue)
			p.resumeNow(ctx)
			c.Check(p.used(h), qt.Equals, testWork.Size)
		})
	}
}

// Guards against a checkpointed task that keeps its capacity and is never resumed, because the reply was lost.
func TestTaskIsResumedAfterUnansweredCheckpoint(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNil)
	w.loseReplies(http.MethodPost, "/checkpoint")
	c.Assert(p.checkpoint(ctx, h, "a"), qt.IsFalse)
	w.loseReplies("", "")
	c.Check(p.used(h), qt.Equals, testWork.Size)
	p.resumeNow(ctx)
	answer, err := h.client.Attach(ctx, "a", 0)
	c.Assert(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, worker.Running)
	c.Check(p.used(h), qt.Equals, testWork.Size)
}

// resumeNow resumes suspended tasks as if they had been suspended for a minute.
func (p *Pool) resumeNow(ctx context.Context) {
	for _, v := range p.allocateResumable(time.Now().Add(time.Minute)) {
		p.resume(ctx, v)
	}
}

// Guards against a task that can't be resumed, and work that can't be placed, because a prediction of memory was taken for a size.
func TestPredictedMemoryIsNotKeptAsSize(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNil)
	// Two reports right after another make the predicted growth as large as it can be.
	for _, memoryMiB := range []int64{1100, 1500} {
		_, _, known := p.recordUsage(h, worker.Usage{Task: "a", CPUMilli: 1000, MemoryMiB: memoryMiB})
		c.Assert(known, qt.IsTrue)
	}
	c.Check(p.used(h).MemoryMiB > 2000, qt.IsTrue, qt.Commentf("nothing is predicted"))
	c.Assert(p.checkpoint(ctx, h, "a"), qt.IsTrue)
	p.resumeNow(ctx)
	answer, err := h.client.Attach(ctx, "a", 0)
	c.Assert(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, worker.Running)
	c.Check(p.used(h).MemoryMiB, qt.Equals, int64(1500))
	_, _, _ = p.recordUsage(h, worker.Usage{Task: "a", CPUMilli: 1000, MemoryMiB: 1500})
	const sizeHeadroomPct = 10
	c.Check(p.estimator.Size(testWork.Name, testWork.Size).MemoryMiB <= 1500*(100+sizeHeadroomPct)/100, qt.IsTrue)
}

// Guards against taking a refused stop for proof that the task can't start.
func TestRefusedStopProvesNothing(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNil)
	for _, fault := range []worker.Fault{worker.FaultBadRequest, worker.FaultAbsent} {
		w.refuseCalls(http.MethodDelete, "/tasks/", fault)
		answer, err := p.StopTask(context.Background(), "a", "w")
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s: state %q", fault, answer.State))
		c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%s: state %q", fault, answer.State))
	}
	w.refuseCalls(http.MethodGet, "/tasks/", worker.FaultBadRequest)
	answer, err := p.Inspect(context.Background(), "a", "w")
	c.Assert(err, qt.IsNotNil)
	c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("state %q", answer.State))
	c.Check(p.used(h), qt.Equals, testWork.Size)
}

// Guards against capacity that is never freed for a request whose start was lost while its worker was silent.
func TestLostStartOfRequestFreesCapacity(t *testing.T) {
	c := qt.New(t)
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	w.dropCalls("/tasks/")
	work := testWork
	work.Class, work.RunTime = entry.Request, 0
	need := Need{Task: "a", Work: work, Deadline: time.Now().Add(100 * time.Millisecond)}
	_, err := p.Run(context.Background(), Call{Need: need, Params: "run=1ms"})
	c.Assert(err, qt.IsNotNil)
	c.Assert(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
	c.Check(p.used(h), qt.Equals, work.Size)
	w.dropCalls("")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for p.used(h) != (unit.Size{}) {
		c.Assert(clock.Pause(ctx, time.Millisecond), qt.IsTrue, qt.Commentf("the capacity is still in use"))
	}
	state, err := h.client.Start(ctx, "a", worker.Spec{Holder: p.cfg.Holder, Epoch: h.epoch}, "", nil)
	c.Assert(err, qt.IsNil)
	c.Check(state, qt.Equals, worker.NeverStarted)
}

// Guards against reporting a task as running for as long as its worker is held although its only start was lost.
func TestLostStartIsNotReportedAsRunning(t *testing.T) {
	for _, test := range []struct {
		name string
		// drops and loses make the start, and its reply, get lost.
		drops, loses bool
		want         worker.TaskState
	}{
		{"start lost", true, false, worker.Absent},
		{"reply lost", false, true, worker.Running},
		{"answered", false, false, worker.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			w := newTestWorker(c, "w")
			p := newTestPool()
			h := p.holdWorker(c, w)
			_, err := p.Reserve(ctx, Need{Task: "a", Work: testWork}, time.Hour)
			c.Assert(err, qt.IsNil)
			if test.drops {
				w.dropCalls("/tasks/")
			}
			if test.loses {
				w.loseReplies(http.MethodPut, "/tasks/")
			}
			_, err = p.startTask("a")
			c.Assert(err == nil, qt.Equals, !test.drops && !test.loses)
			w.dropCalls("")
			w.loseReplies("", "")
			h.applyRenewal(time.Now().Add(2*p.cfg.LeaseTTL), worker.LeaseReply{Granted: true})
			for range 2 {
				answer, err := p.Inspect(ctx, "a", "w")
				c.Assert(err, qt.IsNil)
				c.Check(answer.State, qt.Equals, test.want)
			}
			// The worker need not be polled for a task that it has confirmed.
			w.dropCalls("/tasks/")
			_, err = p.Inspect(ctx, "a", "w")
			c.Check(err == nil, qt.Equals, test.want == worker.Running)
		})
	}
}

// Guards against a task that a former holder suspends or stops after its lease has expired, unknown to the next holder.
func TestTasksAreLeftAloneAfterTheLeaseExpired(t *testing.T) {
	for _, test := range []struct {
		name           string
		checkpointable bool
		act            func(p *Pool, h *HeldWorker)
	}{
		{"preempted", true, func(p *Pool, h *HeldWorker) { p.checkpoint(context.Background(), h, "a") }},
		{"suspended for its memory", true, func(_ *Pool, h *HeldWorker) {
			h.limitOveruse(context.Background(), []worker.Usage{{Task: "a", CPUMilli: 1000, MemoryMiB: 1900}})
		}},
		{"stopped for its memory", false, func(_ *Pool, h *HeldWorker) {
			h.limitOveruse(context.Background(), []worker.Usage{{Task: "a", CPUMilli: 1000, MemoryMiB: 1900}})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			w := newTestWorker(c, "w")
			former, next := newTestPool(), newTestPool()
			next.cfg.Holder = "host@2"
			h := former.holdWorker(c, w)
			work := testWork
			work.Checkpointable = test.checkpointable
			_, err := former.Start(ctx, Need{Task: "a", Work: work}, "w", Call{Params: "run=10m"})
			c.Assert(err, qt.IsNil)
			// The lease expires on the worker and for its holder, which has not noticed yet.
			c.Assert(h.client.ReleaseLease(ctx, former.cfg.Holder, h.epoch), qt.IsNil)
			h.lease.Lost()
			adopting := next.addWorker(c, w)
			for range 2 {
				// The first request learns the worker's epoch.
				adopting.acquire(ctx)
			}
			c.Assert(next.Load().Held, qt.Contains, "w")
			test.act(former, h)
			answer, err := h.client.Attach(ctx, "a", 0)
			c.Assert(err, qt.IsNil)
			c.Check(answer.State, qt.Equals, worker.Running)
		})
	}
}

// Guards against counting tasks as expired that a request for their worker's lease keeps alive which is carried out late.
func TestLateLeaseRequestCountsAsRenewal(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.addWorker(c, w)
	late := make(chan *http.Request, 1)
	w.mu.Lock()
	w.drops = func(r *http.Request) bool {
		if r.Method != http.MethodPut || r.URL.Path != "/v1/lease" {
			return false
		}
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		request := r.Clone(ctx)
		request.Body = io.NopCloser(bytes.NewReader(body))
		late <- request
		return true
	}
	w.mu.Unlock()
	h.acquire(ctx)
	c.Assert(w.HasLease(), qt.IsFalse)
	carriedOutAt := time.Now()
	w.Handler().ServeHTTP(httptest.NewRecorder(), <-late)
	c.Assert(w.HasLease(), qt.IsTrue)
	renewedAt, ok := p.LastRenewal("w")
	c.Assert(ok, qt.IsTrue)
	c.Check(renewedAt.Before(carriedOutAt), qt.IsFalse)
	// An answer settles the request: the same epoch can't be granted again later.
	w.dropCalls("")
	h.acquire(ctx)
	c.Assert(p.Load().Held, qt.Contains, "w")
	renewedAt, _ = p.LastRenewal("w")
	c.Check(renewedAt.After(time.Now()), qt.IsFalse)
}

// Guards against using a lease after the host was suspended, which the clock of timers does not count.
func TestLeaseOfSuspendedHostIsNotUsed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	var suspended time.Duration
	p.cfg.SinceBoot = func() time.Duration { return clock.SinceBoot() + suspended }
	h := p.holdWorker(c, w)
	_, err := p.startTask("a")
	c.Assert(err, qt.IsNil)
	suspended = p.cfg.LeaseTTL
	c.Check(p.checkpoint(ctx, h, "a"), qt.IsFalse)
	answer, err := h.client.Attach(ctx, "a", 0)
	c.Assert(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, worker.Running)
	_, err = p.startTask("b")
	c.Check(reason.Is(err, reason.LeaseLost), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(w.Log().Started, qt.Equals, uint64(1))
}

// limitedQuota is a quota of one test task for all owners together.
type limitedQuota struct{ countedQuota }

func (q *limitedQuota) Reserve(_ string, size unit.Size) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if used := q.used.Add(size); !used.Fits(testWork.Size) {
		return false
	}
	q.used = q.used.Add(size)
	return true
}

// Guards against starting more tasks of an owner than its quota allows while others go on running on a worker whose lease was lost.
func TestTasksOnLostWorkerUseQuota(t *testing.T) {
	for _, test := range []struct {
		name string
		// settle ends the wait for the tasks on the lost worker.
		settle func(c *qt.C, p *Pool, lost *HeldWorker, w *testWorker)
	}{
		{"adopted again", func(c *qt.C, p *Pool, lost *HeldWorker, _ *testWorker) {
			lost.acquire(context.Background())
			c.Assert(p.Load().Held, qt.Contains, "w")
			_, err := p.StopTask(context.Background(), "a", "w")
			c.Assert(err, qt.IsNil)
		}},
		{"expired", func(_ *qt.C, p *Pool, _ *HeldWorker, w *testWorker) {
			w.server.Close()
			p.mu.Lock()
			p.forgetLeftTasks("w")
			p.mu.Unlock()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			w, x := newTestWorker(c, "w"), newTestWorker(c, "x")
			p := newTestPool()
			p.cfg.Quotas = &limitedQuota{}
			lost := p.holdWorker(c, w)
			_, err := p.startTask("a")
			c.Assert(err, qt.IsNil)
			p.holdWorker(c, x)
			c.Assert(lost.client.ReleaseLease(ctx, p.cfg.Holder, lost.epoch), qt.IsNil)
			lost.loseLease("test")
			start := func() error {
				_, err := p.Start(ctx, Need{Task: "b", Work: testWork}, "x", Call{Params: "run=10m"})
				return err
			}
			err = start()
			c.Check(reason.Is(err, reason.OverQuota), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(w.Log().Running+x.Log().Running, qt.Equals, 1)
			test.settle(c, p, lost, w)
			c.Check(start(), qt.IsNil)
		})
	}
}

// Guards against tasks that count as running after their worker's process has restarted between two renewals of its lease.
func TestRestartedWorkerIsAdoptedAnew(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	w := newTestWorker(c, "w")
	p := newTestPool()
	h := p.holdWorker(c, w)
	for _, task := range []string{"a", "b"} {
		_, err := p.startTask(task)
		c.Assert(err, qt.IsNil)
	}
	// The end of a task makes the holder acknowledge more ends than the next process has had.
	_, err := h.client.Stop(ctx, "b")
	c.Assert(err, qt.IsNil)
	h.renew(ctx)
	c.Assert(p.used(h), qt.Equals, testWork.Size)
	w.restart()
	// The first renewal may find the connection closed only when it is sent.
	for range 2 {
		if p.isReady(h) {
			h.renew(ctx)
		}
	}
	c.Assert(p.isReady(h), qt.IsFalse)
	h.acquire(ctx)
	c.Assert(p.isReady(h), qt.IsTrue)
	c.Check(p.used(h), qt.Equals, unit.Size{})
	h.applyRenewal(time.Now().Add(2*p.cfg.LeaseTTL), worker.LeaseReply{Granted: true})
	answer, err := p.Inspect(ctx, "a", "w")
	c.Assert(err, qt.IsNil)
	c.Check(answer.State, qt.Equals, worker.Absent)
	h.client.Close()
	_, err = p.startTask("c")
	c.Assert(err, qt.IsNil)
	_, err = h.client.Stop(ctx, "c")
	c.Assert(err, qt.IsNil)
	h.renew(ctx)
	c.Check(p.used(h), qt.Equals, unit.Size{})
}

func (p *Pool) isReady(h *HeldWorker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.ready
}

// Guards against reporting work as not run, so that it may run a second time, because its worker has restarted and does not know it.
func TestRestartedWorkerDoesNotKnowWhatRan(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		want       reason.Outcome
	}{
		{"repeatable", true, reason.Failed},
		{"not repeatable", false, reason.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWorker(c, "w")
			p := newTestPool()
			p.holdWorker(c, w)
			work := testWork
			work.Class, work.Repeatable, work.RunTime = entry.Request, test.repeatable, 0
			go func() {
				for w.numStarted() == 0 {
					clock.Pause(context.Background(), time.Millisecond)
				}
				w.restart()
			}()
			_, err := p.Run(context.Background(), Call{Need: Need{Task: "a", Work: work, Deadline: time.Now().Add(time.Hour)}, Params: "run=1h"})
			c.Assert(err, qt.IsNotNil)
			c.Check(reason.From(err).Outcome, qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}

func (w *testWorker) numStarted() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Log().Started
}
