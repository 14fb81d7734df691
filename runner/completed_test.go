package runner_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
)

// Guards against a host that holds the documents of all completed jobs as it takes a group over, or as the table has lost the changes: there may be far
// more of them than fit in its memory.
func TestDocumentsOfCompletedJobsAreNotKept(t *testing.T) {
	const (
		numJobs, imageBytes = 400, 20_000
		// maxUnfiltered is what may be read before it is known which jobs have completed, and maxPage a page beyond it.
		maxUnfiltered, maxPage = 4 << 20, 1 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2)
		n.workers.Outcome = fixedDuration(10 * time.Millisecond)
		n.log.(*logrus.Logger).SetLevel(logrus.InfoLevel)
		hook := logtest.NewLocal(n.log.(*logrus.Logger))
		// awaitLoad waits until jobs are loaded, and returns how many bytes of their rows were kept.
		awaitLoad := func() int {
			for {
				for _, e := range hook.AllEntries() {
					if e.Message == "jobs loaded" {
						hook.Reset()
						return e.Data["bytes"].(int)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		image := strings.Repeat("x", imageBytes)
		for i := range numJobs {
			n.submitStep(t, fmt.Sprintf("job%d", i), graph.Step{Count: 1, Size: cores(1), Image: image})
		}
		for i := range numJobs {
			for state := graph.State(""); state != graph.Completed; time.Sleep(10 * time.Millisecond) {
				state, _ = n.findHost("host0").currentRunner().Cell().State(fmt.Sprintf("job%d", i), guardedQueue, queues.Caller{})
			}
		}
		hook.Reset()
		n.findHost("host0").kill()
		qt.Check(t, awaitLoad() < maxUnfiltered+maxPage, qt.IsTrue)
		n.submitStep(t, "later", graph.Step{Count: 1, Size: cores(1)})
		n.store.DropHistory()
		qt.Check(t, awaitLoad() < 1000, qt.IsTrue)
		starts := n.workers.NumStarts()
		n.checkNoTaskRunsTwice(t, n.findHost("host1"))
		qt.Check(t, n.workers.NumStarts() <= starts+1, qt.IsTrue)
	})
}
