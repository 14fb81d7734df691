package runner

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/table"
)

// TableShares is the table of the teams' rows; all are in one partition, so that one transaction can change several.
const (
	TableShares     = "shares"
	sharesPartition = "shares"
)

// Timing of the rows of the teams.
const (
	// sharesInterval is the interval between comparisons of the shares with what the teams want, unless a plan holds back tasks.
	sharesInterval = 100 * time.Millisecond
	// minSharesInterval is the minimum interval between two of them, and thus between two writes.
	minSharesInterval = 50 * time.Millisecond
	// patientInterval is the minimum interval between writes that no task waits for: those of smaller shares and other wants.
	patientInterval = 250 * time.Millisecond
	// maxConflictDelay limits the delay after a write that met a row which another group had changed.
	maxConflictDelay = 30 * time.Millisecond
	// turnReadInterval is the interval between reads of the rows while the group waits for its turn at a cap, shortReadInterval that while a team
	// is short of its share, and longReadInterval that while none is.
	turnReadInterval  = 100 * time.Millisecond
	shortReadInterval = 250 * time.Millisecond
	longReadInterval  = 700 * time.Millisecond
	// maxSharesInCommit limits the rows in a commit: of its 100 entries, each row takes a check and a write.
	maxSharesInCommit = 48
	// beatInterval is how often a holder writes its entry if the configuration does not name its service, and entryTTL is after how long without
	// a write an entry of such a service is removed: by then, its last holder has been without a lease for longer than the orders that it has
	// sent (13 s) and the leases that they gave (6 s) last.
	beatInterval = 10 * time.Second
	entryTTL     = 45 * time.Second
)

// shareRow is what is known of the row of a team.
type shareRow struct {
	version uint64
	shares  quota.TeamShares
	// unreadable says that the row can't be decoded; it is not changed then.
	unreadable bool
	// owned says that the entry of this group is of this holder.
	owned bool
	// limit is the part of the share within which tasks may be started.
	limit quota.Amount
	// lost is the smallest share that a write without an answer may yet give this group, while the row has the version that the write expects.
	lost *quota.Amount
	// unnamed holds the entries of groups that the configuration does not name.
	unnamed map[string]unnamedEntry
}

// unnamedEntry is an entry of a group that the configuration does not name, and since when it has not been seen to change.
type unnamedEntry struct {
	entry quota.GroupShare
	since time.Time
}

// teamShares are the rows of the teams as this runner knows them; only sharesLoop uses it.
type teamShares struct {
	rows map[string]*shareRow
	// readAt is when the rows were last read, and readAgain says that a row has changed, or may have, since.
	readAt    time.Time
	readAgain bool
	beatAt    time.Time
	// writtenAt is when rows were last written.
	writtenAt time.Time
	// beat is due with the next comparison.
	beat bool
	// conflict says that the last write met a row that another group had changed.
	conflict bool
	// callFails says that the last call to the table failed, which is logged once.
	callFails bool
}

// sharesLoop keeps the group's shares of the teams' caps. Without a team that has a cap it reads and writes nothing.
func (r *Runner) sharesLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	shares := &teamShares{rows: map[string]*shareRow{}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.sharesWake:
		case <-timer.C:
		}
		cfg := r.cfg.Queues.Current()
		if teams := cappedTeams(cfg); len(teams) > 0 {
			if err := r.updateShares(ctx, shares, cfg, teams); err != nil {
				return err
			}
			r.pauseShares(ctx, shares)
		}
		timer.Reset(sharesInterval)
	}
}

// pauseShares waits until the shares may be compared again.
func (r *Runner) pauseShares(ctx context.Context, s *teamShares) {
	if !s.conflict {
		clock.Pause(ctx, minSharesInterval)
		return
	}
	// Groups that have met each other try again at different times.
	clock.Pause(ctx, rand.N(maxConflictDelay))
	signal(r.sharesWake)
}

