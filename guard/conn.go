package guard

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// Times and sizes of connections.
const (
	// writeTimeout is the default of Guard.writeTime.
	writeTimeout = 20 * time.Second
	// refusalWriteTimeout bounds writing a refusal, which fits into the socket's buffer unless the client reads nothing. A response that takes
	// longer may be given up for another connection.
	refusalWriteTimeout = 100 * time.Millisecond
	// After a refusal, what the client still sends is dropped for a while, as closing the connection at once would keep a client that sends its
	// whole body first from reading the response. That ends when nothing arrives for lingerTime, after lingerRounds times that, and after
	// lingerBodies of the largest bodies.
	lingerTime        = time.Second
	lingerRounds      = 5
	lingerBodies      = 2
	lingerBufferBytes = 4 << 10
)

// Stages of a connection.
const (
	stageIdle int32 = iota
	stageArriving
	stageHandling
	stageRefused
)

// conn is a connection between a client and the engine. Except for the fields that say otherwise, only the goroutine that reads uses it, on
// which the handler runs, too.
type conn struct {
	*net.TCPConn
	// tls is the TLS connection over the socket, or nil; handshaken says that its handshake is complete.
	tls        *tls.Conn
	handshaken bool
	g          *Guard
	place      *place
	nb         *nbhttp.Conn

	scanner Scanner
	account account
	// pending holds bytes that arrived after the end of a request.
	pending []byte
	// bodyBegan is when the current request's head was complete.
	bodyBegan time.Time
	// charged says that the current request has a charge in the budget, or had one until it was evicted.
	charged bool
	// handled says that the handler has been called for the current request, and wrote that bytes of its response have been written.
	handled bool
	wrote   bool

	// stage and since say what the connection does, and since when in nanoseconds since the Unix epoch. Any goroutine may read them.
	stage  atomic.Int32
	since  atomic.Int64
	served atomic.Bool
	// writingSince is when the write began that is in progress, in nanoseconds since the Unix epoch; 0 if there is none.
	writingSince atomic.Int64
	// closed says that the socket has been closed, so that no further request is to be handled.
	closed atomic.Bool
	// expelled is the error with which another goroutine wants the request refused.
	expelled atomic.Pointer[RequestError]
	// unwanted says that another connection waits for this one's place.
	unwanted atomic.Bool
	// gone is guarded by the guard's mutex.
	gone bool
}

// dispensability ranks connections; the highest rank is closed first, and 0 is not closed.
func (c *conn) dispensability() int {
	const refused, fresh, served = 3, 2, 1
	switch stage := c.stage.Load(); {
	case stage == stageHandling && !c.writeBlocked():
		return 0
	case stage == stageHandling, stage == stageRefused:
		return refused
	case c.served.Load():
		return served
	default:
		return fresh
	}
}

// writeBlocked reports whether the client doesn't read its response.
func (c *conn) writeBlocked() bool {
	since := c.writingSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > refusalWriteTimeout
}

