package queues_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

func TestInstallNeverReplacesNewerVersion(t *testing.T) {
	c := qt.New(t)
	var store queues.Store
	c.Assert(store.Current(), qt.IsNil)
	for _, test := range []struct {
		version uint64
		want    uint64
	}{{5, 5}, {4, 5}, {5, 5}, {9, 9}, {7, 9}} {
		store.Install(&queues.Config{Version: test.version})
		c.Assert(store.Current().Version, qt.Equals, test.want)
	}
}

func TestLongestPrefixSelectsQueue(t *testing.T) {
	cfg := &queues.Config{Queues: []queues.Queue{
		{Name: "a", Host: "h", Prefix: "/x/"}, {Name: "b", Host: "h", Prefix: "/x/y/"}, {Name: "c", Host: "other", Prefix: "/x/"},
	}}
	for _, test := range []struct{ host, path, queue, rest string }{
		{"h", "/x/1", "a", "1"},
		{"H:80", "/x/y/1", "b", "1"},
		{"other", "/x/y/1", "c", "y/1"},
		{"h", "/z/1", "", ""},
		{"none", "/x/1", "", ""},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			c := qt.New(t)
			q, rest := cfg.Match(test.host, test.path)
			if test.queue == "" {
				c.Assert(q, qt.IsNil)
				return
			}
			c.Assert(q.Name, qt.Equals, test.queue)
			c.Assert(rest, qt.Equals, test.rest)
		})
	}
}

// Guards against a team that loses its cap, or keeps its keys, when a configuration drops it.
func TestDroppedTeamKeepsItsCapWithoutKeys(t *testing.T) {
	c := qt.New(t)
	var s queues.Store
	limit := unit.Size{CPUMilli: 4000}
	s.Install(&queues.Config{Version: 1, Teams: []queues.Team{
		{Name: "red", Keys: []queues.KeyDigest{{1}}, Cap: limit}, {Name: "blue", Keys: []queues.KeyDigest{{2}}}, {Name: "green", Cap: limit},
	}})
	s.Install(&queues.Config{Version: 2, Teams: []queues.Team{{Name: "green"}}})
	c.Check(s.Current().NeedsKeys(), qt.IsTrue)
	cfg := s.Current()
	c.Check(cfg.Teams, qt.HasLen, 1)
	c.Check(cfg.DroppedTeams, qt.DeepEquals, []queues.Team{{Name: "red", Cap: limit}})
	c.Check(cfg.CapOf("red"), qt.Equals, limit)
	c.Check(cfg.CapOf("green"), qt.Equals, unit.Size{})
	s.Install(&queues.Config{Version: 3})
	c.Check(s.Current().Teams, qt.HasLen, 0)
	c.Check(s.Current().CapOf("red"), qt.Equals, limit)
	s.Install(&queues.Config{Version: 4, Teams: []queues.Team{{Name: "red"}}})
	c.Check(s.Current().CappedTeams(), qt.HasLen, 0)
}
