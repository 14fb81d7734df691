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
	// inFlight is the call in progress that this request belongs to.
	inFlight *inFlightCall
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
	// sent is set before the first start is sent to a worker; none is sent once abandoned is set.
	sent      bool
	abandoned bool
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
	return f.awaitAnswer(ctx, call.Local, call.Local && call.Need.Work.Repeatable)
}

// Attach waits for a run that is in flight in this pool; it reports false if there is none.
func (p *Pool) Attach(ctx context.Context, task string) (Answer, bool, error) {
	f, ok := p.inFlight.Get(task)
	if !ok {
		return Answer{}, false, nil
	}
	answer, err := f.awaitAnswer(ctx, false, false)
	return answer, true, err
}

// awaitAnswer waits for the answer until ctx is done. If nothing has been sent by then and mayAbandon is set, the request is
// abandoned and its refusal returned.
func (f *inFlightCall) awaitAnswer(ctx context.Context, mayAbandon, cancelNow bool) (Answer, error) {
	f.mu.Lock()
	f.numCallers++
	f.mu.Unlock()
	defer f.removeCaller(cancelNow)
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
	}
	if mayAbandon && f.abandon() {
		f.cancel()
		<-f.done
	}
	select {
	case <-f.done:
		return f.answer, f.err
	default:
		return Answer{}, reason.Uncertain(reason.CallerLeft, "the caller left before the answer")
	}
}

// abandon makes sure that nothing is sent to a worker; it reports false if something was or another caller waits.
func (f *inFlightCall) abandon() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent || f.numCallers > 1 {
		return false
	}
	f.abandoned = true
	return true
}

// beginSend reports whether a start may be sent to a worker.
func (f *inFlightCall) beginSend() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = f.sent || !f.abandoned
	return f.sent
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
	call.inFlight = f
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
