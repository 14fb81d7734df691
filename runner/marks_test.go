package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// markKey returns the key of the mark that cancels a job.
func markKey(id string) table.Key {
	return runner.CancelKey(runner.JobKey(service, id))
}

// Marks of unknown jobs must not fill the table, nor go before a late acceptance is out of the question; those of jobs stay with them.
func TestMarksOfUnknownJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const numUnknown, known = 200, "00000000000000aa"
		s := newCluster(t, 1, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		r, stop := s.runner()
		defer stop()
		s.submit(known, graph.Step{Count: 1, Size: cores(1)})
		s.cancel(known)
		for i := range numUnknown {
			s.cancel(jobName(1000 + i))
		}
		numMarks := func() int {
			n := 0
			for i := range numUnknown {
				if _, ok := s.store.Get(markKey(jobName(1000 + i))); ok {
					n++
				}
			}
			return n
		}
		time.Sleep(20 * time.Second)
		s.c.Assert(numMarks(), qt.Equals, numUnknown)
		time.Sleep(20 * time.Second)
		s.c.Assert(numMarks(), qt.Equals, 0)
		_, ok := s.store.Get(markKey(known))
		s.c.Assert(ok, qt.IsTrue)
		s.awaitState(r, known, graph.Cancelled, time.Second)
	})
}

// A job that a host of an earlier version stores in spite of its mark must not run.
func TestJobStoredAfterItsMarkIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = "00000000000000aa"
		s := newCluster(t, 1, bigWorker)
		r, stop := s.runner()
		defer stop()
		time.Sleep(time.Second)
		s.cancel(id)
		time.Sleep(time.Second)
		s.submit(id, graph.Step{Count: 1, Size: cores(1)})
		s.awaitState(r, id, graph.Cancelled, 5*time.Second)
		time.Sleep(40 * time.Second)
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 0)
		_, kept := s.store.Get(markKey(id))
		s.c.Assert(kept, qt.IsTrue)
	})
}

// The mark of an unknown job that is cancelled again must be kept as long as a new one, and must be removed then, though the removal of the earlier
// mark was on its way.
func TestMarkOfRepeatedCancelIsKeptAsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			id = "00000000000000aa"
			// removedAt is when the mark would be removed if it weren't written again, and removalTime is how long that takes.
			removedAt   = 35 * time.Second
			removalTime = 200 * time.Millisecond
		)
		s := newCluster(t, 1, bigWorker)
		_, stop := s.runner()
		defer stop()
		start := time.Now()
		time.Sleep(time.Second)
		s.cancel(id)
		time.Sleep(time.Until(start.Add(removedAt - removalTime/2)))
		_, kept := s.store.Get(markKey(id))
		s.c.Assert(kept, qt.IsTrue)
		s.store.SetLatency(removalTime)
		time.Sleep(removalTime)
		renewed, err := s.store.Apply(table.Tx{Writes: []table.Write{{Key: markKey(id), Value: []byte("1")}}})
		s.c.Assert(err, qt.IsNil)
		time.Sleep(removalTime)
		s.store.SetLatency(time.Millisecond)
		time.Sleep(time.Until(start.Add(removedAt + 25*time.Second)))
		row, kept := s.store.Get(markKey(id))
		s.c.Assert(kept, qt.IsTrue)
		s.c.Assert(row.Version, qt.Equals, renewed)
		time.Sleep(20 * time.Second)
		_, kept = s.store.Get(markKey(id))
		s.c.Assert(kept, qt.IsFalse)
	})
}
