package guard

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// ends counts refused requests and closed connections.
type ends struct {
	mu     sync.Mutex
	counts map[Cause]int
}

func (e *ends) add(cause Cause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[cause]++
}

func (e *ends) count(cause Cause) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[cause]
}

// server is an engine with a guard, whose handler echoes the body's length.
type server struct {
	c       *qt.C
	guard   *Guard
	ends    *ends
	address string
	// entered gets the path of each request that reaches the handler; held requests wait until release is closed.
	entered chan string
	release chan struct{}
}

func startServer(t *testing.T, sizes Sizes, limits Limits, side bool, opened ...func(*conn)) *server {
	t.Helper()
	return startServerAt(t, sizes, limits, func(g *Guard) { g.AddPlace("test", "127.0.0.1:0", sizes.Connections, side) }, opened...)
}

func startTLSServer(t *testing.T, sizes Sizes, limits Limits) *server {
	t.Helper()
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{testCertificate(qt.New(t))}}
	return startServerAt(t, sizes, limits, func(g *Guard) { g.AddTLSPlace("test", "127.0.0.1:0", sizes.Connections, cfg) })
}

func startServerAt(t *testing.T, sizes Sizes, limits Limits, addPlace func(*Guard), opened ...func(*conn)) *server {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	s := &server{
		c: qt.New(t), ends: &ends{counts: map[Cause]int{}}, entered: make(chan string, 1000), release: make(chan struct{}),
	}
	s.guard = New(sizes, limits, s.ends.add, log)
	addPlace(s.guard)
	config := nbhttp.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, Handler: s, ServerExecutor: func(f func()) { go f() }}
	s.guard.Apply(&config)
	engine := nbhttp.NewEngine(config)
	engine.OnOpen(func(nc net.Conn) {
		s.guard.OnOpen(nc)
		for _, f := range opened {
			f(nc.(*nbhttp.Conn).Conn.(*conn))
		}
	})
	s.c.Assert(engine.Start(), qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = engine.Shutdown(ctx)
	})
	s.address = engine.Addrs[0]
	return s
}

// largeBody is the length of a response that no socket's buffer takes.
const largeBody = 64 << 20

// ServeHTTP echoes the body's length.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.entered <- r.URL.Path
	if r.URL.Path == "/held" {
		<-s.release
	}
	if r.URL.Path == "/large" {
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_, _ = w.Write(make([]byte, largeBody))
		return
	}
	n, _ := io.Copy(io.Discard, r.Body)
	text := strconv.Itoa(int(n))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (s *server) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn, bufio.NewReader(conn)
}

// reply is a response that has been read.
type reply struct {
	status     int
	retryAfter string
	close      bool
}

// response reads a response and its body.
func (s *server) response(in *bufio.Reader) (reply, string) {
	s.c.Helper()
	res, err := http.ReadResponse(in, nil)
	s.c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	s.c.Assert(err, qt.IsNil)
	return reply{res.StatusCode, res.Header.Get("Retry-After"), res.Close}, string(raw)
}

var roomySizes = SizesOf(144<<20, 1000)

func TestRefusalsAreAnsweredAndCounted(t *testing.T) {
	limits := Limits{HeadBytes: 1000, BodyBytes: 2000, HeadTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute}
	for _, test := range []struct {
		name   string
		side   bool
		text   string
		status int
		cause  Cause
	}{
		{"head too large", false, getHead + "a: " + strings.Repeat("x", 1000), 431, CauseHead},
		{"body too large", false, postHead + "Content-Length: 2001\r\n\r\n", 413, CauseBody},
		{"chunks too large", false, postHead + "Transfer-Encoding: chunked\r\n\r\n7d1\r\n", 413, CauseBody},
		{"head stops", false, getHead, 408, CauseHeadTimeout},
		{"malformed", false, getHead + "a b: c\r\n\r\n", 400, CauseMalformed},
		{"empty lines", false, strings.Repeat("\r\n", 20), 400, CauseMalformed},
		{"POST at a side address", true, postHead + "\r\n", 400, CauseMethod},
		{"body at a side address", true, getHead + "Content-Length: 1500\r\n\r\n", 413, CauseBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, roomySizes, limits, test.side)
			conn, in := s.dial()
			_, err := io.WriteString(conn, test.text)
			s.c.Assert(err, qt.IsNil)
			res, body := s.response(in)
			s.c.Assert(res.status, qt.Equals, test.status)
			s.c.Assert(res.close, qt.IsTrue)
			s.c.Assert(body, qt.Equals, fmt.Sprintf(`{"error":%q}`, test.cause))
			_, err = in.ReadByte()
			s.c.Assert(err, qt.Equals, io.EOF)
			s.c.Assert(s.ends.count(test.cause), qt.Equals, 1)
			s.c.Assert(s.entered, qt.HasLen, 0)
		})
	}
}

