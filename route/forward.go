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
	// recoverPause lies between two looks for an answer whose host was lost.
	recoverPause = 200 * time.Millisecond
	// recoverWait bounds the wait of one such look.
	recoverWait = 2 * time.Second
)

func (r *Router) forward(ctx context.Context, m peers.Member, req Request) (holder.Answer, error) {
	msg := &peerpb.RunRequest{
		Task: req.Task, Entry: req.Work.Name, Params: req.Params, ContentType: req.ContentType, Body: req.Body,
		TimeoutMicros: time.Until(req.Deadline).Microseconds(), CatalogueVersion: req.Version,
	}
	// The holder answers for the deadline itself; the margin lets its word arrive.
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(recoverWait))
	defer cancel()
	reply, err := peers.Call(callCtx, r.net, m.Address, msg, peerpb.PeerClient.Run)
	var unsent *peers.UnsentError
	switch {
	case errors.As(err, &unsent):
		return holder.Answer{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.PeerUnreachable, Err: err}
	case err != nil && ctx.Err() != nil:
		return holder.Answer{}, reason.Uncertain(reason.CallerLeft, "the caller left before the answer")
	case err != nil:
		return r.seek(ctx, req.Task, m, req.Deadline, err)
	}
	return answerOf(reply)
}

// seek asks the hosts of a data centre for the answer of a task that was offered to one of them and got lost there.
func (r *Router) seek(
	ctx context.Context, task string, offered peers.Member, deadline time.Time, cause error,
) (holder.Answer, error) {
	r.stats.Retry(reason.PeerSilent)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(recoverWait/4))
	defer cancel()
	for {
		if answer, found, err := r.ask(ctx, task, offered.DataCenter, offered.Name); found {
			return answer, err
		}
		if !clock.Pause(ctx, recoverPause) {
			return holder.Answer{}, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.PeerSilent, Err: cause}
		}
	}
}

// Ask asks the hosts of a data centre once for the answer of a task.
func (r *Router) Ask(ctx context.Context, task, dataCenter string) (holder.Answer, bool, error) {
	return r.ask(ctx, task, dataCenter, "")
}

// ask takes "not run" only from the host to which the task was offered last; the others still know their refusals of
// earlier offers.
func (r *Router) ask(ctx context.Context, task, dataCenter, offered string) (holder.Answer, bool, error) {
	if answer, found, err := r.pool.Find(ctx, task, recoverWait); found && !notRun(err) {
		return answer, true, err
	}
	ask := r.table.Live(time.Now(), func(m peers.Member) bool { return m.DataCenter == dataCenter })
	for _, m := range ask {
		askCtx, cancel := context.WithTimeout(ctx, recoverWait)
		msg := &peerpb.RunRequest{Task: task, AttachOnly: true, TimeoutMicros: recoverWait.Microseconds()}
		reply, err := peers.Call(askCtx, r.net, m.Address, msg, peerpb.PeerClient.Run)
		cancel()
		if err != nil || (reply.GetRefusal() != nil && reply.GetRefusal().GetReason() == string(reason.NoSuchTask)) {
			continue
		}
		answer, err := answerOf(reply)
		if notRun(err) && m.Name != offered {
			continue
		}
		return answer, true, err
	}
	return holder.Answer{}, false, nil
}

func notRun(err error) bool { return err != nil && reason.From(err).Outcome == reason.NotRun }

func answerOf(reply *peerpb.RunReply) (holder.Answer, error) {
	if err := peers.Refused(reply.GetRefusal()); err != nil {
		return holder.Answer{Worker: reply.GetWorker()}, err
	}
	return holder.Answer{
		Answer: worker.Answer{State: worker.Finished, ContentType: reply.GetContentType(), Body: reply.GetBody()},
		Worker: reply.GetWorker(),
	}, nil
}
