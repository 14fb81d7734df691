package loads_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/reason"
)

var profile = loads.Profile{
	Name: "p", Seed: 3, Duration: entry.Duration(20 * time.Second),
	Streams: []loads.Stream{{
		Work: "w", Owner: "o", Rate: 50, RunTime: entry.Duration(10 * time.Millisecond), LongEvery: 100, LongFactor: 1000,
		Peak: loads.Peak{StartAfter: entry.Duration(10 * time.Second), Duration: entry.Duration(5 * time.Second), RateFactor: 10},
	}},
}

func TestArrivalsFollowTheProfileAndTheSeed(t *testing.T) {
	c := qt.New(t)
	first, second := profile.Arrivals(), profile.Arrivals()
	c.Assert(first, qt.DeepEquals, second)
	numInPeak, numLong := 0, 0
	for _, a := range first {
		if a.AtMicros >= 10e6 && a.AtMicros < 15e6 {
			numInPeak++
		}
		if a.RunTimeMicros == 10e6 {
			numLong++
		}
	}
	c.Check(numInPeak > 2200 && numInPeak < 2800, qt.IsTrue, qt.Commentf("%d in the peak", numInPeak))
	c.Check(numLong > len(first)/200 && numLong < len(first)/50, qt.IsTrue, qt.Commentf("%d of %d are long", numLong, len(first)))
}

func TestTraceRoundTrip(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(loads.WriteTrace(&b, profile.Arrivals()), qt.IsNil)
	list, err := loads.ReadTrace(&b)
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.DeepEquals, profile.Arrivals())
	var recorded bytes.Buffer
	r := loads.NewRecorder(&recorded)
	r.Record("w", "run=1ms", 5, time.Second, true)
	c.Assert(r.Flush(), qt.IsNil)
	list, err = loads.ReadTrace(&recorded)
	c.Assert(err, qt.IsNil)
	c.Check(list[0].TimeoutMillis, qt.Equals, int64(1000))
}

func TestReportCheckEnforcesExpectations(t *testing.T) {
	c := qt.New(t)
	a := loads.Arrival{Work: "w", TimeoutMillis: 100}
	results := []loads.Result{
		{Arrival: a, Answered: true, Latency: 50 * time.Millisecond},
		{Arrival: a, Answered: true, Latency: 150 * time.Millisecond},
		{Arrival: a, Outcome: reason.NotRun, Reason: reason.QueueFull},
		{Arrival: a, Outcome: reason.Unknown},
	}
	report := loads.NewReport("r", 1, results)
	c.Check(report.Check([]loads.Expectation{{Work: "w", MinAnsweredShare: 0.25, MaxUnknown: 1}}), qt.IsNil)
	c.Check(report.Check([]loads.Expectation{{Work: "w", MinAnsweredShare: 0.26, MaxUnknown: 1}}), qt.IsNotNil)
	c.Check(report.Check([]loads.Expectation{{Work: "w", MaxUnknown: 0}}), qt.IsNotNil)
	results[0].Mismatched = true
	c.Check(loads.NewReport("r", 1, results).Check(nil), qt.ErrorMatches, ".*belong to other requests")
}

func TestInvalidProfilesAreRejected(t *testing.T) {
	for _, text := range []string{"", "duration: 1s\ncolour: red", "duration: 2h", "duration: 1s\nstreams: [{work: w}]"} {
		c := qt.New(t)
		_, err := loads.ParseProfile([]byte(text))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func FuzzReadTrace(f *testing.F) {
	f.Add([]byte("# comment\n{\"at-us\":1,\"work\":\"w\"}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := loads.ReadTrace(bytes.NewReader(data))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := loads.WriteTrace(&b, list); err != nil {
			t.Fatal(err)
		}
		reread, err := loads.ReadTrace(&b)
		if err != nil || len(reread) != len(list) {
			t.Fatalf("%d arrivals became %d: %v", len(list), len(reread), err)
		}
	})
}
