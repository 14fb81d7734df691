package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/nbhttp"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Pattern: a large body is still on its way when a host stops. The request counts as unfinished from its first byte to its
// answer, and a connection that waits for the next one does not.
func TestARequestThatIsNotWholeIsUnfinished(t *testing.T) {
	c := qt.New(t)
	logger, logged := logtest.NewNullLogger()
	open := newConns(logger)
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{"127.0.0.1:0"}, IOMod: nbhttp.IOModMixed,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
			open.answered(r.RemoteAddr)
		}),
	})
	engine.OnOpen(open.opened)
	engine.OnClose(open.closed)
	c.Assert(engine.Start(), qt.IsNil)
	defer engine.Stop()
	conn, err := net.Dial("tcp", engine.Addrs[0])
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	eventually := func(want int) {
		c.Helper()
		for open.unfinished() != want {
			time.Sleep(time.Millisecond)
		}
	}
	eventually(0)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234")
	c.Assert(err, qt.IsNil)
	eventually(1)
	_, err = io.WriteString(conn, "56789")
	c.Assert(err, qt.IsNil)
	answer := make([]byte, len("HTTP/1.1 204"))
	_, err = io.ReadFull(conn, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "HTTP/1.1 204")
	eventually(0)
	c.Assert(logged.Entries, qt.HasLen, 0)
}

func TestAConnectionWithoutTimesIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	logger, logged := logtest.NewNullLogger()
	open := newConns(logger)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	open.opened(near)
	c.Assert(open.unfinished(), qt.Equals, 0)
	c.Assert(open.unfinished(), qt.Equals, 0)
	c.Assert(logged.Entries, qt.HasLen, 1)
}
