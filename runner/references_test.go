package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// A row that only names another service must not be run here, and must go once the job that it stands for is gone, not before.
func TestReferenceLastsAsLongAsItsJob(t *testing.T) {
	const id, other = "00000000000000aa", "eyes"
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		raw, err := graph.Reference{Owner: graph.Owner{Queue: queue, Service: other}}.Encode()
		s.c.Assert(err, qt.IsNil)
		reference := runner.JobKey(service, id)
		job := runner.JobKey(other, id)
		_, err = s.store.Apply(table.Tx{Writes: []table.Write{{Key: reference, Value: raw}, {Key: job, Value: raw}}})
		s.c.Assert(err, qt.IsNil)
		r, stop := s.runner()
		defer stop()
		time.Sleep(25 * time.Minute)
		_, known := r.Cell().State(id, queue, queues.Caller{AnyTeam: true})
		s.c.Assert(known, qt.IsFalse)
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 0)
		_, kept := s.store.Get(reference)
		s.c.Assert(kept, qt.IsTrue)
		_, err = s.store.Apply(table.Tx{Removes: []table.Key{job}})
		s.c.Assert(err, qt.IsNil)
		time.Sleep(11 * time.Minute)
		_, kept = s.store.Get(reference)
		s.c.Assert(kept, qt.IsFalse)
	})
}
