package cell

import "time"

// maxReportAge is how long a worker counts as being in the incarnation that last answered a poll: longer than a worker with runs
// may hold back an answer.
const maxReportAge = pollWait + 500*time.Millisecond

// recordReport records that a worker has answered a poll.
func (w *worker) recordReport(now time.Time) {
	w.lastReportAt = now
	if w.reportAwaited != nil {
		close(w.reportAwaited)
		w.reportAwaited = nil
	}
}

// ReportToAwait returns a channel that is closed at the next report of a start's worker, if its last report is so old that it may have
// restarted as another kind of worker, or nil.
func (c *Cell) ReportToAwait(o StartOrder, now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := o.p.w
	if now.Sub(w.lastReportAt) <= maxReportAge {
		return nil
	}
	if w.reportAwaited == nil {
		w.reportAwaited = make(chan struct{})
	}
	w.wakeUp()
	return w.reportAwaited
}
