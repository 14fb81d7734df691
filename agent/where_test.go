package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
	"github.com/corianderdrift/corianderdrift/unit"
)

// whereHolder returns a host that runs a group without workers and with one job.
func whereHolder(c *qt.C, team string) *Agent {
	c.Helper()
	a := newTestAgent("holder")
	r := runner.New(runner.Config{Epoch: elect.Epoch{Group: testService, Token: 1}, SinceBoot: clock.SinceBoot, Log: a.log})
	r.Cell().Add(&graph.Job{
		ID: teamJobID, Queue: teamQueue, Service: testService, Team: team, Steps: []graph.Step{{Count: 1}}, MaxAttempts: 1,
	}, nil, 0, time.Now())
	a.groups.running[testService] = r
	installWhere(c, a, true)
	return a
}

// installWhere gives a host a configuration, and a table that is reachable or not.
func installWhere(c *qt.C, a *Agent, reachable bool) {
	c.Helper()
	a.queues = &queues.Store{}
	a.queues.Install(&queues.Config{
		Version: 1, Services: []queues.Service{{Name: testService}}, Queues: []queues.Queue{{Name: teamQueue, Service: testService}},
		Teams: []queues.Team{{Name: "red", Cap: unit.Size{CPUMilli: 10_000}}},
	})
	store := &switchedStore{fakes.NewTable(), reachable}
	health := table.NewHealth(store)
	_, err := health.Read(c.Context(), table.Range{Table: "x"})
	c.Assert(err == nil, qt.Equals, reachable)
	a.intake = &intake.Intake{Store: store, Health: health, Log: a.log}
}

// switchedStore is a table that may be unreachable.
type switchedStore struct {
	table.Store
	reachable bool
}

// Read implements table.Store.
func (s *switchedStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if !s.reachable {
		return table.Page{}, &table.RefusedError{Op: "read"}
	}
	return s.Store.Read(ctx, r)
}

func askWhere(c *qt.C, a *Agent, method string, params url.Values) (int, Where, string) {
	c.Helper()
	recorder := httptest.NewRecorder()
	a.serveWhere(recorder, httptest.NewRequestWithContext(c.Context(), method, WherePath+"?"+params.Encode(), nil))
	var answer Where
	raw := recorder.Body.String()
	c.Assert(json.Unmarshal([]byte(raw), &answer), qt.IsNil)
	return recorder.Code, answer, raw
}

// Guards against an answer about a job by a host that doesn't run its group, and against one that shows more than what an operator needs.
func TestWhereTellsOfJobOrNamesHolder(t *testing.T) {
	c := qt.New(t)
	holder := whereHolder(c, "red")
	r := holder.groups.running[testService]
	now := time.Now()
	r.Cell().SetWorker(order.Worker{ID: "w0", Capacity: unit.Size{CPUMilli: 4000}, StartedAt: now}, now)
	r.Cell().Add(&graph.Job{
		ID: "00000000000000bb", Queue: teamQueue, Service: testService, Team: "red", Spec: "secret-spec", Steps: []graph.Step{{Count: 2}}, MaxAttempts: 1,
	}, nil, 1, now)
	status, answer, raw := askWhere(c, holder, http.MethodGet, url.Values{WhereJobParam: {"00000000000000bb"}})
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(answer.Group, qt.Equals, testService)
	c.Assert(answer.Explanation, qt.IsNotNil)
	c.Check(answer.Explanation.Steps[0].Others, qt.DeepEquals, map[cell.WorkerReason]int{cell.WorkerUnpolled: 1})
	c.Check(strings.Contains(raw, "secret-spec"), qt.IsFalse)

	other := newAgentBesideHolder(c, &peerServer{a: holder})
	installWhere(c, other, true)
	for _, params := range []url.Values{
		{WhereJobParam: {"00000000000000bb"}},
		{WhereQueue: {teamQueue}, WhereStepParam: {"count=1"}},
	} {
		status, answer, _ = askWhere(c, other, http.MethodGet, params)
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(answer.Explanation, qt.IsNil)
		c.Assert(answer.Holders, qt.HasLen, 1)
		epoch, _ := other.leases.Holder(testService)
		c.Check(answer.Holders[0], qt.Equals, GroupHolder{
			testService, "holder", netip.AddrPortFrom(epoch.Address.Addr(), epoch.Address.Port()+1),
		})
	}
}

