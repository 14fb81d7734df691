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
	return &spread{self: "a-0", advisor: deafAdvisor{}, hosts: known, out: map[string]int{}}
}

// Pattern: short steps whose calls would wait for hosts that are far, or cut off; they are made from near ones, which long
// calls leave alone.
func TestShortCallsAreMadeFromNearHosts(t *testing.T) {
	c := qt.New(t)
	s := newSpread(3)
	centers := map[string]int{}
	for range 6 {
		name, ok := s.Reserve(10 * time.Millisecond)
		c.Assert(ok, qt.IsTrue)
		centers[name[:1]]++
	}
	c.Assert(centers, qt.DeepEquals, map[string]int{"a": 6})
	for range 6 {
		name, ok := s.Reserve(time.Second)
		c.Assert(ok, qt.IsTrue)
		c.Assert(name[:1], qt.Not(qt.Equals), "a")
	}
	_, ok := s.Reserve(time.Second)
	c.Assert(ok, qt.IsFalse)
}

// A host from which the advisor does not answer makes no calls for a while; others do.
func TestAHostWithoutAnAnswerMakesNoCalls(t *testing.T) {
	c := qt.New(t)
	s := newSpread(2)
	name, ok := s.Reserve(10 * time.Millisecond)
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "a-0")
	_, _, err := s.Advise(context.Background(), cell.Ask{Host: name})
	c.Assert(err, qt.IsNotNil)
	name, ok = s.Reserve(10 * time.Millisecond)
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "a-1")
}
