package emul

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
)

// Times of the emulated scheduler.
const (
	// seenAfter is how long after its submission a job is known to the scheduler.
	seenAfter = 20 * time.Millisecond
	// planInterval is the minimum interval between plans.
	planInterval = 3 * time.Millisecond
	// commitTime is how long a commit takes, and commitDelay how long one that is not urgent is delayed.
	commitTime  = 12 * time.Millisecond
	commitDelay = 30 * time.Millisecond
	// maxCommitJobs is the maximum number of jobs in a commit.
	maxCommitJobs = 48
	// lease is the maximum duration of a worker's lease.
	lease = 6 * time.Second
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// player plays a scenario.
type player struct {
	scenario *Scenario
	rng      *rand.Rand
	cell     *cell.Cell
	cfg      *queues.Config
	start0   time.Time
	now      time.Duration
	events   eventHeap
	numSeq   int
	jobs     map[string]*job
	arrived  []*job
	workers  map[string]*worker
	// byID holds the workers in the order of their ids.
	byID     []*worker
	gangs    map[gangKey][]*run
	advisor  *advisor
	lastPlan time.Duration
	// planAt is when the next plan is due; negative if none is.
	planAt     time.Duration
	committing bool
	version    uint64
	result     Result
}

// Play plays a scenario; the result depends on the scenario alone.
func Play(s Scenario) Result {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	p := &player{
		scenario: &s, rng: rand.New(rand.NewPCG(s.Seed, 0)), start0: time.Unix(1_000_000, 0), jobs: map[string]*job{},
		workers: map[string]*worker{}, gangs: map[gangKey][]*run{}, planAt: -1, version: 1,
		cell: cell.New(cell.Settings{Lease: lease, DataCenter: "a", RunsPerToken: 1000}, 1, log), cfg: &queues.Config{Version: 1},
	}
	p.advisor = newAdvisor(p)
	for i := range s.Classes {
		c := &s.Classes[i]
		p.cfg.Queues = append(p.cfg.Queues, queues.Queue{
			Name: c.Queue, Priority: c.Priority, MaxAttempts: c.MaxAttempts, Stretch: c.Stretch, Objective: c.Objective, Advice: c.Advice,
		})
	}
	for _, team := range s.Teams {
		p.cfg.Teams = append(p.cfg.Teams, queues.Team{Name: team.Name, Weight: team.Weight})
	}
	p.addWorkers()
	p.arrived = s.arrivals(p.rng, p.start0)
	for _, j := range p.arrived {
		p.jobs[j.doc.ID] = j
		p.at(j.at, func() {
			p.toScheduler(seenAfter, func() {
				p.cell.Add(j.doc, nil, 0, p.clock())
				p.wake()
				p.commit()
			})
		})
	}
	for _, l := range s.Losses {
		p.at(l.At, func() { p.lose(l) })
	}
	end := s.Length + s.Tail
	for len(p.events) > 0 && p.events[0].at <= end {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.now = end
	for _, w := range p.byID {
		for _, r := range w.running {
			p.accountWork(r)
		}
	}
	p.result.score(p)
	return p.result
}

func (p *player) addWorkers() {
	const rackSize = 8
	ids := make([]string, p.scenario.Workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%04d", i)
		info := order.Worker{
			ID: ids[i], Capacity: p.scenario.Capacity, Rack: fmt.Sprint(i / rackSize), DataCenter: string(rune('a' + i%max(1, p.scenario.DataCenters))),
			StartedAt: p.start0.Add(-time.Minute),
		}
		p.workers[info.ID] = &worker{info: info, running: map[runKey]*run{}, speed: 1}
		if n := len(p.scenario.Speeds); n > 0 {
			p.workers[info.ID].speed = p.scenario.Speeds[i%n]
		}
		p.byID = append(p.byID, p.workers[info.ID])
		p.cell.SetWorker(info, p.clock())
	}
	p.cell.Recorded(ids)
	for _, id := range ids {
		p.cell.Polled(id, order.Report{Clock: time.Hour, StartedAt: p.start0.Add(-time.Minute)}, 0, p.clock(), p.clock())
	}
}

// clock returns the time of day.
func (p *player) clock() time.Time { return p.start0.Add(p.now) }

func (p *player) at(t time.Duration, do func()) {
	p.numSeq++
	heap.Push(&p.events, event{t, p.numSeq, do})
}

func (p *player) after(d time.Duration, do func()) { p.at(p.now+d, do) }

// toScheduler lets something reach the scheduler after a time, once it isn't paused.
func (p *player) toScheduler(d time.Duration, do func()) { p.at(p.scenario.paused(p.now+d), do) }

// wake lets the scheduler plan soon.
func (p *player) wake() { p.planNoLaterThan(max(p.now, p.lastPlan+planInterval)) }

func (p *player) planNoLaterThan(t time.Duration) {
	t = p.scenario.paused(t)
	if p.planAt >= 0 && p.planAt <= t {
		return
	}
	p.planAt = t
	p.at(t, func() {
		if p.planAt == t {
			p.plan()
		}
	})
}

func (p *player) plan() {
	p.planAt, p.lastPlan = -1, p.now
	p.result.Plans++
	plan := p.cell.Plan(p.cfg, p.advisor, p.clock())
	for _, o := range plan.Starts {
		p.result.Starts++
		sent := p.clock()
		p.cell.StartLease(o, sent)
		p.after(oneWay, func() {
			p.start(o)
			p.toScheduler(oneWay, func() {
				p.cell.Started(o, cell.StartResult{Sent: sent, Clock: time.Hour + p.now}, p.clock())
			})
		})
		if w := p.workers[o.Worker.ID]; !w.looping {
			p.pollLoop(w)
		}
	}
	for _, o := range plan.Stops {
		p.after(oneWay, func() {
			p.stop(o)
			p.toScheduler(oneWay, func() { p.cell.Stopped(o, time.Hour+p.now, nil, p.clock()) })
		})
	}
	for _, r := range plan.AdviceRequests {
		p.advisor.call(r)
	}
	p.commit()
	if !plan.NextPlanAt.IsZero() {
		p.planNoLaterThan(max(p.now+planInterval, plan.NextPlanAt.Sub(p.start0)))
	}
}

// commit stores the progress of jobs, one batch at a time.
func (p *player) commit() {
	dirty, urgent := p.cell.Dirty()
	if p.committing || !dirty {
		return
	}
	p.committing = true
	delay := commitDelay
	if urgent {
		delay = 0
	}
	p.after(delay, func() {
		batch := p.cell.Collect(maxCommitJobs)
		p.toScheduler(commitTime, func() {
			p.version++
			p.cell.Committed(batch, p.version, p.clock())
			p.committing = false
			for _, change := range batch.Changes {
				if j := p.jobs[change.Job]; change.Progress.State.Terminal() && j.completedAt == 0 {
					j.completedAt, j.failed = p.now, change.Progress.State != graph.Completed
				}
			}
			for _, w := range p.byID {
				if !w.looping {
					p.pollLoop(w)
				}
			}
			p.wake()
			p.commit()
		})
	})
}

// allowed reports whether the advisor allows a step on a worker, which never changes.
func (p *player) allowed(step graph.StepID, worker string) bool {
	const buckets = 1000
	share := p.jobs[step.Job].class.AllowedShare
	return float64(xxhash.Sum64String(step.String()+"/"+worker)%buckets) < share*buckets
}
