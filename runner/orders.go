package runner

// Limits of the orders that are being sent.
const (
	// orderBytes is about how much memory an order takes while it is being sent, or waits for its turn among those to its worker.
	orderBytes = 16 << 10
	// orderPart is the part of the host's memory for orders that are being sent.
	orderPart = 16
	// defaultOrders is the number of orders to all workers if the host's memory is not known.
	defaultOrders = 2048
)

// orderQueue holds the orders to a worker that are not being sent yet: those of a job in their order, and the jobs in turn, so that a job of many tasks
// doesn't hold up the others.
type orderQueue struct {
	byJob map[string][]func()
	turns []string
	// numSenders is the number of goroutines that send orders to the worker.
	numSenders int
}

func (q *orderQueue) push(job string, send func()) {
	if len(q.byJob[job]) == 0 {
		q.turns = append(q.turns, job)
	}
	q.byJob[job] = append(q.byJob[job], send)
}

func (q *orderQueue) pop() (send func(), ok bool) {
	if len(q.turns) == 0 {
		return nil, false
	}
	job := q.turns[0]
	q.turns = q.turns[1:]
	orders := q.byJob[job]
	send, orders[0] = orders[0], nil
	if orders = orders[1:]; len(orders) > 0 {
		q.byJob[job] = orders
		q.turns = append(q.turns, job)
	} else {
		delete(q.byJob, job)
	}
	return send, true
}

// sendOrder sends an order to a worker in turn with those of other jobs, in its own goroutine as long as there are few orders to the worker.
func (r *Runner) sendOrder(worker, job string, send func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.orderQueues[worker]
	if !ok {
		q = &orderQueue{byJob: map[string][]func(){}}
		r.orderQueues[worker] = q
	}
	q.push(job, send)
	if q.numSenders < r.maxSenders() {
		q.numSenders++
		r.inFlight.Go(func() { r.sendQueued(worker, q) })
	}
}

// sendQueued sends the orders to a worker until there are no more.
func (r *Runner) sendQueued(worker string, q *orderQueue) {
	next := func() (send func(), ok bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if send, ok = q.pop(); ok {
			return send, true
		}
		if q.numSenders--; q.numSenders == 0 {
			delete(r.orderQueues, worker)
		}
		return nil, false
	}
	for send, ok := next(); ok; send, ok = next() {
		send()
	}
}

// maxSenders returns the number of goroutines that may send orders to a worker. Those that wait for a worker that doesn't answer don't hold up the
// orders to others.
func (r *Runner) maxSenders() int {
	orders := defaultOrders
	if r.cfg.MemoryBytes > 0 {
		orders = int(r.cfg.MemoryBytes / orderPart / orderBytes)
	}
	return max(maxOrdersPerWorker, orders/max(1, len(r.polling)))
}
