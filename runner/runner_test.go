package runner_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	service = "desk"
	queue   = "checks"
	lease   = 6 * time.Second
)

// staticRegistry is a registry with a fixed list of workers, to which changes can be applied.
type staticRegistry struct {
	mu      sync.Mutex
	workers []order.Worker
	changes chan func(changed func(order.Worker), gone func(string))
}

// registryLag is the delay until a new incarnation of a worker is listed.
const registryLag = 1500 * time.Millisecond

// list returns the entries.
func (l *staticRegistry) list() []order.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.workers)
}

// remove removes a worker's entry from the list that the next runner gets.
func (l *staticRegistry) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = slices.DeleteFunc(l.workers, func(w order.Worker) bool { return w.ID == id })
}

// replaceLater replaces a worker's entry after registryLag, as its new incarnation does.
func (l *staticRegistry) replaceLater(w order.Worker) {
	go func() {
		time.Sleep(registryLag)
		l.mu.Lock()
		for i := range l.workers {
			if l.workers[i].ID == w.ID {
				l.workers[i] = w
			}
		}
		l.mu.Unlock()
		select {
		case l.changes <- func(changed func(order.Worker), _ func(string)) { changed(w) }:
		case <-time.After(registryLag):
			// No runner follows the registry; the next one gets the list.
		}
	}()
}

// Follow implements runner.Registry.
func (l *staticRegistry) Follow(ctx context.Context, list func([]order.Worker), changed func(order.Worker), gone func(string)) {
	list(l.list())
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.changes:
			f(changed, gone)
		}
	}
}

// permissiveAdvisor is an advisor that permits every worker.
type permissiveAdvisor struct {
	calls int
}

// HasSlot implements cell.AdvisorSlots.
func (a *permissiveAdvisor) HasSlot(time.Duration) bool { return true }

// Reserve implements cell.AdvisorSlots.
func (a *permissiveAdvisor) Reserve(time.Duration) (string, bool) { return "", true }

// Advise implements runner.Advisors.
func (a *permissiveAdvisor) Advise(_ context.Context, request cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	a.calls++
	permits := make([]order.Permit, len(request.Workers))
	for i, w := range request.Workers {
		permits[i] = order.Permit{Worker: w, Ticket: "t"}
	}
	return permits, 2 * time.Second, nil
}

// cluster is a table, workers and a configuration, used by one runner after another.
type cluster struct {
	c       *qt.C
	store   *fakes.Table
	workers *fakes.WorkerSet
	// orders sends the orders of runners to workers.
	orders     order.Workers
	registry   *staticRegistry
	configs    *queues.Store
	epoch      elect.Epoch
	startedAt  time.Time
	numRunners int
	// unconfirmed maps the workers that the last runner could not reach to the time until which runs may be active there.
	unconfirmed map[string]time.Time
	// handover is the handover state of the last runner; nil if there is none.
	handover *cell.Handover
	// advisor answers the runners' requests for advice.
	advisor runner.Advisors
	// sinceBoot is the boot clock of the runners.
	sinceBoot func() time.Duration
	// service is that of the group, and team the team of all jobs.
	service, team string
}

func newCluster(t *testing.T, numWorkers int, size unit.Size) *cluster {
	t.Helper()
	s := &cluster{
		c: qt.New(t), store: fakes.NewTable(), workers: fakes.NewWorkerSet(lease), configs: &queues.Store{}, startedAt: time.Now(),
		registry: &staticRegistry{changes: make(chan func(func(order.Worker), func(string)))}, epoch: elect.Epoch{Group: service},
		service: service,
	}
	s.store.Latency = 4 * time.Millisecond
	s.orders, s.advisor = s.workers, &permissiveAdvisor{}
	s.sinceBoot = func() time.Duration { return time.Since(s.startedAt) }
	// A test must not end before its goroutines.
	t.Cleanup(func() { time.Sleep(2 * registryLag) })
	for i := range numWorkers {
		w := s.workers.Add(order.Worker{
			ID: fmt.Sprintf("w%d", i), Service: service, Capacity: size, Rack: fmt.Sprintf("r%d", i/2),
			Labels: []string{fmt.Sprintf("kind%d", i%2)},
		})
		s.registry.workers = append(s.registry.workers, w)
	}
	s.configs.Install(&queues.Config{Version: 1, Queues: []queues.Queue{{Name: queue, Service: service}}})
	return s
}

