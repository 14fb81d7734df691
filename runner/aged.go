package runner

import (
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// agedRows is a set of rows that are checked, or removed, when they have been there for some time.
type agedRows struct {
	mu    sync.Mutex
	byKey map[table.Key]agedRow
}

// agedRow is a row and the start of its age.
type agedRow struct {
	table.Row
	since time.Time
}

// add adds a row; one that is known in this version keeps its age.
func (s *agedRows) add(row table.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey == nil {
		s.byKey = map[table.Key]agedRow{}
	}
	if known, ok := s.byKey[row.Key]; !ok || known.Version != row.Version {
		s.byKey[row.Key] = agedRow{row, now}
	}
}

// due returns the rows of at least the given age, which starts anew for them.
func (s *agedRows) due(age time.Duration, now time.Time) []table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []table.Row
	for key, r := range s.byKey {
		if now.Sub(r.since) >= age {
			s.byKey[key] = agedRow{r.Row, now}
			due = append(due, r.Row)
		}
	}
	return due
}

func (s *agedRows) has(key table.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byKey[key]
	return ok
}

// forget removes a row, unless it is known in another version by now.
func (s *agedRows) forget(row table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[row.Key].Version == row.Version {
		delete(s.byKey, row.Key)
	}
}