// evict makes the connection's goroutine refuse its request for lack of memory. Any goroutine may call it.
func (c *conn) evict() {
	c.expelled.CompareAndSwap(nil, errMemory)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// expel makes the connection's goroutine give its place up within a moment, and reports false if a request is being handled. Any goroutine
// may call it.
func (c *conn) expel() bool {
	if c.stage.Load() == stageHandling && c.writeBlocked() {
		_ = c.Close()
		return true
	}
	if !c.stage.CompareAndSwap(stageIdle, stageRefused) && !c.stage.CompareAndSwap(stageArriving, stageRefused) &&
		c.stage.Load() != stageRefused {
		return false
	}
	c.expelled.CompareAndSwap(nil, errConnections)
	c.unwanted.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// SetReadDeadline does nothing, since the connection sets its own deadlines.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing, since the connection sets its own deadlines.
func (c *conn) SetDeadline(time.Time) error { return nil }

// Write writes part of a response. If the client doesn't read it in time, the connection is closed: the engine goes on after some failed writes, and
// the next response would be taken for the rest of this one.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote = true
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(c.g.writeTime))
	c.writingSince.Store(now.UnixNano())
	n, err := c.stream().Write(p)
	c.writingSince.Store(0)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// stream returns what requests are read from and responses are written to.
func (c *conn) stream() net.Conn {
	if c.tls != nil {
		return c.tls
	}
	return c.TCPConn
}

// CloseWrite tells the client that nothing follows.
func (c *conn) CloseWrite() error {
	if c.tls != nil {
		if err := c.tls.CloseWrite(); err != nil {
			return err
		}
	}
	return c.TCPConn.CloseWrite()
}

// Close closes the socket. Any goroutine may call it.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

// Read passes bytes on to the engine's parser, at most up to the end of a request. When it is called, the parser has used all bytes before,
// and the response to a complete request has been written.
func (c *conn) Read(p []byte) (int, error) {
	if c.stage.Load() == stageHandling {
		if err := c.finishRequest(); err != nil {
			return 0, err
		}
	}
	for {
		n, err := c.receive(p)
		if err != nil {
			return 0, c.end(c.refusalFor(err))
		}
		n, refused := c.follow(p[:n])
		if refused != nil {
			return 0, c.refuse(refused)
		}
		if n > 0 {
			return n, nil
		}
	}
}

// finishRequest prepares the connection for the next request. The parser's errors are not reported: without a response it has found the
// request to be invalid, or the handler has failed.
func (c *conn) finishRequest() error {
	switch {
	case c.closed.Load():
		return c.end(nil)
	case c.wrote:
	case c.handled:
		c.g.onEnd(CauseNoResponse)
		return c.end(nil)
	default:
		return c.refuse(errNoResponse)
	}
	c.release()
	c.scanner.Reset()
	c.handled, c.wrote = false, false
	c.served.Store(true)
	now := time.Now()
	c.since.Store(now.UnixNano())
	c.stage.Store(stageIdle)
	return nil
}

// receive reads bytes from the client, or returns those that were left over.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return n, nil
	}
	_ = c.TCPConn.SetReadDeadline(c.deadline())
	// The deadline that evict and expel set may have been overwritten.
	if c.expelled.Load() != nil {
		return 0, os.ErrDeadlineExceeded
	}
	if c.tls != nil && !c.handshaken {
		_ = c.SetWriteDeadline(c.deadline())
		if err := c.tls.HandshakeContext(context.Background()); err != nil {
			return 0, err
		}
		c.handshaken = true
		return 0, nil
	}
	return c.stream().Read(p)
}

// deadline returns until when the next bytes must arrive.
func (c *conn) deadline() time.Time {
	limits := c.g.limits.Load()
	began := time.Unix(0, c.since.Load())
	switch {
	case c.tls != nil && !c.handshaken:
		return began.Add(limits.HeadTimeout)
	case !c.scanner.Started():
		return began.Add(limits.IdleTimeout)
	case !c.scanner.InBody():
		return began.Add(limits.HeadTimeout)
	default:
		return bodyDeadline(c.bodyBegan, c.scanner.BodyBytes())
	}
}