// runner starts the next runner and returns it with a function that stops it without a handover.
func (s *cluster) runner() (*runner.Runner, context.CancelFunc) {
	ctx, kill := context.WithCancel(context.Background())
	s.numRunners++
	log := logrus.New()
	log.SetOutput(io.Discard)
	epoch, err := elect.Acquire(ctx, s.store, s.epoch, elect.Candidate{Name: fmt.Sprintf("host%d", s.numRunners)})
	s.c.Assert(err, qt.IsNil)
	s.epoch = epoch
	r := runner.New(runner.Config{
		Epoch: epoch, Store: s.store, Workers: s.orders, Registry: s.registry, Advisors: s.advisor, Queues: s.configs,
		Settings: cell.Settings{Lease: lease, RunsPerToken: 1000}, SinceBoot: s.sinceBoot, Log: log, Unconfirmed: s.unconfirmed,
		FetchHandover: func(context.Context) (cell.Handover, bool) {
			if s.handover == nil {
				return cell.Handover{}, false
			}
			return *s.handover, true
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx, s.sinceBoot())
	}()
	return r, func() {
		kill()
		<-done
		s.unconfirmed, s.handover = nil, nil
	}
}

// handOver passes the handover state of a stopped runner to the next one, if it is available.
func (s *cluster) handOver(r *runner.Runner) bool {
	handover, err := r.Cell().Handover(time.Now())
	if err == nil {
		s.handover = &handover
	}
	return err == nil
}

// handOverUnconfirmed passes the workers that a stopped runner could not reach to the next one.
func (s *cluster) handOverUnconfirmed(r *runner.Runner) {
	s.unconfirmed = map[string]time.Time{}
	for _, u := range r.ReleaseState(time.Now()).Unconfirmed {
		s.unconfirmed[u.Worker] = time.Now().Add(u.Remaining)
	}
}

// submit stores a job as the intake does.
func (s *cluster) submit(id string, steps ...graph.Step) {
	doc := &graph.Job{
		ID: id, Queue: queue, Service: s.service, Team: s.team, Steps: steps, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2,
	}
	raw, err := doc.Encode()
	s.c.Assert(err, qt.IsNil)
	for i := range steps {
		s.workers.SetStep(graph.StepID{Job: id, Step: i}, &steps[i], false)
	}
	key := table.Key{Table: runner.TableJobs(s.service), Partition: runner.JobPartition(s.service, id), Name: id}
	_, err = s.store.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
	s.c.Assert(err, qt.IsNil)
}

func (s *cluster) cancel(id string) {
	key := runner.CancelKey(runner.JobKey(s.service, id))
	_, err := s.store.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: key, Value: []byte("1")}}})
	s.c.Assert(err, qt.IsNil)
}

// awaitState waits until a job is in a state, and fails after timeout.
func (s *cluster) awaitState(r *runner.Runner, id string, want graph.State, timeout time.Duration) {
	s.c.Helper()
	var state graph.State
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if state, _ = r.Cell().State(id, queue, queues.Caller{AnyTeam: true}); state == want {
			return
		}
	}
	s.c.Fatalf("job %s is %q after %v, not %q", id, state, timeout, want)
}

// assertNoFaults checks that the runners did nothing that a scheduler must never do.
func (s *cluster) assertNoFaults() {
	s.c.Helper()
	s.c.Assert(s.workers.Violations(), qt.HasLen, 0)
}

func cores(n int64) unit.Size { return unit.Size{CPUMilli: 1000 * n, MemoryMiB: 100} }