// Legal requests in any division, also several in one piece, must all be answered in their order.
func TestRequestsAreServedHoweverTheyArrive(t *testing.T) {
	s := startServer(t, roomySizes, Limits{}, false)
	text := postHead + "Content-Length: 5\r\n\r\n12345" + getHead + "\r\n\r\n" +
		postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + postHead + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000)
	for _, piece := range []int{1, 10, 100_000} {
		conn, in := s.dial()
		go func() {
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				_, _ = io.WriteString(conn, rest[:n])
				rest = rest[n:]
			}
		}()
		for _, want := range []string{"5", "0", "3", "5000"} {
			res, body := s.response(in)
			s.c.Assert(res.status, qt.Equals, http.StatusOK)
			s.c.Assert(body, qt.Equals, want)
		}
	}
	// The charge is returned after the response has been written.
	for s.guard.Budget().Used() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// A single request of the largest legal size must be served in calm on the smallest host.
func TestLargestRequestIsServed(t *testing.T) {
	s := startServer(t, roomySizes, Limits{}, false)
	conn, in := s.dial()
	head := postHead + fmt.Sprintf("Content-Length: %d\r\n", DefaultBodyBytes)
	for len(head) < DefaultHeadBytes-20 {
		head += "a" + strconv.Itoa(len(head)) + ":\r\n"
	}
	head += "p:" + strings.Repeat("x", DefaultHeadBytes-len(head)-6) + "\r\n\r\n"
	s.c.Assert(len(head), qt.Equals, DefaultHeadBytes)
	_, err := io.WriteString(conn, head+strings.Repeat("x", DefaultBodyBytes))
	s.c.Assert(err, qt.IsNil)
	res, body := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusOK)
	s.c.Assert(body, qt.Equals, strconv.Itoa(DefaultBodyBytes))
}

// Limits of a new configuration must apply to open connections.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	s := startServer(t, roomySizes, Limits{BodyBytes: 10}, false)
	conn, in := s.dial()
	request := postHead + "Content-Length: 10\r\n\r\n0123456789"
	_, err := io.WriteString(conn, request)
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusOK)
	s.guard.SetLimits(Limits{BodyBytes: 9})
	_, err = io.WriteString(conn, request)
	s.c.Assert(err, qt.IsNil)
	res, _ = s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusRequestEntityTooLarge)
}

func TestIdleConnectionsAreClosedWithoutResponse(t *testing.T) {
	s := startServer(t, roomySizes, Limits{IdleTimeout: 10 * time.Millisecond}, false)
	_, in := s.dial()
	_, err := in.ReadByte()
	s.c.Assert(err, qt.Equals, io.EOF)
	s.c.Assert(s.ends.count(CauseIdle), qt.Equals, 1)
}

// The server's parser ignores its own errors and would read on; a request that it doesn't pass on must end the connection.
func TestRequestWithoutResponseClosesConnection(t *testing.T) {
	s := startServer(t, roomySizes, Limits{}, false, func(c *conn) {
		// The scanner takes the request for complete, the parser for malformed.
		c.scanner.phase, c.scanner.left, c.bodyBegan = phaseBody, 4, time.Now()
		c.stage.Store(stageArriving)
	})
	conn, in := s.dial()
	_, err := io.WriteString(conn, "\x00\x00\x00\x00")
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusBadRequest)
	s.c.Assert(s.ends.count(CauseNoResponse), qt.Equals, 1)
}

