package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// doubtsUntilAway is how many workers of a data centre must leave orders unanswered, while nothing is heard from any other
// there, until it counts as cut off.
const doubtsUntilAway = 2

// center is what is known of the way to a data centre.
type center struct {
	heardAt time.Time
	// doubted are the workers that have not answered an order since anything was heard from the data centre.
	doubted map[string]bool
	away    bool
}

func (c *Cell) center(w *worker) *center {
	name := w.info.DataCenter
	known, ok := c.centers[name]
	if !ok {
		known = &center{doubted: map[string]bool{}}
		c.centers[name] = known
	}
	return known
}

// Doubt notes that an order sent to a worker has had no answer for unusually long; it gets no new work until it is heard of
// again, and a data centre of which several workers are silent at once gets none either.
func (c *Cell) Doubt(id string, sent, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok || w.heardAt.After(sent) {
		return
	}
	if w.doubted.IsZero() {
		w.doubted = now
		c.log.WithFields(logrus.Fields{fieldWorker: id, "silent": now.Sub(sent).Round(time.Millisecond).String()}).
			Info("worker is slow to answer")
	}
	ctr := c.center(w)
	if ctr.heardAt.After(sent) {
		return
	}
	ctr.doubted[id] = true
	if len(ctr.doubted) >= doubtsUntilAway && !ctr.away {
		ctr.away = true
		c.log.WithFields(logrus.Fields{
			"data-center": w.info.DataCenter, "silent-workers": len(ctr.doubted), "heard": now.Sub(ctr.heardAt).Round(time.Millisecond).String(),
		}).Warn("data centre does not answer")
	}
}

// heardOf notes that a worker has answered.
func (c *Cell) heardOf(w *worker, now time.Time) {
	w.heardAt, w.doubted = now, time.Time{}
	ctr := c.center(w)
	ctr.heardAt = now
	clear(ctr.doubted)
	if ctr.away {
		ctr.away = false
		c.log.WithField("data-center", w.info.DataCenter).Info("data centre answers again")
	}
}

// silent reports whether a worker, or the way to its data centre, is in doubt.
func (c *Cell) silent(w *worker) bool { return w.misses > 0 || !w.doubted.IsZero() || c.center(w).away }