var bigWorker = unit.Size{CPUMilli: 16000, MemoryMiB: 32000, Accelerators: 8}

func fixedDuration(d time.Duration) func(string, graph.TaskID, int) (time.Duration, order.EndKind) {
	return func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return d, order.EndDone }
}

func TestStepKindsComplete(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []graph.Step
	}{
		{"one task", []graph.Step{{Count: 1, Size: cores(1)}}},
		{"dependent steps", []graph.Step{{Count: 3, Size: cores(1)}, {Count: 2, Size: cores(2), After: []int{0}}}},
		{"a diamond", []graph.Step{
			{Count: 1, Size: cores(1)},
			{Count: 2, Size: cores(1), After: []int{0}},
			{Count: 2, Size: cores(1), After: []int{0}},
			{Count: 1, Size: cores(1), After: []int{1, 2}},
		}},
		{"a gang", []graph.Step{{Count: 4, Size: cores(8), Gang: true}}},
		{"a colocated gang", []graph.Step{{Count: 4, Size: cores(8), Gang: true, Colocate: true}}},
		{"a required label", []graph.Step{{Count: 4, Size: cores(4), Label: "kind1"}}},
		{"a limit per worker", []graph.Step{{Count: 4, Size: cores(1), MaxPerWorker: 1}}},
		{"more tasks than capacity", []graph.Step{{Count: 40, Size: cores(8)}}},
		{"backfill tasks", []graph.Step{{Count: 6, Size: cores(16), Backfill: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 4, bigWorker)
				s.workers.Outcome = fixedDuration(300 * time.Millisecond)
				r, stop := s.runner()
				defer stop()
				s.submit("00000000000000aa", test.steps...)
				s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
				s.assertNoFaults()
			})
		})
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return 0, order.EndFailed }
		r, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
		s.awaitState(r, "00000000000000aa", graph.Failed, 20*time.Second)
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 3)
	})
}

func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		r, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 4, Size: cores(1), LongRunning: true, MaxUnavailable: 1})
		s.awaitState(r, "00000000000000aa", graph.Running, 5*time.Second)
		s.cancel("00000000000000aa")
		s.awaitState(r, "00000000000000aa", graph.Cancelled, 2*time.Second)
		time.Sleep(2 * time.Second)
		s.c.Assert(s.workers.NumRunning("w0")+s.workers.NumRunning("w1"), qt.Equals, 0)
	})
}

// A runner that stops without a handover leaves runs behind. The next one must adopt them, record their ends and start nothing
// twice.
func TestTakeoverAdoptsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 4, bigWorker)
		s.workers.Outcome = fixedDuration(2 * time.Second)
		_, kill := s.runner()
		for i := range 8 {
			s.submit(fmt.Sprintf("00000000000000%02x", i), graph.Step{Count: 4, Size: cores(1)})
		}
		time.Sleep(500 * time.Millisecond)
		kill()
		time.Sleep(2 * time.Second)
		r, stop := s.runner()
		defer stop()
		for i := range 8 {
			s.awaitState(r, fmt.Sprintf("00000000000000%02x", i), graph.Completed, 10*time.Second)
		}
		s.assertNoFaults()
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 32)
	})
}

// A worker that is unreachable at a takeover and has left the registry still runs its tasks until their leases expire.
func TestTakeoverWaitsForUnlistedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(30 * time.Second)
		_, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		kill()
		s.workers.SetUnreachable("w1", true)
		s.registry.workers = s.registry.workers[:1]
		r, stop := s.runner()
		defer stop()
		time.Sleep(3 * time.Second)
		s.c.Assert(s.workers.NumRunning("w1") > 0, qt.IsTrue)
		s.awaitState(r, "00000000000000aa", graph.Completed, 90*time.Second)
		s.assertNoFaults()
	})
}

