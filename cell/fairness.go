package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// standing ranks work by what its team uses and sends. Work of a lower standing comes after that of a higher one of the same urgency.
type standing int

const (
	// withinPart is work of a team that uses less than its part of the scarce resources, or of no team.
	withinPart standing = iota
	// beyondPart is work of a team that uses its part of a scarce resource that the work needs.
	beyondPart
	// beyondRate is a job that its team sent beyond its weight in jobs a second.
	beyondRate
)

// Parameters of the teams' parts.
const (
	// rateBurst is for how long a team may have saved up its rate: callers send in bursts of about a second.
	rateBurst = 2 * time.Second
	// teamLogInterval is the minimum interval between log lines about one team's part, which its use may cross many times a second.
	teamLogInterval = 5 * time.Second
)

// teamDemand is what a team's work uses and waits for.
type teamDemand struct {
	weight  float64
	running unit.Size
	waiting unit.Size
}

// teamParts are the parts of the teams that have demand, in the dimensions of which there is too little for all.
type teamParts struct {
	// scarce is the capacity in the scarce dimensions, and zero in the others.
	scarce unit.Size
	parts  map[string]unit.Size
}

// divide returns the teams' parts of a capacity. A team that wants less than its weight entitles it to leaves the rest to the others, by
// their weights.
func divide(capacity unit.Size, demand map[string]teamDemand) teamParts {
	wanted := unit.Size{}
	for _, d := range demand {
		wanted = wanted.Add(d.running).Add(d.waiting)
	}
	usable := capacity.Scale(packedShare)
	result := teamParts{scarce: usable.Mask(wanted.Sub(usable)), parts: make(map[string]unit.Size, len(demand))}
	if result.scarce == (unit.Size{}) {
		return result
	}
	teams := slices.Sorted(maps.Keys(demand))
	levels := levelsOf(result.scarce, teams, demand)
	for team, d := range demand {
		part := [unit.Dimensions]int64{}
		for i, level := range levels {
			part[i] = int64(d.weight * level)
		}
		result.parts[team] = sizeOf(part)
	}
	return result
}

// levelsOf returns for each dimension which amount per weight divides it up if each team gets that, or what it wants if that is less.
func levelsOf(scarce unit.Size, teams []string, demand map[string]teamDemand) [unit.Dimensions]float64 {
	levels := [unit.Dimensions]float64{}
	for i, amount := range scarce.Values() {
		if amount <= 0 {
			continue
		}
		want := func(team string) float64 {
			d := demand[team]
			return float64(d.running.Values()[i] + d.waiting.Values()[i])
		}
		byNeed := slices.Clone(teams)
		slices.SortStableFunc(byNeed, func(a, b string) int { return cmp.Compare(want(a)/demand[a].weight, want(b)/demand[b].weight) })
		left, weights := float64(amount), 0.0
		for _, team := range byNeed {
			if want(team) > 0 {
				weights += demand[team].weight
			}
		}
		for _, team := range byNeed {
			if want(team) <= 0 {
				continue
			}
			if levels[i] = left / weights; want(team)/demand[team].weight >= levels[i] {
				break
			}
			left -= want(team)
			weights -= demand[team].weight
		}
	}
	return levels
}

// sizeOf is the inverse of unit.Size.Values.
func sizeOf(v [unit.Dimensions]int64) unit.Size {
	return unit.Size{CPUMilli: v[0], MemoryMiB: v[1], Accelerators: v[2], Slots: v[3], Connections: v[4]}
}

// reached reports whether a team that uses so much has its part of a scarce resource that work of the given size needs.
func (p *teamParts) reached(team string, used, size unit.Size) bool {
	part, ok := p.parts[team]
	if !ok {
		return false
	}
	scarce, needed, uses, parts := p.scarce.Values(), size.Values(), used.Values(), part.Values()
	for i := range scarce {
		if scarce[i] > 0 && needed[i] > 0 && uses[i] >= parts[i] {
			return true
		}
	}
	return false
}

// rateBucket is a token bucket that is filled at a team's weight in jobs a second.
type rateBucket struct {
	tokens   float64
	filledAt time.Time
}