// If there are too many connections, the one that has been idle for longest is closed, and never one whose request is being handled.
func TestTooManyConnectionsCloseIdleOnes(t *testing.T) {
	sizes := roomySizes
	sizes.Connections = 2
	s := startServer(t, sizes, Limits{}, false)
	held, heldIn := s.dial()
	_, err := io.WriteString(held, "GET /held HTTP/1.1\r\n\r\n")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(<-s.entered, qt.Equals, "/held")
	_, idleIn := s.dial()
	conn, in := s.dial()
	_, err = idleIn.ReadByte()
	s.c.Assert(err, qt.Equals, io.EOF)
	_, err = io.WriteString(conn, "GET /held HTTP/1.1\r\n\r\n")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(<-s.entered, qt.Equals, "/held")
	_, refusedIn := s.dial()
	_, err = refusedIn.ReadByte()
	s.c.Assert(err, qt.Equals, io.EOF)
	close(s.release)
	for _, in := range []*bufio.Reader{heldIn, in} {
		res, _ := s.response(in)
		s.c.Assert(res.status, qt.Equals, http.StatusOK)
	}
	s.c.Assert(s.ends.count(CauseConnections), qt.Equals, 2)
}

// Clients that don't read their responses used to keep their places until the write timed out, so that no other client got one.
func TestUnreadResponsesGiveWay(t *testing.T) {
	sizes := roomySizes
	sizes.Connections = 2
	s := startServer(t, sizes, Limits{}, false)
	s.guard.writeTime = time.Hour
	for range sizes.Connections {
		conn, _ := s.dial()
		_, err := io.WriteString(conn, "GET /large HTTP/1.1\r\n\r\n")
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(<-s.entered, qt.Equals, "/large")
	}
	for answered := false; !answered; {
		// While the responses are being written, a new connection is closed.
		conn, in := s.dial()
		_, _ = io.WriteString(conn, getHead+"\r\n")
		res, err := http.ReadResponse(in, nil)
		if answered = err == nil; answered {
			s.c.Assert(res.Body.Close(), qt.IsNil)
			s.c.Assert(res.StatusCode, qt.Equals, http.StatusOK)
		}
	}
}

// A large request that stops must give way to another one, and must not reach the handler. Its response used to be a 503, which promises that the
// job never runs: untrue if an earlier request with the same ID, whose response was lost, has been accepted.
func TestStoppedRequestGivesWay(t *testing.T) {
	sizes := roomySizes
	sizes.BudgetBytes = 1 << 20
	s := startServer(t, sizes, Limits{}, false)
	const size = 80_000
	head := postHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	stopped, stoppedIn := s.dial()
	_, err := io.WriteString(stopped, head+strings.Repeat("x", size-10))
	s.c.Assert(err, qt.IsNil)
	for s.guard.Budget().Used() < (size-10)*bodyByteCost {
		time.Sleep(time.Millisecond)
	}
	conn, in := s.dial()
	_, err = io.WriteString(conn, head+strings.Repeat("x", size))
	s.c.Assert(err, qt.IsNil)
	res, body := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusOK)
	s.c.Assert(body, qt.Equals, strconv.Itoa(size))
	res, _ = s.response(stoppedIn)
	s.c.Assert(res.status, qt.Equals, http.StatusRequestTimeout)
	s.c.Assert(res.retryAfter, qt.Equals, "1")
	s.c.Assert(s.entered, qt.HasLen, 1)
	s.c.Assert(s.ends.count(CauseMemory), qt.Equals, 1)
}

// The statuses 429 and 503 promise that a job never runs, which the guard can't know of a repeated request.
func TestNoRefusalPromisesThatJobNeverRuns(t *testing.T) {
	c := qt.New(t)
	for refused, raw := range responses {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(raw))), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Body.Close(), qt.IsNil)
		c.Check(res.StatusCode, qt.Not(qt.Equals), http.StatusServiceUnavailable, qt.Commentf("%v", refused))
		c.Check(res.StatusCode, qt.Not(qt.Equals), http.StatusTooManyRequests, qt.Commentf("%v", refused))
	}
}

// The handler used to get a request that followed one with "Connection: close" in the same piece; nothing could answer it.
func TestRequestAfterTheLastOneIsNotHandled(t *testing.T) {
	s := startServer(t, roomySizes, Limits{}, false)
	conn, in := s.dial()
	_, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"+"GET /after HTTP/1.1\r\n\r\n")
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusOK)
	_, err = in.ReadByte()
	s.c.Assert(err, qt.IsNotNil)
	for s.guard.Open("test") > 0 {
		time.Sleep(time.Millisecond)
	}
	s.c.Assert(<-s.entered, qt.Equals, "/last")
	s.c.Assert(s.entered, qt.HasLen, 0)
}

