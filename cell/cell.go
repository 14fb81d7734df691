package cell

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/budget"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
)

// Settings are the times that the platform guarantees, and the parameters of this scheduler.
type Settings struct {
	// Lease is the maximum duration of a worker's lease after an order.
	Lease time.Duration
	// DataCenter is the data centre of this scheduler.
	DataCenter string
	// Early is how long before its due time an occurrence may start.
	Early time.Duration
	// LeaseAge returns how long ago the last renewal of the group's lease was sent, suspended time included; nil means now.
	LeaseAge func() time.Duration
	// ExclusiveFor is the age of the group's lease up to which no other scheduler can have acquired it.
	ExclusiveFor time.Duration
	// OldestConn returns for how long the oldest connection to a worker has been open; ok is false if there is none. nil means that every
	// worker has one that is old enough for any order.
	OldestConn func(w *order.Worker) (age time.Duration, ok bool)
	// RecordsSince is the token since which all schedulers have recorded on which worker a lasting task is before they started it; 0 if none
	// of the earlier ones did.
	RecordsSince uint64
	// RunsPerToken is how many run numbers are reserved for each token, so that new runs don't reuse numbers of unreported
	// runs of an earlier scheduler.
	RunsPerToken int
	// TaskLimit returns of how many tasks the group may keep what is known of them: those that run, and those that wait after a run. nil means that
	// they are not limited.
	TaskLimit func() budget.Limit
	// OnFinished is called with the team and the final state of each job whose end becomes durable; nil means not at all. It must not block,
	// nor call the group.
	OnFinished func(team string, state graph.State)
}

// taskLimit returns the present limit of known tasks.
func (s *Settings) taskLimit() budget.Limit {
	if s.TaskLimit == nil {
		return math.MaxInt64
	}
	return s.TaskLimit()
}

// Timing of leases and of the memory of finished jobs.
const (
	// leaseMargin covers a worker's clock that is 2% slow over a lease of 6 s, and the transit of an order.
	leaseMargin = 350 * time.Millisecond
	// finishedJobTTL is how long the state of a finished job is kept in memory.
	finishedJobTTL = 10 * time.Minute
)

