package quota

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// shareSteps is the number of steps in which a cap is shared out, so that a small change of what a group wants needs no write.
const shareSteps = 16

// numLimited is the number of resources that a cap can limit.
const numLimited = 3

// Amount is an amount of the resources that a cap can limit: thousandths of a core, MiB and accelerators. In rows it is a list, which is short.
type Amount [numLimited]int64

// AmountOf returns the part of a size that a cap can limit.
func AmountOf(s unit.Size) Amount { return Amount{s.CPUMilli, s.MemoryMiB, s.Accelerators} }

// Size returns the amount as a size.
func (a Amount) Size() unit.Size {
	return unit.Size{CPUMilli: a[0], MemoryMiB: a[1], Accelerators: a[2]}
}

// GroupShare is the entry of a group in the row of a team.
type GroupShare struct {
	// Token is the fencing token of the holder that wrote the entry.
	Token uint64 `json:"token"`
	// Share is the part of the team's cap within which the group may run the team's tasks.
	Share Amount `json:"share"`
	// Want is what the group would use if the cap allowed it, at most the cap.
	Want Amount `json:"want"`
	// Turn is the place in the order of the groups that wait for a start which their regular share never allows, as it is too large; 0 if the group
	// waits for none. The other groups leave Need to the group that comes first.
	Turn uint64 `json:"turn,omitempty"`
	Need Amount `json:"need,omitzero"`
	// Beat is counted up by a holder whose group the configuration no longer names, so that other groups can tell that there is a holder.
	Beat uint64 `json:"beat,omitempty"`
}

// TeamShares is the row of a team: the shares of its cap that the groups have.
type TeamShares struct {
	Groups map[string]GroupShare `json:"groups"`
}

// DecodeTeamShares decodes a row; nil stands for a row that does not exist.
func DecodeTeamShares(raw []byte) (TeamShares, error) {
	var t TeamShares
	if raw != nil {
		if err := json.Unmarshal(raw, &t); err != nil {
			return TeamShares{}, fmt.Errorf("decode shares of a team: %w", err)
		}
	}
	if t.Groups == nil {
		t.Groups = map[string]GroupShare{}
	}
	return t, nil
}

// With returns the row with another entry of a group.
func (t TeamShares) With(group string, entry GroupShare) TeamShares {
	next := maps.Clone(t.Groups)
	next[group] = entry
	return TeamShares{next}
}

// Without returns the row without the entries of some groups.
func (t TeamShares) Without(groups map[string]bool) TeamShares {
	next := maps.Clone(t.Groups)
	maps.DeleteFunc(next, func(group string, _ GroupShare) bool { return groups[group] })
	return TeamShares{next}
}

// Others returns the sums of the shares and of the wants of all groups but one.
func (t TeamShares) Others(group string) (shares, wants Amount) {
	for name, entry := range t.Groups {
		if name == group {
			continue
		}
		for i := range shares {
			shares[i] += entry.Share[i]
			wants[i] += entry.Want[i]
		}
	}
	return shares, wants
}

// Start is a task, or a gang of several, that waits.
type Start struct {
	Size  Amount
	Count int64
}

// Demand is what a group uses and wants of a team's cap.
type Demand struct {
	// Cap is the team's cap; 0 means that a resource is not limited.
	Cap Amount
	// NumServices is the number of services in the configuration.
	NumServices int
	// Used is what is, or may be, in use.
	Used Amount
	// Want is Used and what is wanted in addition.
	Want Amount
	// Starts are the tasks or gangs that wait, the most urgent first.
	Starts []Start
}

// step returns the step in which a limited resource is shared out.
func (d *Demand) step(i int) int64 { return max(1, d.Cap[i]/shareSteps) }

// roundedWant returns what the group wants in whole steps, at most the cap.
func (d *Demand) roundedWant(i int) int64 {
	step := d.step(i)
	return min(d.Cap[i], (d.Want[i]+step-1)/step*step)
}

