// Package certs loads the keys with which hosts prove themselves to each
// other, and makes keys for development.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
)

// Files names the files of a host's keys.
type Files struct {
	// CA is the PEM file of the authority that signs every host's key.
	CA string
	// Cert and Key are the host's certificate and private key in PEM.
	Cert, Key string
}

// Load returns a TLS configuration for mutual authentication: each side must
// show a certificate that the authority signed.
func Load(f Files) (*tls.Config, error) {
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("read CA %s: no certificate in it", f.CA)
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "read key pair %s, %s", f.Cert, f.Key)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
