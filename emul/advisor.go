package emul

import (
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
)

// Limits of the calls to the emulated advisor, which are those of package agent.
const (
	maxShortCall    = 100 * time.Millisecond
	maxShortBacklog = 60 * time.Millisecond
	// callOverhead is the time that a call takes beyond its processing.
	callOverhead = 20 * time.Millisecond
)

// advisor is an advisor that processes one call at a time from each host.
type advisor struct {
	p     *player
	short []advisorHost
	long  []advisorHost
	// reserved holds the reservations, whose numbers name the hosts of requests.
	reserved []reservation
}

// reservation is a host's time for a call, which ends when the call is processed.
type reservation struct {
	host      *advisorHost
	processed time.Duration
}

// advisorHost is a host through which calls are made.
type advisorHost struct {
	inFlight  int
	backlog   time.Duration
	busyUntil time.Duration
}

func newAdvisor(p *player) *advisor {
	return &advisor{p: p, short: make([]advisorHost, max(1, p.scenario.ShortHosts)), long: make([]advisorHost, max(1, p.scenario.LongHosts))}
}

func (a *advisor) pick(cost time.Duration) *advisorHost {
	if cost <= maxShortCall {
		best := &a.short[0]
		for i := range a.short {
			if a.short[i].backlog < best.backlog {
				best = &a.short[i]
			}
		}
		if best.backlog < maxShortBacklog {
			return best
		}
		return nil
	}
	for i := range a.long {
		if a.long[i].inFlight == 0 {
			return &a.long[i]
		}
	}
	return nil
}

// HasSlot implements cell.AdvisorSlots.
func (a *advisor) HasSlot(cost time.Duration) bool { return a.pick(cost) != nil }

// Reserve implements cell.AdvisorSlots.
func (a *advisor) Reserve(cost time.Duration) (string, bool) {
	h := a.pick(cost)
	if h == nil {
		return "", false
	}
	h.inFlight++
	h.backlog += cost
	h.busyUntil = max(h.busyUntil, a.p.now) + cost
	name := strconv.Itoa(len(a.reserved))
	a.reserved = append(a.reserved, reservation{h, h.busyUntil})
	return name, true
}

// call answers a request when its host has processed it.
func (a *advisor) call(r cell.AdviceRequest) {
	n, err := strconv.Atoi(r.Host)
	if err != nil || n >= len(a.reserved) {
		return
	}
	reserved := a.reserved[n]
	a.p.result.AdviceCalls++
	a.p.at(reserved.processed, func() {
		reserved.host.inFlight--
		reserved.host.backlog -= r.Cost
	})
	a.p.toScheduler(reserved.processed-a.p.now+callOverhead, func() {
		var permits []order.Permit
		for _, id := range r.Workers {
			if a.p.allowed(r.Step, id) {
				permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
			}
		}
		const validity = 2 * time.Second
		a.p.cell.Advised(r, permits, validity, nil, a.p.clock())
		a.p.wake()
	})
}
