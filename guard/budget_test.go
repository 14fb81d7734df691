package guard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// request is a request in a test of a budget of 640 kB, whose large requests may use 480 kB and whose small ones cost up to 10 kB.
type request struct {
	name     string
	charge   int64
	age      time.Duration
	complete bool
}

func TestBudgetEvictsSlowestAndLargestIncompleteRequests(t *testing.T) {
	const kb = 1000
	for _, test := range []struct {
		name string
		held []request
		// wanted is the new request, and granted whether it gets its charge.
		wanted  request
		granted bool
		evicted []string
	}{
		{"enough", []request{{"a", 100 * kb, time.Second, false}}, request{charge: 100 * kb}, true, nil},
		{
			"the largest of the same age",
			[]request{{"a", 200 * kb, time.Second, false}, {"b", 250 * kb, time.Second, false}},
			request{charge: 100 * kb},
			true,
			[]string{"b"},
		},
		{
			"the oldest of the same size",
			[]request{{"a", 225 * kb, 3 * time.Second, false}, {"b", 225 * kb, time.Second, false}},
			request{charge: 100 * kb},
			true,
			[]string{"a"},
		},
		{
			"several",
			[]request{{"a", 200 * kb, 3 * time.Second, false}, {"b", 200 * kb, 2 * time.Second, false}, {"c", 50 * kb, time.Second, false}},
			request{charge: 400 * kb},
			true,
			[]string{"a", "b"},
		},
		{
			"the new one, if it is the slowest",
			[]request{{"a", 400 * kb, time.Second, false}},
			request{charge: 300 * kb, age: 10 * time.Second},
			false,
			[]string{"new"},
		},
		{
			"never a complete one",
			[]request{{"a", 300 * kb, 9 * time.Second, true}, {"b", 150 * kb, time.Second, false}},
			request{charge: 100 * kb},
			true,
			[]string{"b"},
		},
		{
			"the new one, if all others are complete",
			[]request{{"a", 450 * kb, 9 * time.Second, true}},
			request{charge: 100 * kb},
			false,
			[]string{"new"},
		},
		{
			"a complete one isn't evicted for lack of others",
			[]request{{"a", 450 * kb, 9 * time.Second, true}},
			request{charge: 100 * kb, complete: true},
			false,
			nil,
		},
		{"a small request uses the reserve", []request{{"a", 480 * kb, time.Second, true}}, request{charge: 9 * kb}, true, nil},
		{
			"small requests are spared while the reserve isn't used up",
			[]request{{"a", 9 * kb, 60 * time.Second, false}, {"b", 400 * kb, time.Second, false}},
			request{charge: 100 * kb},
			true,
			[]string{"b"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			refusals := 0
			b := newBudget(640*kb, func() { refusals++ })
			var evicted []string
			add := func(name string, r request) *account {
				a := &account{started: now.Add(-r.age), complete: r.complete}
				a.evict = func() {
					evicted = append(evicted, name)
					go b.release(a)
				}
				return a
			}
			used := int64(0)
			for _, r := range test.held {
				c.Assert(b.grow(add(r.name, r), r.charge, now), qt.IsTrue)
				used += r.charge
			}
			fresh := add("new", test.wanted)
			c.Assert(b.grow(fresh, test.wanted.charge, now), qt.Equals, test.granted)
			c.Assert(evicted, qt.DeepEquals, test.evicted)
			c.Assert(refusals == 0, qt.Equals, test.granted)
			c.Assert(b.Used() <= 640*kb, qt.IsTrue)
		})
	}
}

// An evicted request used to be able to complete beside its eviction: its response would have been a refusal although its job was accepted.
func TestEvictedRequestIsNeverComplete(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newBudget(1<<20, func() {})
	evicted := make(chan bool, 1)
	a := &account{started: now, evict: func() { evicted <- true }}
	c.Assert(b.grow(a, 700_000, now), qt.IsTrue)
	other := &account{started: now, evict: func() {}}
	granted := make(chan bool)
	go func() { granted <- b.grow(other, 400_000, now.Add(time.Second)) }()
	<-evicted
	c.Assert(b.completed(a), qt.IsFalse)
	c.Assert(b.grow(a, 800_000, now), qt.IsFalse)
	c.Assert(b.Used(), qt.Equals, int64(700_000))
	b.release(a)
	c.Assert(<-granted, qt.IsTrue)
	c.Assert(b.completed(other), qt.IsTrue)
	b.release(other)
	c.Assert(b.Used(), qt.Equals, int64(0))
	c.Assert(b.accounts, qt.HasLen, 0)
	c.Assert(b.grow(a, 700_000, now), qt.IsTrue)
}

func TestReservedBytesAreReturned(t *testing.T) {
	c := qt.New(t)
	b := newBudget(1<<20, func() {})
	release, ok := b.Reserve(700_000)
	c.Assert(ok, qt.IsTrue)
	_, ok = b.Reserve(700_000)
	c.Assert(ok, qt.IsFalse)
	release()
	release, ok = b.Reserve(700_000)
	c.Assert(ok, qt.IsTrue)
	release()
	c.Assert(b.Used(), qt.Equals, int64(0))
}

// A single request of the largest legal size must be served on the smallest host, with as many header lines as fit into its head.
func TestLargestRequestFitsSmallestHost(t *testing.T) {
	for _, test := range []struct {
		name        string
		memoryMiB   int64
		descriptors int
	}{{"smallest", 144, 3075}, {"boat parts", 184, 4100}, {"largest", 536, 10_250}, {"unknown", 0, 0}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sizes := SizesOf(test.memoryMiB<<20, test.descriptors)
			s := Scanner{head: DefaultHeadBytes, lines: DefaultHeadBytes / 4, body: DefaultBodyBytes}
			b := newBudget(sizes.BudgetBytes, func() {})
			a := &account{evict: func() {}}
			c.Assert(b.grow(a, requestCost(&s), time.Now()), qt.IsTrue)
			c.Assert(sizes.PeerBytes >= peerMessageBytes*peerByteCost, qt.IsTrue)
			if test.memoryMiB > 0 {
				c.Assert(sizes.GoBytes < test.memoryMiB<<20, qt.IsTrue)
			}
			if test.descriptors > 0 {
				c.Assert(sizes.Connections+2*sizes.SideConnections+sizes.PeerConnections < test.descriptors, qt.IsTrue)
			}
		})
	}
}

func TestBodyDeadlineFollowsRate(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		received int
		want     time.Duration
	}{{0, 10 * time.Second}, {80 << 10, 20 * time.Second}, {DefaultBodyBytes, 42 * time.Second}, {1 << 30, 10 * time.Minute}} {
		qt.New(t).Check(bodyDeadline(began, test.received).Sub(began), qt.Equals, test.want)
	}
}