// cappedTeams returns the names of the teams with a cap; cfg may be nil.
func cappedTeams(cfg *queues.Config) []string {
	if cfg == nil {
		return nil
	}
	var names []string
	for _, t := range cfg.CappedTeams() {
		names = append(names, t.Name)
	}
	slices.Sort(names)
	return names
}

// updateShares reads the rows if that is due, and writes the entries that have to change.
func (r *Runner) updateShares(ctx context.Context, s *teamShares, cfg *queues.Config, teams []string) error {
	r.cell.SetTeams(cfg)
	now := time.Now()
	s.conflict = false
	if s.readDue(r.cfg.Epoch.Group, cfg, teams, now) {
		if !r.readShares(ctx, s) {
			return nil
		}
	}
	if err := r.checkShareTokens(s); err != nil {
		return err
	}
	r.inheritShares(s, cfg, teams)
	demands := r.cell.TeamDemands(now)
	named := namedServices(cfg)
	s.beat = !named[r.cfg.Epoch.Group] && now.Sub(s.beatAt) >= beatInterval
	var changes []shareChange
	urgent := false
	for _, name := range teams {
		row, demand := s.rows[name], demands[name]
		demand.NumServices = len(cfg.Services)
		if change, ok := r.nextShare(row, demand, s.beat, row.expiredEntries(named, now)); ok {
			change.team = name
			changes = append(changes, change)
			urgent = urgent || change.urgent
		}
	}
	r.applyShares(s, teams)
	if len(changes) == 0 || (!urgent && now.Sub(s.writtenAt) < patientInterval) {
		return nil
	}
	s.writtenAt = now
	for batch := range slices.Chunk(changes, maxSharesInCommit) {
		if !r.commitShares(ctx, s, batch) {
			break
		}
	}
	if s.beat && !s.readAgain && !s.conflict {
		s.beatAt = now
	}
	r.applyShares(s, teams)
	return nil
}

func namedServices(cfg *queues.Config) map[string]bool {
	named := map[string]bool{}
	for i := range cfg.Services {
		named[cfg.Services[i].Name] = true
	}
	return named
}

// readDue reports whether the rows have to be read.
func (s *teamShares) readDue(group string, cfg *queues.Config, teams []string, now time.Time) bool {
	age := now.Sub(s.readAt)
	if s.readAgain || s.readAt.IsZero() {
		return true
	}
	interval, shared := longReadInterval, len(cfg.Services) > 1
	for _, name := range teams {
		row, ok := s.rows[name]
		if !ok {
			// A team that was added; most rows of such teams do not exist yet.
			s.rows[name] = &shareRow{shares: quota.TeamShares{Groups: map[string]quota.GroupShare{}}}
			continue
		}
		own := row.shares.Groups[group]
		for i := range own.Want {
			if own.Want[i] > row.limit[i] {
				interval = min(interval, shortReadInterval)
			}
		}
		if own.Turn > 0 {
			interval = turnReadInterval
		}
		shared = shared || len(row.shares.Groups) > 1
	}
	return shared && age >= interval
}

// readShares reads the rows of all teams, and reports whether it could.
func (r *Runner) readShares(ctx context.Context, s *teamShares) bool {
	call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	defer cancel()
	sentAt := time.Now()
	rows, _, err := table.ReadAll(call, r.cfg.Store, table.Range{Table: TableShares, Partition: sharesPartition})
	if err != nil {
		r.shareCallFailed(ctx, s, err)
		// What is known of the shares still holds, but nothing is written.
		return false
	}
	s.readAt, s.readAgain, s.callFails = sentAt, false, false
	found := map[string]bool{}
	for _, stored := range rows {
		found[stored.Name] = true
		row, ok := s.rows[stored.Name]
		if !ok {
			row = &shareRow{}
			s.rows[stored.Name] = row
		}
		r.setShareRow(row, &stored)
	}
	for name, row := range s.rows {
		if !found[name] && (row.version != 0 || row.unreadable) {
			r.setShareRow(row, &table.Row{Key: shareKey(name)})
		}
	}
	return true
}

