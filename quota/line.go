package quota

import (
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
)

// waiting is a host that wants so much more.
type waiting struct {
	Host string `json:"host"`
	// Want also says in which data centre the host is.
	Want Share `json:"want"`
}

type line []waiting

// queue returns what hosts wait for that go before this one, and all that wait and are not gone; those with smaller
// shares go first, and among equals those that came first.
func (b *Book) queue(shares row, limit entry.Quota) (ahead Share, all line) {
	behind := false
	mine := shares.Shares[b.cfg.Self]
	for _, w := range shares.Waiting {
		if w.Host != b.cfg.Self && b.cfg.Gone(w.Host, w.Want.DataCenter) {
			continue
		}
		all = append(all, w)
		behind = behind || w.Host == b.cfg.Self
		share := shares.Shares[w.Host]
		first := mine.larger(share, limit) || (!behind && !share.larger(mine, limit))
		if w.Host != b.cfg.Self && first && b.cfg.Heard(w.Host) {
			ahead = ahead.plus(w.Want)
		}
	}
	return ahead, all
}

// update keeps a host's place in the line while it wants anything, and takes it out when it does not.
func (l line) update(host string, want Share) []waiting {
	var next []waiting
	found := false
	for _, w := range l {
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
		next = append(next, waiting{Host: host, Want: want})
	}
	return next
}

// makeRoom lowers this host's ceiling if it has the largest share and one that waits has less.
func (b *Book) makeRoom(owner string, limit entry.Quota, mine Share, others map[string]Share, line []waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(owner)
	a.ceiling = nil
	for host, share := range others {
		if share.larger(mine, limit) || (!mine.larger(share, limit) && host > b.cfg.Self) {
			return
		}
	}
	for _, w := range line {
		left, gets := mine.minus(w.Want), others[w.Host].plus(w.Want)
		needy := others[w.Host].within(Share{}, limit) || !gets.larger(left, limit)
		if w.Host != b.cfg.Self && needy && b.cfg.Heard(w.Host) {
			a.ceiling = &Share{CPUMilli: max(0, left.CPUMilli), Accelerators: max(0, left.Accelerators)}
			return
		}
	}
}

// larger compares shares by the part that they take of a quota.
func (s Share) larger(o Share, limit entry.Quota) bool {
	part := func(x Share) float64 {
		return float64(x.CPUMilli)/float64(max(1, limit.CPUMilli)) + float64(x.Accelerators)/float64(max(1, limit.Accelerators))
	}
	return part(s) > part(o)
}

func (b *Book) poke() {
	time.AfterFunc(lookEvery/20, func() {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	})
}

// others returns the other hosts' shares, without those of processes that are gone.
func (b *Book) others(shares row) map[string]Share {
	kept := map[string]Share{}
	for self, share := range shares.Shares {
		if self != b.cfg.Self && !b.cfg.Gone(self, share.DataCenter) {
			kept[self] = share
		}
	}
	return kept
}
