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

// The headers of callers' requests and answers.
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

// ask is a caller's request after its checks.
type ask struct {
	work        entry.Work
	owner       entry.Owner
	version     uint64
	key         string
	params      string
	contentType string
	body        []byte
	tasks       int
	async       bool
	timeout     time.Duration
	deadline    time.Time
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.arrived.Store(arrived.UnixNano())
	a, err := s.read(r, arrived)
	class := string(a.work.Class)
	if class == "" {
		class = "none"
	}
	if err != nil {
		s.refuse(w, class, err)
		return
	}
	if s.cfg.Recorder != nil {
		s.cfg.Recorder.Record(a.work.Name, a.params, len(a.body), a.timeout, a.key != "")
	}
	if a.async || a.work.Class != entry.Request {
		s.submit(w, r, a)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	answer, replayed, err := s.answer(ctx, a)
	if err != nil {
		s.refuse(w, class, err)
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

// read checks a caller's request against one version of the catalogue.
func (s *Server) read(r *http.Request, arrived time.Time) (ask, error) {
	if s.refusing.Load() {
		return ask{}, reason.Refuse(reason.Stopping, "this entry host is stopping")
	}
	c := s.cfg.Keeper.Current()
	if c == nil {
		return ask{}, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet")
	}
	work, ok := c.Work(r.PathValue("work"))
	if !ok {
		return ask{}, reason.Refuse(reason.NoSuchEntry, "the catalogue has no work %q", r.PathValue("work"))
	}
	owner, _ := c.Owner(work.Owner)
	a := ask{
		work: work, owner: owner, version: c.Version(), key: r.Header.Get(headerKey), params: r.Header.Get(headerParams),
		contentType: r.Header.Get("Content-Type"), tasks: work.Tasks,
		async: strings.Contains(r.Header.Get("Prefer"), "respond-async"),
	}
	if err := allowed(owner, r); err != nil {
		return a, err
	}
	return a, a.readRest(r, arrived)
}

func (a *ask) readRest(r *http.Request, arrived time.Time) error {
	var err error
	if a.timeout, err = parseTimeout(r.Header.Get(headerTimeout), a.work.Timeout.D()); err != nil {
		return err
	}
	a.deadline = arrived.Add(a.timeout)
	if err := checkKey(a.key, a.work); err != nil {
		return err
	}
	if text := r.Header.Get(headerTasks); text != "" {
		a.tasks, err = strconv.Atoi(text)
		if err != nil || a.tasks < 1 || a.tasks > entry.MaxTasks {
			return reason.Refuse(reason.BadRequest, "%s: %q is not between 1 and %d", headerTasks, text, entry.MaxTasks)
		}
	}
	if r.ContentLength > a.work.MaxBodyBytes {
		return tooLarge(a.work)
	}
	a.body, err = io.ReadAll(io.LimitReader(r.Body, a.work.MaxBodyBytes+1))
	if err != nil {
		return reason.Refuse(reason.BadRequest, "the body broke off: %v", err)
	}
	if int64(len(a.body)) > a.work.MaxBodyBytes {
		return tooLarge(a.work)
	}
	return nil
}

func tooLarge(work entry.Work) error {
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

// allowed checks the owner's token, where the catalogue names one.
func allowed(owner entry.Owner, r *http.Request) error {
	if owner.TokenSHA256 == "" {
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(sum[:])
	if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(owner.TokenSHA256)) != 1 {
		return reason.Refuse(reason.NotAllowed, "owner %s's token is needed", owner.Name)
	}
	return nil
}

// answer runs a request, once per key where it may not repeat.
func (s *Server) answer(ctx context.Context, a ask) (holder.Answer, bool, error) {
	task := uuid.NewString()
	req := route.Request{
		Task: task, Work: a.work, Owner: a.owner, Params: a.params, ContentType: a.contentType, Body: a.body,
		Deadline: a.deadline, Version: a.version,
	}
	if a.work.Repeatable {
		answer, err := s.cfg.Router.Run(ctx, req)
		return answer, false, err
	}
	key := claim.Key{Owner: a.owner.Name, Work: a.work.Name, Key: a.key}
	first, replayed, err := s.cfg.Claims.Run(ctx, key, task, claim.Digest(a.params, a.body), func() (claim.Answer, error) {
		// The run goes on when its caller leaves, since nobody may start it again.
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.deadline)
		defer cancel()
		answer, err := s.cfg.Router.Run(runCtx, req)
		return claim.Answer{ContentType: answer.ContentType, Body: answer.Body, Worker: answer.Worker}, err
	})
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: first.ContentType, Body: first.Body}, Worker: first.Worker,
	}, replayed, err
}

// submit accepts a job.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, a ask) {
	class := string(a.work.Class)
	id := uuid.NewString()
	if a.key != "" {
		name := a.owner.Name + "/" + a.work.Name + "/" + a.key
		id = uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String()
	}
	if err := s.cfg.Router.Possible(r.Context(), a.work.Size); err != nil {
		s.refuse(w, class, err)
		return
	}
	job, err := s.cfg.Jobs.Submit(r.Context(), jobs.Job{
		ID: id, Owner: a.owner.Name, Work: a.work.Name, Params: a.params, ContentType: a.contentType, Body: a.body,
		Digest: claim.Digest(a.params+fmt.Sprint(a.tasks), a.body), Tasks: newTasks(a.tasks),
	})
	if err != nil {
		s.refuse(w, class, err)
		return
	}
	s.cfg.Metrics.Answered(class)
	go s.cfg.Node.WakeJob(context.WithoutCancel(r.Context()), id)
	w.Header().Set("Location", "/v1/jobs/"+id)
	writeJSON(w, http.StatusAccepted, statusOf(job))
}

func newTasks(n int) []jobs.Task {
	tasks := make([]jobs.Task, n)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.TaskWaiting, Attempt: 1}
	}
	return tasks
}
