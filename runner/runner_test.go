package runner_test

import (
	"context"
	"fmt"
	"io"
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

// list is a registry that tells a fixed list, and forgets what it is told to.
type list struct {
	workers []order.Worker
	changes chan func(changed func(order.Worker), gone func(string))
}

// Follow implements runner.Registry.
func (l *list) Follow(ctx context.Context, all func([]order.Worker), changed func(order.Worker), gone func(string)) {
	all(l.workers)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.changes:
			f(changed, gone)
		}
	}
}

// anyone is an advisor that allows every worker.
type anyone struct {
	asks int
}

// Free implements cell.Desks.
func (a *anyone) Free(time.Duration) bool { return true }

// Reserve implements cell.Desks.
func (a *anyone) Reserve(time.Duration) (string, bool) { return "", true }

// Advise implements runner.Advisors.
func (a *anyone) Advise(_ context.Context, ask cell.Ask) ([]order.Permit, time.Duration, error) {
	a.asks++
	permits := make([]order.Permit, len(ask.Workers))
	for i, w := range ask.Workers {
		permits[i] = order.Permit{Worker: w, Ticket: "t"}
	}
	return permits, 2 * time.Second, nil
}

// site is a table, workers and a configuration, over which runners come and go.
type site struct {
	c     *qt.C
	rows  *fakes.Rows
	crew  *fakes.Crew
	list  *list
	book  *queues.Book
	epoch elect.Epoch
	start time.Time
	next  int
	// unsure is what the last runner told of workers that it could not reach.
	unsure map[string]time.Time
	// handed is what the last runner handed over; nil if it did not.
	handed *cell.Handover
}

func newSite(t *testing.T, workers int, size unit.Size) *site {
	t.Helper()
	s := &site{
		c: qt.New(t), rows: fakes.NewRows(), crew: fakes.NewCrew(lease), book: &queues.Book{}, start: time.Now(),
		list: &list{changes: make(chan func(func(order.Worker), func(string)))}, epoch: elect.Epoch{Part: service},
	}
	s.rows.Latency = 4 * time.Millisecond
	for i := range workers {
		w := s.crew.Add(order.Worker{
			ID: fmt.Sprintf("w%d", i), Service: service, Capacity: size, Rack: fmt.Sprintf("r%d", i/2),
			Labels: []string{fmt.Sprintf("kind%d", i%2)},
		})
		s.list.workers = append(s.list.workers, w)
	}
	s.book.Install(&queues.Config{Version: 1, Queues: []queues.Queue{{Name: queue, Service: service}}})
	return s
}

// run starts the next runner and returns what ends it without a hand-over.
func (s *site) run() (*runner.Runner, context.CancelFunc) {
	ctx, kill := context.WithCancel(context.Background())
	s.next++
	log := logrus.New()
	log.SetOutput(io.Discard)
	epoch, err := elect.Take(ctx, s.rows, s.epoch, elect.Taker{Name: fmt.Sprintf("host%d", s.next)})
	s.c.Assert(err, qt.IsNil)
	s.epoch = epoch
	boot := func() time.Duration { return time.Since(s.start) }
	r := runner.New(runner.Config{
		Epoch: epoch, Store: s.rows, Workers: s.crew, Registry: s.list, Advisors: &anyone{}, Queues: s.book,
		Settings: cell.Settings{Lease: lease, RunsPerToken: 1000}, Boot: boot, Log: log, Unsure: s.unsure,
		Handed: func(context.Context) (cell.Handover, bool) {
			if s.handed == nil {
				return cell.Handover{}, false
			}
			return *s.handed, true
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx, boot())
	}()
	return r, func() {
		kill()
		<-done
		s.unsure, s.handed = nil, nil
	}
}

// handsOver lets the next runner know what one that has ended left, if it can vouch for that.
func (s *site) handsOver(r *runner.Runner) bool {
	left, err := r.Cell().Left(time.Now())
	if err == nil {
		s.handed = &left
	}
	return err == nil
}

// told hands over what a runner that has ended knows of workers that it could not reach.
func (s *site) told(r *runner.Runner) {
	s.unsure = map[string]time.Time{}
	for _, u := range r.Unsure(time.Now()) {
		s.unsure[u.Worker] = time.Now().Add(u.For)
	}
}

// submit makes a job durable as the intake does.
func (s *site) submit(id string, steps ...graph.Step) {
	doc := &graph.Job{
		ID: id, Queue: queue, Service: service, Steps: steps, Accepted: time.Now(), Attempts: 3, Stretch: 2,
	}
	raw, err := doc.Encode()
	s.c.Assert(err, qt.IsNil)
	for i := range steps {
		size := steps[i].Size
		if steps[i].Fills {
			size.CPUMilli = 0
		}
		s.crew.Size(graph.StepID{Job: id, Step: i}, size)
		if steps[i].Copies {
			s.crew.Copies(graph.StepID{Job: id, Step: i})
		}
	}
	key := table.Key{Table: runner.TableJobs(service), Part: runner.JobPart(service, id), Name: id}
	_, err = s.rows.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
	s.c.Assert(err, qt.IsNil)
}

func (s *site) cancel(id string) {
	key := table.Key{Table: runner.TableJobs(service), Part: runner.JobPart(service, id), Name: id + runner.CancelSuffix}
	_, err := s.rows.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: key, Value: []byte("1")}}})
	s.c.Assert(err, qt.IsNil)
}

