package worker_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/worker"
)

func newTestClient(tb testing.TB, handler http.HandlerFunc) *worker.Client {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	c := worker.NewClient("w", netip.MustParseAddrPort(server.Listener.Addr().String()), netip.Addr{})
	tb.Cleanup(c.Close)
	return c
}

func TestErrorsShowWhetherCallWasSent(t *testing.T) {
	var unreachable *worker.UnreachableError
	var refused *worker.RefusedError
	var unanswered *worker.UnansweredError
	tests := []struct {
		name    string
		handler http.HandlerFunc
		as      any
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"fault":"no-room"}`))
		}, &refused},
		{"error of a proxy in between", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, &unanswered},
		{"connection closed before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, &unanswered},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("only a part"))
		}, &unanswered},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := newTestClient(t, test.handler).Run(context.Background(), "id", worker.Spec{}, "", []byte("body"))
			c.Check(errors.As(err, test.as), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
	t.Run("no listener", func(t *testing.T) {
		c := qt.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		addr := netip.MustParseAddrPort(listener.Addr().String())
		c.Assert(listener.Close(), qt.IsNil)
		_, err = worker.NewClient("w", addr, netip.Addr{}).Run(context.Background(), "id", worker.Spec{}, "", nil)
		c.Check(errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"granted":true,"epoch":1}`))
	f.Add(409, []byte(`{"fault":"stale-epoch"}`))
	f.Add(200, []byte(`{"tasks":[{"id":"a","size":{"slots":1}}]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write(body)
		})
		ctx := context.Background()
		if _, err := c.State(ctx); err == nil && status/100 != 2 {
			t.Fatal("a refusal was decoded as a state")
		}
		if _, err := c.Lease(ctx, worker.LeaseRequest{}); err == nil && status/100 != 2 {
			t.Fatal("a refusal was decoded as a lease")
		}
		answer, err := c.Run(ctx, "id", worker.Spec{}, "", nil)
		if err == nil && status != 204 && status != 304 && string(answer.Body) != string(body) {
			t.Fatal("body differs from the one sent")
		}
	})
}

func TestControlCallsUseOneConnection(t *testing.T) {
	c := qt.New(t)
	conns := map[string]bool{}
	cl := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		conns[r.RemoteAddr] = true
		_, _ = w.Write([]byte("{\"granted\":true}\n"))
	})
	for range 10 {
		_, err := cl.Lease(context.Background(), worker.LeaseRequest{})
		c.Assert(err, qt.IsNil)
	}
	c.Check(conns, qt.HasLen, 1)
}

// Guards against a renewal that a restarted worker grants as a new lease.
func TestRenewalOpensNoConnection(t *testing.T) {
	c := qt.New(t)
	numCalls := 0
	cl := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		numCalls++
		_, _ = w.Write([]byte("{\"granted\":true}\n"))
	})
	_, err := cl.Renew(context.Background(), worker.LeaseRequest{})
	var notConnected *worker.NotConnectedError
	c.Assert(errors.As(err, &notConnected), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(numCalls, qt.Equals, 0)
	_, err = cl.State(context.Background())
	c.Assert(err, qt.IsNil)
	_, err = cl.Renew(context.Background(), worker.LeaseRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(numCalls, qt.Equals, 2)
}
