package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

const (
	callTimeout         = 2 * time.Second
	objectTimeout       = 10 * time.Second
	maxReplyBytes       = 64 << 20
	maxIdleConnsPerHost = 32
	idleConnTimeout     = 30 * time.Second
)

// Client calls the platform's HTTP API.
type Client struct {
	base  string
	httpc *http.Client
	stats Stats
}

// Stats counts a client's calls to the platform.
type Stats interface {
	StoreCall(op string, err error)
}

// NewClient returns a client of the platform at addr.
func NewClient(addr netip.AddrPort, dialer *net.Dialer, stats Stats) *Client {
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{base: "http://" + addr.String(), httpc: &http.Client{Transport: transport}, stats: stats}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpc.CloseIdleConnections() }

// Commit applies tx; it returns a ConflictError when checks failed and an UnavailableError when the effect is unknown.
func (c *Client) Commit(ctx context.Context, tx Tx) (uint64, error) {
	var reply TxReply
	if err := c.post(ctx, "commit", "/v1/tx", tx, &reply); err != nil {
		return 0, err
	}
	if len(reply.Conflicts) > 0 {
		return 0, &ConflictError{Rows: reply.Conflicts}
	}
	return reply.Version, nil
}

// Read returns the rows that q selects and that exist.
func (c *Client) Read(ctx context.Context, q Query) ([]Row, error) {
	var reply QueryReply
	if err := c.post(ctx, "read", "/v1/read", q, &reply); err != nil {
		return nil, err
	}
	return reply.Rows, nil
}

// Get returns one row, with version 0 when it does not exist.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	rows, err := c.Read(ctx, Query{Keys: []string{key}})
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 {
		return Row{Key: key}, nil
	}
	return rows[0], nil
}

// Hosts returns the platform's list of hosts, which lags behind their actual state.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.do(ctx, callTimeout, "hosts", http.MethodGet, "/v1/hosts", nil, func(body io.Reader) error {
		return json.NewDecoder(body).Decode(&hosts)
	})
	return hosts, err
}

// PutObject stores an object in one call.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	return c.do(ctx, objectTimeout, "put-object", http.MethodPut, objectPath(key), value, discard)
}

// GetObject returns a whole object, or a NotFoundError.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var value []byte
	err := c.do(ctx, objectTimeout, "get-object", http.MethodGet, objectPath(key), nil, func(body io.Reader) error {
		var err error
		value, err = io.ReadAll(body)
		return err
	})
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) && unavailable.Status == http.StatusNotFound {
		return nil, &NotFoundError{Key: key}
	}
	return value, err
}

func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

func (c *Client) post(ctx context.Context, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.do(ctx, callTimeout, op, http.MethodPost, path, body, func(r io.Reader) error {
		return json.NewDecoder(r).Decode(out)
	})
}

func (c *Client) do(
	ctx context.Context, timeout time.Duration, op, method, path string, body []byte, decode func(io.Reader) error,
) error {
	err := c.call(ctx, timeout, op, method, path, body, decode)
	if c.stats != nil {
		c.stats.StoreCall(op, err)
	}
	return err
}

func (c *Client) call(
	ctx context.Context, timeout time.Duration, op, method, path string, body []byte, decode func(io.Reader) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.httpc.Do(req)
	if err != nil {
		return &UnavailableError{Op: op, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_ = discard(io.LimitReader(resp.Body, maxReplyBytes))
		return &UnavailableError{Op: op, Status: resp.StatusCode}
	}
	answer := io.LimitReader(resp.Body, maxReplyBytes)
	if err := decode(answer); err != nil {
		return &UnavailableError{Op: op, Err: err}
	}
	// net/http reuses a connection only if the response body was read to the end.
	_ = discard(answer)
	return nil
}