// Next returns the next entry of a group, and the limit within which its holder may start tasks, of which it has at most the share that is
// stored. The limit is lower than that share if another group is entitled to a part of it.
//
// The sum of the shares is at most the cap, or exceeds it by one task: beyond its regular share, a group may take what one task needs if
// what it uses and the shares of the others are below the cap.
func (t TeamShares) Next(group string, token uint64, d Demand) (next GroupShare, limit Amount) {
	old := t.Groups[group]
	others, otherWants := t.Others(group)
	next = GroupShare{Token: token, Beat: old.Beat}
	first, waits := t.firstTurn()
	giveWay := waits && first != group
	var desired Amount
	for i := range numLimited {
		if d.Cap[i] == 0 {
			continue
		}
		next.Want[i] = d.roundedWant(i)
		desired[i] = d.desiredShare(i, next.Want[i], otherWants[i])
		contended := next.Want[i]+otherWants[i] > d.Cap[i]
		share := desired[i]
		if giveWay {
			need := t.Groups[first].Need[i]
			contended = contended || need > 0
			share = min(share, part(max(0, d.Cap[i]-need), next.Want[i], otherWants[i]-t.Groups[first].Want[i]))
		}
		if share > old.Share[i] {
			share = max(old.Share[i], min(share, d.Cap[i]-others[i]))
		}
		limit[i] = share
		if !contended {
			limit[i] = max(share, old.Share[i])
		}
		next.Share[i] = max(share, d.Used[i])
	}
	for _, start := range d.Starts {
		needed, ok := d.beyond(start, others, desired)
		if ok && !giveWay {
			for i := range numLimited {
				limit[i], next.Share[i] = max(limit[i], needed[i]), max(next.Share[i], needed[i])
			}
		}
		if need, ok := d.turnNeed(start, desired); ok && next.Turn == 0 && (old.Turn > 0 || giveWay || !d.allows(start, limit)) {
			next.Turn, next.Need = old.Turn, need
			if next.Turn == 0 {
				next.Turn = t.lastTurn() + 1
			}
		}
		if ok {
			break
		}
	}
	return next, limit
}

// part returns the part of an amount that a want has beside other wants.
func part(amount, want, otherWants int64) int64 {
	if want+otherWants <= amount {
		return amount
	}
	return int64(float64(amount) * float64(want) / float64(want+otherWants))
}

// desiredShare returns the share that a group should have of a resource, whether or not that much is unallocated.
func (d *Demand) desiredShare(i int, want, otherWants int64) int64 {
	limit := d.Cap[i]
	if want+otherWants > limit {
		// In proportion to the wants; any want gives some share.
		return max(min(1, want), part(limit, want, otherWants))
	}
	n := int64(max(1, d.NumServices))
	// Groups that want nothing leave together what the others want.
	return max(want, min(limit/(2*n), (limit-otherWants)/n))
}

// beyond returns what the group needs to have for a start, if that may be taken although it may exceed the regular share.
func (d *Demand) beyond(start Start, others, desired Amount) (needed Amount, ok bool) {
	for i, size := range start.Size {
		if d.Cap[i] == 0 || size == 0 {
			continue
		}
		if d.Used[i] >= desired[i] || !mayExceed(others[i]+d.Used[i], size, start.Count, d.Cap[i]) {
			return Amount{}, false
		}
		needed[i] = d.Used[i] + start.Count*size
	}
	return needed, true
}

// allows reports whether a start is within a limit.
func (d *Demand) allows(start Start, limit Amount) bool {
	for i, size := range start.Size {
		if d.Cap[i] > 0 && size > 0 && d.Used[i]+start.Count*size > limit[i] {
			return false
		}
	}
	return true
}

// turnNeed returns what the other groups have to leave to this one for a start that is too large for its regular share, if it uses little of that:
// otherwise, tasks that it runs would take what the others leave.
func (d *Demand) turnNeed(start Start, desired Amount) (need Amount, ok bool) {
	for i, size := range start.Size {
		if d.Cap[i] == 0 || size == 0 {
			continue
		}
		if d.Used[i] > desired[i]/2 {
			return Amount{}, false
		}
		ok = ok || d.Used[i]+start.Count*size > desired[i]
		// All members but one, or less than the cap for a single task; see mayExceed.
		need[i] = min(d.Cap[i], d.Used[i]+max(1, (start.Count-1)*size))
	}
	return need, ok
}

