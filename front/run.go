package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/route"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Headers of callers' requests and responses, and limits of their values.
const (
	headerKey     = "Idempotency-Key"
	headerTimeout = "Request-Timeout"
	headerParams  = "Work-Params"
	headerTasks   = "Work-Tasks"
	headerReplay  = "Idempotent-Replay"
	headerWorker  = "Work-Worker"
	maxTimeout    = 24 * time.Hour
	maxKeyLength  = 200
)

// callerRequest is a parsed and checked request of a caller.
type callerRequest struct {
	work             entry.Work
	owner            entry.Owner
	catalogueVersion uint64
	key              string
	params           string
	contentType      string
	body             []byte
	numTasks         int
	async            bool
	timeout          time.Duration
	deadline         time.Time
}

func (s *Server) runWork(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	s.lastArrival.Store(arrivedAt.UnixNano())
	call, err := s.parseRequest(r, arrivedAt)
	class := string(call.work.Class)
	if class == "" {
		class = "none"
	}
	if err != nil {
		s.writeProblem(w, class, err)
		return
	}
	if s.cfg.Recorder != nil {
		s.cfg.Recorder.Record(call.work.Name, call.params, len(call.body), call.timeout, call.key != "")
	}
	if call.async || call.work.Class != entry.Request {
		s.submitJob(w, r, call)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.deadline)
	defer cancel()
	answer, replayed, err := s.execute(ctx, call)
	if err != nil {
		s.writeProblem(w, class, err)
		return
	}
	s.cfg.Metrics.Answered(class)
	if replayed {
		w.Header().Set(headerReplay, "true")
	}
	if answer.Worker != "" {
		w.Header().Set(headerWorker, answer.Worker)
	}
	writeBody(w, http.StatusOK, answer.ContentType, answer.Body)
}

// parseRequest parses a caller's request and checks it against the catalogue in force.
func (s *Server) parseRequest(r *http.Request, arrivedAt time.Time) (callerRequest, error) {
	if s.refusing.Load() {
		return callerRequest{}, reason.Refuse(reason.Stopping, "this entry host is stopping")
	}
	c := s.cfg.Keeper.Current()
	if c == nil {
		return callerRequest{}, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet")
	}
	work, ok := c.Work(r.PathValue("work"))
	if !ok {
		return callerRequest{}, reason.Refuse(reason.NoSuchEntry, "the catalogue has no work %q", r.PathValue("work"))
	}
	owner, _ := c.Owner(work.Owner)
	call := callerRequest{
		work: work, owner: owner, catalogueVersion: c.Version(), key: r.Header.Get(headerKey), params: r.Header.Get(headerParams),
		contentType: r.Header.Get("Content-Type"), numTasks: work.Tasks,
		async: strings.Contains(r.Header.Get("Prefer"), "respond-async"),
	}
	if err := checkOwnerToken(owner, r); err != nil {
		return call, err
	}
	return call, call.parseHeadersAndBody(r, arrivedAt)
}

func (c *callerRequest) parseHeadersAndBody(r *http.Request, arrivedAt time.Time) error {
	var err error
	if c.timeout, err = parseTimeout(r.Header.Get(headerTimeout), c.work.Timeout.D()); err != nil {
		return err
	}
	c.deadline = arrivedAt.Add(c.timeout)
	if err := checkKey(c.key, c.work); err != nil {
		return err
	}
	if text := r.Header.Get(headerTasks); text != "" {
		c.numTasks, err = strconv.Atoi(text)
		if err != nil || c.numTasks < 1 || c.numTasks > entry.MaxTasks {
			return reason.Refuse(reason.BadRequest, "%s: %q is not between 1 and %d", headerTasks, text, entry.MaxTasks)
		}
	}
	if r.ContentLength > c.work.MaxBodyBytes {
		return errBodyTooLarge(c.work)
	}
	c.body, err = io.ReadAll(io.LimitReader(r.Body, c.work.MaxBodyBytes+1))
	if err != nil {
		return reason.Refuse(reason.BadRequest, "the body broke off: %v", err)
	}
	if int64(len(c.body)) > c.work.MaxBodyBytes {
		return errBodyTooLarge(c.work)
	}
	return nil
}

