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
	maxIdle        = 64
	maxAnswerBytes = 64 << 20
)

// Client speaks the HTTP interface of one worker.
type Client struct {
	name  string
	base  string
	tasks *http.Client
	// control calls use connections of their own, so that no answer delays a renewal.
	control *http.Client
	fresh   *http.Client
	sent    atomic.Int64
	read    atomic.Int64
}

// NewClient returns a client of the worker at addr, with connections from source if it is valid.
func NewClient(name string, addr netip.AddrPort, source netip.Addr) *Client {
	c := &Client{name: name, base: "http://" + addr.String()}
	dialer := NewDialer(source, dialTimeout)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &UnreachableError{Worker: name, Err: err}
		}
		return &countedConn{Conn: conn, client: c}, nil
	}
	transport := func(keep bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableKeepAlives: !keep,
			DisableCompression: true,
		}}
	}
	c.tasks, c.control, c.fresh = transport(true), transport(true), transport(false)
	return c
}

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

// Close drops idle connections.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Bytes returns how many bytes were sent to and read from the worker.
func (c *Client) Bytes() (sent, read int64) { return c.sent.Load(), c.read.Load() }

// State reads capacity, lease and tasks.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.controlCall(ctx, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

// Lease asks for or renews the worker's lease.
func (c *Client) Lease(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	var reply LeaseReply
	err := c.controlCall(ctx, http.MethodPut, "/v1/lease", req, &reply)
	return reply, err
}

// Unlease gives the lease back.
func (c *Client) Unlease(ctx context.Context, holder string, epoch uint64) error {
	req := LeaseRequest{Holder: holder, Epoch: epoch}
	return c.controlCall(ctx, http.MethodDelete, "/v1/lease", req, &struct{}{})
}

// Run starts a task and waits for its whole answer; the same id attaches to the task that runs already.
func (c *Client) Run(ctx context.Context, id string, spec Spec, contentType string, body []byte) (Answer, error) {
	req, err := c.startRequest(ctx, id, spec, contentType, body, true)
	if err != nil {
		return Answer{}, err
	}
	return c.answer(c.tasks, req)
}

// Start starts a task and returns as soon as the worker has accepted it.
func (c *Client) Start(ctx context.Context, id string, spec Spec, contentType string, body []byte) (TaskState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout+dialTimeout)
	defer cancel()
	req, err := c.startRequest(ctx, id, spec, contentType, body, false)
	if err != nil {
		return "", err
	}
	answer, err := c.answer(c.tasks, req)
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
	// A PUT that net/http resends by itself could not be told from one that never left.
	req.GetBody = nil
	return req, nil
}

// Attach reads a task on a connection of its own, waiting for its end up to wait.
func (c *Client) Attach(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	url := fmt.Sprintf("%s/v1/tasks/%s?wait-ms=%d", c.base, id, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, err
	}
	return c.answer(c.fresh, req)
}

// Stop ends a task, or makes sure that its id can never start, and tells the state that it is in for good.
func (c *Client) Stop(ctx context.Context, id string) (TaskState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/tasks/"+id, nil)
	if err != nil {
		return "", err
	}
	answer, err := c.answer(c.fresh, req)
	return answer.State, err
}

// Throttle limits a task to cpuMilli thousandths of a processor.
func (c *Client) Throttle(ctx context.Context, id string, cpuMilli int64) error {
	path := fmt.Sprintf("/v1/tasks/%s/throttle?cpu-milli=%d", id, cpuMilli)
	return c.controlCall(ctx, http.MethodPost, path, nil, &struct{}{})
}

// Checkpoint saves a running task and takes it off its processors, memory, accelerators and slot.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.controlCall(ctx, http.MethodPost, "/v1/tasks/"+id+"/checkpoint", nil, &struct{}{})
}

// Resume goes on with a task that was checkpointed.
func (c *Client) Resume(ctx context.Context, id string, holder string, epoch uint64) error {
	req := LeaseRequest{Holder: holder, Epoch: epoch}
	return c.controlCall(ctx, http.MethodPost, "/v1/tasks/"+id+"/resume", req, &struct{}{})
}

func (c *Client) controlCall(ctx context.Context, method, path string, in, out any) error {
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
	resp, err := c.control.Do(req)
	if err != nil {
		c.control.CloseIdleConnections()
		return c.lost(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return c.refused(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &LostError{Worker: c.name, Err: err}
	}
	// A connection is used again only after its answer was read to the end.
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}

func (c *Client) answer(httpc *http.Client, req *http.Request) (Answer, error) {
	resp, err := httpc.Do(req)
	if err != nil {
		return Answer{}, c.lost(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return Answer{}, c.refused(resp)
	}
	answer := Answer{State: TaskState(resp.Header.Get(HeaderState)), ContentType: resp.Header.Get("Content-Type")}
	if resp.ContentLength > maxAnswerBytes {
		return Answer{}, &LostError{Worker: c.name, Err: fmt.Errorf("an answer of %d bytes is too large", resp.ContentLength)}
	}
	answer.Body, err = readBody(resp)
	if err != nil {
		return Answer{}, &LostError{Worker: c.name, Err: err}
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

func (c *Client) refused(resp *http.Response) error {
	var problem Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&problem)
	if err != nil || problem.Fault == "" {
		return &LostError{Worker: c.name, Err: fmt.Errorf("status %d without a fault", resp.StatusCode)}
	}
	return &RefusedError{Worker: c.name, Fault: problem.Fault, Detail: problem.Detail}
}

func (c *Client) lost(err error) error {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable
	}
	return &LostError{Worker: c.name, Err: err}
}

type countedConn struct {
	net.Conn
	client *Client
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.sent.Add(int64(n))
	return n, err
}
