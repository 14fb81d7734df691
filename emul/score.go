package emul

import (
	"cmp"
	"slices"
)

// accountWork adds the time that a run has used its CPU while jobs arrived.
func (p *player) accountWork(r *run) {
	if r.workingSince == 0 {
		return
	}
	from, until := r.workingSince, min(p.now, p.scenario.Length)
	if until > from {
		p.result.usedSeconds += (until - from).Seconds() * float64(r.step.Size.CPUMilli) / 1000
	}
}

// credit returns what a job has earned.
func (j *job) credit() float64 {
	if j.completedAt == 0 || j.failed {
		return 0
	}
	switch took := j.completedAt - j.at; {
	case took <= j.target:
		return j.worth
	case took <= maxLateFactor*j.target:
		return lateShare * j.worth
	default:
		return 0
	}
}

func (r *Result) score(p *player) {
	s := p.scenario
	r.Utilization = r.usedSeconds / (s.cores() * s.Length.Seconds())
	r.Windows = make([]Window, int((s.Length+WindowLength-1)/WindowLength))
	for i := range s.Classes {
		class := ClassResult{Queue: s.Classes[i].Queue}
		var jobs []*job
		for _, j := range p.arrived {
			if j.class == &s.Classes[i] {
				jobs = append(jobs, j)
			}
		}
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.work, a.work) })
		for n, j := range jobs {
			credit := j.credit()
			class.Jobs++
			class.Owed += j.worth
			class.Earned += credit
			if n < len(jobs)/10 {
				class.LargestOwed += j.worth
				class.LargestEarned += credit
			}
			if credit == j.worth {
				class.InTime++
			} else if credit > 0 {
				class.Late++
			}
			w := &r.Windows[int(j.at/WindowLength)]
			w.Owed += j.worth
			w.Earned += credit
		}
		r.Classes = append(r.Classes, class)
	}
	for _, team := range s.Teams {
		result := TeamResult{Name: team.Name}
		for _, j := range p.arrived {
			if j.doc.Team == team.Name {
				result.Owed += j.worth
				result.Earned += j.credit()
			}
		}
		r.Teams = append(r.Teams, result)
	}
	r.Bound = p.bound()
}

// bound returns the worth of the jobs that fit into the workers' CPU until the last arrival's target, those of most worth a
// core-second first.
func (p *player) bound() float64 {
	jobs := slices.Clone(p.arrived)
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.worth/b.work, a.worth/a.work) })
	room, sum := p.scenario.cores()*p.scenario.Length.Seconds(), 0.0
	for _, j := range jobs {
		if room <= 0 {
			break
		}
		share := min(1, room/j.work)
		sum += share * j.worth
		room -= j.work
	}
	return sum
}
