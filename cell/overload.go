package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the choice which jobs are to meet their objectives.
const (
	// slackShare is the share of its slack that a job may be expected to wait: the rest is for failed runs, disruptions and wrong
	// estimates.
	slackShare = 0.6
	// packedShare is the share of the group's capacity that can be filled on average.
	packedShare = 0.85
	// priorityValue is how many times as much the work of a job counts as that of one whose priority is lower by one.
	priorityValue = 2.0
	// fixedValue is the part of an average job's value that doesn't depend on its work: callers wait for small jobs too.
	fixedValue = 0.3
	// laggingBonus is by how much the value of a job counts more whose size class lags behind: it then comes before all others of its kind.
	laggingBonus = 8
	// chosenBonus is by how much the value of a job counts more that has been chosen before, so that the choice is stable.
	chosenBonus = 1.2
)

// demand is what a job that isn't finished needs.
type demand struct {
	// standing and priority are the order in which jobs get room, apart from their deadlines.
	standing standing
	priority int
	// share is the share of the group's capacity that the job's next step needs, and work what all steps that are left need, in seconds of the
	// whole capacity.
	share float64
	work  float64
	// size is the job's work as a multiple of the mean of its kind.
	size float64
	// remaining is how long the job takes if it needn't wait, and deadline in how much time it should be completed.
	remaining time.Duration
	deadline  time.Duration
	// lagging says that jobs of this size have been in time much less often than others of the kind.
	lagging bool
	// chosen says that the job was to meet its objective by the last choice.
	chosen bool
}

// slack returns how long a job can wait.
func (d *demand) slack() time.Duration { return d.deadline - d.remaining }

// value returns what is at stake for a job, per unit of the work that it needs: the work of all jobs of a kind is worth the same but for their
// priority, and small jobs are worth more per unit.
func (d *demand) value() float64 {
	v := fixedValue/max(d.size, 0.05) + 1 - fixedValue
	v *= math.Pow(priorityValue, -float64(d.priority))
	if d.lagging {
		v *= laggingBonus
	}
	if d.chosen {
		v *= chosenBonus
	}
	return v
}

// deadlineBuckets is the number of buckets by which deadlines are told apart, each of which is deadlineRatio times as far away as the one before;
// the first one ends at firstDeadline.
const (
	deadlineBuckets = 40
	deadlineRatio   = 1.25
	firstDeadline   = 100 * time.Millisecond
)

func deadlineBucket(d time.Duration) int {
	if d <= firstDeadline {
		return 0
	}
	return min(deadlineBuckets-1, 1+int(math.Log(float64(d)/float64(firstDeadline))/math.Log(deadlineRatio)))
}

// schedule is the work of jobs that are to meet their objectives, in the order in which it is served: by standing, priority and deadline.
type schedule struct {
	classes map[precedence]int
	slots   []slot
}

// slot is the work of jobs of one standing and priority with similar deadlines.
type slot struct {
	share float64
	work  float64
	// spare is how much more work may come before that of the slot's jobs, so that all of these are in time.
	spare float64
}

// newSchedule returns an empty schedule for jobs of the given standings and priorities.
func newSchedule(classes []precedence) schedule {
	s := schedule{classes: map[precedence]int{}}
	slices.SortFunc(classes, precedence.compare)
	for _, class := range slices.Compact(classes) {
		s.classes[class] = len(s.classes)
	}
	s.slots = make([]slot, len(s.classes)*deadlineBuckets)
	for i := range s.slots {
		s.slots[i].spare = math.Inf(1)
	}
	return s
}

func (s *schedule) index(d *demand) int {
	return s.classes[precedence{d.standing, d.priority}]*deadlineBuckets + deadlineBucket(d.deadline)
}

// add adds a job that is to meet its objective.
func (s *schedule) add(d *demand) {
	i := s.index(d)
	s.slots[i].share += d.share
	s.slots[i].work += d.work
	for n := i + 1; n < len(s.slots); n++ {
		s.slots[n].spare -= d.work
	}
}

// fits reports whether a job can be in time beside those that are in the schedule, without making any of them late.
func (s *schedule) fits(d *demand) bool {
	if d.slack() < 0 {
		return false
	}
	i := s.index(d)
	share, work := 0.0, 0.0
	for n := range i + 1 {
		share += s.slots[n].share
		work += s.slots[n].work
	}
	if free := max(0, packedShare-d.share); share > free {
		// The job waits until enough of the work ahead of it is done.
		if work*(1-free/share) > slackShare*d.slack().Seconds()*packedShare {
			return false
		}
	}
	all := share
	for n := i + 1; n < len(s.slots); n++ {
		if all += s.slots[n].share; all+d.share > packedShare && s.slots[n].spare < d.work {
			return false
		}
	}
	s.slots[i].spare = min(s.slots[i].spare, max(0, d.slack().Seconds()*packedShare-work))
	return true
}

// choose returns which of the waiting jobs are to meet their objectives beside those that have started: those with most value at stake per unit of work,
// so that in an overload some are in time instead of all being a little late.
func choose(started, waiting []demand) []bool {
	classes := make([]precedence, 0, len(started)+len(waiting))
	for i := range started {
		classes = append(classes, precedence{started[i].standing, started[i].priority})
	}
	for i := range waiting {
		classes = append(classes, precedence{waiting[i].standing, waiting[i].priority})
	}
	s := newSchedule(classes)
	for i := range started {
		s.add(&started[i])
	}
	order := make([]int, len(waiting))
	values := make([]float64, len(waiting))
	for i := range waiting {
		order[i], values[i] = i, waiting[i].value()
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(waiting[a].standing, waiting[b].standing), cmp.Compare(values[b], values[a]))
	})
	chosen := make([]bool, len(waiting))
	for _, i := range order {
		if s.fits(&waiting[i]) {
			s.add(&waiting[i])
			chosen[i] = true
		}
	}
	return chosen
}
