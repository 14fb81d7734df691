package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Timing of what a team wants.
const (
	// wantWindow is how long a peak of what a team wants counts at least: its share is not returned between two bursts of short tasks.
	wantWindow = 800 * time.Millisecond
	// unusedLimit is for how long a team may leave a part of its share unused while tasks wait: these wait for something else, so the rest of
	// the share may be of use to other groups.
	unusedLimit = 1500 * time.Millisecond
	// unusedPause is for how long it does not ask for room for starts that are too large for its regular share then.
	unusedPause = time.Second
	// heldLogDelay is how long after tasks were last held back that is logged as over.
	heldLogDelay = time.Second
)

// unlimitedRoom is the room of a step whose team has no cap.
const unlimitedRoom = math.MaxInt32

// lateRun identifies a run that has ended here, and whose start may still arrive at its worker.
type lateRun struct {
	w   *worker
	key runKey
}

// team is what the group uses of the cap of one team.
type team struct {
	name string
	cap  quota.Amount
	// used is the full size of all placements of the team's tasks.
	used unit.Size
	// urgent is the demand of the team's latency-sensitive tasks, and nextPreemptAt when runs may be preempted for them again.
	urgent        urgentDemand
	nextPreemptAt time.Time
	// held is the first of the latency-sensitive steps that the cap holds back and for which runs may be preempted now.
	held *step
	// late holds the sizes of runs that have ended here, and whose start may still be carried out.
	late map[lateRun]unit.Size
	// unknown is what runs of earlier schedulers that are not known yet may use.
	unknown quota.Amount
	// inherited is the share that was found at the take-over, within which these runs are.
	inherited quota.Amount
	// share is what may be in use here, and others the sum of the other groups' shares.
	share, others quota.Amount
	// heldTasks is the number of tasks that the last plan held back, and heldAt when a plan last did.
	heldTasks int
	heldAt    time.Time
	// heldSince is since when the log says that tasks are held back; zero if it does not.
	heldSince time.Time
	// peak and lastPeak are the largest want of the present and the last window.
	peak, lastPeak quota.Amount
	windowStart    time.Time
	// progressAt is when the use last grew beyond progressUsed, or no task waited within the share.
	progressUsed quota.Amount
	progressAt   time.Time
	// gang is the most urgent waiting gang for which less urgent tasks leave a part of the cap, as far as the team uses more than half of it.
	gang *step
	// promises hold the tasks within the share for which advice was requested.
	promises map[*step]promise
}

// promise is a part of a team's share for tasks of a step that wait for tickets.
type promise struct {
	size  unit.Size
	since time.Time
}

// Timing of promises.
const (
	// promiseTTL is how long other steps get no advice for the part of a share that a step was promised, and promiseRenewal after which time it
	// can be promised again: a step that finds no room must not keep others from it.
	promiseTTL     = time.Second
	promiseRenewal = 2 * time.Second
)

// SetTeams sets the teams that have a cap.
func (c *Cell) SetTeams(cfg *queues.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setTeams(cfg)
}

func (c *Cell) setTeams(cfg *queues.Config) {
	if cfg == c.teamsFrom {
		return
	}
	c.teamsFrom = cfg
	capped := map[string]bool{}
	for _, capTeam := range cfg.CappedTeams() {
		name, limit := capTeam.Name, quota.AmountOf(capTeam.Cap)
		capped[name] = true
		t, ok := c.teams[name]
		if !ok {
			t = c.newTeam(name)
		}
		if t.cap != limit {
			c.log.WithFields(logrus.Fields{fieldTeam: name, "cap": limit, "before": t.cap}).Info("cap of a team is in force")
		}
		t.cap = limit
	}
	for name := range c.teams {
		if !capped[name] {
			delete(c.teams, name)
			c.log.WithField(fieldTeam, name).Info("a team has no cap any more")
		}
	}
}

// newTeam adds a team, of which tasks may be running.
func (c *Cell) newTeam(name string) *team {
	t := &team{name: name, late: map[lateRun]unit.Size{}, promises: map[*step]promise{}}
	for _, w := range c.workers {
		for _, p := range w.placements {
			if p.task.step.job.doc.Team == name {
				t.count(p, 1)
			}
		}
		for key := range w.toFence {
			c.addLate(t, w, key)
		}
		for key := range w.unansweredStarts {
			c.addLate(t, w, key)
		}
	}
	c.teams[name] = t
	return t
}

