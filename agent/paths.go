package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corianderdrift/corianderdrift/clock"
)

// What is known of the paths to the table through other hosts.
const (
	// withoutTableDuration is how long a host that could not reach the table is asked after all others. It doubles with each further refusal in a
	// row, up to maxWithoutTableDuration.
	withoutTableDuration    = time.Second
	maxWithoutTableDuration = 8 * time.Second
	// answeredDuration is how long a host through which the table has answered is preferred.
	answeredDuration = 30 * time.Second
	// leftDuration is how long a host that has left the list is kept at least. It is forgotten when the list is read after that. A host that stops leaves
	// the list at once but passes calls on until its end, and one that starts again mostly has the same address.
	leftDuration = time.Minute
	// searchInterval is the interval at which paths are searched for, and maxSearches how many hosts are asked at a time.
	searchInterval = 100 * time.Millisecond
	maxSearches    = 8
)

// relayPaths is what this host knows of the paths to the table through other hosts. The list of hosts is itself read from the table, so it may be
// old when it is needed.
type relayPaths struct {
	records map[string]*pathRecord
	// left holds the hosts that have left the list.
	left map[string]leftHost
}

// pathRecord is what calls through a host have met.
type pathRecord struct {
	// answeredAt is when the table last answered through the host, and failedAt when a call last failed.
	answeredAt, failedAt time.Time
	// refusedUntil is until when it is asked after all others, and refusedFor how long that was from its last refusal on.
	refusedUntil time.Time
	refusedFor   time.Duration
}

type leftHost struct {
	host
	at time.Time
}

// relayHost is a host that may pass calls on to the table.
type relayHost struct {
	host
	// tentative says that the host has left or didn't respond: it may no longer run, so that a commit through it might stay without an answer.
	tentative bool
	// proven says that the table has answered through the host lately.
	proven bool
}

func newRelayPaths() relayPaths {
	return relayPaths{records: map[string]*pathRecord{}, left: map[string]leftHost{}}
}

// leave removes a host from the list; h.mu must be held.
func (h *hosts) leave(name string, now time.Time) {
	if peer, ok := h.known[name]; ok {
		h.left[name] = leftHost{peer, now}
		delete(h.known, name)
	}
}

// forgetLeft forgets hosts that left long ago; h.mu must be held.
func (h *hosts) forgetLeft(now time.Time) {
	for name, peer := range h.left {
		if now.Sub(peer.at) > leftDuration {
			delete(h.left, name)
		}
	}
	for name := range h.records {
		_, known := h.known[name]
		if _, left := h.left[name]; !known && !left {
			delete(h.records, name)
		}
	}
}

// record returns the record of a host; h.mu must be held.
func (h *hosts) record(name string) *pathRecord {
	r, ok := h.records[name]
	if !ok {
		r = &pathRecord{}
		h.records[name] = r
	}
	return r
}

// setWithoutTable records that a host could not reach the table.
func (h *hosts) setWithoutTable(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(name)
	r.refusedFor = min(max(2*r.refusedFor, withoutTableDuration), maxWithoutTableDuration)
	r.failedAt, r.refusedUntil = now, now.Add(r.refusedFor)
}

// setWithTable records that the table has answered through a host.
func (h *hosts) setWithTable(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(name)
	r.answeredAt, r.refusedUntil, r.refusedFor = now, time.Time{}, 0
}

// setSilent backs off from a host that has not responded. What it answered before says nothing of the time after that.
func (h *hosts) setSilent(name string, now time.Time) {
	h.backOff(name, now)
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(name)
	r.failedAt, r.answeredAt = now, time.Time{}
}

// relays returns the hosts through which the table may be reached: first those through which it has answered, then the others, and last those of which
// it isn't known whether they run or that could not reach it, the one that failed longest ago first. Strong hosts come first otherwise, since weak ones
// can't carry what a runner reads.
func (h *hosts) relays(now time.Time) []relayHost {
	strong, weak := h.splitFastPath(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []relayHost
	for _, peer := range slices.Concat(strong, weak) {
		list = append(list, relayHost{host: peer})
	}
	for _, peer := range h.sorted {
		if until, ok := h.backoffUntil[peer.Name]; ok {
			list = append(list, relayHost{host: peer, tentative: !h.record(peer.Name).answeredAt.After(until.Add(-backoffDuration))})
		}
	}
	for _, name := range h.leftNames() {
		peer := h.left[name]
		list = append(list, relayHost{host: peer.host, tentative: !h.record(name).answeredAt.After(peer.at)})
	}
	list = slices.DeleteFunc(list, func(peer relayHost) bool { return peer.Name == h.self })
	slices.SortStableFunc(list, func(a, b relayHost) int {
		rank := h.relayRank(a, now)
		if order := cmp.Compare(rank, h.relayRank(b, now)); order != 0 || rank != relayDoubtful {
			return order
		}
		return h.record(a.Name).failedAt.Compare(h.record(b.Name).failedAt)
	})
	for i := range list {
		list[i].proven = h.relayRank(list[i], now) == relayAnswered
	}
	return list
}

// leftNames returns the names of the hosts that have left, the last one first; h.mu must be held.
func (h *hosts) leftNames() []string {
	names := make([]string, 0, len(h.left))
	for name := range h.left {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(h.left[b].at.Compare(h.left[a].at), cmp.Compare(a, b)) })
	return names
}

// Ranks of hosts as paths to the table.
const (
	relayAnswered = iota
	relayUnknown
	relayDoubtful
)

// relayRank returns the rank of a host; h.mu must be held.
func (h *hosts) relayRank(peer relayHost, now time.Time) int {
	r := h.record(peer.Name)
	switch {
	case now.Before(r.refusedUntil), peer.tentative:
		return relayDoubtful
	case r.answeredAt.After(r.failedAt) && now.Sub(r.answeredAt) < answeredDuration:
		return relayAnswered
	default:
		return relayUnknown
	}
}

// searchRelays asks hosts for a path to the table, several at a time, while the table doesn't answer this one and none is known: calls go on from one host
// to the next, and each that doesn't respond takes most of their time.
func (a *Agent) searchRelays(ctx context.Context) {
	var asking sync.Map
	var eg errgroup.Group
	eg.SetLimit(maxSearches)
	for clock.Pause(ctx, searchInterval) {
		if a.direct.Reachable(time.Now()) {
			continue
		}
		for _, peer := range a.hosts.unprovenRelays(time.Now()) {
			if _, asked := asking.LoadOrStore(peer.Name, true); asked {
				continue
			}
			if !eg.TryGo(func() error {
				defer asking.Delete(peer.Name)
				_, err := (&relayStore{hosts: a.hosts, host: peer.host}).Read(ctx, tableProbe)
				return err
			}) {
				asking.Delete(peer.Name)
				break
			}
		}
	}
	_ = eg.Wait()
}

// unprovenRelays returns the hosts that have not failed lately, or none if the table has answered through one.
func (h *hosts) unprovenRelays(now time.Time) []relayHost {
	list := h.relays(now)
	if len(list) > 0 && list[0].proven {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(list, func(peer relayHost) bool {
		return now.Before(h.record(peer.Name).refusedUntil) || now.Before(h.backoffUntil[peer.Name])
	})
}
