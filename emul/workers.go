package emul

import (
	"fmt"
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Times of the emulated workers and paths.
const (
	// oneWay is how long a message takes between the scheduler and a worker or another host.
	oneWay = 2 * time.Millisecond
	// stopGrace is how long a run takes to stop.
	stopGrace = 200 * time.Millisecond
	// checkpointInterval is the work between two checkpoints, and restoreTime the time that it takes to resume from one.
	checkpointInterval = time.Second
	restoreTime        = 250 * time.Millisecond
	// maxPollWait is how long a worker holds back its answer to a poll.
	maxPollWait = time.Second
)

// run is a run on a worker.
type run struct {
	task graph.TaskID
	n    int
	w    *worker
	step *graph.Step
	// resumedFrom is the work that the checkpoint holds from which the run started, and workUntil the work at its end.
	resumedFrom time.Duration
	workUntil   time.Duration
	// workingSince is when the run began to work; zero for a member of a gang that waits for the others.
	workingSince time.Duration
	fails        bool
	stopping     bool
}

// worker is an emulated worker.
type worker struct {
	info    order.Worker
	speed   float64
	running map[runKey]*run
	used    unit.Size
	ended   []order.End
	numEnds uint64
	// polled is the poll that waits for an end; nil if there is none.
	polled *heldPoll
	// looping says that a poll is in flight or due.
	looping bool
}

type runKey struct {
	task graph.TaskID
	run  int
}

// heldPoll is a poll that a worker has not answered yet.
type heldPoll struct {
	order order.Poll
	sent  time.Duration
}

// checkpoint returns a run's latest checkpoint, "" if there is none.
func (r *run) checkpoint(now time.Duration) string {
	if !r.step.Checkpoint {
		return ""
	}
	work := r.workAt(now).Truncate(checkpointInterval)
	if work == 0 {
		return ""
	}
	return fmt.Sprintf("%015d", work.Milliseconds())
}

// workAt returns the work that a run has done.
func (r *run) workAt(now time.Duration) time.Duration {
	if r.workingSince == 0 {
		return r.resumedFrom
	}
	elapsed := now - r.workingSince
	if r.resumedFrom > 0 {
		elapsed -= restoreTime
	}
	return min(r.workUntil, r.resumedFrom+time.Duration(float64(max(0, elapsed))*r.w.speed))
}

// start carries out a start on its worker.
func (p *player) start(o cell.StartOrder) {
	j, w := p.jobs[o.Order.Task.Job], p.workers[o.Worker.ID]
	step := &j.doc.Steps[o.Order.Task.Step]
	r := &run{
		task: o.Order.Task, n: o.Order.Run, w: w, step: step, workUntil: j.runTimes[o.Order.Task.Step][o.Order.Task.Index],
		fails: p.rng.Float64() < j.class.FailShare,
	}
	if o.Order.Checkpoint != "" {
		ms, err := strconv.ParseInt(o.Order.Checkpoint, 10, 64)
		if err == nil {
			r.resumedFrom = time.Duration(ms) * time.Millisecond
		}
	}
	w.running[runKey{r.task, r.n}] = r
	w.used = w.used.Add(step.Size)
	if !w.used.Fits(w.info.Capacity) {
		p.result.Overcommits++
	}
	if !step.Gang {
		p.work(r)
		return
	}
	gang := gangKey{r.task.StepID, r.n}
	p.gangs[gang] = append(p.gangs[gang], r)
	if len(p.gangs[gang]) == step.Count {
		p.workGang(p.gangs[gang])
	}
}

type gangKey struct {
	step graph.StepID
	run  int
}

// work lets a run work until it ends.
func (p *player) work(r *run) {
	r.workingSince = p.now
	kind, left := order.EndDone, time.Duration(float64(r.workUntil-r.resumedFrom)/r.w.speed)
	if r.resumedFrom > 0 {
		left += restoreTime
	}
	if r.fails {
		kind, left = order.EndFailed, left/2
	}
	p.after(max(0, left), func() {
		if !r.stopping {
			p.end(r, kind)
		}
	})
}

// workGang lets the members of a gang work; one end stands for all of them.
func (p *player) workGang(members []*run) {
	longest := members[0]
	for _, r := range members {
		r.workingSince = p.now
		if r.workUntil-r.resumedFrom > longest.workUntil-longest.resumedFrom {
			longest = r
		}
	}
	longest.fails = longest.fails && p.rng.IntN(len(members)) == 0
	p.work(longest)
}

// end ends a run, and with it the gang that it belongs to.
func (p *player) end(r *run, kind order.EndKind) {
	if !p.remove(r, kind) {
		return
	}
	if !r.step.Gang {
		return
	}
	gang := gangKey{r.task.StepID, r.n}
	members := p.gangs[gang]
	delete(p.gangs, gang)
	others := order.EndGangBroken
	if kind == order.EndDone {
		others = order.EndDone
	}
	for _, m := range members {
		p.remove(m, others)
	}
}

// remove takes a run from its worker, and reports whether it was there.
func (p *player) remove(r *run, kind order.EndKind) bool {
	w, key := r.w, runKey{r.task, r.n}
	if w.running[key] != r {
		return false
	}
	p.accountWork(r)
	delete(w.running, key)
	w.used = w.used.Sub(r.step.Size)
	w.numEnds++
	checkpoint := r.checkpoint(p.now)
	if kind == order.EndStopped && r.step.Checkpoint && r.workAt(p.now) > 0 {
		checkpoint = fmt.Sprintf("%015d", r.workAt(p.now).Milliseconds())
	}
	w.ended = append(w.ended, order.End{Number: w.numEnds, Task: r.task, Run: r.n, Kind: kind, Checkpoint: checkpoint})
	p.answerPoll(w)
	return true
}

// lose takes workers away.
func (p *player) lose(l Loss) {
	n := int(l.Share * float64(len(p.byID)))
	for i, w := range p.byID {
		if n*(i+1)/len(p.byID) == n*i/len(p.byID) {
			continue
		}
		w.info.Draining, w.info.Remaining = true, l.Notice
		p.cell.SetWorker(w.info, p.clock())
		p.after(l.Notice, func() {
			for _, r := range w.running {
				p.end(r, order.EndStopped)
			}
			p.cell.Unlist(w.info.ID)
			p.wake()
		})
	}
	p.wake()
}

// stop carries out a stop.
func (p *player) stop(o cell.StopOrder) {
	r, ok := p.workers[o.Worker.ID].running[runKey{o.Order.Task, o.Order.Run}]
	if !ok || r.stopping {
		return
	}
	r.stopping = true
	p.after(stopGrace, func() { p.end(r, order.EndStopped) })
}

// pollLoop polls a worker as long as the scheduler needs it.
func (p *player) pollLoop(w *worker) {
	next := p.cell.NextPoll(w.info.ID, p.clock())
	if !next.Needed {
		w.looping = false
		return
	}
	w.looping = true
	if next.Delay > 0 {
		p.after(next.Delay, func() { p.sendPoll(w, p.cell.NextPoll(w.info.ID, p.clock()).Order) })
		return
	}
	p.sendPoll(w, next.Order)
}

func (p *player) sendPoll(w *worker, o order.Poll) {
	p.cell.PollSent(w.info.ID, o, p.clock())
	p.result.Polls++
	sent := p.now
	p.after(oneWay, func() {
		n := 0
		for n < len(w.ended) && w.ended[n].Number <= o.Acked {
			n++
		}
		w.ended = w.ended[n:]
		held := &heldPoll{order: o, sent: sent}
		w.polled = held
		if len(w.ended) > 0 || o.Wait == 0 {
			p.answerPoll(w)
			return
		}
		p.after(min(o.Wait, maxPollWait), func() {
			if w.polled == held {
				p.answerPoll(w)
			}
		})
	})
}

// answerPoll lets a worker answer the poll that it holds.
func (p *player) answerPoll(w *worker) {
	held := w.polled
	if held == nil {
		return
	}
	w.polled = nil
	report := order.Report{Clock: time.Hour + p.now, StartedAt: w.info.StartedAt, Ended: append([]order.End(nil), w.ended...)}
	for key, r := range w.running {
		report.Running = append(report.Running, order.Run{
			Task: key.task, Run: key.run, Checkpoint: r.checkpoint(p.now), CPUPercent: 100, Gauge: float64(r.step.Size.CPUMilli),
		})
	}
	p.toScheduler(oneWay, func() {
		p.cell.Polled(w.info.ID, report, held.order.Acked, p.start0.Add(held.sent), p.clock())
		p.wake()
		p.commit()
		p.pollLoop(w)
	})
}
