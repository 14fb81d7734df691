package cell

import "time"

// Limits of the age of a worker's last report, after which the worker may have restarted as another kind of worker.
const (
	// maxReportAge applies if the next poll, which would fail at a restart, has been in flight since: longer than its answer may be
	// held back.
	maxReportAge = pollWait + 500*time.Millisecond
	// maxIdleReportAge applies otherwise: shorter than a restart takes.
	maxIdleReportAge = 100 * time.Millisecond
)

// isReportRecent reports whether a worker is still in the incarnation that last answered a poll.
func (w *worker) isReportRecent(now time.Time) bool {
	age := now.Sub(w.lastReportAt)
	polledSince := !w.pollInFlight.at.IsZero() && w.pollInFlight.at.Sub(w.lastReportAt) <= maxIdleReportAge
	return age <= maxIdleReportAge || (age <= maxReportAge && polledSince)
}

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
	if w.isReportRecent(now) {
		return nil
	}
	if w.reportAwaited == nil {
		w.reportAwaited = make(chan struct{})
	}
	w.wakeUp()
	return w.reportAwaited
}
