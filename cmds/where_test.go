package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/agent"
	"github.com/corianderdrift/corianderdrift/cell"
)

// whereHost serves an answer at the path of a host's metrics address, and keeps the last question.
func whereHost(c *qt.C, answer *agent.Where, question *url.Values) *httptest.Server {
	c.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*question = r.URL.Query()
		if r.Method != http.MethodGet || r.URL.Path != agent.WherePath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	c.Cleanup(server.Close)
	return server
}

func runWhere(c *qt.C, args ...string) (string, error) {
	c.Helper()
	flags := pflag.NewFlagSet("where", pflag.ContinueOnError)
	cmdWhere.flags(flags)
	c.Assert(flags.Parse(args), qt.IsNil)
	var out bytes.Buffer
	err := where(invocation{ctx: c.Context(), args: flags.Args(), flags: flags, out: &out})
	return out.String(), err
}

var explainedJob = agent.Where{
	Host: "holder", Group: "desk", GroupReady: true,
	Explanation: &cell.Explanation{Job: "5c0e7a21d94b36f8", Queue: "checks", State: "queued", Workers: 5, Steps: []cell.StepExplanation{
		{
			Tasks: 4, Unfinished: 4, Waiting: 4, Reason: cell.StepNoRoom, Others: map[cell.WorkerReason]int{"no-room-cpu-milli": 3, cell.WorkerLabel: 2},
			Urgency: "on-time", Standing: "within-part", Deadline: time.Unix(60, 0), WaitKnown: true, WaitMillis: 1200,
		},
		{
			Step: 1, Tasks: 1, Unfinished: 1, Waiting: 1, MayStart: true, Takes: 5, BestWorker: "w3", Urgency: "late", Standing: "beyond-part",
			Deadline: time.Unix(61, 0),
		},
	}},
}

// Guards against a question that ends at a host which doesn't run the job's group, and against columns that are mixed up.
func TestWhereAsksHolderAndPrintsText(t *testing.T) {
	c := qt.New(t)
	var atHolder, atFirst url.Values
	holder := whereHost(c, &explainedJob, &atHolder)
	first := whereHost(c, &agent.Where{
		Host: "first", Refusal: &agent.WhereRefusal{Status: 503, Reason: "store-away", RetryAfterSeconds: 2},
		Holders: []agent.GroupHolder{{
			Group: "desk", Host: "holder", Address: netip.MustParseAddrPort(strings.TrimPrefix(holder.URL, "http://")),
		}},
	}, &atFirst)
	out, err := runWhere(c, "--metrics", strings.TrimPrefix(first.URL, "http://"), "5c0e7a21d94b36f8")
	c.Assert(err, qt.IsNil)
	c.Check(atHolder, qt.DeepEquals, url.Values{"job": {"5c0e7a21d94b36f8"}})
	c.Check(atFirst, qt.DeepEquals, atHolder)
	c.Check(out, qt.Equals, `submitted now, a job would be refused: 503 store-away, Retry-After 2 s
job 5c0e7a21d94b36f8, queued: queue checks, group desk, run by holder, 5 workers
STEP  WAITING  START    WAIT        TAKE  OTHERS                       BEST  URGENCY  STANDING     DEADLINE
0.0   4/4      no-room  about 1.2s  0     label=2,no-room-cpu-milli=3  -     on-time  within-part  00:01:00.000
0.1   1/1      now      -           5     -                            w3    late     beyond-part  00:01:01.000
`)
	out, err = runWhere(c, "--metrics", first.URL, "--json", "5c0e7a21d94b36f8")
	c.Assert(err, qt.IsNil)
	var result whereResult
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Check(result.Answer.Group, qt.Equals, "desk")
	c.Check(result.Answer.Explanation.Steps, qt.HasLen, 2)
}

// Guards against needs of a document that are not passed on.
func TestWhereSendsNeedsOfDocument(t *testing.T) {
	c := qt.New(t)
	var question url.Values
	host := whereHost(c, &explainedJob, &question)
	file := filepath.Join(c.TempDir(), "job.json")
	c.Assert(os.WriteFile(file, []byte(`{"spec":"x","phases":[{"count":4,"cpu":31000,"mem_mb":64,"gpus":2,"gang":true,"estimate_ms":4500}]}`), 0o600), qt.IsNil)
	_, err := runWhere(c, "--metrics", host.URL, "--queue", "checks", "--team", "red", "--document", file)
	c.Assert(err, qt.IsNil)
	c.Check(question, qt.DeepEquals, url.Values{
		"queue": {"checks"}, "team": {"red"}, "step": {"count=4,cpu-milli=31000,memory-mib=64,accelerators=2,estimate-ms=4500,gang"},
	})
}

// Guards against a result that hides that a holder was not reached.
func TestWhereNamesHoldersThatDoNotAnswer(t *testing.T) {
	c := qt.New(t)
	var question url.Values
	gone := httptest.NewServer(http.NotFoundHandler())
	defer gone.Close()
	host := whereHost(c, &agent.Where{
		Host: "first", GroupsWithoutHolder: []string{"eyes"},
		Holders: []agent.GroupHolder{{Group: "desk", Host: "holder", Address: netip.MustParseAddrPort(strings.TrimPrefix(gone.URL, "http://"))}},
	}, &question)
	out, err := runWhere(c, "--metrics", host.URL, "5c0e7a21d94b36f8")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "group desk: its holder holder (")
	c.Check(out, qt.Contains, "group eyes: no host is known to run it\n")
	c.Check(out, qt.Contains, "no host that answered has such an unfinished job\n")
	_, err = runWhere(c, "--metrics", gone.URL, "5c0e7a21d94b36f8")
	var hostErr *whereHostError
	c.Assert(errors.As(err, &hostErr), qt.IsTrue)
	c.Check(hostErr.Status, qt.Equals, http.StatusNotFound)
}

// Guards against questions that are sent though they can't be answered: a host closes the connection of a request with a large head.
func TestWhereRejectsUsage(t *testing.T) {
	c := qt.New(t)
	many := []string{"--metrics", "127.0.0.1:1", "--queue", "checks"}
	for range 200 {
		many = append(many, "--step", "count=4,cpu-milli=31000,gang")
	}
	for _, args := range [][]string{
		{"--metrics", "127.0.0.1:1"},
		{"5c0e7a21d94b36f8"},
		{"--metrics", "127.0.0.1:1", "--queue", "checks"},
		{"--metrics", "127.0.0.1:1", "--queue", "checks", "--step", "count=1", "--document", "x"},
		{"--metrics", "127.0.0.1:1", "--queue", "checks", "--step", "big"},
		{"--metrics", "127.0.0.1:1", "--queue", "checks", "5c0e7a21d94b36f8"},
		many,
	} {
		_, err := runWhere(c, args...)
		c.Check(exitCode(err), qt.Equals, exitUsage, qt.Commentf("%v: %v", args[:min(len(args), 8)], err))
	}
}