// addLate counts a run whose start may still be carried out as used by a new team, if it is one of the team's and has ended here.
func (c *Cell) addLate(t *team, w *worker, key runKey) {
	j := c.jobs[key.task.Job]
	if _, placed := w.placements[key]; !placed && j != nil && j.doc.Team == t.name && key.task.Step < len(j.doc.Steps) {
		t.late[lateRun{w, key}] = j.doc.Steps[key.task.Step].Size
	}
}

// teamOf returns the team of a step's job if it has a cap, or nil.
func (c *Cell) teamOf(s *step) *team {
	if len(c.teams) == 0 || s.job.doc.Team == "" {
		return nil
	}
	return c.teams[s.job.doc.Team]
}

// countPlaced counts a placement as used by its team.
func (c *Cell) countPlaced(p *placement) {
	if t := c.teamOf(p.task.step); t != nil {
		t.count(p, 1)
		delete(t.promises, p.task.step)
	}
}

// countReleased counts a placement as ended. If a start of the run may still be carried out, its size remains in use.
func (c *Cell) countReleased(p *placement) {
	t := c.teamOf(p.task.step)
	if t == nil {
		return
	}
	t.count(p, -1)
	c.countLate(p)
}

// countLate counts a run that has ended here as used by its team if a start of it may still be carried out.
func (c *Cell) countLate(p *placement) {
	key := runKey{p.task.id, p.run}
	if t := c.teamOf(p.task.step); t != nil && p.w.mayStillStart(key) {
		t.late[lateRun{p.w, key}] = p.task.step.doc.Size
	}
}

// mayStillStart reports whether a start of a run may still be carried out by the worker or its next incarnation.
func (w *worker) mayStillStart(key runKey) bool {
	_, unfenced := w.toFence[key]
	_, unanswered := w.unansweredStarts[key]
	return unfenced || unanswered
}

// updateTeams updates what may be in use beside the placements.
func (c *Cell) updateTeams(exclusive bool, now time.Time) {
	if len(c.teams) == 0 {
		return
	}
	unreported, bounded := c.unreportedCapacity(exclusive, now)
	var adopted map[string]unit.Size
	if !bounded || unreported != (quota.Amount{}) {
		adopted = c.adoptedSizes()
	}
	for _, t := range c.teams {
		t.urgent.decay(now)
		for run := range t.late {
			if _, placed := run.w.placements[run.key]; placed || c.workers[run.w.info.ID] != run.w || !run.w.mayStillStart(run.key) {
				delete(t.late, run)
			}
		}
		known := quota.AmountOf(adopted[t.name])
		for i := range t.unknown {
			t.unknown[i] = max(0, t.inherited[i]-known[i])
			if bounded {
				t.unknown[i] = min(t.unknown[i], unreported[i])
			}
		}
		for s, p := range t.promises {
			if now.Sub(p.since) > promiseRenewal {
				delete(t.promises, s)
			}
		}
	}
}

// unreportedCapacity returns the capacity of the workers on which there may be runs of earlier schedulers that are not known here; bounded is
// false if there may be some on workers of unknown capacity.
func (c *Cell) unreportedCapacity(exclusive bool, now time.Time) (capacity quota.Amount, bounded bool) {
	if c.awaitingReports && !c.workersExpected {
		return quota.Amount{}, false
	}
	var total unit.Size
	if c.awaitingReports {
		for id := range c.expectedWorkers {
			if !c.isUnreported(id, exclusive, now) {
				continue
			}
			w, ok := c.workers[id]
			if !ok {
				return quota.Amount{}, false
			}
			total = total.Add(w.info.Capacity)
		}
	}
	for _, w := range c.workers {
		// Runs of jobs that are not known here, or were not when the runs were handed over, end soon.
		if len(w.unknownRuns) > 0 || w.hasDroppedRuns {
			total = total.Add(w.info.Capacity)
		}
	}
	return quota.AmountOf(total), true
}

// adoptedSizes returns what the known runs of earlier schedulers use, by team.
func (c *Cell) adoptedSizes() map[string]unit.Size {
	adopted := map[string]unit.Size{}
	for _, w := range c.workers {
		for _, p := range w.placements {
			if name := p.task.step.job.doc.Team; p.adopted && name != "" {
				adopted[name] = adopted[name].Add(p.task.step.doc.Size)
			}
		}
	}
	return adopted
}

// inUse returns what the team uses, or may be using, of its cap.
func (t *team) inUse() quota.Amount {
	used := t.used
	for _, size := range t.late {
		used = used.Add(size)
	}
	amount := quota.AmountOf(used)
	for i := range amount {
		amount[i] += t.unknown[i]
	}
	return amount
}

// room returns how many tasks of a step the team's share allows to start: all or none of a gang.
func (t *team) room(s *step, used quota.Amount) int {
	return int(quota.Room(quota.AmountOf(s.doc.Size), used, t.share, t.others, t.cap, int64(s.doc.Count), s.doc.Gang))
}

