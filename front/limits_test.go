package front

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/metric"
)

func startLimited(c *qt.C, limits conf.Guard, files conf.TLS) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	log, _ := logtest.NewNullLogger()
	s := New(Config{Host: conf.Host{Listen: addr, Guard: limits, TLS: files}, Metrics: metric.NewSet(), Log: log})
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

// issueCertificate writes a certificate and its key, and returns their files.
func issueCertificate(c *qt.C) conf.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	files := conf.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for path, block := range map[string]*pem.Block{files.Cert: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "PRIVATE KEY", Bytes: rawKey}} {
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return files
}

// Heads used to be read without a deadline, and bodies up to 32 MB before they were refused; over TLS, no limit of a head applied.
func TestLimitsOfSettingsApplyToCallers(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testLimitsOfSettings(t, conf.TLS{}) })
	t.Run("TLS", func(t *testing.T) { testLimitsOfSettings(t, issueCertificate(qt.New(t))) })
}

func testLimitsOfSettings(t *testing.T, files conf.TLS) {
	t.Helper()
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
			s, err := startLimited(c, limits, files)
			c.Assert(err, qt.IsNil)
			send := func(text string) (int, string) {
				conn, err := net.Dial("tcp", s.cfg.Host.Listen.String())
				c.Assert(err, qt.IsNil)
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
				if files.Cert != "" {
					conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
				}
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
	_, err := startLimited(c, limits, conf.TLS{})
	var settingErr *conf.Error
	c.Assert(errors.As(err, &settingErr), qt.IsTrue)
	c.Assert(settingErr.Setting, qt.Equals, "memory-mb")
}