// await waits until a job is shown in a state, or fails after most.
func (s *site) await(r *runner.Runner, id string, want graph.State, most time.Duration) {
	s.c.Helper()
	var state graph.State
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, _ = r.Cell().State(id, queue); state == want {
			return
		}
	}
	s.c.Fatalf("job %s is %q after %v, not %q", id, state, most, want)
}

func (s *site) sound() {
	s.c.Helper()
	s.c.Assert(s.crew.Faults(), qt.HasLen, 0)
}

func cores(n int64) unit.Size { return unit.Size{CPUMilli: 1000 * n, MemoryMiB: 100} }

var big = unit.Size{CPUMilli: 16000, MemoryMiB: 32000, Accelerators: 8}

func steady(d time.Duration) func(string, graph.TaskID, int) (time.Duration, order.EndKind) {
	return func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return d, order.EndDone }
}

func TestShapesOfStepsComplete(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []graph.Step
	}{
		{"one task", []graph.Step{{Count: 1, Size: cores(1)}}},
		{"steps that follow", []graph.Step{{Count: 3, Size: cores(1)}, {Count: 2, Size: cores(2), After: []int{0}}}},
		{"a diamond", []graph.Step{
			{Count: 1, Size: cores(1)},
			{Count: 2, Size: cores(1), After: []int{0}},
			{Count: 2, Size: cores(1), After: []int{0}},
			{Count: 1, Size: cores(1), After: []int{1, 2}},
		}},
		{"a gang", []graph.Step{{Count: 4, Size: cores(8), Gang: true}}},
		{"a gang that belongs together", []graph.Step{{Count: 4, Size: cores(8), Gang: true, Colocate: true}}},
		{"a label", []graph.Step{{Count: 4, Size: cores(4), Label: "kind1"}}},
		{"a bound on each worker", []graph.Step{{Count: 4, Size: cores(1), MaxPerWorker: 1}}},
		{"more than fits at once", []graph.Step{{Count: 40, Size: cores(8)}}},
		{"filling tasks", []graph.Step{{Count: 6, Size: cores(16), Fills: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 4, big)
				s.crew.Work = steady(300 * time.Millisecond)
				r, stop := s.run()
				defer stop()
				s.submit("00000000000000aa", test.steps...)
				s.await(r, "00000000000000aa", graph.Completed, 20*time.Second)
				s.sound()
			})
		})
	}
}

func TestHopelessTasksEndTheirJobAfterTheirAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return 0, order.EndFailed }
		r, stop := s.run()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
		s.await(r, "00000000000000aa", graph.Failed, 20*time.Second)
		s.c.Assert(s.crew.Starts(), qt.Equals, 3)
	})
}

func TestCancelledJobsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(time.Hour)
		r, stop := s.run()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 4, Size: cores(1), Lasting: true, MayMiss: 1})
		s.await(r, "00000000000000aa", graph.Running, 5*time.Second)
		s.cancel("00000000000000aa")
		s.await(r, "00000000000000aa", graph.Cancelled, 2*time.Second)
		time.Sleep(2 * time.Second)
		s.c.Assert(s.crew.Running("w0")+s.crew.Running("w1"), qt.Equals, 0)
	})
}

// A runner that dies leaves runs behind; the next one adopts them and takes their ends, and starts nothing twice.
func TestTakeOverAdoptsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, big)
		s.crew.Work = steady(2 * time.Second)
		_, kill := s.run()
		for i := range 8 {
			s.submit(fmt.Sprintf("00000000000000%02x", i), graph.Step{Count: 4, Size: cores(1)})
		}
		time.Sleep(500 * time.Millisecond)
		kill()
		time.Sleep(2 * time.Second)
		r, stop := s.run()
		defer stop()
		for i := range 8 {
			s.await(r, fmt.Sprintf("00000000000000%02x", i), graph.Completed, 10*time.Second)
		}
		s.sound()
		s.c.Assert(s.crew.Starts(), qt.Equals, 32)
	})
}