func errBodyTooLarge(work entry.Work) error {
	return reason.Refuse(reason.BodyTooLarge, "work %s takes bodies of up to %d bytes", work.Name, work.MaxBodyBytes)
}

func checkKey(key string, work entry.Work) error {
	if key == "" && !work.Repeatable && work.Class == entry.Request {
		return reason.Refuse(reason.NeedsKey, "work %s may not repeat, so its requests need the header %s", work.Name, headerKey)
	}
	if len(key) > maxKeyLength {
		return reason.Refuse(reason.BadRequest, "%s is longer than %d bytes", headerKey, maxKeyLength)
	}
	for _, c := range key {
		if c <= ' ' || c > '~' || c == '/' {
			return reason.Refuse(reason.BadRequest, "%s holds %q; allowed are visible ASCII characters but /", headerKey, c)
		}
	}
	return nil
}

// checkOwnerToken checks the caller's token if the catalogue has one for the owner.
func checkOwnerToken(owner entry.Owner, r *http.Request) error {
	if owner.TokenSHA256 == "" {
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if !ok || subtle.ConstantTimeCompare([]byte(digest), []byte(owner.TokenSHA256)) != 1 {
		return reason.Refuse(reason.NotAllowed, "owner %s's token is needed", owner.Name)
	}
	return nil
}

// execute runs a request, at most once per idempotency key if the work is not repeatable.
func (s *Server) execute(ctx context.Context, call callerRequest) (holder.Answer, bool, error) {
	task := uuid.NewString()
	req := route.Request{
		Task: task, Work: call.work, Owner: call.owner, Params: call.params, ContentType: call.contentType, Body: call.body,
		Deadline: call.deadline, CatalogueVersion: call.catalogueVersion,
	}
	if call.work.Repeatable {
		answer, err := s.cfg.Router.Run(ctx, req)
		return answer, false, err
	}
	key := claim.Key{Owner: call.owner.Name, Work: call.work.Name, Key: call.key}
	first, replayed, err := s.cfg.Claims.Run(ctx, key, task, claim.Digest(call.params, call.body), func() (claim.Answer, error) {
		// The run continues if its caller disconnects, since it must not be started again.
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.deadline)
		defer cancel()
		answer, err := s.cfg.Router.Run(runCtx, req)
		return claim.Answer{ContentType: answer.ContentType, Body: answer.Body, Worker: answer.Worker}, err
	})
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: first.ContentType, Body: first.Body}, Worker: first.Worker,
	}, replayed, err
}

// submitJob stores a job and answers with its status.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, call callerRequest) {
	class := string(call.work.Class)
	id := uuid.NewString()
	if call.key != "" {
		name := call.owner.Name + "/" + call.work.Name + "/" + call.key
		id = uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String()
	}
	if err := s.cfg.Router.CheckFeasible(r.Context(), call.work.Size); err != nil {
		s.writeProblem(w, class, err)
		return
	}
	job, err := s.cfg.Jobs.Submit(r.Context(), jobs.Job{
		ID: id, Owner: call.owner.Name, Work: call.work.Name, Params: call.params, ContentType: call.contentType, Body: call.body,
		Digest: claim.Digest(call.params+fmt.Sprint(call.numTasks), call.body), Tasks: newTasks(call.numTasks),
	})
	if err != nil {
		s.writeProblem(w, class, err)
		return
	}
	s.cfg.Metrics.Answered(class)
	go s.cfg.Cluster.WakeJob(context.WithoutCancel(r.Context()), id)
	w.Header().Set("Location", "/v1/jobs/"+id)
	writeJSON(w, http.StatusAccepted, newJobStatus(job))
}

func newTasks(n int) []jobs.Task {
	tasks := make([]jobs.Task, n)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.TaskWaiting, Attempt: 1}
	}
	return tasks
}
