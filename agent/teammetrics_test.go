package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Guards against metrics without the team or the group, and against metrics of resources or teams without a limit.
func TestMetricsOfTeams(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent("holder")
	r := runner.New(runner.Config{Epoch: elect.Epoch{Group: testService, Token: 1}, Log: a.log})
	a.groups.running[testService] = r
	registry := prometheus.NewRegistry()
	registry.MustRegister(newTeamCollector(a))
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Check(families, qt.HasLen, 0)

	r.Cell().SetTeams(&queues.Config{Version: 1, Teams: []queues.Team{{Name: "red", Cap: unit.Size{CPUMilli: 9000}}, {Name: "blue"}}})
	r.Cell().SetTeamShares([]cell.TeamShare{{Team: "red", Share: quota.Amount{4000}}})
	families, err = registry.Gather()
	c.Assert(err, qt.IsNil)
	found := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			labels := ""
			for _, l := range m.GetLabel() {
				labels += " " + l.GetName() + "=" + l.GetValue()
			}
			found[f.GetName()+labels] = m.GetGauge().GetValue()
		}
	}
	c.Check(found, qt.DeepEquals, map[string]float64{
		"corianderdrift_team_used group=" + testService + " resource=cpu_milli team=red":  0,
		"corianderdrift_team_share group=" + testService + " resource=cpu_milli team=red": 4000,
		"corianderdrift_team_held_tasks group=" + testService + " team=red":               0,
	})
}
