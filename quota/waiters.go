package quota

import (
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
)

// waiter is a host that waits for a larger share.
type waiter struct {
	Host string `json:"host"`
	// Want is the additional amount; its DataCenter is that of the host.
	Want Share `json:"want"`
}

// waitQueue lists the waiting hosts in the order of their arrival.
type waitQueue []waiter

// waitersAhead returns the sum that live hosts with priority over this one wait for, and all waiters except those whose
// process has ended. Hosts with smaller shares have priority, and among equal shares the earlier one.
func (a *Allocator) waitersAhead(row quotaRow, limit entry.Quota) (ahead Share, waiters waitQueue) {
	seenSelf := false
	own := row.Shares[a.cfg.Self]
	for _, w := range row.Waiting {
		if w.Host != a.cfg.Self && a.cfg.CanDropShare(w.Host, w.Want.DataCenter) {
			continue
		}
		waiters = append(waiters, w)
		seenSelf = seenSelf || w.Host == a.cfg.Self
		share := row.Shares[w.Host]
		hasPriority := own.larger(share, limit) || (!seenSelf && !share.larger(own, limit))
		if w.Host != a.cfg.Self && hasPriority && a.cfg.IsAlive(w.Host) {
			ahead = ahead.plus(w.Want)
		}
	}
	return ahead, waiters
}

// update returns the queue with the host's entry added or changed in place, or removed if want is zero.
func (q waitQueue) update(host string, want Share) []waiter {
	var next []waiter
	found := false
	for _, w := range q {
		if w.Host == host {
			found = true
			if want == (Share{}) {
				continue
			}
			w.Want = want
		}
		next = append(next, w)
	}
	if !found && want != (Share{}) {
		next = append(next, waiter{Host: host, Want: want})
	}
	return next
}

// updateCeiling limits this host to its share less what a waiting host wants, if this host's share is the largest and the
// waiting host either has none or would not get more than this host keeps; otherwise it removes the ceiling.
func (a *Allocator) updateCeiling(owner string, limit entry.Quota, own Share, others map[string]Share, waiters []waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(owner)
	acct.ceiling = nil
	for host, share := range others {
		if share.larger(own, limit) || (!own.larger(share, limit) && host > a.cfg.Self) {
			return
		}
	}
	for _, w := range waiters {
		remaining, increased := own.minus(w.Want), others[w.Host].plus(w.Want)
		entitled := others[w.Host].within(Share{}, limit) || !increased.larger(remaining, limit)
		if w.Host != a.cfg.Self && entitled && a.cfg.IsAlive(w.Host) {
			acct.ceiling = &Share{CPUMilli: max(0, remaining.CPUMilli), Accelerators: max(0, remaining.Accelerators)}
			return
		}
	}
}

// larger reports whether s is a larger fraction of the quota than o, summed over its dimensions.
func (s Share) larger(o Share, limit entry.Quota) bool {
	fraction := func(x Share) float64 {
		return float64(x.CPUMilli)/float64(max(1, limit.CPUMilli)) + float64(x.Accelerators)/float64(max(1, limit.Accelerators))
	}
	return fraction(s) > fraction(o)
}

// retrySoon wakes Run after a short delay.
func (a *Allocator) retrySoon() {
	time.AfterFunc(pollInterval/20, func() {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	})
}

// otherShares returns the other hosts' shares, without those that may be dropped because their process has ended.
func (a *Allocator) otherShares(row quotaRow) map[string]Share {
	others := map[string]Share{}
	for host, share := range row.Shares {
		if host != a.cfg.Self && !a.cfg.CanDropShare(host, share.DataCenter) {
			others[host] = share
		}
	}
	return others
}
