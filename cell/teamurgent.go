package cell

import (
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Parameters of a team's latency-sensitive tasks beside its other ones, within the team's cap.
const (
	// maxTeamHeadroomShare is the maximum headroom, as a share of the cap. It is below a half, so that no task of a team that uses less than half
	// of its cap is held back.
	maxTeamHeadroomShare = 0.4
	// teamPreemptInterval is the minimum interval between searches for a team's runs to preempt, each of which scans all workers. It covers the
	// time in which the runs of the last search stop.
	teamPreemptInterval = 400 * time.Millisecond
	// teamSearchInterval is the same after a search for a step whose tasks find no worker, and teamSearchRetry when that step may be the reason for a
	// search again: meanwhile it is the turn of other steps.
	teamSearchInterval = 100 * time.Millisecond
	teamSearchRetry    = time.Second
)

// count adds a run to what the team uses, or removes it if sign is negative.
func (t *team) count(p *placement, sign int64) {
	size := p.task.step.doc.Size
	if sign > 0 {
		t.used = t.used.Add(size)
	} else {
		t.used = t.used.Sub(size)
	}
	if p.task.step.job.sensitive {
		t.urgent.record(size, sign)
	}
}

// headroom returns the part of the cap that the team's other tasks leave to its latency-sensitive ones: a batch that fills the cap would
// delay these by its whole run time.
func (t *team) headroom() unit.Size {
	return t.urgent.headroom(t.cap.Size().Scale(maxTeamHeadroomShare)).Max(unit.Size{})
}

// inUseFor returns what is in use, or kept for other tasks, if a step's tasks are to start.
func (t *team) inUseFor(s *step) quota.Amount {
	used := t.inUse()
	if s.job.sensitive || s.doc.LongRunning || s.doc.Gang {
		return used
	}
	headroom := t.headroomWithin(t.share)
	for i, size := range quota.AmountOf(s.doc.Size) {
		kept := headroom[i]
		if used[i] < t.share[i]/2 {
			// A task that is larger than what the headroom leaves would never start.
			kept = min(kept, max(0, t.share[i]-used[i]-size))
		}
		used[i] += kept
	}
	return used
}

// headroomWithin returns the headroom within a share of the cap, of which it is a part at most: with a larger one, a small share would be left to the
// latency-sensitive tasks.
func (t *team) headroomWithin(share quota.Amount) quota.Amount {
	return quota.AmountOf(t.headroom().Min(share.Size().Scale(maxTeamHeadroomShare)))
}

// noteUrgent records a step whose tasks the cap of its team holds back, if runs of the team may be preempted for it and it comes before others.
func (c *Cell) noteUrgent(plan *Plan, t *team, s *step, now time.Time) {
	if !s.job.sensitive || c.preemptibleRuns[s.job.doc.Priority] == 0 {
		return
	}
	if next := latest(t.nextPreemptAt, s.nextCapSearchAt); now.Before(next) {
		plan.replanAt(next)
		return
	}
	if t.held == nil || compareRanked(c.rank(s, now), c.rank(t.held, now)) < 0 {
		t.held = s
	}
}

// preemptForTeams evicts less urgent runs of the teams whose caps hold back latency-sensitive steps.
func (c *Cell) preemptForTeams(plan *Plan, now time.Time) {
	for _, t := range c.teams {
		if t.held != nil {
			c.preemptForTeam(plan, t, t.held, now)
		}
	}
}

// preemptForTeam evicts less urgent runs of a team so that the tasks of a step which the cap holds back can start beside those for which there is room.
func (c *Cell) preemptForTeam(plan *Plan, t *team, s *step, now time.Time) {
	room := max(0, t.room(s, t.inUseFor(s)))
	n := s.numWaiting - room
	t.nextPreemptAt = now.Add(teamPreemptInterval)
	victims := c.teamVictims(t, s, now)
	placeable := min(n, c.placeableWithout(s, victims, now)-room)
	if placeable <= 0 || (s.doc.Gang && placeable < n) {
		// The tasks of the runs would take the room again, and be preempted again.
		t.nextPreemptAt, s.nextCapSearchAt = now.Add(teamSearchInterval), now.Add(teamSearchRetry)
		plan.replanAt(t.nextPreemptAt)
		return
	}
	plan.replanAt(t.nextPreemptAt)
	missing, size := t.missing(s, room+placeable), quota.AmountOf(s.doc.Size)
	for _, v := range victims {
		freed := quota.AmountOf(v.p.task.step.doc.Size)
		if !exceeds(missing, quota.Amount{}) {
			break
		}
		useful := false
		for i := range missing {
			useful = useful || (missing[i] > 0 && size[i] > 0 && freed[i] > 0)
		}
		if !useful {
			continue
		}
		c.evict(v.p, "more urgent work of its team", now)
		for i := range missing {
			missing[i] -= freed[i]
		}
	}
	c.planStops(plan, now)
}

// placeableWithout returns how many tasks of a step would fit on workers without some runs, and without those that it may preempt there.
func (c *Cell) placeableWithout(s *step, victims []victim, now time.Time) int {
	freed := map[*worker]unit.Size{}
	for _, v := range victims {
		freed[v.p.w] = freed[v.p.w].Add(v.p.size)
	}
	anyRun := c.standingOf(s, unit.Size{}) == withinPart
	size, n := allocationOf(s.doc), 0
	for _, w := range c.candidateIndex.workers {
		if !c.eligible(w, s, now) {
			continue
		}
		used := w.used.Sub(freed[w])
		if anyRun {
			used = w.used
			for _, preemptible := range w.preemptible[min(len(w.preemptible), s.job.doc.Priority+1):] {
				used = used.Sub(preemptible)
			}
		}
		n += s.fitsWithUsed(w, used, size)
	}
	return n
}

// missing returns by how much the team would exceed its cap with n more tasks of a step.
func (t *team) missing(s *step, n int) quota.Amount {
	var missing quota.Amount
	used, size := t.inUse(), quota.AmountOf(s.doc.Size)
	for i := range missing {
		if t.cap[i] > 0 && size[i] > 0 {
			missing[i] = used[i] + t.others[i] + int64(n)*size[i] - t.cap[i]
		}
	}
	return missing
}

// exceeds reports whether an amount is larger than another in any dimension.
func exceeds(a, b quota.Amount) bool {
	for i := range a {
		if a[i] > b[i] {
			return true
		}
	}
	return false
}

// teamVictims returns the team's runs that may be preempted for one of its steps, the cheapest first.
func (c *Cell) teamVictims(t *team, s *step, now time.Time) []victim {
	var list []victim
	urgency := c.rank(s, now).urgency
	for _, w := range c.sortedWorkers() {
		for _, p := range w.placements {
			other := p.task.step
			if other.job.doc.Team != t.name || p.stopRequested || !other.preemptible() || other.job.doc.Priority <= s.job.doc.Priority ||
				now.Sub(p.sentAt) < minPreemptAge || urgency > c.rank(other, now).urgency {
				continue
			}
			list = append(list, victim{p, p.lostWork(now)})
		}
	}
	slices.SortFunc(list, compareVictims)
	return list
}