// firstTurn returns the group that comes first of those that wait for a turn.
func (t TeamShares) firstTurn() (first string, waits bool) {
	for group, entry := range t.Groups {
		if entry.Turn == 0 {
			continue
		}
		if turn := t.Groups[first].Turn; !waits || entry.Turn < turn || (entry.Turn == turn && group < first) {
			first, waits = group, true
		}
	}
	return first, waits
}

// lastTurn returns the last turn that a group waits for.
func (t TeamShares) lastTurn() uint64 {
	last := uint64(0)
	for _, entry := range t.Groups {
		last = max(last, entry.Turn)
	}
	return last
}

// mayExceed reports whether a task may be started while an amount is in use: that is below the cap. A gang may be started if all its members
// but one fit.
func mayExceed(used, size, count, limit int64) bool {
	if count == 1 {
		return used < limit
	}
	return used+(count-1)*size <= limit
}

// Room returns how many tasks of a size may be started one after the other, or whether a gang of count members may, within a share, while
// the shares of the other groups are as given.
func Room(size, used, share, others, limit Amount, count int64, gang bool) int64 {
	room := count
	for i := range numLimited {
		if limit[i] == 0 || size[i] == 0 {
			continue
		}
		room = min(room, max(0, share[i]-used[i])/size[i])
		free := limit[i] - others[i] - used[i]
		switch {
		case gang && !mayExceed(others[i]+used[i], size[i], count, limit[i]):
			return 0
		case !gang:
			room = min(room, max(0, free+size[i]-1)/size[i])
		}
	}
	if gang && room < count {
		return 0
	}
	return room
}

// Matters reports whether an entry differs from the stored one by enough to be written.
func (d *Demand) Matters(old, next GroupShare, otherWants Amount) bool {
	if next.Token != old.Token || next.Beat != old.Beat || next.Turn != old.Turn || next.Need != old.Need {
		return true
	}
	for i := range numLimited {
		if d.Cap[i] == 0 {
			continue
		}
		step := d.step(i)
		grown, wanted := next.Share[i]-old.Share[i], abs(next.Want[i]-old.Want[i])
		switch {
		case grown >= (step+1)/2, -grown >= (step+1)/2:
			return true
		case grown > 0 && (d.Used[i] > old.Share[i] || d.anyNeeds(i, old.Share[i])):
			return true
		case wanted >= 2*step:
			return true
		case wanted > 0 && max(next.Want[i], old.Want[i])+otherWants[i] > d.Cap[i]:
			return true
		}
	}
	return false
}

// anyNeeds reports whether a start does not fit in a share of a resource.
func (d *Demand) anyNeeds(i int, share int64) bool {
	for _, start := range d.Starts {
		if start.Size[i] > 0 && d.Used[i]+start.Count*start.Size[i] > share {
			return true
		}
	}
	return false
}

func abs(n int64) int64 { return max(n, -n) }

// GangCapError says that a gang can never run within the cap of its team.
type GangCapError struct {
	Step int
	Team string
	// Resource is one of unit.Names.
	Resource string
	// Size is that of each of Count members, all of which but one exceed Cap.
	Size  int64
	Count int
	Cap   int64
}

// Error names the step and the resource.
func (e *GangCapError) Error() string {
	return fmt.Sprintf("steps[%d]: %d members of %d %s each exceed the cap %d of team %s", e.Step, e.Count, e.Size, e.Resource, e.Cap, e.Team)
}

// CheckGangs returns a *GangCapError if the job has a gang of which all members but one exceed the cap of its team.
func CheckGangs(job *graph.Job, teamCap unit.Size) error {
	limit := AmountOf(teamCap)
	for n := range job.Steps {
		s := &job.Steps[n]
		if !s.Gang || s.Count < 2 {
			continue
		}
		for i, size := range AmountOf(s.Size) {
			// A product could overflow.
			if limit[i] > 0 && size > limit[i]/int64(s.Count-1) {
				return &GangCapError{n, job.Team, unit.Names[i], size, s.Count, limit[i]}
			}
		}
	}
	return nil
}
