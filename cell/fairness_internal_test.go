package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/unit"
)

func cores(n int64) unit.Size { return unit.Size{CPUMilli: 1000 * n} }

// Guards against parts that leave capacity to nobody, or that count a resource of which there is enough for all.
func TestDivide(t *testing.T) {
	capacity := unit.Size{CPUMilli: 100_000, MemoryMiB: 100_000, Accelerators: 100}
	for _, test := range []struct {
		name   string
		demand map[string]teamDemand
		want   map[string]unit.Size
	}{
		{"enough for all", map[string]teamDemand{"a": {1, cores(40), cores(40)}, "b": {1, cores(1), cores(1)}}, nil},
		{"equal weights", map[string]teamDemand{"a": {1, cores(80), cores(900)}, "b": {1, unit.Size{}, cores(50)}}, map[string]unit.Size{"a": cores(42), "b": cores(42)}},
		{"by weight", map[string]teamDemand{"a": {1, cores(80), cores(900)}, "b": {3, unit.Size{}, cores(90)}}, map[string]unit.Size{"a": cores(21), "b": cores(63)}},
		{
			"a small team leaves the rest to the others, by their weights",
			map[string]teamDemand{"a": {1, cores(1), cores(4)}, "b": {1, cores(10), cores(90)}, "c": {3, cores(10), cores(900)}},
			map[string]unit.Size{"a": cores(20), "b": cores(20), "c": cores(60)},
		},
		{
			"only accelerators are scarce",
			map[string]teamDemand{"a": {1, unit.Size{CPUMilli: 50_000}, unit.Size{CPUMilli: 10_000}}, "b": {1, unit.Size{Accelerators: 60}, unit.Size{Accelerators: 50}}},
			map[string]unit.Size{"a": {Accelerators: 85}, "b": {Accelerators: 85}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := divide(capacity, test.demand)
			qt.Check(t, len(got.parts), qt.Equals, len(test.want))
			for team, part := range test.want {
				for i, v := range got.parts[team].Values() {
					qt.Check(t, v-part.Values()[i] < 1001 && part.Values()[i]-v < 1001, qt.IsTrue, qt.Commentf("%s gets %v", team, got.parts[team]))
				}
			}
		})
	}
}

// Guards against a team that counts as beyond its part for what nobody lacks.
func TestPartIsOfWhatIsScarceAndNeeded(t *testing.T) {
	parts := teamParts{scarce: unit.Size{Accelerators: 10}, parts: map[string]unit.Size{"a": {Accelerators: 5}}}
	used := unit.Size{CPUMilli: 90_000, Accelerators: 6}
	qt.Check(t, parts.reached("a", used, cores(1)), qt.IsFalse)
	qt.Check(t, parts.reached("a", used, unit.Size{CPUMilli: 1000, Accelerators: 1}), qt.IsTrue)
	qt.Check(t, parts.reached("a", used.Sub(unit.Size{Accelerators: 2}), unit.Size{Accelerators: 8}), qt.IsFalse)
}

// Guards against a rate that a team exceeds unnoticed, and against jobs that count as sent at once since a new scheduler learns of them at once.
func TestRateBucket(t *testing.T) {
	take := func(rate float64, at ...float64) (within int) {
		b := &rateBucket{}
		for _, s := range at {
			if b.take(time.Unix(100, int64(s*1e9)), rate) {
				within++
			}
		}
		return within
	}
	qt.Check(t, take(2, 0, 0.5, 1, 1.5, 2, 2.5), qt.Equals, 6)
	qt.Check(t, take(2, 0, 0, 0, 0, 0, 0, 0), qt.Equals, 4)
	qt.Check(t, take(2, 0, 0, 0, 0, 1, 1, 1, 1), qt.Equals, 6)
	qt.Check(t, take(0.1, 0, 1, 2, 3), qt.Equals, 1)
	qt.Check(t, take(1, 10, 10, 10, 1, 2, 3, 4, 5), qt.Equals, 7)
}
