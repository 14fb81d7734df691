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

// certAuthority is a certificate authority for tests.
type certAuthority struct {
	c    *qt.C
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertAuthority(c *qt.C) *certAuthority {
	a := &certAuthority{c: c}
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

// issue writes a signed certificate and its key to dir as name.pem and name.key.
func (a *certAuthority) issue(dir, name string, serial int64) {
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

func (a *certAuthority) write(dir, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	// Replace the file atomically, since it may be read at any time.
	tmpPath := filepath.Join(dir, name+".part")
	a.c.Assert(os.WriteFile(tmpPath, data, 0o600), qt.IsNil)
	a.c.Assert(os.Rename(tmpPath, filepath.Join(dir, name)), qt.IsNil)
}

func TestPeerTLSAuthenticationAndCertificateReload(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	ca, untrustedCA := newCertAuthority(c), newCertAuthority(c)
	ca.write(dir, "ca.pem", "CERTIFICATE", ca.cert.Raw)
	ca.issue(dir, "peer", 2)
	ca.issue(dir, "caller", 3)
	untrustedCA.issue(dir, "stranger", 4)
	path := func(name string) string { return filepath.Join(dir, name) }
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2, hostFlags: []string{
		"--peer-tls-cert", path("peer.pem"), "--peer-tls-key", path("peer.key"), "--peer-tls-ca", path("ca.pem"),
	}})
	cl.putDocuments(testDocuments)
	// Whether or not a host forwards its request, both hosts hold workers and use peer TLS.
	for _, h := range cl.hosts {
		r := cl.send(context.Background(), h, "check", "", "run=5ms", []byte(h.name))
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%s", r.respBody))
	}

	peerAddr := cl.proxies[cl.hosts[0].name].Addr().String()
	queryPeer := func(creds credentials.TransportCredentials) error {
		conn, err := grpc.NewClient("passthrough:///"+peerAddr, grpc.WithTransportCredentials(creds))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = peerpb.NewPeerClient(conn).Report(ctx, &peerpb.ReportQuery{Kind: "workers"})
		return err
	}
	clientCreds := func(name string) credentials.TransportCredentials {
		cert, err := tls.LoadX509KeyPair(path(name+".pem"), path(name+".key"))
		c.Assert(err, qt.IsNil)
		return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	}
	c.Check(queryPeer(clientCreds("peer")), qt.IsNil)
	c.Check(queryPeer(clientCreds("stranger")), qt.IsNotNil)
	c.Check(queryPeer(insecure.NewCredentials()), qt.IsNotNil)

	// The certificate shown to callers is reloaded for every connection.
	h := cl.newTLSHost(path("caller.pem"), path("caller.key"))
	servedSerial := func() int64 {
		conn, err := tls.Dial("tcp", h.url[len("https://"):], &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return 0
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	cl.waitFor("the host serves callers over TLS", func() bool { return servedSerial() == 3 })
	ca.issue(dir, "caller", 33)
	cl.waitFor("the new certificate is served without a restart", func() bool { return servedSerial() == 33 })
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: waitTimeout}).Get(h.url + "/healthz")
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	_ = resp.Body.Close()
}

// newTLSHost starts one more host, which serves callers over TLS.
func (cl *cluster) newTLSHost(cert, key string) *host {
	h := cl.newHost(binary, len(cl.hosts))
	h.args = append(h.args, "--tls-cert", cert, "--tls-key", key)
	h.url = "https" + h.url[len("http"):]
	cl.hosts = append(cl.hosts, h)
	cl.launch(h.proc)
	return h
}
