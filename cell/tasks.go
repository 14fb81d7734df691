package cell

import (
	"slices"
	"sync/atomic"

	"github.com/corianderdrift/corianderdrift/graph"
)

// taskCounter counts tasks of which something is known.
type taskCounter struct{ n atomic.Int64 }

// countKnown adds n to the number of tasks of a step of which something is known.
func (s *step) countKnown(n int64) {
	// The tasks of a dropped occurrence have been subtracted.
	n = max(n, -s.knownTasks)
	s.knownTasks += n
	s.job.knownTasks += n
	s.job.inAll.n.Add(n)
}

// taskRoom returns of how many more tasks of a job the group may keep what it knows of them, copies of tasks included.
func (c *Cell) taskRoom(j *job) int {
	return int(c.taskLimit.Room(c.knownTasks.n.Load(), j.knownTasks))
}

// doneTask stands for all tasks that are done and have no placements, so that a step of many tasks takes little memory. It is never changed.
var doneTask = &task{done: true}

// heldByTaskLimit reports whether none of the waiting tasks of a step, or its gang as a whole, may start for the limit of known tasks.
func (c *Cell) heldByTaskLimit(s *step) bool {
	numNew := 0
	for _, t := range s.tasks {
		if t == nil {
			numNew++
		}
	}
	if s.doc.Gang {
		return numNew > c.taskRoom(s.job)
	}
	return numNew == s.numWaiting && c.taskRoom(s.job) == 0
}

// newTasks returns the tasks of a step. A task is nil until something is known of it: it waits, and has never been started.
func (s *step) newTasks() []*task {
	tasks := make([]*task, s.doc.Count)
	if s.recordsLocations() && s.job.restored && !s.job.locationsKnown {
		// It is not known where they may be.
		for i := range tasks {
			tasks[i] = s.newTask(i)
		}
	}
	return tasks
}

func (s *step) newTask(i int) *task {
	s.countKnown(1)
	return &task{
		id: graph.TaskID{StepID: s.id, Index: i}, step: s, location: location{known: !s.job.restored || s.job.locationsKnown},
	}
}

// task returns a task, which it creates if nothing is known of it, or if it is done and stood for by doneTask.
func (s *step) task(i int) *task {
	t := s.tasks[i]
	switch t {
	case nil:
		t = s.newTask(i)
	case doneTask:
		t = s.newTask(i)
		t.done, t.location = true, location{known: true}
	default:
		return t
	}
	s.tasks[i] = t
	return t
}

// maxAvoided bounds the workers on which a task is known to have failed. A lasting task may fail any number of times.
const maxAvoided = 4

// avoid records that the task has failed on a worker.
func (t *task) avoid(w *worker) {
	if t.avoids(w) {
		return
	}
	if len(t.avoidWorkers) == maxAvoided {
		t.avoidWorkers = slices.Delete(t.avoidWorkers, 0, 1)
	}
	t.avoidWorkers = append(t.avoidWorkers, w.info.ID)
}

// avoids reports whether the task has failed on a worker; nothing is known of a nil task.
func (t *task) avoids(w *worker) bool { return t != nil && slices.Contains(t.avoidWorkers, w.info.ID) }

// isDone reports whether a task is done.
func (s *step) isDone(i int) bool { return s.tasks[i] != nil && s.tasks[i].done }

// dropIfDone drops what is known of a task that is done and has no placements.
func (t *task) dropIfDone() {
	if t.done && len(t.placements) == 0 && t.step.tasks[t.id.Index] != doneTask {
		t.step.tasks[t.id.Index] = doneTask
		t.step.countKnown(-1)
	}
}

// known yields the tasks of which something is known, but for those that doneTask stands for.
func (s *step) known(yield func(*task) bool) {
	for _, t := range s.tasks {
		if t != nil && t != doneTask && !yield(t) {
			return
		}
	}
}