// refusalFor returns the error with which to refuse the current request, or nil if the connection just ends.
func (c *conn) refusalFor(err error) *RequestError {
	if expelled := c.expelled.Load(); expelled != nil {
		return expelled
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	switch {
	case !c.scanner.Started():
		c.g.onEnd(CauseIdle)
		return nil
	case !c.scanner.InBody():
		return errHeadTimeout
	default:
		return errBodyTimeout
	}
}

// follow scans bytes that have arrived, charges for them, and returns how many of them are to be passed on.
func (c *conn) follow(p []byte) (int, *RequestError) {
	skipped, refused := c.scanner.SkipEmptyLines(p)
	if refused != nil {
		return 0, refused
	}
	if skipped == len(p) {
		return 0, nil
	}
	now := time.Time{}
	if !c.scanner.Started() {
		now = time.Now()
		c.since.Store(now.UnixNano())
		if !c.stage.CompareAndSwap(stageIdle, stageArriving) {
			return 0, errConnections
		}
	}
	if skipped > 0 {
		p = p[:copy(p, p[skipped:])]
	}
	inBody := c.scanner.InBody()
	limits := c.g.limits.Load()
	// There is never memory for a larger body than the budget allows.
	sizes := SizeLimits{HeadBytes: limits.HeadBytes, BodyBytes: min(limits.BodyBytes, int(c.g.budget.maxCharge()/bodyByteCost))}
	if c.place.side {
		sizes = SizeLimits{HeadBytes: min(limits.HeadBytes, maxSideHead), BodyBytes: min(limits.BodyBytes, maxSideBody), ReadOnly: true}
	}
	n, complete, refused := c.scanner.Scan(p, &sizes)
	if refused != nil {
		return 0, refused
	}
	if charge := requestCost(&c.scanner); charge > freeCharge {
		if now.IsZero() {
			now = time.Now()
		}
		if !c.charge(charge, now) {
			return 0, errMemory
		}
	}
	if !complete {
		if !inBody && c.scanner.InBody() {
			c.bodyBegan = time.Now()
		}
		return n, nil
	}
	if n < len(p) {
		c.pending = append([]byte(nil), p[n:]...)
	}
	return n, c.complete()
}

// Bounds of requests at the addresses for metrics and readiness checks. Some clients send a GET with a short body.
const (
	maxSideHead = 4 << 10
	maxSideBody = 1 << 10
)

func (c *conn) charge(charge int64, now time.Time) bool {
	if !c.charged {
		c.charged = true
		c.account.started = time.Unix(0, c.since.Load())
	}
	return c.g.budget.grow(&c.account, charge, now)
}

// release returns what the current request is charged.
func (c *conn) release() {
	if c.charged {
		c.charged = false
		c.g.budget.release(&c.account)
	}
}

// complete hands a complete request over, from when on it isn't refused any more.
func (c *conn) complete() *RequestError {
	if c.charged && !c.g.budget.completed(&c.account) {
		return errMemory
	}
	if !c.stage.CompareAndSwap(stageArriving, stageHandling) {
		return errConnections
	}
	return nil
}

// refuse answers the current request, which has not reached the handler, and closes the connection.
func (c *conn) refuse(refused *RequestError) error {
	c.stage.Store(stageRefused)
	c.g.onEnd(refused.Cause)
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.stream().Write(responses[refused]); err != nil || c.unwanted.Load() || c.CloseWrite() != nil {
		return c.close()
	}
	return c.detach(func() { go c.linger() })
}

// linger drops what the client still sends for a while, so that it gets the response, and closes the connection.
func (c *conn) linger() {
	buffer := make([]byte, lingerBufferBytes)
	left := lingerBodies * c.g.limits.Load().BodyBytes
	for end := time.Now().Add(lingerRounds * c.g.lingerTime); left > 0; {
		now := time.Now()
		_ = c.TCPConn.SetReadDeadline(earlier(end, now.Add(c.g.lingerTime)))
		// The deadline that expel sets may have been overwritten.
		if c.unwanted.Load() {
			break
		}
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			break
		}
		left -= n
	}
	c.closeSocket()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// end closes the connection, after a refusal if there is one and a request has begun.
func (c *conn) end(refused *RequestError) error {
	if refused != nil && c.scanner.Started() {
		return c.refuse(refused)
	}
	if refused != nil {
		c.g.onEnd(refused.Cause)
	}
	return c.close()
}

// close closes the connection and returns the error that makes the engine forget it.
func (c *conn) close() error { return c.detach(c.closeSocket) }

// detach gives the engine its own connection back, by which it finds its records, and returns the error that makes the engine forget it.
func (c *conn) detach(then func()) error {
	c.release()
	c.pending = nil
	c.nb.Conn = c.TCPConn
	// The engine's connection holds the parser's buffer with the body, which must not stay in memory while the client gets the refusal.
	c.nb = nil
	then()
	return io.EOF
}

func (c *conn) closeSocket() {
	_ = c.Close()
	c.g.forget(c)
}

// retryAfterSeconds is when clients should try again that were refused for lack of memory or connections.
const retryAfterSeconds = 1

// responses holds the response to each refusal.
var responses = func() map[*RequestError][]byte {
	m := map[*RequestError][]byte{}
	for _, e := range []*RequestError{
		errMalformed, errMethod, errHead, errBody, errHeadTimeout, errBodyTimeout, errMemory, errConnections, errNoResponse,
	} {
		m[e] = buildResponse(e)
	}
	return m
}()

func buildResponse(e *RequestError) []byte {
	body := `{"error":"` + string(e.Cause) + `"}`
	head := "HTTP/1.1 " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status) + "\r\nConnection: close\r\nContent-Type: application/json\r\n"
	if e == errMemory || e == errConnections {
		head += "Retry-After: " + strconv.Itoa(retryAfterSeconds) + "\r\n"
	}
	return []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
