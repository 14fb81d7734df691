package holder

import (
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
)

// leftTasks holds the tasks that this host left on a worker with its lease. They go on using their owners' quotas here until they are known to
// have ended, have expired, or are adopted again; another holder that adopts them counts them too.
type leftTasks struct {
	runs map[string]run
}

// leaveBehind records the tasks of a worker whose lease ends that may go on running; p.mu is held.
func (p *Pool) leaveBehind(h *HeldWorker) {
	if p.cfg.Quotas == nil {
		return
	}
	left := &leftTasks{runs: map[string]run{}}
	for task, r := range h.running {
		if mayRun := r.maybeStarted > 0 || r.class == entry.Request; mayRun && r.usesQuota {
			p.cfg.Quotas.Adopt(r.owner, r.size)
			left.runs[task] = r
		}
	}
	if len(left.runs) == 0 {
		return
	}
	p.leftBehind[h.name] = left
	time.AfterFunc(p.cfg.TaskTTL+p.cfg.LeaseTTL, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.leftBehind[h.name] == left {
			p.forgetLeftTasks(h.name)
			p.dispatch()
		}
	})
}

// forgetLeftTasks releases the quota of all tasks that were left on a worker; p.mu is held.
func (p *Pool) forgetLeftTasks(workerName string) {
	left := p.leftBehind[workerName]
	if left == nil {
		return
	}
	for _, r := range left.runs {
		p.cfg.Quotas.Release(r.owner, r.size)
	}
	delete(p.leftBehind, workerName)
}

// releaseLeftTask releases the quota of a task that was left on a worker and has ended; p.mu is held.
func (p *Pool) releaseLeftTask(workerName, task string) {
	left := p.leftBehind[workerName]
	if left == nil {
		return
	}
	if r, ok := left.runs[task]; ok {
		delete(left.runs, task)
		p.cfg.Quotas.Release(r.owner, r.size)
	}
}
