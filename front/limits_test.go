package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/metric"
)

func startLimited(c *qt.C, limits conf.Guard) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	log, _ := logtest.NewNullLogger()
	s := New(Config{Host: conf.Host{Listen: addr, Guard: limits}, Metrics: metric.NewSet(), Log: log})
	if err := s.Start(); err != nil {
		return nil, err
	}
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Stop(ctx)
	})
	return s, nil
}

// Heads used to be read without a deadline, and bodies up to 32 MB before they were refused.
func TestLimitsOfSettingsApplyToCallers(t *testing.T) {
	limits := conf.DefaultGuard()
	limits.MaxHeaderBytes, limits.MaxBodyBytes, limits.HeaderTimeout = 1024, 1000, 50*time.Millisecond
	for _, test := range []struct {
		name, text string
		status     int
		metric     string
	}{
		{"within the limits", "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, ""},
		{
			"head too large", "GET /healthz HTTP/1.1\r\na: " + strings.Repeat("x", 1100), http.StatusRequestHeaderFieldsTooLarge,
			`corianderdrift_guard_ends_total{cause="head-too-large"} 1`,
		},
		{
			"body too large", "POST /v1/run/a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", http.StatusRequestEntityTooLarge,
			`corianderdrift_guard_ends_total{cause="body-too-large"} 1`,
		},
		{
			"head stops", "GET /healthz HTTP/1.1\r\n", http.StatusRequestTimeout,
			`corianderdrift_guard_ends_total{cause="head-timeout"} 1`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := startLimited(c, limits)
			c.Assert(err, qt.IsNil)
			send := func(text string) (int, string) {
				conn, err := net.Dial("tcp", s.cfg.Host.Listen.String())
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
				_, err = io.WriteString(conn, text)
				c.Assert(err, qt.IsNil)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				defer res.Body.Close()
				raw, err := io.ReadAll(res.Body)
				c.Assert(err, qt.IsNil)
				return res.StatusCode, string(raw)
			}
			status, _ := send(test.text)
			c.Assert(status, qt.Equals, test.status)
			_, metrics := send("GET /metrics HTTP/1.1\r\n\r\n")
			c.Assert(strings.Contains(metrics, test.metric), qt.IsTrue, qt.Commentf("%s", metrics))
		})
	}
}

// A host whose memory is too small for a single request of the largest size would refuse it always.
func TestTooLittleMemoryForLargestRequestIsSettingError(t *testing.T) {
	c := qt.New(t)
	limits := conf.DefaultGuard()
	limits.MemoryMiB = 100
	_, err := startLimited(c, limits)
	var settingErr *conf.Error
	c.Assert(errors.As(err, &settingErr), qt.IsTrue)
	c.Assert(settingErr.Setting, qt.Equals, "memory-mb")
}
