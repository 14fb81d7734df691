package guard

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func testCertificate(c *qt.C) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// dialTLS connects from the given address; nil stands for any.
func (s *server) dialTLS(from net.Addr) (*tls.Conn, *bufio.Reader, error) {
	dialer := &net.Dialer{LocalAddr: from, Timeout: 30 * time.Second}
	conn, err := tls.DialWithDialer(dialer, "tcp", s.address, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return nil, nil, err
	}
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn, bufio.NewReader(conn), nil
}

// The end of a connection used to close the next one from the same address, and to count the first one as open for good.
func TestEndOfTLSConnectionLeavesNextOneFromSameAddress(t *testing.T) {
	s := startTLSServer(t, roomySizes, Limits{})
	for {
		conn1, in1, err := s.dialTLS(nil)
		s.c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn1, getHead+"\r\n")
		s.c.Assert(err, qt.IsNil)
		res, _ := s.response(in1)
		s.c.Assert(res.status, qt.Equals, 200)
		from := conn1.LocalAddr()
		s.c.Assert(conn1.NetConn().(*net.TCPConn).SetLinger(0), qt.IsNil)
		s.c.Assert(conn1.NetConn().Close(), qt.IsNil)
		conn2, in2, err := s.dialTLS(from)
		if err != nil {
			// Another process may have taken the port meanwhile.
			s.c.Assert(errors.Is(err, syscall.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
			continue
		}
		for s.guard.Open("test") != 1 {
			time.Sleep(time.Millisecond)
		}
		_, err = io.WriteString(conn2, getHead+"\r\n")
		s.c.Assert(err, qt.IsNil)
		res, _ = s.response(in2)
		s.c.Assert(res.status, qt.Equals, 200)
		s.c.Assert(conn2.Close(), qt.IsNil)
		for s.guard.Open("test") != 0 {
			time.Sleep(time.Millisecond)
		}
		return
	}
}

// Over TLS, the engine used to read below the guard, so that no limit of a head, and none of the memory, applied.
func TestLimitsApplyOverTLS(t *testing.T) {
	limits := Limits{HeadBytes: 1000, BodyBytes: 100_000, HeadTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute}
	for _, test := range []struct {
		name, text string
		status     int
		cause      Cause
	}{
		{"within the limits", getHead + "\r\n", 200, ""},
		{"largest body", postHead + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000), 200, ""},
		{"head too large", getHead + "a: " + strings.Repeat("x", 100_000), 431, CauseHead},
		{"body too large", postHead + "Content-Length: 100001\r\n\r\n", 413, CauseBody},
		{"head stops", getHead, 408, CauseHeadTimeout},
		{"empty lines", strings.Repeat("\r\n", 1000), 400, CauseMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startTLSServer(t, roomySizes, limits)
			conn, in, err := s.dialTLS(nil)
			s.c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, test.text)
			s.c.Assert(err, qt.IsNil)
			res, body := s.response(in)
			s.c.Assert(res.status, qt.Equals, test.status)
			if test.cause != "" {
				s.c.Assert(body, qt.Equals, fmt.Sprintf(`{"error":%q}`, test.cause))
				_, err = in.ReadByte()
				s.c.Assert(err, qt.Equals, io.EOF)
			}
		})
	}
}

// Connections without a handshake used to keep their places until the idle time had passed, and were never closed for others.
func TestConnectionsWithoutHandshakeGiveWay(t *testing.T) {
	sizes := roomySizes
	sizes.Connections = 2
	s := startTLSServer(t, sizes, Limits{HeadTimeout: time.Hour, IdleTimeout: time.Hour})
	var first *bufio.Reader
	for range sizes.Connections {
		_, in := s.dial()
		if first == nil {
			first = in
		}
	}
	conn, in, err := s.dialTLS(nil)
	s.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, getHead+"\r\n")
	s.c.Assert(err, qt.IsNil)
	res, _ := s.response(in)
	s.c.Assert(res.status, qt.Equals, 200)
	_, err = first.ReadByte()
	s.c.Assert(err, qt.Equals, io.EOF)
}
