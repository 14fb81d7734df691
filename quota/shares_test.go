package quota_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

func row(entries map[string]quota.GroupShare) quota.TeamShares {
	if entries == nil {
		entries = map[string]quota.GroupShare{}
	}
	return quota.TeamShares{Groups: entries}
}

// Guards against a group without a share at its first job, against shares beyond the cap, and against shares that are kept from who needs them.
func TestNextShare(t *testing.T) {
	limit := quota.Amount{16_000, 0, 0}
	for _, test := range []struct {
		name   string
		row    map[string]quota.GroupShare
		used   int64
		want   int64
		starts []quota.Start
		share  int64
		limit  int64
	}{
		{name: "floor of the first group", share: 4000, limit: 4000},
		{name: "floor where the rest is taken", row: map[string]quota.GroupShare{
			"b": {Token: 1, Share: quota.Amount{14_000}, Want: quota.Amount{14_000}},
		}, share: 1000, limit: 1000},
		{name: "all that is unallocated", want: 30_000, row: map[string]quota.GroupShare{
			"a": {Token: 7, Share: quota.Amount{4000}}, "b": {Token: 1, Share: quota.Amount{4000}},
		}, share: 12_000, limit: 12_000},
		{name: "excess is returned as tasks end", used: 14_000, want: 16_000, row: map[string]quota.GroupShare{
			"a": {Token: 7, Share: quota.Amount{16_000}, Want: quota.Amount{16_000}}, "b": {Token: 1, Want: quota.Amount{16_000}},
		}, share: 14_000, limit: 8000},
		{name: "unused share is returned", used: 1000, want: 1000, row: map[string]quota.GroupShare{
			"a": {Token: 7, Share: quota.Amount{16_000}, Want: quota.Amount{16_000}}, "b": {Token: 1, Share: quota.Amount{0}, Want: quota.Amount{15_000}},
		}, share: 1000, limit: 16_000},
		{name: "floor is left to who needs it", row: map[string]quota.GroupShare{
			"a": {Token: 7, Share: quota.Amount{4000}}, "b": {Token: 1, Share: quota.Amount{12_000}, Want: quota.Amount{16_000}},
		}, share: 0, limit: 4000},
		{
			name: "one task beyond the cap", used: 15_000, want: 16_000, starts: []quota.Start{{Size: quota.Amount{3000}, Count: 1}},
			row: map[string]quota.GroupShare{"a": {Token: 7, Share: quota.Amount{16_000}, Want: quota.Amount{16_000}}}, share: 18_000, limit: 18_000,
		},
		{
			name: "no second task beyond the cap", used: 16_000, want: 16_000, starts: []quota.Start{{Size: quota.Amount{3000}, Count: 1}},
			row: map[string]quota.GroupShare{"a": {Token: 7, Share: quota.Amount{16_000}, Want: quota.Amount{16_000}}}, share: 16_000, limit: 16_000,
		},
		{
			name: "a gang of which all members but one fit", want: 16_000, starts: []quota.Start{{Size: quota.Amount{8000}, Count: 3}},
			row: map[string]quota.GroupShare{"a": {Token: 7, Share: quota.Amount{4000}}}, share: 24_000, limit: 24_000,
		},
		{
			name: "a gang of which two members do not fit", want: 16_000, starts: []quota.Start{{Size: quota.Amount{8000}, Count: 4}},
			row: map[string]quota.GroupShare{"a": {Token: 7, Share: quota.Amount{4000}}}, share: 16_000, limit: 16_000,
		},
		{name: "never below what is in use", used: 9000, want: 9000, row: map[string]quota.GroupShare{
			"a": {Token: 7, Share: quota.Amount{9000}}, "b": {Token: 1, Share: quota.Amount{16_000}, Want: quota.Amount{16_000}},
		}, share: 9000, limit: 5760},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := quota.Demand{Cap: limit, NumServices: 2, Used: quota.Amount{test.used}, Want: quota.Amount{max(test.used, test.want)}, Starts: test.starts}
			next, within := row(test.row).Next("a", 7, d)
			c.Check(next.Share, qt.Equals, quota.Amount{test.share})
			c.Check(within, qt.Equals, quota.Amount{test.limit})
			c.Check(next.Token, qt.Equals, uint64(7))
		})
	}
}

// Guards against two groups that each wait for a gang that is larger than their part, so that neither ever starts.
func TestLargeStartsTakeTurns(t *testing.T) {
	c := qt.New(t)
	shares := row(nil)
	demand := func(used int64, waits bool) quota.Demand {
		d := quota.Demand{Cap: quota.Amount{4500}, NumServices: 2, Used: quota.Amount{used}, Want: quota.Amount{used}}
		if waits {
			d.Want[0] += 6000
			d.Starts = []quota.Start{{Size: quota.Amount{3000}, Count: 2}}
		}
		return d
	}
	used := map[string]int64{}
	numStarts := map[string]int{}
	for range 200 {
		for _, group := range []string{"a", "b"} {
			next, limit := shares.Next(group, 1, demand(used[group], true))
			shares = shares.With(group, next)
			others, _ := shares.Others(group)
			room := quota.Room(quota.Amount{3000}, quota.Amount{used[group]}, limit, others, quota.Amount{4500}, 2, true)
			switch {
			case used[group] > 0:
				used[group] = 0
			case room == 2:
				used[group] = 6000
				numStarts[group]++
			}
			c.Assert(used["a"]+used["b"] <= 7500, qt.IsTrue)
		}
	}
	c.Check(numStarts["a"] > 10, qt.IsTrue, qt.Commentf("%v", numStarts))
	c.Check(numStarts["b"] > 10, qt.IsTrue, qt.Commentf("%v", numStarts))
}

