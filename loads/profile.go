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

// Profile describes a load by its streams.
type Profile struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Duration entry.Duration `json:"duration"`
	Streams  []Stream       `json:"streams"`
	Expect   []Expect       `json:"expect,omitempty"`
}

// Stream is a Poisson stream of requests for one kind of work.
type Stream struct {
	Work  string `json:"work"`
	Owner string `json:"owner"`
	// Rate is the number of requests a second.
	Rate float64 `json:"rate"`
	// Run is the run time of a request.
	Run entry.Duration `json:"run"`
	// Spread makes run times vary by a log-normal factor with this sigma.
	Spread float64 `json:"spread,omitempty"`
	// LongEvery makes one request in so many, by chance, run LongTimes as long.
	LongEvery int     `json:"long-every,omitempty"`
	LongTimes float64 `json:"long-times,omitempty"`
	// LongWork is the work under which the long ones are sent; by default they are not told apart.
	LongWork string         `json:"long-work,omitempty"`
	Timeout  entry.Duration `json:"timeout,omitempty"`
	Bytes    int            `json:"bytes,omitempty"`
	Crest    Crest          `json:"crest,omitzero"`
	Keyed    bool           `json:"keyed,omitempty"`
	// LeaveEvery makes one caller in so many leave after a tenth of the run time.
	LeaveEvery int `json:"leave-every,omitempty"`
}

// Crest multiplies a stream's rate for a while.
type Crest struct {
	At     entry.Duration `json:"at"`
	Length entry.Duration `json:"length"`
	Times  float64        `json:"times"`
}

// Expect states an outcome that a run must have.
type Expect struct {
	Work string `json:"work"`
	// AnsweredShare is the least share of requests, from 0 to 1, that are answered before their deadline.
	AnsweredShare float64 `json:"answered-share,omitempty"`
	// MostUnknown is the largest number of requests whose outcome may be unknown.
	MostUnknown int `json:"most-unknown"`
}

// ParseProfile reads a profile strictly from YAML or JSON.
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
	return p, p.check()
}

func (p Profile) check() error {
	const longest = time.Hour
	if p.Duration.D() <= 0 || p.Duration.D() > longest {
		return &entry.FieldError{Document: "profile", Field: "duration", Problem: "must be above 0 and at most 1h"}
	}
	for i, s := range p.Streams {
		if s.Work == "" || s.Rate <= 0 || math.IsInf(s.Rate, 0) || s.Run <= 0 {
			name := fmt.Sprintf("streams[%d]", i)
			return &entry.FieldError{Document: "profile", Field: name, Problem: "needs work, and rate and run above 0"}
		}
	}
	return nil
}

// Arrival is one request of a load.
type Arrival struct {
	// AtMicros is the time of arrival after the start.
	AtMicros int64  `json:"at-us"`
	Work     string `json:"work"`
	Owner    string `json:"owner,omitempty"`
	Params   string `json:"params,omitempty"`
	Bytes    int    `json:"bytes,omitempty"`
	// TimeoutMillis is the request's deadline; 0 leaves it to the catalogue.
	TimeoutMillis int64 `json:"timeout-ms,omitempty"`
	Keyed         bool  `json:"keyed,omitempty"`
	// RunMicros is the run time that the params ask for, to tell waiting from running.
	RunMicros int64 `json:"run-us,omitempty"`
	// LeaveMicros is the time after which the caller leaves; 0 for a caller who stays.
	LeaveMicros int64 `json:"leave-us,omitempty"`
}

// Arrivals draws the requests of a profile, in the order of their arrival.
func (p Profile) Arrivals() []Arrival {
	var all []Arrival
	for i, s := range p.Streams {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, s.arrivals(rng, p.Duration.D())...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].AtMicros < all[j].AtMicros })
	return all
}

func (s Stream) arrivals(rng *rand.Rand, duration time.Duration) []Arrival {
	var list []Arrival
	at := 0.0
	for n := 1; ; n++ {
		at += rng.ExpFloat64() / s.rateAt(at)
		if at >= duration.Seconds() {
			return list
		}
		list = append(list, s.arrival(rng, at, n))
	}
}

func (s Stream) rateAt(at float64) float64 {
	from, to := s.Crest.At.D().Seconds(), (s.Crest.At.D() + s.Crest.Length.D()).Seconds()
	if s.Crest.Times > 0 && at >= from && at < to {
		return s.Rate * s.Crest.Times
	}
	return s.Rate
}

func (s Stream) arrival(rng *rand.Rand, at float64, n int) Arrival {
	run := float64(s.Run.D().Microseconds())
	if s.Spread > 0 {
		run *= math.Exp(s.Spread * rng.NormFloat64())
	}
	work := s.Work
	if s.LongEvery > 0 && rng.IntN(s.LongEvery) == 0 {
		run *= s.LongTimes
		if s.LongWork != "" {
			work = s.LongWork
		}
	}
	a := Arrival{
		AtMicros: int64(at * 1e6), Work: work, Owner: s.Owner, RunMicros: int64(run), Bytes: s.Bytes,
		TimeoutMillis: s.Timeout.D().Milliseconds(), Keyed: s.Keyed,
		Params: "run=" + (time.Duration(run) * time.Microsecond).String(),
	}
	if s.LeaveEvery > 0 && n%s.LeaveEvery == 0 {
		a.LeaveMicros = int64(run / 10)
	}
	return a
}
