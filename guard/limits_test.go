package guard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/guard"
)

// Guards against a limit that refuses the largest valid job of tasks that have to run at the same time on the smallest hosts of a deployment, and against
// one that takes more than a quarter of a host's memory.
func TestLimitOfTasksFollowsMemory(t *testing.T) {
	for _, test := range []struct {
		memoryMiB int64
		want      int64
		largest   bool
	}{
		{96, 19_660, false}, {137, 26_668, true}, {144, 26_668, true}, {160, 26_668, true}, {284, 29_081, true}, {1024, 104_857, true},
	} {
		limit := guard.TasksFor(test.memoryMiB << 20)
		qt.Check(t, int64(limit), qt.Equals, test.want, qt.Commentf("%d MiB", test.memoryMiB))
		qt.Check(t, limit.Admits(0, graph.MaxTasks), qt.Equals, test.largest, qt.Commentf("%d MiB", test.memoryMiB))
	}
}