// Guards against a document that is explained though it would be refused, and against one that is stored.
func TestWhereTellsOfDocument(t *testing.T) {
	c := qt.New(t)
	holder := whereHolder(c, "")
	fits := url.Values{WhereQueue: {teamQueue}, WhereTeam: {"red"}, WhereStepParam: {"count=2,cpu-milli=8000,gang"}}
	_, answer, _ := askWhere(c, holder, http.MethodGet, fits)
	c.Check(answer.Refusal, qt.IsNil)
	c.Assert(answer.Explanation, qt.IsNotNil)
	tooLarge := url.Values{WhereQueue: {teamQueue}, WhereTeam: {"red"}, WhereStepParam: {"count=3,cpu-milli=8000,gang"}}
	_, answer, _ = askWhere(c, holder, http.MethodGet, tooLarge)
	c.Check(answer.Refusal, qt.DeepEquals, &WhereRefusal{http.StatusTooManyRequests, "gang-exceeds-cap", 0})
	_, jobs, _ := holder.groups.running[testService].Cell().Counts()
	c.Check(jobs, qt.Equals, 1)
}

// Guards against an answer without a refusal while jobs are refused because the table is unreachable.
func TestWhereTellsOfRefusalWhileTableIsUnreachable(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent("host")
	installWhere(c, a, false)
	status, answer, _ := askWhere(c, a, http.MethodGet, url.Values{WhereJobParam: {"00000000000000cc"}})
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(answer.Refusal, qt.DeepEquals, &WhereRefusal{http.StatusServiceUnavailable, "store-away", 1})
	c.Check(answer.GroupsWithoutHolder, qt.DeepEquals, []string{testService})
	a.queues = &queues.Store{}
	_, answer, _ = askWhere(c, a, http.MethodGet, url.Values{WhereJobParam: {"00000000000000cc"}})
	c.Check(answer.Refusal, qt.DeepEquals, &WhereRefusal{http.StatusServiceUnavailable, "no-configuration", 1})
}

// Guards against malformed questions that get an answer about something else.
func TestWhereRefusesMalformedQuestions(t *testing.T) {
	c := qt.New(t)
	a := whereHolder(c, "")
	for _, test := range []struct {
		method string
		params url.Values
		status int
	}{
		{http.MethodPost, url.Values{WhereJobParam: {teamJobID}}, http.StatusMethodNotAllowed},
		{http.MethodGet, url.Values{}, http.StatusNotFound},
		{http.MethodGet, url.Values{WhereQueue: {"none"}, WhereStepParam: {"count=1"}}, http.StatusNotFound},
		{http.MethodGet, url.Values{WhereQueue: {teamQueue}, WhereTeam: {"none"}, WhereStepParam: {"count=1"}}, http.StatusNotFound},
		{http.MethodGet, url.Values{WhereQueue: {teamQueue}}, http.StatusBadRequest},
		{http.MethodGet, url.Values{WhereQueue: {teamQueue}, WhereStepParam: {"count=0"}}, http.StatusBadRequest},
		{http.MethodGet, url.Values{WhereQueue: {teamQueue}, WhereStepParam: {"count=1,after=0"}}, http.StatusBadRequest},
		{http.MethodGet, url.Values{WhereQueue: {teamQueue}, WhereStepParam: {"count=1,size=2"}}, http.StatusBadRequest},
	} {
		status, _, raw := askWhere(c, a, test.method, test.params)
		c.Check(status, qt.Equals, test.status, qt.Commentf("%s %v: %s", test.method, test.params, raw))
	}
}

// Guards against explanations for clients at the address for requests, whatever they write in the Host header.
func TestWhereIsServedAtMetricsAddressOnly(t *testing.T) {
	c := qt.New(t)
	logging.SetLevel(logging.LevelNone)
	a := whereHolder(c, "")
	ports := freePorts(c, 2)
	a.settings.IP, a.settings.FirstPort = netip.MustParseAddr("127.0.0.1"), ports[0].Port()-1
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{ports[0].String(), ports[1].String()}, IOMod: nbhttp.IOModBlocking,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !a.arrivedAtMetrics(w) {
				w.WriteHeader(http.StatusNotFound)
			}
		}),
	})
	c.Assert(engine.Start(), qt.IsNil)
	c.Cleanup(engine.Stop)
	for i, want := range []int{http.StatusOK, http.StatusNotFound} {
		req, err := http.NewRequestWithContext(c.Context(), http.MethodGet, "http://"+ports[i].String()+WherePath, nil)
		c.Assert(err, qt.IsNil)
		req.Host = a.metricsAddress().String()
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		c.Check(resp.Body.Close(), qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, want)
	}
}

// freePorts returns loopback addresses that were free just now.
func freePorts(c *qt.C, n int) []netip.AddrPort {
	c.Helper()
	var list []netip.AddrPort
	for range n {
		l, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer l.Close()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list
}
