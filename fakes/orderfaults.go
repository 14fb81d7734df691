package fakes

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// The kinds of orders, for OrderCall.
const (
	OpStart    = "start"
	OpStop     = "stop"
	OpThrottle = "throttle"
	OpPoll     = "poll"
)

// OrderCall describes an order that is sent to a worker.
type OrderCall struct {
	Op     string
	Worker string
	Task   graph.TaskID
	Run    int
	Token  uint64
	// Address is the address to which the order is sent.
	Address netip.AddrPort
}

// OrderFault is the fault that is injected into an order.
type OrderFault struct {
	Kind OrderFaultKind
	// Transit is how long the order takes to arrive, even if its sender has given up by then. The incarnation of the worker
	// at that time carries it out.
	Transit time.Duration
	// Return is how long the reply takes to arrive.
	Return time.Duration
}

// OrderFaultKind is a kind of OrderFault.
type OrderFaultKind int

// The kinds of faults of an order.
const (
	// OrderOK injects no fault but the delays.
	OrderOK OrderFaultKind = iota
	// OrderBusy makes the worker refuse the order with status 503.
	OrderBusy
	// OrderDropped lets neither the order nor a reply arrive.
	OrderDropped
	// OrderReplyLost breaks the connection after the order was carried out.
	OrderReplyLost
	// OrderNoReply lets no reply arrive after the order was carried out.
	OrderNoReply
	// OrderReset breaks the connection before the order arrives.
	OrderReset
	// OrderRefused refuses the connection, so that the order is known not to have been sent.
	OrderRefused
)

var (
	errConnReset   = errors.New("connection reset")
	errConnRefused = errors.New("connection refused")
)

// ConnError returns the error of an order to a worker whose connection fails before the order arrives; nil if it does not.
func (k OrderFaultKind) ConnError(worker string) error {
	switch k {
	case OrderReset:
		return &order.UnansweredError{Worker: worker, Err: errConnReset}
	case OrderRefused:
		return &order.NotSentError{Worker: worker, Err: errConnRefused}
	default:
		return nil
	}
}

// SetFault sets the function that returns the fault of each order; nil injects none.
func (s *WorkerSet) SetFault(faultFor func(OrderCall) OrderFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = faultFor
}

func (s *WorkerSet) fault(call OrderCall) OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fault OrderFault
	if s.faultFor != nil {
		fault = s.faultFor(call)
	}
	if ws, ok := s.workers[call.Worker]; ok && (ws.unreachable || ws.down) && fault.Kind != OrderDropped {
		fault = OrderFault{Kind: OrderDropped}
	}
	return fault
}

// send sends an order with the fault that is set for it.
func send[T any](ctx context.Context, s *WorkerSet, call OrderCall, execute func(ws *workerState, late bool) (T, error)) (T, error) {
	return sendWith(ctx, s, call, s.fault(call), execute)
}

func sendWith[T any](
	ctx context.Context, s *WorkerSet, call OrderCall, fault OrderFault, execute func(ws *workerState, late bool) (T, error),
) (T, error) {
	var none T
	unanswered := func() (T, error) {
		<-ctx.Done()
		return none, &order.UnansweredError{Worker: call.Worker, Err: ctx.Err()}
	}
	if fault.Kind == OrderDropped {
		s.recordOrder(call, "not delivered")
		return unanswered()
	}
	if err := fault.Kind.ConnError(call.Worker); err != nil {
		s.recordOrder(call, "not delivered")
		return none, err
	}
	sentAt := time.Now()
	if fault.Transit > 0 && !sleep(ctx, fault.Transit) {
		// The order is on its way, whether or not its sender still waits.
		time.AfterFunc(time.Until(sentAt.Add(fault.Transit)), func() { _, _ = deliver(s, call, fault, sentAt, execute) })
		return unanswered()
	}
	reply, err := deliver(s, call, fault, sentAt, execute)
	switch {
	case fault.Kind == OrderReplyLost:
		return none, &order.UnansweredError{Worker: call.Worker, Err: errConnLost}
	case fault.Kind == OrderNoReply:
		return unanswered()
	case fault.Return > 0 && !sleep(ctx, fault.Return):
		return unanswered()
	}
	return reply, err
}

// lateAfter is the transit time from which a worker counts as having carried out an order late.
const lateAfter = time.Second

// deliver lets the present incarnation of a worker carry out an order.
func deliver[T any](
	s *WorkerSet, call OrderCall, fault OrderFault, sentAt time.Time, execute func(ws *workerState, late bool) (T, error),
) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var none T
	ws, ok := s.workers[call.Worker]
	if !ok {
		return none, &order.GoneError{Worker: call.Worker}
	}
	if ws.worker.Address != call.Address {
		return none, &order.GoneError{Worker: call.Worker}
	}
	if ws.down {
		return none, &order.UnansweredError{Worker: call.Worker, Err: errConnLost}
	}
	if fault.Kind == OrderBusy {
		s.record(call.Worker, call.Task, call.Run, "%s refused, token %d", call.Op, call.Token)
		return none, &order.BusyError{Worker: call.Worker, Status: 503}
	}
	s.expireRuns(ws)
	reply, err := execute(ws, time.Since(sentAt) >= lateAfter)
	if call.Op != OpPoll || fault != (OrderFault{}) {
		s.record(call.Worker, call.Task, call.Run, "%s carried out %v after it was sent, token %d, fault %d, error %v",
			call.Op, time.Since(sentAt), call.Token, fault.Kind, err)
	}
	return reply, err
}

func (s *WorkerSet) recordOrder(call OrderCall, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(call.Worker, call.Task, call.Run, "%s %s, token %d", call.Op, text, call.Token)
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
