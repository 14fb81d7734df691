package holder

import (
	"sort"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// WorkerReport is the state of a worker as reported to operators.
type WorkerReport struct {
	Name     string    `json:"name"`
	Rack     string    `json:"rack"`
	Holder   string    `json:"holder"`
	Epoch    uint64    `json:"epoch"`
	Capacity unit.Size `json:"capacity"`
	Used     unit.Size `json:"used"`
	Tasks    int       `json:"tasks"`
	State    string    `json:"state"`
}

// OwnerReport reports an owner's running tasks, their allocation, and its waiting tasks at one entry host.
type OwnerReport struct {
	Owner     string    `json:"owner"`
	Running   int       `json:"running"`
	Allocated unit.Size `json:"holds"`
	Waiting   int       `json:"waiting"`
}

// Load summarises a pool, for other hosts' choice of where to send work.
type Load struct {
	UsedShare     float64
	Free          unit.Size
	MaxCapacity   unit.Size
	PredictedWait time.Duration
	Held          []string
	// Stopping says that this host starts no new work on its workers.
	Stopping bool
}

// Workers reports on all workers that this host holds.
func (p *Pool) Workers() []WorkerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := []WorkerReport{}
	for _, h := range p.workers {
		if !h.ready {
			continue
		}
		reports = append(reports, WorkerReport{
			Name: h.name, Rack: h.info.Rack, Holder: p.cfg.Holder, Epoch: h.epoch, Capacity: h.ledger.Capacity(),
			Used: h.ledger.Used(), Tasks: h.ledger.Len(), State: h.state(),
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Name < reports[j].Name })
	return reports
}

func (h *HeldWorker) state() string {
	switch {
	case h.selfLeaving:
		return "leaving-by-its-own-word"
	case h.info.Leaving:
		return "leaving-by-list-or-operator"
	case h.health.ejected():
		return "ejected-its-tasks-fail"
	default:
		return "in-use"
	}
}

// Owners reports on all owners with running or waiting tasks here.
func (p *Pool) Owners() []OwnerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	owners := map[string]*OwnerReport{}
	get := func(name string) *OwnerReport {
		if owners[name] == nil {
			owners[name] = &OwnerReport{Owner: name}
		}
		return owners[name]
	}
	for _, h := range p.indexedWorkers {
		if h == nil {
			continue
		}
		for _, r := range h.running {
			if !r.suspended {
				report := get(r.owner)
				report.Running++
				report.Allocated = report.Allocated.Add(r.size)
			}
		}
	}
	for _, q := range p.lanes {
		q.Owners(func(owner string, waiting int) { get(owner).Waiting += waiting })
	}
	reports := []OwnerReport{}
	for _, report := range owners {
		reports = append(reports, *report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Owner < reports[j].Owner })
	return reports
}

// WorkerBytes returns how many bytes were exchanged with the workers in this pool.
func (p *Pool) WorkerBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total int64
	for _, h := range p.workers {
		sent, read := h.client.Bytes()
		total += sent + read
	}
	return total
}

// Load returns the pool's current load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var load Load
	var used unit.Size
	for _, h := range p.indexedWorkers {
		if h == nil {
			continue
		}
		load.Held = append(load.Held, h.name)
		used = used.Add(h.ledger.Used())
		load.MaxCapacity = load.MaxCapacity.Max(h.ledger.Capacity())
		if h.usable() {
			load.Free = load.Free.Add(h.ledger.Free(false))
		}
	}
	load.UsedShare = used.Share(p.totalCapacity)
	load.PredictedWait = p.predictWait(laneShort, "", 1)
	load.Stopping = p.stopping
	return load
}
