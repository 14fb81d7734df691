package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting task.
type Item[T any] struct {
	Value    T
	Owner    string
	Deadline time.Time
	// Cost is the share of the total capacity that the task uses, times its run time in seconds.
	Cost   float64
	Urgent bool

	sequence uint64
	index    int
	queue    *ownerQueue[T]
}

// Queue holds the waiting tasks of one lane; it isn't safe for concurrent use.
type Queue[T any] struct {
	owners      map[string]*ownerQueue[T]
	order       ownerHeap[T]
	virtualTime float64
	sequence    uint64
	numItems    int
	totalCost   float64
	totalWeight float64
}

type ownerQueue[T any] struct {
	name        string
	weight      float64
	virtualTime float64
	cost        float64
	items       itemHeap[T]
	index       int
}

// Verdict is the result of offering an item.
type Verdict int

// Verdicts on an offered item.
const (
	// Accepted removes the item and charges its owner.
	Accepted Verdict = iota
	// Dropped removes the item without a charge.
	Dropped
	// Blocked leaves the item and goes on to the next owner.
	Blocked
	// EndScan leaves the item and ends the scan.
	EndScan
)

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{owners: map[string]*ownerQueue[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.numItems }

// Cost returns the total cost of the waiting items.
func (q *Queue[T]) Cost() float64 { return q.totalCost }

// OwnerLen returns the number of an owner's waiting items.
func (q *Queue[T]) OwnerLen(owner string) int {
	if o, ok := q.owners[owner]; ok {
		return len(o.items)
	}
	return 0
}

// Push adds an item of an owner with the given weight.
func (q *Queue[T]) Push(item *Item[T], weight int64) {
	o, ok := q.owners[item.Owner]
	if !ok {
		o = &ownerQueue[T]{name: item.Owner, index: -1}
		q.owners[item.Owner] = o
	}
	q.setWeight(o, float64(max(1, weight)))
	if len(o.items) == 0 {
		o.virtualTime = max(o.virtualTime, q.virtualTime)
		q.totalWeight += o.weight
		heap.Push(&q.order, o)
	}
	q.sequence++
	item.sequence, item.queue = q.sequence, o
	heap.Push(&o.items, item)
	o.cost += item.Cost
	q.totalCost += item.Cost
	q.numItems++
}

func (q *Queue[T]) setWeight(o *ownerQueue[T], weight float64) {
	if len(o.items) > 0 {
		q.totalWeight += weight - o.weight
	}
	o.weight = weight
}

// Remove removes an item; it reports whether the item was still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	o := item.queue
	if o == nil {
		return false
	}
	heap.Remove(&o.items, item.index)
	item.queue = nil
	q.numItems--
	o.cost -= item.Cost
	q.totalCost -= item.Cost
	if len(o.items) == 0 {
		q.totalWeight -= o.weight
		o.cost = 0
		heap.Remove(&q.order, o.index)
		if o.virtualTime <= q.virtualTime {
			delete(q.owners, o.name)
		}
	}
	if q.numItems == 0 {
		q.totalCost, q.totalWeight = 0, 0
	}
	return true
}

// charge advances an owner's virtual time by the cost of an accepted item, divided by its weight.
func (q *Queue[T]) charge(o *ownerQueue[T], cost float64) {
	q.virtualTime = max(q.virtualTime, o.virtualTime)
	o.virtualTime += cost / o.weight
	if o.index >= 0 {
		heap.Fix(&q.order, o.index)
	}
}

// Scan offers items, each time the first of the owner with the least virtual time, until the queue is empty, maxBlocked
// owners are blocked or offer ends the scan.
func (q *Queue[T]) Scan(maxBlocked int, offer func(item *Item[T]) Verdict) {
	var blocked []*ownerQueue[T]
	for len(q.order) > 0 && len(blocked) < maxBlocked {
		o := q.order[0]
		item := o.items[0]
		verdict := offer(item)
		if verdict == EndScan {
			break
		}
		if verdict == Blocked {
			heap.Pop(&q.order)
			blocked = append(blocked, o)
			continue
		}
		if verdict == Accepted {
			q.charge(o, item.Cost)
		}
		q.Remove(item)
	}
	for _, o := range blocked {
		heap.Push(&q.order, o)
	}
}

// PredictWait predicts, in seconds, how long a new item of an owner waits if capacity is the cost served per second.
func (q *Queue[T]) PredictWait(owner string, weight int64, capacity float64) float64 {
	if q.numItems == 0 || capacity <= 0 {
		return 0
	}
	drainTime := q.totalCost / capacity
	o, ok := q.owners[owner]
	if !ok || len(o.items) == 0 {
		// An owner with nothing queued waits at most for one mean item at its fair share of the capacity.
		share := float64(max(1, weight)) / (q.totalWeight + float64(max(1, weight)))
		meanCost := q.totalCost / float64(q.numItems)
		return min(drainTime, meanCost/(capacity*share))
	}
	share := o.weight / q.totalWeight
	return min(drainTime, o.cost/(capacity*share))
}

// Owners calls visit with the number of waiting items of each owner.
func (q *Queue[T]) Owners(visit func(owner string, waiting int)) {
	for name, o := range q.owners {
		if len(o.items) > 0 {
			visit(name, len(o.items))
		}
	}
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		return b.Deadline.IsZero()
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

type ownerHeap[T any] []*ownerQueue[T]

func (h ownerHeap[T]) Len() int { return len(h) }

func (h ownerHeap[T]) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }

func (h ownerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ownerHeap[T]) Push(x any) {
	o := x.(*ownerQueue[T])
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop implements heap.Interface.
func (h *ownerHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*h = old[:len(old)-1]
	return last
}