// setShareRow stores the state of a row that was read.
func (r *Runner) setShareRow(row *shareRow, stored *table.Row) {
	if row.shares.Groups != nil && row.version == stored.Version {
		return
	}
	shares, err := quota.DecodeTeamShares(stored.Value)
	if err != nil && row.unreadable {
		return
	}
	row.unreadable = err != nil
	if err != nil {
		r.log.WithError(err).WithField("team", stored.Name).Error("row of a team's shares is invalid")
		return
	}
	row.version, row.shares, row.lost = stored.Version, shares, nil
	own := shares.Groups[r.cfg.Epoch.Group]
	row.owned = row.owned && own.Token == r.cfg.Epoch.Token
}

// checkShareTokens returns *elect.LostError if a later holder has written an entry of the group.
func (r *Runner) checkShareTokens(s *teamShares) error {
	for name, row := range s.rows {
		if token := row.shares.Groups[r.cfg.Epoch.Group].Token; token > r.cfg.Epoch.Token {
			lost := &elect.LostError{Group: r.cfg.Epoch.Group}
			r.log.WithFields(logrus.Fields{"team": name, "by": token}).Warn("another runner has taken over the group's shares")
			r.cancel(lost)
			return lost
		}
	}
	return nil
}

// inheritShares tells the cell of the shares within which earlier holders may run tasks. Without an entry, an earlier version may have run
// tasks up to the cap.
func (r *Runner) inheritShares(s *teamShares, cfg *queues.Config, teams []string) {
	for _, name := range teams {
		row, ok := s.rows[name]
		if !ok {
			row = &shareRow{shares: quota.TeamShares{Groups: map[string]quota.GroupShare{}}}
			s.rows[name] = row
		}
		if row.owned {
			continue
		}
		inherited := quota.AmountOf(cfg.CapOf(name))
		if own, ok := row.shares.Groups[r.cfg.Epoch.Group]; ok {
			inherited = own.Share
		}
		r.cell.InheritShare(name, inherited)
	}
}

// shareChange is a change of the entry of this group in a team's row.
type shareChange struct {
	team    string
	version uint64
	shares  quota.TeamShares
	cap     quota.Amount
	// limit is the part of the share within which tasks may be started.
	limit quota.Amount
	// urgent says that the write should not be delayed.
	urgent bool
}

// nextShare returns the change of a row that is due.
func (r *Runner) nextShare(row *shareRow, demand quota.Demand, beat bool, expired map[string]bool) (shareChange, bool) {
	if row.unreadable {
		return shareChange{}, false
	}
	group := r.cfg.Epoch.Group
	old := row.shares.Groups[group]
	shares := row.shares
	if len(expired) > 0 {
		shares = shares.Without(expired)
	}
	next, limit := shares.Next(group, r.cfg.Epoch.Token, demand)
	if beat {
		next.Beat++
	}
	row.limit = limit
	_, otherWants := shares.Others(group)
	if row.owned && len(expired) == 0 && row.lost == nil && !demand.Matters(old, next, otherWants) {
		return shareChange{}, false
	}
	urgent := !row.owned || row.lost != nil || next.Turn != old.Turn
	for i := range limit {
		limit[i] = min(limit[i], next.Share[i])
		urgent = urgent || next.Share[i] > old.Share[i] || next.Want[i] > old.Want[i]
	}
	return shareChange{version: row.version, shares: shares.With(group, next), cap: demand.Cap, limit: limit, urgent: urgent}, true
}

// expiredEntries returns the groups that the configuration does not name, and that have had no holder for a long time.
func (row *shareRow) expiredEntries(named map[string]bool, now time.Time) map[string]bool {
	var expired map[string]bool
	for group, entry := range row.shares.Groups {
		if named[group] {
			delete(row.unnamed, group)
			continue
		}
		seen, ok := row.unnamed[group]
		if !ok || seen.entry != entry {
			if row.unnamed == nil {
				row.unnamed = map[string]unnamedEntry{}
			}
			row.unnamed[group] = unnamedEntry{entry, now}
			continue
		}
		if now.Sub(seen.since) > entryTTL {
			if expired == nil {
				expired = map[string]bool{}
			}
			expired[group] = true
		}
	}
	return expired
}

