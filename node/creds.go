package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderdrift/corianderdrift/conf"
)

// serverCreds requires client certificates from peers; the files are reloaded for every connection.
func serverCreds(cfg conf.TLS) (credentials.TransportCredentials, error) {
	if cfg.PeerCert == "" {
		return insecure.NewCredentials(), nil
	}
	if _, err := peerConfig(cfg); err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return peerConfig(cfg)
		},
	}), nil
}

// clientCreds presents this host's certificate to peers and verifies theirs.
func clientCreds(cfg conf.TLS) (credentials.TransportCredentials, error) {
	if cfg.PeerCert == "" {
		return insecure.NewCredentials(), nil
	}
	if _, err := peerConfig(cfg); err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(cfg.PeerCert, cfg.PeerKey)
			return &cert, err
		},
		// VerifyConnection checks the chain against reloaded authorities, but no name, since hosts are known by address only.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(cfg, state)
		},
	}), nil
}

func verifyPeer(cfg conf.TLS, state tls.ConnectionState) error {
	pool, err := authorities(cfg)
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("the peer showed no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}

func authorities(cfg conf.TLS) (*x509.CertPool, error) {
	pem, err := os.ReadFile(cfg.PeerCA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &conf.Error{Setting: "peer-tls-ca", Value: cfg.PeerCA, Allowed: "must contain PEM certificates"}
	}
	return pool, nil
}

func peerConfig(cfg conf.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(cfg.PeerCert, cfg.PeerKey)
	if err != nil {
		return nil, &conf.Error{Setting: "peer-tls-cert", Value: cfg.PeerCert, Allowed: err.Error()}
	}
	pool, err := authorities(cfg)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}, Certificates: []tls.Certificate{cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}, nil
}
