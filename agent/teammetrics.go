package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderdrift/corianderdrift/quota"
)

// teamCollector reports what the groups that this host runs use of the teams' caps. Only teams with a cap have these metrics.
type teamCollector struct {
	a                 *Agent
	used, share, held *prometheus.Desc
}

// limitedResources names the resources of a quota.Amount in metrics.
var limitedResources = [...]string{"cpu_milli", "memory_mib", "accelerators"}

func newTeamCollector(a *Agent) *teamCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, append([]string{"team", "group"}, labels...), nil)
	}
	return &teamCollector{
		a:     a,
		used:  desc("team_used", "What a team with a cap uses, or may be using, in a group that this host runs.", "resource"),
		share: desc("team_share", "What a team with a cap may use in a group that this host runs.", "resource"),
		held:  desc("team_held_tasks", "Waiting tasks that the cap of their team holds back in a group that this host runs."),
	}
}

// Describe implements prometheus.Collector.
func (c *teamCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.used
	ch <- c.share
	ch <- c.held
}

// Collect implements prometheus.Collector.
func (c *teamCollector) Collect(ch chan<- prometheus.Metric) {
	for _, r := range c.a.groups.runners() {
		for _, s := range r.Cell().TeamStats() {
			ch <- prometheus.MustNewConstMetric(c.held, prometheus.GaugeValue, float64(s.HeldBack), s.Team, r.Group())
			c.collect(ch, c.used, &s.Used, &s.Cap, s.Team, r.Group())
			c.collect(ch, c.share, &s.Share, &s.Cap, s.Team, r.Group())
		}
	}
}

// collect reports an amount of the resources that the cap limits.
func (c *teamCollector) collect(ch chan<- prometheus.Metric, desc *prometheus.Desc, amount, limit *quota.Amount, team, group string) {
	for i, resource := range limitedResources {
		if limit[i] > 0 {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(amount[i]), team, group, resource)
		}
	}
}
