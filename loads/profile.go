package loads

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/corianderdrift/corianderdrift/entry"
)

// Profile describes a load as a set of streams, and the outcomes that are expected of it.
type Profile struct {
	Name         string         `json:"name"`
	Seed         uint64         `json:"seed"`
	Duration     entry.Duration `json:"duration"`
	Streams      []Stream       `json:"streams"`
	Expectations []Expectation  `json:"expect,omitempty"`
}

// Stream is a Poisson stream of requests for one kind of work.
type Stream struct {
	Work  string `json:"work"`
	Owner string `json:"owner"`
	// Rate is the number of requests a second.
	Rate float64 `json:"rate"`
	// RunTime is the run time of a request; with RunTimeSigma, its median.
	RunTime entry.Duration `json:"run"`
	// RunTimeSigma is the sigma of a log-normal factor by which run times vary.
	RunTimeSigma float64 `json:"spread,omitempty"`
	// LongEvery gives each request a chance of 1 in LongEvery to run LongFactor times as long.
	LongEvery  int     `json:"long-every,omitempty"`
	LongFactor float64 `json:"long-times,omitempty"`
	// LongWork is the kind of work that long requests are sent as; by default it is Work.
	LongWork string         `json:"long-work,omitempty"`
	Timeout  entry.Duration `json:"timeout,omitempty"`
	// Bytes is the size of the request body.
	Bytes int  `json:"bytes,omitempty"`
	Peak  Peak `json:"crest,omitzero"`
	// Keyed adds an idempotency key to each request.
	Keyed bool `json:"keyed,omitempty"`
	// CancelEvery makes the caller of every n-th request cancel it after a tenth of its run time.
	CancelEvery int `json:"leave-every,omitempty"`
}

// Peak multiplies a stream's rate by RateFactor for Duration, beginning StartAfter the start of the load.
type Peak struct {
	StartAfter entry.Duration `json:"at"`
	Duration   entry.Duration `json:"length"`
	RateFactor float64        `json:"times"`
}

// Expectation is a condition that the results of a run must meet.
type Expectation struct {
	Work string `json:"work"`
	// MinAnsweredShare is the minimum share of requests, from 0 to 1, that are answered before their deadline.
	MinAnsweredShare float64 `json:"answered-share,omitempty"`
	// MaxUnknown is the maximum number of requests whose outcome is unknown.
	MaxUnknown int `json:"most-unknown"`
}

// ParseProfile parses a profile from YAML or JSON and rejects unknown fields.
func ParseProfile(data []byte) (Profile, error) {
	var p Profile
	raw, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return p, fmt.Errorf("profile: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, fmt.Errorf("profile: %w", err)
	}
	return p, p.validate()
}

func (p Profile) validate() error {
	const maxDuration = time.Hour
	if p.Duration.D() <= 0 || p.Duration.D() > maxDuration {
		return &entry.FieldError{Document: "profile", Field: "duration", Problem: "must be above 0 and at most 1h"}
	}
	for i, s := range p.Streams {
		if s.Work == "" || s.Rate <= 0 || math.IsInf(s.Rate, 0) || s.RunTime <= 0 {
			field := fmt.Sprintf("streams[%d]", i)
			return &entry.FieldError{
				Document: "profile", Field: field, Problem: "work is required, and rate and run must be above 0",
			}
		}
	}
	return nil
}

// Arrival is one request of a load.
type Arrival struct {
	// AtMicros is the time from the start of the load to the arrival.
	AtMicros int64  `json:"at-us"`
	Work     string `json:"work"`
	Owner    string `json:"owner,omitempty"`
	Params   string `json:"params,omitempty"`
	// Bytes is the size of the request body.
	Bytes int `json:"bytes,omitempty"`
	// TimeoutMillis is the request's timeout; 0 means that the catalogue's timeout applies.
	TimeoutMillis int64 `json:"timeout-ms,omitempty"`
	// Keyed adds an idempotency key to the request.
	Keyed bool `json:"keyed,omitempty"`
	// RunTimeMicros is the run time that the params request; the wait is the latency minus this time.
	RunTimeMicros int64 `json:"run-us,omitempty"`
	// CancelAfterMicros is the time after which the caller cancels the request; 0 for never.
	CancelAfterMicros int64 `json:"leave-us,omitempty"`
}

// Arrivals generates the requests of a profile from its seed, in the order of their arrival.
func (p Profile) Arrivals() []Arrival {
	var arrivals []Arrival
	for i, s := range p.Streams {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		arrivals = append(arrivals, s.generateArrivals(rng, p.Duration.D())...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].AtMicros < arrivals[j].AtMicros })
	return arrivals
}

func (s Stream) generateArrivals(rng *rand.Rand, duration time.Duration) []Arrival {
	var arrivals []Arrival
	seconds := 0.0
	for n := 1; ; n++ {
		seconds += rng.ExpFloat64() / s.rateAt(seconds)
		if seconds >= duration.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, s.newArrival(rng, seconds, n))
	}
}

func (s Stream) rateAt(seconds float64) float64 {
	start, end := s.Peak.StartAfter.D().Seconds(), (s.Peak.StartAfter.D() + s.Peak.Duration.D()).Seconds()
	if s.Peak.RateFactor > 0 && seconds >= start && seconds < end {
		return s.Rate * s.Peak.RateFactor
	}
	return s.Rate
}

func (s Stream) newArrival(rng *rand.Rand, seconds float64, n int) Arrival {
	runMicros := float64(s.RunTime.D().Microseconds())
	if s.RunTimeSigma > 0 {
		runMicros *= math.Exp(s.RunTimeSigma * rng.NormFloat64())
	}
	work := s.Work
	if s.LongEvery > 0 && rng.IntN(s.LongEvery) == 0 {
		runMicros *= s.LongFactor
		if s.LongWork != "" {
			work = s.LongWork
		}
	}
	a := Arrival{
		AtMicros: int64(seconds * 1e6), Work: work, Owner: s.Owner, RunTimeMicros: int64(runMicros), Bytes: s.Bytes,
		TimeoutMillis: s.Timeout.D().Milliseconds(), Keyed: s.Keyed,
		Params: "run=" + (time.Duration(runMicros) * time.Microsecond).String(),
	}
	if s.CancelEvery > 0 && n%s.CancelEvery == 0 {
		a.CancelAfterMicros = int64(runMicros / 10)
	}
	return a
}
