package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	controlTimeout = 900 * time.Millisecond
	dialTimeout    = 800 * time.Millisecond
	idleTimeout    = 10 * time.Second
	// leaseIdleTimeout is longer than the longest time between two renewals of a lease.
	leaseIdleTimeout = time.Minute
	maxIdleConns     = 64
	maxAnswerBytes   = 64 << 20
)

// Client calls the HTTP API of one worker.
type Client struct {
	name  string
	base  string
	tasks *http.Client
	// lease and control have connections of their own, so that no task's answer delays them.
	lease     *http.Client
	control   *http.Client
	unpooled  *http.Client
	bytesSent atomic.Int64
	bytesRead atomic.Int64
}

// NewClient returns a client of the worker at addr, with connections from source if it is valid.
func NewClient(name string, addr netip.AddrPort, source netip.Addr) *Client {
	c := &Client{name: name, base: "http://" + addr.String()}
	dialer := NewDialer(source, dialTimeout)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if ctx.Value(connected{}) != nil {
			return nil, &NotConnectedError{Worker: name}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &UnreachableError{Worker: name, Err: err}
		}
		return &countedConn{Conn: conn, client: c}, nil
	}
	newHTTPClient := func(keepAlive bool, idleTimeout time.Duration) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableKeepAlives: !keepAlive,
			DisableCompression: true,
		}}
	}
	c.tasks, c.control, c.unpooled = newHTTPClient(true, idleTimeout), newHTTPClient(true, idleTimeout), newHTTPClient(false, 0)
	c.lease = newHTTPClient(true, leaseIdleTimeout)
	return c
}

// connected is the key of the context of a call that must not open a connection.
type connected struct{}

// NewDialer returns a dialer whose connections come from source, if it is valid.
func NewDialer(source netip.Addr, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return dialer
}

// Name returns the worker's name.
func (c *Client) Name() string { return c.name }

// Close closes idle connections.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.lease.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Bytes returns how many bytes were sent to and read from the worker.
func (c *Client) Bytes() (sent, read int64) { return c.bytesSent.Load(), c.bytesRead.Load() }

// State returns the worker's capacity, lease and tasks, on the connection of the lease's calls.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, c.lease, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// CurrentState returns the same as State, on a new connection.
func (c *Client) CurrentState(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, c.unpooled, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// Lease requests the worker's lease.
func (c *Client) Lease(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	var reply LeaseReply
	err := c.call(ctx, c.lease, http.MethodPut, "/v1/lease", req, &reply)
	return reply, err
}

// Renew renews the worker's lease on the connection of an earlier call of Lease, State or Renew. It fails with a NotConnectedError if there is none,
// because the worker may have restarted and would grant the lease anew.
func (c *Client) Renew(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	return c.Lease(context.WithValue(ctx, connected{}, true), req)
}

// ReleaseLease releases the lease.
func (c *Client) ReleaseLease(ctx context.Context, holder string, epoch uint64) error {
	req := LeaseRequest{Holder: holder, Epoch: epoch}
	return c.call(ctx, c.lease, http.MethodDelete, "/v1/lease", req, &struct{}{})
}

// Run starts a task and waits for its whole answer; if a task with this id runs already, Run attaches to it.
func (c *Client) Run(ctx context.Context, id string, spec Spec, contentType string, body []byte) (Answer, error) {
	req, err := c.startRequest(ctx, id, spec, contentType, body, true)
	if err != nil {
		return Answer{}, err
	}
	return c.do(c.tasks, req)
}

// Start starts a task and returns as soon as the worker has accepted it.
func (c *Client) Start(ctx context.Context, id string, spec Spec, contentType string, body []byte) (TaskState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout+dialTimeout)
	defer cancel()
	req, err := c.startRequest(ctx, id, spec, contentType, body, false)
	if err != nil {
		return "", err
	}
	answer, err := c.do(c.tasks, req)
	return answer.State, err
}