// A worker that can't be reached at a take-over, and has left the registry, still runs its tasks until their leases end.
func TestTakeOverWaitsForWorkersThatLeftTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(30 * time.Second)
		_, kill := s.run()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		kill()
		s.crew.Cut("w1", true)
		s.list.workers = s.list.workers[:1]
		r, stop := s.run()
		defer stop()
		time.Sleep(3 * time.Second)
		s.c.Assert(s.crew.Running("w1") > 0, qt.IsTrue)
		s.await(r, "00000000000000aa", graph.Completed, 90*time.Second)
		s.sound()
	})
}

// A runner that was replaced behind its back is refused by the first worker or row that it comes to, and gives up.
func TestAReplacedRunnerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(300 * time.Millisecond)
		old, stopOld := s.run()
		defer stopOld()
		time.Sleep(time.Second)
		s.c.Assert(old.Ready(), qt.IsTrue)
		next, stop := s.run()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)})
		s.await(next, "00000000000000aa", graph.Completed, 10*time.Second)
		time.Sleep(elect.Fresh)
		s.c.Assert(old.Ready(), qt.IsFalse)
		s.sound()
		s.c.Assert(s.crew.Starts(), qt.Equals, 8)
	})
}

// What an earlier runner never started need not wait for workers that can't be reached.
// Pattern: hosts are stopped in turn while a worker is gone. What may run there is over a lease after the last order to it,
// however often the group changes hands meanwhile.
func TestTakeOversInARowWaitOnceForAWorkerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(time.Hour)
		r, kill := s.run()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2), Lasting: true})
		time.Sleep(500 * time.Millisecond)
		s.crew.Cut("w0", true)
		s.list.workers = s.list.workers[1:]
		gone := time.Now()
		for range 3 {
			time.Sleep(1900 * time.Millisecond)
			kill()
			s.told(r)
			r, kill = s.run()
		}
		defer kill()
		for s.crew.Running("w1") < 8 {
			s.c.Assert(time.Since(gone) < lease+2*time.Second, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
		s.sound()
	})
}

// Pattern: hosts are stopped in turn while a worker is cut off. What runs there is known, so that nothing else waits for it.
func TestAHandoverWaitsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = func(_ string, task graph.TaskID, _ int) (time.Duration, order.EndKind) {
			if task.Job == "00000000000000aa" {
				return 30 * time.Second, order.EndDone
			}
			return 400 * time.Millisecond, order.EndDone
		}
		r, kill := s.run()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)})
		time.Sleep(300 * time.Millisecond)
		s.submit("00000000000000bb", graph.Step{Count: 2, Size: cores(2)}, graph.Step{Count: 2, Size: cores(2), After: []int{0}})
		time.Sleep(200 * time.Millisecond)
		s.crew.Cut("w0", true)
		kill()
		s.c.Assert(s.handsOver(r), qt.IsTrue)
		r, kill = s.run()
		defer kill()
		s.await(r, "00000000000000bb", graph.Completed, 1500*time.Millisecond)
		s.c.Assert(s.crew.Running("w1"), qt.Equals, 0)
		s.crew.Cut("w0", false)
		s.await(r, "00000000000000aa", graph.Completed, 70*time.Second)
		s.sound()
	})
}

// A runner that stops completes its progress before it vouches for what it leaves; if it can't, it hands nothing over.
func TestOnlyAWholeHandoverIsMade(t *testing.T) {
	for _, away := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 2, big)
			s.crew.Work = steady(500 * time.Millisecond)
			r, kill := s.run()
			s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(2)}, graph.Step{Count: 1, Size: cores(1), After: []int{0}})
			time.Sleep(300 * time.Millisecond)
			if away {
				s.rows.Fail(func(string) fakes.RowsFault { return fakes.RowsRefuse })
			}
			time.Sleep(300 * time.Millisecond)
			kill()
			s.c.Assert(s.handsOver(r), qt.Equals, !away)
			s.rows.Fail(nil)
			r, kill = s.run()
			defer kill()
			s.await(r, "00000000000000aa", graph.Completed, 20*time.Second)
			s.sound()
		})
	}
}