// teamRoom returns how many tasks of a step may start as far as the cap of its team is concerned.
func (c *Cell) teamRoom(s *step) int {
	t := c.teamOf(s)
	if t == nil {
		return unlimitedRoom
	}
	return t.roomBesideGang(s, t.inUse(), t.room(s, t.inUseFor(s)))
}

// roomBesideGang returns how many of a number of tasks of a step may start beside a more urgent gang that waits: each place that becomes free would go
// to a task that needs only one. Use beyond half of the cap is left to the gang, so that the cap is not left idle.
func (t *team) roomBesideGang(s *step, used quota.Amount, room int) int {
	g := t.gang
	if g == nil || g == s || s.doc.Gang || compareWaiting(g, s) > 0 || g.numWaiting == 0 {
		return room
	}
	size, member, others := quota.AmountOf(s.doc.Size), quota.AmountOf(g.doc.Size), int64(g.doc.Count-1)
	for i := range size {
		if t.cap[i] == 0 || size[i] == 0 || member[i] == 0 {
			continue
		}
		allowed := max(t.cap[i]/2, min(t.share[i]-member[i], t.cap[i]-t.others[i])-others*member[i])
		room = min(room, int(max(0, allowed-used[i])/size[i]))
	}
	return room
}

// noteGang records a waiting gang of which all members but one need at most half of the cap. If there has been room for it for some time, it waits for
// something else.
func (c *Cell) noteGang(t *team, s *step, room int, now time.Time) {
	for i, size := range quota.AmountOf(s.doc.Size) {
		if t.cap[i] > 0 && size > t.cap[i]/2/int64(max(1, s.doc.Count-1)) {
			return
		}
	}
	if room == 0 {
		s.capRoomSince = time.Time{}
	} else if s.capRoomSince.IsZero() {
		s.capRoomSince = now
	}
	if room > 0 && now.Sub(s.capRoomSince) > unusedLimit {
		return
	}
	if c.rank(s, now).urgency == onTime && (t.gang == nil || compareWaiting(s, t.gang) < 0) {
		t.gang = s
	}
}

// teamRoomWithout returns how many tasks of a step may start once n of its running tasks have ended.
func (c *Cell) teamRoomWithout(s *step, n int) int {
	t := c.teamOf(s)
	if t == nil {
		return unlimitedRoom
	}
	used, size := t.inUseFor(s), quota.AmountOf(s.doc.Size)
	for i := range used {
		used[i] -= int64(n) * size[i]
	}
	return t.room(s, used)
}

// adviceRoom returns for how many waiting tasks of a step, at most n, advice may be requested: tickets for tasks that may not start would be wasted.
func (c *Cell) adviceRoom(s *step, n int, now time.Time) int {
	t := c.teamOf(s)
	if t == nil || s.doc.Gang {
		return n
	}
	inUse, used := t.inUse(), t.inUseFor(s)
	for other, p := range t.promises {
		if size := quota.AmountOf(p.size); other != s && now.Sub(p.since) < promiseTTL {
			for i := range used {
				inUse[i] += size[i]
				used[i] += size[i]
			}
		}
	}
	n = min(n, t.roomBesideGang(s, inUse, t.room(s, used)))
	if n <= 0 {
		return 0
	}
	p := t.promises[s]
	p.size = times(s.doc.Size, n)
	if p.since.IsZero() {
		p.since = now
	}
	t.promises[s] = p
	return n
}

// requestAdviceInRoom requests advice about more workers for waiting tasks of a step as far as the cap of its team allows these to start; for the
// result see requestAdviceWhere.
func (c *Cell) requestAdviceInRoom(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) bool {
	if advice == nil {
		return false
	}
	if waiting = c.adviceRoom(s, waiting, now); waiting == 0 {
		return true
	}
	return c.requestAdvice(plan, s, advice, waiting, now)
}

// heldByTeam reports whether the cap of its team holds back all tasks of a step, and counts them. Such a step is left out of the plan, so that it
// costs no search for workers, no advice and no preemption.
func (c *Cell) heldByTeam(plan *Plan, s *step, now time.Time) bool {
	t := c.teamOf(s)
	if t == nil || c.awaitsReports(s) {
		return false
	}
	room := t.room(s, t.inUseFor(s))
	if s.doc.Gang {
		c.noteGang(t, s, room, now)
	}
	if held := s.numWaiting - room; held > 0 {
		c.noteUrgent(plan, t, s, now)
		plan.TeamsHeld = true
		t.heldTasks += held
		t.heldAt = now
		if t.heldSince.IsZero() {
			t.heldSince = now
			c.log.WithFields(t.logFields()).WithField(fieldJob, s.job.doc.ID).Info("the cap of a team holds back tasks")
		}
	}
	if room > 0 {
		return false
	}
	if _, dirty := c.dirty[s.job.doc.ID]; s.job.version == 0 && !dirty {
		// Its record need not be awaited when there is room.
		c.markDirty(s.job)
	}
	return true
}

