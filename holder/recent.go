package holder

import (
	"sync"
	"time"
)

// recentKept is how long, at least, it is remembered where a request ran; workers keep answers for longer.
const recentKept = 20 * time.Second

// recent remembers where requests ran that have been answered, for callers whose answer got lost on the way.
type recent struct {
	mu     sync.Mutex
	young  map[string]whereRan
	old    map[string]whereRan
	turned time.Time
}

// whereRan is the worker of a request and the attempt that it answered.
type whereRan struct {
	held *Held
	task string
}

func (r *recent) put(task string, held *Held, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.young == nil || now.Sub(r.turned) > recentKept {
		r.old, r.young, r.turned = r.young, map[string]whereRan{}, now
	}
	r.young[task] = whereRan{held, attempt}
}

func (r *recent) get(task string) (*Held, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, generation := range []map[string]whereRan{r.young, r.old} {
		if p, ok := generation[task]; ok {
			return p.held, p.task, true
		}
	}
	return nil, "", false
}
