package queues_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/queues"
)

// scan returns the queue of a host with the longest prefix of a path by comparing all queues.
func scan(cfg *queues.Config, host, path string) (*queues.Queue, string) {
	host, _, _ = strings.Cut(host, ":")
	var best *queues.Queue
	for i := range cfg.Queues {
		q := &cfg.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Guards against an index that selects another queue than the comparison with all queues: for names that differ in case only, also beyond ASCII,
// names that are no text, repeated endpoints, and prefixes of each other.
func TestIndexSelectsSameQueueAsScan(t *testing.T) {
	hosts := []string{"desk.example", "DESK.example", "eyes.example", "", "k\u00e4se", "K\u00c4SE", "\u212a\u00e4se", "mi\u017fs", "miss", "\xff\xfe", "\ufffd\xfe"}
	prefixes := []string{"", "/", "/a", "/a/", "/a/b/", "/A/", "/b/"}
	paths := []string{"", "/", "/a", "/a/1", "/a/b/1", "/a/b", "/A/1", "/b/", "x"}
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range 300 {
		cfg := &queues.Config{Version: 1}
		for i := range rng.IntN(12) {
			cfg.Queues = append(cfg.Queues, queues.Queue{
				Name: fmt.Sprintf("q%d", i), Host: hosts[rng.IntN(len(hosts))], Prefix: prefixes[rng.IntN(len(prefixes))],
			})
		}
		var store queues.Store
		store.Install(cfg)
		for _, host := range append(hosts, "desk.example:80", "none") {
			for _, path := range paths {
				want, wantRest := scan(cfg, host, path)
				for _, each := range []*queues.Config{cfg, store.Current()} {
					if q, rest := each.Match(host, path); q != want || rest != wantRest {
						t.Fatalf("configuration %d, host %q, path %q: %+v and %q instead of %+v and %q", n, host, path, q, rest, want, wantRest)
					}
				}
			}
		}
	}
}

// Guards against requests that use the index of an earlier version.
func TestIndexIsThatOfCurrentVersion(t *testing.T) {
	c := qt.New(t)
	var store queues.Store
	first := &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "a", Host: "h", Prefix: "/"}}}
	store.Install(first)
	second := *store.Current()
	second.Version, second.Queues = 2, []queues.Queue{{Name: "b", Host: "h", Prefix: "/"}}
	store.Install(&second)
	q, _ := store.Current().Match("h", "/1")
	c.Assert(q.Name, qt.Equals, "b")
	q, _ = first.Match("h", "/1")
	c.Assert(q.Name, qt.Equals, "a")
}

func BenchmarkMatch(b *testing.B) {
	for _, numQueues := range []int{10, 1400} {
		cfg := &queues.Config{Version: 1}
		for i := range numQueues {
			cfg.Queues = append(cfg.Queues, queues.Queue{Host: fmt.Sprintf("desk-%d.example", i/2), Prefix: fmt.Sprintf("/checks-%d/", i%2)})
		}
		var store queues.Store
		store.Install(cfg)
		host := cfg.Queues[numQueues-1].Host
		b.Run(fmt.Sprintf("queues=%d", numQueues), func(b *testing.B) {
			for range b.N {
				store.Current().Match(host, "/checks-1/5c0e7a21d94b36f8")
			}
		})
	}
}