// beginHeld starts to count the tasks that a plan holds back.
func (c *Cell) beginHeld(now time.Time) {
	for _, t := range c.teams {
		t.heldTasks, t.gang, t.held = 0, nil, nil
		if !t.heldSince.IsZero() && now.Sub(t.heldAt) > heldLogDelay {
			c.log.WithFields(t.logFields()).WithField("held-for", t.heldAt.Sub(t.heldSince).Round(time.Millisecond).String()).
				Info("the cap of a team holds back no tasks any more")
			t.heldSince = time.Time{}
		}
	}
}

func (t *team) logFields() logrus.Fields {
	return logrus.Fields{fieldTeam: t.name, "used": t.inUse(), "unknown": t.unknown, "share": t.share, "others": t.others, "cap": t.cap}
}

// TeamShare is what the group knows of a team's row.
type TeamShare struct {
	Team string
	// Share is what may be in use here, and Others the sum of the other groups' shares.
	Share, Others quota.Amount
}

// InheritShare sets the share that was found at the take-over, within which the runs of earlier schedulers are.
func (c *Cell) InheritShare(name string, share quota.Amount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.teams[name]; ok {
		t.inherited = share
	}
}

// SetTeamShares sets the teams' shares, and reports whether one of them has grown.
func (c *Cell) SetTeamShares(shares []TeamShare) (grown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range shares {
		t, ok := c.teams[s.Team]
		if !ok {
			continue
		}
		for i := range s.Share {
			grown = grown || s.Share[i] > t.share[i] || s.Others[i] < t.others[i]
		}
		t.share, t.others = s.Share, s.Others
	}
	return grown
}

// LowerTeamShare lowers a team's share before the lower one is written, and returns what is in use, below which no share may be written.
func (c *Cell) LowerTeamShare(name string, limit quota.Amount, now time.Time) quota.Amount {
	exclusive := c.isExclusive(c.leaseAge())
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.teams[name]
	if !ok {
		return quota.Amount{}
	}
	c.updateTeams(exclusive, now)
	for i := range limit {
		t.share[i] = min(t.share[i], limit[i])
	}
	return t.inUse()
}

// TeamDemands returns what the teams with a cap use and want, by name.
func (c *Cell) TeamDemands(now time.Time) map[string]quota.Demand {
	exclusive := c.isExclusive(c.leaseAge())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTeams(exclusive, now)
	waiting := c.waitingOfTeams()
	demands := make(map[string]quota.Demand, len(c.teams))
	for name, t := range c.teams {
		demands[name] = t.demand(waiting[name], quota.AmountOf(c.candidateIndex.free), now)
	}
	return demands
}

// teamWaiting is the work of a team that is ready and waits.
type teamWaiting struct {
	// size is the sum, and idleSize that of tasks which take CPU that others leave idle.
	size, idleSize unit.Size
	// task and gang are the steps of the most urgent waiting task and gang.
	task, gang *step
}

// waitingOfTeams returns the work that is ready and waits, by team.
func (c *Cell) waitingOfTeams() map[string]*teamWaiting {
	waiting := map[string]*teamWaiting{}
	for _, s := range c.stepsToPlace {
		t := c.teamOf(s)
		if t == nil || !s.ready || c.awaitsReports(s) {
			continue
		}
		w, ok := waiting[t.name]
		if !ok {
			w = &teamWaiting{}
			waiting[t.name] = w
		}
		sum, first := &w.size, &w.task
		if s.doc.Backfill {
			sum = &w.idleSize
		}
		if s.doc.Gang {
			first = &w.gang
		}
		*sum = sum.Add(times(s.doc.Size, s.numWaiting)).Min(maxWaiting)
		if *first == nil || compareWaiting(s, *first) < 0 {
			*first = s
		}
	}
	return waiting
}

// maxWaiting bounds sums of sizes, which callers choose, far above any cap.
var maxWaiting = unit.Size{CPUMilli: 1 << 50, MemoryMiB: 1 << 50, Accelerators: 1 << 50}

