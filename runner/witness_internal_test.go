package runner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
)

// Guards against a holder that goes on by the agreement of witnesses whom the next one does not ask.
func TestAgreementEndsWithItsWitnesses(t *testing.T) {
	c := qt.New(t)
	a, b := elect.Witnesses{Peers: []elect.Peer{{Host: "a"}}}, elect.Witnesses{Peers: []elect.Peer{{Host: "b"}}}
	var e extension
	e.sending(a)
	c.Assert(e.needed.Load(), qt.IsTrue)
	e.stored(a)
	e.grant(e.current(), 5)
	c.Assert(e.extended.Load(), qt.Equals, int64(5))

	asked := e.current()
	e.sending(b)
	c.Assert(e.extended.Load(), qt.Equals, noExtension)
	e.grant(asked, 6)
	c.Assert(e.extended.Load(), qt.Equals, noExtension)
	// Either record may be the stored one.
	c.Assert(e.current(), qt.HasLen, 2)
	e.grant(e.current(), 7)
	c.Assert(e.extended.Load(), qt.Equals, int64(7))
	e.sending(b)
	c.Assert(e.extended.Load(), qt.Equals, int64(7))
	e.stored(b)
	c.Assert(e.current(), qt.DeepEquals, []elect.Witnesses{b})
}

func TestChooseWitnesses(t *testing.T) {
	peers := func(names string) (list []elect.Peer) {
		for _, name := range names {
			list = append(list, elect.Peer{Host: string(name)})
		}
		return list
	}
	for _, test := range []struct{ name, present, candidates, want string }{
		{"nobody", "", "", ""},
		{"one other", "", "a", "a"},
		{"an even number", "", "ab", "a"},
		{"the nearest three", "", "abcd", "abc"},
		{"kept", "dca", "abcd", "dca"},
		{"one is lost", "abc", "acde", "acd"},
		{"two are lost and nobody is left", "abc", "c", "c"},
		{"all are lost", "abc", "", "abc"},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(chooseWitnesses(peers(test.present), peers(test.candidates)), qt.DeepEquals, peers(test.want))
		})
	}
}