// A runner that was replaced without noticing is rejected by the first worker or row that it accesses, and must stop.
func TestReplacedRunnerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(300 * time.Millisecond)
		old, stopOld := s.runner()
		defer stopOld()
		time.Sleep(time.Second)
		s.c.Assert(old.Ready(), qt.IsTrue)
		next, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)})
		s.awaitState(next, "00000000000000aa", graph.Completed, 10*time.Second)
		time.Sleep(elect.FreshTimeout)
		s.c.Assert(old.Ready(), qt.IsFalse)
		s.assertNoFaults()
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 8)
	})
}

// Hosts are stopped one after another while a worker is unreachable. Its runs end one lease after the last order sent to it,
// so its tasks must be started elsewhere then, however many takeovers happen in the meantime.
func TestRepeatedTakeoversWaitOneLeaseForLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		r, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2), LongRunning: true})
		time.Sleep(500 * time.Millisecond)
		s.workers.SetUnreachable("w0", true)
		s.registry.workers = s.registry.workers[1:]
		lostAt := time.Now()
		for range 3 {
			time.Sleep(1900 * time.Millisecond)
			kill()
			s.handOverUnconfirmed(r)
			r, kill = s.runner()
		}
		defer kill()
		for s.workers.NumRunning("w1") < 8 {
			s.c.Assert(time.Since(lostAt) < lease+2*time.Second, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
		s.assertNoFaults()
	})
}

// A host that releases the lease may know that orders without an answer can keep runs alive on a worker for longer than a lease; the next
// one must not start their tasks elsewhere before that.
func TestTakeoverWaitsAsLongAsReleaseSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const remaining = 19 * time.Second
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		_, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(2)})
		time.Sleep(500 * time.Millisecond)
		s.c.Assert(s.workers.NumRunning("w0"), qt.Equals, 1)
		s.workers.SetUnreachable("w0", true)
		kill()
		releasedAt := time.Now()
		s.unconfirmed = map[string]time.Time{"w0": releasedAt.Add(remaining)}
		_, kill = s.runner()
		defer kill()
		for s.workers.NumStarts() == 1 {
			s.c.Assert(time.Since(releasedAt) < remaining+2*time.Second, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
		s.c.Assert(time.Since(releasedAt) >= remaining, qt.IsTrue)
	})
}

// A host is stopped while a worker is unreachable. The runs on it are known from the handover state, so no other task may
// wait for it.
func TestHandoverDoesNotWaitForUnreachableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = func(_ string, task graph.TaskID, _ int) (time.Duration, order.EndKind) {
			if task.Job == "00000000000000aa" {
				return 30 * time.Second, order.EndDone
			}
			return 400 * time.Millisecond, order.EndDone
		}
		r, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)})
		time.Sleep(300 * time.Millisecond)
		s.submit("00000000000000bb", graph.Step{Count: 2, Size: cores(2)}, graph.Step{Count: 2, Size: cores(2), After: []int{0}})
		time.Sleep(200 * time.Millisecond)
		s.workers.SetUnreachable("w0", true)
		kill()
		s.c.Assert(s.handOver(r), qt.IsTrue)
		r, kill = s.runner()
		defer kill()
		s.awaitState(r, "00000000000000bb", graph.Completed, 1500*time.Millisecond)
		s.c.Assert(s.workers.NumRunning("w1"), qt.Equals, 0)
		s.workers.SetUnreachable("w0", false)
		s.awaitState(r, "00000000000000aa", graph.Completed, 70*time.Second)
		s.assertNoFaults()
	})
}

// A stopping runner must store all progress before it hands over; if the table fails, it must not hand over.
func TestHandoverRequiresStoredProgress(t *testing.T) {
	for _, tableFails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newCluster(t, 2, bigWorker)
			s.workers.Outcome = fixedDuration(500 * time.Millisecond)
			r, kill := s.runner()
			s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)}, graph.Step{Count: 1, Size: cores(1), After: []int{0}})
			time.Sleep(300 * time.Millisecond)
			if tableFails {
				s.store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
			}
			// The runs end, and are seen to end, while the table fails.
			time.Sleep(400 * time.Millisecond)
			kill()
			s.c.Assert(s.handOver(r), qt.Equals, !tableFails)
			s.store.SetFault(nil)
			r, kill = s.runner()
			defer kill()
			s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
			s.assertNoFaults()
		})
	}
}