// take reports whether a job that was accepted at a time is within the rate. Jobs should be given in the order of their acceptance; one that is
// older by more than the burst, which a scheduler may learn of when it takes the group over, isn't counted.
func (b *rateBucket) take(at time.Time, rate float64) bool {
	size := max(1, rate*rateBurst.Seconds())
	switch elapsed := at.Sub(b.filledAt); {
	case b.filledAt.IsZero():
		b.tokens, b.filledAt = size, at
	case elapsed < -rateBurst:
		return true
	case elapsed > 0:
		b.tokens, b.filledAt = min(size, b.tokens+rate*elapsed.Seconds()), at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// teamUse is what the runs of a team use.
type teamUse struct {
	// byPriority holds the use by the jobs' priority, and preemptible how many of these runs may be preempted.
	byPriority  []unit.Size
	preemptible []int
	// stopping is the part of the use that is being stopped.
	stopping unit.Size
	// reachedPart says that the team has its part of a scarce resource, as last logged.
	reachedPart bool
	loggedAt    time.Time
}

// upTo returns the use by jobs of at least the given priority. Less urgent work doesn't count: a team's own batches shouldn't delay its urgent jobs.
func (u *teamUse) upTo(priority int) unit.Size {
	used := unit.Size{}
	if u == nil {
		return used
	}
	for i := 0; i < len(u.byPriority) && i <= priority; i++ {
		used = used.Add(u.byPriority[i])
	}
	return used
}

// all returns the use by all jobs.
func (u *teamUse) all() unit.Size { return u.upTo(len(u.byPriority)) }

// fairness is the state of the division among teams.
type fairness struct {
	// enabled says that the configuration has teams.
	enabled bool
	parts   teamParts
	uses    map[string]*teamUse
	buckets map[string]*rateBucket
	// newJobs are the jobs whose teams' rates have not been charged.
	newJobs []*job
	// priorities holds the teams' priorities.
	priorities map[string]int
}

func newFairness() fairness {
	return fairness{uses: map[string]*teamUse{}, buckets: map[string]*rateBucket{}, priorities: map[string]int{}}
}

func (f *fairness) use(team string) *teamUse {
	u, ok := f.uses[team]
	if !ok {
		u = &teamUse{}
		f.uses[team] = u
	}
	return u
}

// countRun adds a run to its team's use, or removes it if n is -1.
func (f *fairness) countRun(p *placement, n int) {
	s := p.task.step
	u, priority := f.use(s.job.doc.Team), s.job.doc.Priority
	for len(u.byPriority) <= priority {
		u.byPriority, u.preemptible = append(u.byPriority, unit.Size{}), append(u.preemptible, 0)
	}
	if s.preemptible() {
		u.preemptible[priority] += n
	}
	if n > 0 {
		u.byPriority[priority] = u.byPriority[priority].Add(p.size)
		return
	}
	u.byPriority[priority] = u.byPriority[priority].Sub(p.size)
	if p.stopRequested {
		u.stopping = u.stopping.Sub(p.size)
	}
}

// countStopping records that a run is being stopped.
func (f *fairness) countStopping(p *placement) {
	u := f.use(p.task.step.job.doc.Team)
	u.stopping = u.stopping.Add(p.size)
}

// chargeRates decides which of the new jobs their teams sent beyond their rates.
func (f *fairness) chargeRates(cfg *queues.Config) {
	if len(f.newJobs) == 0 {
		return
	}
	if len(cfg.Teams) > 0 {
		slices.SortStableFunc(f.newJobs, func(a, b *job) int {
			return cmp.Or(a.doc.AcceptedAt.Compare(b.doc.AcceptedAt), cmp.Compare(a.doc.ID, b.doc.ID))
		})
		for _, j := range f.newJobs {
			team := cfg.Team(j.doc.Team)
			if team == nil || team.Weight <= 0 {
				continue
			}
			b, ok := f.buckets[team.Name]
			if !ok {
				b = &rateBucket{}
				f.buckets[team.Name] = b
			}
			j.beyondRate = !b.take(j.doc.AcceptedAt, team.Weight)
		}
	}
	f.newJobs = nil
}

// divide divides the capacity among the teams that have demand.
func (c *Cell) divide(cfg *queues.Config, now time.Time) {
	f := &c.fairness
	f.enabled = len(cfg.Teams) > 0
	if !f.enabled {
		f.parts = teamParts{}
		return
	}
	total := 0.0
	weights := make(map[string]float64, len(cfg.Teams))
	clear(f.priorities)
	for i := range cfg.Teams {
		weights[cfg.Teams[i].Name] = max(minWeight, cfg.Teams[i].Weight)
		f.priorities[cfg.Teams[i].Name] = cfg.Teams[i].Priority
		total += weights[cfg.Teams[i].Name]
	}
	demand := map[string]teamDemand{}
	demandOf := func(team string) teamDemand {
		d, ok := demand[team]
		if !ok {
			// Work on public queues, and of teams that are not in the configuration any more, counts as a team of average weight.
			if d.weight = weights[team]; d.weight == 0 {
				d.weight = total / float64(len(cfg.Teams))
			}
		}
		return d
	}
	for team, use := range f.uses {
		if running := use.all(); running != (unit.Size{}) {
			d := demandOf(team)
			d.running = running
			demand[team] = d
		}
	}
	for _, s := range c.stepsToPlace {
		if s.ready {
			d := demandOf(s.job.doc.Team)
			d.waiting = d.waiting.Add(allocationOf(s.doc).Scale(float64(s.numWaiting)))
			demand[s.job.doc.Team] = d
		}
	}
	f.parts = divide(c.candidateIndex.capacity, demand)
	c.logParts(demand, now)
}

// minWeight stands for a weight that isn't positive.
const minWeight = 0.001

// logParts logs which teams have begun or ceased to have their part.
func (c *Cell) logParts(demand map[string]teamDemand, now time.Time) {
	f := &c.fairness
	for team, use := range f.uses {
		used := use.all()
		reached := f.parts.reached(team, used, used)
		if reached == use.reachedPart || now.Sub(use.loggedAt) < teamLogInterval {
			continue
		}
		use.reachedPart, use.loggedAt = reached, now
		d := demand[team]
		fields := logrus.Fields{
			"team": team, "weight": d.weight, "uses": used.String(), "waits-for": d.waiting.String(), "part": f.parts.parts[team].String(),
		}
		if reached {
			c.log.WithFields(fields).Info("team has its part of a scarce resource: its further work comes after that of other teams")
		} else {
			c.log.WithFields(fields).Info("team is below its part again, or nothing is scarce")
		}
	}
}

// standingOf returns the standing of a step, if steps of its team that come before it will use so much.
func (c *Cell) standingOf(s *step, before unit.Size) standing {
	f := &c.fairness
	switch team := s.job.doc.Team; {
	case !f.enabled:
		return withinPart
	case s.job.beyondRate:
		return beyondRate
	case f.parts.reached(team, f.uses[team].upTo(s.job.doc.Priority).Add(before), allocationOf(s.doc)):
		return beyondPart
	default:
		return withinPart
	}
}

// setStanding sets a step's standing, if steps of its team that come before it will use so much.
func (c *Cell) setStanding(r *rankedStep, before unit.Size) {
	if r.standing = c.standingOf(r.s, before); r.standing > withinPart {
		r.teamPriority = c.fairness.priorities[r.s.job.doc.Team]
	}
}

// precedes reports whether the room that a gang waits for is kept from a step: if the step comes after the gang, or, unless it is a gang too,
// is equal.
func (c *Cell) precedes(gang, s *step, now time.Time) bool {
	first, second := c.rank(gang, now), c.rank(s, now)
	order := cmp.Or(
		cmp.Compare(first.urgency, second.urgency), cmp.Compare(first.standing, second.standing), cmp.Compare(gang.job.doc.Priority, s.job.doc.Priority),
	)
	if order == 0 && s.doc.Gang {
		order = cmp.Or(first.deadline.Compare(second.deadline), cmp.Compare(gang.id.Job, s.id.Job))
	}
	return order <= 0
}

// setStandings lowers the standings of the steps, given in their order, which don't fit into their teams' parts beside earlier ones, and
// restores the order.
func (c *Cell) setStandings(list []rankedStep) {
	if !c.fairness.enabled {
		return
	}
	before := map[string]unit.Size{}
	changed := false
	for i := range list {
		r := &list[i]
		if r.standing > withinPart {
			continue
		}
		team := r.s.job.doc.Team
		if c.setStanding(r, before[team]); r.standing > withinPart {
			changed = true
			continue
		}
		before[team] = before[team].Add(allocationOf(r.s.doc).Scale(float64(r.s.numWaiting)))
	}
	if changed {
		slices.SortFunc(list, compareRanked)
	}
}

// exceedsPart reports whether a run's team would have its part of what the run uses without the run.
func (c *Cell) exceedsPart(p *placement) bool {
	s := p.task.step
	use := c.fairness.uses[s.job.doc.Team]
	return c.fairness.enabled && use != nil &&
		c.fairness.parts.reached(s.job.doc.Team, use.upTo(s.job.doc.Priority).Sub(use.stopping).Sub(p.size), p.size)
}

// mayPreemptRun reports whether a step may preempt a run: one of lower priority, unless the run's team is within its part and the step's isn't, and one of
// the same priority if it is the other way round and the step can be in time. So much is being freed for the step already.
func (c *Cell) mayPreemptRun(s *step, p *placement, freed unit.Size, now time.Time) bool {
	other := p.task.step
	if !other.preemptible() || other.job.doc.Priority < s.job.doc.Priority {
		return false
	}
	lower := other.job.doc.Priority > s.job.doc.Priority
	if c.rank(s, now).urgency > c.rank(other, now).urgency {
		return false
	}
	if !c.fairness.enabled {
		return lower
	}
	if c.standingOf(s, freed) == withinPart {
		return lower || (other.job.doc.Team != s.job.doc.Team && c.exceedsPart(p) && c.rank(s, now).urgency == onTime)
	}
	return lower && (other.job.doc.Team == s.job.doc.Team || other.job.beyondRate || c.exceedsPart(p))
}

// mayPreemptTeams reports whether a team that has its part runs anything that a step of the same priority of another team may preempt.
func (c *Cell) mayPreemptTeams(s *step) bool {
	if !c.fairness.enabled {
		return false
	}
	priority := s.job.doc.Priority
	for team, use := range c.fairness.uses {
		if team == s.job.doc.Team || priority >= len(use.preemptible) || use.preemptible[priority] == 0 {
			continue
		}
		if used := use.upTo(priority); c.fairness.parts.reached(team, used, used) {
			return true
		}
	}
	return false
}
