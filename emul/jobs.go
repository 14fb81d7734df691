package emul

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// sample returns a random value of a distribution.
func (s Spread) sample(rng *rand.Rand) float64 {
	// The mean of a log-normal distribution is exp(mu + sigma²/2).
	v := s.Mean * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

func (s Spread) sampleCount(rng *rand.Rand) int { return max(1, int(math.Round(s.sample(rng)))) }

// job is a job with what the scheduler doesn't know.
type job struct {
	class *Class
	doc   *graph.Job
	// at is when the job is submitted.
	at time.Duration
	// runTimes holds the actual run time of each task of each step.
	runTimes [][]time.Duration
	// work is in core-seconds, and worth what the job earns if it is in time.
	work  float64
	worth float64
	// target is in how much time the job has to be completed.
	target time.Duration
	// completedAt is when the job was completed or failed; zero if it was not.
	completedAt time.Duration
	failed      bool
}

// maxWorthFactor limits the worth of a large job, as a multiple of its class's.
const maxWorthFactor = 4

// Shares of a job's worth that don't and do depend on its size.
const (
	fixedWorth = 0.3
	sizedWorth = 0.7
)

// arrivals returns the jobs of a scenario in the order of their submission.
func (s *Scenario) arrivals(rng *rand.Rand, start time.Time) []*job {
	var list []*job
	for i := range s.Classes {
		teams := s.Teams
		if len(teams) == 0 {
			teams = []Team{{Share: 1}}
		}
		for n, team := range teams {
			list = append(list, s.arrivalsOf(&s.Classes[i], team, rand.New(rand.NewPCG(s.Seed, uint64(n*len(s.Classes)+i)+1)), rng, start)...)
		}
	}
	return list
}

// arrivalsOf returns the jobs of a class that a team submits.
func (s *Scenario) arrivalsOf(c *Class, team Team, classRNG, rng *rand.Rand, start time.Time) []*job {
	var list []*job
	for at := time.Duration(0); ; {
		rate := c.Rate * team.Share
		for i := range s.Bursts {
			if s.Bursts[i].covers(c, team.Name, at) {
				rate *= s.Bursts[i].Factor
			}
		}
		at += time.Duration(classRNG.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Length {
			return list
		}
		j := c.newJob(classRNG, at, start, rng.Uint64())
		j.doc.Team = team.Name
		list = append(list, j)
	}
}

// adviceWorkers is the number of workers in a call to the advisor that counts towards a job's longest chain.
const adviceWorkers = 30

func (c *Class) newJob(rng *rand.Rand, at time.Duration, start time.Time, id uint64) *job {
	doc := &graph.Job{
		ID: fmt.Sprintf("%016x", id), Queue: c.Queue, Priority: c.Priority, MaxAttempts: max(1, c.MaxAttempts), Stretch: c.Stretch,
		Objective: c.Objective, AcceptedAt: start.Add(at),
	}
	j := &job{class: c, doc: doc, at: at}
	gang, checkpoint := rng.Float64() < c.GangShare, rng.Float64() < c.CheckpointShare
	var chain time.Duration
	for n := range c.Steps.sampleCount(rng) {
		width, seconds, cpu := c.Width.sampleCount(rng), c.Seconds.sample(rng), c.CPUMilli.sample(rng)
		size := unit.Size{CPUMilli: int64(cpu), MemoryMiB: int64(c.MemoryMiB.sample(rng))}
		if len(c.Accelerators) > 0 {
			size.Accelerators = c.Accelerators[rng.IntN(len(c.Accelerators))]
		}
		step := graph.Step{
			Count: width, Size: size, Gang: gang && width > 1, Checkpoint: checkpoint, MaxUnavailable: -1,
			Estimate: time.Duration(seconds * (1 + c.EstimateError*(2*rng.Float64()-1)) * float64(time.Second)),
		}
		if c.EstimateFactor > 0 {
			step.Estimate = time.Duration(float64(step.Estimate) * c.EstimateFactor)
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		doc.Steps = append(doc.Steps, step)
		runTimes := make([]time.Duration, width)
		longest := time.Duration(0)
		for i := range runTimes {
			runTimes[i] = time.Duration(seconds * (1 + c.Uneven*(2*rng.Float64()-1)) * float64(time.Second))
			if c.TailShare > 0 && rng.Float64() < c.TailShare {
				runTimes[i] = time.Duration(float64(runTimes[i]) * c.TailFactor)
			}
			longest = max(longest, runTimes[i])
			j.work += runTimes[i].Seconds() * cpu / 1000
		}
		j.runTimes = append(j.runTimes, runTimes)
		chain += longest
		if c.Advice != nil {
			chain += c.Advice.Cost(adviceWorkers)
		}
	}
	j.target = time.Duration(c.Stretch*float64(chain)) + c.Objective
	j.worth = c.Worth * min(maxWorthFactor, fixedWorth+sizedWorth*j.work/c.meanWork())
	return j
}