// The rows of finished jobs used to be removed by 30 every 30 s, less than end, so that each new runner read more.
func TestRowsOfFinishedJobsAreRemovedAsFastAsJobsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(10 * time.Millisecond)
		r, kill := s.runner()
		defer kill()
		const numJobs = 1200
		id := func(i int) string { return fmt.Sprintf("%016x", i+1) }
		for i := range numJobs {
			s.submit(id(i), graph.Step{Count: 1, Size: cores(1)})
		}
		for i := range numJobs {
			s.awaitState(r, id(i), graph.Completed, 20*time.Second)
		}
		numRows := func(name string, partitions ...string) int {
			n := 0
			for _, partition := range partitions {
				rows, _, err := table.ReadAll(t.Context(), s.store, table.Range{Table: name, Partition: partition})
				s.c.Assert(err, qt.IsNil)
				n += len(rows)
			}
			return n
		}
		var partitions []string
		for i := range numJobs {
			if p := runner.JobPartition(service, id(i)); !slices.Contains(partitions, p) {
				partitions = append(partitions, p)
			}
		}
		s.c.Assert(numRows(runner.TableJobs(service), partitions...), qt.Equals, numJobs)
		time.Sleep(10*time.Minute + 20*time.Second)
		s.c.Assert(numRows(runner.TableJobs(service), partitions...), qt.Equals, 0)
		s.c.Assert(numRows(runner.TableRuns, service), qt.Equals, 0)
	})
}

// A host that stops must not give up a group while the table answers reads but refuses to write the lease: no other host could run it.
func TestRunnerTellsThatItsLeaseCannotBeRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		r, kill := s.runner()
		defer kill()
		time.Sleep(3 * time.Second)
		s.c.Assert(r.RenewalFails(), qt.IsFalse)
		s.store.SetFault(func(op string) fakes.TableFault {
			if op == "commit" {
				return fakes.TableUnavailable
			}
			return fakes.TableOK
		})
		time.Sleep(2 * time.Second)
		s.c.Assert(r.RenewalFails(), qt.IsTrue)
		s.store.SetFault(nil)
		time.Sleep(time.Second)
		s.c.Assert(r.RenewalFails(), qt.IsFalse)
	})
}

// Jobs of which an earlier runner started nothing must not wait for unreachable workers.
func TestTakeoverStartsNewJobsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(100 * time.Millisecond)
		_, kill := s.runner()
		time.Sleep(500 * time.Millisecond)
		kill()
		s.workers.SetUnreachable("w1", true)
		s.submit("00000000000000aa", graph.Step{Count: 2, Size: cores(1)})
		r, stop := s.runner()
		defer stop()
		s.awaitState(r, "00000000000000aa", graph.Completed, 2*time.Second)
		s.assertNoFaults()
	})
}

// Ended runs that a worker reports before the runner has loaded their job must not be lost.
func TestEndedRunsAreRecordedAfterJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(200 * time.Millisecond)
		_, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(1)})
		time.Sleep(150 * time.Millisecond)
		kill()
		time.Sleep(time.Second)
		failNext := true
		s.store.SetFault(func(op string) fakes.TableFault {
			if op == "read" && failNext {
				failNext = false
				return fakes.TableUnavailable
			}
			return fakes.TableOK
		})
		r, stop := s.runner()
		defer stop()
		s.awaitState(r, "00000000000000aa", graph.Completed, 10*time.Second)
		s.assertNoFaults()
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 8)
	})
}

