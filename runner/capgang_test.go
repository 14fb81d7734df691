package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
)

// Load: a team at its cap has less urgent tasks in two groups and a gang in one of them, which is larger than that group's part of the cap. Guards
// against a gang that waits for as long as the other tasks last, since those of its own group keep it from taking a turn.
func TestGangTakesTurnBesideTasksOfItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newCapNet(t, 2, 1, 4, guardedQueue, capOf(16))
		n.workers.Outcome = fixedDuration(500 * time.Millisecond)
		n.holder(0)
		n.holder(1)
		for group := range 2 {
			n.submit(group, teamName, 2, graph.Step{Count: 600, Size: cores(1)})
		}
		time.Sleep(3 * time.Second)
		n.submit(0, teamName, 1, graph.Step{Count: 3, Size: cores(4), Gang: true})
		id := n.jobs[0][1]
		start := time.Now()
		for n.state(0, id) != graph.Completed && time.Since(start) < 30*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("gang took %v", time.Since(start))
		n.c.Check(time.Since(start) < 15*time.Second, qt.IsTrue)
		n.awaitJobs(2 * time.Minute)
		n.close(false)
	})
}