// A response that the client doesn't read in time is cut off; what followed it on the connection would be taken for the rest of it.
func TestNothingFollowsResponseThatWasCutOff(t *testing.T) {
	s := startServer(t, roomySizes, Limits{}, false)
	s.guard.writeTime = 50 * time.Millisecond
	conn, in := s.dial()
	_, err := io.WriteString(conn, "GET /large HTTP/1.1\r\n\r\n"+getHead+"\r\n")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(<-s.entered, qt.Equals, "/large")
	time.Sleep(10 * s.guard.writeTime)
	raw, _ := io.ReadAll(in)
	for s.guard.Open("test") > 0 {
		time.Sleep(time.Millisecond)
	}
	s.c.Assert(len(raw) < largeBody, qt.IsTrue)
	s.c.Assert(strings.Count(string(raw), "HTTP/1.1"), qt.Equals, 1)
	s.c.Assert(s.entered, qt.HasLen, 0)
}

// The body of a refused request used to stay in memory for as long as the refusal was being read: 900 clients took 153 MB of 144.
func TestRefusedRequestKeepsNoBody(t *testing.T) {
	collected := make(chan bool)
	s := startServer(t, roomySizes, Limits{BodyBytes: 1000}, false, func(c *conn) {
		c.g.lingerTime = time.Minute
		runtime.AddCleanup(c.nb, func(done chan bool) { close(done) }, collected)
	})
	conn, in := s.dial()
	_, err := io.WriteString(conn, postHead+"Transfer-Encoding: chunked\r\n\r\n384\r\n"+strings.Repeat("x", 900)+"\r\n384\r\n")
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusRequestEntityTooLarge)
	for deadline := time.After(30 * time.Second); ; {
		runtime.GC()
		select {
		case <-collected:
			s.c.Assert(s.guard.Open("test"), qt.Equals, 1)
			return
		case <-deadline:
			s.c.Fatal("the server's connection with the body is still in memory")
		case <-time.After(time.Millisecond):
		}
	}
}

// A client that sends its whole body before it reads must get the 413: the connection used to be closed after half a megabyte, and the client
// saw a broken pipe.
func TestClientThatSendsWholeBodyGetsRefusal(t *testing.T) {
	s := startServer(t, roomySizes, Limits{BodyBytes: 8 << 20}, false)
	conn, in := s.dial()
	const size = 8<<20 + 1
	_, err := io.WriteString(conn, postHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
	s.c.Assert(err, qt.IsNil)
	for s.ends.count(CauseBody) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = conn.Write(make([]byte, size))
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// A body for which there is never memory used to be read until the budget was used up, and was answered 408, after which clients send it again.
func TestBodyBeyondMemoryIsRefusedAtOnce(t *testing.T) {
	s := startServer(t, roomySizes, Limits{BodyBytes: 64 << 20}, false)
	conn, in := s.dial()
	_, err := io.WriteString(conn, postHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", roomySizes.BudgetBytes/bodyByteCost))
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// The log must not get a line for each refused request.
func TestLogTellsOnceThatRequestsAreTurnedAway(t *testing.T) {
	c := qt.New(t)
	log, entries := logtest.NewNullLogger()
	g := New(roomySizes, Limits{}, func(Cause) {}, log)
	for range 100 {
		_, ok := g.Budget().Reserve(roomySizes.BudgetBytes)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(entries.AllEntries(), qt.HasLen, 1)
	c.Assert(entries.LastEntry().Level, qt.Equals, logrus.WarnLevel)
}

// BenchmarkServe compares an ordinary request on an open connection with the guard and without it.
func BenchmarkServe(b *testing.B) {
	logging.SetLevel(logging.LevelError)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "{}")
	})
	request := []byte(postHead + "Content-Type: application/json\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600))
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%v", guarded), func(b *testing.B) {
			log, _ := logtest.NewNullLogger()
			config := nbhttp.Config{
				Network: "tcp", Addrs: []string{"127.0.0.1:0"}, Handler: handler, IOMod: nbhttp.IOModBlocking, ServerExecutor: func(f func()) { go f() },
			}
			g := New(roomySizes, Limits{}, func(Cause) {}, log)
			g.AddPlace("test", "127.0.0.1:0", roomySizes.Connections, false)
			if guarded {
				g.Apply(&config)
			}
			engine := nbhttp.NewEngine(config)
			if guarded {
				engine.OnOpen(g.OnOpen)
			}
			if err := engine.Start(); err != nil {
				b.Fatal(err)
			}
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = engine.Shutdown(ctx)
			}()
			conn, err := net.Dial("tcp", engine.Addrs[0])
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = conn.Write(request)
				res, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
}