func TestTakeOverStartsAtOnceWhatWasNeverStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(100 * time.Millisecond)
		_, kill := s.run()
		time.Sleep(500 * time.Millisecond)
		kill()
		s.crew.Cut("w1", true)
		s.submit("00000000000000aa", graph.Step{Count: 2, Size: cores(1)})
		r, stop := s.run()
		defer stop()
		s.await(r, "00000000000000aa", graph.Completed, 2*time.Second)
		s.sound()
	})
}

// Ends that a worker tells before the runner knows their job must not be lost.
func TestEndsAreSettledOnlyOnceJobsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(200 * time.Millisecond)
		_, kill := s.run()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(1)})
		time.Sleep(150 * time.Millisecond)
		kill()
		time.Sleep(time.Second)
		slow := true
		s.rows.Fail(func(op string) fakes.RowsFault {
			if op == "read" && slow {
				slow = false
				return fakes.RowsRefuse
			}
			return fakes.RowsOK
		})
		r, stop := s.run()
		defer stop()
		s.await(r, "00000000000000aa", graph.Completed, 10*time.Second)
		s.sound()
		s.c.Assert(s.crew.Starts(), qt.Equals, 8)
	})
}

// A failed run that two runners are told of, since the first could not acknowledge it, counts once.
func TestAFailedRunCountsOnceOverATakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, big)
		s.crew.Work = func(_ string, _ graph.TaskID, run int) (time.Duration, order.EndKind) {
			if run < 3 {
				return 10 * time.Millisecond, order.EndFailed
			}
			return 3 * time.Second, order.EndDone
		}
		r, kill := s.run()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
		for s.crew.Starts() < 3 {
			time.Sleep(time.Millisecond)
		}
		_ = r
		kill()
		next, stop := s.run()
		defer stop()
		s.await(next, "00000000000000aa", graph.Completed, 30*time.Second)
		s.sound()
	})
}

func TestStartsWithoutAnAnswerAreNotDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, big)
		s.crew.Work = steady(500 * time.Millisecond)
		r, stop := s.run()
		defer stop()
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1", "w2"} {
			s.crew.Deafen(id)
		}
		s.submit("00000000000000aa", graph.Step{Count: 12, Size: cores(2)})
		s.await(r, "00000000000000aa", graph.Completed, 20*time.Second)
		s.sound()
	})
}

func TestACutWorkerLosesItsTasksOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(4 * time.Second)
		r, stop := s.run()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		s.crew.Cut("w0", true)
		s.await(r, "00000000000000aa", graph.Completed, 40*time.Second)
		s.sound()
	})
}

func TestARebornWorkerStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, big)
		s.crew.Work = steady(3 * time.Second)
		r, stop := s.run()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 8, Size: cores(4)})
		time.Sleep(500 * time.Millisecond)
		s.crew.Crash("w0")
		s.await(r, "00000000000000aa", graph.Completed, 40*time.Second)
		s.sound()
	})
}

// Commits whose answers are lost, and a store that refuses for a while, must not lose or repeat anything.
func TestStoreThatLosesAnswersAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, big)
		s.crew.Work = steady(200 * time.Millisecond)
		r, stop := s.run()
		n := 0
		time.Sleep(200 * time.Millisecond)
		s.rows.Fail(func(op string) fakes.RowsFault {
			n++
			switch {
			case op == "commit" && n%3 == 0:
				return fakes.RowsLost
			case n%4 == 0:
				return fakes.RowsRefuse
			default:
				return fakes.RowsOK
			}
		})
		key := 0
		for key < 10 {
			doc := &graph.Job{
				ID: fmt.Sprintf("00000000000000%02x", key), Queue: queue, Service: service, Accepted: time.Now(), Attempts: 3,
				Steps: []graph.Step{{Count: 3, Size: cores(1)}, {Count: 3, Size: cores(1), After: []int{0}}},
			}
			raw, err := doc.Encode()
			s.c.Assert(err, qt.IsNil)
			k := table.Key{Table: runner.TableJobs(service), Part: runner.JobPart(service, doc.ID), Name: doc.ID}
			_, _ = s.rows.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: k, Value: raw}}})
			if _, ok := s.rows.Get(k); ok {
				key++
			}
		}
		for i := range 10 {
			s.await(r, fmt.Sprintf("00000000000000%02x", i), graph.Completed, 60*time.Second)
		}
		s.rows.Fail(nil)
		stop()
		s.sound()
		s.c.Assert(s.crew.Starts(), qt.Equals, 60)
	})
}
