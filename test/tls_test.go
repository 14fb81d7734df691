package test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderdrift/corianderdrift/peerpb"
)

// authority signs certificates for a test.
type authority struct {
	c    *qt.C
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	a := &authority{c: c}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	a.cert, err = x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return a
}

// issue writes a certificate and its key into dir under name.
func (a *authority) issue(dir, name string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(dir, name+".pem", "CERTIFICATE", der)
	a.write(dir, name+".key", "PRIVATE KEY", raw)
}

func (a *authority) write(dir, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	// A file is replaced whole, as a reader may come at any moment.
	part := filepath.Join(dir, name+".part")
	a.c.Assert(os.WriteFile(part, data, 0o600), qt.IsNil)
	a.c.Assert(os.Rename(part, filepath.Join(dir, name)), qt.IsNil)
}

func TestHostsShowCertificatesAndReloadThem(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	a, stranger := newAuthority(c), newAuthority(c)
	a.write(dir, "ca.pem", "CERTIFICATE", a.cert.Raw)
	a.issue(dir, "peer", 2)
	a.issue(dir, "caller", 3)
	stranger.issue(dir, "stranger", 4)
	file := func(name string) string { return filepath.Join(dir, name) }
	cl := start(t, spec{hosts: 2, workers: 2, hostFlags: []string{
		"--peer-tls-cert", file("peer.pem"), "--peer-tls-key", file("peer.key"), "--peer-tls-ca", file("ca.pem"),
	}})
	cl.put(documents)
	// A request to each host, one of which has to pass it on or not: both hold workers over the same protected links.
	for _, h := range cl.hosts {
		r := cl.send(context.Background(), h, "check", "", "run=5ms", []byte(h.name))
		cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("%s", r.answer))
	}

	peer := cl.proxies[cl.hosts[0].name].Addr().String()
	ask := func(creds credentials.TransportCredentials) error {
		conn, err := grpc.NewClient("passthrough:///"+peer, grpc.WithTransportCredentials(creds))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = peerpb.NewPeerClient(conn).Report(ctx, &peerpb.ReportQuery{Kind: "workers"})
		return err
	}
	with := func(name string) credentials.TransportCredentials {
		cert, err := tls.LoadX509KeyPair(file(name+".pem"), file(name+".key"))
		c.Assert(err, qt.IsNil)
		return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	}
	c.Check(ask(with("peer")), qt.IsNil)
	c.Check(ask(with("stranger")), qt.IsNotNil)
	c.Check(ask(insecure.NewCredentials()), qt.IsNotNil)

	// Callers' certificates are read anew for every connection.
	h := cl.newTLSHost(file("caller.pem"), file("caller.key"))
	serial := func() int64 {
		conn, err := tls.Dial("tcp", h.url[len("https://"):], &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return 0
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	cl.eventually("the host serves callers by TLS", func() bool { return serial() == 3 })
	a.issue(dir, "caller", 33)
	cl.eventually("the new certificate is shown without a restart", func() bool { return serial() == 33 })
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: waitLimit}).Get(h.url + "/healthz")
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	_ = resp.Body.Close()
}

// newTLSHost starts one more host, outside the list, that serves callers by TLS.
func (cl *cluster) newTLSHost(cert, key string) *host {
	h := cl.newHost(binary, len(cl.hosts))
	h.args = append(h.args, "--tls-cert", cert, "--tls-key", key)
	h.url = "https" + h.url[len("http"):]
	cl.hosts = append(cl.hosts, h)
	cl.launch(h.proc)
	return h
}