// applyShares tells the cell of the shares within which it may start tasks: what the rows grant, what is left of that under the present wants,
// and what a write without an answer may leave.
func (r *Runner) applyShares(s *teamShares, teams []string) {
	group := r.cfg.Epoch.Group
	list := make([]cell.TeamShare, 0, len(teams))
	for _, name := range teams {
		row := s.rows[name]
		if row == nil || !row.owned {
			continue
		}
		share := row.shares.Groups[group].Share
		others, _ := row.shares.Others(group)
		for i := range share {
			share[i] = min(share[i], row.limit[i])
			if row.lost != nil {
				share[i] = min(share[i], row.lost[i])
			}
		}
		list = append(list, cell.TeamShare{Team: name, Share: share, Others: others})
	}
	if r.cell.SetTeamShares(list) {
		r.wakePlan()
	}
}

func shareKey(team string) table.Key {
	return table.Key{Table: TableShares, Partition: sharesPartition, Name: team}
}

// commitShares writes entries in one transaction, and reports whether it took effect.
func (r *Runner) commitShares(ctx context.Context, s *teamShares, changes []shareChange) bool {
	var tx table.Tx
	group := r.cfg.Epoch.Group
	for i := range changes {
		c := &changes[i]
		// From now on no more is started than the row will allow.
		used := r.cell.LowerTeamShare(c.team, c.limit, time.Now())
		entry := c.shares.Groups[group]
		for n := range entry.Share {
			if c.cap[n] > 0 {
				entry.Share[n] = max(entry.Share[n], used[n])
			}
		}
		c.shares = c.shares.With(group, entry)
		raw, err := json.Marshal(c.shares)
		if err != nil {
			r.log.WithError(err).Error("shares can't be encoded")
			return false
		}
		key := shareKey(c.team)
		tx.Checks = append(tx.Checks, table.Check{Key: key, Version: c.version})
		tx.Writes = append(tx.Writes, table.Write{Key: key, Value: raw})
	}
	call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	defer cancel()
	version, err := r.cfg.Store.Commit(call, tx)
	var conflict *table.ConflictError
	var refused *table.RefusedError
	switch {
	case err == nil:
		s.callFails = false
		for i := range changes {
			c := &changes[i]
			row := s.rows[c.team]
			row.version, row.shares, row.limit, row.owned, row.lost = version, c.shares, c.limit, true, nil
		}
		return true
	case errors.As(err, &conflict):
		r.adoptConflict(s, conflict)
	case errors.As(err, &refused):
		r.shareCallFailed(ctx, s, err)
	default:
		for i := range changes {
			s.rows[changes[i].team].loseWrite(changes[i].shares.Groups[group].Share)
		}
		s.readAgain = true
		r.shareCallFailed(ctx, s, err)
	}
	return false
}

// adoptConflict adopts the rows that other groups have written. Some tables don't list their values.
func (r *Runner) adoptConflict(s *teamShares, conflict *table.ConflictError) {
	s.conflict = true
	for i := range conflict.Rows {
		stored := &conflict.Rows[i]
		row, ok := s.rows[stored.Name]
		if !ok || (stored.Value == nil && stored.Version != 0) {
			s.readAgain = true
			continue
		}
		r.setShareRow(row, stored)
	}
}

// shareCallFailed waits after a failed call to the table. The shares stay as they are.
func (r *Runner) shareCallFailed(ctx context.Context, s *teamShares, err error) {
	if ctx.Err() != nil {
		return
	}
	if !s.callFails {
		s.callFails = true
		r.log.WithError(err).Warn("shares of the teams can't be read or written")
	}
	clock.Pause(ctx, tableRetryDelay)
}

// loseWrite records that a write of a share got no answer.
func (row *shareRow) loseWrite(share quota.Amount) {
	if row.lost != nil {
		for i := range share {
			share[i] = min(share[i], row.lost[i])
		}
	}
	row.lost = &share
}
