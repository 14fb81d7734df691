package holder

import (
	"context"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// abandonedRunGrace is how long a run without callers goes on until it is cancelled; it is longer than a caller
	// takes to detect that its connection has stopped responding.
	abandonedRunGrace = 6 * time.Second
	// answerTTL is how long an answer is kept for a caller that retries.
	answerTTL = 3 * time.Second
)

// Call is one request to run on a worker.
type Call struct {
	Need        Need
	Params      string
	ContentType string
	Body        []byte
	// Local marks a caller in this process, which won't retry once it has left.
	Local bool
}

// Answer is the whole answer of a request and the worker that ran it.
type Answer struct {
	worker.Answer
	Worker     string
	heldWorker *HeldWorker
	task       string
}

// inFlightCall is a request in progress, shared by all callers with the same task id.
type inFlightCall struct {
	done   chan struct{}
	cancel context.CancelFunc
	answer Answer
	err    error

	mu         sync.Mutex
	numCallers int
}

// Run runs a request, or attaches to the run of the same task id.
func (p *Pool) Run(ctx context.Context, call Call) (Answer, error) {
	task := call.Need.Task
	runCtx, cancel := context.WithDeadline(context.Background(), call.Need.Deadline)
	created := &inFlightCall{done: make(chan struct{}), cancel: cancel}
	f, attached := p.inFlight.GetOrPut(task, created)
	if attached {
		cancel()
	} else {
		go p.runInFlight(runCtx, f, call)
	}
	return p.awaitAnswer(ctx, f, call.Local && call.Need.Work.Repeatable)
}

// Attach waits for a run that is in flight in this pool; it reports false if there is none.
func (p *Pool) Attach(ctx context.Context, task string) (Answer, bool, error) {
	f, ok := p.inFlight.Get(task)
	if !ok {
		return Answer{}, false, nil
	}
	answer, err := p.awaitAnswer(ctx, f, false)
	return answer, true, err
}

func (p *Pool) awaitAnswer(ctx context.Context, f *inFlightCall, cancelNow bool) (Answer, error) {
	f.mu.Lock()
	f.numCallers++
	f.mu.Unlock()
	defer f.removeCaller(cancelNow)
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

// removeCaller cancels the run when its last caller has left: at once if cancelNow, otherwise after abandonedRunGrace
// unless a caller returns.
func (f *inFlightCall) removeCaller(cancelNow bool) {
	f.mu.Lock()
	f.numCallers--
	noCallers := f.numCallers == 0
	f.mu.Unlock()
	select {
	case <-f.done:
		return
	default:
	}
	if !noCallers {
		return
	}
	if cancelNow {
		f.cancel()
		return
	}
	time.AfterFunc(abandonedRunGrace, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.numCallers == 0 {
			f.cancel()
		}
	})
}

func (p *Pool) runInFlight(ctx context.Context, f *inFlightCall, call Call) {
	f.answer, f.err = p.execute(ctx, call)
	f.cancel()
	close(f.done)
	if f.answer.task != "" {
		p.recentRuns.put(call.Need.Task, f.answer.heldWorker, f.answer.task)
	}
	if call.Local {
		p.inFlight.Delete(call.Need.Task)
		return
	}
	time.AfterFunc(answerTTL, func() { p.inFlight.Delete(call.Need.Task) })
}

// NumInFlight returns the number of requests in flight.
func (p *Pool) NumInFlight() int {
	count := 0
	p.inFlight.Each(func(_ string, f *inFlightCall) {
		select {
		case <-f.done:
		default:
			count++
		}
	})
	return count
}