// Cell holds the workers and jobs of one service. All methods are safe for concurrent use.
type Cell struct {
	mu       sync.Mutex
	settings Settings
	log      logrus.FieldLogger
	token    uint64
	firstRun int

	workers map[string]*worker
	// workerList holds the workers by id; it is nil after one was added or removed.
	workerList []*worker
	jobs       map[string]*job
	// scheduled holds the jobs with occurrences that are neither open nor completed.
	scheduled map[string]*job
	// finished holds the final states of jobs whose records are durable.
	finished map[string]finishedJob
	// dirty holds the jobs with progress that is not durable yet.
	dirty map[string]*job
	// stepsToPlace holds the steps that have tasks to place.
	stepsToPlace map[graph.StepID]*step
	// parked holds the late steps that are left out of plans until others with the same requirements are placed.
	parked map[requirements]parkedSteps
	// speculativeSteps holds the steps with runs that may get speculative copies.
	speculativeSteps map[graph.StepID]*step
	// jobBytes is the memory that the jobs take, the finished ones included.
	jobBytes atomic.Int64
	// longRunningTasks is the number of tasks of the jobs that run until they are cancelled.
	longRunningTasks atomic.Int64
	// knownTasks counts the tasks of which something is known, and the copies of them.
	knownTasks taskCounter
	// taskLimit is the limit of knownTasks in the present plan.
	taskLimit budget.Limit
	// nextSpeculationAt is when tasks that need a speculative copy are searched for next.
	nextSpeculationAt time.Time
	dataCenters       map[string]*dataCenter
	// stopRequested holds the runs to be stopped.
	stopRequested map[*placement]struct{}
	// throttlesToSend holds the runs whose CPU throttle has changed and has not been sent.
	throttlesToSend map[*placement]struct{}
	// awaitingReports says that runs of earlier schedulers may be active on workers that have not reported yet.
	awaitingReports bool
	// allRunsKnown says that the runs on all workers are known; a scheduler that ends before that can't hand over its runs.
	allRunsKnown bool
	// expectedWorkers are the workers that an earlier scheduler used, with the time when its runs there are guaranteed to
	// have ended, recordedWorkers those in the durable record, and namedWorkers those that it may name.
	expectedWorkers map[string]time.Time
	recordedWorkers map[string]bool
	namedWorkers    map[string]bool
	// unrenewedWorkers are the workers that the durable record of unrenewed workers names, or may name: no order is sent that renews the
	// leases there, since the next scheduler relies on that.
	unrenewedWorkers map[string]bool
	candidateIndex   candidateIndex
	urgentDemand     urgentDemand
	// preemptibleRuns counts, for each priority, the placed runs that may be preempted for it.
	preemptibleRuns map[int]int
	runTimes        *runTimeEstimator
	// activities holds the activity of each kind of task.
	activities  map[string]*activity
	adviceRates map[string]*adviceRate
	// callsInFlight holds the expected duration of each queue's calls to the advisor that have not been answered.
	callsInFlight map[string]time.Duration
	// staleLease is what is kept while the group's lease is so old that starts are sent over old connections only.
	staleLease staleLease
	// losses tells whether orders to workers get lost.
	losses lossMeter
	// admittedAt is when the jobs that are to meet their objectives were last chosen.
	admittedAt time.Time
	// teams holds the teams that have a cap, and teamsFrom the configuration that names them.
	teams     map[string]*team
	teamsFrom *queues.Config
	// workersExpected says that the workers that an earlier scheduler used are known.
	workersExpected bool
	// aged is the overdue step that counts as on time, and nextAgedAt when the next one may.
	aged       *step
	nextAgedAt time.Time
	// overloaded says that more is deferred than the workers can run at a time.
	overloaded       bool
	overloadLogged   bool
	overloadLoggedAt time.Time
	// deferred counts the deferred jobs by the last choice.
	deferred map[DeferralCause]int
	// kinds holds what is known of the jobs of each queue.
	kinds map[string]*kindStats
	// fairness divides the capacity among teams.
	fairness fairness
	// renewingTickets says that a request that renews tickets is in flight.
	renewingTickets bool
	stats           Stats
}

// finishedJobBytes is about how much memory a finished job takes.
const finishedJobBytes = 256

// keepFinished keeps the final state of a job.
func (c *Cell) keepFinished(id string, f finishedJob) {
	if _, ok := c.finished[id]; !ok {
		c.jobBytes.Add(finishedJobBytes)
	}
	c.finished[id] = f
}

// JobBytes returns about how much memory the jobs take, the finished ones included, without that of running tasks. It doesn't wait for a plan.
func (c *Cell) JobBytes() int64 { return c.jobBytes.Load() }

// Tasks returns the number of tasks of which something is known, and that of the tasks that run until their jobs are cancelled, whether they have been
// started or not. It doesn't wait for a plan.
func (c *Cell) Tasks() (known, longRunning int64) {
	return c.knownTasks.n.Load(), c.longRunningTasks.Load()
}

// finishedJob is what is kept of a finished job.
type finishedJob struct {
	state      graph.State
	queue      string
	team       string
	finishedAt time.Time
}

// Stats counts the events of the group since this scheduler took it over.
type Stats struct {
	Starts      uint64
	Ends        map[order.EndKind]uint64
	Preemptions uint64
	Lost        uint64
	// Resurfaced counts the runs of this scheduler that a worker reported as active after they had been counted as ended.
	Resurfaced uint64
	// Overcommits counts how often the runs on a worker came to exceed its capacity.
	Overcommits uint64
}

