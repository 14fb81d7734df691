package agent

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
)

// Metadata of a Holds call to a witness: the question, the process that it is for, and the time that a refusal looks back. witnessAnsweredKey in the header of the reply says that the
// called host has understood it.
const (
	witnessQuestionKey = "corianderdrift-witness"
	witnessProcessKey  = "corianderdrift-witness-process"
	witnessWithinKey   = "corianderdrift-witness-within-nanos"
	witnessAnsweredKey = "corianderdrift-witness-answered"
)

// Kinds of questions to a witness.
const (
	questionExtend = "extend"
	questionRefuse = "refuse"
	questionProbe  = "probe"
)

// witnessQuestion is a question to a witness.
type witnessQuestion struct {
	kind, group string
	token       uint64
	// within is the time that a refusal looks back.
	within time.Duration
}

// witnessLostDuration is how long a process that did not answer is no candidate.
const witnessLostDuration = 20 * time.Second

// witnesses implements runner.Witnesses by calls to other hosts.
type witnesses struct {
	a *Agent

	mu sync.Mutex
	// lostUntil holds the processes that did not answer, and until when they are no candidates.
	lostUntil map[elect.Peer]time.Time
}

func newWitnesses(a *Agent) *witnesses {
	return &witnesses{a: a, lostUntil: map[elect.Peer]time.Time{}}
}

// setLost records whether a process has failed to answer.
func (w *witnesses) setLost(p elect.Peer, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lost {
		w.lostUntil[p] = time.Now().Add(witnessLostDuration)
	} else {
		delete(w.lostUntil, p)
	}
}

// isLost reports whether a process is no candidate.
func (w *witnesses) isLost(p elect.Peer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := w.lostUntil[p]
	if ok && time.Now().After(until) {
		delete(w.lostUntil, p)
		ok = false
	}
	return ok
}

// Candidates implements runner.Witnesses: hosts of the same data centre come first, since they are cut off from the others together with this one.
func (w *witnesses) Candidates() []elect.Peer {
	var peers []elect.Peer
	for _, h := range w.a.hosts.usable(time.Now()) {
		p := elect.Peer{Host: h.Name, Incarnation: h.Incarnation}
		if h.Witness && h.Name != w.a.settings.Name && !w.isLost(p) {
			peers = append(peers, p)
		}
	}
	return peers
}

// Extend implements runner.Witnesses.
func (w *witnesses) Extend(ctx context.Context, p elect.Peer, group string, token uint64) bool {
	return w.ask(ctx, p, witnessQuestion{kind: questionExtend, group: group, token: token})
}

// Refuse implements runner.Witnesses.
func (w *witnesses) Refuse(ctx context.Context, p elect.Peer, group string, token uint64, within time.Duration) bool {
	return w.ask(ctx, p, witnessQuestion{kind: questionRefuse, group: group, token: token, within: within})
}

// Probe implements runner.Witnesses.
func (w *witnesses) Probe(ctx context.Context, p elect.Peer) bool {
	return w.ask(ctx, p, witnessQuestion{kind: questionProbe})
}

func (w *witnesses) ask(ctx context.Context, p elect.Peer, q witnessQuestion) bool {
	if p == (elect.Peer{Host: w.a.settings.Name, Incarnation: w.a.incarnation}) {
		return w.a.answerWitness(q)
	}
	h, ok := w.a.hosts.find(p.Host)
	if !ok || h.Incarnation != p.Incarnation {
		return false
	}
	conn, err := w.a.hosts.conn(h.Address)
	if err != nil {
		return false
	}
	ctx = metadata.AppendToOutgoingContext(ctx, witnessQuestionKey, q.kind, witnessProcessKey, p.Incarnation,
		witnessWithinKey, strconv.FormatInt(int64(q.within), 10))
	var header metadata.MD
	reply, err := cellpb.NewCellsClient(conn).Holds(ctx, &cellpb.HoldsRequest{Service: q.group, Token: q.token}, grpc.Header(&header))
	answered := err == nil && len(header.Get(witnessAnsweredKey)) > 0
	if answered || !errors.Is(ctx.Err(), context.Canceled) {
		w.setLost(p, !answered)
	}
	return answered && reply.GetHolds()
}

// answerWitness answers a question to this process as a witness.
func (a *Agent) answerWitness(q witnessQuestion) bool {
	switch q.kind {
	case questionExtend:
		return a.witness.Extend(q.group, q.token, clock.SinceBoot())
	case questionRefuse:
		return a.witness.Refuse(q.group, q.token, q.within, clock.SinceBoot())
	default:
		return q.kind == questionProbe
	}
}

// asWitness returns the question to this process as a witness that a Holds call asks; asked is false if it is another call.
func (a *Agent) asWitness(ctx context.Context, r *cellpb.HoldsRequest) (q witnessQuestion, asked bool) {
	first := func(key string) string {
		if values := metadata.ValueFromIncomingContext(ctx, key); len(values) > 0 {
			return values[0]
		}
		return ""
	}
	kind := first(witnessQuestionKey)
	if kind == "" {
		return witnessQuestion{}, false
	}
	within, err := strconv.ParseInt(first(witnessWithinKey), 10, 64)
	if err != nil || first(witnessProcessKey) != a.incarnation {
		// An earlier process of this host was meant, which has given other answers.
		return witnessQuestion{}, true
	}
	// It fails only outside a server's call, and then nobody needs the header.
	_ = grpc.SetHeader(ctx, metadata.Pairs(witnessAnsweredKey, "1"))
	return witnessQuestion{kind: kind, group: r.GetService(), token: r.GetToken(), within: time.Duration(within)}, true
}
