package queues_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/queues"
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
