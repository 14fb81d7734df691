package agent

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// deafAdvisor never answers.
type deafAdvisor struct{}

// Advise implements order.Advisor.
func (deafAdvisor) Advise(context.Context, graph.StepID, []string) ([]order.Permit, time.Duration, error) {
	return nil, 0, errors.New("no answer")
}

func newSpread(hostsPerCenter int) *spread {
	known := newHosts("a-0", "a")
	for _, center := range []string{"a", "b", "c"} {
		for i := range hostsPerCenter {
			name := fmt.Sprintf("%s-%d", center, i)
			known.known[name] = host{Name: name, DataCenter: center}
		}
	}
	known.sort()
	known.chooseSwift()
	return &spread{self: "a-0", advisor: deafAdvisor{}, hosts: known, out: map[string]int{}}
}

// Pattern: short steps whose calls would wait behind long ones of any group, or for hosts that are far or cut off.
func TestShortCallsAreMadeFromNearHostsThatLongOnesLeaveAlone(t *testing.T) {
	c := qt.New(t)
	s := newSpread(6)
	kept := map[string]bool{}
	for i := range 6 {
		name, ok := s.Reserve(10 * time.Millisecond)
		c.Assert(ok, qt.IsTrue)
		c.Assert(name[:1] == "a", qt.Equals, i < 2)
		kept[name] = true
	}
	c.Assert(kept, qt.HasLen, 6)
	long := map[string]bool{}
	for range 12 {
		name, ok := s.Reserve(time.Second)
		c.Assert(ok, qt.IsTrue)
		c.Assert(kept[name], qt.IsFalse)
		long[name] = true
	}
	c.Assert(long, qt.HasLen, 12)
	_, ok := s.Reserve(time.Second)
	c.Assert(ok, qt.IsFalse)

	// A host of another data centre leaves the same hosts alone.
	other := newHosts("c-0", "c")
	other.known = s.hosts.known
	other.sort()
	other.chooseSwift()
	c.Assert(other.swift, qt.DeepEquals, s.hosts.swift)
}

// A host from which the advisor does not answer makes no calls for a while; others do.
func TestAHostWithoutAnAnswerMakesNoCalls(t *testing.T) {
	c := qt.New(t)
	s := newSpread(2)
	name, ok := s.Reserve(10 * time.Millisecond)
	c.Assert(ok, qt.IsTrue)
	s.hosts.shun(name, time.Now())
	for range 6 {
		other, ok := s.Reserve(10 * time.Millisecond)
		c.Assert(ok, qt.IsTrue)
		c.Assert(other, qt.Not(qt.Equals), name)
	}
	s.self = "a-0"
	_, _, err := s.Advise(context.Background(), cell.Ask{Host: "a-0"})
	c.Assert(err, qt.IsNotNil)
	for _, h := range s.hosts.usable(time.Now()) {
		c.Assert(h.Name, qt.Not(qt.Equals), "a-0")
	}
}
