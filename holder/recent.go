package holder

import (
	"sync"
	"time"
)

// recentRunTTL is the minimum time for which the location of a run is kept; workers keep answers for longer.
const recentRunTTL = 20 * time.Second

// recentRuns maps answered requests to where they ran, for callers whose answer was lost in transit.
type recentRuns struct {
	mu        sync.Mutex
	current   map[string]runLocation
	previous  map[string]runLocation
	rotatedAt time.Time
}

// runLocation is the worker that answered a request and the id of the attempt that it ran.
type runLocation struct {
	worker *HeldWorker
	task   string
}

func (r *recentRuns) put(task string, held *HeldWorker, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.current == nil || now.Sub(r.rotatedAt) > recentRunTTL {
		r.previous, r.current, r.rotatedAt = r.current, map[string]runLocation{}, now
	}
	r.current[task] = runLocation{held, attempt}
}

func (r *recentRuns) get(task string) (*HeldWorker, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, generation := range []map[string]runLocation{r.current, r.previous} {
		if location, ok := generation[task]; ok {
			return location.worker, location.task, true
		}
	}
	return nil, "", false
}
