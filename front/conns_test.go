package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/nbhttp"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// A host must not stop while it still receives a large body: the request counts as unfinished from its first byte until it
// is answered, and an idle connection doesn't count.
func TestPartialRequestIsUnfinished(t *testing.T) {
	c := qt.New(t)
	logger, logs := logtest.NewNullLogger()
	tracker := newConnTracker(logger)
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{"127.0.0.1:0"}, IOMod: nbhttp.IOModMixed,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
			tracker.markAnswered(r.RemoteAddr)
		}),
	})
	engine.OnOpen(tracker.onOpen)
	engine.OnClose(tracker.onClose)
	c.Assert(engine.Start(), qt.IsNil)
	defer func() {
		// Stop would wait forever for a poller that hadn't begun its loop yet.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = engine.Shutdown(ctx)
	}()
	conn, err := net.Dial("tcp", engine.Addrs[0])
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	waitForUnfinished := func(want int) {
		c.Helper()
		for tracker.numUnfinished() != want {
			time.Sleep(time.Millisecond)
		}
	}
	waitForUnfinished(0)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234")
	c.Assert(err, qt.IsNil)
	waitForUnfinished(1)
	_, err = io.WriteString(conn, "56789")
	c.Assert(err, qt.IsNil)
	answer := make([]byte, len("HTTP/1.1 204"))
	_, err = io.ReadFull(conn, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "HTTP/1.1 204")
	waitForUnfinished(0)
	c.Assert(logs.Entries, qt.HasLen, 0)
}

func TestConnWithoutSocketTimesIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	logger, logs := logtest.NewNullLogger()
	tracker := newConnTracker(logger)
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	tracker.onOpen(local)
	c.Assert(tracker.numUnfinished(), qt.Equals, 0)
	c.Assert(tracker.numUnfinished(), qt.Equals, 0)
	c.Assert(logs.Entries, qt.HasLen, 1)
}
