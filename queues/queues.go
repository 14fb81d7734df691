package queues

import (
	"crypto/sha256"
	"strings"
	"sync/atomic"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Queue accepts jobs of one kind and runs them on the workers of a service.
type Queue struct {
	Name string
	// Host and Prefix select the requests for this queue by their host name and path prefix.
	Host    string
	Prefix  string
	Service string
	// Objective and Stretch set a job's target completion time: Stretch times its critical path, plus Objective.
	Objective time.Duration
	Stretch   float64
	// Priority ranks queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int
	// Advice describes calls to the advisor; nil if the queue's tasks need no tickets.
	Advice *Advice
	// Public says that requests need no key; jobs submitted without a known one belong to no team.
	Public bool
}

// Endpoint returns the host and the path prefix at which clients reach the queue. It identifies the queue's jobs for them, whatever queue
// and service the configuration names for it.
func (q *Queue) Endpoint() string { return strings.ToLower(q.Host) + q.Prefix }

// Advice describes the duration of calls to the advisor and the validity of its tickets.
type Advice struct {
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"per-worker"`
	Validity  time.Duration `json:"validity"`
}

// Cost returns the expected duration of a call about n workers.
func (a *Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Service is a group of workers that is scheduled as one.
type Service struct {
	Name string
	// EnforcesCapacity says that the workers themselves reject runs that exceed their capacity.
	EnforcesCapacity bool
	// Standby says that the service's workers stay switched off until they are moved.
	Standby    bool
	HealthPath string
}

// KeyDigest is the SHA-256 digest of a key. The keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// Team is a group of callers whose requests carry its keys, and whose jobs share a cap.
type Team struct {
	Name string
	Keys []KeyDigest
	// Weight is the team's part of what all teams want when there is too little room, and the jobs a second that it may send beyond which its
	// jobs come last.
	Weight float64
	// Cap bounds what the team may have running on the workers of all services; 0 in a dimension means no limit.
	Cap unit.Size
	// Priority ranks teams of which all send more than their part; 0 is the highest priority.
	Priority int
}

// Limits restrict the requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Teams are the teams whose keys are accepted.
	Teams []Team
	// KeysRequired says that this version or an earlier one lists teams, be it none: then only requests for public queues need no key.
	KeysRequired bool
	// DroppedTeams are the teams that an earlier configuration of this process names and this one does not, without their keys. Their caps still
	// hold for the jobs that they have submitted.
	DroppedTeams []Team
	// index is set by Store.Install.
	index *index
}

// Match returns the queue of host with the longest matching path prefix, and the rest of the path; nil if none matches.
func (c *Config) Match(host, path string) (*Queue, string) {
	host, _, _ = strings.Cut(host, ":")
	q := c.lookup().match(host, path)
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// lookup returns the index, which an installed configuration has from the start.
func (c *Config) lookup() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// CappedTeams returns the teams with a cap, also those that were dropped. Of several with one name, the first counts.
func (c *Config) CappedTeams() []*Team {
	var capped []*Team
	var seen map[string]bool
	for _, list := range [][]Team{c.Teams, c.DroppedTeams} {
		for i := range list {
			t := &list[i]
			if t.Cap == (unit.Size{}) || t.Name == "" || seen[t.Name] {
				continue
			}
			if seen == nil {
				seen = map[string]bool{}
			}
			seen[t.Name] = true
			capped = append(capped, t)
		}
	}
	return capped
}

// CapOf returns the cap of a team, also of one that was dropped; zero if it has none.
func (c *Config) CapOf(name string) unit.Size {
	for _, t := range c.CappedTeams() {
		if t.Name == name {
			return t.Cap
		}
	}
	return unit.Size{}
}

// NeedsKeys reports whether requests need a key of a team unless their queue is public.
func (c *Config) NeedsKeys() bool { return c.KeysRequired || len(c.Teams) > 0 }

// after returns the configuration with what it keeps of an older one: the need of keys, and the capped teams that it does not name.
func (c *Config) after(old *Config) *Config {
	if old == nil {
		return c
	}
	var dropped []Team
	for _, t := range old.CappedTeams() {
		if c.Team(t.Name) == nil {
			dropped = append(dropped, Team{Name: t.Name, Weight: t.Weight, Cap: t.Cap, Priority: t.Priority})
		}
	}
	next := *c
	next.DroppedTeams = dropped
	next.KeysRequired = c.KeysRequired || old.NeedsKeys()
	return &next
}

// Store holds the newest configuration that this process has received.
type Store struct {
	current atomic.Pointer[Config]
}

// Current returns the current configuration, or nil before the first Install.
func (s *Store) Current() *Config { return s.current.Load() }

// Install makes c the current configuration if it is newer, and reports whether it did. Teams that it drops keep their last caps, and keys stay
// required. The queues and teams of c must not change afterwards.
func (s *Store) Install(c *Config) bool {
	var indexed *Config
	for {
		old := s.current.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if indexed == nil {
			// A copy, since c may be in use in another store.
			installed := *c
			installed.index = newIndex(&installed)
			indexed = &installed
		}
		if s.current.CompareAndSwap(old, indexed.after(old)) {
			return true
		}
	}
}

// RequireKeys makes the current configuration and all later ones require keys.
func (s *Store) RequireKeys() {
	for {
		old := s.current.Load()
		if old == nil || old.KeysRequired {
			return
		}
		next := *old
		next.KeysRequired = true
		if s.current.CompareAndSwap(old, &next) {
			return
		}
	}
}
