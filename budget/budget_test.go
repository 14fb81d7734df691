package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/budget"
)

func TestLimitForLargeHolderAdmitsIt(t *testing.T) {
	for _, amount := range []int64{1, 2, 3, 4, 100, 20_000} {
		limit := budget.ForLarge(amount)
		qt.Check(t, limit.Admits(0, amount), qt.IsTrue)
		qt.Check(t, (limit-4).Admits(0, amount), qt.IsFalse)
	}
}

func TestRoom(t *testing.T) {
	const limit = budget.Limit(6400)
	for _, test := range []struct {
		name      string
		used, own int64
		want      int64
	}{
		{"large holders leave a quarter", 0, 0, 4800},
		{"a large holder goes on up to its part", 4000, 4000, 800},
		{"a small holder beside large ones", 4800, 0, 100},
		{"a small holder that grows", 4800, 60, 40},
		{"a holder that isn't small any more", 4800, 100, 0},
		{"the last room", 6380, 0, 20},
		{"none left", 6400, 0, 0},
		{"more than the limit, as after a takeover", 9000, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(limit.Room(test.used, test.own), qt.Equals, test.want)
			c.Check(limit.Admits(test.used, test.want), qt.IsTrue)
			c.Check(limit.Admits(test.used, test.want+1), qt.Equals, test.own > 0 && limit.Room(test.used, 0) > test.want)
		})
	}
}
