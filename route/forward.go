package route

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// lookupPause is the pause between two lookups of an answer after the connection to its host was lost.
	lookupPause = 200 * time.Millisecond
	// lookupTimeout bounds one lookup on one host.
	lookupTimeout = 2 * time.Second
)

// forward sends a request to another host; if the connection is lost, it looks for the answer in that data centre.
func (r *Router) forward(ctx context.Context, m peers.Member, req Request) (holder.Answer, error) {
	if ctx.Err() != nil {
		return holder.Answer{}, reason.Refuse(reason.DeadlineUnreachable, "the time was over before a host could be asked")
	}
	msg := &peerpb.RunRequest{
		Task: req.Task, Entry: req.Work.Name, Params: req.Params, ContentType: req.ContentType, Body: req.Body,
		TimeoutMicros: time.Until(req.Deadline).Microseconds(), CatalogueVersion: req.CatalogueVersion,
	}
	// The holder enforces the deadline; the margin leaves time for its reply to arrive.
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(lookupTimeout))
	defer cancel()
	reply, err := peers.Call(callCtx, r.transport, m.Address, msg, peerpb.PeerClient.Run)
	var unsent *peers.UnsentError
	switch {
	case errors.As(err, &unsent):
		return holder.Answer{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.PeerUnreachable, Err: err}
	case err != nil && ctx.Err() != nil:
		return holder.Answer{}, reason.Uncertain(reason.CallerLeft, "the caller left before the answer")
	case err != nil:
		return r.recoverAnswer(ctx, req.Task, m, req.Deadline, err)
	}
	return answerOf(reply)
}

// recoverAnswer queries the hosts of a data centre, until the deadline, for the answer of a task that was sent to one of
// them before the connection was lost.
func (r *Router) recoverAnswer(
	ctx context.Context, task string, lastHost peers.Member, deadline time.Time, cause error,
) (holder.Answer, error) {
	r.stats.Retry(reason.PeerSilent)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lookupTimeout/4))
	defer cancel()
	for {
		if answer, found, err := r.findAnswer(ctx, task, lastHost.DataCenter, lastHost.Name); found {
			return answer, err
		}
		if !clock.Pause(ctx, lookupPause) {
			return holder.Answer{}, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.PeerSilent, Err: cause}
		}
	}
}

// FindAnswer queries the hosts of a data centre once for the answer of a task.
func (r *Router) FindAnswer(ctx context.Context, task, dataCenter string) (holder.Answer, bool, error) {
	return r.findAnswer(ctx, task, dataCenter, "")
}

// findAnswer accepts "not run" only from the host to which the task was sent last; the other hosts still remember their
// refusals of earlier attempts.
func (r *Router) findAnswer(ctx context.Context, task, dataCenter, lastHost string) (holder.Answer, bool, error) {
	if answer, found, err := r.pool.Find(ctx, task, lookupTimeout); found && !notRun(err) {
		return answer, true, err
	}
	members := r.members.Live(time.Now(), func(m peers.Member) bool { return m.DataCenter == dataCenter })
	for _, m := range members {
		callCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		msg := &peerpb.RunRequest{Task: task, AttachOnly: true, TimeoutMicros: lookupTimeout.Microseconds()}
		reply, err := peers.Call(callCtx, r.transport, m.Address, msg, peerpb.PeerClient.Run)
		cancel()
		if err != nil || (reply.GetRefusal() != nil && reply.GetRefusal().GetReason() == string(reason.NoSuchTask)) {
			continue
		}
		answer, err := answerOf(reply)
		if notRun(err) && m.Name != lastHost {
			continue
		}
		return answer, true, err
	}
	return holder.Answer{}, false, nil
}

func notRun(err error) bool { return err != nil && reason.From(err).Outcome == reason.NotRun }

func answerOf(reply *peerpb.RunReply) (holder.Answer, error) {
	if err := peers.DecodeRefusal(reply.GetRefusal()); err != nil {
		return holder.Answer{Worker: reply.GetWorker()}, err
	}
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: reply.GetContentType(), Body: reply.GetBody()},
		Worker: reply.GetWorker(),
	}, nil
}
