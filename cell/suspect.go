package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// suspectsUntilUnreachable is how many workers of a data centre must leave orders unanswered, with no response from any other
// worker there, until the data centre counts as unreachable.
const suspectsUntilUnreachable = 2

// dataCenter tracks whether a data centre can be reached.
type dataCenter struct {
	lastResponseAt time.Time
	// suspects are the workers that have left an order unanswered since the last response from the data centre.
	suspects    map[string]bool
	unreachable bool
}

func (c *Cell) dataCenter(w *worker) *dataCenter {
	name := w.info.DataCenter
	center, ok := c.dataCenters[name]
	if !ok {
		center = &dataCenter{suspects: map[string]bool{}}
		c.dataCenters[name] = center
	}
	return center
}

// Suspect records that an order sent to a worker has been unanswered for unusually long. The worker gets no new work until it
// responds, and neither does a data centre with several suspected workers at once.
func (c *Cell) Suspect(id string, sent, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok || w.lastResponseAt.After(sent) {
		return
	}
	if w.suspectedAt.IsZero() {
		w.suspectedAt = now
		c.log.WithFields(logrus.Fields{fieldWorker: id, "silent": now.Sub(sent).Round(time.Millisecond).String()}).
			Info("worker is slow to answer")
	}
	center := w.center
	if center.lastResponseAt.After(sent) || w.missedPolls >= missedPollLimit {
		// The silence of an unresponsive worker says nothing about the others.
		return
	}
	center.suspects[id] = true
	if len(center.suspects) >= suspectsUntilUnreachable && !center.unreachable {
		center.unreachable = true
		c.log.WithFields(logrus.Fields{
			"data-center": w.info.DataCenter, "silent-workers": len(center.suspects), "heard": now.Sub(center.lastResponseAt).Round(time.Millisecond).String(),
		}).Warn("data centre does not answer")
	}
}

// recordResponse records that a worker has answered.
func (c *Cell) recordResponse(w *worker, now time.Time) {
	w.lastResponseAt, w.suspectedAt = now, time.Time{}
	center := w.center
	center.lastResponseAt = now
	clear(center.suspects)
	if center.unreachable {
		center.unreachable = false
		c.log.WithField("data-center", w.info.DataCenter).Info("data centre answers again")
	}
}

// isSuspect reports whether a worker has missed polls, is suspected, or is in an unreachable data centre.
func (c *Cell) isSuspect(w *worker) bool {
	return w.missedPolls > 0 || !w.suspectedAt.IsZero() || w.center.unreachable
}