// times returns what n tasks of a size need of the resources that a cap can limit, at most maxWaiting.
func times(size unit.Size, n int) unit.Size {
	scale := func(v, limit int64) int64 {
		if n > 0 && v > limit/int64(n) {
			return limit
		}
		return v * int64(n)
	}
	return unit.Size{
		CPUMilli: scale(size.CPUMilli, maxWaiting.CPUMilli), MemoryMiB: scale(size.MemoryMiB, maxWaiting.MemoryMiB),
		Accelerators: scale(size.Accelerators, maxWaiting.Accelerators),
	}
}

func compareWaiting(a, b *step) int {
	return cmp.Or(cmp.Compare(a.job.doc.Priority, b.job.doc.Priority), a.readyAt.Compare(b.readyAt), cmp.Compare(a.id.Job, b.id.Job))
}

// demand returns what the team uses and wants while some work waits and the group has some free capacity.
func (t *team) demand(w *teamWaiting, free quota.Amount, now time.Time) quota.Demand {
	used := t.inUse()
	d := quota.Demand{Cap: t.cap, Used: used, Want: used}
	if w != nil {
		t.addWaiting(&d, w, free)
	}
	t.limitUnused(&d, now)
	if now.Sub(t.windowStart) >= wantWindow {
		t.lastPeak, t.peak, t.windowStart = t.peak, quota.Amount{}, now
	}
	var headroom quota.Amount
	if used != (quota.Amount{}) || w != nil {
		// A group that has no work of the team leaves the headroom to those that have some.
		headroom = quota.AmountOf(t.headroom())
	}
	for i := range d.Want {
		d.Want[i] += headroom[i]
		t.peak[i] = max(t.peak[i], d.Want[i])
		d.Want[i] = max(d.Want[i], t.lastPeak[i])
	}
	return d
}

// addWaiting adds what waits to a demand, as far as the group has room for it.
func (t *team) addWaiting(d *quota.Demand, w *teamWaiting, free quota.Amount) {
	var largest quota.Amount
	steps := slices.DeleteFunc([]*step{w.task, w.gang}, func(s *step) bool { return s == nil })
	slices.SortFunc(steps, compareWaiting)
	for _, s := range steps {
		start := quota.Start{Size: quota.AmountOf(s.doc.Size), Count: 1}
		if s.doc.Gang {
			start.Count = int64(s.doc.Count)
		}
		d.Starts = append(d.Starts, start)
		for i := range largest {
			largest[i] = max(largest[i], start.Size[i]*start.Count)
		}
	}
	size, idleSize := quota.AmountOf(w.size), quota.AmountOf(w.idleSize)
	for i := range size {
		// More than is free may be used by preemption, one step after the other.
		placeable := max(min(size[i], max(0, free[i])), min(size[i], largest[i]+t.cap[i]/shareSteps))
		d.Want[i] += placeable + idleSize[i]
	}
}

// shareSteps is in how many steps a team's share grows if its tasks can only be placed by preemption.
const shareSteps = 16

// limitUnused limits what a team wants if it has left a part of its share unused for some time while tasks wait.
func (t *team) limitUnused(d *quota.Demand, now time.Time) {
	grown, unused := false, len(d.Starts) > 0
	for i := range d.Used {
		grown = grown || d.Used[i] > t.progressUsed[i]
	}
	for _, start := range d.Starts {
		for i := range start.Size {
			if t.cap[i] > 0 && start.Size[i] > 0 && d.Used[i]+start.Count*start.Size[i] > t.share[i] {
				unused = false
			}
		}
	}
	if grown || !unused || t.progressAt.IsZero() {
		t.progressUsed, t.progressAt = d.Used, now
		return
	}
	if now.Sub(t.progressAt) < unusedLimit {
		return
	}
	for i := range d.Want {
		need := int64(0)
		for _, start := range d.Starts {
			need = max(need, start.Count*start.Size[i])
		}
		d.Want[i] = min(d.Want[i], max(d.Used[i], t.progressUsed[i])+need)
	}
	if now.Sub(t.progressAt) < unusedLimit+unusedPause {
		// The share that these starts need is left to others for a while.
		d.Starts = nil
	}
}

// TeamStats is what the group uses of a team's cap.
type TeamStats struct {
	Team             string
	Used, Share, Cap quota.Amount
	// HeldBack is the number of tasks that the last plan held back.
	HeldBack int
}

// TeamStats returns what the group uses of the caps, for metrics.
func (c *Cell) TeamStats() []TeamStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := make([]TeamStats, 0, len(c.teams))
	for name, t := range c.teams {
		stats = append(stats, TeamStats{name, t.inUse(), t.share, t.cap, t.heldTasks})
	}
	slices.SortFunc(stats, func(a, b TeamStats) int { return cmp.Compare(a.Team, b.Team) })
	return stats
}