// A failed run that is reported to two runners, since the first could not acknowledge it, must count once.
func TestFailedRunCountsOnceAcrossTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		s.workers.Outcome = func(_ string, _ graph.TaskID, run int) (time.Duration, order.EndKind) {
			if run < 3 {
				return 10 * time.Millisecond, order.EndFailed
			}
			return 3 * time.Second, order.EndDone
		}
		r, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
		for s.workers.NumStarts() < 3 {
			time.Sleep(time.Millisecond)
		}
		_ = r
		kill()
		next, stop := s.runner()
		defer stop()
		s.awaitState(next, "00000000000000aa", graph.Completed, 30*time.Second)
		s.assertNoFaults()
	})
}

func TestUnansweredStartsAreNotDuplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, bigWorker)
		s.workers.Outcome = fixedDuration(500 * time.Millisecond)
		r, stop := s.runner()
		defer stop()
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1", "w2"} {
			s.workers.LoseNextStartReply(id)
		}
		s.submit("00000000000000aa", graph.Step{Count: 12, Size: cores(2)})
		s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
		s.assertNoFaults()
	})
}

func TestUnreachableWorkerKeepsTasksUntilLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(4 * time.Second)
		r, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		s.workers.SetUnreachable("w0", true)
		s.awaitState(r, "00000000000000aa", graph.Completed, 40*time.Second)
		s.assertNoFaults()
	})
}

func TestRestartedWorkerStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(3 * time.Second)
		r, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		s.registry.replaceLater(s.workers.Crash("w0"))
		s.awaitState(r, "00000000000000aa", graph.Completed, 40*time.Second)
		s.assertNoFaults()
	})
}

// Commits whose replies are lost, and a table that refuses some calls, must not cause lost or repeated work.
func TestTableLosesRepliesAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, bigWorker)
		s.workers.Outcome = fixedDuration(200 * time.Millisecond)
		r, stop := s.runner()
		calls := 0
		time.Sleep(200 * time.Millisecond)
		s.store.SetFault(func(op string) fakes.TableFault {
			calls++
			switch {
			case op == "commit" && calls%3 == 0:
				return fakes.TableReplyLost
			case calls%4 == 0:
				return fakes.TableUnavailable
			default:
				return fakes.TableOK
			}
		})
		numJobs := 0
		for numJobs < 10 {
			doc := &graph.Job{
				ID: fmt.Sprintf("00000000000000%02x", numJobs), Queue: queue, Service: service, AcceptedAt: time.Now(), MaxAttempts: 3,
				Steps: []graph.Step{{Count: 3, Size: cores(1)}, {Count: 3, Size: cores(1), After: []int{0}}},
			}
			raw, err := doc.Encode()
			s.c.Assert(err, qt.IsNil)
			key := table.Key{Table: runner.TableJobs(service), Partition: runner.JobPartition(service, doc.ID), Name: doc.ID}
			_, _ = s.store.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
			if _, ok := s.store.Get(key); ok {
				numJobs++
			}
		}
		for i := range 10 {
			s.awaitState(r, fmt.Sprintf("00000000000000%02x", i), graph.Completed, 60*time.Second)
		}
		s.store.SetFault(nil)
		stop()
		s.assertNoFaults()
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 60)
	})
}

// A job whose stored progress can't be decoded must not be taken for one of which nothing has run.
func TestJobWithUnreadableProgressIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		s.workers.Outcome = fixedDuration(100 * time.Millisecond)
		key := table.Key{Table: runner.TableRuns, Partition: service, Name: "00000000000000aa"}
		_, err := s.store.Commit(t.Context(), table.Tx{Writes: []table.Write{{Key: key, Value: []byte("{")}}})
		s.c.Assert(err, qt.IsNil)
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
		s.submit("00000000000000bb", graph.Step{Count: 1, Size: cores(1)})
		r, stop := s.runner()
		defer stop()
		s.awaitState(r, "00000000000000bb", graph.Completed, 10*time.Second)
		time.Sleep(10 * time.Second)
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 1)
	})
}
