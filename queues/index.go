package queues

import (
	"cmp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// index holds what requests look up in a configuration.
type index struct {
	// hosts holds the queues by folded host name.
	hosts map[string]*hostQueues
	// teams holds the teams by the digests of their keys.
	teams map[KeyDigest]*Team
}

// hostQueues holds the queues of one host name.
type hostQueues struct {
	byPrefix map[string]*Queue
	// prefixLengths lists the lengths of the prefixes, the longest first.
	prefixLengths []int
}

// newIndex returns the index of a configuration. Of several queues with the same host and prefix, and of several teams with the same key, the
// first one counts.
func newIndex(c *Config) *index {
	x := &index{hosts: map[string]*hostQueues{}, teams: map[KeyDigest]*Team{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		name := foldHost(q.Host)
		h := x.hosts[name]
		if h == nil {
			h = &hostQueues{byPrefix: map[string]*Queue{}}
			x.hosts[name] = h
		}
		if _, ok := h.byPrefix[q.Prefix]; ok {
			continue
		}
		h.byPrefix[q.Prefix] = q
		if n := len(q.Prefix); !slices.Contains(h.prefixLengths, n) {
			h.prefixLengths = append(h.prefixLengths, n)
		}
	}
	for _, h := range x.hosts {
		slices.SortFunc(h.prefixLengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
	for i := range c.Teams {
		for _, digest := range c.Teams[i].Keys {
			if _, ok := x.teams[digest]; !ok {
				x.teams[digest] = &c.Teams[i]
			}
		}
	}
	return x
}

// match returns the queue of a host with the longest prefix of a path, or nil.
func (x *index) match(host, path string) *Queue {
	h := x.hosts[foldHost(host)]
	if h == nil {
		return nil
	}
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		if q := h.byPrefix[path[:n]]; q != nil {
			return q
		}
	}
	return nil
}

// foldHost returns the same text for all names that strings.EqualFold finds equal.
func foldHost(host string) string {
	for i := range len(host) {
		if host[i] >= utf8.RuneSelf {
			return strings.Map(foldRune, host)
		}
	}
	return strings.ToLower(host)
}

// foldRune returns the least rune that differs from r in case only, in lower case if it is an ASCII letter.
func foldRune(r rune) rune {
	least := r
	for other := unicode.SimpleFold(r); other != r; other = unicode.SimpleFold(other) {
		least = min(least, other)
	}
	if 'A' <= least && least <= 'Z' {
		least += 'a' - 'A'
	}
	return least
}
