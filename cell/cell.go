package cell

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Settings are the times that the platform promises.
type Settings struct {
	// Lease is how long a worker's lease lasts at most after an order.
	Lease time.Duration
	// DataCenter is where this scheduler runs.
	DataCenter string
	// Early is how long before its due time an occurrence may start.
	Early time.Duration
	// RunsPerToken leaves room for the runs that an earlier scheduler started and nobody reported.
	RunsPerToken int
}

// Times of the group of workers.
const (
	// leaseSlack covers a worker's clock that is 2% slow over a lease of 6 s, and the way of an order.
	leaseSlack = 350 * time.Millisecond
	// forgetAfter is how long the state of a finished job is kept in memory.
	forgetAfter = 10 * time.Minute
)

// Cell holds the workers and jobs of one service; all methods may be called at once.
type Cell struct {
	mu       sync.Mutex
	settings Settings
	log      logrus.FieldLogger
	token    uint64
	firstRun int

	workers map[string]*worker
	jobs    map[string]*job
	// over holds the final states of jobs whose records are durable.
	over map[string]finished
	// dirty holds the jobs whose progress is not durable yet.
	dirty map[string]*job
	// open holds the steps that have tasks to place.
	open map[graph.StepID]*step
	// copyable holds the steps with runs of which copies may be made.
	copyable map[graph.StepID]*step
	// copiesAt is when tasks to copy are looked for again.
	copiesAt time.Time
	// centers are the data centres of the workers.
	centers map[string]*center
	// unwanted holds the runs to be stopped.
	unwanted map[*placement]struct{}
	// repace holds the runs whose pace has changed and was not sent.
	repace map[*placement]struct{}
	// unknownUntil is when a task that an earlier scheduler may have started is surely over everywhere.
	unknownUntil time.Time
	// settled says that it is known what runs on all workers; a scheduler that ends before can't vouch for what it leaves.
	settled bool
	// expected are the workers that an earlier scheduler used, with when what it started there is surely over, and recorded
	// those on durable record.
	expected map[string]time.Time
	recorded map[string]bool
	rooms    rooms
	demand   demand
	// yields counts, for each priority, the placed runs that may be stopped for it.
	yields  map[int]int
	learned *learned
	advice  map[string]*adviceRate
	// renewing says that a call is out that renews tickets.
	renewing bool
	stats    Stats
}

// finished is what is remembered of a job that is over.
type finished struct {
	state graph.State
	queue string
	at    time.Time
}

// Stats counts what the group has done since it was taken over.
type Stats struct {
	Starts      uint64
	Ends        map[order.EndKind]uint64
	Preemptions uint64
	Lost        uint64
}

// New returns an empty group that is scheduled under a fencing token.
func New(settings Settings, token uint64, log logrus.FieldLogger) *Cell {
	return &Cell{
		settings: settings, log: log, token: token, firstRun: int(token-1)*settings.RunsPerToken + 1,
		workers: map[string]*worker{}, jobs: map[string]*job{}, over: map[string]finished{},
		dirty: map[string]*job{}, open: map[graph.StepID]*step{},
		copyable: map[graph.StepID]*step{}, centers: map[string]*center{}, unwanted: map[*placement]struct{}{},
		repace: map[*placement]struct{}{}, learned: newLearned(),
		expected: map[string]time.Time{}, recorded: map[string]bool{},
		advice: map[string]*adviceRate{}, yields: map[int]int{}, stats: Stats{Ends: map[order.EndKind]uint64{}},
	}
}

// Token returns the fencing token of all orders.
func (c *Cell) Token() uint64 { return c.token }

// HoldUnknown keeps tasks of earlier jobs from being started until t, unless they are found; the zero time says that it is
// known what runs.
func (c *Cell) HoldUnknown(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unknownUntil, c.settled = t, t.IsZero()
}

// State returns where a job stands; known is false for a job that is not held here.
func (c *Cell) State(id, queue string) (state graph.State, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.over[id]; ok && f.queue == queue {
		return f.state, true
	}
	j, ok := c.jobs[id]
	if !ok || j.doc.Queue != queue {
		return "", false
	}
	return j.visible(), true
}

// Pending returns the number of a queue's jobs of which no task has started.
func (c *Cell) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if j.doc.Queue == queue && !j.started && !j.state.Over() {
			n++
		}
	}
	return n
}

// Counts returns the numbers of workers, unfinished jobs, and placements, for metrics.
func (c *Cell) Counts() (workers, jobs, placed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		placed += len(w.placed)
	}
	return len(c.workers), len(c.jobs), placed
}

// Stats returns a copy of the counts.
func (c *Cell) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Ends = map[order.EndKind]uint64{}
	for k, n := range c.stats.Ends {
		s.Ends[k] = n
	}
	return s
}

// Old returns at most n jobs that ended long ago, whose rows can be removed.
func (c *Cell) Old(now time.Time, n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []string
	for id, f := range c.over {
		if len(old) < n && now.Sub(f.at) > forgetAfter {
			old = append(old, id)
		}
	}
	return old
}

// Forget drops jobs whose rows were removed; before that they would be taken for new ones.
func (c *Cell) Forget(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.over, id)
	}
}
