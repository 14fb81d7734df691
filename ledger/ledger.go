package ledger

import (
	"fmt"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Item is one task's allocation on a worker.
type Item struct {
	Task string
	Size unit.Size
	// Long marks a task that may not use the headroom for short work.
	Long bool
	// Suspended marks a checkpointed task, which uses nothing until it is resumed.
	Suspended bool
}

// Ledger holds the allocations on one worker; it isn't safe for concurrent use.
type Ledger struct {
	capacity unit.Size
	headroom unit.Size
	used     unit.Size
	longUsed unit.Size
	items    map[string]Item
}

// FullError reports a task that doesn't fit, and a dimension that lacks free capacity.
type FullError struct {
	Task      string
	Dimension string
}

// Error returns a text with the task and the dimension.
func (e *FullError) Error() string {
	return fmt.Sprintf("task %s does not fit: %s", e.Task, e.Dimension)
}

// New returns an empty ledger of a worker with the given capacity.
func New(capacity unit.Size) *Ledger {
	return &Ledger{capacity: capacity, items: map[string]Item{}}
}

// Capacity returns the worker's total capacity.
func (l *Ledger) Capacity() unit.Size { return l.capacity }

// Used returns the sum of all allocations.
func (l *Ledger) Used() unit.Size { return l.used }

// Len returns the number of tasks in the ledger.
func (l *Ledger) Len() int { return len(l.items) }

// SetHeadroom sets the capacity that long work may not use.
func (l *Ledger) SetHeadroom(headroom unit.Size) { l.headroom = headroom }

// Free returns the free capacity for short or for long work; a dimension may be negative after Adopt.
func (l *Ledger) Free(long bool) unit.Size {
	free := l.capacity.Sub(l.used)
	if !long {
		return free
	}
	longFree := l.capacity.Sub(l.headroom).Sub(l.longUsed)
	return minSize(free, longFree)
}

func minSize(a, b unit.Size) unit.Size {
	return unit.Size{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
		Connections:  min(a.Connections, b.Connections),
	}
}

// Reserve allocates capacity for a task, or returns a FullError; a task that is in the ledger already keeps its allocation.
func (l *Ledger) Reserve(item Item) error {
	if _, ok := l.items[item.Task]; ok {
		return nil
	}
	if dimension := item.Size.Shortfall(l.Free(item.Long)); dimension != "" {
		return &FullError{Task: item.Task, Dimension: dimension}
	}
	l.add(item)
	return nil
}

// Adopt adds a task that runs already, whether or not it fits.
func (l *Ledger) Adopt(item Item) {
	l.Release(item.Task)
	l.add(item)
}

func (l *Ledger) add(item Item) {
	l.items[item.Task] = item
	if item.Suspended {
		return
	}
	l.used = l.used.Add(item.Size)
	if item.Long {
		l.longUsed = l.longUsed.Add(item.Size)
	}
}

// Release removes a task and frees its allocation; it reports whether the task was in the ledger.
func (l *Ledger) Release(task string) bool {
	item, ok := l.items[task]
	if !ok {
		return false
	}
	delete(l.items, task)
	if item.Suspended {
		return true
	}
	l.used = l.used.Sub(item.Size)
	if item.Long {
		l.longUsed = l.longUsed.Sub(item.Size)
	}
	return true
}

// Get returns a task's item.
func (l *Ledger) Get(task string) (Item, bool) {
	item, ok := l.items[task]
	return item, ok
}

// Tasks returns the ids of all tasks in the ledger.
func (l *Ledger) Tasks() []string {
	tasks := make([]string, 0, len(l.items))
	for task := range l.items {
		tasks = append(tasks, task)
	}
	return tasks
}

// MarkLong marks a task as long.
func (l *Ledger) MarkLong(task string) {
	item, ok := l.items[task]
	if !ok || item.Long {
		return
	}
	item.Long = true
	l.items[task] = item
	if !item.Suspended {
		l.longUsed = l.longUsed.Add(item.Size)
	}
}

// Resize changes a task's allocation to its measured size; it reports whether all allocations still fit on the worker.
func (l *Ledger) Resize(task string, size unit.Size) bool {
	item, ok := l.items[task]
	if ok {
		item.Size = size
		l.Adopt(item)
	}
	return l.used.Fits(l.capacity)
}

// Suspend frees the allocation of a checkpointed task, which stays in the ledger.
func (l *Ledger) Suspend(task string) {
	if item, ok := l.items[task]; ok {
		item.Suspended = true
		l.Adopt(item)
	}
}

// Resume allocates capacity again for a suspended task, or returns a FullError.
func (l *Ledger) Resume(task string) error {
	item, ok := l.items[task]
	if !ok || !item.Suspended {
		return nil
	}
	if dimension := item.Size.Shortfall(l.Free(item.Long)); dimension != "" {
		return &FullError{Task: task, Dimension: dimension}
	}
	item.Suspended = false
	l.Adopt(item)
	return nil
}
