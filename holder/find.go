package holder

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Find waits for the answer of a task that is in flight in this pool, or that runs on a worker it holds.
func (p *Pool) Find(ctx context.Context, task string, wait time.Duration) (Answer, bool, error) {
	if answer, ok, err := p.Attach(ctx, task); ok {
		return answer, true, err
	}
	h, attempt := p.findRun(task)
	if h == nil {
		return Answer{}, false, nil
	}
	answer, err := h.client.Attach(ctx, attempt, wait)
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &refused):
		return Answer{}, false, nil
	case err == nil && answer.State == worker.NeverStarted:
		// The worker may have restarted since the start.
		return Answer{}, false, nil
	case err != nil || !answer.State.Terminal():
		return Answer{}, true, reason.Uncertain(reason.KeyInUse, "the first run is still on its way")
	}
	return Answer{Answer: answer, Worker: h.name}, true, stateError(h.name, answer)
}

// findRun returns the held worker that runs, or recently ran, a task or a later attempt of it, and that attempt's id.
func (p *Pool) findRun(task string) (*HeldWorker, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, attempt, ok := p.recentRuns.get(task); ok {
		return h, attempt
	}
	for _, h := range p.indexedWorkers {
		if h == nil {
			continue
		}
		for attempt := range h.running {
			if attempt == task || strings.HasPrefix(attempt, task+".") {
				return h, attempt
			}
		}
	}
	return nil, ""
}
