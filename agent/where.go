package agent

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
)

// WherePath is the path at the metrics address that explains why the tasks of a job wait, and its parameters. A request has either a job's ID, or a
// queue and the steps of a document, each in the compact form of graph.Step, with the team of its caller if that has one.
const (
	WherePath      = "/v1/where"
	WhereJobParam  = "job"
	WhereQueue     = "queue"
	WhereTeam      = "team"
	WhereStepParam = "step"
)

// Where is the answer of one host.
type Where struct {
	// Host is the host that answers.
	Host string `json:"host"`
	// Group is the group that the explanation is about, and GroupReady whether its lease is fresh enough to tell the states of jobs.
	Group       string            `json:"group,omitempty"`
	GroupReady  bool              `json:"group-ready"`
	Explanation *cell.Explanation `json:"explanation,omitempty"`
	// Holders are the hosts to be asked if there is no explanation.
	Holders []GroupHolder `json:"holders,omitempty"`
	// GroupsWithoutHolder are the groups that may have the job and that no host is known to run.
	GroupsWithoutHolder []string `json:"groups-without-holder,omitempty"`
	// Refusal is how this host would refuse the job, or one like it, if it were submitted now.
	Refusal *WhereRefusal `json:"refusal,omitempty"`
}

// GroupHolder is the host that runs a group.
type GroupHolder struct {
	Group string `json:"group"`
	Host  string `json:"host"`
	// Address is the host's metrics address.
	Address netip.AddrPort `json:"address"`
}

// WhereRefusal is the answer to a submitted job that is refused.
type WhereRefusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterSeconds is the value of the header Retry-After; 0 means that there is none.
	RetryAfterSeconds int `json:"retry-after-s,omitempty"`
}

// WhereError is the body of a refused request.
type WhereError struct {
	Error string `json:"error"`
}

// arrivedAtMetrics reports whether a request came over a connection to the metrics address. Its Host header is chosen by the client.
func (a *Agent) arrivedAtMetrics(w http.ResponseWriter) bool {
	resp, ok := w.(*nbhttp.Response)
	if !ok || resp.Parser == nil || resp.Parser.Conn == nil {
		return false
	}
	local, ok := resp.Parser.Conn.LocalAddr().(*net.TCPAddr)
	return ok && local.AddrPort().Port() == a.metricsAddress().Port()
}

func (a *Agent) serveWhere(w http.ResponseWriter, r *http.Request) {
	status, body := a.where(r)
	raw, err := json.Marshal(body)
	if err != nil {
		a.log.WithError(err).Error("encoding the explanation of a job failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(raw); err != nil {
		a.log.WithError(err).Debug("writing the explanation of a job failed")
	}
}

func (a *Agent) where(r *http.Request) (status int, body any) {
	if r.Method != http.MethodGet {
		return http.StatusMethodNotAllowed, WhereError{"only GET is served here"}
	}
	cfg := a.queues.Current()
	if cfg == nil {
		return http.StatusOK, Where{Host: a.settings.Name, Refusal: &WhereRefusal{
			http.StatusServiceUnavailable, platform.ReasonNoConfig, platform.RetryAfterSeconds(platform.NoConfigRetryAfter),
		}}
	}
	params := r.URL.Query()
	if id := params.Get(WhereJobParam); id != "" {
		return http.StatusOK, a.whereJob(r, cfg, id)
	}
	q := cfg.Queue(params.Get(WhereQueue))
	if q == nil {
		return http.StatusNotFound, WhereError{"the configuration has no such queue"}
	}
	team := params.Get(WhereTeam)
	if team != "" && cfg.Team(team) == nil {
		return http.StatusNotFound, WhereError{"the configuration has no such team"}
	}
	doc, err := documentOf(params[WhereStepParam], q, team)
	if err != nil {
		return http.StatusBadRequest, WhereError{err.Error()}
	}
	return http.StatusOK, a.whereDocument(r, cfg, doc)
}

// documentOf returns a job that is accepted now.
func documentOf(steps []string, q *queues.Queue, team string) (*graph.Job, error) {
	doc := &graph.Job{
		Queue: q.Name, Service: q.Service, AcceptedAt: time.Now(), Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch,
		Objective: q.Objective, Team: team, Advice: q.Advice,
	}
	for _, compact := range steps {
		s, err := graph.ParseStep(compact)
		if err != nil {
			return nil, err
		}
		doc.Steps = append(doc.Steps, s)
	}
	return doc, doc.Validate()
}

// whereJob explains a job that was accepted. Its ID doesn't tell its group, so that all groups are searched.
func (a *Agent) whereJob(r *http.Request, cfg *queues.Config, id string) Where {
	answer := Where{Host: a.settings.Name}
	for i := range cfg.Services {
		service := cfg.Services[i].Name
		run := a.groups.localRunner(service)
		if run == nil {
			a.addHolder(&answer, service)
			continue
		}
		if e, known := run.Cell().Explain(id, nil, cfg, time.Now()); known {
			return Where{Host: a.settings.Name, Group: service, GroupReady: run.Ready(), Explanation: &e}
		}
	}
	answer.Refusal = a.refusal(r, cfg, nil)
	return answer
}

// whereDocument explains where the tasks of a job could start that is not accepted.
func (a *Agent) whereDocument(r *http.Request, cfg *queues.Config, doc *graph.Job) Where {
	answer := Where{Host: a.settings.Name, Refusal: a.refusal(r, cfg, doc)}
	run := a.groups.localRunner(doc.Service)
	if run == nil {
		a.addHolder(&answer, doc.Service)
		return answer
	}
	e, _ := run.Cell().Explain("", doc, cfg, time.Now())
	answer.Group, answer.GroupReady, answer.Explanation = doc.Service, run.Ready(), &e
	return answer
}

func (a *Agent) addHolder(answer *Where, service string) {
	epoch, ok := a.leases.Holder(service)
	if !ok || epoch.Holder == a.settings.Name {
		answer.GroupsWithoutHolder = append(answer.GroupsWithoutHolder, service)
		return
	}
	// A lease names the address for peers; that for metrics has the next port at every host.
	address := netip.AddrPortFrom(epoch.Address.Addr(), epoch.Address.Port()+1)
	answer.Holders = append(answer.Holders, GroupHolder{service, epoch.Holder, address})
}

// refusal returns how this host would refuse a document now, or any job if doc is nil; nil if it wouldn't.
func (a *Agent) refusal(r *http.Request, cfg *queues.Config, doc *graph.Job) *WhereRefusal {
	if doc != nil {
		var gang *quota.GangCapError
		if errors.As(quota.CheckGangs(doc, cfg.CapOf(doc.Team)), &gang) {
			return &WhereRefusal{http.StatusTooManyRequests, platform.ReasonGangCap, 0}
		}
		room, release := a.groups.admit(doc)
		release()
		switch room {
		case platform.RoomNow:
		case platform.RoomLater:
			return &WhereRefusal{http.StatusServiceUnavailable, platform.ReasonMemory, platform.RetryAfterSeconds(platform.MemoryRetryAfter)}
		case platform.RoomNever:
			return &WhereRefusal{http.StatusTooManyRequests, platform.ReasonTooManyTasks, 0}
		}
	}
	if refused := a.intake.Refusal(r.Context()); refused != nil {
		return &WhereRefusal{http.StatusServiceUnavailable, refused.Reason, platform.RetryAfterSeconds(refused.RetryAfter)}
	}
	return nil
}
