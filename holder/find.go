package holder

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Find waits for the answer of a task that this pool has on its way, or that runs on a worker it holds.
func (p *Pool) Find(ctx context.Context, task string, wait time.Duration) (Answer, bool, error) {
	if answer, ok, err := p.Attach(ctx, task); ok {
		return answer, true, err
	}
	h, id := p.runner(task)
	if h == nil {
		return Answer{}, false, nil
	}
	answer, err := h.client.Attach(ctx, id, wait)
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &refused):
		return Answer{}, false, nil
	case err != nil || !answer.State.Over():
		return Answer{}, true, reason.Uncertain(reason.KeyInUse, "the first run is still on its way")
	}
	return Answer{Answer: answer, Worker: h.name}, true, stateError(h.name, answer)
}

// runner returns the held worker that runs a task or a later attempt of it.
func (p *Pool) runner(task string) (*Held, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, id, ok := p.recent.get(task); ok {
		return h, id
	}
	for _, h := range p.places {
		if h == nil {
			continue
		}
		for id := range h.running {
			if id == task || strings.HasPrefix(id, task+".") {
				return h, id
			}
		}
	}
	return nil, ""
}