func (c *Client) startRequest(
	ctx context.Context, id string, spec Spec, contentType string, body []byte, wait bool,
) (*http.Request, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	url := c.base + "/v1/tasks/" + id + "?wait=" + strconv.FormatBool(wait)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header[HeaderSpec] = []string{string(encoded)}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	// Without GetBody, net/http never resends the PUT by itself; a resent request could not be distinguished from one that was
	// never sent.
	req.GetBody = nil
	return req, nil
}

// Attach reads a task on a new connection; it waits up to wait for the task to end.
func (c *Client) Attach(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	url := fmt.Sprintf("%s/v1/tasks/%s?wait-ms=%d", c.base, id, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, err
	}
	return c.do(c.unpooled, req)
}

// Stop ends a task, or ensures that a task with this id can never start, and returns the task's final state.
func (c *Client) Stop(ctx context.Context, id string) (TaskState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/tasks/"+id, nil)
	if err != nil {
		return "", err
	}
	answer, err := c.do(c.unpooled, req)
	return answer.State, err
}

// Throttle limits a task to cpuMilli thousandths of a CPU.
func (c *Client) Throttle(ctx context.Context, id string, cpuMilli int64) error {
	path := fmt.Sprintf("/v1/tasks/%s/throttle?cpu-milli=%d", id, cpuMilli)
	return c.controlCall(ctx, http.MethodPost, path, nil, &struct{}{})
}

// Checkpoint saves a running task and frees its CPU, memory, accelerators and slot.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.controlCall(ctx, http.MethodPost, "/v1/tasks/"+id+"/checkpoint", nil, &struct{}{})
}

// Resume continues a checkpointed task.
func (c *Client) Resume(ctx context.Context, id string, holder string, epoch uint64) error {
	req := LeaseRequest{Holder: holder, Epoch: epoch}
	return c.controlCall(ctx, http.MethodPost, "/v1/tasks/"+id+"/resume", req, &struct{}{})
}

func (c *Client) controlCall(ctx context.Context, method, path string, in, out any) error {
	return c.call(ctx, c.control, method, path, in, out)
}

func (c *Client) call(ctx context.Context, httpc *http.Client, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpc.Do(req)
	if err != nil {
		httpc.CloseIdleConnections()
		return c.transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return c.refusalError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &UnansweredError{Worker: c.name, Err: err}
	}
	// net/http reuses a connection only if the response body was read to the end.
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}

func (c *Client) do(httpc *http.Client, req *http.Request) (Answer, error) {
	resp, err := httpc.Do(req)
	if err != nil {
		return Answer{}, c.transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return Answer{}, c.refusalError(resp)
	}
	answer := Answer{State: TaskState(resp.Header.Get(HeaderState)), ContentType: resp.Header.Get("Content-Type")}
	if resp.ContentLength > maxAnswerBytes {
		return Answer{}, &UnansweredError{Worker: c.name, Err: fmt.Errorf("an answer of %d bytes is too large", resp.ContentLength)}
	}
	answer.Body, err = readBody(resp)
	if err != nil {
		return Answer{}, &UnansweredError{Worker: c.name, Err: err}
	}
	return answer, nil
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
}

func (c *Client) refusalError(resp *http.Response) error {
	var problem Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&problem)
	if err != nil || problem.Fault == "" {
		return &UnansweredError{Worker: c.name, Err: fmt.Errorf("status %d without a fault", resp.StatusCode)}
	}
	return &RefusedError{Worker: c.name, Fault: problem.Fault, Detail: problem.Detail}
}

func (c *Client) transportError(err error) error {
	var unreachable *UnreachableError
	var notConnected *NotConnectedError
	switch {
	case errors.As(err, &unreachable):
		return unreachable
	case errors.As(err, &notConnected):
		return notConnected
	}
	return &UnansweredError{Worker: c.name, Err: err}
}

type countedConn struct {
	net.Conn
	client *Client
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.bytesRead.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.bytesSent.Add(int64(n))
	return n, err
}
