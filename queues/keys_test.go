package queues_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/queues"
)

func TestKeyBelongsToTeam(t *testing.T) {
	digests := func(keys ...string) []queues.KeyDigest {
		var out []queues.KeyDigest
		for _, key := range keys {
			out = append(out, queues.DigestKey(key))
		}
		return out
	}
	for _, test := range []struct {
		name, key, team string
		teams           []queues.Team
	}{
		{"no teams", "a1", "", nil},
		{"first key", "a1", "a", []queues.Team{{Name: "a", Keys: digests("a1", "a2")}, {Name: "b", Keys: digests("b1")}}},
		{"second key", "a2", "a", []queues.Team{{Name: "a", Keys: digests("a1", "a2")}, {Name: "b", Keys: digests("b1")}}},
		{"another team", "b1", "b", []queues.Team{{Name: "a", Keys: digests("a1", "a2")}, {Name: "b", Keys: digests("b1")}}},
		{"unknown key", "c1", "", []queues.Team{{Name: "a", Keys: digests("a1")}}},
		{"the digest instead of the key", string(digests("a1")[0][:]), "", []queues.Team{{Name: "a", Keys: digests("a1")}}},
		{"a team without keys", "a1", "", []queues.Team{{Name: "a"}}},
		{"an empty key", "", "", []queues.Team{{Name: "a", Keys: digests("")}}},
		{"a key of two teams", "a1", "a", []queues.Team{{Name: "a", Keys: digests("a1")}, {Name: "b", Keys: digests("a1")}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cfg := &queues.Config{Version: 1, Teams: test.teams}
			var store queues.Store
			store.Install(cfg)
			for _, each := range []*queues.Config{cfg, store.Current()} {
				team := each.KeyTeam(test.key)
				if test.team == "" {
					c.Assert(team, qt.IsNil)
					continue
				}
				c.Assert(team, qt.IsNotNil)
				c.Assert(team.Name, qt.Equals, test.team)
			}
		})
	}
}

func TestCallerSeesJobsOfItsTeam(t *testing.T) {
	for _, test := range []struct {
		name   string
		caller queues.Caller
		team   string
		want   bool
	}{
		{"own job", queues.Caller{Team: "a"}, "a", true},
		{"job of another team", queues.Caller{Team: "a"}, "b", false},
		{"job without a team", queues.Caller{Team: "a"}, "", true},
		{"no key, job of a team", queues.Caller{}, "a", false},
		{"no key, job without a team", queues.Caller{}, "", true},
		{"any team", queues.Caller{AnyTeam: true}, "a", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(test.caller.Sees(test.team), qt.Equals, test.want)
		})
	}
}
