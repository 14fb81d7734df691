package queues

import (
	"strings"
	"sync/atomic"
	"time"
)

// Queue takes jobs of one kind and sends them to the workers of a service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Objective is added to Stretch times a job's longest chain of work to get its target.
	Objective time.Duration
	Stretch   float64
	// Priority orders queues, 0 first.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Advice tells what a call to the advisor costs, if the queue's tasks need tickets.
	Advice *Advice
}

// Advice is the cost of a call to the advisor and the life of its tickets.
type Advice struct {
	Base      time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Cost returns the time that a call about n workers takes.
func (a *Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Service is a group of workers.
type Service struct {
	Name string
	// Guards says that the workers themselves refuse what does not fit.
	Guards bool
	// Standby says that the service's workers are switched off until they are moved.
	Standby    bool
	HealthPath string
}

// Limits bound callers' requests.
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
}

// Find returns the queue with the longest prefix of path, and the rest of the path.
func (c *Config) Find(host, path string) (*Queue, string) {
	host, _, _ = strings.Cut(host, ":")
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Book holds the newest version that this process has seen.
type Book struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, or nil before the first.
func (b *Book) Current() *Config { return b.current.Load() }

// Install puts a version in force unless it is not newer.
func (b *Book) Install(c *Config) bool {
	for {
		old := b.current.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if b.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
