package holder

import (
	"context"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// flightGrace is how long a run whose callers have all gone waits for one of them to come back; it is longer than
	// a caller takes to find out that its connection is silent.
	flightGrace = 6 * time.Second
	// flightKept is how long an answer is kept for a caller that asks again.
	flightKept = 3 * time.Second
)

// Call is one request that is to run on a worker.
type Call struct {
	Need        Need
	Params      string
	ContentType string
	Body        []byte
	// Local marks a caller in this process, which won't come back once it has left.
	Local bool
}

// Answer is the whole answer of a request and where it ran.
type Answer struct {
	worker.Answer
	Worker string
	held   *Held
	task   string
}

// flight is a request on its way; callers with the same task id share it.
type flight struct {
	done   chan struct{}
	cancel context.CancelFunc
	answer Answer
	err    error

	mu      sync.Mutex
	callers int
}

// Run runs a request, or attaches to the run of the same task id.
func (p *Pool) Run(ctx context.Context, call Call) (Answer, error) {
	task := call.Need.Task
	runCtx, cancel := context.WithDeadline(context.Background(), call.Need.Deadline)
	fresh := &flight{done: make(chan struct{}), cancel: cancel}
	f, attached := p.flights.GetOrPut(task, fresh)
	if attached {
		cancel()
	} else {
		go p.fly(runCtx, f, call)
	}
	return p.wait(ctx, f, call.Local && call.Need.Work.Repeatable)
}

// Attach waits for a run that this pool has on its way; it reports false if there is none.
func (p *Pool) Attach(ctx context.Context, task string) (Answer, bool, error) {
	f, ok := p.flights.Get(task)
	if !ok {
		return Answer{}, false, nil
	}
	answer, err := p.wait(ctx, f, false)
	return answer, true, err
}

func (p *Pool) wait(ctx context.Context, f *flight, atOnce bool) (Answer, error) {
	f.mu.Lock()
	f.callers++
	f.mu.Unlock()
	defer f.left(atOnce)
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
	}
	select {
	case <-f.done:
		return f.answer, f.err
	default:
		return Answer{}, reason.Uncertain(reason.CallerLeft, "the caller left before the answer")
	}
}

// left cancels the run when its last caller has gone for good.
func (f *flight) left(atOnce bool) {
	f.mu.Lock()
	f.callers--
	alone := f.callers == 0
	f.mu.Unlock()
	select {
	case <-f.done:
		return
	default:
	}
	if !alone {
		return
	}
	if atOnce {
		f.cancel()
		return
	}
	time.AfterFunc(flightGrace, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.callers == 0 {
			f.cancel()
		}
	})
}

func (p *Pool) fly(ctx context.Context, f *flight, call Call) {
	f.answer, f.err = p.execute(ctx, call)
	f.cancel()
	close(f.done)
	if f.answer.task != "" {
		p.recent.put(call.Need.Task, f.answer.held, f.answer.task)
	}
	if call.Local {
		p.flights.Delete(call.Need.Task)
		return
	}
	time.AfterFunc(flightKept, func() { p.flights.Delete(call.Need.Task) })
}

// Unanswered returns the number of requests that are on their way.
func (p *Pool) Unanswered() int {
	count := 0
	p.flights.Each(func(_ string, f *flight) {
		select {
		case <-f.done:
		default:
			count++
		}
	})
	return count
}