// New returns an empty group that is scheduled under a fencing token.
func New(settings Settings, token uint64, log logrus.FieldLogger) *Cell {
	return &Cell{
		settings: settings, log: log, token: token, taskLimit: math.MaxInt64, firstRun: int(token-1)*settings.RunsPerToken + 1,
		workers: map[string]*worker{}, jobs: map[string]*job{}, scheduled: map[string]*job{}, finished: map[string]finishedJob{},
		dirty: map[string]*job{}, stepsToPlace: map[graph.StepID]*step{}, parked: map[requirements]parkedSteps{},
		speculativeSteps: map[graph.StepID]*step{}, dataCenters: map[string]*dataCenter{}, stopRequested: map[*placement]struct{}{},
		throttlesToSend: map[*placement]struct{}{}, activities: map[string]*activity{}, runTimes: newRunTimeEstimator(),
		expectedWorkers: map[string]time.Time{}, recordedWorkers: map[string]bool{}, namedWorkers: map[string]bool{}, unrenewedWorkers: map[string]bool{},
		adviceRates: map[string]*adviceRate{}, callsInFlight: map[string]time.Duration{}, preemptibleRuns: map[int]int{}, teams: map[string]*team{},
		kinds: map[string]*kindStats{}, fairness: newFairness(), stats: Stats{Ends: map[order.EndKind]uint64{}},
	}
}

// leaseAge returns the age of the group's lease.
func (c *Cell) leaseAge() time.Duration {
	if c.settings.LeaseAge == nil {
		return 0
	}
	return c.settings.LeaseAge()
}

// isExclusive reports whether no other scheduler can have acquired the group's lease, which is as old as given. Only then does the time
// since this scheduler's last order tell when a worker's lease ends: another one may have renewed it.
func (c *Cell) isExclusive(leaseAge time.Duration) bool { return leaseAge <= c.settings.ExclusiveFor }

// Token returns the fencing token of all orders.
func (c *Cell) Token() uint64 { return c.token }

// AwaitReports holds back tasks of restored jobs that are not found running, until AllRunsKnown is called.
func (c *Cell) AwaitReports() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingReports, c.allRunsKnown = true, false
}

// AllRunsKnown records that the runs of earlier schedulers on all workers are known or have ended.
func (c *Cell) AllRunsKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingReports, c.allRunsKnown = false, true
	c.setLocationsKnown()
}

// State returns a job's state; known is false if the group has no such job in the queue that the caller sees.
func (c *Cell) State(id, queue string, caller queues.Caller) (state graph.State, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished, ok := c.finished[id]; ok && finished.queue == queue {
		if !caller.Sees(finished.team) {
			return "", false
		}
		return finished.state, true
	}
	j, ok := c.jobs[id]
	if !ok || j.doc.Queue != queue || !caller.Sees(j.doc.Team) {
		return "", false
	}
	return j.visibleState(), true
}

// Pending returns the number of a queue's unfinished jobs that the caller sees and of which no task has started.
func (c *Cell) Pending(queue string, caller queues.Caller) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if j.doc.Queue == queue && caller.Sees(j.doc.Team) && !j.started && !j.state.Terminal() {
			n++
		}
	}
	return n
}

// Counts returns the numbers of workers, unfinished jobs and placements, for metrics.
func (c *Cell) Counts() (workers, jobs, placed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		placed += len(w.placements)
	}
	return len(c.workers), len(c.jobs), placed
}

// Stats returns a copy of the counts.
func (c *Cell) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Ends = map[order.EndKind]uint64{}
	for k, count := range c.stats.Ends {
		s.Ends[k] = count
	}
	return s
}

// ExpiredJobs returns at most n jobs that finished more than finishedJobTTL ago, whose rows can be removed.
func (c *Cell) ExpiredJobs(now time.Time, n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []string
	for id, finished := range c.finished {
		if len(expired) < n && now.Sub(finished.finishedAt) > finishedJobTTL {
			expired = append(expired, id)
		}
	}
	return expired
}

// Forget drops jobs whose rows have been removed. While its row is there, a dropped job would be taken for a new one.
func (c *Cell) Forget(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if _, ok := c.finished[id]; ok {
			delete(c.finished, id)
			c.jobBytes.Add(-finishedJobBytes)
		}
	}
}
