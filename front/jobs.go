package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
)

// JobStatus is a job as its owner sees it.
type JobStatus struct {
	ID      string                 `json:"id"`
	Owner   string                 `json:"owner"`
	Work    string                 `json:"work"`
	State   jobs.State             `json:"state"`
	Cancel  bool                   `json:"cancel,omitempty"`
	Reason  reason.Reason          `json:"reason,omitempty"`
	Detail  string                 `json:"detail,omitempty"`
	Created time.Time              `json:"created"`
	Ended   time.Time              `json:"ended,omitzero"`
	Counts  map[jobs.TaskState]int `json:"counts"`
	Tasks   []jobs.Task            `json:"tasks,omitempty"`
	// WaitsFor and WaitDetail say why tasks of an unfinished job are waiting.
	WaitsFor   reason.Reason `json:"waits-for,omitempty"`
	WaitDetail string        `json:"wait-detail,omitempty"`
}

func newJobStatus(job jobs.Job) JobStatus {
	return JobStatus{
		ID: job.ID, Owner: job.Owner, Work: job.Work, State: job.State, Cancel: job.Cancel, Reason: job.Reason,
		Detail: job.Detail, Created: job.Created, Ended: job.Ended, Counts: job.Counts(), Tasks: job.Tasks,
	}
}

const classJob = "job"

// authorizedJob reads a job and checks that the caller may access it.
func (s *Server) authorizedJob(r *http.Request) (jobs.Job, error) {
	job, _, err := s.cfg.Jobs.Get(r.Context(), r.PathValue("id"))
	if err != nil {
		return job, err
	}
	c := s.cfg.Keeper.Current()
	if c == nil {
		return job, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet")
	}
	owner, ok := c.Owner(job.Owner)
	if !ok {
		return job, reason.Refuse(reason.NotAllowed, "owner %s is not in the catalogue any more", job.Owner)
	}
	return job, checkOwnerToken(owner, r)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	job, err := s.authorizedJob(r)
	if err != nil {
		s.writeProblem(w, classJob, err)
		return
	}
	status := newJobStatus(job)
	if !job.State.Terminal() && status.Counts[jobs.TaskWaiting]+status.Counts[jobs.TaskAssigned] > 0 {
		status.WaitsFor, status.WaitDetail = s.cfg.Cluster.WaitReason(r.Context(), job.ID)
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	_, err := s.authorizedJob(r)
	if reason.Is(err, reason.NoSuchJob) {
		if err = s.cancelUnknownJob(r); err == nil {
			_, err = s.authorizedJob(r)
		}
	}
	if err != nil {
		s.writeProblem(w, classJob, err)
		return
	}
	job, err := s.cfg.Jobs.Cancel(r.Context(), r.PathValue("id"))
	if err != nil {
		s.writeProblem(w, classJob, err)
		return
	}
	s.cfg.Cluster.WakeJob(r.Context(), job.ID)
	writeJSON(w, http.StatusAccepted, newJobStatus(job))
}

// cancelUnknownJob cancels an ID without a job for the owners on whose behalf the caller may act; the result is nil if there is a job now.
func (s *Server) cancelUnknownJob(r *http.Request) error {
	c := s.cfg.Keeper.Current()
	if c == nil {
		return reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet")
	}
	caller, allowed := "", false
	for _, owner := range c.Owners() {
		if checkOwnerToken(owner, r) != nil {
			continue
		}
		allowed = true
		if owner.TokenSHA256 != "" {
			caller = owner.TokenSHA256
		}
	}
	if !allowed {
		return reason.Refuse(reason.NotAllowed, "an owner's token is needed")
	}
	return s.cfg.Jobs.CancelUnknown(r.Context(), r.PathValue("id"), caller)
}

func (s *Server) getResult(w http.ResponseWriter, r *http.Request) {
	job, err := s.authorizedJob(r)
	if err != nil {
		s.writeProblem(w, classJob, err)
		return
	}
	task, err := strconv.Atoi(r.PathValue("task"))
	if err != nil || task < 0 || task >= len(job.Tasks) {
		s.writeProblem(w, classJob, reason.Refuse(reason.BadRequest, "job %s has tasks 0 to %d", job.ID, len(job.Tasks)-1))
		return
	}
	body, err := s.cfg.Jobs.Result(r.Context(), job.ID, task)
	if err != nil {
		s.writeProblem(w, classJob, err)
		return
	}
	writeBody(w, http.StatusOK, "application/octet-stream", body)
}