// Guards against any sequence of changes by which the groups' shares together exceed the cap by more than one task, where the cap does not change,
// and against a share below what is in use.
func TestSharesAddUpToCapAndOneTask(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			limit := quota.Amount{2000 + rng.Int64N(40_000), rng.Int64N(2) * 50_000, rng.Int64N(2) * 8}
			numGroups := 1 + rng.IntN(4)
			shares := row(nil)
			used := make([]quota.Amount, numGroups)
			largest := quota.Amount{}
			for range 600 {
				g := rng.IntN(numGroups)
				group := fmt.Sprintf("g%d", g)
				size := quota.Amount{500 + rng.Int64N(9000), 1000 + rng.Int64N(9000), rng.Int64N(3)}
				count := int64(1)
				if rng.IntN(4) == 0 {
					count = 1 + rng.Int64N(5)
				}
				d := quota.Demand{Cap: limit, NumServices: numGroups, Used: used[g], Want: used[g]}
				if rng.IntN(3) > 0 {
					d.Starts = []quota.Start{{Size: size, Count: count}}
					for i := range size {
						d.Want[i] += count * size[i] * (1 + rng.Int64N(4))
					}
				}
				old := shares.Groups[group]
				next, within := shares.Next(group, 1, d)
				_, otherWants := shares.Others(group)
				if d.Matters(old, next, otherWants) {
					shares = shares.With(group, next)
				} else {
					next = old
				}
				for i := range within {
					within[i] = min(within[i], next.Share[i])
				}
				others, _ := shares.Others(group)
				room := int64(0)
				if len(d.Starts) > 0 {
					room = quota.Room(size, used[g], within, others, limit, count, count > 1)
				}
				for i := range size {
					if room > 0 {
						largest[i] = max(largest[i], size[i])
					}
					used[g][i] += room * size[i]
				}
				var sum quota.Amount
				for i := range limit {
					for k := range used {
						sum[i] += used[k][i]
						if limit[i] > 0 {
							c.Assert(used[k][i] <= shares.Groups[fmt.Sprintf("g%d", k)].Share[i], qt.IsTrue)
						}
					}
					if limit[i] > 0 {
						c.Assert(sum[i] <= limit[i]+largest[i], qt.IsTrue, qt.Commentf("use %v of %v", sum, limit))
					}
				}
				if rng.IntN(2) == 0 {
					// Some tasks end.
					k := rng.IntN(numGroups)
					part := rng.Int64N(3)
					for i := range used[k] {
						used[k][i] = used[k][i] * part / 2
					}
				}
			}
		})
	}
}

// Guards against rows that are written although hardly anything has changed: bytes written are charged.
func TestSmallChangesAreNotWritten(t *testing.T) {
	c := qt.New(t)
	d := quota.Demand{Cap: quota.Amount{64_000}, NumServices: 2, Want: quota.Amount{16_000}}
	shares := row(nil)
	next, _ := shares.Next("a", 1, d)
	c.Assert(d.Matters(shares.Groups["a"], next, quota.Amount{}), qt.IsTrue)
	shares = shares.With("a", next)
	for _, want := range []int64{12_000, 16_000, 14_500, 13_000} {
		d.Want[0] = want
		next, _ = shares.Next("a", 1, d)
		c.Check(d.Matters(shares.Groups["a"], next, quota.Amount{}), qt.IsFalse, qt.Commentf("%d", want))
	}
	next, _ = shares.Next("a", 2, d)
	c.Check(d.Matters(shares.Groups["a"], next, quota.Amount{}), qt.IsTrue)
	raw, err := json.Marshal(shares)
	c.Assert(err, qt.IsNil)
	c.Check(len(raw) < 100, qt.IsTrue, qt.Commentf("%s", raw))
}

// Guards against jobs that are accepted and never run, since a gang exceeds its team's cap by more than one member.
func TestGangBeyondCapIsFound(t *testing.T) {
	limit := unit.Size{CPUMilli: 10_000, Accelerators: 4}
	for _, test := range []struct {
		name     string
		step     graph.Step
		limit    unit.Size
		resource string
	}{
		{"all members but one fit", graph.Step{Gang: true, Count: 3, Size: unit.Size{CPUMilli: 5000, Accelerators: 2}}, limit, ""},
		{"two members do not fit", graph.Step{Gang: true, Count: 4, Size: unit.Size{CPUMilli: 5000}}, limit, "cpu-milli"},
		{"accelerators", graph.Step{Gang: true, Count: 4, Size: unit.Size{Accelerators: 2}}, limit, "accelerators"},
		{"resource without a limit", graph.Step{Gang: true, Count: 100, Size: unit.Size{MemoryMiB: 1 << 40}}, limit, ""},
		{"one member", graph.Step{Gang: true, Count: 1, Size: unit.Size{CPUMilli: 50_000}}, limit, ""},
		{"no gang", graph.Step{Count: 100, Size: unit.Size{CPUMilli: 5000}}, limit, ""},
		{"sum beyond 64 bits", graph.Step{Gang: true, Count: 1 << 20, Size: unit.Size{CPUMilli: 1 << 60}}, limit, "cpu-milli"},
		{"no cap", graph.Step{Gang: true, Count: 100, Size: unit.Size{CPUMilli: 5000}}, unit.Size{}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := quota.CheckGangs(&graph.Job{Steps: []graph.Step{test.step}}, test.limit)
			if test.resource == "" {
				c.Check(err, qt.IsNil)
				return
			}
			var exceeds *quota.GangCapError
			c.Assert(errors.As(err, &exceeds), qt.IsTrue)
			c.Check(exceeds.Resource, qt.Equals, test.resource)
		})
	}
}
