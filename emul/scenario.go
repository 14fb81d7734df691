package emul

import (
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Spread is a log-normal distribution, cut at Max.
type Spread struct {
	Mean  float64
	Sigma float64
	// Max is the largest value; 0 means no limit.
	Max float64
}

// Class is a class of jobs with its own queue.
type Class struct {
	Queue    string
	Priority int
	// Rate is the number of jobs a second.
	Rate float64
	// Steps is the number of steps, each after the one before, and Width the number of tasks of a step.
	Steps Spread
	Width Spread
	// Seconds is the run time of a step's tasks, Uneven the share by which the tasks of a step differ from it, and EstimateError the
	// share by which the declared run time may be off.
	Seconds       Spread
	Uneven        float64
	EstimateError float64
	// EstimateFactor multiplies the declared run times; 0 means 1.
	EstimateFactor float64
	// TailShare is the share of the tasks that take TailFactor times as long.
	TailShare  float64
	TailFactor float64
	// CPUMilli, MemoryMiB and Accelerators, one of the list at random, are what a task requires.
	CPUMilli     Spread
	MemoryMiB    Spread
	Accelerators []int64
	// GangShare and CheckpointShare are the shares of the jobs whose tasks form gangs and write checkpoints.
	GangShare       float64
	CheckpointShare float64
	// FailShare is the share of the runs that fail.
	FailShare   float64
	MaxAttempts int
	// Stretch and Objective set the target completion time: Stretch times the longest chain of run times, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Worth is what an average job earns if it is completed in time.
	Worth float64
	// Advice describes the calls to the advisor, and AllowedShare on which share of the workers it allows a step.
	Advice       *queues.Advice
	AllowedShare float64
}

// Burst multiplies a rate for some time: that of a class, of a team, or of a team in a class.
type Burst struct {
	Queue  string
	Team   string
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Team sends a share of all jobs.
type Team struct {
	Name   string
	Weight float64
	Share  float64
}

// covers reports whether a burst applies to the jobs of a class that a team sends at a time.
func (b *Burst) covers(c *Class, team string, at time.Duration) bool {
	return (b.Queue == "" || b.Queue == c.Queue) && (b.Team == "" || b.Team == team) && at >= b.At && at < b.At+b.For
}

// Loss takes a share of the workers away for good, which is announced when it begins; what still runs at the end of Notice is stopped.
type Loss struct {
	At     time.Duration
	Notice time.Duration
	Share  float64
}

// Pause is a time in which the scheduler neither plans nor receives anything.
type Pause struct {
	At  time.Duration
	For time.Duration
}

// Scenario is a load on a group of workers.
type Scenario struct {
	Seed uint64
	// Length is how long jobs arrive, and Tail how long the scheduler goes on after that.
	Length time.Duration
	Tail   time.Duration
	// Workers have equal Capacity; they are spread over DataCenters.
	Workers     int
	Capacity    unit.Size
	DataCenters int
	// Speeds are those of the workers in turn; if there are none, all have speed 1.
	Speeds []float64
	// Losses take workers away.
	Losses []Loss
	// ShortHosts and LongHosts are the hosts that make short and long calls to the advisor, each one at a time.
	ShortHosts int
	LongHosts  int
	Classes    []Class
	// Teams send the jobs; if there are none, the jobs belong to no team.
	Teams  []Team
	Bursts []Burst
	Pauses []Pause
}

// Demand returns the CPU time that the jobs of a second need on average, as a share of what the workers have.
func (s *Scenario) Demand() float64 {
	demand := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		demand += c.Rate * c.meanWork()
	}
	return demand / s.cores()
}

// Scaled returns the scenario with all rates multiplied, so that its demand is the given share of the workers' CPU.
func (s Scenario) Scaled(demand float64) Scenario {
	factor := demand / s.Demand()
	s.Classes = append([]Class(nil), s.Classes...)
	for i := range s.Classes {
		s.Classes[i].Rate *= factor
	}
	return s
}

// meanWork returns the mean CPU time of a job, in core-seconds.
func (c *Class) meanWork() float64 {
	return max(1, c.Steps.Mean) * max(1, c.Width.Mean) * c.Seconds.Mean * c.CPUMilli.Mean / 1000
}

// cores returns the workers' CPU in cores.
func (s *Scenario) cores() float64 { return float64(s.Workers) * float64(s.Capacity.CPUMilli) / 1000 }

// paused returns when the pause ends in which t lies, or t.
func (s *Scenario) paused(t time.Duration) time.Duration {
	for _, p := range s.Pauses {
		if t >= p.At && t < p.At+p.For {
			return p.At + p.For
		}
	}
	return t
}
